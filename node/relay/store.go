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
)

const (
	storeWithin = 500 * time.Millisecond
	// confirmEvery spaces the reads that confirm a roster.
	confirmEvery = 25 * time.Millisecond
	// storeLeaseFor is the life of a lease under which keys are created; each is used for the first half of it.
	storeLeaseFor = 2 * ledger.RecordTTL
)

// keyDocument is what the platform's service holds of a key.
type keyDocument struct {
	Attempt uint64 `json:"attempt"`
	Digest  uint64 `json:"digest"`
}

// storeLease is the lease under which this entry creates keys.
type storeLease struct {
	mu      sync.Mutex
	id      keyval.LeaseID
	granted time.Time
}

func (k *Keeper) keyOf(dataCentre string, id ledger.ID) string {
	return "dc/" + dataCentre + "/keys/" + id.String()
}

// currentLease returns a lease that lasts for at least ledger.RecordTTL from now.
func (k *Keeper) currentLease(ctx context.Context) (keyval.LeaseID, error) {
	l := &k.lease
	l.mu.Lock()
	defer l.mu.Unlock()
	now := k.now()
	if l.id != 0 && now.Sub(l.granted) < storeLeaseFor-ledger.RecordTTL {
		return l.id, nil
	}
	id, err := k.store.Grant(ctx, storeLeaseFor)
	if err != nil {
		return 0, err
	}
	l.id, l.granted = id, now
	return id, nil
}

// storeKey creates the key in the platform's service for this copy only.
func (k *Keeper) storeKey(ctx context.Context, a *attempt) ledger.Msg {
	t, end := context.WithTimeout(ctx, storeWithin)
	defer end()
	m := ledger.StoreMsg{Outcome: ledger.StoreFailed}
	key := k.keyOf(a.home, a.id)
	l, err := k.currentLease(t)
	if err == nil {
		_, err = k.store.Put(t, key, mustJSON(keyDocument{Attempt: uint64(a.attempt), Digest: uint64(a.digest)}), keyval.Absent, l)
	}
	switch {
	case err == nil:
		m.Outcome = ledger.StoreCreated
	case errors.Is(err, keyval.ErrConflict) || errors.Is(err, keyval.ErrUnknown):
		m.Outcome, m.Record = k.readKey(t, key, a)
	}
	m.Now = k.now()
	return m
}

// readKey settles a write that did not say whether it made the key.
func (k *Keeper) readKey(ctx context.Context, key string, a *attempt) (ledger.StoreOutcome, ledger.Record) {
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

// unstoreKey removes the key if it is this copy's, and reports whether it is gone.
func (k *Keeper) unstoreKey(ctx context.Context, home string, r ledger.Record) bool {
	t, end := context.WithTimeout(ctx, storeWithin)
	defer end()
	key := k.keyOf(home, r.ID)
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

// confirm returns the number of the roster that the platform's service holds now, or zero; many that ask share one read.
func (k *Keeper) confirm(ctx context.Context, dataCentre string) int64 {
	j, ok := k.confirms[dataCentre]
	if !ok {
		return 0
	}
	n, err := j.do(ctx, struct{}{}, func(l []struct{}) ([]int64, error) {
		pause(ctx, confirmEvery)
		t, end := context.WithTimeout(context.WithoutCancel(ctx), storeWithin)
		defer end()
		i, err := k.store.Get(t, rosterKey(dataCentre))
		if err != nil {
			return nil, err
		}
		r, err := ledger.ParseRoster(i.Value())
		if err != nil {
			return nil, err
		}
		k.adopt(r)
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
		panic(err) // only strings and numbers
	}
	return b
}
