package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"burdockreach.dev/node/setup"
	"burdockreach.dev/node/view"
	"burdockreach.dev/plat/conf"
)

const testToken = "kitchen-token"

// testEntry is a running entry and the view that gives it its targets.
type testEntry struct {
	t     testing.TB
	entry *Entry
	addr  string
	views *view.Holder
	stop  context.CancelFunc
	done  *errgroup.Group
}

// listen serves h on a loopback address until the test ends.
func listen(t testing.TB, h fasthttp.RequestHandler) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := fasthttp.Server{Handler: h, CloseOnShutdown: true, Logger: discardLogger{}}
	var g errgroup.Group
	g.Go(func() error { return s.Serve(ln) })
	t.Cleanup(func() {
		_ = s.Shutdown()
		_ = g.Wait()
	})
	return ln.Addr().String()
}

// document approves team kitchen for service orders on pool p.
func document(t testing.TB) *conf.Holder {
	t.Helper()
	sum := sha256.Sum256([]byte(testToken))
	h := conf.NewHolder()
	for n, c := range []conf.Change{
		{Kind: conf.PutProfile, Profile: &conf.ProfileSpec{Name: "gold", MinVMs: 1, MaxVMs: 9, DeadlineMillis: 5000}},
		{Kind: conf.PutPool, Pool: &conf.PoolSpec{Name: "p"}},
		{Kind: conf.PutService, Service: &conf.ServiceSpec{Name: "orders", Profile: "gold", Pool: "p", Slots: 64, Conns: 64}},
		{Kind: conf.PutTeam, Team: &conf.TeamSpec{Name: "kitchen", TokenDigest: hex.EncodeToString(sum[:])}},
		{Kind: conf.Approve, Approval: &conf.ApprovalSpec{Team: "kitchen", Service: "orders"}},
	} {
		c.Number, c.Op, c.By = conf.Number(n+1), string(rune('a'+n)), "test"
		if _, err := h.Offer(c); err != nil {
			t.Fatal(err)
		}
	}
	return h
}

func settings(t testing.TB) setup.Settings {
	t.Helper()
	s, err := setup.Parse([]byte(`{"name":"e1","dataCentre":"dc1","dataCentres":["dc1"],"callerAddr":"127.0.0.1:1",
		"peerAddr":"127.0.0.1:2","operatorAddr":"127.0.0.1:3","platformAddr":"127.0.0.1:4","maxBodyBytes":1024,"drainWaitMs":2000}`))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// start runs an entry whose view has the targets.
func start(t testing.TB, targets []string, opts ...Option) *testEntry {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &testEntry{t: t, addr: ln.Addr().String(), views: view.NewHolder()}
	r.publish(1, true, targets...)
	r.entry = New(settings(t), zerolog.Nop(), document(t), r.views, opts...)
	ctx, cancel := context.WithCancel(context.Background())
	r.stop, r.done = cancel, &errgroup.Group{}
	r.done.Go(func() error { return r.entry.Run(ctx, ln) })
	t.Cleanup(cancel)
	r.entry.refresh(time.Now())
	return r
}

// publish publishes a view of the targets.
func (r *testEntry) publish(n int64, serving bool, targets ...string) {
	var ts []view.Target
	for _, a := range targets {
		ts = append(ts, view.Target{VM: "vm-" + a, Addr: a, Rack: "r", Pool: "p", Serving: serving, ShardVersion: n})
	}
	if err := r.views.Put(view.New(view.Version{Fence: 1, Count: n}, ts)); err != nil {
		r.t.Fatal(err)
	}
}

// send sends one request; head alternates header names and values.
func (r *testEntry) send(method, path, body string, head ...string) (status int, outcome string, f Refusal, got string) {
	r.t.Helper()
	var q fasthttp.Request
	var a fasthttp.Response
	q.Header.SetMethod(method)
	q.SetRequestURI("http://" + r.addr + path)
	q.Header.Set("Authorization", "Bearer "+testToken)
	for k := 0; k+1 < len(head); k += 2 {
		q.Header.Set(head[k], head[k+1])
	}
	q.SetBodyString(body)
	if err := fasthttp.DoTimeout(&q, &a, 10*time.Second); err != nil {
		r.t.Fatal(err)
	}
	_ = json.Unmarshal(a.Body(), &f)
	return a.StatusCode(), string(a.Header.Peek(headerOutcome)), f, string(a.Body())
}

// memoryKeys claims keys in memory, for one entry.
type memoryKeys struct {
	mu   sync.Mutex
	kept map[string]*StoredAnswer
}

func (m *memoryKeys) Claim(_ context.Context, key, _ string, _ []byte) ClaimResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	k, ok := m.kept[key]
	switch {
	case !ok:
		m.kept[key] = nil
		return ClaimResult{Claim: &memoryClaim{m, key}}
	case k == nil:
		return ClaimResult{Verdict: AnswerLost, Reason: "not settled"}
	}
	return ClaimResult{Verdict: Repeated, Stored: *k}
}

