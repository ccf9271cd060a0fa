package conf

import (
	"cmp"
	"context"
	"errors"
	"slices"

	"github.com/rotisserie/eris"

	"burdockreach.dev/plat/keyval"
)

// maxMergeRounds bounds the rounds of a merge that other entries' writes interrupt.
const maxMergeRounds = 20

// merge joins the histories that are left after the service came back older and took other changes: the service's history stays,
// the changes that do not follow on it, its own and the holder's, are added behind it under new numbers, and the holder goes
// forward to the result. A change that no longer fits has no effect there. Several entries may merge at once, as an operation
// is added once. It returns the number of changes that it added.
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

// appendUnmerged writes each stray change behind t's newest one, offers it to t, and clears what then still stands behind that.
// ErrConflict means that the service moved on meanwhile.
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
		_, _ = t.holder.Offer(c) // one that does not fit any more has no effect.
		added++
	}
	return added, t.deleteAfterHead(ctx, have)
}

// holderMatches reports whether the changes that were read are those that the holder has, and none that follows on them.
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

// deleteAfterHead removes the changes behind the holder's newest one: each has been added under another number.
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

// unmerged returns, by their numbers, the changes of own and those behind end in the service that are not part of its history up to
// end, each operation once.
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

// replace takes o's log, which has every change of the own one, in place of it, unless the own one is not at old any more. The
// number never goes down.
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
