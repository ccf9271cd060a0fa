package main

import (
	"fmt"
	"time"

	"burdockreach.dev/fleet/place"
	"burdockreach.dev/fleet/spare"
	"burdockreach.dev/fleet/wave"
	"burdockreach.dev/flow/sched"
	"burdockreach.dev/flow/share"
)

// Goals of the replayed rows, and the sizes of their fleets.
const (
	minGoodput       = 0.97
	maxWaveRatio     = 1.1 // duration of a maintenance wave, as a multiple of the shortest that the budget allows
	maxSpareRatio    = 0.7 // spare VMs, as a share of those with a fixed share for each pool
	maxMoveRatio     = 1.2 // VM moves, as a multiple of those in the plan of least cost that knows each hour's need
	vmsPerService    = 10
	vmsPerRack       = 4
	survivedRacks    = 1
	hoursPerDay      = 24
	maxOutPerService = 2
	busiestEntryLoad = 3.0 // requests, as a multiple of the next busiest entry's
	skewedLoadLabel  = "three entries, the busiest asked 3 times as much"
)

// sharingRows compares the ways to share slots, on a trace of turns in which demand is five times its mean.
func sharingRows(seed uint64) []row {
	var rows []row
	for _, c := range []struct {
		name string
		opts []share.TraceOption
	}{
		{"one entry", []share.TraceOption{share.WithEntries(1)}},
		{"three entries asked alike", nil},
		{skewedLoadLabel, []share.TraceOption{share.WithSkew(busiestEntryLoad)}},
	} {
		t := share.FiveFoldBursts(seed, c.opts...)
		l, q, f, s := share.Replay(t, share.Lending), share.Replay(t, share.FIFO), share.Replay(t, share.Fixed), share.Replay(t, share.Overcommit)
		rows = append(rows, row{
			metric:   "goodput over the five-fold turns, " + c.name,
			result:   fmt.Sprintf("%.3f of capacity", l.Goodput()),
			baseline: fmt.Sprintf("first come first served %.3f; static shares %.3f; send and be refused %.3f", q.Goodput(), f.Goodput(), s.Goodput()),
			goal:     fmt.Sprintf("at least %.2f", minGoodput), goalMet: l.Goodput() >= minGoodput,
		}, row{
			metric:   "urgent requests in time, " + c.name,
			result:   fmt.Sprintf("%.4f, p99 %v", l.InTime(sched.Urgent), l.Quantile(sched.Urgent, 0.99).Round(time.Millisecond)),
			baseline: fmt.Sprintf("first come first served %.4f; static shares %.4f; send and be refused %.4f", q.InTime(sched.Urgent), f.InTime(sched.Urgent), s.InTime(sched.Urgent)),
			goal:     "all", goalMet: l.InTime(sched.Urgent) == 1,
		}, row{
			metric:   "time to normal goodput after a turn, " + c.name,
			result:   l.Recovery().Round(time.Millisecond).String(),
			baseline: fmt.Sprintf("first come first served %v", q.Recovery().Round(time.Millisecond)),
			goal:     "below first come first served", goalMet: l.Recovery() <= q.Recovery(),
		})
	}
	return rows
}

// deployments lists the simulated days: an ordinary day of one user and the strike day of the other.
var deployments = []struct {
	name   string
	strike bool
}{{"Kijani's day", false}, {"Picketline's strike day", true}}

// moveRows compares VM moves and spare VMs with their baselines over the day of each deployment.
func moveRows(seed int64) []row {
	var rows []row
	for _, d := range deployments {
		t := spare.DayTrace(seed, d.strike)
		a, n := spare.Replay(t, spare.New()), spare.Replay(t, spare.NewThreshold())
		ratio := float64(a.Moves) / float64(max(1, a.PlanMoves))
		rows = append(rows, row{
			metric: "VM moves, " + d.name, result: fmt.Sprintf("%d (%.2f of hindsight); late %.4f", a.Moves, ratio, a.LateShare),
			baseline: fmt.Sprintf("hindsight %d; at each threshold %d, late %.4f", a.PlanMoves, n.Moves, n.LateShare),
			goal:     fmt.Sprintf("at most %.1f of hindsight", maxMoveRatio), goalMet: ratio <= maxMoveRatio,
		}, spareRow(t, d.name))
	}
	return rows
}

