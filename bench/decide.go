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

// Aims of the table.
const (
	leastGoodput   = 0.97
	mostOfBound    = 1.1 // a wave's time beside the least
	mostOfNaive    = 0.7 // spare VMs beside a fixed share
	mostOfMoves    = 1.2 // moves beside hindsight
	perService     = 10  // VMs of a service
	rackVMs        = 4
	survivedRacks  = 1
	hoursOfTheDay  = 24
	waveBudget     = 2
	busiestEntry   = 3.0 // times the requests of the next one
	shapedTurnsFor = "three entries, the busiest asked 3 times as much"
)

// turns compares the ways to share slots over the five-fold turns.
func turns(seed uint64) []row {
	var rows []row
	for _, c := range []struct {
		name string
		opts []share.TraceOption
	}{
		{"one entry", []share.TraceOption{share.WithEntries(1)}},
		{"three entries asked alike", nil},
		{shapedTurnsFor, []share.TraceOption{share.WithSkew(busiestEntry)}},
	} {
		t := share.FiveFoldBursts(seed, c.opts...)
		l, q, f, s := share.Replay(t, share.Lending), share.Replay(t, share.FIFO), share.Replay(t, share.Fixed), share.Replay(t, share.Overcommit)
		rows = append(rows, row{
			what:   "goodput over the five-fold turns, " + c.name,
			ours:   fmt.Sprintf("%.3f of capacity", l.Goodput()),
			beside: fmt.Sprintf("first come first served %.3f; static shares %.3f; send and be refused %.3f", q.Goodput(), f.Goodput(), s.Goodput()),
			aim:    fmt.Sprintf("at least %.2f", leastGoodput), kept: l.Goodput() >= leastGoodput,
		}, row{
			what:   "urgent requests in time, " + c.name,
			ours:   fmt.Sprintf("%.4f, p99 %v", l.InTime(sched.Urgent), l.Quantile(sched.Urgent, 0.99).Round(time.Millisecond)),
			beside: fmt.Sprintf("first come first served %.4f; static shares %.4f; send and be refused %.4f", q.InTime(sched.Urgent), f.InTime(sched.Urgent), s.InTime(sched.Urgent)),
			aim:    "all", kept: l.InTime(sched.Urgent) == 1,
		}, row{
			what:   "time to normal goodput after a turn, " + c.name,
			ours:   l.Recovery().Round(time.Millisecond).String(),
			beside: fmt.Sprintf("first come first served %v", q.Recovery().Round(time.Millisecond)),
			aim:    "below first come first served", kept: l.Recovery() <= q.Recovery(),
		})
	}
	return rows
}

// deployments are the two days of the users.
var deployments = []struct {
	name   string
	strike bool
}{{"Kijani's day", false}, {"Picketline's strike day", true}}

// days compares moves and spare VMs over the days of both deployments.
func days(seed int64) []row {
	var rows []row
	for _, d := range deployments {
		t := spare.DayTrace(seed, d.strike)
		a, n := spare.Replay(t, spare.New()), spare.Replay(t, spare.NewThreshold())
		ratio := float64(a.Moves) / float64(max(1, a.PlanMoves))
		rows = append(rows, row{
			what: "VM moves, " + d.name, ours: fmt.Sprintf("%d (%.2f of hindsight); late %.4f", a.Moves, ratio, a.LateShare),
			beside: fmt.Sprintf("hindsight %d; at each threshold %d, late %.4f", a.PlanMoves, n.Moves, n.LateShare),
			aim:    fmt.Sprintf("at most %.1f of hindsight", mostOfMoves), kept: ratio <= mostOfMoves,
		}, buffers(t, d.name))
	}
	return rows
}

// buffers compares the spare VMs that keep the profiles through the loss of a rack, over the hours of the day.
func buffers(t spare.Trace, name string) row {
	var s spare.Buffer
	for h := range hoursOfTheDay {
		b := spare.Buffers(t.Needs(h), rackVMs, survivedRacks)
		s.Shared, s.PerPool, s.EqualShare = s.Shared+b.Shared, s.PerPool+b.PerPool, s.EqualShare+b.EqualShare
	}
	ratio := float64(s.Shared) / float64(s.EqualShare)
	return row{
		what: "spare VM hours that survive a rack, " + name, ours: fmt.Sprintf("%d (%.2f of naive)", s.Shared, ratio),
		beside: fmt.Sprintf("fixed share for each pool %d; least for each pool alone %d", s.EqualShare, s.PerPool),
		aim:    fmt.Sprintf("at most %.1f of naive", mostOfNaive), kept: ratio <= mostOfNaive,
	}
}

// waves compares a wave's time with the least that the budget allows.
func waves(seed int64) []row {
	var rows []row
	for _, out := range []int{1, waveBudget} {
		r := wave.Replay(wave.DeploymentTrace(seed, perService, out))
		ratio := float64(r.TookMillis) / float64(max(1, r.ScheduleMillis))
		rows = append(rows, row{
			what: fmt.Sprintf("time of a wave over 58 VMs, %d of a service out at most", out),
			ours: fmt.Sprintf("%v (%.2f of the least); at most %d out", millis(r.TookMillis), ratio, r.MaxOut), beside: "least " + millis(r.ScheduleMillis).String(),
			aim: fmt.Sprintf("at most %.1f of the least", mostOfBound), kept: r.TookMillis > 0 && ratio <= mostOfBound && r.MaxOut <= out,
		})
	}
	return rows
}

// Sizes of the night of jobs.
const (
	nightWorkers = 20
	nightJobs    = 2400
	mostUrgent   = 1500 // milliseconds until an urgent job starts
)

// nights compares the placement of jobs with first fit on declared sizes.
func nights(seed int64) []row {
	t := place.NightTrace(seed, nightWorkers, nightJobs)
	a, f := place.Replay(t, place.New()), place.Replay(t, place.NewFirstFit())
	return []row{{
		what:   fmt.Sprintf("jobs of a night in time, %d workers", nightWorkers),
		ours:   fmt.Sprintf("%d of %d runnable; %d failed attempts, %d with two copies", a.InTime, a.Runnable, a.Failures, a.DuplicateStarts),
		beside: fmt.Sprintf("first fit on declared sizes %d; %d failed attempts", f.InTime, f.Failures),
		aim:    "all, none with two copies", kept: a.InTime == a.Runnable && a.DuplicateStarts == 0,
	}, {
		what: "longest wait of an urgent job, pool full of background jobs", ours: fmt.Sprintf("%d ms", a.MaxUrgentWaitMillis),
		beside: fmt.Sprintf("first fit %d ms", f.MaxUrgentWaitMillis), aim: fmt.Sprintf("at most %d ms", mostUrgent), kept: a.MaxUrgentWaitMillis <= mostUrgent,
	}, {
		what: "core hours of attempts that did not end well", ours: fmt.Sprintf("%.1f", float64(a.WastedCoreMillis)/float64(time.Hour.Milliseconds())),
		beside: fmt.Sprintf("first fit %.1f", float64(f.WastedCoreMillis)/float64(time.Hour.Milliseconds())), aim: "below first fit", kept: a.WastedCoreMillis < f.WastedCoreMillis,
	}}
}

func millis(n int64) time.Duration {
	return (time.Duration(n) * time.Millisecond).Round(time.Second)
}
