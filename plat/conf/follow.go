package conf

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"burdockreach.dev/plat/keyval"
)

const (
	// DefaultWatchTimeout is the longest time that one watch waits for changes.
	DefaultWatchTimeout = 3 * time.Second
	// DefaultAuditInterval is the time between two audits, which check that the service still has the recent changes.
	DefaultAuditInterval = 20 * time.Second
	// DefaultMinWatchInterval is the shortest time between two watches, so that a burst of changes costs few calls.
	DefaultMinWatchInterval = 50 * time.Millisecond
	// DefaultHealJitter is the longest random wait before an entry heals a service that lacks changes, so that not all entries do it
	// at once.
	DefaultHealJitter = time.Second
)

// auditDepth is the number of recent changes that an audit checks.
const auditDepth = 64

const (
	initialOutageWait = 100 * time.Millisecond
	maxOutageWait     = 2 * time.Second
)

// Follower offers the service's changes to a holder. If the service was restored from an older state, it writes the holder's
// changes back.
type Follower struct {
	source                                  source
	log                                     zerolog.Logger
	watchTimeout, auditInterval, healJitter time.Duration
	minWatchInterval                        time.Duration
	lastAudit                               time.Time
}

// FollowOption adjusts a follower.
type FollowOption func(*Follower)

// WithLogger sets the logger.
func WithLogger(l zerolog.Logger) FollowOption { return func(f *Follower) { f.log = l } }

// WithWatchTimeout sets the longest time that one watch waits for changes.
func WithWatchTimeout(d time.Duration) FollowOption { return func(f *Follower) { f.watchTimeout = d } }

// WithAuditInterval sets the time between two audits, which check that the service still has the recent changes.
func WithAuditInterval(d time.Duration) FollowOption {
	return func(f *Follower) { f.auditInterval = d }
}

// WithMinWatchInterval sets the shortest time between two watches.
func WithMinWatchInterval(d time.Duration) FollowOption {
	return func(f *Follower) { f.minWatchInterval = d }
}

// WithHealJitter sets the longest random wait before an entry heals a service that lacks changes.
func WithHealJitter(d time.Duration) FollowOption { return func(f *Follower) { f.healJitter = d } }

// NewFollower returns a follower that synchronises holder with the log in store.
func NewFollower(store keyval.Store, holder *Holder, opts ...FollowOption) *Follower {
	f := &Follower{
		source: source{store: store, holder: holder}, log: zerolog.Nop(),
		watchTimeout: DefaultWatchTimeout, auditInterval: DefaultAuditInterval, minWatchInterval: DefaultMinWatchInterval, healJitter: DefaultHealJitter,
	}
	for _, o := range opts {
		o(f)
	}
	return f
}

// Run follows the service until ctx ends. In an outage it makes one call per wait; the waits have jitter and grow to seconds.
func (f *Follower) Run(ctx context.Context) error {
	b := outageWaits()
	rev, synced := keyval.Revision(0), false
	for ctx.Err() == nil {
		var err error
		if !synced {
			rev, err = f.sync(ctx, DefaultTail)
		}
		if err == nil {
			synced = true
			rev, err = f.follow(ctx, rev, b.Reset)
		}
		if ctx.Err() != nil {
			break
		}
		f.log.Warn().Str("event", "configBehind").Int64("number", int64(f.source.holder.Document().Number())).Err(err).Send()
		synced = synced && !needsSync(err)
		if sleep(ctx, b.NextBackOff()) != nil {
			break
		}
	}
	return nil
}

func outageWaits() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = initialOutageWait, maxOutageWait
	return b
}

// needsSync reports whether the watch cannot continue from its revision.
func needsSync(err error) bool {
	return errors.Is(err, keyval.ErrReset) || errors.Is(err, ErrGap) || errors.Is(err, ErrDiverged)
}

// sync pulls, repairs the service if it lacks one of the last depth changes, and returns the revision to watch from.
func (f *Follower) sync(ctx context.Context, depth int) (keyval.Revision, error) {
	v, err := f.source.pull(ctx)
	if err != nil {
		return 0, err
	}
	f.logOfferError(v.offerErr)
	lacks := !v.headFound || errors.Is(v.offerErr, ErrDiverged)
	if !lacks {
		lacks, err = f.source.lacksRecent(ctx, depth)
	}
	if err == nil && lacks {
		err = f.repair(ctx)
	}
	if err == nil {
		f.lastAudit = time.Now()
	}
	return v.rev, err
}

// repair waits for a random part of healJitter, pulls again, and heals the service. It merges if the service has a different
// history.
func (f *Follower) repair(ctx context.Context) error {
	if err := sleep(ctx, rand.N(f.healJitter+1)); err != nil { //nolint:gosec // jitter
		return err
	}
	v, err := f.source.pull(ctx)
	if err != nil {
		return err
	}
	n := 0
	if err = v.offerErr; !errors.Is(err, ErrDiverged) {
		n, err = f.source.restore(ctx, DefaultTail)
	}
	if errors.Is(err, ErrDiverged) {
		f.logOfferError(err)
		n, err = f.source.merge(ctx)
	}
	f.log.Warn().Str("event", "configHealed").Int("changes", n).Err(err).Send()
	return err
}

// follow watches from rev until an error and returns the revision that it reached. It calls onAnswer after each answer.
func (f *Follower) follow(ctx context.Context, rev keyval.Revision, onAnswer func()) (keyval.Revision, error) {
	for {
		l, to, err := f.source.store.Watch(ctx, LogPrefix, rev, f.watchTimeout)
		if err != nil {
			f.lastAudit = time.Time{} // the service may have been restored from an older state.
			return rev, err
		}
		onAnswer()
		if err := f.offerEvents(l); err != nil {
			return rev, err
		}
		rev = to
		if time.Since(f.lastAudit) >= f.auditInterval {
			if _, err := f.sync(ctx, auditDepth); err != nil {
				return rev, err
			}
		}
		if err := sleep(ctx, f.minWatchInterval); err != nil {
			return rev, err
		}
	}
}

// offerEvents offers the changes in the events to the holder.
func (f *Follower) offerEvents(l []keyval.Event) error {
	items := make([]keyval.Item, 0, len(l))
	for _, e := range l {
		if !e.Deleted() {
			items = append(items, e.Item())
		}
	}
	err := f.source.offerItems(items)
	f.logOfferError(err)
	if errors.Is(err, ErrGap) || errors.Is(err, ErrDiverged) {
		return eris.Wrap(err, "watch changes")
	}
	return nil
}

// logOfferError logs a change of another history and a change that is invalid and so has no effect.
func (f *Follower) logOfferError(err error) {
	switch {
	case err == nil:
	case errors.Is(err, ErrDiverged):
		f.log.Error().Str("event", "configDiverged").Err(err).Send()
	case errors.Is(err, ErrInvalid):
		f.log.Error().Str("event", "configInvalid").Err(err).Send()
	}
}
