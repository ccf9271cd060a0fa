package entry

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// balancerWait is the time for the balancer to see the health page before new requests are refused.
const balancerWait = 500 * time.Millisecond

// ErrLeft reports requests that the drain wait did not see the end of.
var ErrLeft = eris.New("entry: requests left at the end of the drain wait")

// begin counts a request in; false means that the entry is stopping.
func (e *Entry) begin() bool {
	e.stopMu.Lock()
	defer e.stopMu.Unlock()
	if e.closed {
		return false
	}
	e.inFlight++
	return true
}

// end counts a request out; while the entry stops, its connection is closed after the answer.
func (e *Entry) end(x *fasthttp.RequestCtx) {
	e.stopMu.Lock()
	defer e.stopMu.Unlock()
	e.inFlight--
	if e.stopping {
		x.SetConnectionClose()
	}
	if e.closed && e.inFlight == 0 {
		select {
		case e.empty <- struct{}{}:
		default:
		}
	}
}

// showHealth answers the balancer.
func (e *Entry) showHealth(x *fasthttp.RequestCtx) {
	if e.Ready() {
		x.SetBodyString("ok\n")
		return
	}
	x.Error("not ready\n", fasthttp.StatusServiceUnavailable)
}

// stop turns the health page first, then refuses new requests, then waits for those in flight.
func (e *Entry) stop(s *fasthttp.Server) error {
	e.log.Info().Str("step", "stop").Msg("stopping")
	e.setStopping()
	wait(balancerWait)
	left := e.closeDoor()
	limit := time.NewTimer(e.set.DrainWait())
	defer limit.Stop()
	if left > 0 {
		select {
		case <-e.empty:
		case <-limit.C:
		}
	}
	x, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = s.ShutdownWithContext(x)
	if n := e.InFlight(); n > 0 {
		e.log.Error().Str("step", "stop").Int("left", n).Msg("stoppedWithRequestsLeft")
		return eris.Wrapf(ErrLeft, "step=stop left=%d", n)
	}
	e.log.Info().Str("step", "stop").Msg("stopped")
	return nil
}

func wait(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	<-t.C
}

func (e *Entry) setStopping() {
	e.stopMu.Lock()
	defer e.stopMu.Unlock()
	e.stopping = true
}

// closeDoor refuses new requests from now on and returns the number in flight.
func (e *Entry) closeDoor() int {
	e.stopMu.Lock()
	defer e.stopMu.Unlock()
	e.closed = true
	return e.inFlight
}

// InFlight returns the number of accepted requests without a final answer.
func (e *Entry) InFlight() int {
	e.stopMu.Lock()
	defer e.stopMu.Unlock()
	return e.inFlight
}
