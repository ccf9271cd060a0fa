package conf

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"burdockreach.dev/plat/keyval"
)

const (
	// SnapshotInterval is the number of changes between two snapshots.
	SnapshotInterval = 500
	// PruneBatch is the largest number of changes that one Step deletes.
	PruneBatch = 100
)

// Compactor limits what a new entry has to read and what the service stores. One entry of the fleet runs it.
type Compactor struct {
	source         source
	snapshotNumber Number // number of the newest snapshot that was read or written.
	prunedUpTo     Number // changes up to this number have been deleted.
}

// NewCompactor returns a compactor of the log in store, as far as holder has that log.
func NewCompactor(store keyval.Store, holder *Holder) *Compactor {
	return &Compactor{source: source{store: store, holder: holder}}
}

// Step writes a snapshot if there have been SnapshotInterval changes since the last one. Otherwise it deletes up to PruneBatch changes
// that are more than RetainedChanges before the snapshot. It is called every few seconds and makes no call to the service if there
// is nothing to do.
func (c *Compactor) Step(ctx context.Context) error {
	d := c.source.holder.Document()
	if d.number-c.snapshotNumber >= SnapshotInterval {
		return c.snapshot(ctx, d)
	}
	if c.snapshotNumber-RetainedChanges > c.prunedUpTo {
		return c.prune(ctx, c.snapshotNumber-RetainedChanges)
	}
	return nil
}

func (c *Compactor) snapshot(ctx context.Context, d *Document) error {
	old, rev, err := c.source.snapshot(ctx)
	if err != nil {
		return err
	}
	if old != nil && old.number > d.number-SnapshotInterval {
		c.snapshotNumber = old.number
		return nil
	}
	if err := c.checkHistory(ctx, d); err != nil {
		return err
	}
	err = c.source.putSnapshot(ctx, d, rev)
	if errors.Is(err, keyval.ErrConflict) {
		return nil
	}
	if err == nil {
		c.snapshotNumber = d.number
	}
	return err
}

// checkHistory returns an error unless the service's log has d's last change, so that no snapshot is made of another history.
func (c *Compactor) checkHistory(ctx context.Context, d *Document) error {
	i, err := c.source.store.Get(ctx, LogKey(d.number))
	if err != nil {
		return eris.Wrapf(err, "get change %d", d.number)
	}
	w, err := parseChange(i)
	if !i.Found() || err != nil {
		return eris.Wrapf(ErrGap, "snapshot: the service lacks change %d", d.number)
	}
	if !d.isLast(w) {
		return &DivergedError{number: d.number, have: d.op, offered: w.Op}
	}
	return nil
}

func (c *Compactor) prune(ctx context.Context, upTo Number) error {
	l, _, err := c.source.store.List(ctx, LogPrefix, "", PruneBatch)
	if err != nil {
		return eris.Wrap(err, "list changes to prune")
	}
	for _, i := range l {
		n, ok := parseLogKey(i.Key())
		if !ok || n > upTo {
			c.prunedUpTo = upTo
			return nil
		}
		if err := c.source.store.Delete(ctx, i.Key(), i.Rev()); err != nil && !errors.Is(err, keyval.ErrConflict) {
			return eris.Wrapf(err, "prune change %d", n)
		}
	}
	if len(l) < PruneBatch {
		c.prunedUpTo = upTo
	}
	return nil
}
