package keyval

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"burdockreach.dev/plat/wire"
)

// Client is a Store that calls the service's HTTP API. Each method makes exactly one attempt.
type Client struct {
	wire                       *wire.Client
	reads, writes, watches     atomic.Int64
	conflicts, downs, unknowns atomic.Int64
}

var _ Store = (*Client)(nil)

// Option configures a Client.
type Option = wire.Option

// WithName sets the name by which the calling entry identifies itself to the platform.
func WithName(name string) Option { return wire.WithName(name) }

// WithTimeout sets the longest time of a call, to which a watch adds its wait. An earlier deadline of the call's context applies
// instead.
func WithTimeout(d time.Duration) Option { return wire.WithTimeout(d) }

// New returns a client of the service at addr.
func New(addr string, opts ...Option) *Client {
	return &Client{wire: wire.New(addr, opts...)}
}

// Close closes the idle connections.
func (c *Client) Close() { c.wire.Close() }

// Reads returns the number of gets and lists so far.
func (c *Client) Reads() int64 { return c.reads.Load() }

// Writes returns the number of puts, deletes and lease calls so far.
func (c *Client) Writes() int64 { return c.writes.Load() }

// Watches returns the number of watches so far.
func (c *Client) Watches() int64 { return c.watches.Load() }

// Conflicts returns the number of calls that ended in ErrConflict.
func (c *Client) Conflicts() int64 { return c.conflicts.Load() }

// Downs returns the number of calls that ended in ErrDown.
func (c *Client) Downs() int64 { return c.downs.Load() }

// Unknowns returns the number of calls that ended in ErrUnknown.
func (c *Client) Unknowns() int64 { return c.unknowns.Load() }

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Item, error) {
	c.reads.Add(1)
	var a GetResponse
	if err := c.call(ctx, PathGet, key, GetRequest{Key: key}, &a, 0); err != nil {
		return Item{}, err
	}
	if !a.Found {
		return Item{key: key}, nil
	}
	return NewItem(key, a.Value, a.Rev), nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]Item, Revision, error) {
	c.reads.Add(1)
	var a ListResponse
	if err := c.call(ctx, PathList, prefix, ListRequest{Prefix: prefix, After: after, Limit: limit}, &a, 0); err != nil {
		return nil, 0, err
	}
	l := make([]Item, len(a.Items))
	for i, w := range a.Items {
		l[i] = NewItem(w.Key, w.Value, w.Rev)
	}
	return l, a.Rev, nil
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, cond Revision, lease LeaseID) (Revision, error) {
	if len(value) > MaxValue {
		return 0, eris.Wrapf(ErrTooLarge, "put %s: %d bytes", key, len(value))
	}
	c.writes.Add(1)
	var a PutResponse
	if err := c.call(ctx, PathPut, key, PutRequest{Key: key, Value: value, Cond: cond, Lease: lease}, &a, 0); err != nil {
		return 0, err
	}
	return a.Rev, c.checkApplied(a.OK, PathPut, key)
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, cond Revision) error {
	c.writes.Add(1)
	var a OKResponse
	if err := c.call(ctx, PathDelete, key, DeleteRequest{Key: key, Cond: cond}, &a, 0); err != nil {
		return err
	}
	return c.checkApplied(a.OK, PathDelete, key)
}

// Watch implements Store. After ErrReset the caller must list again.
func (c *Client) Watch(ctx context.Context, prefix string, rev Revision, wait time.Duration) ([]Event, Revision, error) {
	c.watches.Add(1)
	var a WatchResponse
	q := WatchRequest{Prefix: prefix, Rev: rev, WaitMillis: wait.Milliseconds()}
	if err := c.call(ctx, PathWatch, prefix, q, &a, wait); err != nil {
		return nil, 0, err
	}
	if a.Reset {
		return nil, a.Rev, eris.Wrapf(ErrReset, "watch %s from revision %d at %s", prefix, rev, c.wire.Addr())
	}
	l := make([]Event, len(a.Events))
	for i, w := range a.Events {
		l[i] = NewEvent(NewItem(w.Key, w.Value, w.Rev), w.Deleted)
	}
	return l, a.Rev, nil
}

// Grant implements Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	c.writes.Add(1)
	var a GrantResponse
	err := c.call(ctx, PathGrant, "", GrantRequest{TTLMillis: ttl.Milliseconds()}, &a, 0)
	return a.Lease, err
}

// Renew implements Store.
func (c *Client) Renew(ctx context.Context, id LeaseID) error {
	return c.lease(ctx, PathRenew, id)
}

// Revoke implements Store.
func (c *Client) Revoke(ctx context.Context, id LeaseID) error {
	return c.lease(ctx, PathRevoke, id)
}

func (c *Client) lease(ctx context.Context, path string, id LeaseID) error {
	c.writes.Add(1)
	var a OKResponse
	if err := c.call(ctx, path, "", LeaseRequest{Lease: id}, &a, 0); err != nil {
		return err
	}
	return c.checkApplied(a.OK, path, "")
}

func (c *Client) checkApplied(ok bool, path, key string) error {
	if ok {
		return nil
	}
	c.conflicts.Add(1)
	return eris.Wrapf(ErrConflict, "%s %s at %s", path, key, c.wire.Addr())
}

// call makes one attempt and classifies its error as ErrDown, ErrUnknown or ErrTooLarge.
func (c *Client) call(ctx context.Context, path, key string, in, out any, extra time.Duration) error {
	err := c.wire.Call(ctx, path, in, out, extra)
	if err == nil {
		return nil
	}
	kind := ErrUnknown
	var w *wire.Error
	switch {
	case !errors.As(err, &w) || w.Sent():
		c.unknowns.Add(1)
	case w.Status() == http.StatusRequestEntityTooLarge:
		kind = ErrTooLarge
	default:
		kind = ErrDown
		c.downs.Add(1)
	}
	return eris.Wrapf(kind, "key %q: %v", key, err)
}
