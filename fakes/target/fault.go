package target

import (
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// Mode names a way to misbehave.
type Mode string

const (
	// None behaves well.
	None Mode = ""
	// Fail runs the request and answers 500.
	Fail Mode = "fail"
	// Refuse answers 503 without a mark that it did not run; it does not run the request.
	Refuse Mode = "refuse"
	// Late answers Fault.LateMs later than it should, after the slot is free.
	Late Mode = "late"
	// Cut closes the connection in the middle of the answer.
	Cut Mode = "cut"
	// Longer sends more bytes than it declared.
	Longer Mode = "longer"
	// Shorter sends fewer bytes than it declared and then nothing.
	Shorter Mode = "shorter"
	// WrongMark echoes the mark of another request.
	WrongMark Mode = "wrongMark"
	// Silent runs the request and never answers.
	Silent Mode = "silent"
	// CloseIdle closes a used connection as its next request arrives, without running it.
	CloseIdle Mode = "closeIdle"
)

// Fault is what /ctl/fault sets for all requests; Left bounds the number of requests, 0 for no bound.
type Fault struct {
	Mode   Mode  `json:"mode"`
	LateMs int64 `json:"lateMs"`
	Left   int64 `json:"left"`
}

// faultOf returns the fault for this request: its own header's, else the target's.
func (t *Target) faultOf(x *fasthttp.RequestCtx) Fault {
	if m := x.Request.Header.Peek("Fake-Fault"); len(m) > 0 {
		return Fault{Mode: Mode(m), LateMs: int64(floatHeader(x, "Fake-Late-Ms"))}
	}
	for {
		f := t.fault.Load()
		if f == nil {
			return Fault{}
		}
		if f.Left == 0 {
			return *f
		}
		n := &Fault{Mode: f.Mode, LateMs: f.LateMs, Left: f.Left - 1}
		if n.Left == 0 {
			n = nil
		}
		if t.fault.CompareAndSwap(f, n) {
			return *f
		}
	}
}

// answerBroken answers with raw bytes that differ from what is declared.
func (t *Target) answerBroken(x *fasthttp.RequestCtx, f Fault, mark string, body []byte) {
	declared, sent := len(body), len(body)
	switch f.Mode {
	case Longer:
		declared = len(body) / 2
	case Silent:
		sent = -1
	default:
		sent = len(body) / 2
	}
	t.count.brokenAnswer()
	down, b := t.bootEnd(), append([]byte(nil), body[:max(0, sent)]...)
	x.HijackSetNoResponse(true)
	x.Hijack(func(c net.Conn) {
		defer c.Close() //nolint:errcheck // the connection is broken on purpose
		if sent >= 0 {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nBurdock-Request: %s\r\n\r\n%s", declared, mark, b)
		}
		if f.Mode != Cut {
			discardUntilClosed(c, down)
		}
	})
}

// discardUntilClosed reads and drops what comes until the peer closes or the target goes down.
func discardUntilClosed(c net.Conn, down <-chan struct{}) {
	b := make([]byte, 512)
	for {
		select {
		case <-down:
			return
		default:
		}
		_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		_, err := c.Read(b)
		if e, ok := err.(net.Error); err != nil && (!ok || !e.Timeout()) {
			return
		}
	}
}

func (t *Target) bootEnd() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bootEnded
}
