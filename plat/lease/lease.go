package lease

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"burdockreach.dev/plat/keyval"
)

// DefaultTTL is the default time after which the service expires a lease that is not renewed.
const DefaultTTL = 6 * time.Second

// revokeTimeout bounds the call that ends the lease at shutdown.
const revokeTimeout = time.Second

// callTimeoutDivisor bounds each call to ttl/callTimeoutDivisor. With a shorter timeout, holders would lose their leases while the
// service is slow.
const callTimeoutDivisor = 2

// jitterPercent is the random share by which waits are shortened, so that candidates do not act at the same time.
const jitterPercent = 10

// Lease acquires one key and renews the lease that it is bound to.
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

// status is the state that the accessors of Lease report.
type status struct {
	fence         keyval.Revision
	validUntil    time.Time
	renewalSentAt time.Time
	leader        string
}

// Option configures a Lease.
type Option func(*Lease)

// WithTTL sets the time after which the service expires a lease that is not renewed.
func WithTTL(d time.Duration) Option { return func(l *Lease) { l.ttl = d } }

// WithClock sets the clock that measures how long a lease is trusted. It should keep running while the machine is suspended.
func WithClock(now func() time.Time) Option { return func(l *Lease) { l.now = now } }

// WithRenewalGrace sets how long after the TTL a holder that cannot reach the service keeps retrying the renewal instead of releasing
// the key. Meanwhile Held returns false, but the key is not released.
func WithRenewalGrace(d time.Duration) Option { return func(l *Lease) { l.model.renewalGrace = d } }

// WithPollInterval sets how often a candidate reads the key while another process holds it.
func WithPollInterval(d time.Duration) Option { return func(l *Lease) { l.model.pollInterval = d } }

// WithClaimDelay sets how long a candidate that finds the key free waits before it claims the key, so that better candidates come first.
func WithClaimDelay(delay func() time.Duration) Option {
	return func(l *Lease) { l.model.claimDelay = delay }
}

// New returns a lease of key for holder, a name that must be unique to this run of the process.
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

// Held returns the fencing token, which is the revision of the key's write, and whether this process may assume that it holds the
// key.
func (l *Lease) Held() (keyval.Revision, bool) {
	h := l.status.Load()
	if h.fence == 0 || !l.now().Before(h.validUntil) {
		return 0, false
	}
	return h.fence, true
}

// Retained returns the fencing token and whether this process has not released the key. Unlike with Held, another process may hold the
// key by now.
func (l *Lease) Retained() (keyval.Revision, bool) {
	h := l.status.Load()
	return h.fence, h.fence != 0
}

// SinceRenewal returns how long ago the last successful renewal was sent. No other process held the key until that time.
func (l *Lease) SinceRenewal() time.Duration { return l.now().Sub(l.status.Load().renewalSentAt) }

// Changed returns a channel that receives when this process may have acquired or released the key.
func (l *Lease) Changed() <-chan struct{} { return l.changed }

// Wake ends the present wait of a candidate or holder, so that it acts at once.
func (l *Lease) Wake() { notify(l.wakeup) }

// StepDown releases the key; the process becomes a candidate again.
func (l *Lease) StepDown() {
	l.stepDown.Store(true)
	l.Wake()
}

// notify sends to c without blocking; it does nothing if a notification is already pending.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Leader returns the holder that the key named when it was last read, empty if there was none.
func (l *Lease) Leader() string { return l.status.Load().leader }

// Run acquires and holds the key until ctx ends, then releases it. It returns nil.
func (l *Lease) Run(ctx context.Context) error {
	defer l.release(ctx)
	cmds := l.model.Start()
	for len(cmds) > 0 && ctx.Err() == nil {
		cmds = l.model.Update(l.perform(ctx, cmds[0]))
		if l.stepDown.Swap(false) {
			cmds = l.model.StepDown()
		}
		f, u := l.model.Fence()
		if l.status.Swap(&status{fence: f, validUntil: u, renewalSentAt: l.model.renewalSentAt, leader: l.model.Leader()}).fence != f {
			notify(l.changed)
		}
	}
	return nil
}

// release revokes the lease and waits for the service for up to revokeTimeout.
func (l *Lease) release(ctx context.Context) {
	l.status.Store(&status{})
	notify(l.changed)
	if l.model.leaseID == 0 {
		return
	}
	c, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	_ = l.store.Revoke(c, l.model.leaseID) // if this fails, the lease expires by itself
}

// perform carries out c and returns its outcome. Each call gets a part of the TTL as its timeout.
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
