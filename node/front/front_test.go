package front

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
	"golang.org/x/sync/errgroup"

	"burdockreach.dev/fleet/batch"
	"burdockreach.dev/node/board"
	"burdockreach.dev/node/desk"
	"burdockreach.dev/node/stats"
	"burdockreach.dev/plat/keyval"
)

// fakeDesk answers submissions and cancels with its answers in order, and repeats the last one.
type fakeDesk struct {
	desk.Desk
	answers []func() (*desk.Reply, error)
	calls   atomic.Int64
	state   batch.State // that the owner answers for each job; StateAbsent if it is not the owner.
}

func (d *fakeDesk) next() (*desk.Reply, error) {
	n := int(d.calls.Add(1)) - 1
	return d.answers[min(n, len(d.answers)-1)]()
}

func (d *fakeDesk) Submit(context.Context, *desk.SubmitRequest) (*desk.Reply, error) { return d.next() }
func (d *fakeDesk) Cancel(context.Context, *desk.JobRequest) (*desk.Reply, error)    { return d.next() }
func (d *fakeDesk) State(context.Context, *desk.JobRequest) (*desk.StateReply, error) {
	if d.state != batch.StateAbsent {
		return &desk.StateReply{Ready: true, State: string(d.state)}, nil
	}
	return nil, desk.NotOwnerError()
}
func (d *fakeDesk) Pending(context.Context, *desk.PendingRequest) (*desk.PendingReply, error) {
	return &desk.PendingReply{Ready: true, Queues: map[string]int64{"q": 3}}, nil
}

type fakeClaims string

func (c fakeClaims) Owner() string { return string(c) }
func (fakeClaims) OwnerFailed()    {}

type fakeCodec struct{}

func (fakeCodec) Job(b []byte) (batch.Job, error) {
	var j batch.Job
	err := json.Unmarshal(b, &j)
	return j, err
}
func (fakeCodec) State(s batch.State) []byte          { return []byte(s) }
func (fakeCodec) Failed(reason string) []byte         { return []byte("failed: " + reason) }
func (fakeCodec) Pending(n int) []byte                { return []byte(strconv.Itoa(n)) }
func (fakeCodec) Error(reason string, _ int64) []byte { return []byte(reason) }
func (fakeCodec) DeadlineHeader() string              { return "Wait-Ms" }
func (fakeCodec) KeyHeader() string                   { return "Team-Key" }

// fixture is a Front with one queue and a fake owner.
type fixture struct {
	t     *testing.T
	front *Front
	store *keyval.Memory
	board *board.Board
	key   string // sent with each request unless it is empty.
}

func newFixture(t *testing.T, d desk.Desk, configured bool) *fixture {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c, stop := context.WithCancel(context.Background())
	g := errgroup.Group{}
	g.Go(func() error { return desk.Serve(c, l, d) })
	t.Cleanup(func() {
		stop()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	})
	r := &fixture{t: t, store: keyval.NewMemory(), board: board.New()}
	if configured {
		r.board.PutConfig(board.Config{Version: 1, Queues: []board.Queue{{Name: "q", Host: "h.example", Prefix: "/a/", Service: "s"}}})
	}
	r.front = New(Dependencies{
		Board: r.board, Claims: fakeClaims(l.Addr().String()), Desk: desk.NewClient(), Store: r.store, Codec: fakeCodec{},
		Log: zerolog.Nop(), Stats: stats.New(),
	})
	return r
}

// send makes one request and returns the answer.
func (r *fixture) send(method, path, body string, waitMs int) *fasthttp.Response {
	r.t.Helper()
	l := fasthttputil.NewInmemoryListener()
	g := errgroup.Group{}
	g.Go(func() error { return r.front.server.Serve(l) })
	defer func() { _ = g.Wait() }()
	defer func() { _ = l.Close() }()
	c := fasthttp.HostClient{Addr: "h.example", Dial: func(string) (net.Conn, error) { return l.Dial() }}
	q, a := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	q.Header.SetMethod(method)
	q.SetRequestURI("http://h.example" + path)
	q.Header.Set("Wait-Ms", strconv.Itoa(waitMs))
	if r.key != "" {
		q.Header.Set("Team-Key", r.key)
	}
	q.SetBodyString(body)
	if err := c.Do(q, a); err != nil {
		r.t.Fatal(err)
	}
	return a
}

