package conf

import (
	"cmp"
	"context"
	"errors"
	"slices"

	"github.com/rotisserie/eris"

	"burdockreach.dev/plat/keyval"
)

// maxMergeRounds limits how often a merge starts again after another entry's write interrupted it.
const maxMergeRounds = 20

// merge joins two histories, which exist if the service was restored from an older state and then took other changes. The
// service's history stays. Changes that do not follow on it, whether the service or the holder has them, are appended to it under
// new numbers, and the holder switches to the result. An appended change that is no longer valid has no effect. Several entries
// may merge at once, as each operation is appended only once. merge returns the number of changes that it appended.
func (s source) merge(ctx context.Context) (int, error) {
	added := 0
	for range maxMergeRounds {
		own := s.holder.Document()
		t := source{store: s.store, holder: NewHolder()}
		if _, err := t.pull(ctx); err != nil {
			return added, err
		}
		n, err := s.appendUnmerged(ctx, t, own.number)
		added += n
		if errors.Is(err, keyval.ErrConflict) {
			continue
		}
		if err != nil {
			return added, err
		}
		if s.holder.replace(own, t.holder) {
			return added, nil
		}
	}
	return added, eris.Wrap(keyval.ErrConflict, "merge histories")
}

// appendUnmerged writes each unmerged change after t's newest one and offers it to t's holder. It then deletes the changes that
// the service still has after t's newest one. ErrConflict means that the service's log changed meanwhile.
func (s source) appendUnmerged(ctx context.Context, t source, upTo Number) (int, error) {
	have, err := s.listChanges(ctx, 0)
	if err != nil {
		return 0, err
	}
	head := t.holder.Document().number
	if !t.holderMatches(have) {
		return 0, eris.Wrapf(keyval.ErrConflict, "merge at change %d", head)
	}
	added := 0
	for _, c := range unmerged(s.retained(upTo), have, head) {
		d := t.holder.Document()
		c.Number, c.Prev, c.Expect = d.number+1, d.chain, 0
		if err := t.putChange(ctx, c, have[c.Number].rev); err != nil {
			return added, err
		}
		_, _ = t.holder.Offer(c) // a change that is no longer valid has no effect.
		added++
	}
	return added, t.deleteAfterHead(ctx, have)
}

// holderMatches reports whether have contains every change that the holder keeps, and no change that follows its newest one.
func (s source) holderMatches(have map[Number]storedChange) bool {
	d := s.holder.Document()
	if p, ok := have[d.number+1]; ok && p.change.Prev == d.chain {
		return false
	}
	for _, c := range s.retained(d.number) {
		if p, ok := have[c.Number]; !ok || !p.change.matches(c) {
			return false
		}
	}
	return true
}

// deleteAfterHead deletes the changes after the holder's newest one: each has been appended under another number.
func (s source) deleteAfterHead(ctx context.Context, have map[Number]storedChange) error {
	for n, p := range have {
		if n <= s.holder.Document().number {
			continue
		}
		if err := s.store.Delete(ctx, LogKey(n), p.rev); err != nil {
			return eris.Wrapf(err, "clear change %d", n)
		}
	}
	return nil
}

// unmerged returns the changes that are not part of the service's history up to head: those of own and those that the service has
// after head. They are in the order of their numbers, with each operation once.
func unmerged(own []Change, have map[Number]storedChange, head Number) []Change {
	known := map[string]bool{}
	for n, p := range have {
		if n <= head {
			known[p.change.Op] = true
		} else {
			own = append(own, p.change)
		}
	}
	slices.SortStableFunc(own, func(a, b Change) int { return cmp.Compare(a.Number, b.Number) })
	return slices.DeleteFunc(own, func(c Change) bool {
		seen := known[c.Op]
		known[c.Op] = true
		return seen
	})
}

// replace switches the holder to o's log, which has every change of the holder's own log. It changes nothing and returns false if
// the holder's document is no longer old. The number never goes down.
func (h *Holder) replace(old *Document, o *Holder) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.log.doc != old {
		return false
	}
	if o.log.doc.number >= old.number && o.log.doc.chain != old.chain {
		h.log.doc, h.log.tail = o.log.doc, o.log.tail
		h.publish()
	}
	return true
}
