package cloud

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"burdockreach.dev/plat/hosts"
	"burdockreach.dev/plat/keyval"
	"burdockreach.dev/plat/tasks"
	"burdockreach.dev/plat/wire"
)

// call answers one path; an error means that the call took no effect.
type call func(ctx context.Context, s *Server, body []byte) (any, error)

// calls are the platform's, which faults touch.
var calls = map[string]struct {
	do    call
	write bool
	vm    bool
}{
	keyval.PathGet:    {do: get},
	keyval.PathList:   {do: list},
	keyval.PathWatch:  {do: watch},
	keyval.PathPut:    {do: put, write: true},
	keyval.PathDelete: {do: remove, write: true},
	keyval.PathGrant:  {do: grant, write: true},
	keyval.PathRenew:  {do: renew, write: true},
	keyval.PathRevoke: {do: revoke, write: true},
	hosts.PathList:    {do: vmList, vm: true},
	hosts.PathDrain:   {do: vmDrain, vm: true, write: true},
	hosts.PathUndrain: {do: vmUndrain, vm: true, write: true},
	hosts.PathReboot:  {do: vmReboot, vm: true, write: true},
	hosts.PathAssign:  {do: vmAssign, vm: true, write: true},

	tasks.PathList:       {do: taskList, vm: true},
	tasks.PathRun:        {do: taskRunCall, vm: true, write: true},
	tasks.PathStop:       {do: taskStop, vm: true, write: true},
	tasks.PathCheckpoint: {do: taskCheckpoint, vm: true, write: true},
	tasks.PathThrottle:   {do: taskThrottle, vm: true, write: true},
}

// controls are the stand-in's own, which no fault touches.
var controls = map[string]call{
	"/fault":     fault,
	"/save":      save,
	"/restore":   restore,
	"/stats":     stats,
	"/vm/fail":   vmFail,
	"/vm/add":    vmAdd,
	"/vm/remove": vmRemove,

	"/task/behave": taskBehave,
}

func (s *Server) handleControl(q *fasthttp.RequestCtx) {
	do, ok := controls[string(q.Path())]
	if !ok {
		refuse(q, fasthttp.StatusNotFound, "unknown path")
		return
	}
	answer(q, q, do, s)
}

func (s *Server) handle(ctx context.Context, q *fasthttp.RequestCtx) {
	c, ok := calls[string(q.Path())]
	if !ok {
		s.handleControl(q)
		return
	}
	client := string(q.Request.Header.Peek(wire.EntryHeader))
	w, cancel := s.until(ctx)
	defer cancel()
	if !pass(ctx, s.faults.judge(client)) {
		drop(q)
		return
	}
	if !s.meter(c.vm, c.write).allow(time.Now()) {
		refuse(q, fasthttp.StatusServiceUnavailable, "over the service's rate")
		return
	}
	answer(w, q, c.do, s)
	v := s.faults.judge(client)
	v.delay = 0
	if !pass(ctx, v) || s.faults.lose(c.write) {
		drop(q)
	}
}

func (s *Server) meter(vm, write bool) *meter {
	switch {
	case vm:
		return &s.vmCalls
	case write:
		return &s.writes
	}
	return &s.reads
}

// pass waits as the verdict says and reports whether the call goes through.
func pass(ctx context.Context, v verdict) bool {
	switch v.mode {
	case Down, Refuse:
		return false
	case Silent:
		select {
		case <-v.changed:
		case <-ctx.Done():
		}
		return false
	case Slow:
		t := time.NewTimer(v.delay)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// until returns a context that ends with ctx or when the faults change.
func (s *Server) until(ctx context.Context) (context.Context, context.CancelFunc) {
	c, cancel := context.WithCancel(ctx)
	stop := s.faults.onChange(cancel)
	return c, func() {
		stop()
		cancel()
	}
}

// drop closes the connection without an answer.
func drop(q *fasthttp.RequestCtx) {
	q.HijackSetNoResponse(true)
	q.Hijack(func(c net.Conn) { _ = c.Close() })
}

func refuse(q *fasthttp.RequestCtx, status int, why string) {
	b, _ := json.Marshal(map[string]string{"error": why})
	q.SetStatusCode(status)
	q.SetBody(b)
}

func answer(ctx context.Context, q *fasthttp.RequestCtx, do call, s *Server) {
	q.SetContentType("application/json")
	a, err := do(ctx, s, q.PostBody())
	if err != nil {
		refuse(q, status(err), err.Error())
		return
	}
	b, err := json.Marshal(a)
	if err != nil {
		refuse(q, fasthttp.StatusInternalServerError, err.Error())
		return
	}
	q.SetBody(b)
}

func status(err error) int {
	if eris.Is(err, keyval.ErrTooLarge) {
		return fasthttp.StatusRequestEntityTooLarge
	}
	return fasthttp.StatusBadRequest
}

func parse[T any](b []byte) (T, error) {
	var v T
	if len(b) == 0 {
		return v, nil
	}
	return v, eris.Wrap(json.Unmarshal(b, &v), "cloud: parse request")
}
