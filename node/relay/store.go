package relay

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"burdockreach.dev/flow/ledger"
	"burdockreach.dev/plat/keyval"
	"burdockreach.dev/plat/steady"
)

const (
	// storeTimeout bounds the calls to the platform's service for one key or for one confirmation of a roster.
	storeTimeout = 500 * time.Millisecond
	// confirmDelay is the wait before a read that confirms a roster; requests that arrive meanwhile share the read.
	confirmDelay = 25 * time.Millisecond
	// storeLeaseTTL is the lifetime of a lease under which keys are created. New keys use a lease only during its first half,
	// so that each key lasts at least ledger.Remember.
	storeLeaseTTL = 2 * ledger.RecordTTL
)

// keyDocument is the value of a key in the platform's service.
type keyDocument struct {
	Attempt uint64 `json:"attempt"`
	Digest  uint64 `json:"digest"`
}

// storeLease is the lease in the platform's service under which this entry creates keys.
type storeLease struct {
	mu        sync.Mutex
	id        keyval.LeaseID
	grantedAt time.Time
}

// keyPath returns the name under which the platform's service stores a key of the data centre.
func (k *KeyHolder) keyPath(dataCentre string, id ledger.ID) string {
	return "dc/" + dataCentre + "/keys/" + id.String()
}

// currentLease returns a lease that lasts at least ledger.RecordTTL from now, and grants a new one if needed.
func (k *KeyHolder) currentLease(ctx context.Context) (keyval.LeaseID, error) {
	l := &k.lease
	l.mu.Lock()
	defer l.mu.Unlock()
	now := k.now()
	if l.id != 0 && now.Sub(l.grantedAt) < storeLeaseTTL-ledger.RecordTTL {
		return l.id, nil
	}
	id, err := k.store.Grant(ctx, storeLeaseTTL)
	if err != nil {
		return 0, err
	}
	l.id, l.grantedAt = id, now
	return id, nil
}

// createKey creates the key in the platform's service on behalf of this copy; an existing key is not overwritten.
func (k *KeyHolder) createKey(ctx context.Context, a *attempt) ledger.Msg {
	t, end := context.WithTimeout(ctx, storeTimeout)
	defer end()
	m := ledger.StoreMsg{Outcome: ledger.StoreFailed}
	key := k.keyPath(a.home, a.id)
	l, err := k.currentLease(t)
	if err == nil {
		_, err = k.store.Put(t, key, mustJSON(keyDocument{Attempt: uint64(a.attempt), Digest: uint64(a.digest)}), keyval.Absent, l)
	}
	switch {
	case err == nil:
		m.Outcome = ledger.StoreCreated
	case errors.Is(err, keyval.ErrConflict) || errors.Is(err, keyval.ErrUnknown):
		m.Outcome, m.Record = k.resolveWrite(t, key, a)
	}
	m.Now = k.now()
	return m
}

// resolveWrite reads the key back after a create that conflicted or whose outcome is unknown.
func (k *KeyHolder) resolveWrite(ctx context.Context, key string, a *attempt) (ledger.StoreOutcome, ledger.Record) {
	i, err := k.store.Get(ctx, key)
	var d keyDocument
	if err != nil || !i.Found() || json.Unmarshal(i.Value(), &d) != nil {
		return ledger.StoreFailed, ledger.Record{}
	}
	if ledger.Attempt(d.Attempt) == a.attempt {
		return ledger.StoreCreated, ledger.Record{}
	}
	return ledger.StoreExists, ledger.Record{ID: a.id, Attempt: ledger.Attempt(d.Attempt), Digest: ledger.Digest(d.Digest), Phase: ledger.Claimed}
}

// deleteKey deletes the key if this copy created it, and reports whether no key of this copy is left.
func (k *KeyHolder) deleteKey(ctx context.Context, home string, r ledger.Record) bool {
	t, end := context.WithTimeout(ctx, storeTimeout)
	defer end()
	key := k.keyPath(home, r.ID)
	i, err := k.store.Get(t, key)
	if err != nil {
		return false
	}
	var d keyDocument
	if !i.Found() || json.Unmarshal(i.Value(), &d) != nil || ledger.Attempt(d.Attempt) != r.Attempt {
		return true
	}
	return k.store.Delete(t, key, i.Rev()) == nil
}

// confirmRoster returns the number of the roster that the platform's service holds now, or zero if it cannot be read.
// Concurrent calls for one data centre share a read.
func (k *KeyHolder) confirmRoster(ctx context.Context, dataCentre string) int64 {
	j, ok := k.confirmBatchers[dataCentre]
	if !ok {
		return 0
	}
	n, err := j.do(ctx, struct{}{}, func(l []struct{}) ([]int64, error) {
		steady.Sleep(ctx, confirmDelay)
		t, end := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
		defer end()
		i, err := k.store.Get(t, rosterKey(dataCentre))
		if err != nil {
			return nil, err
		}
		r, err := ledger.ParseRoster(i.Value())
		if err != nil {
			return nil, err
		}
		k.adoptRoster(r)
		return slices.Repeat([]int64{r.Number()}, len(l)), nil
	})
	if err != nil {
		return 0
	}
	return n
}

func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // the documents contain only strings and numbers
	}
	return b
}
