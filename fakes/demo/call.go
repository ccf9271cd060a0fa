package main

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// callTimeout is the timeout of one request.
const callTimeout = 12 * time.Second

// request is a caller's request to an entry.
type request struct {
	method, path, token, key string
	body                     []byte
}

// answer is the response to a request. Its outcome and step are those of the Burdock headers, its target and reason those of the body.
type answer struct {
	status        int
	outcome, step string
	reason        string
	target        string
	retryAfter    time.Duration
	took          time.Duration
}

// String returns the answer as one line.
func (a answer) String() string {
	s := fmt.Sprintf("%d %s", a.status, a.outcome)
	if a.target != "" {
		s += " by " + a.target
	}
	if a.step != "" {
		s += fmt.Sprintf(", step %s: %s", a.step, a.reason)
	}
	return s
}

// client sends requests to entries without retries.
var client = &fasthttp.Client{
	MaxIdemponentCallAttempts: 1, MaxConnsPerHost: 256,
	RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
}

// call sends r to the entry at the caller address addr.
func call(addr string, r request) (answer, error) {
	q, p := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(p)
	q.SetRequestURI("http://" + addr + r.path)
	q.Header.SetMethod(r.method)
	q.Header.Set("Authorization", "Bearer "+r.token)
	if r.key != "" {
		q.Header.Set("Idempotency-Key", r.key)
	}
	q.SetBody(r.body)
	t := time.Now()
	if err := client.DoTimeout(q, p, callTimeout); err != nil {
		return answer{}, eris.Wrapf(err, "call %s", addr)
	}
	return parseAnswer(p, time.Since(t)), nil
}

// parseAnswer converts the response p, which arrived after took, to an answer.
func parseAnswer(p *fasthttp.Response, took time.Duration) answer {
	h := func(k string) string { return string(p.Header.Peek(k)) }
	a := answer{status: p.StatusCode(), outcome: h("Burdock-Outcome"), step: h("Burdock-Step"), took: took}
	var b struct {
		Target       string `json:"target"`
		Reason       string `json:"reason"`
		RetryAfterMs int64  `json:"retryAfterMs"`
	}
	if json.Unmarshal(p.Body(), &b) == nil {
		a.target, a.reason, a.retryAfter = b.Target, b.Reason, time.Duration(b.RetryAfterMs)*time.Millisecond
	}
	return a
}

// runCounts holds the counters of one fake target, or the sums over several.
type runCounts struct {
	Runs            int64 `json:"runs"`
	Cut             int64 `json:"cut"`
	DoubledKeys     int64 `json:"doubledKeys"`
	DoubledRequests int64 `json:"doubledRequests"`
	Boot            int64 `json:"boot"`
}

// totalCounts returns the sums of all targets' counters.
func (s *fleet) totalCounts() (runCounts, error) {
	var all runCounts
	for _, t := range s.targets {
		r, err := s.targetCounts(t.name)
		if err != nil {
			return all, err
		}
		all.Runs += r.Runs
		all.Cut += r.Cut
		all.DoubledKeys += r.DoubledKeys
		all.DoubledRequests += r.DoubledRequests
		all.Boot += r.Boot
	}
	return all, nil
}

// targetCounts requests the counters of the target with that name.
func (s *fleet) targetCounts(name string) (runCounts, error) {
	var r runCounts
	i := slices.IndexFunc(s.targets, func(t targetVM) bool { return t.name == name })
	if i < 0 {
		return r, eris.Errorf("no target is named %s", name)
	}
	code, b, err := fasthttp.GetTimeout(nil, "http://"+s.targets[i].controlAddr+"/ctl/runs?brief", callTimeout)
	if err != nil || code != fasthttp.StatusOK {
		return r, eris.Wrapf(err, "get the counters of %s: status %d", name, code)
	}
	return r, eris.Wrapf(json.Unmarshal(b, &r), "decode the counters of %s", name)
}
