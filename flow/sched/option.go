package sched

import "time"

// Option changes the settings of a Scheduler at its making.
type Option func(*settings)

type settings struct {
	retryShare  float64
	retryBurst  int
	urgentStart time.Duration
	maxEjected  float64
	maxQueued   int
}

func defaults() settings {
	return settings{
		retryShare: 0.1, retryBurst: 10, urgentStart: defaultUrgentStart,
		maxEjected: 0.5, maxQueued: 1 << 16,
	}
}

// WithRetryBudget sets the retries allowed as a share of first sends, and the burst of retries allowed at once.
func WithRetryBudget(share float64, burst int) Option {
	return func(s *settings) { s.retryShare, s.retryBurst = share, burst }
}

// WithUrgentStart sets the time within which urgent requests are to be sent.
func WithUrgentStart(d time.Duration) Option { return func(s *settings) { s.urgentStart = d } }

// WithMaxEjected sets the share of the targets that may be ejected at once.
func WithMaxEjected(f float64) Option { return func(s *settings) { s.maxEjected = f } }

// WithBound sets how many requests may wait.
func WithBound(n int) Option { return func(s *settings) { s.maxQueued = n } }
