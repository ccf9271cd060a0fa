package lease

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"burdockreach.dev/plat/keyval"
)

// DefaultTTL is the time after which the service lets the lease of a silent holder lapse.
const DefaultTTL = 6 * time.Second

// revokeTimeout bounds the end of the lease at shutdown.
const revokeTimeout = time.Second

// callTimeoutDivisor bounds a call to ttl/callTimeoutDivisor, so that a slow service keeps its leaders.
const callTimeoutDivisor = 2

// jitterPercent spreads the waits of the candidates.
const jitterPercent = 10

// Lease gets and keeps one key.
type Lease struct {
	store    keyval.Store
	key      string
	ttl      time.Duration
	model    *Model
	now      func() time.Time
	wakeup   chan struct{}
	status   atomic.Pointer[status]
	changed  chan struct{}
	stepDown atomic.Bool
}

// status is what Held reports.
type status struct {
	fence         keyval.Revision
	validUntil    time.Time
	renewalSentAt time.Time
	leader        string
}

// Option adjusts a lease.
type Option func(*Lease)

// WithTTL sets the time after which the service lets the lease of a silent holder lapse.
func WithTTL(d time.Duration) Option { return func(l *Lease) { l.ttl = d } }

// WithClock sets the clock that the trust in the lease is measured on; it should go on while the machine is suspended.
func WithClock(now func() time.Time) Option { return func(l *Lease) { l.now = now } }

// WithPatience lets a holder that cannot reach the service go on asking for the renewal for d after the lease's time, in place of
// giving the key up; Held reports false meanwhile and Kept true.
func WithPatience(d time.Duration) Option { return func(l *Lease) { l.model.renewalGrace = d } }

// WithLook sets how often a candidate looks at the key while another one holds it.
func WithLook(d time.Duration) Option { return func(l *Lease) { l.model.pollInterval = d } }

// WithDelay has a candidate that finds the key free wait for delay before it claims it, so that better candidates come first.
func WithDelay(delay func() time.Duration) Option {
	return func(l *Lease) { l.model.claimDelay = delay }
}

// New returns a lease of key for holder, whose name is unique to this run of the process.
func New(store keyval.Store, key, holder string, opts ...Option) *Lease {
	l := &Lease{
		store: store, key: key, ttl: DefaultTTL, now: time.Now,
		wakeup: make(chan struct{}, 1), changed: make(chan struct{}, 1), model: NewModel(holder, 0),
	}
	for _, o := range opts {
		o(l)
	}
	l.model.ttl = l.ttl
	l.status.Store(&status{})
	return l
}

// Held returns the fence, which is the revision of the key's write, and whether this process may believe that it holds the key.
func (l *Lease) Held() (keyval.Revision, bool) {
	h := l.status.Load()
	if h.fence == 0 || !l.now().Before(h.validUntil) {
		return 0, false
	}
	return h.fence, true
}

// Kept returns the fence, and whether the key has not been given up; unlike with Held, another process may hold it by now.
func (l *Lease) Kept() (keyval.Revision, bool) {
	h := l.status.Load()
	return h.fence, h.fence != 0
}

// Checked returns how long ago the last renewal that succeeded was sent: until then no other process had the key.
func (l *Lease) Checked() time.Duration { return l.now().Sub(l.status.Load().renewalSentAt) }

// Moved tells that Kept may have changed.
func (l *Lease) Moved() <-chan struct{} { return l.changed }

// Nudge makes a waiting candidate or holder act at once.
func (l *Lease) Nudge() { notify(l.wakeup) }

// Yield gives the key up; the process becomes a candidate again.
func (l *Lease) Yield() {
	l.stepDown.Store(true)
	l.Nudge()
}

// notify wakes the reader of c, unless it is to be woken already.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Leader returns the holder that the key last named, empty when there was none.
func (l *Lease) Leader() string { return l.status.Load().leader }

// Run gets and keeps the key until ctx ends, then gives it up; it returns nil.
func (l *Lease) Run(ctx context.Context) error {
	defer l.release(ctx)
	cmds := l.model.Start()
	for len(cmds) > 0 && ctx.Err() == nil {
		cmds = l.model.Update(l.perform(ctx, cmds[0]))
		if l.stepDown.Swap(false) {
			cmds = l.model.Yield()
		}
		f, u := l.model.Fence()
		if l.status.Swap(&status{fence: f, validUntil: u, renewalSentAt: l.model.renewalSentAt, leader: l.model.Leader()}).fence != f {
			notify(l.changed)
		}
	}
	return nil
}

// release ends the open lease without waiting for the service any longer than a farewell.
func (l *Lease) release(ctx context.Context) {
	l.status.Store(&status{})
	notify(l.changed)
	if l.model.leaseID == 0 {
		return
	}
	c, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	_ = l.store.Revoke(c, l.model.leaseID) // else it lapses by itself.
}

// perform does what c says; each call gets less time than the lease has.
func (l *Lease) perform(ctx context.Context, c Cmd) Msg {
	if w, ok := c.(WaitCmd); ok {
		l.sleep(ctx, w.For)
		return WakeMsg{Now: l.now()}
	}
	sent := l.now()
	d, cancel := context.WithTimeout(ctx, l.ttl/callTimeoutDivisor)
	defer cancel()
	switch k := c.(type) {
	case ReadCmd:
		i, err := l.store.Get(d, l.key)
		return ReadMsg{Now: l.now(), Item: i, Err: err}
	case GrantCmd:
		id, err := l.store.Grant(d, k.TTL)
		return GrantMsg{Now: l.now(), Sent: sent, Lease: id, Err: err}
	case PutCmd:
		r, err := l.store.Put(d, l.key, k.Value, keyval.Absent, k.Lease)
		return PutMsg{Now: l.now(), Rev: r, Err: err}
	case RenewCmd:
		return RenewMsg{Sent: sent, Err: l.store.Renew(d, k.Lease), Now: l.now()}
	case RevokeCmd:
		return RevokeMsg{Err: l.store.Revoke(d, k.Lease), Now: l.now()}
	}
	return ReadMsg{Now: sent, Err: eris.Errorf("lease: unknown command %T", c)}
}

func (l *Lease) sleep(ctx context.Context, d time.Duration) {
	d -= rand.N(d*jitterPercent/100 + 1) //nolint:gosec // jitter
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-l.wakeup:
	case <-ctx.Done():
	}
}
