package site

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"burdockreach.dev/node/owner"
	"burdockreach.dev/plat/keyval"
	"burdockreach.dev/plat/lease"
)

// entryPrefix precedes the names of the entries that are alive, each under a lease.
const entryPrefix = owner.ClaimPrefix + "entry/"

// Choice of the owner.
const (
	entryTTL           = 6 * time.Second        // an entry that is silent for so long is not expected to take the claim.
	largerCoresRatio   = 1.5                    // an entry with so many times the processor is the better owner.
	claimDelay         = 700 * time.Millisecond // that a free claim is left to abler entries: they notice it within milliseconds.
	yieldDelay         = 4 * time.Second        // that an abler entry has been there before it gets the claim.
	yieldCheckInterval = time.Second
)

// member is an entry as it tells the others.
type member struct {
	Cores      float64 `json:"cores"` // of the processor that the entry may use.
	Addr       string  `json:"addr"`  // for peers.
	aliveSince time.Time
}

// claims is the sink of the claims and of the entries: it knows the owner's address, and who is able to own.
type claims struct {
	name      string
	cores     float64
	wakeLease func() // has the lease look at the claim.
	ownerAddr atomic.Pointer[string]

	mu      sync.Mutex
	members map[string]member
}

func newClaims(s Settings) *claims {
	return &claims{name: s.Name, cores: s.Cores, wakeLease: func() {}, members: map[string]member{}}
}

// Owner implements front.Claims.
func (c *claims) Owner() string {
	if a := c.ownerAddr.Load(); a != nil {
		return *a
	}
	return ""
}

// hasLargerEntry reports whether an entry with much more processor has been alive for d.
func (c *claims) hasLargerEntry(d time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n, m := range c.members {
		if n != c.name && m.Cores >= largerCoresRatio*c.cores && time.Since(m.aliveSince) >= d {
			return true
		}
	}
	return false
}

// minHelperCoresRatio is the share of this entry's processor that an entry needs at least to make calls for it.
const minHelperCoresRatio = 0.6

// Helpers implements owner.Entries.
func (c *claims) Helpers() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var l []member
	for n, m := range c.members {
		if n != c.name && m.Addr != "" && m.Cores >= minHelperCoresRatio*c.cores {
			l = append(l, m)
		}
	}
	slices.SortFunc(l, func(a, b member) int { return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.Addr, b.Addr)) })
	a := make([]string, len(l))
	for i, m := range l {
		a[i] = m.Addr
	}
	return a
}

// delay is how long a free claim is left to others.
func (c *claims) delay() time.Duration {
	if c.hasLargerEntry(0) {
		return claimDelay
	}
	return 0
}

// Reset implements keyval.Sink.
func (c *claims) Reset(items []keyval.Item) {
	c.mu.Lock()
	old := c.members
	c.members = map[string]member{}
	c.mu.Unlock()
	found := false
	for _, i := range items {
		found = found || i.Key() == owner.ClaimKey
		c.apply(i, false)
	}
	c.mu.Lock()
	for n, m := range c.members {
		if o, ok := old[n]; ok {
			m.aliveSince = o.aliveSince
			c.members[n] = m
		}
	}
	c.mu.Unlock()
	if !found {
		c.setOwner("")
	}
}

// Apply implements keyval.Sink.
func (c *claims) Apply(events []keyval.Event) {
	for _, x := range events {
		c.apply(x.Item(), x.Deleted())
	}
}

func (c *claims) apply(i keyval.Item, gone bool) {
	if i.Key() == owner.ClaimKey {
		c.applyClaim(i, gone)
		return
	}
	n, ok := strings.CutPrefix(i.Key(), entryPrefix)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	m := member{aliveSince: time.Now()}
	if gone || json.Unmarshal(i.Value(), &m) != nil {
		delete(c.members, n)
		return
	}
	c.members[n] = m
}

func (c *claims) applyClaim(i keyval.Item, gone bool) {
	var v lease.Value
	if gone || json.Unmarshal(i.Value(), &v) != nil {
		c.setOwner("")
		return
	}
	a, _, _ := strings.Cut(v.Holder, "/")
	c.setOwner(a)
}

// setOwner notes the owner's address and has the lease look at a claim that has changed.
func (c *claims) setOwner(a string) {
	if o := c.ownerAddr.Swap(&a); o == nil || *o != a {
		c.wakeLease()
	}
}

// Lost implements keyval.Sink; the watch of the configuration reports the store.
func (*claims) Lost(error) {}

// Found implements keyval.Sink.
func (*claims) Found() {}

// register tells the other entries that this one is alive, until ctx ends.
func (e *Site) register(ctx context.Context) error {
	b, err := json.Marshal(member{Cores: e.set.Cores, Addr: e.set.PeerAddr})
	if err != nil {
		return err
	}
	id := keyval.LeaseID(0)
	for ctx.Err() == nil {
		c, cancel := context.WithTimeout(ctx, entryTTL/4)
		if id == 0 {
			if id, err = e.plat.Store.Grant(c, entryTTL); err == nil {
				_, err = e.plat.Store.Put(c, entryPrefix+e.set.Name, b, keyval.Any, id)
			}
		} else {
			err = e.plat.Store.Renew(c, id)
		}
		cancel()
		if errors.Is(err, keyval.ErrConflict) {
			id = 0 // it has lapsed: register again at once.
			continue
		}
		select {
		case <-time.After(entryTTL / 3):
		case <-ctx.Done():
		}
	}
	return e.unregister(ctx, id)
}

// unregister ends the entry's lease; it lapses by itself when the store does not answer.
func (e *Site) unregister(ctx context.Context, id keyval.LeaseID) error {
	if id == 0 {
		return nil
	}
	c, cancel := context.WithTimeout(context.WithoutCancel(ctx), entryTTL/8)
	defer cancel()
	if err := e.plat.Store.Revoke(c, id); err != nil {
		e.log.Warn().Str("step", "unregister").Err(err).Msg("entry not unregistered")
	}
	return nil
}

// yieldToLarger gives the claim up when an entry with much more processor is there.
func (e *Site) yieldToLarger(ctx context.Context) error {
	t := time.NewTicker(yieldCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		if _, ok := e.lease.Held(); ok && e.claims.hasLargerEntry(yieldDelay) {
			e.log.Info().Float64("cores", e.set.Cores).Msg("claim yielded to an abler entry")
			e.owner.Yield()
		}
	}
}
