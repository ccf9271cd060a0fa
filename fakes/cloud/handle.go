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

// handlerFunc handles the calls of one path. An error means that the call had no effect.
type handlerFunc func(ctx context.Context, s *Server, body []byte) (any, error)

// platformCalls are the platform's calls, which faults affect.
var platformCalls = map[string]struct {
	do    handlerFunc
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
	tasks.PathRun:        {do: taskStart, vm: true, write: true},
	tasks.PathStop:       {do: taskStop, vm: true, write: true},
	tasks.PathCheckpoint: {do: taskCheckpoint, vm: true, write: true},
	tasks.PathThrottle:   {do: taskThrottle, vm: true, write: true},
}

// controlCalls control the simulation itself; faults do not affect them.
var controlCalls = map[string]handlerFunc{
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
	do, ok := controlCalls[string(q.Path())]
	if !ok {
		writeError(q, fasthttp.StatusNotFound, "unknown path")
		return
	}
	respond(q, q, do, s)
}

func (s *Server) handle(ctx context.Context, q *fasthttp.RequestCtx) {
	c, ok := platformCalls[string(q.Path())]
	if !ok {
		s.handleControl(q)
		return
	}
	client := string(q.Request.Header.Peek(wire.EntryHeader))
	w, cancel := s.untilFaultChange(ctx)
	defer cancel()
	if !waitForFault(ctx, s.faults.forCall(client)) {
		closeUnanswered(q)
		return
	}
	if !s.meterFor(c.vm, c.write).allow(time.Now()) {
		writeError(q, fasthttp.StatusServiceUnavailable, "over the service's rate")
		return
	}
	respond(w, q, c.do, s)
	v := s.faults.forCall(client)
	v.delay = 0
	if !waitForFault(ctx, v) || s.faults.loseAnswer(c.write) {
		closeUnanswered(q)
	}
}

func (s *Server) meterFor(vm, write bool) *meter {
	switch {
	case vm:
		return &s.vmCalls
	case write:
		return &s.writes
	}
	return &s.reads
}

// waitForFault waits as long as the fault demands and reports whether the call may proceed.
func waitForFault(ctx context.Context, v callFault) bool {
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

// untilFaultChange returns a context that ends with ctx or at the next Fault.
func (s *Server) untilFaultChange(ctx context.Context) (context.Context, context.CancelFunc) {
	c, cancel := context.WithCancel(ctx)
	stop := s.faults.onChange(cancel)
	return c, func() {
		stop()
		cancel()
	}
}

// closeUnanswered closes the connection without answering the call.
func closeUnanswered(q *fasthttp.RequestCtx) {
	q.HijackSetNoResponse(true)
	q.Hijack(func(c net.Conn) { _ = c.Close() })
}

func writeError(q *fasthttp.RequestCtx, status int, reason string) {
	b, _ := json.Marshal(map[string]string{"error": reason})
	q.SetStatusCode(status)
	q.SetBody(b)
}

func respond(ctx context.Context, q *fasthttp.RequestCtx, do handlerFunc, s *Server) {
	q.SetContentType("application/json")
	a, err := do(ctx, s, q.PostBody())
	if err != nil {
		writeError(q, httpStatus(err), err.Error())
		return
	}
	b, err := json.Marshal(a)
	if err != nil {
		writeError(q, fasthttp.StatusInternalServerError, err.Error())
		return
	}
	q.SetBody(b)
}

func httpStatus(err error) int {
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
