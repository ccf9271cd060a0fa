package batch

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Limits of the store, counted here independently of the code under test.
const (
	storeEntries = 32
	storeBytes   = 300 << 10
)

// countEntries returns the entries of a transaction at the store: the claim's guard, the guards of rows, the values and the deletions.
func countEntries(k CommitCmd) int {
	expect, put, del := 1, 0, 0
	for _, r := range k.Rows {
		if r.Guarded {
			expect++
		}
		if r.Delete {
			del++
		} else {
			put++
		}
	}
	return expect + put + del
}

func countBytes(k CommitCmd) int {
	n := 0
	for _, r := range k.Rows {
		n += len(r.Key) + len(r.Value)*4/3
	}
	return n
}

// writer is a model whose writes a test answers. No worker and no machine takes part.
type writer struct {
	*Model
	is     *is.I
	rnd    *rand.Rand
	rows   map[string][]byte
	queued int
	poison string // the store rejects transactions with this in a value.
	logs   []LogCmd
	answer []ReplyCmd
}

func newWriter(t *testing.T, seed uint64) *writer {
	m := New(Config{Fence: 9, Now: 1000, UnixMs: 1_000_000, StatusMs: 120_000, OrderGapMs: 3500})
	w := &writer{Model: m, is: is.New(t), rnd: rand.New(rand.NewPCG(seed, 5)), rows: map[string][]byte{}}
	m.Update(1000, ClaimMsg{Fresh: true, RenewedAt: 1000})
	m.Update(1000, LoadedMsg{})
	return w
}

// queueWrites queues a random mix of writes of every kind.
func (w *writer) queueWrites(n int) {
	for i := range n {
		w.queued++
		j := &job{Job: Job{ID: fmt.Sprintf("%016x", w.queued), Service: "s", Queue: "q"}, firstTriedAt: w.now, phase: committing}
		w.jobs[j.ID] = j
		switch w.rnd.IntN(5) {
		case 0:
			w.commits.addAccept(j)
			continue
		case 1:
			j.phase = open
		case 2:
			j.phase, j.finalState, j.shownState, j.purging = ended, StateCompleted, StateCompleted, true
		default:
			j.phase, j.finalState = ended, StateFailed
			j.reason = strings.Repeat("x", w.rnd.IntN(1+w.rnd.IntN(40_000)))
		}
		j.version = 1
		w.commits.addProgress(j)
		if i%7 == 0 {
			v := &wave{WaveMsg: WaveMsg{Number: i}, version: 1, begun: map[string]bool{}, finished: map[string]bool{}}
			w.fleet.waves[i] = v
			w.commits.dirtyWaves[i] = v
		}
		if w.rnd.IntN(3) == 0 {
			w.commits.orders.planned++
		}
	}
}

// run answers the writes for ms milliseconds, with outcome for a transaction within the store's limits.
func (w *writer) run(ms int64, outcome func(CommitCmd) Outcome) {
	for end := w.now + ms; w.now < end; {
		w.Update(w.now+5, ClaimMsg{Fresh: true, RenewedAt: w.now + 5})
		for _, c := range w.Commands(w.now) {
			switch k := c.(type) {
			case CommitCmd:
				w.commit(k, outcome(k))
			case LogCmd:
				w.logs = append(w.logs, k)
			case ReplyCmd:
				w.answer = append(w.answer, k)
			}
		}
	}
}

func (w *writer) commit(k CommitCmd, o Outcome) {
	w.is.True(countEntries(k) <= storeEntries)                 // the store rejects more entries.
	w.is.True(len(k.Rows) <= 2 || countBytes(k) <= storeBytes) // only a single record may be larger.
	seen := map[string]bool{}
	for _, r := range k.Rows {
		w.is.True(!seen[r.Key]) // two writes of one key in a transaction.
		seen[r.Key] = true
		if w.poison != "" && strings.Contains(string(r.Value), w.poison) {
			o = WriteRejected
		}
	}
	if o == Written {
		for _, r := range k.Rows {
			w.rows[r.Key] = r.Value
		}
	}
	w.Update(w.now, CommittedMsg{ID: k.ID, Outcome: o, Rev: w.now, Detail: "status 400"})
}

