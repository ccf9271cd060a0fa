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
	rig      *Rig
	group  errgroup.Group
	cancel context.CancelFunc

	mu     sync.Mutex
	violations  map[string]bool
	poolReads  int
	newestChange map[string]conf.Number // by life of an entry

	outSince map[string]time.Time // of the budget's look alone
	plannedOut  map[string]bool
	spareVMs    map[string]bool
}

// pollInterval is the time between looks.
const pollInterval = 15 * time.Millisecond

// Watch starts a watcher of one pool for each VM, of the availability budget and of the configuration's numbers.
func (r *Rig) Watch() *Watcher {
	x, cancel := context.WithCancel(r.ctx)
	w := &Watcher{rig: r, cancel: cancel, violations: make(map[string]bool), newestChange: make(map[string]conf.Number),
		outSince: make(map[string]time.Time), plannedOut: make(map[string]bool), spareVMs: r.spares}
	w.group.Go(func() error { return w.poll(x, w.checkPools) })
	w.group.Go(func() error { return w.poll(x, w.checkBudget) })
	w.group.Go(func() error { return w.poll(x, w.checkChangeNumbers) })
	return w
}

func (w *Watcher) poll(ctx context.Context, look func(context.Context)) error {
	t := time.NewTicker(pollInterval)
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

func (w *Watcher) addViolation(format string, a ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations[fmt.Sprintf(format, a...)] = true
}

// Stop ends the watch and fails the test for all that was wrong.
func (w *Watcher) Stop() {
	w.rig.T.Helper()
	w.cancel()
	_ = w.group.Wait()
	for s := range w.violations {
		w.rig.T.Error(s)
	}
	if w.poolReads == 0 {
		w.rig.T.Error("nothing was looked at")
	}
}

// checkPools reads one state of the whole membership, as any reader of the service can see it.
func (w *Watcher) checkPools(ctx context.Context) {
	items, _, err := w.rig.Cloud.Store().List(ctx, "dc/", "", 1000)
	if err != nil {
		return
	}
	in := make(map[string]string)
	for _, i := range items {
		if !strings.Contains(i.Key(), "/vms/") {
			continue
		}
		for _, m := range shardMembers(i) {
			if o, ok := in[m.VM]; ok {
				w.addViolation("VM %s stands in %s and in %s", m.VM, o, i.Key())
			}
			in[m.VM] = i.Key()
		}
	}
	w.mu.Lock()
	w.poolReads++
	w.mu.Unlock()
}

func shardMembers(i keyval.Item) []pool.Member {
	var n int
	k := i.Key()
	if _, err := fmt.Sscanf(k[strings.LastIndex(k, "/")+1:], "%d", &n); err != nil {
		return nil
	}
	s, err := pool.ParseShard(i.Value(), n, pool.Count)
	if err != nil {
		return nil
	}
	t := pool.NewTable(pool.Count).Replace(n, s, int64(i.Rev()))
	var l []pool.Member
	for m := range t.All() {
		l = append(l, m)
	}
	return l
}

// detectionDelay is the time in which a leader may not yet know that a VM has failed.
const detectionDelay = 3 * time.Second

// checkBudget counts the targets of the service that are out, as the targets themselves know, and blames a planned stop
// that begins while the profile's number has been out for a while.
func (w *Watcher) checkBudget(context.Context) {
	now := time.Now()
	old, begun := 0, ""
	for n, t := range w.rig.Targets {
		s := t.Brief()
		if s.Pool == Spare || w.spareVMs[n] && s.Pool == "" || !s.Draining && !s.Away {
			delete(w.outSince, n)
			continue
		}
		since, known := w.outSince[n]
		if !known {
			w.outSince[n] = now
			if s.Draining {
				begun = n
			}
		} else if now.Sub(since) > detectionDelay || w.plannedOut[n] {
			old++
		}
		w.plannedOut[n] = s.Draining || known && w.plannedOut[n]
	}
	if limit := max(1, w.rig.plan.MaxOut); begun != "" && old >= limit {
		w.addViolation("planned stop of %s began while %d targets were out, the profile allows %d", begun, old, limit)
	}
}

// checkChangeNumbers asks each entry for its newest change.
func (w *Watcher) checkChangeNumbers(context.Context) {
	for _, e := range w.rig.running() {
		life := e.processName()
		n, err := e.Applied()
		if err != nil || e.processName() != life {
			continue
		}
		w.mu.Lock()
		if n < w.newestChange[life] {
			w.violations[fmt.Sprintf("%s went back from change %d to %d", life, w.newestChange[life], n)] = true
		}
		w.newestChange[life] = n
		w.mu.Unlock()
	}
}
