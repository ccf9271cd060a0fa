package target

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Runs is what a target has counted since it was made; reboots do not reset it.
type Runs struct {
	Target          string         `json:"target"`
	Pool            string         `json:"pool"`
	Boot            int64          `json:"boot"`
	Draining        bool           `json:"draining"`
	Away            bool           `json:"away"`
	Running         int64          `json:"running"`
	Runs            int64          `json:"runs"`
	Keys            map[string]int `json:"keys,omitempty"`
	DoubledKeys     int64          `json:"doubledKeys"`
	DoubledRequests int64          `json:"doubledRequests"`
	OverSlots       int64          `json:"overSlots"`
	OversentPeak    int64          `json:"oversentPeak"`
	RunningPeak     int64          `json:"runningPeak"`
	RefusedConns    int64          `json:"refusedConns"`
	WhileLeaving    int64          `json:"whileLeaving"`
	LeavingLastMs   int64          `json:"leavingLastMs"`
	Cut             int64          `json:"cut"`
	Crashed         int64          `json:"crashed"`
	CutAnswers      int64          `json:"cutAnswers"`
	Faults          int64          `json:"faults"`
	Assigned        int64          `json:"assigned"`
}

type counter struct {
	refusedConns atomic.Int64
	faults  atomic.Int64
	mu      sync.Mutex
	runs    Runs
	runsByRequest    map[uint64]uint32
}

func (c *counter) init() {
	c.runsByRequest = map[uint64]uint32{}
	c.runs.Keys = map[string]int{}
}

// started counts a run of a request.
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

// refusedOverSlots counts a request that came when all slots were taken.
func (c *counter) refusedOverSlots(over int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs.OverSlots++
	c.runs.OversentPeak = max(c.runs.OversentPeak, over)
}

// refusedWhileDraining counts a request that came d after the drain.
func (c *counter) refusedWhileDraining(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs.WhileLeaving++
	c.runs.LeavingLastMs = max(c.runs.LeavingLastMs, d.Milliseconds())
}

// stopped counts the requests that a stop cut off.
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

// snapshot returns the counts; keys only if they are asked for.
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

// Runs returns what the target has counted, with the runs of each key.
func (t *Target) Runs() Runs { return t.report(true) }

// Brief returns the counts without the keys.
func (t *Target) Brief() Runs { return t.report(false) }

func (t *Target) report(keys bool) Runs {
	r := t.count.snapshot(keys)
	t.mu.Lock()
	defer t.mu.Unlock()
	r.Target, r.Pool, r.Boot = t.name, t.pool, t.boot
	r.Draining, r.Away, r.Running = t.draining.Load(), t.rebooting.Load(), t.running.Load()
	return r
}
