package oper_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"burdockreach.dev/node/jobs"
	"burdockreach.dev/node/oper"
	"burdockreach.dev/plat/conf"
	"burdockreach.dev/plat/keyval"
)

const jobForm = `{"id":%q,"dataCentre":%q,"pool":%q,"team":"back","kind":"nightly","cores":1,"memoryMB":10,"runMs":%d,"finishBy":1}`

// jobCall sends one request on jobs to an API with the data centres east and west and the pool ledger.
func jobCall(t *testing.T, s keyval.Store, method, path, body string, want int) string {
	t.Helper()
	d, err := conf.NewDocument().Apply(conf.Change{Number: 1, Op: "op", Kind: conf.PutPool, Pool: &conf.PoolSpec{Name: "ledger"}})
	if err != nil {
		t.Fatal(err)
	}
	a := oper.New("e1", []string{digest(token)}, &config{doc: d}, &fleet{}, reporter{}, oper.WithJobs(jobs.NewQueue(s), []string{"east", "west"}))
	var x fasthttp.RequestCtx
	x.Init(&fasthttp.Request{}, nil, nil)
	x.Request.Header.SetMethod(method)
	x.Request.SetRequestURI(path)
	x.Request.Header.Set("Authorization", "Bearer "+token)
	x.Request.SetBodyString(body)
	a.Handle(context.Background(), &x)
	if x.Response.StatusCode() != want {
		t.Fatalf("%s %s: status %d, want %d: %s", method, path, x.Response.StatusCode(), want, x.Response.Body())
	}
	return string(x.Response.Body())
}

func submitBody(id, dataCentre, pool string, run int) string {
	return `{"jobs":[` + fmt.Sprintf(jobForm, id, dataCentre, pool, run) + `]}`
}

func TestJobs(t *testing.T) {
	is := is.New(t)
	s := keyval.NewMemory()
	submit := func(id, dataCentre, pool string, run int) string {
		return jobCall(t, s, "POST", "/op/jobs", submitBody(id, dataCentre, pool, run), 200)
	}
	accepted := `{"items":[{"id":"a","dataCentre":"west","outcome":"accepted"}]}` + "\n"
	is.Equal(submit("a", "west", "ledger", 5), accepted)
	is.Equal(submit("a", "west", "ledger", 5), accepted) // a repeated submission is accepted
	for _, c := range [][]any{{"a", "west", "ledger", 6}, {"b", "north", "ledger", 5}, {"b", "west", "none", 5}, {"b/1", "west", "ledger", 5}, {"b", "west", "ledger", 0}} {
		out := submit(c[0].(string), c[1].(string), c[2].(string), c[3].(int))
		assertHas(t, out, `"outcome":"notAccepted"`)
	}
	out := jobCall(t, s, "GET", "/op/jobs", "", 200)
	assertHas(t, out, `"id":"a"`, `"state":"waiting"`)
	is.Equal(jobCall(t, s, "GET", "/op/jobs?dataCentre=east", "", 200), `{"items":[]}`+"\n")
	out = jobCall(t, s, "POST", "/op/jobs/cancel", `{"jobs":[{"id":"a","dataCentre":"west"},{"id":"b","dataCentre":"west"}]}`, 200)
	assertHas(t, out, `"state":"canceled"`, `no such job`)
	assertHas(t, jobCall(t, s, "GET", "/op/jobs?state=canceled", "", 200), `"id":"a"`)
	for _, body := range []string{"", `{"jobs":[]}`, `{"jobs":[{"unknown":1}]}`} {
		jobCall(t, s, "POST", "/op/jobs", body, 400)
	}
}

func assertHas(t *testing.T, out string, parts ...string) {
	t.Helper()
	for _, p := range parts {
		if !strings.Contains(out, p) {
			t.Fatalf("no %s in %s", p, out)
		}
	}
}
