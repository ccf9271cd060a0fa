package entry

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	failingAfter = 3                // failures in a row
	probeEvery   = time.Second      // between connects to a VM that could not be reached
	retryFailing = 60 * time.Second // after which a VM that failed requests is given another chance
	maxFailing   = 0.5              // of a pool's VMs that may be reported for failing requests
)

// ailment is what is wrong with a VM.
type ailment struct {
	failures int
	connect  bool // the last failure was to connect
	since    time.Time
}

// health tells which VMs fail everything that this entry sends; it is safe for concurrent use.
type health struct {
	mu  sync.Mutex
	ill map[string]*ailment
}

func newHealth() *health { return &health{ill: make(map[string]*ailment)} }

// well notes an answer of the VM.
func (h *health) well(vm string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.ill, vm)
}

// sick notes a failure of the VM; connect means that it could not be reached.
func (h *health) sick(vm string, connect bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.ill[vm]
	if a == nil {
		a = &ailment{since: now}
		h.ill[vm] = a
	}
	a.failures++
	a.connect = connect
	if a.failures == failingAfter {
		a.since = now
	}
}

// failing returns the VMs with enough failures in a row; connect tells which of the two kinds.
func (h *health) failing(connect bool) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var l []string
	for vm, a := range h.ill {
		if a.failures >= failingAfter && a.connect == connect {
			l = append(l, vm)
		}
	}
	return l
}

// pardon forgets failures of requests that are long ago.
func (h *health) pardon(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for vm, a := range h.ill {
		if !a.connect && now.Sub(a.since) > retryFailing {
			delete(h.ill, vm)
		}
	}
}

// Failing returns the VMs that cannot be reached, and those that fail every request while most of their pool does not.
func (e *Entry) Failing() []string {
	v := e.view.View()
	l := e.health.failing(true)
	pools := make(map[string]int)
	for _, t := range v.Targets() {
		pools[t.Pool]++
	}
	bad := make(map[string]int)
	rest := e.health.failing(false)
	for _, vm := range rest {
		if t, ok := v.Target(vm); ok {
			bad[t.Pool]++
		}
	}
	for _, vm := range rest {
		if t, ok := v.Target(vm); ok && float64(bad[t.Pool]) <= maxFailing*float64(pools[t.Pool]) {
			l = append(l, vm)
		}
	}
	return l
}

// probe connects to the VMs that could not be reached, so that their return is noticed without a request.
func (e *Entry) probe(ctx context.Context) error {
	t := time.NewTicker(probeEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			e.health.pardon(now)
			for _, vm := range e.health.failing(true) {
				e.probeOne(ctx, vm)
			}
		}
	}
}

func (e *Entry) probeOne(ctx context.Context, vm string) {
	t := e.target(vm)
	if t == nil {
		e.health.well(vm)
		return
	}
	d := net.Dialer{Timeout: e.set.ConnectTimeout()}
	c, err := d.DialContext(ctx, "tcp", t.addr)
	if err != nil {
		return
	}
	_ = c.Close()
	e.health.well(vm)
}
