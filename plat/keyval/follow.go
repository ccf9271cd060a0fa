package keyval

import (
	"context"
	"errors"
	"time"

	"burdockreach.dev/plat/steady"
)

// Timing of Follow.
const (
	followRetryInterval = 150 * time.Millisecond // between attempts while the service does not answer
	watchTimeoutMargin  = time.Second            // added to the wait of a watch to get its timeout
)

// Lister reads the items under a prefix: All lists them with the revision to watch from, and Watch returns later changes.
type Lister interface {
	All(ctx context.Context, prefix string) ([]Item, Revision, error)
	Watch(ctx context.Context, prefix string, rev Revision, wait time.Duration) ([]Event, Revision, error)
}

// Sink receives the items and changes that Follow reads. Its methods are never called concurrently.
type Sink interface {
	// Reset replaces all items.
	Reset(items []Item)
	// Apply applies changes of single keys.
	Apply(events []Event)
	// Disconnected reports the first error of an outage of the service.
	Disconnected(err error)
	// Reconnected reports the end of the outage.
	Reconnected()
}

// Follow keeps s up to date with the items under prefix until ctx ends. Each watch waits for up to wait. It returns nil.
func Follow(ctx context.Context, l Lister, prefix string, wait time.Duration, s Sink) error {
	rev, synced, disconnected := Revision(0), false, false
	for ctx.Err() == nil {
		var err error
		if rev, synced, err = followStep(ctx, l, prefix, wait, s, rev, synced); err == nil {
			if disconnected {
				disconnected = false
				s.Reconnected()
			}
			continue
		}
		if ctx.Err() != nil {
			break
		}
		if !disconnected {
			disconnected = true
			s.Disconnected(err)
		}
		steady.Sleep(ctx, followRetryInterval)
	}
	return nil
}

// followStep lists the items if s is not synced yet, and watches for changes otherwise. It returns the revision to continue from and
// whether s is synced.
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
