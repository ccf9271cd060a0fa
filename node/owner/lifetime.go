package owner

import (
	"context"
	"sync"
	"time"

	"burdockreach.dev/fleet/batch"
)

// Calls that must not reach a later lifetime of their worker, although the platform's calls do not name the lifetime that they mean:
//   - acknowledgements of ended runs. A worker counts its ended runs anew in each lifetime, so runs that no owner knows would be forgotten
//     and run again.
//   - starts of an owner whose claim is not certain. A lifetime that its successor has not called yet would not refuse them.

// workerList is the last list of a worker that has arrived in this process.
type workerList struct {
	born int64 // start of the worker's lifetime, Unix ms.
	at   time.Time
}

// workerLists holds the lists that have arrived within batch.SameLifetimeWithin.
type workerLists struct {
	mu       sync.Mutex
	byWorker map[string]workerList
}

// maxKeptLists is the number of lists beyond which older ones are dropped.
const maxKeptLists = 1024

// add records a list of the worker.
func (l *workerLists) add(worker string, born int64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.byWorker) >= maxKeptLists {
		for w, x := range l.byWorker {
			if now.Sub(x.at) > batch.SameLifetimeWithin {
				delete(l.byWorker, w)
			}
		}
	}
	l.byWorker[worker] = workerList{born: born, at: now}
}

// isCurrent reports whether the worker's last list is of this lifetime and not older than batch.SameLifetimeWithin.
func (l *workerLists) isCurrent(worker string, born int64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	x, ok := l.byWorker[worker]
	return ok && x.born == born && now.Sub(x.at) <= batch.SameLifetimeWithin
}

// poll polls a worker. Before an acknowledgement it makes sure that the worker's lifetime is still the one that is meant, if need be by
// a poll without the acknowledgement; otherwise it holds the acknowledgement back.
func (c *Carrier) poll(ctx context.Context, k batch.PollCmd) (batch.PolledMsg, error) {
	if k.ForgetUpTo > 0 && k.Born > 0 && !c.lists.isCurrent(k.Worker, k.Born, time.Now()) {
		first := k
		first.ForgetUpTo, first.WaitMs = 0, 0
		g, err := c.hold(ctx, first)
		if err != nil || g.Result != batch.OK || g.Born != k.Born {
			g.AckWithheld = true
			c.stats.Add("acks_withheld", 1)
			return g, err
		}
	}
	return c.hold(ctx, k)
}

// startRun starts a run. A start that is meant for one lifetime only is not sent to another one.
func (c *Carrier) startRun(ctx context.Context, k batch.StartCmd) (batch.Result, int64, error) {
	if k.Born > 0 && !c.lists.isCurrent(k.Worker, k.Born, time.Now()) {
		if r, err := c.checkLifetime(ctx, k); r != batch.OK {
			return r, 0, err
		}
	}
	return c.workers.Start(ctx, k)
}

// checkLifetime polls the worker and returns OK if it is in the lifetime that the start is meant for, and otherwise the result of a start
// that is not sent.
func (c *Carrier) checkLifetime(ctx context.Context, k batch.StartCmd) (batch.Result, error) {
	g, err := c.hold(ctx, batch.PollCmd{Worker: k.Worker, Addr: k.Addr, Born: k.Born, Fence: k.Fence})
	switch {
	case g.Result == batch.NoAnswer, g.Result == batch.OK && err != nil:
		return batch.NotSent, err
	case g.Result == batch.OK && g.Born != k.Born:
		c.stats.Add("starts_withheld", 1)
		return batch.NotSent, nil // the worker is there, and the next poll tells its lifetime.
	}
	return g.Result, err
}

// hold makes one poll and records the list that it returns.
func (c *Carrier) hold(ctx context.Context, k batch.PollCmd) (batch.PolledMsg, error) {
	g, err := c.workers.Hold(ctx, k)
	if err == nil && g.Result == batch.OK {
		c.lists.add(k.Worker, g.Born, time.Now())
	}
	return g, err
}
