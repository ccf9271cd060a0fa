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

// Change asks the entry's operators' API for a change; an error means that no answer came.
func (e *Entry) Change(c conf.Change) (oper.ChangeReply, error) {
	b, err := json.Marshal(c)
	if err != nil {
		return oper.ChangeReply{}, err
	}
	var r oper.ChangeReply
	return r, e.callOperatorAPI("POST", "/op/change", b, &r)
}

// Applied returns the newest change in force at the entry.
func (e *Entry) Applied() (conf.Number, error) {
	var r oper.Applied
	err := e.callOperatorAPI("GET", "/op/applied", nil, &r)
	return r.Newest, err
}

// Teams returns the teams that are in force at the entry, by name, with the number of their last change.
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

func (e *Entry) callOperatorAPI(method, path string, body []byte, v any) error {
	var q fasthttp.Request
	var a fasthttp.Response
	q.Header.SetMethod(method)
	q.SetRequestURI("http://" + e.Operator + path)
	q.Header.Set("Authorization", "Bearer "+OpToken)
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

// Platform calls the stand-in of the platform.
func (r *Rig) Platform(path string, body any) {
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

// Wave asks for a maintenance wave over the service's pool, in the background, through whichever entry takes it.
func (r *Rig) Wave(id string) {
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

// Revive thaws the entry, or starts it when its process has ended.
func (e *Entry) Revive() {
	if e.processName() == "" {
		e.Start()
		return
	}
	e.Thaw()
}

// Leader returns the entry that leads the data centre.
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
