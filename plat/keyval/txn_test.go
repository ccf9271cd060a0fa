package keyval

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

func TestTxn(t *testing.T) {
	is := is.New(t)
	x := context.Background()
	m := NewMemory()
	r, err := m.Txn(x, Txn{Guards: []Guard{{Key: "a", Rev: Absent}}, Writes: []Write{{Key: "a", Value: []byte("1")}, {Key: "b", Value: []byte("2")}}})
	is.NoErr(err)
	a, err := m.Get(x, "a")
	is.NoErr(err)
	is.Equal(a.Rev(), r)
	_, err = m.Txn(x, Txn{Guards: []Guard{{Key: "a", Rev: r}, {Key: "c", Rev: r}}, Writes: []Write{{Key: "b", Delete: true}}})
	is.True(errors.Is(err, ErrConflict))
	var c *ConflictError
	is.True(errors.As(err, &c))
	is.Equal(c.Items()[0].Rev(), r)
	is.True(!c.Items()[1].Found())
	b, err := m.Get(x, "b")
	is.NoErr(err)
	is.True(b.Found()) // the delete was not applied
	_, err = m.Txn(x, Txn{Writes: []Write{{Key: "b", Delete: true}, {Key: "d", Value: nil}}})
	is.NoErr(err)
	b, err = m.Get(x, "b")
	is.NoErr(err)
	is.True(!b.Found())
	_, err = m.Txn(x, Txn{Writes: []Write{{Key: "e", Lease: 77}}})
	is.True(errors.Is(err, ErrConflict)) // the lease does not exist
}

// flakyLister is a Lister over a Memory whose next calls can be made to fail.
type flakyLister struct {
	*Memory
	mu           sync.Mutex
	failuresLeft int // calls that still fail
}

func (w *flakyLister) failing() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failuresLeft--
	return w.failuresLeft >= 0
}

func (w *flakyLister) All(c context.Context, prefix string) ([]Item, Revision, error) {
	if w.failing() {
		return nil, 0, ErrDown
	}
	return w.List(c, prefix, "", maxListItems)
}

func (w *flakyLister) Watch(c context.Context, prefix string, r Revision, d time.Duration) ([]Event, Revision, error) {
	if w.failing() {
		return nil, 0, ErrUnknown
	}
	return w.Memory.Watch(c, prefix, r, d)
}

// recordingSink is a Sink that keeps the items and counts its calls.
type recordingSink struct {
	mu                  sync.Mutex
	items               map[string]string
	resets, lost, found int
}

func (s *recordingSink) Reset(l []Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resets++
	s.items = map[string]string{}
	for _, i := range l {
		s.items[i.Key()] = string(i.Value())
	}
}

func (s *recordingSink) Apply(l []Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range l {
		if e.Deleted() {
			delete(s.items, e.Item().Key())
			continue
		}
		s.items[e.Item().Key()] = string(e.Item().Value())
	}
}

func (s *recordingSink) Disconnected(error) { s.mu.Lock(); s.lost++; s.mu.Unlock() }
func (s *recordingSink) Reconnected()       { s.mu.Lock(); s.found++; s.mu.Unlock() }

func TestFollow(t *testing.T) {
	is := is.New(t)
	x, stop := context.WithCancel(context.Background())
	w, s := &flakyLister{Memory: NewMemory(), failuresLeft: 2}, &recordingSink{}
	_, err := w.Put(x, "p/1", []byte("a"), Any, 0)
	is.NoErr(err)
	g := errgroup.Group{}
	g.Go(func() error { return Follow(x, w, "p/", 50*time.Millisecond, s) })
	waitFor := func(f func() bool) {
		t.Helper()
		for range 400 {
			s.mu.Lock()
			ok := f()
			s.mu.Unlock()
			if ok {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Error("condition not reached within 4 s")
	}
	waitFor(func() bool { return s.items["p/1"] == "a" && s.lost == 1 && s.found == 1 })
	_, err = w.Put(x, "p/2", []byte("b"), Any, 0)
	is.NoErr(err)
	is.NoErr(w.Delete(x, "p/1", Any))
	waitFor(func() bool { return s.items["p/2"] == "b" && len(s.items) == 1 })
	w.mu.Lock()
	w.failuresLeft = 1
	w.mu.Unlock()
	waitFor(func() bool { return s.lost == 2 && s.found == 2 })
	is.Equal(s.resets, 1) // after a failed watch, the next one continues from the same revision
	stop()
	is.NoErr(g.Wait())
}
