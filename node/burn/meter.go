package burn

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// cellCount is the number of cells over which concurrent requests are spread, to reduce contention; a power of two.
const cellCount = 8

// Counter counts the requests of one series; Add is safe for concurrent use and takes no lock.
type Counter struct {
	cells   [cellCount]cell
	flushed Counts // counts that Flush has passed to the Burn; guarded by Meter.mu
}

// cell holds one set of counters, padded to a cache line of 64 bytes.
type cell struct {
	counts [outcomeCount]atomic.Int64
	_      [32]byte
}

// Add counts one request.
func (c *Counter) Add(o Outcome) {
	c.cells[rand.Uint32()%cellCount].counts[o].Add(1)
}

// total returns the sum of all cells.
func (c *Counter) total() Counts {
	var n [outcomeCount]int64
	for i := range c.cells {
		for o := range n {
			n[o] += c.cells[i].counts[o].Load()
		}
	}
	return Counts{n[Good], n[Late], n[Failed], n[Refused]}
}

// Meter counts requests on the request path and passes the counts to a Burn; it is safe for concurrent use.
type Meter struct {
	counters sync.Map // Key → *Counter
	mu       sync.Mutex
	burn     *Burn
}

// NewMeter returns the meter of the entry; counting starts at now.
func NewMeter(entry, dataCentre string, now time.Time) *Meter {
	return &Meter{burn: New(entry, dataCentre, now)}
}

// Counter returns the counter of k, creating it if needed. The caller may keep it.
func (m *Meter) Counter(k SeriesKey) *Counter {
	if c, ok := m.counters.Load(k); ok {
		return c.(*Counter)
	}
	c, _ := m.counters.LoadOrStore(k, &Counter{})
	return c.(*Counter)
}

// Add counts one request of k.
func (m *Meter) Add(k SeriesKey, o Outcome) { m.Counter(k).Add(o) }

// Update passes a message other than counts to the Burn.
func (m *Meter) Update(g Msg) []Cmd {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.burn.Update(g)
}

// Flush passes the counts since the last Flush to the Burn and advances its time to now. It is called about once a second.
func (m *Meter) Flush(now time.Time) []Cmd {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counters.Range(func(k, v any) bool {
		m.flushCounter(now, k.(SeriesKey), v.(*Counter))
		return true
	})
	return m.burn.Update(TickMsg{Now: now})
}

func (m *Meter) flushCounter(now time.Time, k SeriesKey, c *Counter) {
	t := c.total()
	d := Counts{t.Good - c.flushed.Good, t.Late - c.flushed.Late, t.Failed - c.flushed.Failed, t.Refused - c.flushed.Refused}
	if d.Total() == 0 {
		return
	}
	c.flushed = t
	m.burn.Update(CountMsg{Now: now, Key: k, Counts: d})
}

// Report flushes the counts and returns the figures up to now.
func (m *Meter) Report(now time.Time) Report {
	m.Flush(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.burn.Report()
}
