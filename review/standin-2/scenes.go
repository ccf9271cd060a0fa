package main

import (
	"fmt"
	"time"
)

// sevenOf returns the kinds of seven executors, the first of which is of kind first. One of seven is a share of 0.143.
func sevenOf(first string) []string { return []string{first, "a", "a", "a", "a", "a", "a"} }

// scenes are the scripts by name.
var scenes = map[string]scene{
	"twice": {sevenOf("a"), threeEntries, playTwice},
	"steps": {[]string{"g", "g", "a", "a", "a", "a", "a"}, []float64{0.8, 0.8, 0.4, 0.4}, playSteps},
	"clock": {sevenOf("g"), threeEntries, playClock},
	"list":  {sevenOf("g"), threeEntries, playList},
	"grey":  {sevenOf("g"), threeEntries, playGrey},
	"count": {sevenOf("g"), threeEntries, playCount},
}

var threeEntries = []float64{0.4, 0.4, 0.4}

// at sleeps until d after t.
func at(t time.Time, d time.Duration) { time.Sleep(time.Until(t.Add(d))) }

const ms = time.Millisecond

// step returns one step of a job with one work item.
func step(label string, estimate time.Duration, lasts bool) map[string]any {
	s := map[string]any{"count": 1, "cpu": 2000, "mem_mb": 1024, "estimate_ms": estimate.Milliseconds(), "required_label": label}
	if lasts {
		s["long_running"] = true
	}
	return s
}

func job(s map[string]any) map[string]any {
	return map[string]any{"spec": "ledger", "phases": []any{s}}
}

// restart crashes a worker and starts it again under its id after d.
func restart(k *worker, d time.Duration, kind string) {
	k.crash()
	time.Sleep(d)
	k.mu.Lock()
	k.kind = kind
	k.mu.Unlock()
	k.start()
}

// playTwice: the leader is cut off from the store while it is idle. Its successor reads all executors. One executor crashes and starts
// again under its id as another kind. Then a timed job falls due.
func playTwice(w *world, trouble string) (string, error) {
	const id = "5c0e7a21d94b36f8"
	t := time.Now()
	due := t.Add(6 * time.Second)
	j := job(step("a", 2*time.Second, false))
	j["first_run_ms"], j["interval_ms"], j["repeat_count"] = due.UnixMilli(), 60_000, 1
	if err := w.submit(id, work{took: 2 * time.Second}, j); err != nil {
		return "", err
	}
	if trouble != "0" {
		at(t, 2000*ms)
		g := w.entries[w.leader()].gate
		w.note("entry %d is cut off from the store", w.leader()+1)
		g.cut.Store(true)
		time.AfterFunc(5500*ms, func() {
			g.cut.Store(false)
			w.note("the cut ends")
		})
		at(t, 4200*ms)
		restart(w.workers[0], 500*ms, "b")
	}
	at(due, 6*time.Second)
	w.request(0, "GET", id, nil)
	return overlap(w.allRuns(id)), nil
}

// playSteps: the leader is cut off from the store while a job runs its first step, and one executor loses the path to the entry that
// becomes the successor.
func playSteps(w *world, trouble string) (string, error) {
	const id = "00000000000000b3"
	first, second := step("a", 3600*ms, false), step("g", 2*time.Second, false)
	second["after"] = []int{0}
	w.setWork(id+".0.1", work{took: 2 * time.Second})
	j := map[string]any{"spec": "ledger", "phases": []any{first, second}}
	for end := time.Now().Add(15 * time.Second); w.leader() > 1; time.Sleep(100 * ms) {
		if time.Now().After(end) {
			return "", fmt.Errorf("entry %d leads, and not one of the two with the most cores", w.leader()+1)
		}
	}
	time.Sleep(3 * time.Second)
	leader := w.leader()
	successor := 1 - leader // the entries with the most cores take over from each other.
	t := time.Now()
	if trouble != "0" {
		w.workers[0].cut(successor, true)
	}
	if err := w.submit(id, work{took: 3600 * ms}, j); err != nil {
		return "", err
	}
	if trouble != "0" {
		g := w.entries[leader].gate
		at(t, 1500*ms) // the claim lapses 0.8 to 1.2 s later, while the first step is at work.
		w.note("entry %d is cut off from the store", leader+1)
		g.cut.Store(true)
		at(t, 5000*ms)
		w.workers[0].cut(successor, false)
		at(t, 7000*ms)
		g.cut.Store(false)
		w.note("the cut ends")
	}
	at(t, 15*time.Second)
	w.request(2, "GET", id, nil)
	return overlap(w.allRuns(id)), nil
}

// overlap tells of two runs of one work item at the same time on executors that are up.
func overlap(l []runRecord) string {
	for i, a := range l {
		for _, b := range l[i+1:] {
			if a.task == b.task && (a.ended.IsZero() || b.begun.Before(a.ended)) {
				return fmt.Sprintf("TWICE: %s run %d at %s (fence %d) and run %d at %s (fence %d) at the same time", a.task, a.run, a.worker, a.fence,
					b.run, b.worker, b.fence)
			}
		}
	}
	return ""
}

// Calm after which RULES.md counts an idle work item that lasts: 4 s before the 3 s.
const (
	calmTime = 4 * time.Second
	idleTime = 3 * time.Second
	lastRun  = 6 * time.Second
)

// idleFor returns for how long, up to limit, no run of the job is at work from now on.
func idleFor(w *world, id string, limit time.Duration) time.Duration {
	t := time.Now()
	for time.Since(t) < limit && !w.runningNow(id) {
		time.Sleep(20 * ms)
	}
	return time.Since(t)
}

