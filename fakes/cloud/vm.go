package cloud

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"burdockreach.dev/plat/hosts"
)

// controlOffset is a worker's control port minus its port.
const controlOffset = 1_000

// controlTimeout is the timeout of a command to a worker.
const controlTimeout = 300 * time.Millisecond

// Control is the body of a command to a worker's control address.
type Control struct {
	ID         string `json:"id"`
	Op         string `json:"op,omitempty"`
	Pool       string `json:"pool,omitempty"`
	DownMillis int64  `json:"downMs,omitempty"` // for a reboot: how long the worker does not answer.
}

func vmList(_ context.Context, s *Server, _ []byte) (any, error) {
	return hosts.ListResponse{VMs: s.fleet.list(time.Now())}, nil
}

func vmDrain(_ context.Context, s *Server, b []byte) (any, error) {
	return s.setState(b, "drain", hosts.Leaving)
}

func vmUndrain(_ context.Context, s *Server, b []byte) (any, error) {
	return s.setState(b, "undrain", hosts.Live)
}

func (s *Server) setState(b []byte, command string, to hosts.State) (any, error) {
	q, err := parse[hosts.Request](b)
	if err != nil {
		return nil, err
	}
	w, ok := s.fleet.setState(time.Now(), q.ID, to)
	if ok {
		s.sendCommand(w, command, Control{ID: q.ID})
	}
	return hosts.Response{OK: ok}, nil
}

func vmReboot(_ context.Context, s *Server, b []byte) (any, error) {
	q, err := parse[hosts.Request](b)
	if err != nil {
		return nil, err
	}
	w, first, ok := s.fleet.startReboot(time.Now(), q.ID, q.Op)
	if ok && first {
		s.sendCommand(w, "reboot", Control{ID: q.ID, Op: q.Op, DownMillis: s.fleet.rebootTime.Milliseconds()})
	}
	return hosts.Response{OK: ok}, nil
}

func vmAssign(_ context.Context, s *Server, b []byte) (any, error) {
	q, err := parse[hosts.Request](b)
	if err != nil {
		return nil, err
	}
	w, ok := s.fleet.assign(time.Now(), q.ID, q.Pool)
	if ok {
		s.sendCommand(w, "assign", Control{ID: q.ID, Pool: q.Pool})
	}
	return hosts.Response{OK: ok}, nil
}

func vmFail(_ context.Context, s *Server, b []byte) (any, error) {
	q, err := parse[hosts.Request](b)
	if err != nil {
		return nil, err
	}
	_, ok := s.fleet.setState(time.Now(), q.ID, hosts.Gone)
	return hosts.Response{OK: ok}, nil
}

func vmAdd(_ context.Context, s *Server, b []byte) (any, error) {
	w, err := parse[hosts.VMWire](b)
	if err != nil {
		return nil, err
	}
	s.fleet.add(time.Now(), w)
	return hosts.Response{OK: true}, nil
}

func vmRemove(_ context.Context, s *Server, b []byte) (any, error) {
	q, err := parse[hosts.Request](b)
	if err != nil {
		return nil, err
	}
	s.fleet.remove(time.Now(), q.ID)
	return hosts.Response{OK: true}, nil
}

func fault(_ context.Context, s *Server, b []byte) (any, error) {
	f, err := parse[Fault](b)
	if err != nil {
		return nil, err
	}
	if !f.Mode.valid() {
		return nil, eris.Errorf("cloud: fault mode %q is not known", f.Mode)
	}
	s.Fault(f)
	return hosts.Response{OK: true}, nil
}

func save(_ context.Context, s *Server, _ []byte) (any, error) {
	s.Save()
	return hosts.Response{OK: true}, nil
}

func restore(_ context.Context, s *Server, _ []byte) (any, error) {
	return hosts.Response{OK: s.Restore()}, nil
}

func stats(_ context.Context, s *Server, _ []byte) (any, error) { return s.Stats(), nil }

// Save takes a snapshot of the key-value service for Restore.
func (s *Server) Save() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot, s.hasSnapshot = s.store.Save(), true
}

// Restore resets the key-value service to the newest snapshot, and reports whether there was one.
func (s *Server) Restore() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hasSnapshot {
		s.store.Restore(s.snapshot)
	}
	return s.hasSnapshot
}

// sendCommand sends a command to the worker's control address. It does nothing for a VM that is not a worker or has no valid
// address, and logs but otherwise ignores a failed call.
func (s *Server) sendCommand(w hosts.VMWire, command string, body Control) {
	addr, ok := controlAddr(w)
	if !ok {
		return
	}
	b, err := json.Marshal(body)
	if err != nil {
		return
	}
	q, a := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(a)
	q.Header.SetMethod(fasthttp.MethodPost)
	q.Header.SetContentType("application/json")
	q.SetRequestURI("http://" + addr + "/ctl/" + command)
	q.SetBodyRaw(b)
	err = s.controlClient.DoTimeout(q, a, controlTimeout)
	s.log.Debug().Str("event", "word").Str("vm", w.ID).Str("word", command).Err(err).Send()
}

func controlAddr(w hosts.VMWire) (string, bool) {
	if w.Kind != hosts.Worker {
		return "", false
	}
	host, port, err := net.SplitHostPort(w.Addr)
	if err != nil {
		return "", false
	}
	n, err := strconv.Atoi(port)
	return net.JoinHostPort(host, strconv.Itoa(n+controlOffset)), err == nil
}
