package rig

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"burdockreach.dev/fleet/pool"
	"burdockreach.dev/plat/conf"
	"burdockreach.dev/plat/keyval"
)

// Watcher looks at the fleet from outside all the time and notes what must never be seen.
type Watcher struct {
	r      *Rig
	group  errgroup.Group
	cancel context.CancelFunc

	mu     sync.Mutex
	wrong  map[string]bool
	looks  int
	newest map[string]conf.Number // by life of an entry

	outSince map[string]time.Time // of the budget's look alone
	planned  map[string]bool
	spare    map[string]bool
}

// lookEvery is the time between looks.
const lookEvery = 15 * time.Millisecond

// Watch starts a watcher of one pool for each VM, of the availability budget and of the configuration's numbers.
func (r *Rig) Watch() *Watcher {
	x, cancel := context.WithCancel(r.ctx)
	w := &Watcher{r: r, cancel: cancel, wrong: make(map[string]bool), newest: make(map[string]conf.Number),
		outSince: make(map[string]time.Time), planned: make(map[string]bool), spare: r.spares}
	w.group.Go(func() error { return w.every(x, w.lookAtPools) })
	w.group.Go(func() error { return w.every(x, w.lookAtBudget) })
	w.group.Go(func() error { return w.every(x, w.lookAtNumbers) })
	return w
}

func (w *Watcher) every(ctx context.Context, look func(context.Context)) error {
	t := time.NewTicker(lookEvery)
	defer t.Stop()
	for {
		look(ctx)
		select {
		case <-ctx.Done():
			look(context.WithoutCancel(ctx)) // what the watch ends with
			return nil
		case <-t.C:
		}
	}
}

func (w *Watcher) blame(format string, a ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.wrong[fmt.Sprintf(format, a...)] = true
}

// Stop ends the watch and fails the test for all that was wrong.
func (w *Watcher) Stop() {
	w.r.T.Helper()
	w.cancel()
	_ = w.group.Wait()
	for s := range w.wrong {
		w.r.T.Error(s)
	}
	if w.looks == 0 {
		w.r.T.Error("nothing was looked at")
	}
}

// lookAtPools reads one state of the whole membership, as any reader of the service can see it.
func (w *Watcher) lookAtPools(ctx context.Context) {
	items, _, err := w.r.Cloud.Store().List(ctx, "dc/", "", 1000)
	if err != nil {
		return
	}
	in := make(map[string]string)
	for _, i := range items {
		if !strings.Contains(i.Key(), "/vms/") {
			continue
		}
		for _, m := range members(i) {
			if o, ok := in[m.VM]; ok {
				w.blame("VM %s stands in %s and in %s", m.VM, o, i.Key())
			}
			in[m.VM] = i.Key()
		}
	}
	w.mu.Lock()
	w.looks++
	w.mu.Unlock()
}

func members(i keyval.Item) []pool.Member {
	var n int
	k := i.Key()
	if _, err := fmt.Sscanf(k[strings.LastIndex(k, "/")+1:], "%d", &n); err != nil {
		return nil
	}
	s, err := pool.ParseShard(i.Value(), n, pool.ShardCount)
	if err != nil {
		return nil
	}
	t := pool.NewTable(pool.ShardCount).Replace(n, s, int64(i.Rev()))
	var l []pool.Member
	for m := range t.All() {
		l = append(l, m)
	}
	return l
}

// knownWithin is the time in which a leader may not yet know that a VM has failed.
const knownWithin = 3 * time.Second

// lookAtBudget counts the targets of the service that are out, as the targets themselves know, and blames a planned stop
// that begins while the profile's number has been out for a while.
func (w *Watcher) lookAtBudget(context.Context) {
	now := time.Now()
	old, begun := 0, ""
	for n, t := range w.r.Targets {
		s := t.Brief()
		if s.Pool == Spare || w.spare[n] && s.Pool == "" || !s.Draining && !s.Away {
			delete(w.outSince, n)
			continue
		}
		since, known := w.outSince[n]
		if !known {
			w.outSince[n] = now
			if s.Draining {
				begun = n
			}
		} else if now.Sub(since) > knownWithin || w.planned[n] {
			old++
		}
		w.planned[n] = s.Draining || known && w.planned[n]
	}
	if limit := max(1, w.r.plan.MaxOut); begun != "" && old >= limit {
		w.blame("planned stop of %s began while %d targets were out, the profile allows %d", begun, old, limit)
	}
}

// lookAtNumbers asks each entry for its newest change.
func (w *Watcher) lookAtNumbers(context.Context) {
	for _, e := range w.r.running() {
		life := e.life()
		n, err := e.Applied()
		if err != nil || e.life() != life {
			continue
		}
		w.mu.Lock()
		if n < w.newest[life] {
			w.wrong[fmt.Sprintf("%s went back from change %d to %d", life, w.newest[life], n)] = true
		}
		w.newest[life] = n
		w.mu.Unlock()
	}
}
