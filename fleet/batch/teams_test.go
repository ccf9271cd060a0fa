package batch_test

import (
	"testing"

	"github.com/matryer/is"

	"burdockreach.dev/fleet/batch"
)

// teamJobOf returns a job of the team: wide, large or of two steps.
func teamJobOf(n int, team string) batch.Job {
	j := plainJob(n)
	j.Team, j.ObjectiveExtraMs = team, 4_000
	switch n % 7 {
	case 1: // wider than the small team may run.
		j.Steps = []batch.Step{{Count: 8, Size: batch.Size{CPU: 1_000, MemMB: 500}, EstimateMs: 600}}
	case 3: // larger than a fallen limit.
		j.Steps = []batch.Step{{Count: 2, Size: batch.Size{CPU: 3_500, MemMB: 2_500}, EstimateMs: 900}}
	}
	return j
}

// playTeams lets teams with unequal limits, which fall and rise, share eight workers while workers crash, fall silent and start tasks
// late, and while owners follow each other.
func playTeams(t *testing.T, seed uint64, f faults) *simulation {
	t.Helper()
	w := newSimulation(t, seed, 0, faults{})
	c := w.watchTeams()
	for range 8 {
		w.fleet.add("s", batch.Size{CPU: 8_000, MemMB: 16_000})
	}
	w.owners = nil
	w.faults = f
	for _, x := range unequalTeams() {
		c.set(x)
	}
	w.startOwner()
	w.submit(teamLastingJob(900_001))
	n := 0
	w.run(45_000, func() {
		if w.now%200 == 0 {
			for _, x := range unequalTeams() {
				if w.rnd.IntN(5) < 2 {
					n++
					w.submit(teamJobOf(n, x.Name))
				}
			}
		}
		if w.now%2_000 == 0 {
			c.fallAndRise(unequalTeams()[:3])
		}
		if w.now == 15_000 && len(w.owners) == 1 {
			w.depose(w.owners[0])
		}
		if w.now%50 == 0 {
			c.checkWaits()
		}
	})
	w.faults = faults{}
	for _, x := range unequalTeams() {
		c.set(x)
	}
	for _, a := range w.owners {
		clear(a.unreachable)
	}
	w.run(110_000, nil)
	w.checkSettled()
	return w
}

func teamLastingJob(n int) batch.Job {
	j := lastingStepJob(n, 2, 1)
	j.Team = "middle"
	return j
}

// The workers' own count of what teams run must stay within the limits, jobs of a team with room must not wait, and all accepted jobs
// must end.
func TestTeamLimits(t *testing.T) {
	for _, c := range []struct {
		name string
		f    faults
	}{
		{"calm", faults{}},
		{"crashes", faults{crash: 3, restart: 2}},
		{"silent workers", faults{cut: 6, lapse: 300}},
		{"late starts", faults{late: 20, lost: 20}},
		{"owners", faults{depose: 1, cut: 4, lapse: 300}},
		{"all", faults{crash: 2, cut: 4, late: 10, lost: 10, depose: 1, lapse: 300, slow: 30, storeLost: 20}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for s := uint64(1); s <= (*chaosSeeds+2)/3; s++ {
				w := playTeams(t, s, c.f)
				w.report()
				is.New(t).True(w.teams.peak["small"] >= 4_000) // the limits were reached.
				if t.Failed() {
					return
				}
			}
		})
	}
}
