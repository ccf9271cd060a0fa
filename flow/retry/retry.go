package retry

const (
	defaultShare    = 0.1 // retries per first send
	defaultBurst    = 10  // retries
	defaultAttempts = 3   // sends of one request, including the first
)

// Outcome is the result of one send.
type Outcome uint8

const (
	// NotRun means that the target refused the request and certainly did not run it.
	NotRun Outcome = iota
	// Leaving is NotRun from a target that is about to stop.
	Leaving
	// Failed means that the request ran and the target answered with a failure of its own.
	Failed
	// Unknown means that the request may have run.
	Unknown
)

// Verdict is the decision on a request after a send.
type Verdict uint8

const (
	// Again means that the request is to be sent again.
	Again Verdict = iota
	// Stop means that the request must not be sent again because it ran or may have run.
	Stop
	// Exhausted means that the request has no attempts left or the retry budget is used up.
	Exhausted
)

// Budget is a token bucket for retries: each first send adds a share of a token, and each retry takes one token.
type Budget struct {
	share, burst, tokens float64
	attempts             int
}

// Option configures a new Budget.
type Option func(*Budget)

// WithShare sets the number of retries, or the fraction of one, that each first send adds to the budget.
func WithShare(f float64) Option { return func(b *Budget) { b.share = f } }

// WithBurst sets the largest number of retries that the budget can hold. A new budget is full.
func WithBurst(n int) Option { return func(b *Budget) { b.burst = float64(n) } }

// WithAttempts sets the maximum number of sends of one request, including the first.
func WithAttempts(n int) Option { return func(b *Budget) { b.attempts = n } }

// New returns a full budget. By default it allows one retry per ten first sends, a burst of ten retries and three attempts.
func New(opts ...Option) *Budget {
	b := &Budget{share: defaultShare, burst: defaultBurst, attempts: defaultAttempts}
	for _, o := range opts {
		o(b)
	}
	b.tokens = b.burst
	return b
}

// AddFirstSend adds the share of one first send to the budget.
func (b *Budget) AddFirstSend() { b.tokens = min(b.burst, b.tokens+b.share) }

// Remaining returns the number of retries that the budget allows now.
func (b *Budget) Remaining() int { return int(b.tokens) }

// Decide returns what to do after send number attempt, counted from 1, and takes a retry from the budget if it allows one.
// An idempotent request that failed is retried only after its first attempt.
// A retry after Leaving takes nothing: a leaving target sends this refusal at most once for each of its slots.
func (b *Budget) Decide(o Outcome, attempt int, idempotent bool) Verdict {
	switch {
	case !idempotent && o >= Failed:
		return Stop
	case o == Failed && attempt > 1:
		return Stop
	case attempt >= b.attempts:
		return Exhausted
	case o == Leaving:
		return Again
	case b.tokens < 1:
		return Exhausted
	}
	b.tokens--
	return Again
}

// SetShare sets the share that each first send adds from now on. Retries already in the budget stay.
func (b *Budget) SetShare(f float64) { b.share = f }
