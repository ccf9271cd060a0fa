package target

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Counts holds the state of a target and its counters. A reboot does not reset the counters.
type Counts struct {
	Target                  string         `json:"target"`
	Pool                    string         `json:"pool"`
	Boot                    int64          `json:"boot"`
	Draining                bool           `json:"draining"`
	Rebooting               bool           `json:"away"`    // down for a reboot
	Running                 int64          `json:"running"` // requests that run now
	Runs                    int64          `json:"runs"`
	Keys                    map[string]int `json:"keys,omitempty"`  // runs by idempotency key
	DoubledKeys             int64          `json:"doubledKeys"`     // idempotency keys that ran more than once
	DoubledRequests         int64          `json:"doubledRequests"` // request IDs that ran more than once
	RefusedOverSlots        int64          `json:"overSlots"`       // requests refused because all slots were taken
	PeakOverSlots           int64          `json:"oversentPeak"`    // highest number of requests beyond the slots
	PeakRunning             int64          `json:"runningPeak"`     // highest number of requests that ran at once
	RefusedConns            int64          `json:"refusedConns"`
	RefusedWhileDraining    int64          `json:"whileLeaving"`  // requests refused while draining
	LastRefusalAfterDrainMs int64          `json:"leavingLastMs"` // longest time from a drain to a request refused by it
	CutRequests             int64          `json:"cut"`           // requests interrupted by planned reboots
	CrashedRequests         int64          `json:"crashed"`       // requests interrupted by crashes
	BrokenAnswers           int64          `json:"cutAnswers"`    // responses that a fault cut, lengthened, shortened or withheld
	FaultyRequests          int64          `json:"faults"`        // requests with a fault
	PoolAssignments         int64          `json:"assigned"`      // assignments to a pool
}

// counter collects the counters of a target.
type counter struct {
	refusedConns  atomic.Int64
	faults        atomic.Int64
	mu            sync.Mutex
	runs          Counts
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
	c.runs.PeakRunning = max(c.runs.PeakRunning, running)
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
	c.runs.RefusedOverSlots++
	c.runs.PeakOverSlots = max(c.runs.PeakOverSlots, over)
}

// refusedWhileDraining counts a request that was refused d after the drain started.
func (c *counter) refusedWhileDraining(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs.RefusedWhileDraining++
	c.runs.LastRefusalAfterDrainMs = max(c.runs.LastRefusalAfterDrainMs, d.Milliseconds())
}

// stopped counts the requests that a stop interrupted: as cut if the stop was planned, as crashed otherwise.
func (c *counter) stopped(planned bool, running int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if planned {
		c.runs.CutRequests += running
		return
	}
	c.runs.CrashedRequests += running
}

func (c *counter) brokenAnswer() {
	c.mu.Lock()
	c.runs.BrokenAnswers++
	c.mu.Unlock()
}

func (c *counter) assigned() {
	c.mu.Lock()
	c.runs.PoolAssignments++
	c.mu.Unlock()
}

// snapshot returns a copy of the counters; keys says whether it includes the runs by key.
func (c *counter) snapshot(keys bool) Counts {
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
	r.RefusedConns, r.FaultyRequests = c.refusedConns.Load(), c.faults.Load()
	return r
}

// Counts returns the state and the counters of the target, with the number of runs of each key.
func (t *Target) Counts() Counts { return t.report(true) }

// Summary returns the state and the counters without the runs of each key.
func (t *Target) Summary() Counts { return t.report(false) }

func (t *Target) report(keys bool) Counts {
	r := t.count.snapshot(keys)
	t.mu.Lock()
	defer t.mu.Unlock()
	r.Target, r.Pool, r.Boot = t.name, t.pool, t.boot
	r.Draining, r.Rebooting, r.Running = t.draining.Load(), t.rebooting.Load(), t.running.Load()
	return r
}
