package target_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"burdockreach.dev/fakes/target"
)

const callTimeout = 5 * time.Second

type rig struct {
	*testing.T
	is        *is.I
	target    *target.Target
	addr, ctl string
	client    fasthttp.Client
}

// start runs a target until the test ends.
func start(t *testing.T, opts ...target.Option) *rig {
	r := &rig{T: t, is: is.New(t), target: target.New(opts...)}
	r.client.MaxIdemponentCallAttempts = 1
	r.client.RetryIfErr = func(*fasthttp.Request, int, error) (bool, bool) { return false, false }
	ctx, cancel := context.WithCancel(context.Background())
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return r.target.Serve(ctx, "127.0.0.1:0", "127.0.0.1:0") })
	t.Cleanup(func() {
		r.client.CloseIdleConnections()
		cancel()
		r.is.NoErr(g.Wait())
	})
	var err error
	r.addr, r.ctl, err = r.target.Addrs(ctx)
	r.is.NoErr(err)
	return r
}

// call sends a request. The headers alternate between name and value.
func (r *rig) call(timeout time.Duration, headers ...string) (*fasthttp.Response, error) {
	q, a := &fasthttp.Request{}, &fasthttp.Response{}
	q.SetRequestURI("http://" + r.addr + "/order")
	q.Header.SetMethod("POST")
	q.SetBodyString("six rounds")
	for i := 0; i < len(headers); i += 2 {
		q.Header.Set(headers[i], headers[i+1])
	}
	return a, r.client.DoTimeout(q, a, timeout)
}

func (r *rig) post(path, body string) {
	r.Helper()
	q, a := &fasthttp.Request{}, &fasthttp.Response{}
	q.SetRequestURI("http://" + r.ctl + path)
	q.Header.SetMethod("POST")
	q.SetBodyString(body)
	r.is.NoErr(r.client.DoTimeout(q, a, callTimeout))
	r.is.Equal(a.StatusCode(), 200)
}

// expectStatus sends a request and checks the status of its response.
func (r *rig) expectStatus(status int, headers ...string) *fasthttp.Response {
	r.Helper()
	a, err := r.call(callTimeout, headers...)
	r.is.NoErr(err)
	r.is.Equal(a.StatusCode(), status)
	return a
}

func TestRuns(t *testing.T) {
	t.Run("counts runs by key and echoes the request ID", func(t *testing.T) {
		r := start(t)
		a := r.expectStatus(200, "Idempotency-Key", "k", "Burdock-Request", "a")
		r.is.Equal(string(a.Header.Peek("Burdock-Request")), "a")
		r.expectStatus(200, "Idempotency-Key", "k", "Burdock-Request", "b")
		n := r.target.Counts()
		r.is.Equal(n.Keys["k"], 2)
		r.is.Equal(n.DoubledKeys, int64(1))
		r.is.Equal(n.DoubledRequests, int64(0))
	})
	t.Run("refuses requests beyond its slots", func(t *testing.T) {
		r := start(t, target.WithSlots(1))
		var g errgroup.Group
		g.Go(func() error { _, err := r.call(callTimeout, "Fake-Run-Ms", "300"); return err })
		for r.target.Counts().Running == 0 {
			time.Sleep(time.Millisecond)
		}
		a := r.expectStatus(503)
		r.is.Equal(string(a.Header.Peek("Burdock-Not-Run")), "1")
		r.is.NoErr(g.Wait())
		r.is.Equal(r.target.Counts().PeakOverSlots, int64(1))
	})
	t.Run("refuses requests after a drain and counts those that a reboot interrupts", func(t *testing.T) {
		r := start(t, target.WithRebootTime(10*time.Millisecond))
		var g errgroup.Group
		var lost error
		g.Go(func() error { _, lost = r.call(callTimeout, "Fake-Run-Ms", "60000"); return nil })
		for r.target.Counts().Running == 0 {
			time.Sleep(time.Millisecond)
		}
		r.post("/ctl/drain", "")
		a := r.expectStatus(503)
		r.is.Equal(string(a.Header.Peek("Burdock-Leaving")), "1")
		r.post("/ctl/reboot", "")
		r.is.NoErr(g.Wait())
		r.is.True(lost != nil)
		for r.target.Counts().Boot < 2 {
			time.Sleep(time.Millisecond)
		}
		r.client.CloseIdleConnections()
		r.expectStatus(200)
		n := r.target.Counts()
		r.is.Equal(n.CutRequests, int64(1))
		r.is.Equal(n.RefusedWhileDraining, int64(1))
	})
}

func TestFaults(t *testing.T) {
	for _, m := range []target.Mode{target.Cut, target.Shorter, target.Silent} {
		t.Run("no complete response with the fault "+string(m), func(t *testing.T) {
			r := start(t)
			_, err := r.call(200*time.Millisecond, "Fake-Fault", string(m))
			r.is.True(err != nil)
			r.expectStatus(200)
			r.is.Equal(r.target.Counts().Runs, int64(2))
		})
	}
	t.Run("answers with the faults wrongMark, fail and longer", func(t *testing.T) {
		r := start(t)
		a := r.expectStatus(200, "Fake-Fault", "wrongMark", "Burdock-Request", "a")
		r.is.True(strings.HasPrefix(string(a.Header.Peek("Burdock-Request")), "a-"))
		r.expectStatus(500, "Fake-Fault", "fail")
		a = r.expectStatus(200, "Fake-Fault", "longer", "Fake-Answer-Bytes", "100")
		r.is.Equal(len(a.Body()), 50)
	})
	t.Run("a fault with a limit ends after that many requests", func(t *testing.T) {
		r := start(t)
		r.post("/ctl/fault", `{"mode":"fail","left":2}`)
		r.expectStatus(500)
		r.expectStatus(500)
		r.expectStatus(200)
	})
	t.Run("closes a reused connection when a request arrives", func(t *testing.T) {
		r := start(t)
		r.expectStatus(200)
		_, err := r.call(callTimeout, "Fake-Fault", "closeIdle")
		r.is.True(err != nil)
		r.is.Equal(r.target.Counts().Runs, int64(1))
	})
}
