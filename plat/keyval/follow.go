package keyval

import (
	"context"
	"errors"
	"time"
)

// Follow timing.
const (
	followRetryInterval = 150 * time.Millisecond // between tries while the service does not answer.
	watchTimeoutMargin  = time.Second            // a watch is given up so long after its wait.
)

// Lister reads all items under a prefix, and the revision from which a watch goes on.
type Lister interface {
	All(ctx context.Context, prefix string) ([]Item, Revision, error)
	Watch(ctx context.Context, prefix string, rev Revision, wait time.Duration) ([]Event, Revision, error)
}

// Sink takes in what a Follow reads; its methods are called one after the other.
type Sink interface {
	// Reset replaces everything that is known.
	Reset(items []Item)
	// Apply changes single keys.
	Apply(events []Event)
	// Lost tells that the service did not answer; Found that it does again.
	Lost(err error)
	Found()
}

// Follow keeps s up to date with the items under prefix until ctx ends; wait is the longest time that one watch waits.
func Follow(ctx context.Context, l Lister, prefix string, wait time.Duration, s Sink) error {
	rev, synced, disconnected := Revision(0), false, false
	for ctx.Err() == nil {
		var err error
		if rev, synced, err = followStep(ctx, l, prefix, wait, s, rev, synced); err == nil {
			if disconnected {
				disconnected = false
				s.Found()
			}
			continue
		}
		if ctx.Err() != nil {
			break
		}
		if !disconnected {
			disconnected = true
			s.Lost(err)
		}
		sleep(ctx, followRetryInterval)
	}
	return nil
}

// followStep makes one step and returns the revision to go on from.
func followStep(ctx context.Context, l Lister, prefix string, wait time.Duration, s Sink, rev Revision, synced bool) (Revision, bool, error) {
	if !synced {
		items, listRev, err := l.All(ctx, prefix)
		if err != nil {
			return rev, false, err
		}
		s.Reset(items)
		return listRev, true, nil
	}
	c, cancel := context.WithTimeout(ctx, wait+watchTimeoutMargin)
	defer cancel()
	e, nextRev, err := l.Watch(c, prefix, rev, wait)
	switch {
	case errors.Is(err, ErrReset):
		return rev, false, nil
	case err != nil:
		return rev, true, err
	}
	if len(e) > 0 {
		s.Apply(e)
	}
	return max(nextRev, rev), true, nil
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
