package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"burdockreach.dev/flow/ledger"
	"burdockreach.dev/plat/steady"
)

const (
	outboxMaxSettlements = 65_536  // unfinished settlements
	outboxAnswerBytesMax = 8 << 20 // bytes of answers in unfinished settlements
	// settleBatchDelay is the wait before a delivery, so that one call can carry several settlements.
	settleBatchDelay    = 5 * time.Millisecond
	settleRetryInterval = 500 * time.Millisecond // between two rounds of retries
	// settleTimeout is how long delivery of a settlement is retried before it is dropped.
	settleTimeout       = 5 * time.Minute
	settleBatchMax      = 256       // settlements in one call
	settleBatchBytesMax = 512 << 10 // bytes of answers in one call
	settleConcurrency   = 16        // holders that are called at the same time
)

// settlement is the outcome of one copy of a keyed request, to be delivered to the holders of the key.
type settlement struct {
	outbox          *outbox
	home            string // data centre whose entries hold the key
	key, attempt    string
	record          ledger.Record
	holders         []ledger.Member // holders that were asked to grant the claim
	mayHaveStoreKey bool            // whether the copy may have created the key in the platform's key-value service
	confirmed       []ledger.Member // members that have the settlement
	needsRetry      bool            // whether this round missed a holder in the roster or the service, or found a newer roster
	deadline        time.Time
}

// outbox holds the unfinished settlements, that is, those that are neither delivered nor dropped.
type outbox struct {
	k    *KeyHolder
	wake chan struct{}

	mu          sync.Mutex
	pending     []*settlement // to be delivered in the next round
	retries     []*settlement // to be delivered again after settleRetryInterval
	unfinished  int           // number of unfinished settlements
	answerBytes int           // bytes of the answers in unfinished settlements
	dropped     int           // number of settlements dropped so far
}

func newOutbox(k *KeyHolder) *outbox { return &outbox{k: k, wake: make(chan struct{}, 1)} }

// enqueue queues the settlement for delivery. If the outbox is full, the settlement is dropped: the other holders' records still say
// that the key is claimed, until these records expire. If only the answer has no room, the settlement is sent without it.
func (j *settlement) enqueue() {
	o := j.outbox
	j.deadline = o.k.now().Add(settleTimeout)
	j.settleIfHolder()
	o.mu.Lock()
	full := o.unfinished >= outboxMaxSettlements
	if o.answerBytes+len(j.record.Answer) > outboxAnswerBytesMax {
		j.record.HasAnswer, j.record.Answer = false, nil
	}
	o.unfinished++
	o.answerBytes += len(j.record.Answer)
	if !full {
		o.pending = append(o.pending, j)
	}
	o.mu.Unlock()
	if full {
		o.finish(j, true)
		return
	}
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// settleIfHolder records the settlement at once if this entry is itself a holder.
func (j *settlement) settleIfHolder() {
	k := j.outbox.k
	if j.home != k.dataCentre || !slices.Contains(j.holders, k.self) {
		return
	}
	k.settleLocal(j.record)
	j.confirmed = append(j.confirmed, k.self)
}

// finish removes the settlement from the counts. If dropped is set, its delivery is given up: holders may lack it, or the service may
// still have its key.
func (o *outbox) finish(j *settlement, dropped bool) {
	o.mu.Lock()
	o.unfinished--
	o.answerBytes -= len(j.record.Answer)
	if dropped {
		o.dropped++
	}
	o.mu.Unlock()
	if dropped {
		o.k.log.Warn().Str("step", "settle").Str("key", j.record.ID.String()).Msg("settlement dropped")
	}
}

// run delivers the pending settlements in rounds until ctx ends. A round takes all that are pending.
func (o *outbox) run(ctx context.Context) error {
	g, c := errgroup.WithContext(ctx)
	g.Go(func() error { return o.retryLoop(c) })
	g.Go(func() error {
		for {
			select {
			case <-c.Done():
				return nil
			case <-o.wake:
			}
			steady.Sleep(c, settleBatchDelay)
			o.mu.Lock()
			l := o.pending
			o.pending = nil
			o.mu.Unlock()
			o.deliver(c, l)
		}
	})
	return g.Wait()
}

// retryLoop moves the settlements in retries to the pending ones every settleRetryInterval until ctx ends.
func (o *outbox) retryLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		steady.Sleep(ctx, settleRetryInterval)
		o.mu.Lock()
		if len(o.retries) > 0 {
			o.pending, o.retries = append(o.pending, o.retries...), nil
			select {
			case o.wake <- struct{}{}:
			default:
			}
		}
		o.mu.Unlock()
	}
	return nil
}

