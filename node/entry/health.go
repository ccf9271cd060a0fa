package entry

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	failingAfter    = 3                // failures in a row
	probeInterval   = time.Second      // between connects to a VM that could not be reached
	failureExpiry   = 60 * time.Second // after which a VM that failed requests is given another chance
	maxFailingShare = 0.5              // of a pool's VMs that may be reported for failing requests
)

// failureRecord is what is wrong with a VM.
type failureRecord struct {
	failures        int
	unreachable     bool // the last failure was to connect
	retryDelayStart time.Time
}

// health tells which VMs fail everything that this entry sends; it is safe for concurrent use.
type health struct {
	mu      sync.Mutex
	records map[string]*failureRecord
}

func newHealth() *health { return &health{records: make(map[string]*failureRecord)} }

// recordSuccess notes an answer of the VM.
func (h *health) recordSuccess(vm string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.records, vm)
}

// recordFailure notes a failure of the VM; connect means that it could not be reached.
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

// failing returns the VMs with enough failures in a row; connect tells which of the two kinds.
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

// expireFailures forgets failures of requests that are long ago.
func (h *health) expireFailures(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for vm, a := range h.records {
		if !a.unreachable && now.Sub(a.retryDelayStart) > failureExpiry {
			delete(h.records, vm)
		}
	}
}

// Failing returns the VMs that cannot be reached, and those that fail every request while most of their pool does not.
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

// probe connects to the VMs that could not be reached, so that their return is noticed without a request.
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