func reply(v batch.Verdict, retry int64) func() (*desk.Reply, error) {
	return func() (*desk.Reply, error) { return &desk.Reply{Verdict: int32(v), RetryAfterMs: retry}, nil }
}

func fails(err error) func() (*desk.Reply, error) {
	return func() (*desk.Reply, error) { return nil, err }
}

const (
	id   = "5c0e7a21d94b36f8"
	body = `{"steps":[{"count":1,"size":{"cpu":1}}]}`
)

func TestSubmit(t *testing.T) {
	lost := fails(errors.New("connection lost"))
	for _, c := range []struct {
		name     string
		answers  []func() (*desk.Reply, error)
		path     string
		body     string
		status   int
		retry    string
		attempts int64
	}{
		{"accepted", []func() (*desk.Reply, error){reply(batch.Accepted, 0)}, "/a/" + id, body, 200, "", 1},
		{"refused with the time to come back", []func() (*desk.Reply, error){reply(batch.Refused, 1500)}, "/a/" + id, body, 503, "2", 1},
		{"a lost answer is asked for again", []func() (*desk.Reply, error){lost, reply(batch.Accepted, 0)}, "/a/" + id, body, 200, "", 2},
		{"a lost answer, then refused", []func() (*desk.Reply, error){lost, reply(batch.Refused, 300)}, "/a/" + id, body, 503, "1", 2},
		{"lost and never answered is not said to be refused", []func() (*desk.Reply, error){lost, fails(desk.NotOwnerError())}, "/a/" + id, body, 504, "", -1},
		{"no owner", []func() (*desk.Reply, error){fails(desk.NotOwnerError())}, "/a/" + id, body, 503, "1", -1},
		{"unknown queue", nil, "/b/" + id, body, 404, "", 0},
		{"malformed id", nil, "/a/xyz", body, 400, "", 0},
		{"malformed body", nil, "/a/" + id, "{", 400, "", 0},
		{"no steps", nil, "/a/" + id, "{}", 400, "", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := &fakeDesk{answers: c.answers}
			a := newFixture(t, d, true).send("POST", c.path, c.body, 600)
			is.Equal(a.StatusCode(), c.status)
			is.Equal(string(a.Header.Peek("Retry-After")), c.retry)
			if c.attempts >= 0 {
				is.Equal(d.calls.Load(), c.attempts)
			}
		})
	}
	t.Run("without a configuration", func(t *testing.T) {
		is := is.New(t)
		is.Equal(newFixture(t, &fakeDesk{}, false).send("POST", "/a/"+id, body, 600).StatusCode(), 503)
	})
}

func TestStateFromStore(t *testing.T) {
	is := is.New(t)
	r := newFixture(t, &fakeDesk{}, true)
	put := func(k, v string) {
		_, err := r.store.Put(context.Background(), k, []byte(v), keyval.Any, 0)
		is.NoErr(err)
	}
	is.Equal(r.send("GET", "/a/"+id, "", 600).StatusCode(), 410)
	put(batch.JobPrefix+id, `{}`)
	is.Equal(string(r.send("GET", "/a/"+id, "", 600).Body()), "queued")
	put(batch.RunPrefix+id, `{"state":"completed"}`)
	is.Equal(string(r.send("GET", "/a/"+id, "", 600).Body()), "completed")
	is.Equal(string(r.send("GET", "/a/", "", 600).Body()), "3")
}

// changingClaims names two owners by turns.
type changingClaims struct {
	owners [2]string
	calls  atomic.Int64
}

func (c *changingClaims) Owner() string { return c.owners[(c.calls.Add(1)-1)%2] }
func (*changingClaims) OwnerFailed()    {}

// A caller learns why its job has failed, from the owner's record.
func TestReasonOfFailure(t *testing.T) {
	for _, state := range []batch.State{batch.StateAbsent, batch.StateFailed} {
		is := is.New(t)
		r := newFixture(t, &fakeDesk{state: state}, true)
		put := func(rec batch.StoredRun) {
			b, err := json.Marshal(rec)
			is.NoErr(err)
			_, err = r.store.Put(context.Background(), batch.RunPrefix+id, b, keyval.Any, 0)
			is.NoErr(err)
		}
		put(batch.StoredRun{State: batch.StateFailed, Reason: "task 1 failed 4 times"})
		is.Equal(string(r.send("GET", "/a/"+id, "", 500).Body()), "failed: task 1 failed 4 times")
		put(batch.StoredRun{State: batch.StateFailed}) // of an older build.
		is.Equal(string(r.send("GET", "/a/"+id, "", 500).Body()), string(batch.StateFailed))
	}
}

