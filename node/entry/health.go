package entry

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	failingAfter    = 3                // consecutive failures until a VM counts as failing
	probeInterval   = time.Second      // between connection attempts to an unreachable VM
	failureExpiry   = 60 * time.Second // after which the failed requests of a VM are forgotten, so that it is tried again
	maxFailingShare = 0.5              // largest share of a pool's VMs that may be reported for failed requests
)

// failureRecord counts the consecutive failures of a VM.
type failureRecord struct {
	failures        int
	unreachable     bool      // the last failure was a failed connection
	retryDelayStart time.Time // the first failure, or the moment when the VM began to count as failing
}

// health tracks the VMs whose requests fail; it is safe for concurrent use.
type health struct {
	mu      sync.Mutex
	records map[string]*failureRecord
}

func newHealth() *health { return &health{records: make(map[string]*failureRecord)} }

// recordSuccess forgets the failures of a VM that answered.
func (h *health) recordSuccess(vm string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.records, vm)
}

// recordFailure counts a failure of the VM; unreachable means that the connection failed.
func (h *health) recordFailure(vm string, unreachable bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.records[vm]
	if a == nil {
		a = &failureRecord{retryDelayStart: now}
		h.records[vm] = a
	}
	a.failures++
	a.unreachable = unreachable
	if a.failures == failingAfter {
		a.retryDelayStart = now
	}
}

// failing returns the VMs with enough consecutive failures: the unreachable ones if unreachable is
// true, else those that fail requests.
func (h *health) failing(unreachable bool) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var l []string
	for vm, a := range h.records {
		if a.failures >= failingAfter && a.unreachable == unreachable {
			l = append(l, vm)
		}
	}
	return l
}

// expireFailures forgets failed requests after failureExpiry; unreachable VMs stay until they are probed.
func (h *health) expireFailures(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for vm, a := range h.records {
		if !a.unreachable && now.Sub(a.retryDelayStart) > failureExpiry {
			delete(h.records, vm)
		}
	}
}

// Failing returns the unreachable VMs, and those that fail requests while no more than maxFailingShare of their pool does.
func (e *Entry) Failing() []string {
	v := e.view.View()
	l := e.health.failing(true)
	vmsInPool := make(map[string]int)
	for _, t := range v.Targets() {
		vmsInPool[t.Pool]++
	}
	failingInPool := make(map[string]int)
	failing := e.health.failing(false)
	for _, vm := range failing {
		if t, ok := v.Target(vm); ok {
			failingInPool[t.Pool]++
		}
	}
	for _, vm := range failing {
		if t, ok := v.Target(vm); ok && float64(failingInPool[t.Pool]) <= maxFailingShare*float64(vmsInPool[t.Pool]) {
			l = append(l, vm)
		}
	}
	return l
}

// probe connects to unreachable VMs periodically, so that a recovery is detected without sending a request.
func (e *Entry) probe(ctx context.Context) error {
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			e.health.expireFailures(now)
			for _, vm := range e.health.failing(true) {
				e.probeVM(ctx, vm)
			}
		}
	}
}

func (e *Entry) probeVM(ctx context.Context, vm string) {
	t := e.target(vm)
	if t == nil {
		e.health.recordSuccess(vm)
		return
	}
	d := net.Dialer{Timeout: e.settings.ConnectTimeout()}
	c, err := d.DialContext(ctx, "tcp", t.addr)
	if err != nil {
		return
	}
	_ = c.Close()
	e.health.recordSuccess(vm)
}
