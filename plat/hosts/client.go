package hosts

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"burdockreach.dev/plat/wire"
)

var (
	// ErrDown reports that the call certainly had no effect.
	ErrDown = eris.New("hosts: platform cannot be reached")
	// ErrUnknown reports that the call was sent and its response was lost, so that it may have taken effect.
	ErrUnknown = eris.New("hosts: outcome unknown")
	// ErrRefused reports that the platform answered that it did not carry out the call.
	ErrRefused = eris.New("hosts: platform refused")
)

// JSON bodies of requests to the platform and of its responses, shared by the client and the stand-ins.
type (
	// ListResponse holds every VM that the platform knows.
	ListResponse struct {
		VMs []VMWire `json:"vms"`
	}
	// Request names the VM, with the operation id of a reboot or the pool of an assignment.
	Request struct {
		ID   string `json:"id"`
		Op   string `json:"op,omitempty"`
		Pool string `json:"pool,omitempty"`
	}
	// Response reports whether the call took effect.
	Response struct {
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

// Client is a Platform that calls the HTTP API. Each method makes exactly one attempt, and may be called again after ErrUnknown.
type Client struct {
	wire *wire.Client
}

var _ Platform = (*Client)(nil)

// Option configures a Client.
type Option = wire.Option

// WithName sets the name by which the calling entry identifies itself to the platform.
func WithName(name string) Option { return wire.WithName(name) }

// WithTimeout sets the longest time of a call. An earlier deadline of the call's context applies instead.
func WithTimeout(d time.Duration) Option { return wire.WithTimeout(d) }

// New returns a client of the platform at addr.
func New(addr string, opts ...Option) *Client { return &Client{wire: wire.New(addr, opts...)} }

// Close closes the idle connections.
func (c *Client) Close() { c.wire.Close() }

// List implements Platform.
func (c *Client) List(ctx context.Context) ([]VM, error) {
	var a ListResponse
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

// Reboot implements Platform. After ErrUnknown, repeat it with the same op.
func (c *Client) Reboot(ctx context.Context, id, op string) error {
	return c.order(ctx, PathReboot, Request{ID: id, Op: op})
}

// Assign implements Platform.
func (c *Client) Assign(ctx context.Context, id, pool string) error {
	return c.order(ctx, PathAssign, Request{ID: id, Pool: pool})
}

func (c *Client) order(ctx context.Context, path string, q Request) error {
	var a Response
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