// A refusal by one owner must not hide that another one may have accepted the job.
func TestRefusalAfterCallToAnotherOwner(t *testing.T) {
	is := is.New(t)
	lost := newFixture(t, &fakeDesk{answers: []func() (*desk.Reply, error){fails(errors.New("connection lost"))}}, true)
	r := newFixture(t, &fakeDesk{answers: []func() (*desk.Reply, error){reply(batch.Refused, 300)}}, true)
	r.front.claims = &changingClaims{owners: [2]string{lost.front.claims.Owner(), r.front.claims.Owner()}}
	is.Equal(r.send("POST", "/a/"+id, body, 600).StatusCode(), fasthttp.StatusGatewayTimeout)
	lost = newFixture(t, &fakeDesk{answers: []func() (*desk.Reply, error){fails(errors.New("connection lost")), reply(batch.Accepted, 0)}}, true)
	r.front.claims = &changingClaims{owners: [2]string{lost.front.claims.Owner(), r.front.claims.Owner()}}
	is.Equal(r.send("POST", "/a/"+id, body, 1000).StatusCode(), fasthttp.StatusOK)
}

func TestCancel(t *testing.T) {
	is := is.New(t)
	is.Equal(newFixture(t, &fakeDesk{answers: []func() (*desk.Reply, error){reply(batch.Accepted, 0)}}, true).send("DELETE", "/a/"+id, "", 600).StatusCode(), 200)
	r := newFixture(t, &fakeDesk{answers: []func() (*desk.Reply, error){reply(batch.UnknownJob, 0)}}, true)
	is.Equal(r.send("DELETE", "/a/"+id, "", 600).StatusCode(), 410)
	_, err := r.store.Put(context.Background(), batch.JobPrefix+id, []byte("{}"), keyval.Any, 0)
	is.NoErr(err)
	is.Equal(r.send("DELETE", "/a/"+id, "", 600).StatusCode(), 503) // the job is stored, so an owner that does not know it is a former one.
}

// The configured limits of requests count; that of bodies also above the default.
func TestLimits(t *testing.T) {
	check := func(name string, l board.Limits, path string, bodyBytes, status int) {
		t.Run(name, func(t *testing.T) {
			r := newFixture(t, &fakeDesk{answers: []func() (*desk.Reply, error){reply(batch.Accepted, 0)}}, true)
			c, _ := r.board.Config()
			c.Version, c.Limits = 2, l
			r.board.PutConfig(c)
			a := r.send(fasthttp.MethodPost, path, body+strings.Repeat(" ", bodyBytes-len(body)), 1000)
			is.New(t).Equal(a.StatusCode(), status)
		})
	}
	long := "/a/" + id + "?" + strings.Repeat("x", 600)
	check("body without a limit", board.Limits{}, "/a/"+id, maxBodyBytes, fasthttp.StatusOK)
	check("body under a larger limit", board.Limits{BodyBytes: 2 * maxBodyBytes}, "/a/"+id, maxBodyBytes+1, fasthttp.StatusOK)
	check("body over the limit", board.Limits{BodyBytes: 100}, "/a/"+id, 101, fasthttp.StatusRequestEntityTooLarge)
	check("header under the limit", board.Limits{HeaderBytes: 1000}, long, 60, fasthttp.StatusOK)
	check("header over the read buffer", board.Limits{HeaderBytes: 8000}, "/a/"+id+"?"+strings.Repeat("x", 5000), 60, fasthttp.StatusRequestHeaderFieldsTooLarge)
	check("header over the limit", board.Limits{HeaderBytes: 500}, long, 60, fasthttp.StatusRequestHeaderFieldsTooLarge)
}

func TestOldConfigurationIsIgnored(t *testing.T) {
	is := is.New(t)
	b := board.New()
	is.True(b.PutConfig(board.Config{Version: 5, Queues: []board.Queue{{Name: "new", Host: "h", Prefix: "/a/b/"}, {Name: "short", Host: "h", Prefix: "/a/"}}}))
	is.True(!b.PutConfig(board.Config{Version: 4}))
	q, rest, v, ok := b.Find("h:80", "/a/b/x")
	is.True(ok)
	is.Equal(q.Name, "new")
	is.Equal(rest, "x")
	is.Equal(v, int64(5))
}
