package entry

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// balancerWait is the time for the load balancer to see the failing health check before new requests are refused.
const balancerWait = 500 * time.Millisecond

// ErrRequestsLeft reports that requests were still in flight at the end of the drain wait.
var ErrRequestsLeft = eris.New("entry: requests left at the end of the drain wait")

// beginRequest counts a request as in flight; false means that the entry refuses new requests.
func (e *Entry) beginRequest() bool {
	e.stopMu.Lock()
	defer e.stopMu.Unlock()
	if e.refusing {
		return false
	}
	e.inFlight++
	return true
}

// endRequest counts a request as finished. While the entry stops, the caller's connection is closed after the answer.
func (e *Entry) endRequest(x *fasthttp.RequestCtx) {
	e.stopMu.Lock()
	defer e.stopMu.Unlock()
	e.inFlight--
	if e.stopping {
		x.SetConnectionClose()
	}
	if e.refusing && e.inFlight == 0 {
		select {
		case e.drainedCh <- struct{}{}:
		default:
		}
	}
}

// serveHealth answers the load balancer's health check.
func (e *Entry) serveHealth(x *fasthttp.RequestCtx) {
	if e.Ready() {
		x.SetBodyString("ok\n")
		return
	}
	x.Error("not ready\n", fasthttp.StatusServiceUnavailable)
}

// stop first fails the health check, then refuses new requests, then waits for those in flight.
func (e *Entry) stop(s *fasthttp.Server) error {
	e.log.Info().Str("step", "stop").Msg("stopping")
	e.setStopping()
	sleep(balancerWait)
	left := e.refuseNew()
	limit := time.NewTimer(e.settings.DrainTimeout())
	defer limit.Stop()
	if left > 0 {
		select {
		case <-e.drainedCh:
		case <-limit.C:
		}
	}
	x, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = s.ShutdownWithContext(x)
	if n := e.InFlight(); n > 0 {
		e.log.Error().Str("step", "stop").Int("left", n).Msg("stoppedWithRequestsLeft")
		return eris.Wrapf(ErrRequestsLeft, "step=stop left=%d", n)
	}
	e.log.Info().Str("step", "stop").Msg("stopped")
	return nil
}

func sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	<-t.C
}

func (e *Entry) setStopping() {
	e.stopMu.Lock()
	defer e.stopMu.Unlock()
	e.stopping = true
}

// refuseNew makes the entry refuse new requests and returns the number in flight.
func (e *Entry) refuseNew() int {
	e.stopMu.Lock()
	defer e.stopMu.Unlock()
	e.refusing = true
	return e.inFlight
}

// InFlight returns the number of admitted requests that have no final answer yet.
func (e *Entry) InFlight() int {
	e.stopMu.Lock()
	defer e.stopMu.Unlock()
	return e.inFlight
}
