package tasks

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"burdockreach.dev/plat/wire"
)

var (
	// ErrDown reports that the call certainly had no effect.
	ErrDown = eris.New("tasks: platform cannot be reached")
	// ErrUnknown reports that the call was sent and its response was lost, so that it may have taken effect.
	ErrUnknown = eris.New("tasks: outcome unknown")
	// ErrRefused reports that the platform answered that it did not carry out the call.
	ErrRefused = eris.New("tasks: platform refused")
)

// JSON bodies of requests to the platform and of its responses, shared by the client and the stand-ins.
type (
	// ListRequest asks for the tasks whose ids begin with Prefix.
	ListRequest struct {
		Prefix string `json:"prefix"`
	}
	// ListResponse holds the tasks.
	ListResponse struct {
		Tasks []Task `json:"tasks"`
	}
	// Request names the task.
	Request struct {
		ID string `json:"id"`
		On bool   `json:"on,omitempty"` // of a throttle: whether to throttle the task
	}
	// Response reports whether the call took effect and, for a stop, how the task ended.
	Response struct {
		OK     bool   `json:"ok"`
		State  State  `json:"state,omitempty"`
		Reason string `json:"reason,omitempty"`
	}
)

// Paths of the platform's calls.
const (
	PathList       = "/task/list"
	PathRun        = "/task/run"
	PathStop       = "/task/stop"
	PathCheckpoint = "/task/checkpoint"
	PathThrottle   = "/task/throttle"
)

// Client is a Platform that calls the HTTP API. Each method makes exactly one attempt.
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
func (c *Client) List(ctx context.Context, prefix string) ([]Task, error) {
	var a ListResponse
	err := c.call(ctx, PathList, prefix, ListRequest{Prefix: prefix}, &a)
	return a.Tasks, err
}

// Run implements Platform.
func (c *Client) Run(ctx context.Context, r RunRequest) error {
	_, err := c.order(ctx, PathRun, r.ID, r)
	return err
}

// Stop implements Platform.
func (c *Client) Stop(ctx context.Context, id string) (State, error) {
	a, err := c.order(ctx, PathStop, id, Request{ID: id})
	return a.State, err
}

// Checkpoint implements Platform.
func (c *Client) Checkpoint(ctx context.Context, id string) error {
	_, err := c.order(ctx, PathCheckpoint, id, Request{ID: id})
	return err
}

// Throttle implements Platform.
func (c *Client) Throttle(ctx context.Context, id string, on bool) error {
	_, err := c.order(ctx, PathThrottle, id, Request{ID: id, On: on})
	return err
}

func (c *Client) order(ctx context.Context, path, id string, q any) (Response, error) {
	var a Response
	if err := c.call(ctx, path, id, q, &a); err != nil {
		return a, err
	}
	if !a.OK {
		return a, eris.Wrapf(ErrRefused, "%s of %s at %s: %s", path, id, c.wire.Addr(), a.Reason)
	}
	return a, nil
}

func (c *Client) call(ctx context.Context, path, id string, q, a any) error {
	err := c.wire.Call(ctx, path, q, a, 0)
	if err == nil {
		return nil
	}
	kind := ErrUnknown
	var w *wire.Error
	if errors.As(err, &w) && !w.Sent() {
		kind = ErrDown
	}
	return eris.Wrapf(kind, "%s of %q: %v", path, id, err)
}
