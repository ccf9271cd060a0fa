package target

import (
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// Mode is a kind of fault that a target injects.
type Mode string

const (
	// None injects no fault.
	None Mode = ""
	// Fail runs the request and answers 500.
	Fail Mode = "fail"
	// Refuse answers 503 without running the request and without the header that states so.
	Refuse Mode = "refuse"
	// Late runs the request, frees its slot and answers Fault.LateMs later.
	Late Mode = "late"
	// Cut closes the connection in the middle of the response.
	Cut Mode = "cut"
	// Longer sends more bytes than Content-Length declares.
	Longer Mode = "longer"
	// Shorter sends fewer bytes than Content-Length declares and keeps the connection open.
	Shorter Mode = "shorter"
	// WrongRequestID answers with the request ID of another request.
	WrongRequestID Mode = "wrongMark"
	// Silent runs the request and never answers.
	Silent Mode = "silent"
	// CloseIdle closes a reused connection when its next request arrives, without running that request.
	CloseIdle Mode = "closeIdle"
)

// Fault is a fault and its parameters. LateMs is the delay of the mode Late, in milliseconds. A fault that SetFault or /ctl/fault
// sets applies to every request without a Fake-Fault header, or to the next Left ones if Left is not 0.
type Fault struct {
	Mode      Mode  `json:"mode"`
	LateMs    int64 `json:"lateMs"`
	Remaining int64 `json:"left"`
}

// faultOf returns the fault of the request's header Fake-Fault, else the fault of the target, whose remaining count it reduces.
func (t *Target) faultOf(x *fasthttp.RequestCtx) Fault {
	if m := x.Request.Header.Peek("Fake-Fault"); len(m) > 0 {
		return Fault{Mode: Mode(m), LateMs: int64(floatHeader(x, "Fake-Late-Ms"))}
	}
	for {
		f := t.fault.Load()
		if f == nil {
			return Fault{}
		}
		if f.Remaining == 0 {
			return *f
		}
		n := &Fault{Mode: f.Mode, LateMs: f.LateMs, Remaining: f.Remaining - 1}
		if n.Remaining == 0 {
			n = nil
		}
		if t.fault.CompareAndSwap(f, n) {
			return *f
		}
	}
}

// answerBroken writes a raw response that does not match its Content-Length, or none at all.
func (t *Target) answerBroken(x *fasthttp.RequestCtx, f Fault, requestID string, body []byte) {
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
		defer c.Close() //nolint:errcheck // the fault breaks the connection on purpose
		if sent >= 0 {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nBurdock-Request: %s\r\n\r\n%s", declared, requestID, b)
		}
		if f.Mode != Cut {
			discardUntilClosed(c, down)
		}
	})
}

// discardUntilClosed reads and discards data until the peer closes the connection or the boot ends.
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

// bootEnd returns a channel that is closed when the current boot ends.
func (t *Target) bootEnd() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bootEnded
}
