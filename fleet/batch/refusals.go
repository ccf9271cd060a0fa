package batch

// refusalMemoryMs is how long a refusal is remembered, in ms. A copy of the refused call that was held up on its way arrives earlier.
const refusalMemoryMs = 30_000

// Refusals holds the callers' requests that were refused lately. An entry repeats a call to the owner that is not answered; a copy that
// arrives after the answer to a later one must not make the job run, since the caller has been told that it never runs. It outlives
// the terms of a process.
type Refusals struct {
	refused map[string]bool
	queue   []refusal // by time
}

type refusal struct {
	attempt string
	at      int64
}

// NewRefusals returns an empty Refusals.
func NewRefusals() *Refusals { return &Refusals{refused: map[string]bool{}} }

// add records that an attempt was refused, and forgets those that were refused more than refusalMemoryMs ago.
func (r *Refusals) add(attempt string, now int64) {
	for len(r.queue) > 0 && now-r.queue[0].at > refusalMemoryMs {
		delete(r.refused, r.queue[0].attempt)
		r.queue = r.queue[1:]
	}
	if attempt == "" || r.refused[attempt] {
		return
	}
	r.refused[attempt] = true
	r.queue = append(r.queue, refusal{attempt: attempt, at: now})
}

// has reports whether the attempt was refused.
func (r *Refusals) has(attempt string) bool { return r.refused[attempt] }