// spareRow compares the spare VMs that keep every pool within its profile after the loss of a rack, summed over the hours of the day.
func spareRow(t spare.Trace, name string) row {
	var s spare.Buffer
	for h := range hoursPerDay {
		b := spare.Buffers(t.Needs(h), vmsPerRack, survivedRacks)
		s.Shared, s.PerPool, s.EqualShare = s.Shared+b.Shared, s.PerPool+b.PerPool, s.EqualShare+b.EqualShare
	}
	ratio := float64(s.Shared) / float64(s.EqualShare)
	return row{
		metric: "spare VM hours that survive a rack, " + name, result: fmt.Sprintf("%d (%.2f of naive)", s.Shared, ratio),
		baseline: fmt.Sprintf("fixed share for each pool %d; least for each pool alone %d", s.EqualShare, s.PerPool),
		goal:     fmt.Sprintf("at most %.1f of naive", maxSpareRatio), goalMet: ratio <= maxSpareRatio,
	}
}

// waveRows compares the duration of a maintenance wave with the shortest that the budget allows.
func waveRows(seed int64) []row {
	var rows []row
	for _, out := range []int{1, maxOutPerService} {
		r := wave.Replay(wave.DeploymentTrace(seed, vmsPerService, out))
		ratio := float64(r.TookMillis) / float64(max(1, r.ScheduleMillis))
		rows = append(rows, row{
			metric: fmt.Sprintf("time of a wave over 58 VMs, %d of a service out at most", out),
			result: fmt.Sprintf("%v (%.2f of the least); at most %d out", roundedSeconds(r.TookMillis), ratio, r.MaxOut), baseline: "least " + roundedSeconds(r.ScheduleMillis).String(),
			goal: fmt.Sprintf("at most %.1f of the least", maxWaveRatio), goalMet: r.TookMillis > 0 && ratio <= maxWaveRatio && r.MaxOut <= out,
		})
	}
	return rows
}

// Sizes of the simulated night of jobs, and the goal for its urgent jobs.
const (
	nightWorkers        = 20
	nightJobs           = 2400
	maxUrgentWaitMillis = 1500 // longest wait until an urgent job starts
)

// jobRows compares the placement of jobs with first-fit placement by declared sizes.
func jobRows(seed int64) []row {
	t := place.NightTrace(seed, nightWorkers, nightJobs)
	a, f := place.Replay(t, place.New()), place.Replay(t, place.NewFirstFit())
	return []row{{
		metric:   fmt.Sprintf("jobs of a night in time, %d workers", nightWorkers),
		result:   fmt.Sprintf("%d of %d runnable; %d failed attempts, %d with two copies", a.InTime, a.Runnable, a.Failures, a.DuplicateStarts),
		baseline: fmt.Sprintf("first fit on declared sizes %d; %d failed attempts", f.InTime, f.Failures),
		goal:     "all, none with two copies", goalMet: a.InTime == a.Runnable && a.DuplicateStarts == 0,
	}, {
		metric: "longest wait of an urgent job, pool full of background jobs", result: fmt.Sprintf("%d ms", a.MaxUrgentWaitMillis),
		baseline: fmt.Sprintf("first fit %d ms", f.MaxUrgentWaitMillis), goal: fmt.Sprintf("at most %d ms", maxUrgentWaitMillis), goalMet: a.MaxUrgentWaitMillis <= maxUrgentWaitMillis,
	}, {
		metric: "core hours of attempts that did not end well", result: fmt.Sprintf("%.1f", float64(a.WastedCoreMillis)/float64(time.Hour.Milliseconds())),
		baseline: fmt.Sprintf("first fit %.1f", float64(f.WastedCoreMillis)/float64(time.Hour.Milliseconds())), goal: "below first fit", goalMet: a.WastedCoreMillis < f.WastedCoreMillis,
	}}
}

func roundedSeconds(n int64) time.Duration {
	return (time.Duration(n) * time.Millisecond).Round(time.Second)
}
