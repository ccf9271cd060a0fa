package target

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Runs holds the state of a target and its counters. A reboot does not reset the counters.
type Runs struct {
	Target          string         `json:"target"`
	Pool            string         `json:"pool"`
	Boot            int64          `json:"boot"`
	Draining        bool           `json:"draining"`
	Away            bool           `json:"away"`    // down for a reboot
	Running         int64          `json:"running"` // requests that run now
	Runs            int64          `json:"runs"`
	Keys            map[string]int `json:"keys,omitempty"`  // runs by idempotency key
	DoubledKeys     int64          `json:"doubledKeys"`     // idempotency keys that ran more than once
	DoubledRequests int64          `json:"doubledRequests"` // request IDs that ran more than once
	OverSlots       int64          `json:"overSlots"`       // requests refused because all slots were taken
	OversentPeak    int64          `json:"oversentPeak"`    // highest number of requests beyond the slots
	RunningPeak     int64          `json:"runningPeak"`     // highest number of requests that ran at once
	RefusedConns    int64          `json:"refusedConns"`
	WhileLeaving    int64          `json:"whileLeaving"`  // requests refused while draining
	LeavingLastMs   int64          `json:"leavingLastMs"` // longest time from a drain to a request refused by it
	Cut             int64          `json:"cut"`           // requests interrupted by planned reboots
	Crashed         int64          `json:"crashed"`       // requests interrupted by crashes
	CutAnswers      int64          `json:"cutAnswers"`    // responses that a fault cut, lengthened, shortened or withheld
	Faults          int64          `json:"faults"`        // requests with a fault
	Assigned        int64          `json:"assigned"`      // assignments to a pool
}

// counter collects the counters of a target.
type counter struct {
	refusedConns  atomic.Int64
	faults        atomic.Int64
	mu            sync.Mutex
	runs          Runs
	runsByRequest map[uint64]uint32
}

func (c *counter) init() {
	c.runsByRequest = map[uint64]uint32{}
	c.runs.Keys = map[string]int{}
}

// started counts a run of the request with this idempotency key and request ID, and notes the peak of concurrent runs.
func (c *counter) started(key, request []byte, running int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs.Runs++
	c.runs.RunningPeak = max(c.runs.RunningPeak, running)
	if len(key) > 0 {
		n := c.runs.Keys[string(key)] + 1
		c.runs.Keys[string(key)] = n
		if n == 2 {
			c.runs.DoubledKeys++
		}
	}
	if len(request) > 0 {
		h := xxhash.Sum64(request)
		c.runsByRequest[h]++
		if c.runsByRequest[h] == 2 {
			c.runs.DoubledRequests++
		}
	}
}

// refusedOverSlots counts a request that was refused because all slots were taken; over is the number of requests beyond the slots.
func (c *counter) refusedOverSlots(over int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs.OverSlots++
	c.runs.OversentPeak = max(c.runs.OversentPeak, over)
}

// refusedWhileDraining counts a request that was refused d after the drain started.
func (c *counter) refusedWhileDraining(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs.WhileLeaving++
	c.runs.LeavingLastMs = max(c.runs.LeavingLastMs, d.Milliseconds())
}

// stopped counts the requests that a stop interrupted: as cut if the stop was planned, as crashed otherwise.
func (c *counter) stopped(planned bool, running int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if planned {
		c.runs.Cut += running
		return
	}
	c.runs.Crashed += running
}

func (c *counter) brokenAnswer() {
	c.mu.Lock()
	c.runs.CutAnswers++
	c.mu.Unlock()
}

func (c *counter) assigned() {
	c.mu.Lock()
	c.runs.Assigned++
	c.mu.Unlock()
}

// snapshot returns a copy of the counters; keys says whether it includes the runs by key.
func (c *counter) snapshot(keys bool) Runs {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.runs
	r.Keys = nil
	if keys {
		r.Keys = make(map[string]int, len(c.runs.Keys))
		for k, n := range c.runs.Keys {
			r.Keys[k] = n
		}
	}
	r.RefusedConns, r.Faults = c.refusedConns.Load(), c.faults.Load()
	return r
}

// Runs returns the state and the counters of the target, with the number of runs of each key.
func (t *Target) Runs() Runs { return t.report(true) }

// Brief returns the state and the counters without the runs of each key.
func (t *Target) Brief() Runs { return t.report(false) }

func (t *Target) report(keys bool) Runs {
	r := t.count.snapshot(keys)
	t.mu.Lock()
	defer t.mu.Unlock()
	r.Target, r.Pool, r.Boot = t.name, t.pool, t.boot
	r.Draining, r.Away, r.Running = t.draining.Load(), t.rebooting.Load(), t.running.Load()
	return r
}
