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

// Answer is what a caller got.
type Answer struct {
	Status  int
	Outcome string // the header Burdock-Outcome; empty when no whole answer came
	Mark    string // the header Burdock-Request
	Body    string
	Asked   string // digest of the request's body, as the target saw it
	Sent    string // digest of the answer's body, as the target sent it
	Err     error
}

// Request is what a caller asks for.
type Request struct {
	Method, Path, Key, Body string
	Head                    map[string]string
	Wait                    time.Duration
}

// Ask sends one request to the entry, once.
func (e *Entry) Ask(q Request) Answer {
	var r fasthttp.Request
	var a fasthttp.Response
	r.Header.SetMethod(q.Method)
	r.SetRequestURI("http://" + e.Caller + "/call/" + Service + q.Path)
	r.Header.Set("Authorization", "Bearer "+Token)
	if q.Key != "" {
		r.Header.Set("Idempotency-Key", q.Key)
	}
	for k, v := range q.Head {
		r.Header.Set(k, v)
	}
	r.SetBodyString(q.Body)
	r.SetConnectionClose()
	if q.Wait == 0 {
		q.Wait = 10 * time.Second
	}
	c := fasthttp.Client{MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true}
	if err := c.DoTimeout(&r, &a, q.Wait); err != nil {
		return Answer{Err: err}
	}
	h := &a.Header
	return Answer{
		Status: a.StatusCode(), Outcome: string(h.Peek("Burdock-Outcome")), Mark: string(h.Peek("Burdock-Request")), Body: string(a.Body()),
		Asked: string(h.Peek("Fake-Digest")), Sent: string(h.Peek("Fake-Answer-Digest")),
	}
}

// Healthy reports whether the entry's health page is good.
func (e *Entry) Healthy() bool {
	s, _, err := fasthttp.GetTimeout(nil, "http://"+e.Caller+"/health", time.Second)
	return err == nil && s == fasthttp.StatusOK
}

// AwaitReady returns when the entry takes new work.
func (e *Entry) AwaitReady() {
	e.rig.T.Helper()
	e.rig.Await("ready "+e.Name, e.Healthy)
}

// Await returns when ok does; the test fails after half a minute.
func (r *Rig) Await(what string, ok func() bool) {
	r.T.Helper()
	limit := time.Now().Add(awaitTimeout)
	for !ok() {
		if time.Now().After(limit) {
			r.T.Fatalf("not in time: %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Load sends keyed requests from several callers at once, each to the entries by turns, until it is stopped.
type Load struct {
	rig    *Rig
	group  errgroup.Group
	cancel context.CancelFunc

	mu      sync.Mutex
	answers map[string][]Answer // by key, in order of sending
}

// StartLoad starts n callers; each sends every request once, and a repeat through another entry when the outcome was not an answer.
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

// sendUntilAnswered sends sendUntilAnswered keyed request, and its repeats, until it is answered or three copies were sent.
func (l *Load) sendUntilAnswered(key string, turn int, to []*Entry) {
	const copies = 3
	for i := range copies {
		a := to[(turn+i)%len(to)].Ask(Request{
			Method: "POST", Path: "/order", Key: key, Body: orderBody(key), Wait: 5 * time.Second,
			Head: map[string]string{"Fake-Answer-Bytes": strconv.Itoa(turn * 997 % maxAnswerBytes)},
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

// maxAnswerBytes bounds the answers of a load, in bytes; some are too large to be kept for repeats.
const maxAnswerBytes = 20_000

func orderBody(key string) string { return "order " + key }

// answerFault returns what is wrong with an answer of the target to the key's request: that it is cut, or another request's.
func answerFault(key string, a Answer) string {
	own := strconv.FormatUint(xxhash.Sum64String(orderBody(key)), 16)
	switch {
	case a.Status >= fasthttp.StatusInternalServerError:
		return ""
	case a.Outcome == "answered" && a.Sent != strconv.FormatUint(xxhash.Sum64String(a.Body), 16):
		return "a part of an answer"
	case a.Outcome == "answered" && a.Asked != own:
		return "another request's answer"
	case a.Outcome == "repeat" && len(a.Body) > len(own)*8 && !strings.Contains(a.Body, own):
		return "another request's answer"
	}
	return ""
}

// Stop ends the load and returns every answer by key.
func (l *Load) Stop() map[string][]Answer {
	l.cancel()
	_ = l.group.Wait()
	return l.answers
}

// Runs returns how often each key was run, summed over the targets.
func (r *Rig) Runs() map[string]int {
	m := make(map[string]int)
	for _, t := range r.Targets {
		for k, n := range t.Runs().Keys {
			m[k] += n
		}
	}
	return m
}

// Judge fails the test for each key that ran twice, was answered without a run, ran after "not run" alone, or got a foreign answer.
func (r *Rig) Judge(answers map[string][]Answer) (answered, notRun, unknown int) {
	r.T.Helper()
	runs := r.Runs()
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
					r.T.Errorf("key %s was answered and ran %d times", k, runs[k])
				}
			case "not-run":
				notRun++
			default:
				unknown++
				only = false
			}
		}
		if only && runs[k] > 0 {
			r.T.Errorf("key %s ran, and every copy was told that it was not run", k)
		}
	}
	return answered, notRun, unknown
}

// Counts sums what the targets counted.
func (r *Rig) Counts() (doubled, overSlots, whileLeaving, cut int64) {
	for _, t := range r.Targets {
		n := t.Runs()
		doubled += n.DoubledKeys
		overSlots += n.OverSlots
		whileLeaving += n.WhileLeaving
		cut += n.Cut
	}
	return doubled, overSlots, whileLeaving, cut
}
