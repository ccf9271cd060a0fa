package owner

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"burdockreach.dev/fleet/batch"
	"burdockreach.dev/node/stats"
	"burdockreach.dev/plat/keyval"
	"burdockreach.dev/plat/lease"
)

// unlistedStore is a store whose prefixes are empty; commits do not list them.
type unlistedStore struct{ *keyval.Memory }

func (unlistedStore) All(context.Context, string) ([]keyval.Item, keyval.Revision, error) {
	return nil, 0, nil
}

// newTestTerm returns a term with the given fence on store s.
func newTestTerm(s *keyval.Memory, fence keyval.Revision) *term {
	o := &Owner{store: unlistedStore{s}, stats: stats.New(), log: zerolog.New(io.Discard), lease: lease.New(s, ClaimKey, "test")}
	return &term{o: o, fence: fence, msgs: make(chan batch.Msg, 1)}
}

// A write of an owner that has lost the claim must change nothing: its successor has already read the records.
func TestCommitNeedsClaim(t *testing.T) {
	x := context.Background()
	commit := func(t *testing.T, deposed bool) (batch.Msg, bool) {
		t.Helper()
		is := is.New(t)
		s := keyval.NewMemory()
		f, err := s.Put(x, ClaimKey, []byte("a"), keyval.Absent, 0)
		is.NoErr(err)
		if deposed {
			_, err = s.Put(x, ClaimKey, []byte("b"), f, 0)
			is.NoErr(err)
		}
		m := newTestTerm(s, f)
		m.commit(x, batch.CommitCmd{ID: 7, Rows: []batch.Row{{Key: "job/1", Value: []byte("1")}}}, time.Now())
		i, err := s.Get(x, "job/1")
		is.NoErr(err)
		return <-m.msgs, i.Found()
	}
	t.Run("with the claim", func(t *testing.T) {
		is := is.New(t)
		g, written := commit(t, false)
		c, ok := g.(batch.CommittedMsg)
		is.True(ok && c.ID == 7 && c.Outcome == batch.Written)
		is.True(written)
	})
	t.Run("after another owner took it", func(t *testing.T) {
		is := is.New(t)
		g, written := commit(t, true)
		_, ok := g.(batch.ClaimLostMsg)
		is.True(ok)
		is.True(!written)
	})
}

// An owner that has lost the claim must not record an end of its term: its successor would not wait for its orders.
func TestTermRecordNeedsClaim(t *testing.T) {
	is, x := is.New(t), context.Background()
	s := keyval.NewMemory()
	f, err := s.Put(x, ClaimKey, []byte("a"), keyval.Absent, 0)
	is.NoErr(err)
	m := newTestTerm(s, f)
	is.NoErr(m.writeRecord(x, termRecord{Fence: int64(f)}, keyval.Absent))
	before, err := s.Get(x, termKey)
	is.NoErr(err)
	_, err = s.Put(x, ClaimKey, []byte("b"), f, 0)
	is.NoErr(err)
	is.True(errors.Is(m.writeRecord(x, termRecord{Fence: int64(f), Left: true}, before.Rev()), errClaimLost))
	after, err := s.Get(x, termKey)
	is.NoErr(err)
	is.Equal(string(after.Value()), string(before.Value()))
}
