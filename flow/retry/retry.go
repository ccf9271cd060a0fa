package retry

const (
	defaultShare    = 0.1
	defaultBurst    = 10
	defaultAttempts = 3
)

// Outcome is what one send came to.
type Outcome uint8

const (
	// NotRun means that the target refused and certainly did not run the request.
	NotRun Outcome = iota
	// Leaving means NotRun because the target is about to stop.
	Leaving
	// Failed means that the request ran and the target answered with its own failure.
	Failed
	// Unknown means that the request may have run.
	Unknown
)

// Verdict is what to do after a send.
type Verdict uint8

const (
	// Again means to send the request again.
	Again Verdict = iota
	// Stop means that the request may not be sent again because it ran or may have run.
	Stop
	// Spent means that attempts or the budget are used up.
	Spent
)

// Budget bounds retries to a share of first sends and a burst.
type Budget struct {
	share, burst, tokens float64
	attempts             int
}

// Option changes a Budget at its making.
type Option func(*Budget)

// WithShare sets the retries that each first send pays for.
func WithShare(f float64) Option { return func(b *Budget) { b.share = f } }

// WithBurst sets the number of retries that may be saved up; the budget starts with it.
func WithBurst(n int) Option { return func(b *Budget) { b.burst = float64(n) } }

// WithAttempts sets the number of sends of one request, the first included.
func WithAttempts(n int) Option { return func(b *Budget) { b.attempts = n } }

// New returns a full budget of one retry for ten first sends, a burst of ten and three attempts.
func New(opts ...Option) *Budget {
	b := &Budget{share: defaultShare, burst: defaultBurst, attempts: defaultAttempts}
	for _, o := range opts {
		o(b)
	}
	b.tokens = b.burst
	return b
}

// First counts a first send.
func (b *Budget) First() { b.tokens = min(b.burst, b.tokens+b.share) }

// Left returns the number of retries that may be made at once.
func (b *Budget) Left() int { return int(b.tokens) }

// Decide returns what to do after send number attempt, counted from 1, and pays for a retry.
// A refusal of a leaving target is not paid for: it comes at most once for each of the target's slots.
func (b *Budget) Decide(o Outcome, attempt int, idempotent bool) Verdict {
	switch {
	case !idempotent && o >= Failed:
		return Stop
	case o == Failed && attempt > 1:
		return Stop
	case attempt >= b.attempts:
		return Spent
	case o == Leaving:
		return Again
	case b.tokens < 1:
		return Spent
	}
	b.tokens--
	return Again
}

// SetShare sets the retries that each first send pays for from now on; what is saved up stays.
func (b *Budget) SetShare(f float64) { b.share = f }
