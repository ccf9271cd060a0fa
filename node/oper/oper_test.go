package oper_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"burdockreach.dev/node/burn"
	"burdockreach.dev/node/oper"
	"burdockreach.dev/plat/conf"
)

const token = "operators-token"

var noon = time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)

// config is a Config that accepts every valid change. With lost set, Commit applies the change but reports an unknown outcome.
type config struct {
	doc  *conf.Document
	log  []conf.Change
	lost bool
}

func (c *config) Document() *conf.Document { return c.doc }

func (c *config) ChangeAt(n conf.Number) (conf.Change, bool) {
	if n < 1 || int(n) > len(c.log) {
		return conf.Change{}, false
	}
	return c.log[n-1], true
}

func (c *config) Commit(_ context.Context, g conf.Change) (conf.Number, error) {
	g.Number = c.doc.Number() + 1
	d, err := c.doc.Apply(g)
	if err != nil {
		return 0, eris.Wrap(err, "commit")
	}
	c.doc, c.log = d, append(c.log, g)
	if c.lost {
		return 0, eris.Wrap(conf.ErrUnsettled, "commit")
	}
	return g.Number, nil
}

func (c *config) Settle(_ context.Context, op string) (conf.Number, error) {
	for _, g := range c.log {
		if g.Op == op {
			return g.Number, nil
		}
	}
	return 0, eris.Wrap(conf.ErrNotAccepted, "settle")
}

// fleet is a Fleet of two VMs and two entries; the fields set the state of the second entry.
type fleet struct {
	applied   conf.Number
	reachable bool
}

func (f *fleet) VMs() []oper.VM {
	return []oper.VM{{ID: "vm-1", Pool: "p1", State: "serving", DataCentre: "a"}, {ID: "vm-2", Pool: "p2", State: "draining", DataCentre: "a"}}
}

func (f *fleet) Entries() []oper.Entry {
	return []oper.Entry{{Name: "e1", Self: true, Reachable: true, Applied: 9}, {Name: "e2", Reachable: f.reachable, Applied: f.applied}}
}

type reporter struct{}

func (reporter) Report(time.Time) burn.Report { return burn.Report{At: noon} }

// testAPI is an API behind an in-memory listener, with a client for it.
type testAPI struct {
	t      testing.TB
	config *config
	fleet  *fleet
	client *fasthttp.Client
}

func digest(s string) string {
	d := sha256.Sum256([]byte(s))
	return hex.EncodeToString(d[:])
}

func newTestAPI(t testing.TB, digests ...string) *testAPI {
	t.Helper()
	b := &testAPI{t: t, config: &config{doc: conf.NewDocument()}, fleet: &fleet{}}
	a := oper.New("e1", digests, b.config, b.fleet, reporter{}, oper.WithClock(func() time.Time { return noon }))
	l := fasthttputil.NewInmemoryListener()
	b.client = &fasthttp.Client{Dial: func(string) (net.Conn, error) { return l.Dial() }}
	c, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return a.ServeListener(c, l) })
	t.Cleanup(func() {
		b.client.CloseIdleConnections()
		cancel()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	})
	return b
}

// call sends a request with the bearer token, if any, and returns the status and the decoded JSON answer.
func (b *testAPI) call(bearer, method, path, body string) (int, map[string]any) {
	b.t.Helper()
	var q fasthttp.Request
	var r fasthttp.Response
	q.SetRequestURI("http://entry" + path)
	q.Header.SetMethod(method)
	if bearer != "" {
		q.Header.Set("Authorization", "Bearer "+bearer)
	}
	q.SetBodyString(body)
	if err := b.client.Do(&q, &r); err != nil {
		b.t.Fatal(err)
	}
	var m map[string]any
	if err := json.Unmarshal(r.Body(), &m); err != nil {
		b.t.Fatalf("%s %s: %s", method, path, r.Body())
	}
	return r.StatusCode(), m
}