// playClock: the clock of an executor's machine is 2 s ahead for 5 s. The executor crashes and starts again under its id twice: before
// the clock goes back, and shortly after.
func playClock(w *world, trouble string) (string, error) {
	const id = "00000000000000c1"
	if err := w.submit(id, work{lasts: true}, job(step("g", time.Second, true))); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	t, k := time.Now(), w.workers[0]
	if trouble != "0" {
		if trouble != "crash" {
			w.setSkew(k, 2*time.Second)
		}
		at(t, 3500*ms)
		restart(k, 500*ms, "g")
		at(t, 5000*ms)
		w.setSkew(k, 0)
		at(t, 5300*ms)
		restart(k, 400*ms, "g")
	}
	at(t, 5700*ms+max(calmTime, lastRun))
	const short = "00000000000000c2" // not judged; the record shows what becomes of it.
	if err := w.submit(short, work{took: time.Second}, job(step("g", time.Second, false))); err != nil {
		return "", err
	}
	found := lostUnlessRunning(w, id, 20*time.Second)
	time.Sleep(2 * time.Second)
	w.request(1, "GET", short, nil)
	return found, nil
}

func (w *world) setSkew(k *worker, d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.skew = d
	w.note("the time of day at %s is %v ahead", k.id, d)
}

// lostUnlessRunning watches a work item that lasts, in calm.
func lostUnlessRunning(w *world, id string, watch time.Duration) string {
	d := idleFor(w, id, watch)
	s, x := w.request(1, "GET", id, nil)
	if d < idleTime {
		return ""
	}
	return fmt.Sprintf("LOST: nothing of %s ran for %.1f s in calm, with its executor idle; its state is %d %s", id, d.Seconds(), s, x)
}

// playList: the calls about machines are answered slowly for 5 s. An executor that runs a short job, and one that lasts, crashes and starts
// again under its id meanwhile.
func playList(w *world, trouble string) (string, error) {
	const short, lasts = "00000000000000e8", "00000000000000e7"
	if err := w.submit(lasts, work{lasts: true}, job(step("g", time.Second, true))); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	t := time.Now()
	if trouble != "0" && trouble != "crash" {
		w.machinesSlow.Store(200)
		w.note("the machines' calls are answered 200 ms late")
	}
	at(t, 1000*ms)
	s := step("", 3*time.Second, false)
	delete(s, "required_label")
	if err := w.submit(short, work{took: 3 * time.Second}, job(s)); err != nil {
		return "", err
	}
	if trouble != "0" {
		at(t, 2000*ms)
		restart(w.workers[0], 120*ms, "g")
		at(t, 5000*ms)
		w.machinesSlow.Store(0)
		w.note("the machines' calls are answered at once")
	}
	at(t, 5000*ms+max(calmTime, lastRun))
	w.request(2, "GET", short, nil)
	w.note("the job that lasts (not judged): %s", lostUnlessRunning(w, lasts, 10*time.Second))
	return overlap(w.allRuns(short)), nil
}

// setGrey makes an executor refuse starts with 503, or accept them again.
func (w *world) setGrey(k *worker, grey bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.grey = grey
	w.note("executor %s refuses starts with 503: %t", k.id, grey)
}

// playGrey: an executor is unhealthy for 6.5 s, and a job that only it can run comes meanwhile.
func playGrey(w *world, trouble string) (string, error) {
	const id = "00000000000000d2"
	t, k := time.Now(), w.workers[0]
	if trouble != "0" {
		w.setGrey(k, true)
	}
	at(t, 100*ms)
	if err := w.submit(id, work{lasts: true}, job(step("g", time.Second, true))); err != nil {
		return "", err
	}
	at(t, 6500*ms)
	w.setGrey(k, false)
	at(t, 6500*ms+calmTime)
	return lostUnlessRunning(w, id, 20*time.Second), nil
}

// playCount: as playGrey, with jobs that end. The consumer asks how many jobs have not begun.
func playCount(w *world, trouble string) (string, error) {
	t, k := time.Now(), w.workers[0]
	if trouble != "0" {
		w.setGrey(k, true)
	}
	at(t, 200*ms)
	ids := []string{"00000000000000e1", "00000000000000e2", "00000000000000e3"}
	accepted := map[string]time.Time{}
	for _, id := range ids {
		if err := w.submit(id, work{took: time.Second}, job(step("g", time.Second, false))); err != nil {
			return "", err
		}
		accepted[id] = time.Now()
	}
	for time.Since(t) < 20*time.Second {
		if time.Since(t) > 6500*ms {
			w.setGreyOnce(k)
		}
		before := w.notBegun(accepted)
		s, x := w.request(1, "GET", "", nil)
		var n int
		if _, err := fmt.Sscanf(x, `{"pending":%d}`, &n); s == 200 && err == nil && 2*n < min(before, w.notBegun(accepted)) {
			return fmt.Sprintf("MIXED: pending is %d, and %d jobs that were accepted more than 5 s before have not begun", n, before), nil
		}
		time.Sleep(500 * ms)
	}
	return "", nil
}

func (w *world) setGreyOnce(k *worker) {
	k.mu.Lock()
	g := k.grey
	k.mu.Unlock()
	if g {
		w.setGrey(k, false)
	}
}

// visible is visible_ms + 2 s.
const visible = 5 * time.Second

// notBegun returns the number of jobs that were accepted longer than visible before and of which no work item has begun.
func (w *world) notBegun(accepted map[string]time.Time) int {
	n := 0
	for id, t := range accepted {
		if time.Since(t) > visible && len(w.allRuns(id)) == 0 {
			n++
		}
	}
	return n
}
