// Package stats holds counters, gauges and latency histograms with fixed buckets, and writes them as text.
package stats

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// bucketBounds are the upper bounds of all buckets except the last one, which has none.
var bucketBounds = []time.Duration{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2500 * time.Millisecond, 5 * time.Second,
}

// Registry holds the counters, gauges and histograms of one process. It is safe for concurrent use.
type Registry struct {
	mu         sync.RWMutex
	counters   map[string]*atomic.Int64
	histograms map[string]*histogram
	gauges     map[string]func() int64
}

type histogram struct {
	buckets []atomic.Int64
	sum     atomic.Int64 // microseconds
}

// New returns an empty set.
func New() *Registry {
	return &Registry{counters: map[string]*atomic.Int64{}, histograms: map[string]*histogram{}, gauges: map[string]func() int64{}}
}

// Add adds n to the counter name, which it creates if needed.
func (s *Registry) Add(name string, n int64) {
	s.mu.RLock()
	c := s.counters[name]
	s.mu.RUnlock()
	if c == nil {
		s.mu.Lock()
		if c = s.counters[name]; c == nil {
			c = &atomic.Int64{}
			s.counters[name] = c
		}
		s.mu.Unlock()
	}
	c.Add(n)
}

// Gauge registers f, which returns the value of name whenever the set is written.
func (s *Registry) Gauge(name string, f func() int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gauges[name] = f
}

// Observe records the duration d in the histogram name, which it creates if needed.
func (s *Registry) Observe(name string, d time.Duration) {
	s.mu.RLock()
	h := s.histograms[name]
	s.mu.RUnlock()
	if h == nil {
		s.mu.Lock()
		if h = s.histograms[name]; h == nil {
			h = &histogram{buckets: make([]atomic.Int64, len(bucketBounds)+1)}
			s.histograms[name] = h
		}
		s.mu.Unlock()
	}
	i, _ := slices.BinarySearch(bucketBounds, d)
	h.buckets[i].Add(1)
	h.sum.Add(d.Microseconds())
}

// WriteTo writes one line for each counter, gauge and histogram bucket, and the count and the sum in microseconds of each histogram.
// Buckets are cumulative: each counts all values up to its bound in ms.
func (s *Registry) WriteTo(w io.Writer) (int64, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var l []string
	for n, c := range s.counters {
		l = append(l, fmt.Sprintf("%s %d\n", n, c.Load()))
	}
	for n, f := range s.gauges {
		l = append(l, fmt.Sprintf("%s %d\n", n, f()))
	}
	for n, h := range s.histograms {
		l = append(l, h.text(n))
	}
	slices.Sort(l)
	total := int64(0)
	for _, t := range l {
		n, err := io.WriteString(w, t)
		total += int64(n)
		if err != nil {
			return total, err
		}
	}
	return total, nil
}

func (h *histogram) text(name string) string {
	t, sum := "", int64(0)
	for i := range h.buckets {
		sum += h.buckets[i].Load()
		le := "+Inf"
		if i < len(bucketBounds) {
			le = fmt.Sprint(bucketBounds[i].Milliseconds())
		}
		t += fmt.Sprintf("%s_ms_bucket{le=%q} %d\n", name, le, sum)
	}
	return t + fmt.Sprintf("%s_ms_count %d\n%s_us_sum %d\n", name, sum, name, h.sum.Load())
}
