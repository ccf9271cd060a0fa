package conf_test

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"burdockreach.dev/plat/conf"
	"burdockreach.dev/plat/keyval"
)

// scriptedStore is a store that runs put instead of the next Put, and list before each List.
type scriptedStore struct {
	keyval.Store
	put  func(ctx context.Context, key string, v []byte) error
	list func(after string)
}

func (s *scriptedStore) List(ctx context.Context, p, after string, n int) ([]keyval.Item, keyval.Revision, error) {
	if s.list != nil {
		s.list(after)
	}
	return s.Store.List(ctx, p, after, n)
}

func (s *scriptedStore) Put(ctx context.Context, key string, v []byte, cond keyval.Revision, l keyval.LeaseID) (keyval.Revision, error) {
	if f := s.put; f != nil {
		s.put = nil
		return 0, f(ctx, key, v)
	}
	return s.Store.Put(ctx, key, v, cond, l)
}

// TestUnsettledAcrossRestore guards against reporting a change as not accepted when a peer can still write it back. The service
// stores the change and a peer reads it, but the answer is lost. The service is then restored from an older state, and a rival
// change takes the number.
func TestUnsettledAcrossRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m, h, peer := keyval.NewMemory(), conf.NewHolder(), conf.NewHolder()
		commitUpTo(t, m, h, 1)
		mine := conf.Change{Op: "mine", Kind: conf.PutPool, Expect: 1, Pool: &conf.PoolSpec{Name: "p0", Spare: true}}
		rival := mine
		rival.Op = "rival"
		s := &scriptedStore{Store: m, put: func(ctx context.Context, key string, v []byte) error {
			saved := m.Save()
			_, err := m.Put(ctx, key, v, keyval.Absent, 0)
			is.NoErr(err)
			withFollower(t, m, peer, func() { is.NoErr(peer.Wait(ctx, 2)) })
			m.Restore(saved)
			_, err = conf.NewCommitter(m, conf.NewHolder()).Commit(ctx, rival)
			is.NoErr(err)
			return keyval.ErrUnknown
		}}
		_, err := conf.NewCommitter(s, h).Commit(t.Context(), mine)
		is.True(errors.Is(err, conf.ErrUnsettled)) // no longer valid here, but the peer writes it back
		withFollower(t, m, peer, func() { time.Sleep(10 * time.Second) })
		n, ok := peer.FindOp("mine")
		is.True(ok)
		is.Equal(n, conf.Number(3)) // after the rival's
		_, ok = peer.FindOp("rival")
		is.True(ok)
	})
}

// TestStaleChangeDoesNotBlock guards against a commit that never ends because the next number is taken in the service: a late
// write has put a change there that is already in the log under another number.
func TestStaleChangeDoesNotBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m, h := keyval.NewMemory(), conf.NewHolder()
		commitUpTo(t, m, h, 3)
		c, _ := h.ChangeAt(2)
		c.Number, c.Prev = 4, "another"
		v, err := json.Marshal(c)
		is.NoErr(err)
		_, err = m.Put(t.Context(), conf.LogKey(4), v, keyval.Absent, 0)
		is.NoErr(err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		n, err := conf.NewCommitter(m, h).Commit(ctx, putPool(0, "next"))
		is.NoErr(err)
		is.Equal(n, conf.Number(4))
	})
}

// storeChanges writes the holder's changes from one number to another into m.
func storeChanges(t *testing.T, m *keyval.Memory, h *conf.Holder, from, to conf.Number) {
	t.Helper()
	for n := from; n <= to; n++ {
		c, _ := h.ChangeAt(n)
		v, err := json.Marshal(c)
		if err == nil {
			_, err = m.Put(t.Context(), conf.LogKey(n), v, keyval.Absent, 0)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
}

// TestMergeReadsOnce guards against a merge that adds an operation twice because the service was restored from an older state
// between its two reads of the log.
func TestMergeReadsOnce(t *testing.T) {
	is := is.New(t)
	m, own, other := keyval.NewMemory(), conf.NewHolder(), conf.NewHolder()
	_, err := own.Offer(putPool(1, "a"), putPool(2, "y"), putPool(3, "x"))
	is.NoErr(err)
	_, err = other.Offer(putPool(1, "a"), putPool(2, "x"))
	is.NoErr(err)
	storeChanges(t, m, other, 1, 1)
	saved := m.Save()
	storeChanges(t, m, other, 2, 2)
	fullLists := 0
	s := &scriptedStore{Store: m, list: func(after string) {
		if after != conf.LogKey(0) {
			return
		}
		if fullLists++; fullLists == 3 { // after the read of restore and the merge's first read
			m.Restore(saved)
		}
	}}
	_, err = conf.NewCommitter(s, own).Commit(t.Context(), putPool(0, "z"))
	is.NoErr(err)
	is.True(fullLists > 3) // the merge started again
	seen := map[string]bool{}
	for n := conf.Number(1); n <= own.Document().Number(); n++ {
		c, _ := own.ChangeAt(n)
		is.True(!seen[c.Op]) // each once
		seen[c.Op] = true
	}
	is.Equal(len(seen), 4)
}

func TestNoSnapshotOfAnUnknownHistory(t *testing.T) {
	is := is.New(t)
	m, h := keyval.NewMemory(), conf.NewHolder()
	commitUpTo(t, keyval.NewMemory(), h, conf.SnapshotInterval)
	is.True(conf.NewCompactor(m, h).Step(t.Context()) != nil)
	i, err := m.Get(t.Context(), conf.SnapshotKey)
	is.NoErr(err)
	is.True(!i.Found())
}

// TestRepeatAtNewcomer guards against writing a repeated change again at an entry that started from a snapshot and so does not
// have the change itself.
func TestRepeatAtNewcomer(t *testing.T) {
	is := is.New(t)
	m, h := keyval.NewMemory(), conf.NewHolder()
	commitUpTo(t, m, h, 600)
	is.NoErr(conf.NewCompactor(m, h).Step(t.Context()))
	c, _ := h.ChangeAt(400)
	n, err := conf.NewCommitter(m, conf.NewHolder()).Repeat(t.Context(), conf.Change{Op: c.Op, Kind: c.Kind, Pool: c.Pool})
	is.NoErr(err)
	is.Equal(n, conf.Number(400)) // found, not written again
	late := conf.NewCommitter(m, conf.NewHolder())
	n, err = late.Find(t.Context(), c.Op)
	is.NoErr(err)
	is.Equal(n, conf.Number(400))
	n, err = late.Find(t.Context(), "none")
	is.NoErr(err)
	is.Equal(n, conf.Number(0))
}

func TestAuditFillsAHole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m, h := keyval.NewMemory(), conf.NewHolder()
		commitUpTo(t, m, h, 8)
		withFollower(t, m, h, func() {
			time.Sleep(time.Second)
			is.NoErr(m.Delete(t.Context(), conf.LogKey(5), keyval.Any))
			time.Sleep(2 * conf.DefaultAuditInterval)
		})
		i, err := m.Get(t.Context(), conf.LogKey(5))
		is.NoErr(err)
		is.True(i.Found())
	})
}
