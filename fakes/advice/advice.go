package advice

import (
	"fmt"
	"hash/fnv"
	"slices"

	"burdockreach.dev/fleet/batch"
)

// maxWaiting is the number of waiting requests of one machine from which on the service refuses more.
const maxWaiting = 32

// Service simulates the service. It handles one request of each calling machine at a time, in turn, and also those that their callers have
// given up. It is not safe for concurrent use.
type Service struct {
	times   batch.AdviceTimes
	permits func(step, worker string) bool
	born    func(worker string) int64
	lines   map[string]*line
	tickets map[string]ticket
	nowMs   int64
	silent  bool
	handled int
	refused int
}

// line holds the requests of one machine. The first one is being handled.
type line struct {
	requests []request
	doneMs   int64 // when the first one is done.
}

// request is one request, and the function that takes its answer.
type request struct {
	step    string
	workers []string
	answer  func(tickets map[string]string)
}

// ticket permits one step on one lifetime of a worker.
type ticket struct {
	step, worker string
	born         int64
	untilMs      int64
}

// New returns a service that takes the given times, in milliseconds. permits tells which workers may run a step, and born the start of a
// worker's present lifetime.
func New(t batch.AdviceTimes, permits func(step, worker string) bool, born func(worker string) int64) *Service {
	return &Service{times: t, permits: permits, born: born, lines: map[string]*line{}, tickets: map[string]ticket{}}
}

// Ask takes a request from the machine, or returns false if too many of its requests wait. It calls answer with the tickets, by worker, once
// the request was handled.
func (s *Service) Ask(machine, step string, workers []string, answer func(tickets map[string]string)) bool {
	l := s.lines[machine]
	if l == nil {
		l = &line{}
		s.lines[machine] = l
	}
	if len(l.requests) > maxWaiting { // the first one does not wait any more.
		s.refused++
		return false
	}
	l.requests = append(l.requests, request{step, slices.Clone(workers), answer})
	if len(l.requests) == 1 {
		s.begin(l, s.nowMs)
	}
	return true
}

func (s *Service) begin(l *line, atMs int64) {
	l.doneMs = atMs + s.times.DecideMs + s.times.EachMs*int64(len(l.requests[0].workers))
}

// SetSilent sets whether the service handles no requests for now.
func (s *Service) SetSilent(silent bool) { s.silent = silent }

// Advance moves the time to nowMs, in milliseconds, and answers the requests that are done.
func (s *Service) Advance(nowMs int64) {
	s.nowMs = nowMs
	for _, l := range s.lines {
		if s.silent && len(l.requests) > 0 {
			s.begin(l, nowMs)
		}
		for len(l.requests) > 0 && l.doneMs <= nowMs {
			r := l.requests[0]
			l.requests = slices.Delete(l.requests, 0, 1)
			s.handled++
			r.answer(s.grant(r, l.doneMs))
			if len(l.requests) > 0 {
				s.begin(l, l.doneMs)
			}
		}
	}
}

func (s *Service) grant(r request, atMs int64) map[string]string {
	m := map[string]string{}
	for _, w := range r.workers {
		if !s.permits(r.step, w) {
			continue
		}
		x := fmt.Sprintf("%s-%s-%d", r.step, w, len(s.tickets))
		s.tickets[x] = ticket{r.step, w, s.born(w), atMs + s.times.ValidMs}
		m[w] = x
	}
	return m
}

// Share returns a function that permits each step on other workers, n of a thousand on average.
func Share(n int) func(step, worker string) bool {
	return func(step, worker string) bool {
		h := fnv.New32a()
		_, _ = h.Write([]byte(step + " " + worker)) // never fails.
		return int(h.Sum32()%1000) < n
	}
}

// IsValid reports whether the text is a ticket with which the worker, in the lifetime that began at born, starts a task of the step.
func (s *Service) IsValid(text, step, worker string, born int64) bool {
	t, ok := s.tickets[text]
	return ok && t.step == step && t.worker == worker && t.born == born && s.nowMs < t.untilMs
}

// ValidMs returns how long tickets are valid, in milliseconds.
func (s *Service) ValidMs() int64 { return s.times.ValidMs }

// Waiting returns the number of requests of all machines that are not handled, the ones being handled included.
func (s *Service) Waiting() int {
	n := 0
	for _, l := range s.lines {
		n += len(l.requests)
	}
	return n
}

// Handled returns the number of requests that were handled so far.
func (s *Service) Handled() int { return s.handled }

// Refused returns the number of requests that were refused so far.
func (s *Service) Refused() int { return s.refused }
