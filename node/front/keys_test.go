package front

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
	"golang.org/x/sync/errgroup"

	"burdockreach.dev/fleet/batch"
	"burdockreach.dev/node/board"
	"burdockreach.dev/node/desk"
)

// submittedDesk accepts every job and keeps the last one.
type submittedDesk struct {
	fakeDesk
	job batch.Job
}

func (d *submittedDesk) Submit(_ context.Context, r *desk.SubmitRequest) (*desk.Reply, error) {
	d.calls.Add(1)
	d.job = batch.Job{} // fields that are not in the request would keep the values of the job before.
	return &desk.Reply{Verdict: int32(batch.Accepted)}, json.Unmarshal(r.GetJob(), &d.job)
}

// keyFixture is a fixture with a queue that needs a key, a public one, and the teams a and b. It keeps what is logged.
type keyFixture struct {
	*fixture
	desk *submittedDesk
	log  bytes.Buffer
}

const (
	keyOfA     = "key-of-team-a"
	keyOfB     = "key-of-team-b"
	unknownKey = "key-of-nobody"
)

func newKeyFixture(t *testing.T) *keyFixture {
	t.Helper()
	d := &submittedDesk{fakeDesk: fakeDesk{answers: []func() (*desk.Reply, error){reply(batch.Accepted, 0)}, state: batch.StateRunning}}
	k := &keyFixture{fixture: newFixture(t, d, false), desk: d}
	k.front.log = zerolog.New(&k.log)
	k.putTeams(1, team("a", keyOfA), team("b", keyOfB))
	return k
}

func team(name string, keys ...string) board.Team {
	return board.Team{Team: batch.Team{Name: name}, Keys: keys}
}

// putTeams puts a configuration with the given teams into force.
func (k *keyFixture) putTeams(version int64, l ...board.Team) {
	q := []board.Queue{{Name: "q", Host: "h.example", Prefix: "/a/", Service: "s"}, {Name: "open", Host: "h.example", Prefix: "/open/", Service: "s", Public: true}}
	k.board.PutConfig(board.Config{Version: version, Queues: q, Teams: l})
}

// check sends a request with a key and checks the status, and that a refused one has not reached the owner.
func (k *keyFixture) check(method, path, key string, status int) {
	k.t.Helper()
	is := is.New(k.t)
	before := k.desk.calls.Load()
	k.key = key
	a := k.send(method, path, body, 600)
	is.Equal(a.StatusCode(), status)
	if status == fasthttp.StatusUnauthorized {
		is.Equal(k.desk.calls.Load(), before) // a refused call has no effect.
		want := reasonUnknownKey
		if key == "" {
			want = reasonNoKey
		}
		is.Equal(string(a.Body()), want)
	}
}

// metrics returns the counters.
func (k *keyFixture) metrics() string {
	var b bytes.Buffer
	_, err := k.front.stats.WriteTo(&b)
	is.New(k.t).NoErr(err)
	return b.String()
}

// A call without the key of a team must have no effect, whatever its method and however malformed it is.
func TestCallsNeedKeys(t *testing.T) {
	for _, c := range []struct{ method, path string }{
		{"POST", "/a/" + id}, {"GET", "/a/" + id}, {"DELETE", "/a/" + id}, {"GET", "/a/"}, {"POST", "/a/xyz"}, {"PUT", "/a/" + id}, {"HEAD", "/a/" + id},
	} {
		t.Run(c.method+" "+c.path, func(t *testing.T) {
			k := newKeyFixture(t)
			if c.method == "HEAD" { // has no body to compare.
				is.New(t).Equal(k.send(c.method, c.path, "", 600).StatusCode(), 401)
				return
			}
			k.check(c.method, c.path, "", 401)
			k.check(c.method, c.path, unknownKey, 401)
		})
	}
	t.Run("with a key", func(t *testing.T) {
		k := newKeyFixture(t)
		k.check("POST", "/a/"+id, keyOfA, 200)
		k.check("GET", "/a/"+id, keyOfB, 200)
		k.check("DELETE", "/a/"+id, keyOfA, 200)
		k.check("GET", "/a/", keyOfB, 200)
		k.check("POST", "/a/xyz", keyOfA, 400)
	})
	t.Run("other refusals go before", func(t *testing.T) {
		k := newKeyFixture(t)
		k.check("POST", "/none/"+id, "", 404)
		k.fixture = newFixture(t, k.desk, false)
		k.check("POST", "/a/"+id, "", 503)
	})
	t.Run("public queue", func(t *testing.T) {
		k := newKeyFixture(t)
		for key, want := range map[string]string{"": "", unknownKey: "", keyOfA: "a"} {
			k.check("POST", "/open/"+id, key, 200)
			is.New(t).Equal(k.desk.job.Team, want)
		}
		k.check("GET", "/open/", "", 200)
	})
	t.Run("without teams", func(t *testing.T) {
		k := newKeyFixture(t)
		k.putTeams(2)
		k.check("POST", "/a/"+id, "", 200)
		k.check("POST", "/a/"+id, unknownKey, 200)
		is.New(t).Equal(k.desk.job.Team, "")
		is.New(t).True(!strings.Contains(k.log.String()+k.metrics(), "team"))
	})
}

