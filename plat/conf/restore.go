package conf

import (
	"context"
	"slices"

	"github.com/rotisserie/eris"

	"burdockreach.dev/plat/keyval"
)

// lacksRecent reports whether the service lacks one of the holder's last depth changes or has a different change in its place.
func (s source) lacksRecent(ctx context.Context, depth int) (bool, error) {
	recent := s.recent(depth)
	if len(recent) == 0 {
		return false, nil
	}
	have, err := s.listChanges(ctx, recent[0].Number-1)
	if err != nil {
		return false, err
	}
	for _, c := range recent {
		if w, ok := have[c.Number]; !ok || !w.change.matches(c) {
			return true, nil
		}
	}
	return false, nil
}

// restore writes those of the holder's last depth changes that the service lacks, in ascending order, so that each change in the
// service follows its predecessor. It returns the number of changes that it wrote, and ErrDiverged if the service has a
// different change under one of the numbers.
func (s source) restore(ctx context.Context, depth int) (int, error) {
	recent := s.recent(depth)
	if len(recent) == 0 {
		return 0, s.healSnapshot(ctx, s.holder.Document().number+1)
	}
	have, err := s.listChanges(ctx, recent[0].Number-1)
	if err != nil {
		return 0, err
	}
	if _, ok := have[recent[0].Number]; !ok {
		if err := s.healSnapshot(ctx, recent[0].Number); err != nil {
			return 0, err
		}
	}
	return s.putMissing(ctx, recent, have)
}

// putMissing writes those of the recent changes that are not in have.
func (s source) putMissing(ctx context.Context, recent []Change, have map[Number]storedChange) (int, error) {
	wrote := 0
	for _, c := range recent {
		w, ok := have[c.Number]
		if ok && !w.change.matches(c) {
			return wrote, &DivergedError{number: c.Number, have: c.Op, offered: w.change.Op}
		}
		if ok {
			continue
		}
		if err := s.putChange(ctx, c, keyval.Absent); err != nil {
			return wrote, err
		}
		wrote++
	}
	return wrote, nil
}

// recent returns the holder's last changes, at most depth of them.
func (s source) recent(depth int) []Change {
	l := s.retained(s.holder.Document().number)
	return l[max(0, len(l)-depth):]
}

// retained returns the changes up to n that the holder still keeps, in ascending order.
func (s source) retained(n Number) []Change {
	var l []Change
	for c, ok := s.holder.ChangeAt(n); ok; c, ok = s.holder.ChangeAt(c.Number - 1) {
		l = append(l, c)
	}
	slices.Reverse(l)
	return l
}

// healSnapshot writes the holder's document as the snapshot if the service's snapshot does not include the change before first.
func (s source) healSnapshot(ctx context.Context, first Number) error {
	if first <= 1 {
		return nil
	}
	d, rev, err := s.snapshot(ctx)
	if err != nil || d != nil && d.Number() >= first-1 {
		return err
	}
	return s.putSnapshot(ctx, s.holder.Document(), rev)
}

// storedChange is a change in the service and the revision of its key.
type storedChange struct {
	change Change
	rev    keyval.Revision
}

// listChanges returns the changes after n that the service has, by number.
func (s source) listChanges(ctx context.Context, n Number) (map[Number]storedChange, error) {
	have, after := map[Number]storedChange{}, LogKey(max(n, 0))
	for {
		l, _, err := s.store.List(ctx, LogPrefix, after, listPageSize)
		if err != nil {
			return nil, eris.Wrapf(err, "list changes after %s", after)
		}
		for _, i := range l {
			if c, err := parseChange(i); err == nil {
				have[c.Number] = storedChange{change: c, rev: i.Rev()}
			}
		}
		if len(l) < listPageSize {
			return have, nil
		}
		after = l[len(l)-1].Key()
	}
}
