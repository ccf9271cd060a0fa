package rig

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"burdockreach.dev/node/oper"
	"burdockreach.dev/plat/conf"
)

const operatorTimeout = 10 * time.Second

// Change requests a configuration change from the entry's operator API. An error means that no valid response came.
func (e *Entry) Change(c conf.Change) (oper.ChangeReply, error) {
	b, err := json.Marshal(c)
	if err != nil {
		return oper.ChangeReply{}, err
	}
	var r oper.ChangeReply
	return r, e.callOperatorAPI("POST", "/op/change", b, &r)
}

// Applied returns the number of the newest change that the entry has applied.
func (e *Entry) Applied() (conf.Number, error) {
	var r oper.Applied
	err := e.callOperatorAPI("GET", "/op/applied", nil, &r)
	return r.Newest, err
}

// Teams returns the teams that the entry has applied: the number of the last change of each, by the team's name.
func (e *Entry) Teams() (map[string]conf.Number, error) {
	var r oper.Objects[conf.TeamSpec]
	if err := e.callOperatorAPI("GET", "/op/teams", nil, &r); err != nil {
		return nil, err
	}
	m := make(map[string]conf.Number)
	for _, o := range r.Items {
		m[o.Spec.Name] = o.Changed
	}
	return m, nil
}

// callOperatorAPI sends one request to the entry's operator API and decodes the JSON response into v.
func (e *Entry) callOperatorAPI(method, path string, body []byte, v any) error {
	var q fasthttp.Request
	var a fasthttp.Response
	q.Header.SetMethod(method)
	q.SetRequestURI("http://" + e.OperatorAddr + path)
	q.Header.Set("Authorization", "Bearer "+OperatorToken)
	q.SetBody(body)
	q.SetConnectionClose()
	c := fasthttp.Client{MaxIdemponentCallAttempts: 1}
	if err := c.DoTimeout(&q, &a, operatorTimeout); err != nil {
		return err
	}
	if err := json.Unmarshal(a.Body(), v); err != nil {
		return fmt.Errorf("%s: status %d: %w", path, a.StatusCode(), err)
	}
	return nil
}

// CallPlatform sends a call to the control address of the fake platform and fails the test if it is not accepted.
func (r *Rig) CallPlatform(path string, body any) {
	r.T.Helper()
	b, err := json.Marshal(body)
	if err != nil {
		r.T.Fatal(err)
	}
	var q fasthttp.Request
	var a fasthttp.Response
	q.Header.SetMethod("POST")
	q.SetRequestURI("http://" + r.Cloud.ControlAddr() + path)
	q.SetBody(b)
	if err := fasthttp.DoTimeout(&q, &a, operatorTimeout); err != nil || a.StatusCode() != fasthttp.StatusOK {
		r.T.Fatalf("%s: %v %s", path, err, a.Body())
	}
}

// StartWave requests a maintenance wave over the service's pool. In the background, it tries the running entries until one accepts.
func (r *Rig) StartWave(id string) {
	entries := r.running()
	r.group.Go(func() error {
		for r.ctx.Err() == nil {
			for _, e := range entries {
				c := conf.Change{Op: "wave-" + id, By: "rig", Kind: conf.PutWave, Wave: &conf.WaveSpec{ID: id, Pools: []string{Pool}}}
				if a, err := e.Change(c); err == nil && a.Outcome == oper.Accepted {
					return nil
				}
			}
		}
		return nil
	})
}

// ThawOrStart starts the entry if its process has exited, and thaws it otherwise.
func (e *Entry) ThawOrStart() {
	if e.processName() == "" {
		e.Start()
		return
	}
	e.Thaw()
}

// Leader waits until an entry of the data centre reports that it is the leader, and returns that entry.
func (r *Rig) Leader(dataCentre string) *Entry {
	r.T.Helper()
	var found *Entry
	r.Await("leader of "+dataCentre, func() bool {
		for _, e := range r.running() {
			var l oper.Entries
			if e.DataCentre != dataCentre || e.callOperatorAPI("GET", "/op/entries", nil, &l) != nil {
				continue
			}
			for _, o := range l.Items {
				if o.Self && o.Leader {
					found = e
				}
			}
		}
		return found != nil
	})
	return found
}