// settleBatch is the settlements that one call delivers to one holder.
type settleBatch struct {
	to           ledger.Member
	settlements  []*settlement
	bytes        int   // bytes of the answers in the settlements
	rosterNumber int64 // number of the newest roster that the holder knows
	err          error // error of the call
}

// deliver sends the settlements to their holders, and finishes each one or queues it for a retry. It calls several holders
// concurrently, and each with one call at a time.
func (o *outbox) deliver(ctx context.Context, l []*settlement) {
	batches := map[ledger.Member][]*settleBatch{}
	for _, j := range l {
		j.needsRetry = false
		for _, m := range j.remainingHolders() {
			batches[m] = addToBatches(batches[m], m, j)
		}
	}
	all := make([][]*settleBatch, 0, len(batches))
	for _, p := range batches {
		all = append(all, p)
	}
	forEach(ctx, settleConcurrency, all, func(c context.Context, l []*settleBatch) {
		for _, p := range l {
			p.send(c, o.k.client)
		}
	})
	for _, p := range all {
		for _, q := range p {
			o.recordResult(q)
		}
	}
	o.finishOrRetry(ctx, l)
}

// addToBatches adds j to the last batch for holder m, or to a new one when that is full.
func addToBatches(l []*settleBatch, m ledger.Member, j *settlement) []*settleBatch {
	n := len(j.record.Answer)
	if len(l) == 0 || len(l[len(l)-1].settlements) >= settleBatchMax || l[len(l)-1].bytes+n > settleBatchBytesMax {
		l = append(l, &settleBatch{to: m})
	}
	p := l[len(l)-1]
	p.settlements = append(p.settlements, j)
	p.bytes += n
	return l
}

func (p *settleBatch) send(ctx context.Context, c *Client) {
	l := make([]*SettleRequest, len(p.settlements))
	for i, j := range p.settlements {
		l[i] = j.request()
	}
	p.rosterNumber, p.err = c.Settle(ctx, p.to.Addr, l)
}

// recordResult updates a batch's settlements with the result of its call. If the holder knows a newer roster than this entry, its
// settlements need a retry, because that roster may name other holders. A failed call needs a retry only if the holder is still in
// the roster: otherwise other entries have pulled its records, or the holder has ended.
func (o *outbox) recordResult(p *settleBatch) {
	for _, j := range p.settlements {
		r := o.k.Roster(j.home)
		if p.err == nil {
			j.confirmed = append(j.confirmed, p.to)
			j.needsRetry = j.needsRetry || p.rosterNumber > r.Number()
		} else if m, in := r.Member(p.to.Entry); in && m.SameIncarnation(p.to) {
			j.needsRetry = true
		}
	}
}

// finishOrRetry finishes the settlements that are delivered or have reached their deadline, and queues the others for a retry. It
// first deletes from the service the keys of copies that were not run; a settlement counts as delivered only after that.
func (o *outbox) finishOrRetry(ctx context.Context, l []*settlement) {
	now := o.k.now()
	for _, j := range l {
		if j.mayHaveStoreKey && j.record.Phase == ledger.NotRun && !o.k.deleteKey(ctx, j.home, j.record) {
			j.needsRetry = true
		}
		switch {
		case !j.needsRetry:
			o.finish(j, false)
		case now.After(j.deadline):
			o.finish(j, true)
		default:
			o.k.requestRefresh(j.home)
			o.mu.Lock()
			o.retries = append(o.retries, j)
			o.mu.Unlock()
		}
	}
}

// drain waits until no settlement is unfinished. It returns an error if ctx ends before that.
func (o *outbox) drain(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		o.mu.Lock()
		n := o.unfinished
		o.mu.Unlock()
		if n == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "relay settle: %d settlements left", n)
		case <-t.C:
		}
	}
}

// remainingHolders returns the holders that have not confirmed the settlement yet, both those that were asked to grant the claim and
// those of the current roster.
func (j *settlement) remainingHolders() []ledger.Member {
	r := j.outbox.k.Roster(j.home)
	l := slices.Clone(j.holders)
	f, s := r.HoldersOf(j.record.ID)
	for _, e := range []string{f, s} {
		if m, ok := r.Member(e); ok && !slices.Contains(l, m) {
			l = append(l, m)
		}
	}
	return slices.DeleteFunc(l, func(m ledger.Member) bool { return slices.ContainsFunc(j.confirmed, m.SameIncarnation) })
}

func (j *settlement) request() *SettleRequest {
	return &SettleRequest{
		Key: j.key, Attempt: j.attempt, Phase: Phase(j.record.Phase), Status: int32(j.record.Status),
		Answer: j.record.Answer, Kept: j.record.HasAnswer, ContentType: j.record.ContentType,
	}
}