func written(CommitCmd) Outcome { return Written }

// Every mix of writes has to fit the store's limits, also what has gathered while the store was away: the store rejects a larger
// transaction for good, and nothing is accepted any more.
func TestTransactionsKeepTheLimits(t *testing.T) {
	for s := range uint64(40) {
		t.Run(fmt.Sprint(s), func(t *testing.T) {
			w := newWriter(t, s)
			for range 3 {
				w.queueWrites(1 + w.rnd.IntN(120))
				w.run(400, func(CommitCmd) Outcome {
					return []Outcome{Written, Conflict, Unwritten, Unknown, WriteRejected}[w.rnd.IntN(5)]
				})
				w.queueWrites(w.rnd.IntN(60))
				w.run(200, func(CommitCmd) Outcome { return Unwritten })
			}
			w.run(20_000, written)
			w.is.True(!w.commits.waiting()) // a write was lost or never fits.
			w.is.Equal(len(w.commits.setAside), 0)
			w.is.Equal(len(w.commits.writing), 0)
		})
	}
}

// rejecting returns a writer with twelve open jobs, the progress of one of which the store rejects.
func rejecting(t *testing.T) (*writer, *job) {
	w := newWriter(t, 1)
	w.poison = "poison"
	var bad *job
	for i := range 12 {
		j := &job{Job: Job{ID: fmt.Sprintf("%016x", i+1), Service: "s", Queue: "q"}, phase: ended, finalState: StateFailed, version: 1}
		if i == 7 {
			j.reason, bad = "poison", j
		}
		w.jobs[j.ID] = j
		w.commits.addProgress(j)
	}
	w.run(500, written)
	return w, bad
}

// One record that the store never takes must not hold up the others, must be shown, and is stored once the store takes it.
func TestRejectedRecordIsSetAside(t *testing.T) {
	t.Run("the others are stored", func(t *testing.T) {
		w, bad := rejecting(t)
		for _, j := range w.jobs {
			w.is.Equal(j.shownState == StateFailed, j != bad)
		}
		w.is.True(!w.commits.failing)
	})
	t.Run("it is logged once and listed", func(t *testing.T) {
		w, bad := rejecting(t)
		w.run(3*asideRetryMs, written)
		n := 0
		for _, l := range w.logs {
			if l.Event == "record set aside" {
				n++
				w.is.Equal(l.Job, bad.ID)
				w.is.True(l.Error)
			}
		}
		w.is.Equal(n, 1)
		w.is.True(strings.Contains(string(w.rows[AsideKey]), RunPrefix+bad.ID))
	})
	t.Run("it is stored later", func(t *testing.T) {
		w, bad := rejecting(t)
		w.poison = ""
		w.run(2*asideRetryMs, written)
		w.is.Equal(bad.shownState, StateFailed)
		w.is.True(strings.Contains(string(w.rows[AsideKey]), `"count":0`))
	})
	t.Run("a new job is refused with the reason", func(t *testing.T) {
		w := newWriter(t, 1)
		w.poison = "poison"
		for i, spec := range []string{"poison", "fine"} {
			j := Job{ID: fmt.Sprintf("%016x", i+1), Service: "s", Queue: "q", Spec: spec, Steps: []Step{{Count: 1}}}
			w.Update(w.now, SubmitMsg{Ref: uint64(i), Job: j})
		}
		w.run(500, written)
		w.is.Equal(len(w.answer), 2)
		for _, a := range w.answer {
			w.is.Equal(a.Verdict == Refused, a.Ref == 0)
			w.is.True(a.Ref != 0 || strings.Contains(a.Reason, "status 400"))
		}
	})
	t.Run("a large record that never arrives", func(t *testing.T) {
		w := newWriter(t, 1)
		j := &job{Job: Job{ID: "00000000000000aa"}, phase: ended, finalState: StateFailed, reason: strings.Repeat("x", 300_000), version: 1}
		w.jobs[j.ID] = j
		w.commits.addProgress(j)
		w.run(1000, func(k CommitCmd) Outcome {
			if countBytes(k) > 200_000 {
				return Unknown
			}
			return Written
		})
		w.is.Equal(len(w.commits.setAside), 1)
		w.is.True(!w.commits.failing)
	})
}
