package conf

import (
	"errors"

	"github.com/rotisserie/eris"
)

// RetainedChanges is the number of changes before the snapshot that the service keeps.
const RetainedChanges = 1_000

// DefaultTail is the number of recent changes that a log keeps; at most RetainedChanges, so that no pruned change is written back.
const DefaultTail = RetainedChanges

// Log is a document and the recent changes that led to it. Its number never goes down. It is not safe for concurrent use.
type Log struct {
	doc       *Document
	tail      []Change // consecutive numbers; the last one is doc's last change.
	tailLimit int
}

// LogOption adjusts a log.
type LogOption func(*Log)

// WithTail sets the number of recent changes that the log keeps, 1 to RetainedChanges.
func WithTail(n int) LogOption {
	return func(l *Log) { l.tailLimit = min(max(n, 1), RetainedChanges) }
}

// NewLog returns a log at the empty document.
func NewLog(opts ...LogOption) *Log {
	l := &Log{doc: NewDocument(), tailLimit: DefaultTail}
	for _, o := range opts {
		o(l)
	}
	return l
}

// Document returns the newest document.
func (l *Log) Document() *Document { return l.doc }

// Offer applies the changes in the given order and returns how many it applied. It skips changes that the log already has. The
// error joins a DivergedError for each change of another history, ErrGap for each change whose number is not the next one, and a
// FieldError for each accepted change that this program finds invalid: such a change counts as applied but has no effect.
func (l *Log) Offer(changes ...Change) (int, error) {
	applied := 0
	var errs []error
	for _, c := range changes {
		ok, err := l.offer(c)
		if ok {
			applied++
		}
		if err != nil {
			errs = append(errs, err)
		}
	}
	return applied, errors.Join(errs...)
}

func (l *Log) offer(c Change) (bool, error) {
	if c.Number <= l.doc.number {
		return false, l.compare(c)
	}
	d, err := l.doc.Apply(c)
	if errors.Is(err, ErrInvalid) {
		d = l.doc.advance(c)
		err = eris.Wrapf(err, "change %d has no effect", c.Number)
	}
	if d == nil {
		return false, err
	}
	c.Prev = l.doc.chain
	l.doc = d
	l.push(c)
	return true, err
}

// compare returns a DivergedError if c is not the change that was applied under its number. It returns nil if the log no longer
// keeps that change.
func (l *Log) compare(c Change) error {
	if c.Number == l.doc.number {
		if l.doc.isLast(c) {
			return nil
		}
		return &DivergedError{number: c.Number, have: l.doc.op, offered: c.Op}
	}
	if have, ok := l.ChangeAt(c.Number); ok && !have.matches(c) {
		return &DivergedError{number: c.Number, have: have.Op, offered: c.Op}
	}
	return nil
}

// ChangeAt returns change n, if the log still keeps it.
func (l *Log) ChangeAt(n Number) (Change, bool) {
	i := int(n - l.first())
	if i < 0 || i >= len(l.tail) {
		return Change{}, false
	}
	return l.tail[i], true
}

// FindOp returns the number under which the operation was accepted, if the log still keeps it.
func (l *Log) FindOp(op string) (Number, bool) {
	for i := len(l.tail) - 1; i >= 0; i-- {
		if l.tail[i].Op == op {
			return l.tail[i].Number, true
		}
	}
	return l.doc.number, l.doc.number > 0 && l.doc.op == op
}

// first returns the number of the oldest change kept, or the next number if none is kept.
func (l *Log) first() Number { return l.doc.number + 1 - Number(len(l.tail)) }

// push adds c to the tail and drops the oldest change beyond the limit. The new array has room for twice the limit, so that the
// tail is copied only once in limit pushes.
func (l *Log) push(c Change) {
	if len(l.tail) >= l.tailLimit {
		if cap(l.tail) == len(l.tail) {
			l.tail = append(make([]Change, 0, 2*l.tailLimit), l.tail...)
		}
		l.tail = l.tail[1:]
	}
	l.tail = append(l.tail, c)
}

// OfferDocument replaces the document by d and drops the recent changes, but only if d is newer. It reports whether it did.
func (l *Log) OfferDocument(d *Document) bool {
	if d == nil || d.number <= l.doc.number {
		return false
	}
	l.doc, l.tail = d, nil
	return true
}

// Since returns up to limit changes after n, or the whole document if the log no longer keeps the change after n.
func (l *Log) Since(n Number, limit int) ([]Change, *Document) {
	if n >= l.doc.number {
		return nil, nil
	}
	if n+1 < l.first() {
		return nil, l.doc
	}
	c := l.tail[n+1-l.first():]
	c = c[:min(len(c), max(limit, 0))]
	return append([]Change(nil), c...), nil
}