// The team comes from the key alone; a body that names one does not count.
func TestTeamOfJob(t *testing.T) {
	is := is.New(t)
	k := newKeyFixture(t)
	k.key = keyOfB
	is.Equal(k.send("POST", "/a/"+id, `{"team":"a",`+body[1:], 600).StatusCode(), 200)
	is.Equal(k.desk.job.Team, "b")
}

// A removed key must be refused once the configuration is in force, also when an older one arrives afterwards.
func TestRemovedKey(t *testing.T) {
	k := newKeyFixture(t)
	k.check("POST", "/a/"+id, keyOfA, 200)
	k.putTeams(3, team("a"), team("b", keyOfB))
	k.check("POST", "/a/"+id, keyOfA, 401)
	k.putTeams(2, team("a", keyOfA), team("b", keyOfB))
	k.check("POST", "/a/"+id, keyOfA, 401)
	k.check("POST", "/a/"+id, keyOfB, 200)
	k.putTeams(4, team("a", keyOfA), team("b", keyOfA, keyOfB))
	k.check("POST", "/a/"+id, keyOfA, 401) // two teams claim it.
	k.putTeams(5, team("a", keyOfA))
	k.check("POST", "/a/"+id, keyOfA, 200)
	k.check("POST", "/a/"+id, keyOfB, 401)
}

// sendRaw sends bytes to the front and returns its answer.
func (k *keyFixture) sendRaw(request string) string {
	is := is.New(k.t)
	l := fasthttputil.NewInmemoryListener()
	g := errgroup.Group{}
	g.Go(func() error { return k.front.server.Serve(l) })
	c, err := l.Dial()
	is.NoErr(err)
	_, err = io.WriteString(c, request)
	is.NoErr(err)
	b, err := io.ReadAll(c)
	is.NoErr(err)
	is.NoErr(l.Close())
	is.NoErr(g.Wait())
	return string(b)
}

// Keys are secrets: they must stand in no answer, log line or counter. The server's own errors quote the header.
func TestKeysStaySecret(t *testing.T) {
	k := newKeyFixture(t)
	shown := ""
	for _, key := range []string{keyOfA, unknownKey} {
		for _, path := range []string{"/a/" + id, "/a/xyz", "/none/", "/open/" + id} {
			for _, method := range []string{"POST", "GET", "DELETE"} {
				k.key = key
				shown += string(k.send(method, path, body, 600).Body())
			}
		}
	}
	for _, header := range []string{"Team-Key: " + keyOfA + "\x01", "Team-Key " + keyOfA, "Te(am: " + keyOfA, "Team-Key: " + keyOfA + "\r\nContent-Length: x"} {
		shown += k.sendRaw("POST /a/" + id + " HTTP/1.1\r\nHost: h.example\r\n" + header + "\r\n\r\n")
	}
	shown += k.log.String() + k.metrics()
	is := is.New(t)
	for _, key := range []string{keyOfA, unknownKey} {
		is.True(!strings.Contains(shown, key))
		is.True(!strings.Contains(shown, key[:8]))
	}
	is.True(strings.Contains(shown, `"keyDigest":"`+board.KeyDigest(unknownKey)+`"`))
	is.True(strings.Contains(shown, `"team":"a"`))
	is.True(strings.Contains(shown, "the request cannot be read"))
}

// Operators rename teams; the counters of a process must not grow with each name.
func TestTeamCountersAreBounded(t *testing.T) {
	is := is.New(t)
	k := newKeyFixture(t)
	k.check("POST", "/a/"+id, keyOfA, 200)
	k.check("GET", "/a/"+id, keyOfA, 200)
	k.check("POST", "/a/xyz", keyOfA, 400)
	is.True(strings.Contains(k.metrics(), `team_calls{team="a",status="200"} 2`+"\n"))
	is.True(strings.Contains(k.metrics(), `team_calls{team="a",status="400"} 1`+"\n"))
	for i := range maxTeamNames + 10 {
		k.front.countCall(fmt.Sprint("t", i), 200)
	}
	k.front.countCall("a", 200)
	is.Equal(strings.Count(k.metrics(), `team_calls{`), maxTeamNames+1) // team a has two statuses.
	is.True(strings.Contains(k.metrics(), "team_calls_other 11\n"))
	is.True(strings.Contains(k.metrics(), `team_calls{team="a",status="200"} 3`+"\n"))
}
