package main

import (
	"fmt"
	"sync"
	"time"
)

// checker keeps what executors ran, and finds runs that break TWICE.
type checker struct {
	mu    sync.Mutex
	rec   *record
	tasks map[string]*taskRuns
	runs  int
	done  int
}

type taskRuns struct {
	runs []*taskRun
}

type taskRun struct {
	worker  string
	number  int64
	started time.Time
	ended   time.Time // zero while it runs.
	how     string
	noted   time.Time // when last_seen reached its end; zero before.
	lapsed  bool      // the lease of the executor expired between the end and that moment.
}

func newChecker(r *record) *checker { return &checker{rec: r, tasks: map[string]*taskRuns{}} }

func (c *checker) begun(x *worker, u *run, _ string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tasks[u.task]
	if t == nil {
		t = &taskRuns{}
		c.tasks[u.task] = t
	}
	t.runs = append(t.runs, &taskRun{worker: x.id, number: u.number, started: time.Now()})
	c.runs++
	c.rec.add(x.id, "%s run %d begins", u.task, u.number)
}

func (c *checker) find(x *worker, u *run) *taskRun {
	l := c.tasks[u.task].runs
	for n := len(l) - 1; n >= 0; n-- {
		if r := l[n]; r.worker == x.id && r.number == u.number {
			return r
		}
	}
	return &taskRun{}
}

func (c *checker) ended(x *worker, u *run, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.find(x, u)
	r.ended, r.how = time.Now(), how
	if how == "done" {
		c.done++
	}
	c.rec.add(x.id, "%s run %d ends: %s", u.task, u.number, how)
}

func (c *checker) noted(x *worker, u *run, how string, lapsed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.find(x, u)
	r.noted, r.lapsed = time.Now(), lapsed
	c.rec.add(x.id, "%s run %d: last_seen has reached the end, %s", u.task, u.number, how)
}

// counts returns how many runs have begun and how many have ended done.
func (c *checker) counts() (runs, done int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs, c.done
}

// twice returns the breaches of TWICE: two runs of a work item at the same time, or a start after a run has ended done, if that end is
// taken note of then or later and no lease expired between the two.
func (c *checker) twice() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var l []string
	for n, t := range c.tasks {
		for i, a := range t.runs {
			for _, b := range t.runs[i+1:] {
				switch {
				case a.ended.IsZero() || b.started.Before(a.ended):
					l = append(l, fmt.Sprintf("%s: run %d on %s began while run %d was at work on %s", n, b.number, b.worker, a.number, a.worker))
				case a.how == "done" && !a.noted.IsZero() && !a.lapsed:
					l = append(l, fmt.Sprintf("%s: run %d on %s began %.3f s after run %d had ended done on %s; that end was taken note of %+.3f s from that start",
						n, b.number, b.worker, b.started.Sub(a.ended).Seconds(), a.number, a.worker, a.noted.Sub(b.started).Seconds()))
				}
			}
		}
	}
	return l
}
