package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"burdockreach.dev/flow/ledger"
)

const (
	outboxMax    = 16_384 // jobs
	settleAgain  = 500 * time.Millisecond
	settleWithin = 5 * time.Minute
)

// job tells the holders of a key what became of one copy.
type job struct {
	out          *outbox
	home         string
	key, attempt string
	record       ledger.Record
	holders      []ledger.Member // that were asked
	store        bool            // whether the platform's service may have the key
	told         []string        // entries that have it
	until        time.Time
}

// outbox is the queue of jobs that have not reached all holders yet.
type outbox struct {
	k    *Keeper
	jobs chan *job

	mu      sync.Mutex
	later   []*job
	waiting int
	dropped int
}

func newOutbox(k *Keeper) *outbox { return &outbox{k: k, jobs: make(chan *job, outboxMax)} }

// send hands the job over; when too many wait it is dropped, which leaves its key claimed until that lapses.
func (j *job) send() {
	o := j.out
	j.until = o.k.now().Add(settleWithin)
	j.here()
	o.mu.Lock()
	o.waiting++
	o.mu.Unlock()
	select {
	case o.jobs <- j:
	default:
		o.end(j, true)
	}
}

// here settles at this very entry at once.
func (j *job) here() {
	k := j.out.k
	if j.home != k.dataCentre || !slices.Contains(j.holders, k.self) {
		return
	}
	k.settleHere(j.record)
	j.told = append(j.told, k.self.Entry)
}

func (o *outbox) end(j *job, dropped bool) {
	o.mu.Lock()
	o.waiting--
	if dropped {
		o.dropped++
	}
	o.mu.Unlock()
	if dropped {
		o.k.log.Warn().Str("step", "settle").Str("key", j.record.ID.String()).Msg("holders not told")
	}
}

// run performs the jobs until ctx ends.
func (o *outbox) run(ctx context.Context) error {
	g, c := errgroup.WithContext(ctx)
	for range settleTasks {
		g.Go(func() error { return o.work(c) })
	}
	g.Go(func() error { return o.repeat(c) })
	return g.Wait()
}

func (o *outbox) work(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case j := <-o.jobs:
			o.do(ctx, j)
		}
	}
}

func (o *outbox) do(ctx context.Context, j *job) {
	switch {
	case j.perform(ctx):
		o.end(j, false)
	case o.k.now().After(j.until):
		o.end(j, true)
	default:
		o.mu.Lock()
		o.later = append(o.later, j)
		o.mu.Unlock()
	}
}

// repeat hands the jobs that failed back to the workers.
func (o *outbox) repeat(ctx context.Context) error {
	t := time.NewTicker(settleAgain)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		o.mu.Lock()
		l := o.later
		o.later = nil
		o.mu.Unlock()
		for _, j := range l {
			select {
			case o.jobs <- j:
			case <-ctx.Done():
				return nil
			}
		}
	}
}

// drain waits until no job is left.
func (o *outbox) drain(ctx context.Context) error {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		o.mu.Lock()
		n := o.waiting
		o.mu.Unlock()
		if n == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "relay settle: %d left", n)
		case <-t.C:
		}
	}
}

// perform tells those that lack it, and reports whether everyone who must know does.
func (j *job) perform(ctx context.Context) bool {
	k := j.out.k
	r := k.Roster(j.home)
	f, s := r.HoldersOf(j.record.ID)
	all := true
	for _, m := range j.targets(r, f, s) {
		if slices.Contains(j.told, m.Entry) {
			continue
		}
		a, err := k.client.Settle(ctx, m.Addr, j.request())
		if err == nil {
			j.told = append(j.told, m.Entry)
			all = all && a.GetRoster() <= r.Number()
			continue
		}
		if cur, in := r.Member(m.Entry); in && cur.Is(m) { // one that has left has been pulled from or is gone
			all = false
		}
	}
	if j.store && j.record.Phase == ledger.NotRun {
		all = k.unstoreKey(ctx, j.home, j.record) && all
	}
	if !all {
		k.ask(j.home)
	}
	return all
}

// targets returns the holders of now and those that were asked.
func (j *job) targets(r ledger.Roster, first, second string) []ledger.Member {
	l := slices.Clone(j.holders)
	for _, e := range []string{first, second} {
		if m, ok := r.Member(e); ok && !slices.Contains(l, m) {
			l = append(l, m)
		}
	}
	return l
}

func (j *job) request() *SettleRequest {
	return &SettleRequest{
		Key: j.key, Attempt: j.attempt, Phase: Phase(j.record.Phase), Status: int32(j.record.Status),
		Answer: j.record.Answer, Kept: j.record.Kept, ContentType: j.record.ContentType,
	}
}
