package owner

import (
	"context"
	"sync"
	"time"

	"burdockreach.dev/fleet/batch"
)

// Acknowledgements of ended runs. A worker counts its ended runs anew in each lifetime, and the platform's call does not name the
// lifetime that it means. If an acknowledgement reached a later lifetime, ended runs that no owner knows would be forgotten there and run again.

// workerList is the last list of a worker that has arrived in this process.
type workerList struct {
	born int64 // start of the worker's lifetime, Unix ms.
	at   time.Time
}

// workerLists holds the lists that have arrived within batch.AckWithin.
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
			if now.Sub(x.at) > batch.AckWithin {
				delete(l.byWorker, w)
			}
		}
	}
	l.byWorker[worker] = workerList{born: born, at: now}
}

// isCurrent reports whether the worker's last list is of this lifetime and not older than batch.AckWithin.
func (l *workerLists) isCurrent(worker string, born int64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	x, ok := l.byWorker[worker]
	return ok && x.born == born && now.Sub(x.at) <= batch.AckWithin
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

// hold makes one poll and records the list that it returns.
func (c *Carrier) hold(ctx context.Context, k batch.PollCmd) (batch.PolledMsg, error) {
	g, err := c.workers.Hold(ctx, k)
	if err == nil && g.Result == batch.OK {
		c.lists.add(k.Worker, g.Born, time.Now())
	}
	return g, err
}