func Example() {
	b := &config{doc: conf.NewDocument()}
	a := oper.New("e1", []string{digest(token)}, b, &fleet{}, reporter{})
	var x fasthttp.RequestCtx
	x.Init(&fasthttp.Request{}, nil, nil)
	x.Request.Header.SetMethod("POST")
	x.Request.SetRequestURI("/op/change")
	x.Request.Header.Set("Authorization", "Bearer "+token)
	x.Request.SetBodyString(`{"op": "op-1", "by": "wanjiru", "kind": "putPool", "pool": {"name": "spare", "spare": true}}`)
	a.Handle(context.Background(), &x)
	fmt.Printf("%s", x.Response.Body())
	// Output: {"outcome":"accepted","op":"op-1","n":1}
}

func TestOnlyOperators(t *testing.T) {
	defer goleak.VerifyNone(t, ignoreFasthttpCleaners()...)
	t.Run("calls", func(t *testing.T) {
		withTokens, withoutTokens := newTestAPI(t, digest("other"), digest(token)), newTestAPI(t)
		for _, p := range []string{"/op/change", "/op/conf", "/op/teams", "/op/vms", "/op/burn", "/debug/vars", "/none"} {
			assertStatus(t, withTokens, "", "GET", p, 401)
			assertStatus(t, withTokens, "wrong", "GET", p, 401)
			assertStatus(t, withTokens, digest(token), "POST", p, 401)
			assertStatus(t, withoutTokens, token, "GET", p, 401)
		}
		assertStatus(t, withTokens, token, "GET", "/debug/vars", 200)
		assertStatus(t, withTokens, "other", "GET", "/op/conf", 200)
		assertStatus(t, withTokens, token, "DELETE", "/op/conf", 404)
		assertStatus(t, withTokens, token, "GET", "/op/jobs", 501)
	})
}

