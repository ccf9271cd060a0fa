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

// entryPrefix is the prefix of the keys of live entries. Each key is bound to a lease of its entry.
const entryPrefix = owner.ClaimPrefix + "entry/"

// Rules that give the claim to the entry with the most cores. An entry is larger than another one if it has at least largerCoresRatio
// times its cores.
const (
	entryTTL           = 6 * time.Second        // an entry without renewals for this time is not expected to take the claim.
	largerCoresRatio   = 1.5                    // a larger entry is the better owner.
	claimDelay         = 700 * time.Millisecond // head start of larger entries on a free claim, which they notice within milliseconds.
	yieldDelay         = 4 * time.Second        // a larger entry must have been alive for this time before the owner yields the claim.
	yieldCheckInterval = time.Second
)

// entryInfo describes an entry to the other entries.
type entryInfo struct {
	Cores      float64 `json:"cores"` // processor cores that the entry may use.
	Addr       string  `json:"addr"`  // peer address.
	aliveSince time.Time
}

// claims follows the claim and the list of live entries in the store. It knows the owner's address and the cores of each entry.
type claims struct {
	name      string
	cores     float64
	wakeLease func()                 // makes the lease read the claim at once.
	ownerAddr atomic.Pointer[string] // as in the store.
	foundAddr atomic.Pointer[string] // as another entry says, until the store tells an owner again; nil if not known.
	failed    chan struct{}          // holds a value if a call to the owner has failed.
	storeLost atomic.Bool            // the store does not answer.
	listed    chan struct{}          // closed once the live entries have been read.
	listOnce  sync.Once

	mu      sync.Mutex
	entries map[string]entryInfo
}

func newClaims(s Settings) *claims {
	return &claims{name: s.Name, cores: s.Cores, wakeLease: func() {}, entries: map[string]entryInfo{}, failed: make(chan struct{}, 1), listed: make(chan struct{})}
}

// Owner returns the peer address of the owner of the jobs, empty while there is no owner.
func (c *claims) Owner() string {
	if a := c.foundAddr.Load(); a != nil {
		return *a
	}
	if a := c.ownerAddr.Load(); a != nil {
		return *a
	}
	return ""
}

// OwnerFailed tells that the owner could not be called, or that it is not the owner.
func (c *claims) OwnerFailed() {
	select {
	case c.failed <- struct{}{}:
	default:
	}
}

// hasLargerEntry reports whether a larger entry has been alive for at least d.
func (c *claims) hasLargerEntry(d time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n, m := range c.entries {
		if n != c.name && m.Cores >= largerCoresRatio*c.cores && time.Since(m.aliveSince) >= d {
			return true
		}
	}
	return false
}

// minHelperCoresRatio is the least share of this entry's cores with which another entry may be its helper.
const minHelperCoresRatio = 0.6

// Helpers returns the peer addresses of the entries that can be helpers, those with the most cores first.
func (c *claims) Helpers() []string { return c.others(minHelperCoresRatio * c.cores) }

// others returns the peer addresses of the other entries that have at least minCores, those with the most cores first.
func (c *claims) others(minCores float64) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var l []entryInfo
	for n, m := range c.entries {
		if n != c.name && m.Addr != "" && m.Cores >= minCores {
			l = append(l, m)
		}
	}
	slices.SortFunc(l, func(a, b entryInfo) int { return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.Addr, b.Addr)) })
	a := make([]string, len(l))
	for i, m := range l {
		a[i] = m.Addr
	}
	return a
}

// delay returns how long to wait before taking a free claim, so that a larger entry can take it first.
func (c *claims) delay() time.Duration {
	if c.hasLargerEntry(0) {
		return claimDelay
	}
	return 0
}

