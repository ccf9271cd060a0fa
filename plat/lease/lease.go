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

// farewell bounds the end of the lease at shutdown.
const farewell = time.Second

// callParts bounds a call to ttl/callParts, so that a slow service keeps its leaders.
const callParts = 2

// jitterPercent spreads the waits of the candidates.
const jitterPercent = 10

// Lease gets and keeps one key.
type Lease struct {
	store keyval.Store
	key   string
	ttl   time.Duration
	model *Model
	held  atomic.Pointer[hold]
}

// hold is what Held reports.
type hold struct {
	fence  keyval.Revision
	until  time.Time
	leader string
}

// Option adjusts a lease.
type Option func(*Lease)

// WithTTL sets the time after which the service lets the lease of a silent holder lapse.
func WithTTL(d time.Duration) Option { return func(l *Lease) { l.ttl = d } }

// New returns a lease of key for holder, whose name is unique to this run of the process.
func New(store keyval.Store, key, holder string, opts ...Option) *Lease {
	l := &Lease{store: store, key: key, ttl: DefaultTTL}
	for _, o := range opts {
		o(l)
	}
	l.model = NewModel(holder, l.ttl)
	l.held.Store(&hold{})
	return l
}

// Held returns the fence, which is the revision of the key's write, and whether this process may believe that it holds the key.
func (l *Lease) Held() (keyval.Revision, bool) {
	h := l.held.Load()
	if h.fence == 0 || !time.Now().Before(h.until) {
		return 0, false
	}
	return h.fence, true
}

// Leader returns the holder that the key last named, empty when there was none.
func (l *Lease) Leader() string { return l.held.Load().leader }

// Run gets and keeps the key until ctx ends, then gives it up; it returns nil.
func (l *Lease) Run(ctx context.Context) error {
	defer l.leave(ctx)
	cmds := l.model.Start()
	for len(cmds) > 0 && ctx.Err() == nil {
		cmds = l.model.Update(l.perform(ctx, cmds[0]))
		f, u := l.model.Fence()
		l.held.Store(&hold{fence: f, until: u, leader: l.model.Leader()})
	}
	return nil
}

// leave ends the open lease without waiting for the service any longer than a farewell.
func (l *Lease) leave(ctx context.Context) {
	l.held.Store(&hold{})
	if l.model.id == 0 {
		return
	}
	c, cancel := context.WithTimeout(context.WithoutCancel(ctx), farewell)
	defer cancel()
	_ = l.store.Revoke(c, l.model.id) // else it lapses by itself.
}

// perform does what c says; each call gets less time than the lease has.
func (l *Lease) perform(ctx context.Context, c Cmd) Msg {
	if w, ok := c.(WaitCmd); ok {
		l.pause(ctx, w.For)
		return WakeMsg{Now: time.Now()}
	}
	sent := time.Now()
	d, cancel := context.WithTimeout(ctx, l.ttl/callParts)
	defer cancel()
	switch k := c.(type) {
	case ReadCmd:
		i, err := l.store.Get(d, l.key)
		return ReadMsg{Now: time.Now(), Item: i, Err: err}
	case GrantCmd:
		id, err := l.store.Grant(d, k.TTL)
		return GrantMsg{Now: time.Now(), Sent: sent, Lease: id, Err: err}
	case PutCmd:
		r, err := l.store.Put(d, l.key, k.Value, keyval.Absent, k.Lease)
		return PutMsg{Now: time.Now(), Rev: r, Err: err}
	case RenewCmd:
		return RenewMsg{Sent: sent, Err: l.store.Renew(d, k.Lease), Now: time.Now()}
	case RevokeCmd:
		return RevokeMsg{Err: l.store.Revoke(d, k.Lease), Now: time.Now()}
	}
	return ReadMsg{Now: sent, Err: eris.Errorf("lease: unknown command %T", c)}
}

func (l *Lease) pause(ctx context.Context, d time.Duration) {
	d -= rand.N(d*jitterPercent/100 + 1) //nolint:gosec // jitter
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
