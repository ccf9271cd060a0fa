package conf

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"burdockreach.dev/plat/keyval"
)

const (
	// LogPrefix is the prefix of the keys of changes in the service.
	LogPrefix = "conf/log/"
	// SnapshotKey is the key of the snapshot.
	SnapshotKey = "conf/snap"
)

// listPageSize is the number of changes that one List call asks for.
const listPageSize = 500

// LogKey returns the key of the change with that number.
func LogKey(n Number) string { return fmt.Sprintf("%s%012d", LogPrefix, n) }

func parseLogKey(key string) (Number, bool) {
	n, err := strconv.ParseInt(strings.TrimPrefix(key, LogPrefix), 10, 64)
	return Number(n), err == nil && n > 0
}

// Snapshot is the value under SnapshotKey.
type Snapshot struct {
	N        Number          `json:"n"`
	Document json.RawMessage `json:"document"`
}

// source reads and writes the service's log for a holder.
type source struct {
	store  keyval.Store
	holder *Holder
}

// pullResult describes the service's log as a pull found it.
type pullResult struct {
	rev       keyval.Revision // the service's revision, from which a watch can start.
	headFound bool            // the service has the holder's newest change, in its log or its snapshot.
	offerErr  error           // Offer's error; ErrDiverged if the service has a different change under the holder's number.
}

// maxPullRounds limits the rounds of a pull; another round follows if the snapshot was newer than the holder.
const maxPullRounds = 3

// pull brings the holder up to the service's newest change. That takes one List call, or the snapshot and further List calls if
// the holder is far behind.
func (s source) pull(ctx context.Context) (pullResult, error) {
	if s.holder.Document().Number() == 0 {
		if _, err := s.pullSnapshot(ctx); err != nil {
			return pullResult{}, err
		}
	}
	var v pullResult
	for range maxPullRounds {
		var err error
		if v, err = s.pullLog(ctx, false); err != nil || v.headFound || v.offerErr != nil {
			return v, err
		}
		before := s.holder.Document()
		d, err := s.pullSnapshot(ctx)
		if err != nil || d == nil || d.number < before.number {
			return v, err
		}
		if d.number == before.number {
			if d.chain != before.chain {
				v.offerErr = &DivergedError{number: d.number, have: before.op, offered: d.op}
				return v, nil
			}
			return s.pullLog(ctx, true)
		}
	}
	return v, nil
}

// pullLog offers the holder the changes from its newest one on. It offers none if the service's log does not have that one,
// unless headFound says that the snapshot has it.
func (s source) pullLog(ctx context.Context, headFound bool) (pullResult, error) {
	d := s.holder.Document()
	v := pullResult{headFound: headFound}
	after := LogKey(max(d.number-1, 0))
	for first := true; ; first = false {
		l, rev, err := s.store.List(ctx, LogPrefix, after, listPageSize)
		if err != nil {
			return v, eris.Wrapf(err, "list changes after %s", after)
		}
		v.rev = rev
		if first {
			v.findHead(d, l)
		}
		if !v.headFound {
			return v, nil
		}
		if v.offerErr = errors.Join(v.offerErr, s.offerItems(l)); len(l) < listPageSize {
			return v, nil
		}
		after = l[len(l)-1].Key()
	}
}

// findHead checks whether the list starts with d's last change. It records a DivergedError if the list starts with a different
// change under the same number.
func (v *pullResult) findHead(d *Document, l []keyval.Item) {
	if len(l) == 0 {
		v.headFound = v.headFound || d.number == 0
		return
	}
	c, err := parseChange(l[0])
	switch {
	case err != nil:
	case c.Number == d.number && d.number > 0 && !d.isLast(c):
		v.headFound, v.offerErr = false, &DivergedError{number: d.number, have: d.op, offered: c.Op}
	case c.Number == d.number, d.number == 0 && c.Number == 1:
		v.headFound = true
	}
}

// offerItems offers the changes in the items to the holder and returns Offer's error.
func (s source) offerItems(l []keyval.Item) error {
	c := make([]Change, 0, len(l))
	for _, i := range l {
		if d, err := parseChange(i); err == nil {
			c = append(c, d)
		}
	}
	_, err := s.holder.Offer(c...)
	return err
}

// unreadableOp is the operation's id of a change that cannot be decoded.
const unreadableOp = "unreadable"

// parseChange returns the change in the item. A change that cannot be decoded gets its key's number and has no effect.
func parseChange(i keyval.Item) (Change, error) {
	n, ok := parseLogKey(i.Key())
	if !ok {
		return Change{}, eris.Errorf("conf: key %q is not a change's", i.Key())
	}
	var c Change
	if err := json.Unmarshal(i.Value(), &c); err != nil || c.Number != n {
		c = Change{Number: n, Op: unreadableOp}
	}
	return c, nil
}

// findOp searches everything that the service keeps of the log, up to the holder's document, for the operation, because a holder
// that started from a snapshot lacks the changes before it. It returns the change's number, or 0.
func (s source) findOp(ctx context.Context, op string) (Number, error) {
	have, err := s.listChanges(ctx, 0)
	if err != nil {
		return 0, err
	}
	for n, p := range have {
		if p.change.Op == op && n <= s.holder.Document().number {
			return n, nil
		}
	}
	return 0, nil
}

// pullSnapshot offers the snapshot's document to the holder and returns it, or nil if there is no snapshot.
func (s source) pullSnapshot(ctx context.Context) (*Document, error) {
	d, _, err := s.snapshot(ctx)
	if err == nil {
		s.holder.OfferDocument(d)
	}
	return d, err
}

// snapshot returns the snapshot's document, or nil if there is no snapshot, and the revision of its key.
func (s source) snapshot(ctx context.Context) (*Document, keyval.Revision, error) {
	i, err := s.store.Get(ctx, SnapshotKey)
	if err != nil || !i.Found() {
		return nil, keyval.Absent, eris.Wrap(err, "get snapshot")
	}
	var w Snapshot
	if err := json.Unmarshal(i.Value(), &w); err != nil {
		return nil, i.Rev(), eris.Wrap(err, "parse snapshot")
	}
	d, err := ParseDocument(w.Document)
	return d, i.Rev(), err
}

// putSnapshot writes d as the snapshot, if the revision of the snapshot's key is rev.
func (s source) putSnapshot(ctx context.Context, d *Document, rev keyval.Revision) error {
	b, err := d.Marshal()
	if err != nil {
		return err
	}
	v, err := json.Marshal(Snapshot{N: d.Number(), Document: b})
	if err != nil {
		return eris.Wrap(err, "marshal snapshot")
	}
	_, err = s.store.Put(ctx, SnapshotKey, v, rev, 0)
	return eris.Wrapf(err, "put snapshot %d", d.Number())
}

// putChange writes c under its number, if the key's revision is cond.
func (s source) putChange(ctx context.Context, c Change, cond keyval.Revision) error {
	b, err := json.Marshal(c)
	if err != nil {
		return eris.Wrapf(err, "marshal change %d", c.Number)
	}
	_, err = s.store.Put(ctx, LogKey(c.Number), b, cond, 0)
	return eris.Wrapf(err, "put change %d", c.Number)
}
