package batch_test

import (
	"testing"

	"github.com/matryer/is"

	"burdockreach.dev/fleet/batch"
)

// peakResult is what the callers and the platform saw of a load peak.
type peakResult struct {
	inTime, refused, jobs int
	moves, throttled      int
	maintained            bool
}

// largePeak simulates a fleet of 150 machines in which one pool needs about five times its own machines for five
// seconds. The platform takes limit orders per second, and the owner is configured for configured ones. A wave of upkeep
// is due in the quiet pool.
func largePeak(t *testing.T, configured float64, limit int) peakResult {
	t.Helper()
	w := newSimulation(t, 3, 0, faults{})
	w.ordersPerSec, w.fleet.ordersPerSec = configured, limit
	w.fleet.services = []batch.Service{{Name: "busy", Guards: true}, {Name: "quiet", Guards: true}, {Name: "parked", Standby: true}}
	for i := range 150 {
		w.fleet.add([]string{"busy", "quiet", "quiet", "parked", "parked"}[i%5], batch.Size{CPU: 8000, MemMB: 16_000})
	}
	w.owners = nil
	w.startOwner()
	var wave []string
	for _, m := range w.fleet.machines {
		if m.pool == "quiet" && len(wave) < 10 {
			wave = append(wave, m.name)
		}
	}
	r := peakResult{}
	sentAt, doneAt := map[string]int64{}, map[string]int64{}
	w.run(30_000, func() {
		if w.now == 6_000 {
			w.fleet.orderWave(batch.WaveMsg{Number: 1, Machines: wave, DurationMs: 20_000, MaxDown: 5})
		}
		if w.now > 6_000 && w.now <= 11_000 && w.now%10 == 0 {
			r.jobs++
			j := plainJob(r.jobs)
			j.Service = "busy"
			sentAt[j.ID] = w.now
			w.submit(j)
		}
		for id := range sentAt {
			if doneAt[id] == 0 && w.owners[0].m.State(id) == batch.StateCompleted {
				doneAt[id] = w.now
			}
		}
	})
	w.report()
	const objectiveMs = 2_500
	for id, at := range sentAt {
		if doneAt[id] != 0 && doneAt[id]-at <= objectiveMs {
			r.inTime++
		}
	}
	for _, k := range w.refs {
		r.refused += k.Refused
	}
	r.moves, r.throttled, r.maintained = w.fleet.moves, w.fleet.throttled, w.fleet.reportedDone[1]
	return r
}

// A fleet of hundreds of machines follows a load peak only as fast as orders to machines are taken. The owner uses the
// platform's limit without exceeding it, and shares it with upkeep.
func TestOrdersFollowPlatformLimit(t *testing.T) {
	slow, fast := largePeak(t, 10, 10), largePeak(t, 300, 300)
	t.Logf("10 orders per second: %+v; 300: %+v", slow, fast)
	t.Run("a higher limit serves more callers in time", func(t *testing.T) {
		is := is.New(t)
		is.True(fast.inTime >= slow.inTime+slow.jobs/5)
		is.True(fast.refused <= slow.refused)
		is.True(fast.moves >= 90) // the parked and the quiet machines that the peak needs.
	})
	t.Run("the limit is kept", func(t *testing.T) {
		is := is.New(t)
		is.Equal(slow.throttled, 0)
		is.Equal(fast.throttled, 0)
	})
	t.Run("upkeep gets its share", func(t *testing.T) {
		is := is.New(t)
		is.True(slow.maintained)
		is.True(fast.maintained)
	})
	t.Run("a platform that takes less than configured", func(t *testing.T) {
		is := is.New(t)
		r := largePeak(t, 300, 60)
		t.Logf("%+v", r)
		is.True(r.maintained)
		is.True(r.throttled <= r.moves)                              // a refusal pauses the orders, so that few are refused.
		is.True(r.inTime >= slow.inTime+(fast.inTime-slow.inTime)/2) // the peak needs some 120 machines within two seconds.
	})
}
