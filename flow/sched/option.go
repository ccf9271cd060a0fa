package sched

import "time"

// Option configures a new Scheduler.
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

// WithRetryBudget sets the number of retries that each first send allows, and the burst of retries allowed at once.
func WithRetryBudget(share float64, burst int) Option {
	return func(s *settings) { s.retryShare, s.retryBurst = share, burst }
}

// WithUrgentStart sets the time within which urgent requests should be sent.
func WithUrgentStart(d time.Duration) Option { return func(s *settings) { s.urgentStart = d } }

// WithMaxEjected sets the share of the targets that may be ejected at the same time.
func WithMaxEjected(f float64) Option { return func(s *settings) { s.maxEjected = f } }

// WithMaxQueued sets the maximum number of queued requests.
func WithMaxQueued(n int) Option { return func(s *settings) { s.maxQueued = n } }