// ignoreFasthttpCleaners returns options that ignore the cleanup goroutines that fasthttp leaves sleeping for some seconds after
// its servers and clients end.
func ignoreFasthttpCleaners() []goleak.Option {
	var os []goleak.Option
	for _, f := range []string{"(*Client).mCleaner", "(*HostClient).connsCleaner", "(*workerPool).Start.func2", "updateServerDate.func1"} {
		os = append(os, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp."+f))
	}
	return os
}

func assertStatus(t *testing.T, b *testAPI, bearer, method, path string, want int) {
	t.Helper()
	if got, m := b.call(bearer, method, path, ""); got != want {
		t.Fatalf("%s %s with %q: got %d %v, want %d", method, path, bearer, got, m, want)
	}
}

func TestChangeOutcomes(t *testing.T) {
	i := is.New(t)
	b := newTestAPI(t, digest(token))
	b.config.lost = true
	s, m := b.call(token, "POST", "/op/change", `{"op":"lost","kind":"putPool","pool":{"name":"p"}}`)
	i.Equal(s, 504)
	i.Equal(m["outcome"], "unknown")
	i.Equal(m["op"], "lost")
	b.config.lost = false
	s, m = b.call(token, "GET", "/op/change?op=lost", "")
	i.Equal(s, 200)
	i.Equal(m["n"], 1.0)
	s, m = b.call(token, "GET", "/op/change?op=never", "")
	i.Equal(s, 409)
	i.Equal(m["outcome"], "notAccepted")
	_, m = b.call(token, "POST", "/op/change", `{"kind":"putPool","pool":{"name":"q"}}`)
	i.True(len(m["op"].(string)) > 20) // an operation id is generated if none is given
	i.Equal(b.config.log[1].At, noon)
}

func TestBadChangesNameTheField(t *testing.T) {
	b := newTestAPI(t, digest(token))
	for body, field := range map[string]string{
		``:  "body",
		`[`: "body",
		`{"kind":"putPool","pool":{"name":"p"}} {}`:               "body",
		`{"kind":"putPool","pool":{"name":"p"},"n":3}`:            "n",
		`{"kind":"putPool","pool":{"name":"p"},"prev":"x"}`:       "prev",
		`{"kind":"putPool","pool":{"name":"p","size":3}}`:         "size",
		`{"kind":"putPool","pool":{"name":7}}`:                    "pool.name",
		`{"kind":"putPool","pool":{"name":"a b"}}`:                "pool.name",
		`{"kind":"putService","service":{"name":"s"}}`:            "service.profile",
		`{"kind":"putPool","pool":{"name":"p"},"name":"x"}`:       "name",
		`{"kind":"dropPool","name":"none"}`:                       "name",
		`{"op":"` + strings.Repeat("o", 200) + `","kind":"none"}`: "op",
		`"` + strings.Repeat("x", 100<<10) + `"`:                  "body",
	} {
		t.Run(field, func(t *testing.T) {
			i := is.New(t)
			s, m := b.call(token, "POST", "/op/change", body)
			i.True(s >= 400 && s < 500)
			i.Equal(m["field"], field)
			i.True(m["allowed"] != "")
			i.Equal(b.config.doc.Number(), conf.Number(0))
		})
	}
}

func TestShow(t *testing.T) {
	b := newTestAPI(t, digest(token))
	for _, c := range []string{
		`{"kind":"putPool","pool":{"name":"p1"}}`, `{"kind":"putPool","pool":{"name":"p2"}}`,
		`{"kind":"putProfile","profile":{"name":"gold"}}`,
		`{"kind":"putService","service":{"name":"orders","profile":"gold","pool":"p1"}}`,
		`{"kind":"putTeam","team":{"name":"desk","tokenDigest":"` + digest("t") + `"}}`,
		`{"kind":"approve","approval":{"team":"desk","service":"orders"}}`,
	} {
		if s, m := b.call(token, "POST", "/op/change", c); s != 200 {
			t.Fatal(s, m)
		}
	}
	for path, want := range map[string]int{
		"/op/pools": 2, "/op/pools?name=p2": 1, "/op/profiles": 1, "/op/services": 1, "/op/teams": 1, "/op/waves": 0,
		"/op/approvals?team=desk": 1, "/op/approvals?service=other": 0,
		"/op/vms": 2, "/op/vms?pool=p2&state=draining": 1, "/op/vms?dataCentre=b": 0, "/op/entries": 2,
	} {
		t.Run(path, func(t *testing.T) {
			_, m := b.call(token, "GET", path, "")
			l, _ := m["items"].([]any)
			is.New(t).Equal(len(l), want)
		})
	}
	assertStatus(t, b, token, "GET", "/op/pools?name=p3", 404)
	assertStatus(t, b, token, "GET", "/op/vms?name=vm-3", 404)
	assertStatus(t, b, token, "GET", "/op/pools?nom=p2", 400)
	assertStatus(t, b, token, "GET", "/op/burn", 200)
}

func TestAppliedEverywhere(t *testing.T) {
	i := is.New(t)
	b := newTestAPI(t, digest(token))
	b.call(token, "POST", "/op/change", `{"op":"o","by":"amina","kind":"putPool","pool":{"name":"p1"}}`)
	inForce := func() any {
		_, m := b.call(token, "GET", "/op/applied?n=1", "")
		return m["inForce"]
	}
	b.fleet.reachable = true
	i.Equal(inForce(), false) // the other entry has not applied the change
	b.fleet.applied = 1
	i.Equal(inForce(), true)
	b.fleet.reachable = false
	i.Equal(inForce(), false) // an entry whose heartbeat is missing does not count as having the change
	b.fleet.reachable, b.fleet.applied = true, 2
	_, m := b.call(token, "GET", "/op/applied?n=2", "")
	i.Equal(m["inForce"], false) // the asked entry itself does not have the change
	assertStatus(t, b, token, "GET", "/op/applied?n=-1", 400)
	assertStatus(t, b, token, "GET", "/op/applied?n=x", 400)
}
