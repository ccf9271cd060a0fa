package cloud

import (
	"sync"
	"time"
)

// meter counts calls and their peak in one second, and limits their rate.
type meter struct {
	limit int // calls per second; 0 means no limit.

	mu          sync.Mutex
	total       int64
	peak        int
	windowStart time.Time
	windowCount int
}

// allow counts one call and reports whether it is within the limit.
func (m *meter) allow(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.windowStart) >= time.Second {
		m.windowStart, m.windowCount = now, 0
	}
	m.total++
	m.windowCount++
	m.peak = max(m.peak, m.windowCount)
	return m.limit == 0 || m.windowCount <= m.limit
}

func (m *meter) counts() (int64, int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.total, m.peak
}

// Stats holds the counters of the platform's calls.
type Stats struct {
	Reads       int64 `json:"reads"`
	Writes      int64 `json:"writes"`
	Watches     int64 `json:"watches"`
	PeakReads   int   `json:"peakReads"`  // most reads and watches in one second.
	PeakWrites  int   `json:"peakWrites"` // most writes in one second.
	VMCalls     int64 `json:"vmCalls"`
	Rev         int64 `json:"rev"`
	LostAnswers int64 `json:"lostAnswers"`
	TaskStarts  int   `json:"taskStarts"`
	TaskDoubled int   `json:"taskDoubled"` // starts of a run-once job while a copy of it was running.
}

// Stats returns the current counters.
func (s *Server) Stats() Stats {
	a := Stats{Rev: int64(s.store.Rev()), Watches: s.store.Watches(), LostAnswers: s.faults.lostCount()}
	a.Reads, a.PeakReads = s.reads.counts()
	a.Reads -= a.Watches
	a.Writes, a.PeakWrites = s.writes.counts()
	a.VMCalls, _ = s.vmCalls.counts()
	a.TaskStarts, a.TaskDoubled = s.tasks.Starts(), s.tasks.DuplicateStarts()
	return a
}