type memoryClaim struct {
	m   *memoryKeys
	key string
}

func (c *memoryClaim) set(k *StoredAnswer, drop bool) {
	c.m.mu.Lock()
	defer c.m.mu.Unlock()
	if drop {
		delete(c.m.kept, c.key)
		return
	}
	c.m.kept[c.key] = k
}
func (c *memoryClaim) SendBefore() time.Time   { return time.Now().Add(time.Minute) }
func (c *memoryClaim) Answered(k StoredAnswer) { c.set(&k, false) }
func (c *memoryClaim) Unknown()                { c.set(nil, false) }
func (c *memoryClaim) NotRun()                 { c.set(nil, true) }

func TestRefusalsSayWhatIsWrong(t *testing.T) {
	var runs atomic.Int64
	a := listen(t, func(x *fasthttp.RequestCtx) { runs.Add(1) })
	r := start(t, []string{a}, WithKeys(&memoryKeys{kept: map[string]*StoredAnswer{}}))
	big := string(make([]byte, 2000))
	for _, c := range []struct {
		name, method, path, body string
		head                     []string
		status                   int
		step                     string
	}{
		{"no such path", "GET", "/x", "", nil, 404, "route"},
		{"no such service", "GET", "/call/none/x", "", nil, 404, "route"},
		{"no token", "GET", "/call/orders/x", "", []string{"Authorization", ""}, 401, "authenticate"},
		{"wrong token", "GET", "/call/orders/x", "", []string{"Authorization", "Bearer other"}, 401, "authenticate"},
		{"class", "GET", "/call/orders/x", "", []string{headerClass, "soon"}, 400, "parse"},
		{"timeout", "GET", "/call/orders/x", "", []string{headerTimeout, "-1"}, 400, "parse"},
		{"post without key", "POST", "/call/orders/x", "a", nil, 400, "parse"},
		{"key with a space", "POST", "/call/orders/x", "a", []string{headerKey, "a b"}, 400, "parse"},
		{"body too long", "POST", "/call/orders/x", big, []string{headerKey, "k"}, 413, "parse"},
	} {
		t.Run(c.name, func(t *testing.T) {
			i := is.New(t)
			s, o, f, _ := r.send(c.method, c.path, c.body, c.head...)
			i.Equal(s, c.status)
			i.Equal(o, string(OutcomeNotRun))
			i.Equal(f.Step, c.step)
			i.True(f.Reason != "")
			i.True(f.RequestID != "")
		})
	}
	is.New(t).Equal(runs.Load(), int64(0)) // nothing was run
}

