package hosts

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"burdockreach.dev/plat/wire"
)

var (
	// ErrDown reports that the call certainly took no effect.
	ErrDown = eris.New("hosts: platform cannot be reached")
	// ErrUnknown reports that the call was sent and its answer was lost.
	ErrUnknown = eris.New("hosts: outcome unknown")
	// ErrRefused reports that the platform answered and did not do it.
	ErrRefused = eris.New("hosts: platform refused")
)

// Bodies of the platform's calls, as the client sends them and a stand-in reads them.
type (
	// ListAnswer holds every VM that the platform knows.
	ListAnswer struct {
		VMs []Wire `json:"vms"`
	}
	// Request names the VM and, where the call has one, its operation or pool.
	Request struct {
		ID   string `json:"id"`
		Op   string `json:"op,omitempty"`
		Pool string `json:"pool,omitempty"`
	}
	// Answer tells whether the call took effect.
	Answer struct {
		OK bool `json:"ok"`
	}
)

// Paths of the platform's calls.
const (
	PathList    = "/vm/list"
	PathDrain   = "/vm/drain"
	PathUndrain = "/vm/undrain"
	PathReboot  = "/vm/reboot"
	PathAssign  = "/vm/assign"
)

// Client is a Platform over its HTTP API; each method makes exactly one attempt, and each may be repeated after ErrUnknown.
type Client struct {
	wire *wire.Client
}

var _ Platform = (*Client)(nil)

// Option adjusts a client.
type Option = wire.Option

// WithName sets the name under which the platform knows the calling entry.
func WithName(name string) Option { return wire.WithName(name) }

// WithTimeout bounds a call whose context has no deadline.
func WithTimeout(d time.Duration) Option { return wire.WithTimeout(d) }

// New returns a client of the platform at addr.
func New(addr string, opts ...Option) *Client { return &Client{wire: wire.New(addr, opts...)} }

// Close drops the unused connections.
func (c *Client) Close() { c.wire.Close() }

// List implements Platform.
func (c *Client) List(ctx context.Context) ([]VM, error) {
	var a ListAnswer
	if err := c.call(ctx, PathList, Request{}, &a); err != nil {
		return nil, err
	}
	l := make([]VM, len(a.VMs))
	for i, w := range a.VMs {
		l[i] = FromWire(w)
	}
	return l, nil
}

// Drain implements Platform.
func (c *Client) Drain(ctx context.Context, id string) error {
	return c.order(ctx, PathDrain, Request{ID: id})
}

// Undrain implements Platform.
func (c *Client) Undrain(ctx context.Context, id string) error {
	return c.order(ctx, PathUndrain, Request{ID: id})
}

// Reboot implements Platform; after ErrUnknown it is repeated with the same op.
func (c *Client) Reboot(ctx context.Context, id, op string) error {
	return c.order(ctx, PathReboot, Request{ID: id, Op: op})
}

// Assign implements Platform.
func (c *Client) Assign(ctx context.Context, id, pool string) error {
	return c.order(ctx, PathAssign, Request{ID: id, Pool: pool})
}

func (c *Client) order(ctx context.Context, path string, q Request) error {
	var a Answer
	if err := c.call(ctx, path, q, &a); err != nil {
		return err
	}
	if !a.OK {
		return eris.Wrapf(ErrRefused, "%s of %s at %s", path, q.ID, c.wire.Addr())
	}
	return nil
}

func (c *Client) call(ctx context.Context, path string, q Request, a any) error {
	err := c.wire.Call(ctx, path, q, a, 0)
	if err == nil {
		return nil
	}
	kind := ErrUnknown
	var w *wire.Error
	if errors.As(err, &w) && !w.Sent() {
		kind = ErrDown
	}
	return eris.Wrapf(kind, "VM %q: %v", q.ID, err)
}
