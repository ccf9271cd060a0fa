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

// Watcher polls the fleet's state from outside and collects violations of its invariants.
type Watcher struct {
	rig    *Rig
	group  errgroup.Group
	cancel context.CancelFunc

	mu           sync.Mutex
	violations   map[string]bool
	poolReads    int
	newestChange map[string]conf.Number // by the entry's process name

	outSince   map[string]time.Time // by VM, as are the next two; only checkBudget uses the three
	plannedOut map[string]bool
	spareVMs   map[string]bool
}

// pollInterval is the time between two checks of the same kind.
const pollInterval = 15 * time.Millisecond

// Watch starts a watcher. It checks that each VM is in one pool only, that planned stops respect the availability budget,
// and that the change numbers of entries never go back.
func (r *Rig) Watch() *Watcher {
	x, cancel := context.WithCancel(r.ctx)
	w := &Watcher{rig: r, cancel: cancel, violations: make(map[string]bool), newestChange: make(map[string]conf.Number),
		outSince: make(map[string]time.Time), plannedOut: make(map[string]bool), spareVMs: r.spares}
	w.group.Go(func() error { return w.poll(x, w.checkPools) })
	w.group.Go(func() error { return w.poll(x, w.checkBudget) })
	w.group.Go(func() error { return w.poll(x, w.checkChangeNumbers) })
	return w
}

// poll calls check every pollInterval until ctx ends, and then once more.
func (w *Watcher) poll(ctx context.Context, check func(context.Context)) error {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		check(ctx)
		select {
		case <-ctx.Done():
			check(context.WithoutCancel(ctx)) // also checks the final state
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

// Stop ends the checks and fails the test for each violation, and if the pools were never read.
func (w *Watcher) Stop() {
	w.rig.T.Helper()
	w.cancel()
	_ = w.group.Wait()
	for s := range w.violations {
		w.rig.T.Error(s)
	}
	if w.poolReads == 0 {
		w.rig.T.Error("the watcher never read the pools")
	}
}

// checkPools reads all shards of the pool membership from the platform's store in one call and checks that no VM is in two of them.
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
				w.addViolation("VM %s is listed in both %s and %s", m.VM, o, i.Key())
			}
			in[m.VM] = i.Key()
		}
	}
	w.mu.Lock()
	w.poolReads++
	w.mu.Unlock()
}

// shardMembers decodes the members of the shard that is stored in i. It returns nil if i is not a valid shard.
func shardMembers(i keyval.Item) []pool.Member {
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

// detectionDelay is the longest time that a leader may take to detect the failure of a VM.
const detectionDelay = 3 * time.Second

// checkBudget checks, by the targets' own state, that no planned stop begins while as many targets of the service are out as the profile
// allows. It counts only targets that are out by a planned stop or for longer than detectionDelay.
func (w *Watcher) checkBudget(context.Context) {
	now := time.Now()
	knownOut, stopping := 0, ""
	for n, t := range w.rig.Targets {
		s := t.Summary()
		if s.Pool == SparePool || w.spareVMs[n] && s.Pool == "" || !s.Draining && !s.Rebooting {
			delete(w.outSince, n)
			continue
		}
		since, known := w.outSince[n]
		if !known {
			w.outSince[n] = now
			if s.Draining {
				stopping = n
			}
		} else if now.Sub(since) > detectionDelay || w.plannedOut[n] {
			knownOut++
		}
		w.plannedOut[n] = s.Draining || known && w.plannedOut[n]
	}
	if limit := max(1, w.rig.plan.MaxOut); stopping != "" && knownOut >= limit {
		w.addViolation("planned stop of %s began while %d targets were out; the profile allows %d", stopping, knownOut, limit)
	}
}

// checkChangeNumbers reads the newest applied change of each entry and checks that it never decreases within one process.
func (w *Watcher) checkChangeNumbers(context.Context) {
	for _, e := range w.rig.running() {
		process := e.processName()
		n, err := e.Applied()
		if err != nil || e.processName() != process {
			continue
		}
		w.mu.Lock()
		if n < w.newestChange[process] {
			w.violations[fmt.Sprintf("%s went back from change %d to %d", process, w.newestChange[process], n)] = true
		}
		w.newestChange[process] = n
		w.mu.Unlock()
	}
}