func TestAnswerIsTheTargetsOwn(t *testing.T) {
	i := is.New(t)
	var seen atomic.Pointer[string]
	a := listen(t, func(x *fasthttp.RequestCtx) {
		u := string(x.RequestURI()) + " " + string(x.Request.Header.Peek(headerTeam)) + " " + string(x.Request.Header.Peek("Authorization"))
		seen.Store(&u)
		x.SetStatusCode(201)
		x.SetBody(append([]byte("made "), x.PostBody()...))
	})
	r := start(t, []string{a}, WithKeys(&memoryKeys{kept: map[string]*StoredAnswer{}}))
	s, o, _, b := r.send("POST", "/call/orders/trays/7?x=1%2F2", "soup", headerKey, "k1")
	i.Equal(s, 201)
	i.Equal(o, string(OutcomeAnswered))
	i.Equal(b, "made soup")
	i.Equal(*seen.Load(), "/trays/7?x=1%2F2 kitchen ") // path unchanged, team header set, token removed
	s, o, _, b = r.send("POST", "/call/orders/trays/7?x=1%2F2", "soup", headerKey, "k1")
	i.Equal(s, 201)
	i.Equal(o, string(OutcomeRepeat))
	i.Equal(b, "made soup")
}

func TestTargetThatRefusesAsLeavingGetsNothingNew(t *testing.T) {
	i := is.New(t)
	var refused, ran atomic.Int64
	a := listen(t, func(x *fasthttp.RequestCtx) {
		refused.Add(1)
		x.SetStatusCode(503)
		x.Response.Header.Set(headerNotRun, "1")
		x.Response.Header.Set(headerLeaving, "1")
	})
	b := listen(t, func(x *fasthttp.RequestCtx) { ran.Add(1) })
	r := start(t, []string{a, b})
	for range 50 {
		s, _, _, _ := r.send("GET", "/call/orders/x", "")
		i.Equal(s, 200)
	}
	i.Equal(ran.Load(), int64(50))
	i.True(refused.Load() <= 1) // the refusal alone marks it as leaving, without a new view
}

func TestStopFinishesWhatIsInFlight(t *testing.T) {
	i := is.New(t)
	in, out := make(chan struct{}), make(chan struct{})
	a := listen(t, func(x *fasthttp.RequestCtx) {
		in <- struct{}{}
		<-out
		x.SetBodyString("whole")
	})
	r := start(t, []string{a})
	var g errgroup.Group
	g.Go(func() error {
		s, _, _, b := r.send("GET", "/call/orders/x", "")
		i.Equal(s, 200)
		i.Equal(b, "whole")
		return nil
	})
	<-in
	r.stop()
	for r.entry.Ready() {
		time.Sleep(time.Millisecond)
	}
	s, _, _, _ := r.send("GET", healthPath, "")
	i.Equal(s, 503) // the health check fails before new requests are refused
	close(out)
	i.NoErr(g.Wait())
	i.NoErr(r.done.Wait())
}

func TestDrainedOnlyWithNothingInFlight(t *testing.T) {
	i := is.New(t)
	in, out := make(chan struct{}), make(chan struct{})
	a := listen(t, func(x *fasthttp.RequestCtx) {
		in <- struct{}{}
		<-out
	})
	r := start(t, []string{a})
	var g errgroup.Group
	g.Go(func() error { r.send("GET", "/call/orders/x", ""); return nil })
	<-in
	r.publish(2, false, a)
	r.entry.refresh(time.Now())
	i.Equal(len(r.entry.DrainedVMs()), 0) // one request is in flight
	close(out)
	i.NoErr(g.Wait())
	i.Equal(r.entry.DrainedVMs(), []DrainedVM{{VM: "vm-" + a, ShardVersion: 2}})
	s, _, f, _ := r.send("GET", "/call/orders/x", "")
	i.Equal(s, 503)
	i.True(f.RetryAfterMs > 0)
}

func TestDrainWaitsForAnAbandonedRequest(t *testing.T) {
	i := is.New(t)
	out := make(chan struct{})
	a := listen(t, func(x *fasthttp.RequestCtx) { <-out })
	t.Cleanup(func() { close(out) }) // before the target is stopped
	r := start(t, []string{a})
	s, o, _, _ := r.send("GET", "/call/orders/x", "", headerTimeout, "100")
	i.Equal(s, 504)
	i.Equal(o, string(OutcomeUnknown)) // the caller gets its answer at its timeout
	r.publish(2, false, a)
	r.entry.refresh(time.Now())
	i.Equal(len(r.entry.DrainedVMs()), 0) // the target may still run it
}
