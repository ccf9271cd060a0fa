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
	outboxMax      = 65_536 // jobs
	outboxAnswers  = 8 << 20
	settleLinger   = 5 * time.Millisecond
	settleAgain    = 500 * time.Millisecond
	settleWithin   = 5 * time.Minute
	settleBatch    = 256       // jobs in one call
	settleBytes    = 512 << 10 // answers in one call
	settleCallsMax = 16
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
	missed       bool            // whether someone who must know could not be told in this round
	until        time.Time
}

// outbox is the jobs that have not reached all holders yet.
type outbox struct {
	k    *Keeper
	wake chan struct{}

	mu      sync.Mutex
	jobs    []*job // to be done now
	later   []*job // to be done again
	waiting int
	bytes   int // of the answers that wait
	dropped int
}

func newOutbox(k *Keeper) *outbox { return &outbox{k: k, wake: make(chan struct{}, 1)} }

// send hands the job over; when too many wait it is dropped, which leaves its key claimed until that lapses.
func (j *job) send() {
	o := j.out
	j.until = o.k.now().Add(settleWithin)
	j.here()
	o.mu.Lock()
	full := o.waiting >= outboxMax
	if o.bytes+len(j.record.Answer) > outboxAnswers {
		j.record.HasAnswer, j.record.Answer = false, nil
	}
	o.waiting++
	o.bytes += len(j.record.Answer)
	if !full {
		o.jobs = append(o.jobs, j)
	}
	o.mu.Unlock()
	if full {
		o.end(j, true)
		return
	}
	select {
	case o.wake <- struct{}{}:
	default:
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
	o.bytes -= len(j.record.Answer)
	if dropped {
		o.dropped++
	}
	o.mu.Unlock()
	if dropped {
		o.k.log.Warn().Str("step", "settle").Str("key", j.record.ID.String()).Msg("holders not told")
	}
}

// run performs the jobs, many at a time, until ctx ends.
func (o *outbox) run(ctx context.Context) error {
	g, c := errgroup.WithContext(ctx)
	g.Go(func() error { return o.repeat(c) })
	g.Go(func() error {
		for {
			select {
			case <-c.Done():
				return nil
			case <-o.wake:
			}
			pause(c, settleLinger)
			o.mu.Lock()
			l := o.jobs
			o.jobs = nil
			o.mu.Unlock()
			o.do(c, l)
		}
	})
	return g.Wait()
}

// repeat hands the jobs that failed back.
func (o *outbox) repeat(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, settleAgain)
		o.mu.Lock()
		if len(o.later) > 0 {
			o.jobs, o.later = append(o.jobs, o.later...), nil
			select {
			case o.wake <- struct{}{}:
			default:
			}
		}
		o.mu.Unlock()
	}
	return nil
}

// parcel is what one call tells one holder.
type parcel struct {
	to    ledger.Member
	jobs  []*job
	bytes int
	known int64 // newest roster that the holder knows
	err   error
}

// do tells the holders of all jobs, one call at a time for each holder.
func (o *outbox) do(ctx context.Context, l []*job) {
	rounds := map[ledger.Member][]*parcel{}
	for _, j := range l {
		j.missed = false
		for _, m := range j.lacking() {
			rounds[m] = pack(rounds[m], m, j)
		}
	}
	all := make([][]*parcel, 0, len(rounds))
	for _, p := range rounds {
		all = append(all, p)
	}
	each(ctx, settleCallsMax, all, func(c context.Context, l []*parcel) {
		for _, p := range l {
			p.deliver(c, o.k.client)
		}
	})
	for _, p := range all {
		for _, q := range p {
			o.note(q)
		}
	}
	o.sort(ctx, l)
}

func pack(l []*parcel, m ledger.Member, j *job) []*parcel {
	n := len(j.record.Answer)
	if len(l) == 0 || len(l[len(l)-1].jobs) >= settleBatch || l[len(l)-1].bytes+n > settleBytes {
		l = append(l, &parcel{to: m})
	}
	p := l[len(l)-1]
	p.jobs = append(p.jobs, j)
	p.bytes += n
	return l
}

func (p *parcel) deliver(ctx context.Context, c *Client) {
	l := make([]*SettleRequest, len(p.jobs))
	for i, j := range p.jobs {
		l[i] = j.request()
	}
	p.known, p.err = c.Settle(ctx, p.to.Addr, l)
}

// note tells the jobs of a parcel how it went.
func (o *outbox) note(p *parcel) {
	for _, j := range p.jobs {
		r := o.k.Roster(j.home)
		if p.err == nil {
			j.told = append(j.told, p.to.Entry)
			j.missed = j.missed || p.known > r.Number()
		} else if m, in := r.Member(p.to.Entry); in && m.SameIncarnation(p.to) { // one that has left has been pulled from or is gone
			j.missed = true
		}
	}
}

// sort ends the jobs that are done or out of time and keeps the others for later.
func (o *outbox) sort(ctx context.Context, l []*job) {
	now := o.k.now()
	for _, j := range l {
		if j.store && j.record.Phase == ledger.NotRun && !o.k.unstoreKey(ctx, j.home, j.record) {
			j.missed = true
		}
		switch {
		case !j.missed:
			o.end(j, false)
		case now.After(j.until):
			o.end(j, true)
		default:
			o.k.ask(j.home)
			o.mu.Lock()
			o.later = append(o.later, j)
			o.mu.Unlock()
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

// lacking returns the holders of now and those that were asked, but for those that have been told.
func (j *job) lacking() []ledger.Member {
	r := j.out.k.Roster(j.home)
	l := slices.Clone(j.holders)
	f, s := r.HoldersOf(j.record.ID)
	for _, e := range []string{f, s} {
		if m, ok := r.Member(e); ok && !slices.Contains(l, m) {
			l = append(l, m)
		}
	}
	return slices.DeleteFunc(l, func(m ledger.Member) bool { return slices.Contains(j.told, m.Entry) })
}

func (j *job) request() *SettleRequest {
	return &SettleRequest{
		Key: j.key, Attempt: j.attempt, Phase: Phase(j.record.Phase), Status: int32(j.record.Status),
		Answer: j.record.Answer, Kept: j.record.HasAnswer, ContentType: j.record.ContentType,
	}
}