// Reset implements keyval.Sink.
func (c *claims) Reset(items []keyval.Item) {
	c.mu.Lock()
	old := c.entries
	c.entries = map[string]entryInfo{}
	c.mu.Unlock()
	found := false
	for _, i := range items {
		found = found || i.Key() == owner.ClaimKey
		c.apply(i, false)
	}
	c.mu.Lock()
	for n, m := range c.entries {
		if o, ok := old[n]; ok {
			m.aliveSince = o.aliveSince
			c.entries[n] = m
		}
	}
	c.mu.Unlock()
	if !found {
		c.setOwner("")
	}
	c.listOnce.Do(func() { close(c.listed) })
}

// runLease runs the lease once the live entries have been read, or after claimDelay. Before that an entry does not know whether there
// are larger ones.
func (c *claims) runLease(ctx context.Context, run func(context.Context) error) error {
	select {
	case <-c.listed:
	case <-time.After(claimDelay):
	case <-ctx.Done():
	}
	return run(ctx)
}

// Apply implements keyval.Sink.
func (c *claims) Apply(events []keyval.Event) {
	for _, x := range events {
		c.apply(x.Item(), x.Deleted())
	}
}

// apply applies one changed key.
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
	m := entryInfo{aliveSince: time.Now()}
	if gone || json.Unmarshal(i.Value(), &m) != nil {
		delete(c.entries, n)
		return
	}
	c.entries[n] = m
}

// applyClaim sets the owner's address from the claim, whose holder starts with it.
func (c *claims) applyClaim(i keyval.Item, gone bool) {
	var v lease.Value
	if gone || json.Unmarshal(i.Value(), &v) != nil {
		c.setOwner("")
		return
	}
	a, _, _ := strings.Cut(v.Holder, "/")
	c.setOwner(a)
}

// setOwner stores the owner's address. If it changed, the lease reads the claim at once.
func (c *claims) setOwner(a string) {
	c.foundAddr.Store(nil)
	if o := c.ownerAddr.Swap(&a); o == nil || *o != a {
		c.wakeLease()
	}
}

// Disconnected implements keyval.Sink. The watch of the operator's documents already logs that the store is lost.
func (c *claims) Disconnected(error) { c.storeLost.Store(true) }

// Reconnected implements keyval.Sink.
func (c *claims) Reconnected() { c.storeLost.Store(false) }

// register keeps this entry in the list of live entries until ctx ends.
func (e *Site) register(ctx context.Context) error {
	b, err := json.Marshal(entryInfo{Cores: e.settings.Cores, Addr: e.settings.PeerAddr})
	if err != nil {
		return err
	}
	id := keyval.LeaseID(0)
	for ctx.Err() == nil {
		c, cancel := context.WithTimeout(ctx, entryTTL/4)
		if id == 0 {
			if id, err = e.platform.Store.Grant(c, entryTTL); err == nil {
				_, err = e.platform.Store.Put(c, entryPrefix+e.settings.Name, b, keyval.Any, id)
			}
		} else {
			err = e.platform.Store.Renew(c, id)
		}
		cancel()
		if errors.Is(err, keyval.ErrConflict) {
			id = 0 // the lease has lapsed: register again at once.
			continue
		}
		select {
		case <-time.After(entryTTL / 3):
		case <-ctx.Done():
		}
	}
	return e.unregister(ctx, id)
}

// unregister revokes the entry's lease. If the store does not answer, the lease lapses by itself.
func (e *Site) unregister(ctx context.Context, id keyval.LeaseID) error {
	if id == 0 {
		return nil
	}
	c, cancel := context.WithTimeout(context.WithoutCancel(ctx), entryTTL/8)
	defer cancel()
	if err := e.platform.Store.Revoke(c, id); err != nil {
		e.log.Warn().Str("step", "unregister").Err(err).Msg("entry not unregistered")
	}
	return nil
}

// yieldToLarger makes the owner yield the claim once a larger entry has been alive for yieldDelay.
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
			e.log.Info().Float64("cores", e.settings.Cores).Msg("claim yielded to an entry with more cores")
			e.owner.Yield()
		}
	}
}
