package conf

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"

	"burdockreach.dev/plat/keyval"
)

const (
	initialRetryWait = 20 * time.Millisecond
	maxRetryWait     = time.Second
)

// Committer appends operators' changes to the log, one at a time.
type Committer struct {
	source    source
	catchUp   func(context.Context) error
	now       func() time.Time
	semaphore chan struct{} // holds one value while a commit runs.
}

// CommitOption adjusts a committer.
type CommitOption func(*Committer)

// WithCatchUp sets a function that runs before each commit and offers the peers' newest changes to the holder. It keeps an
// entry that has just started from building on a service that was restored from an older state. The commit goes on if it
// fails.
func WithCatchUp(f func(context.Context) error) CommitOption {
	return func(c *Committer) { c.catchUp = f }
}

// WithNow sets the clock that gives a change its time.
func WithNow(f func() time.Time) CommitOption { return func(c *Committer) { c.now = f } }

// NewCommitter returns a committer that writes to store and keeps holder up to date.
func NewCommitter(store keyval.Store, holder *Holder, opts ...CommitOption) *Committer {
	c := &Committer{
		source:    source{store: store, holder: holder},
		catchUp:   func(context.Context) error { return nil },
		now:       time.Now,
		semaphore: make(chan struct{}, 1),
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Commit appends the change to the log and returns its number once the service has stored it. It does not write an Op again that
// is already in the log. It retries until ctx ends. A FieldError or ErrNotAccepted means that this call did not write the change
// and never will; ErrUnsettled means that the outcome is unknown: call Repeat with the same Op.
func (c *Committer) Commit(ctx context.Context, change Change) (Number, error) {
	return c.run(ctx, &attempt{source: c.source, change: change})
}

// Repeat is Commit for a change whose outcome is unknown after an earlier call, at this or another entry. It never returns
// ErrNotAccepted, since the earlier call may have written the change or may still write it. A FieldError means that neither is
// possible, unless the service was restored from an older state.
func (c *Committer) Repeat(ctx context.Context, change Change) (Number, error) {
	return c.run(ctx, &attempt{source: c.source, change: change, repeat: true})
}

// Find returns the operation's number in the log, or 0 if the log does not have it now; a write that is still in flight may add
// it later. keyval.ErrDown and keyval.ErrUnknown mean that the service could not be read.
func (c *Committer) Find(ctx context.Context, op string) (Number, error) {
	if n, ok := c.source.holder.FindOp(op); ok {
		return n, nil
	}
	if _, err := c.source.pull(ctx); err != nil {
		return 0, err
	}
	if n, ok := c.source.holder.FindOp(op); ok {
		return n, nil
	}
	return c.source.findOp(ctx, op)
}

func (c *Committer) run(ctx context.Context, a *attempt) (Number, error) {
	select {
	case c.semaphore <- struct{}{}:
		defer func() { <-c.semaphore }()
	case <-ctx.Done():
		return 0, a.timeoutError(errCommitInProgress)
	}
	_ = c.catchUp(ctx)
	if a.change.At.IsZero() {
		a.change.At = c.now().UTC()
	}
	a.change = a.change.WithDefaults()
	b := retryWaits()
	for {
		n, done, err := a.try(ctx)
		if done {
			return n, err
		}
		if err == nil {
			b.Reset()
			continue
		}
		if sleep(ctx, b.NextBackOff()) != nil {
			return 0, a.timeoutError(err)
		}
	}
}

var errCommitInProgress = eris.New("conf: another commit of this entry is under way")

func retryWaits() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = initialRetryWait, maxRetryWait
	return b
}

// sleep waits for d. If ctx ends first, it returns the cause.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// attempt is the state of one Commit or Repeat call over its retries.
type attempt struct {
	source         source
	change         Change
	numbered       *Change // the change with its number and Prev; nil until prepare sets it.
	outcomeUnknown bool    // a write of numbered may have taken effect.
	mayBeLogged    bool    // the change may be, or may have been, in the log under some number.
	repeat         bool    // an earlier call may have written the change.
	searched       bool    // the service's log has been searched for the change.
}

// try makes one attempt to write the change. done means that the result is final: the change is in the log, or err says why the
// call ends. If done is false, a nil err means to try again without a wait.
func (a *attempt) try(ctx context.Context) (n Number, done bool, err error) {
	if a.numbered == nil {
		if n, done, err = a.prepare(ctx); a.numbered == nil {
			return n, done, err
		}
	}
	c := *a.numbered
	err = a.source.putChange(ctx, c, keyval.Absent)
	switch {
	case err == nil:
		return a.accept(c)
	case errors.Is(err, keyval.ErrConflict):
		return a.resolveConflict(ctx, c)
	case errors.Is(err, keyval.ErrTooLarge):
		return 0, true, err
	case errors.Is(err, keyval.ErrDown):
		a.dropNumber()
		return 0, false, err
	}
	a.outcomeUnknown, a.mayBeLogged = true, true
	return 0, false, err
}

// prepare brings the holder up to date, healing or merging where the service's log differs. It then validates the change
// against the newest document and gives it the next number.
func (a *attempt) prepare(ctx context.Context) (Number, bool, error) {
	v, err := a.source.pull(ctx)
	if err != nil {
		return 0, false, err
	}
	if n, ok := a.source.holder.FindOp(a.change.Op); ok {
		return n, true, nil
	}
	if errors.Is(v.offerErr, ErrDiverged) {
		return 0, false, a.merge(ctx)
	}
	if !v.headFound {
		return a.restore(ctx)
	}
	if n, err := a.searchLog(ctx); n > 0 || err != nil {
		return n, err == nil, err
	}
	d := a.source.holder.Document()
	c := a.change
	c.Number, c.Prev = d.number+1, d.chain
	if err := d.Validate(c); err != nil {
		return 0, true, a.invalidError(err)
	}
	a.numbered = &c
	return 0, false, nil
}

// merge joins the two histories. It returns an error if that changed nothing, so that the next try waits.
func (a *attempt) merge(ctx context.Context) error {
	before := a.source.holder.Document()
	n, err := a.source.merge(ctx)
	if err == nil && n == 0 && a.source.holder.Document() == before {
		err = eris.Wrap(ErrDiverged, "merge changed nothing")
	}
	return err
}

// searchLog searches everything that the service keeps of the log for a repeated change, once. It returns the change's
// number, or 0.
func (a *attempt) searchLog(ctx context.Context) (Number, error) {
	if !a.repeat || a.searched {
		return 0, nil
	}
	n, err := a.source.findOp(ctx, a.change.Op)
	a.searched = err == nil
	return n, err
}

// restore writes the changes that the service lacks, or merges if the service has others in their place.
func (a *attempt) restore(ctx context.Context) (Number, bool, error) {
	wrote, err := a.source.restore(ctx, DefaultTail)
	if errors.Is(err, ErrDiverged) {
		wrote, err = a.source.merge(ctx)
	}
	if err == nil && wrote == 0 {
		err = eris.Wrap(ErrGap, "the service lacks changes that are not known here")
	}
	return 0, false, err
}

// dropNumber discards the assigned number, unless the change may be in the log under it.
func (a *attempt) dropNumber() {
	if !a.outcomeUnknown {
		a.numbered = nil
	}
}

// resolveConflict reads the change that the service has under c's number. If it is c, the commit is done; if not, c needs a new
// number.
func (a *attempt) resolveConflict(ctx context.Context, c Change) (Number, bool, error) {
	i, err := a.source.store.Get(ctx, LogKey(c.Number))
	if err != nil {
		a.dropNumber()
		return 0, false, err
	}
	if !i.Found() {
		a.dropNumber()
		return 0, false, eris.Wrapf(ErrUnsettled, "change %d is gone again", c.Number)
	}
	w, err := parseChange(i)
	if err != nil {
		return 0, false, err
	}
	if w.Op == c.Op {
		return a.accept(w)
	}
	_, _ = a.source.holder.Offer(w) // the next pull reports a change that does not apply.
	a.numbered, a.outcomeUnknown = nil, false
	return 0, false, nil
}

// accept offers the holder a change that the service has stored. The change counts as accepted only once the holder has it too,
// because the holder's copy is written back if the service loses it.
func (a *attempt) accept(c Change) (Number, bool, error) {
	_, _ = a.source.holder.Offer(c) // the next pull reports a change that does not apply.
	if n, ok := a.source.holder.FindOp(c.Op); ok {
		return n, true, nil
	}
	a.numbered, a.outcomeUnknown, a.mayBeLogged = nil, false, true
	return 0, false, nil
}

// invalidError returns the error for a change that is not valid after the newest document. The outcome of a change that was
// written before is unknown: if the service was restored from an older state in between, an entry that has the change may
// still write it back.
func (a *attempt) invalidError(err error) error {
	if !a.mayBeLogged {
		return err
	}
	return eris.Wrapf(ErrUnsettled, "commit %s: %v", a.change.Op, err)
}

// timeoutError returns the error for a change that was not accepted before ctx ended.
func (a *attempt) timeoutError(last error) error {
	if a.mayBeLogged || a.repeat {
		return eris.Wrapf(ErrUnsettled, "commit %s: %v", a.change.Op, last)
	}
	return eris.Wrapf(ErrNotAccepted, "commit %s: %v", a.change.Op, last)
}
