package share

import (
	"math/rand/v2"
	"slices"
	"time"

	"burdockreach.dev/flow/sched"
)

const (
	burstLoadFactor = 5.0             // request rate in a burst, as a multiple of the mean
	calmLoadFactor  = 0.05            // request rate between bursts, as a multiple of the mean
	drainTime       = 5 * time.Second // the replay goes on for this long after the end of the trace
)

// Request is one request of a Trace.
type Request struct {
	arrivesAt, runTime, timeout time.Duration
	entry                       int
	class                       sched.Class
	idempotent                  bool
}

// Trace holds the requests to one service's targets in one data centre, which arrive through several entries.
type Trace struct {
	entries, targets, slots int
	hopDelay                time.Duration // one way
	requests                []Request
	bursts                  []span
	end                     time.Duration
	silentFrom              time.Duration // when the first target starts to accept requests without ever answering, 0 for never
}

type span struct{ from, to time.Duration }

// Requests returns the number of requests.
func (t Trace) Requests() int { return len(t.requests) }

// End returns the duration of the trace.
func (t Trace) End() time.Duration { return t.end }

// TraceShape holds the parameters of a generated trace.
type TraceShape struct {
	seed                         uint64
	entries, targets             int
	burstCount                   int
	burstLength, calmLength      time.Duration
	load                         float64 // mean, as a share of the capacity
	meanRun                      time.Duration
	urgentShare, backgroundShare float64 // of the requests
	exponential                  bool
	silentFrom                   time.Duration
	skew                         float64 // ratio of the request rates of the busiest entry and the next one, and so on
}

// TraceOption configures the TraceShape of a new trace.
type TraceOption func(*TraceShape)

// WithEntries sets the number of entries.
func WithEntries(n int) TraceOption { return func(s *TraceShape) { s.entries = n } }

// WithTargets sets the number of targets.
func WithTargets(n int) TraceOption { return func(s *TraceShape) { s.targets = n } }

// WithLoad sets the mean load as a share of the capacity.
func WithLoad(f float64) TraceOption { return func(s *TraceShape) { s.load = f } }

// WithBursts sets the number of bursts.
func WithBursts(n int) TraceOption { return func(s *TraceShape) { s.burstCount = n } }

// WithMeanRunTime sets the mean run time.
func WithMeanRunTime(d time.Duration) TraceOption { return func(s *TraceShape) { s.meanRun = d } }

// WithExponentialRunTimes draws run times from an exponential distribution. The default is uniform between 0.2 and 1.8 times the mean.
func WithExponentialRunTimes() TraceOption { return func(s *TraceShape) { s.exponential = true } }

// WithClasses sets the shares of urgent and of background requests.
func WithClasses(urgent, background float64) TraceOption {
	return func(s *TraceShape) { s.urgentShare, s.backgroundShare = urgent, background }
}

// WithSilentTarget makes the first target accept requests without ever answering, from the given time on.
func WithSilentTarget(from time.Duration) TraceOption {
	return func(s *TraceShape) { s.silentFrom = from }
}

// WithSkew sets the ratio of the request rates of the busiest entry and the next one, and so on. The busiest entry changes with
// each burst.
func WithSkew(f float64) TraceOption { return func(s *TraceShape) { s.skew = f } }

// FiveFoldBursts returns a trace of bursts with five times the mean request rate, and a twentieth of it between them.
func FiveFoldBursts(seed uint64, opts ...TraceOption) Trace {
	s := TraceShape{
		seed: seed, entries: 3, targets: 4, burstCount: 3, burstLength: 5 * time.Second, calmLength: 21 * time.Second,
		load: 0.4, meanRun: 50 * time.Millisecond, urgentShare: 0.2, backgroundShare: 0.2, skew: 1,
	}
	for _, o := range opts {
		o(&s)
	}
	return s.trace()
}

func (s TraceShape) trace() Trace {
	t := Trace{entries: s.entries, targets: s.targets, slots: 8, hopDelay: 250 * time.Microsecond, silentFrom: s.silentFrom}
	r := rand.New(rand.NewPCG(s.seed, 1))
	perSecond := s.load * float64(s.targets*t.slots) / s.meanRun.Seconds()
	for k := range s.burstCount {
		from := time.Duration(k)*(s.burstLength+s.calmLength) + s.calmLength/2
		b := span{from, from + s.burstLength}
		t.bursts = append(t.bursts, b)
		t.end = b.to + s.calmLength/2
		s.addRequests(&t, r, k, span{b.from - s.calmLength/2, b.from}, calmLoadFactor*perSecond)
		s.addRequests(&t, r, k, b, burstLoadFactor*perSecond)
		s.addRequests(&t, r, k, span{b.to, t.end}, calmLoadFactor*perSecond)
	}
	return t
}

// addRequests adds requests at random times within the span.
func (s TraceShape) addRequests(t *Trace, r *rand.Rand, burst int, x span, perSecond float64) {
	for at := x.from; ; {
		at += time.Duration(r.ExpFloat64() / perSecond * float64(time.Second))
		if at >= x.to {
			return
		}
		t.requests = append(t.requests, s.request(r, burst, at))
	}
}

func (s TraceShape) request(r *rand.Rand, burst int, at time.Duration) Request {
	q := Request{arrivesAt: at, entry: s.pickEntry(r, burst), idempotent: r.IntN(2) == 0}
	f := 0.2 + 1.6*r.Float64()
	if s.exponential {
		f = r.ExpFloat64()
	}
	q.runTime = time.Duration(f * float64(s.meanRun))
	switch u := r.Float64(); {
	case u < s.urgentShare:
		q.class, q.timeout = sched.Urgent, 1500*time.Millisecond
	case u < s.urgentShare+s.backgroundShare:
		q.class, q.timeout = sched.Background, 20*time.Second+time.Duration(r.IntN(20))*time.Second
	default:
		q.class, q.timeout = sched.Normal, time.Second+time.Duration(r.IntN(2000))*time.Millisecond
	}
	return q
}

// pickEntry draws the entry at which a request arrives.
func (s TraceShape) pickEntry(r *rand.Rand, burst int) int {
	sum, w := 0.0, make([]float64, s.entries)
	for i := range w {
		w[i] = 1
		if i > 0 {
			w[i] = w[i-1] / s.skew
		}
		sum += w[i]
	}
	u := r.Float64() * sum
	i := slices.IndexFunc(w, func(f float64) bool { u -= f; return u < 0 })
	return (max(i, 0) + burst) % s.entries
}
