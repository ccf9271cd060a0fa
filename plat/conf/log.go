package conf

import (
	"errors"

	"github.com/rotisserie/eris"
)

// RetainedChanges is the number of changes before the newest snapshot that stay in the service. The Compactor deletes older ones.
const RetainedChanges = 1_000

// DefaultTail is the number of recent changes that a log keeps by default. It must be at most RetainedChanges: recent changes that the
// service lacks are written back to it (restore), and these must not include changes that the Compactor deleted.
const DefaultTail = RetainedChanges

// Log is a document and the recent changes that led to it. The number of the document never decreases. A Log is not safe for
// concurrent use.
type Log struct {
	doc       *Document
	tail      []Change // recent changes with consecutive numbers, the last one doc's last change; empty after OfferDocument.
	tailLimit int      // largest length of tail.
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

// Offer applies the changes in the given order and returns how many it applied. It skips changes whose number is not after the
// document's. The error joins a DivergedError for each change that is known to be of another history, ErrGap for each change whose
// number is after the next one, and a FieldError for each accepted change that this program finds invalid: such a change counts as
// applied but has no effect.
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

// offer handles one change and reports whether it was applied.
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
	i := int(n - l.firstNumber())
	if i < 0 || i >= len(l.tail) {
		return Change{}, false
	}
	return l.tail[i], true
}

// FindOp returns the number of the change that the operation made. It finds only changes that the log still keeps and the document's
// last one; if it reports false, the number has no meaning.
func (l *Log) FindOp(op string) (Number, bool) {
	for i := len(l.tail) - 1; i >= 0; i-- {
		if l.tail[i].Op == op {
			return l.tail[i].Number, true
		}
	}
	return l.doc.number, l.doc.number > 0 && l.doc.op == op
}

// firstNumber returns the number of the oldest change kept, or the next number if none is kept.
func (l *Log) firstNumber() Number { return l.doc.number + 1 - Number(len(l.tail)) }

// push adds c to the tail, and drops the oldest change if the tail is at its limit. When the tail's array is full, push copies the
// tail to an array with room for twice the limit, so that it copies only once in as many pushes as the limit.
func (l *Log) push(c Change) {
	if len(l.tail) >= l.tailLimit {
		if cap(l.tail) == len(l.tail) {
			l.tail = append(make([]Change, 0, 2*l.tailLimit), l.tail...)
		}
		l.tail = l.tail[1:]
	}
	l.tail = append(l.tail, c)
}

// OfferDocument replaces the document with d and drops the recent changes, but only if d has a higher number. It reports whether it
// did so.
func (l *Log) OfferDocument(d *Document) bool {
	if d == nil || d.number <= l.doc.number {
		return false
	}
	l.doc, l.tail = d, nil
	return true
}

// Since returns up to limit changes after change n, or the whole document if the log no longer keeps the first of them. It returns
// neither if no change after n is known.
func (l *Log) Since(n Number, limit int) ([]Change, *Document) {
	if n >= l.doc.number {
		return nil, nil
	}
	if n+1 < l.firstNumber() {
		return nil, l.doc
	}
	c := l.tail[n+1-l.firstNumber():]
	c = c[:min(len(c), max(limit, 0))]
	return append([]Change(nil), c...), nil
}
