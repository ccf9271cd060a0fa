package target

import (
	"bytes"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
)

const (
	headerRequest = "Burdock-Request"
	headerNotRun  = "Burdock-Not-Run"
	headerLeaving = "Burdock-Leaving"
	headerKey     = "Idempotency-Key"
	headerDigest  = "Fake-Digest"
	headerAnswer  = "Fake-Answer-Digest"
	headerTarget  = "Fake-Target"
)

// handle serves one request: it applies the request's fault, refuses the request while draining or when all slots are taken, or runs it.
func (t *Target) handle(x *fasthttp.RequestCtx) {
	p := t.handling.Add(1)
	defer t.handling.Add(-1)
	f := t.faultOf(x)
	if f.Mode != None {
		t.count.faults.Add(1)
	}
	if f.Mode == CloseIdle && x.ConnRequestNum() > 1 {
		x.HijackSetNoResponse(true)
		x.Hijack(func(c net.Conn) { _ = c.Close() })
		return
	}
	if f.Mode == Refuse {
		x.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	if t.draining.Load() {
		t.refuseDraining(x)
		return
	}
	n := t.running.Add(1)
	if n > t.slots {
		t.running.Add(-1)
		t.count.refusedOverSlots(p - t.slots)
		refuseNotRun(x)
		return
	}
	t.run(x, f, n)
}

// refuseNotRun answers 503 and states that the request was not run.
func refuseNotRun(x *fasthttp.RequestCtx) {
	x.Response.Header.SetBytesV(headerRequest, x.Request.Header.Peek(headerRequest))
	x.Response.Header.Set(headerNotRun, "1")
	x.SetStatusCode(fasthttp.StatusServiceUnavailable)
}

// refuseDraining refuses a request that arrived after the drain started and states that the target is leaving.
func (t *Target) refuseDraining(x *fasthttp.RequestCtx) {
	t.mu.Lock()
	d := time.Since(t.drainStart)
	t.mu.Unlock()
	t.count.refusedWhileDraining(d)
	refuseNotRun(x)
	x.Response.Header.Set(headerLeaving, "1")
}

// run occupies a slot for the run time, frees it and answers. If the target stops meanwhile, it closes the connection instead.
func (t *Target) run(x *fasthttp.RequestCtx, f Fault, n int64) {
	h := &x.Request.Header
	t.count.started(h.Peek(headerKey), h.Peek(headerRequest), n)
	completed := t.simulateRun(x)
	t.running.Add(-1)
	if f.Mode == Late {
		completed = completed && t.waitInBoot(time.Duration(f.LateMs)*time.Millisecond)
	}
	if !completed {
		x.HijackSetNoResponse(true)
		x.Hijack(func(c net.Conn) { _ = c.Close() })
		return
	}
	t.answer(x, f)
}

// answer sends the response, altered by the fault f.
func (t *Target) answer(x *fasthttp.RequestCtx, f Fault) {
	requestID := string(x.Request.Header.Peek(headerRequest))
	body := t.body(x)
	switch f.Mode {
	case Cut, Longer, Shorter, Silent:
		t.answerBroken(x, f, requestID, body)
		return
	case Fail:
		x.SetStatusCode(fasthttp.StatusInternalServerError)
	case WrongRequestID:
		requestID += "-other"
	}
	r := &x.Response.Header
	r.Set(headerRequest, requestID)
	r.Set(headerTarget, t.name)
	r.Set(headerAnswer, digest(body))
	r.Set(headerDigest, digest(x.Request.Body()))
	x.SetBody(body)
}

// body returns a response body that depends on the request's body. The header Fake-Answer-Bytes sets its length in bytes.
func (t *Target) body(x *fasthttp.RequestCtx) []byte {
	b := fmt.Appendf(nil, "{\"target\":%q,\"digest\":%q,\"bytes\":%d}\n", t.name, digest(x.Request.Body()), len(x.Request.Body()))
	if n := int(floatHeader(x, "Fake-Answer-Bytes")); n > 0 {
		b = bytes.Repeat(b, n/len(b)+1)[:n]
	}
	return b
}

func digest(b []byte) string { return strconv.FormatUint(xxhash.Sum64(b), 16) }

// floatHeader returns the header's value as a number, or 0 if it is missing or malformed.
func floatHeader(x *fasthttp.RequestCtx, header string) float64 {
	n, _ := strconv.ParseFloat(string(x.Request.Header.Peek(header)), 64)
	return n
}

// simulateRun waits for the run time: that of the header Fake-Run-Ms, else the target's own. It returns false if the target stopped meanwhile.
func (t *Target) simulateRun(x *fasthttp.RequestCtx) bool {
	if len(x.Request.Header.Peek("Fake-Run-Ms")) > 0 {
		return t.waitInBoot(time.Duration(floatHeader(x, "Fake-Run-Ms") * float64(time.Millisecond)))
	}
	t.mu.Lock()
	d := t.runTime(t.rand)
	t.mu.Unlock()
	return t.waitInBoot(d)
}

// waitInBoot waits for d and returns true, or returns false as soon as the current boot ends.
func (t *Target) waitInBoot(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	k := time.NewTimer(d)
	defer k.Stop()
	select {
	case <-k.C:
		return true
	case <-t.bootEnd():
		return false
	}
}
