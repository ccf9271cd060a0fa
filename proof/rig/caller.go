package rig

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

// Answer is the response to one request, or the error that took its place.
type Answer struct {
	Status        int
	Outcome       string // the header Burdock-Outcome; empty without a complete response
	RequestID     string // the header Burdock-Request
	Body          string
	RequestDigest string // digest of the request body that the target received
	AnswerDigest  string // digest of the response body that the target sent
	Err           error
}

// Request is a caller's request to the service.
type Request struct {
	Method, Path, Key, Body string
	Headers                 map[string]string
	Timeout                 time.Duration
}

// Send sends the request to the entry, on a new connection and without retries.
func (e *Entry) Send(q Request) Answer {
	var r fasthttp.Request
	var a fasthttp.Response
	r.Header.SetMethod(q.Method)
	r.SetRequestURI("http://" + e.CallerAddr + "/call/" + Service + q.Path)
	r.Header.Set("Authorization", "Bearer "+Token)
	if q.Key != "" {
		r.Header.Set("Idempotency-Key", q.Key)
	}
	for k, v := range q.Headers {
		r.Header.Set(k, v)
	}
	r.SetBodyString(q.Body)
	r.SetConnectionClose()
	if q.Timeout == 0 {
		q.Timeout = 10 * time.Second
	}
	c := fasthttp.Client{MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true}
	if err := c.DoTimeout(&r, &a, q.Timeout); err != nil {
		return Answer{Err: err}
	}
	h := &a.Header
	return Answer{
		Status: a.StatusCode(), Outcome: string(h.Peek("Burdock-Outcome")), RequestID: string(h.Peek("Burdock-Request")), Body: string(a.Body()),
		RequestDigest: string(h.Peek("Fake-Digest")), AnswerDigest: string(h.Peek("Fake-Answer-Digest")),
	}
}

// Healthy reports whether the entry's health page answers 200.
func (e *Entry) Healthy() bool {
	s, _, err := fasthttp.GetTimeout(nil, "http://"+e.CallerAddr+"/health", time.Second)
	return err == nil && s == fasthttp.StatusOK
}

// AwaitReady waits until the entry is healthy.
func (e *Entry) AwaitReady() {
	e.rig.T.Helper()
	e.rig.Await("ready "+e.Name, e.Healthy)
}

// Await polls ok until it returns true. The test fails after 30 s.
func (r *Rig) Await(what string, ok func() bool) {
	r.T.Helper()
	limit := time.Now().Add(awaitTimeout)
	for !ok() {
		if time.Now().After(limit) {
			r.T.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Load sends requests with idempotency keys from several concurrent callers, each to the entries in turn, until it is stopped.
type Load struct {
	rig    *Rig
	group  errgroup.Group
	cancel context.CancelFunc

	mu      sync.Mutex
	answers map[string][]Answer // by key, in the order in which the copies were sent
}

// StartLoad starts n callers. Each sends one request after the other, and copies of a request to other entries until one is answered.
func (r *Rig) StartLoad(n int, entries func() []*Entry) *Load {
	x, cancel := context.WithCancel(r.ctx)
	l := &Load{rig: r, cancel: cancel, answers: make(map[string][]Answer)}
	for k := range n {
		l.group.Go(func() error {
			for i := 0; x.Err() == nil; i++ {
				l.sendUntilAnswered(fmt.Sprintf("k%d-%d", k, i), k+i, entries())
			}
			return nil
		})
	}
	return l
}

// sendUntilAnswered sends up to three copies of the key's request, each to the next entry, until one is answered.
func (l *Load) sendUntilAnswered(key string, turn int, to []*Entry) {
	const copies = 3
	for i := range copies {
		a := to[(turn+i)%len(to)].Send(Request{
			Method: "POST", Path: "/order", Key: key, Body: orderBody(key), Timeout: 5 * time.Second,
			Headers: map[string]string{"Fake-Answer-Bytes": strconv.Itoa(turn * 997 % maxAnswerBytes)},
		})
		l.mu.Lock()
		l.answers[key] = append(l.answers[key], a)
		l.mu.Unlock()
		if a.Outcome == "answered" || a.Outcome == "repeat" {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// maxAnswerBytes is the limit of the response sizes of a load. Some responses are too large for entries to keep them for repeated requests.
const maxAnswerBytes = 20_000

func orderBody(key string) string { return "order " + key }

// answerFault describes what is wrong with the target's response to the key's request: that it is truncated or belongs to another
// request. It returns "" for a correct response and does not check those with status 500 and above.
func answerFault(key string, a Answer) string {
	own := strconv.FormatUint(xxhash.Sum64String(orderBody(key)), 16)
	switch {
	case a.Status >= fasthttp.StatusInternalServerError:
		return ""
	case a.Outcome == "answered" && a.AnswerDigest != strconv.FormatUint(xxhash.Sum64String(a.Body), 16):
		return "a response whose body does not match the digest that the target sent"
	case a.Outcome == "answered" && a.RequestDigest != own:
		return "another request's answer"
	case a.Outcome == "repeat" && len(a.Body) > len(own)*8 && !strings.Contains(a.Body, own):
		return "another request's answer"
	}
	return ""
}

// Stop ends the load and returns all answers by key.
func (l *Load) Stop() map[string][]Answer {
	l.cancel()
	_ = l.group.Wait()
	return l.answers
}

// RunsByKey returns the number of runs of each key, summed over the targets.
func (r *Rig) RunsByKey() map[string]int {
	m := make(map[string]int)
	for _, t := range r.Targets {
		for k, n := range t.Counts().Keys {
			m[k] += n
		}
	}
	return m
}

// CheckAnswers fails the test for each key that ran more than once, was answered without a run, ran although every copy got "not-run",
// or got a response that was truncated or belongs to another request. It returns the number of answers by outcome.
func (r *Rig) CheckAnswers(answers map[string][]Answer) (answered, notRun, unknown int) {
	r.T.Helper()
	runs := r.RunsByKey()
	for k, n := range runs {
		if n > 1 {
			r.T.Errorf("key %s ran %d times", k, n)
		}
	}
	for k, l := range answers {
		only := true
		for _, a := range l {
			switch a.Outcome {
			case "answered", "repeat":
				answered++
				only = false
				if w := answerFault(k, a); w != "" {
					r.T.Errorf("key %s got %s", k, w)
				}
				if runs[k] != 1 {
					r.T.Errorf("key %s was answered, but ran %d times instead of once", k, runs[k])
				}
			case "not-run":
				notRun++
			default:
				unknown++
				only = false
			}
		}
		if only && runs[k] > 0 {
			r.T.Errorf("key %s ran, but every copy got the outcome not-run", k)
		}
	}
	return answered, notRun, unknown
}

// Counts returns sums of the targets' counters: keys that ran more than once, requests beyond the slots,
// requests during a drain, and requests that planned stops interrupted.
func (r *Rig) Counts() (doubled, overSlots, whileLeaving, cut int64) {
	for _, t := range r.Targets {
		n := t.Counts()
		doubled += n.DoubledKeys
		overSlots += n.RefusedOverSlots
		whileLeaving += n.RefusedWhileDraining
		cut += n.CutRequests
	}
	return doubled, overSlots, whileLeaving, cut
}
