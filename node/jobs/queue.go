package jobs

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"burdockreach.dev/plat/keyval"
)

var (
	// ErrExists reports that the id belongs to another job.
	ErrExists = eris.New("jobs: id is taken by another job")
	// ErrNotFound reports that no job has the id.
	ErrNotFound = eris.New("jobs: no such job")
	// ErrUnsettled reports that the call may have taken effect. Repeating it is safe.
	ErrUnsettled = eris.New("jobs: outcome unknown")
)

const (
	pageSize          = 200
	maxCancelAttempts = 5 // conditional writes per cancellation.
)

// Queue lets operators submit, cancel and read the jobs of all data centres.
type Queue struct {
	store keyval.Store
}

// NewQueue returns a Queue of the jobs in the store.
func NewQueue(s keyval.Store) *Queue { return &Queue{store: s} }

// Submit adds the job. Repeating it with the same spec is no error. If it returns ErrMalformed or ErrExists, it has added nothing.
func (q *Queue) Submit(ctx context.Context, s Spec) error {
	if err := s.Check(); err != nil {
		return err
	}
	b, err := Record{Spec: s, State: Waiting, SubmittedMillis: time.Now().UnixMilli()}.marshal()
	if err != nil {
		return err
	}
	_, err = q.store.Put(ctx, key(s.DataCentre, s.ID), b, keyval.Absent, 0)
	if err == nil || errors.Is(err, keyval.ErrDown) {
		return err
	}
	r, _, e := q.get(ctx, s.DataCentre, s.ID)
	switch {
	case e == nil && r.Spec == s:
		return nil
	case e == nil:
		return eris.Wrapf(ErrExists, "step=submit job=%s", s.ID)
	}
	return eris.Wrapf(ErrUnsettled, "step=submit job=%s: %v", s.ID, err)
}

func (q *Queue) get(ctx context.Context, dataCentre, id string) (Record, keyval.Revision, error) {
	i, err := q.store.Get(ctx, key(dataCentre, id))
	if err != nil {
		return Record{}, 0, err
	}
	if !i.Found() {
		return Record{}, 0, eris.Wrapf(ErrNotFound, "job=%s dataCentre=%s", id, dataCentre)
	}
	r, err := parseRecord(i.Value())
	return r, i.Rev(), err
}

// Cancel cancels the job. A waiting job never starts, the leader stops a running one, and one that has ended stays as it is.
func (q *Queue) Cancel(ctx context.Context, dataCentre, id string) (Record, error) {
	var last error
	for range maxCancelAttempts {
		r, rev, err := q.get(ctx, dataCentre, id)
		if err != nil || r.State.Ended() || r.CancelRequested {
			return r, err
		}
		r.CancelRequested = true
		if r.State == Waiting {
			r.State, r.EndedMillis = Canceled, time.Now().UnixMilli()
		}
		b, err := r.marshal()
		if err != nil {
			return r, err
		}
		if _, last = q.store.Put(ctx, key(dataCentre, id), b, rev, 0); last == nil {
			return r, nil
		}
	}
	return Record{}, eris.Wrapf(ErrUnsettled, "step=cancel job=%s: %v", id, last)
}

// Get returns the job's record, or ErrNotFound.
func (q *Queue) Get(ctx context.Context, dataCentre, id string) (Record, error) {
	r, _, err := q.get(ctx, dataCentre, id)
	return r, err
}

// List returns the data centre's jobs sorted by id, including ended ones whose records are still kept.
func (q *Queue) List(ctx context.Context, dataCentre string) ([]Record, error) {
	l := []Record{}
	_, err := eachItem(ctx, q.store, prefix(dataCentre), func(i keyval.Item) error {
		r, err := parseRecord(i.Value())
		l = append(l, r)
		return err
	})
	return l, err
}

// eachItem calls f with each item under the prefix and returns the revision from which to watch for changes.
func eachItem(ctx context.Context, s keyval.Store, prefix string, f func(keyval.Item) error) (keyval.Revision, error) {
	var first keyval.Revision
	after := ""
	for {
		l, rev, err := s.List(ctx, prefix, after, pageSize)
		if err != nil {
			return 0, err
		}
		if after == "" {
			first = rev
		}
		for _, i := range l {
			if err := f(i); err != nil {
				return 0, err
			}
			after = i.Key()
		}
		if len(l) < pageSize {
			return first, nil
		}
	}
}
