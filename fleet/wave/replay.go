package wave

import (
	"fmt"
	"math/rand"
	"slices"

	"burdockreach.dev/fleet/pool"
)

const (
	replayStepMillis   = 250
	replayReportMillis = 1_000       // between host lists, and between reports of the entries.
	replayStallMillis  = 20 * 60_000 // time without a write after which a wave counts as stopped.
	replayMaxMillis    = 24 * 3_600_000
)

// TraceVM is one VM of a replay with the durations of its maintenance.
type TraceVM struct {
	Name, DataCentre, Rack, Pool string
	DrainMillis, RebootMillis    int64
	RebootHangs                  bool  // the reboot never ends.
	FailsAt, BackAt              int64 // start and end of an unplanned failure, in milliseconds; none if BackAt is 0.
}

// Trace is the input of a replay: a fleet with one maintenance wave over all pools.
type Trace struct {
	VMs      []TraceVM
	Services []ServicePolicy
	Entries  int // number of entries in each data centre.
}

// Result holds the measurements of a replay; times are in milliseconds.
type Result struct {
	TookMillis       int64   // until every VM has finished the wave; 0 if that never happened.
	ScheduleMillis   int64   // the longest of the services' schedules by the longest job first, with the same times and no gaps.
	LowerBoundMillis int64   // lower bound of any schedule: the larger of total time by MaxOut and the longest VM.
	MaxOut           int     // most VMs of one service that were out at once.
	MeanRacksOut     float64 // mean number of racks with VMs out, over the samples with any out.
	Lost             int     // VMs that did not come back.
	Messages         int     // messages to the planners.
	Writes           int     // writes that were applied.
}

// DeploymentTrace returns a wave over one deployment: five services and an idle pool in three data centres, with four VMs a rack.
func DeploymentTrace(seed int64, perService, maxOut int) Trace {
	r := rand.New(rand.NewSource(seed))
	t := Trace{Entries: 3}
	n := map[string]int{}
	add := func(p string, i int) {
		dc := fmt.Sprintf("dc%d", i%3)
		k := n[dc]
		n[dc]++
		t.VMs = append(t.VMs, TraceVM{
			Name: fmt.Sprintf("%s-%s-%d", dc, p, i), DataCentre: dc, Rack: fmt.Sprintf("%s-r%d", dc, k/4), Pool: p,
			DrainMillis: 5_000 + r.Int63n(25_000), RebootMillis: 60_000 + r.Int63n(60_000),
		})
	}
	for _, p := range []string{"orders", "routes", "batches", "ledgers", "checks"} {
		t.Services = append(t.Services, ServicePolicy{Name: p, Pool: p, MaxOut: maxOut, DrainMillis: 60_000, RebootMillis: 300_000})
		for i := range perService {
			add(p, i)
		}
	}
	for i := range 8 {
		add("office", i)
	}
	return t
}

// replay simulates a fleet in virtual time, with a store that never fails.
type replay struct {
	trace              Trace
	now                int64
	revision           int64
	shards             map[string]*pool.Table
	budgets            map[string]BudgetMsg
	planners           map[string]*Planner
	vms                map[string]*replayVM
	dataCentres        []string         // data centres.
	deliveredRevisions map[string]int64 // by data centre and service: revision last delivered to the planner.
	result             Result
	lastWriteAt        int64 // time of the last write.
	rackSum            float64
	rackSamples        int
}

// replayVM is the state of one VM of a replay.
type replayVM struct {
	TraceVM
	boot          int64
	drainingSince int64 // start of the drain; 0 while the membership does not show one.
	rebootEndsAt  int64 // end of the running reboot; 0 while none runs.
	down, failing bool
}

// Replay runs the wave with one planner for each data centre and returns the measurements.
func Replay(t Trace, opts ...Option) Result {
	r := newReplay(t, opts)
	for r.now = 0; r.now < replayMaxMillis; r.now += replayStepMillis {
		r.advanceVMs()
		for _, dc := range r.dataCentres {
			r.deliverBudgets(dc)
			if r.now%replayReportMillis == 0 {
				r.deliver(dc, DocumentsFreshMsg{At: r.now})
				r.deliverStatus(dc)
			}
		}
		r.measure()
		if r.isDone() {
			r.result.TookMillis = r.now
			break
		}
		if r.now-r.lastWriteAt > replayStallMillis {
			break
		}
	}
	r.result.ScheduleMillis, r.result.LowerBoundMillis = t.bounds()
	r.result.MeanRacksOut = r.rackSum / float64(max(r.rackSamples, 1))
	for _, v := range r.vms {
		if v.RebootHangs && v.down {
			r.result.Lost++
		}
	}
	return r.result
}

func newReplay(t Trace, opts []Option) *replay {
	r := &replay{
		trace: t, shards: map[string]*pool.Table{}, budgets: map[string]BudgetMsg{},
		planners: map[string]*Planner{}, vms: map[string]*replayVM{}, deliveredRevisions: map[string]int64{},
	}
	for _, v := range t.VMs {
		r.vms[v.Name] = &replayVM{TraceVM: v, boot: 1}
		if !slices.Contains(r.dataCentres, v.DataCentre) {
			r.dataCentres = append(r.dataCentres, v.DataCentre)
		}
	}
	for _, dc := range r.dataCentres {
		table := pool.NewTable(pool.ShardCount)
		r.shards[dc], r.planners[dc] = &table, New(dc, pool.ShardCount, opts...)
		r.deliver(dc, PolicyMsg{Services: t.Services, Waves: []Wave{{ID: "w", Pools: t.pools()}}})
	}
	return r
}

// pools returns the names of all pools in order of first use.
func (t Trace) pools() []string {
	var l []string
	for _, v := range t.VMs {
		if !slices.Contains(l, v.Pool) {
			l = append(l, v.Pool)
		}
	}
	return l
}

// advanceVMs begins and ends reboots, failures and drains that are due.
func (r *replay) advanceVMs() {
	for _, v := range r.vms {
		if v.rebootEndsAt > 0 && r.now >= v.rebootEndsAt && !v.RebootHangs {
			v.rebootEndsAt, v.down = 0, false
			v.boot++
		}
		v.failing = v.BackAt > 0 && r.now >= v.FailsAt && r.now < v.BackAt
		if m, ok := r.shards[v.DataCentre].Find(v.Name); !ok || m.State != pool.Draining {
			v.drainingSince = 0
		} else if v.drainingSince == 0 {
			v.drainingSince = r.now
		}
	}
}

// deliverBudgets delivers changed budgets to the data centre's planner.
func (r *replay) deliverBudgets(dc string) {
	for _, s := range r.trace.Services {
		b, k := r.budgets[s.Name], dc+" "+s.Name
		if b.Revision > r.deliveredRevisions[k] {
			r.deliveredRevisions[k] = b.Revision
			r.deliver(dc, BudgetMsg{At: r.now, Service: s.Name, Budget: b.Budget, Revision: b.Revision})
		}
	}
}

// deliverStatus delivers the host list and the entries' reports to the data centre's planner, then a tick.
func (r *replay) deliverStatus(dc string) {
	l := []Host{}
	heard := EntryReportMsg{At: r.now}
	for _, v := range r.trace.VMs {
		if v.DataCentre != dc {
			continue
		}
		s := r.vms[v.Name]
		h := Host{Name: v.Name, Pool: v.Pool, Rack: v.Rack, Boot: s.boot}
		if s.down || s.failing {
			h.State = Leaving
		}
		l = append(l, h)
		if s.drainingSince > 0 && r.now-s.drainingSince >= v.DrainMillis {
			heard.Drained = append(heard.Drained, Drained{VM: v.Name, Version: r.shards[dc].Shard(r.shards[dc].Index(v.Name)).Version()})
		}
	}
	for i := range r.trace.Entries {
		heard.Entry = fmt.Sprintf("%s-e%d", dc, i)
		l = append(l, Host{Name: heard.Entry, RunsEntry: true})
		r.deliver(dc, heard)
	}
	r.deliver(dc, HostsMsg{At: r.now, Hosts: l})
	r.deliver(dc, TickMsg{At: r.now})
}

// deliver sends a message to the planner, performs its commands and delivers their results.
func (r *replay) deliver(dc string, m Msg) {
	queue := []Msg{m}
	for len(queue) > 0 {
		for _, c := range r.planners[dc].Update(queue[0]) {
			if n := r.perform(dc, c); n != nil {
				queue = append(queue, n)
			}
		}
		r.result.Messages++
		queue = queue[1:]
	}
}

// perform runs one command and returns its result, or nil if it has none.
func (r *replay) perform(dc string, c Cmd) Msg {
	switch c := c.(type) {
	case ReadShardCmd:
		return ShardMsg{At: r.now, Shard: r.shards[dc].Shard(c.Index), Revision: r.shards[dc].Revision(c.Index)}
	case ReadBudgetCmd:
		return BudgetMsg{At: r.now, Service: c.Service, Budget: r.budgets[c.Service].Budget, Revision: r.budgets[c.Service].Revision}
	case WriteShardCmd:
		i := c.Shard.Index()
		if r.shards[dc].Revision(i) != c.Revision {
			return ShardWrittenMsg{At: r.now, Index: i, Outcome: Conflict}
		}
		r.revision++
		r.result.Writes, r.lastWriteAt = r.result.Writes+1, r.now
		*r.shards[dc] = r.shards[dc].Replace(i, c.Shard, r.revision)
		return ShardWrittenMsg{At: r.now, Index: i, Revision: r.revision}
	case WriteBudgetCmd:
		if r.budgets[c.Service].Revision != c.Revision {
			return BudgetWrittenMsg{At: r.now, Service: c.Service, Outcome: Conflict}
		}
		r.revision++
		r.result.Writes, r.lastWriteAt = r.result.Writes+1, r.now
		r.budgets[c.Service] = BudgetMsg{Budget: c.Budget, Revision: r.revision}
		return BudgetWrittenMsg{At: r.now, Service: c.Service, Revision: r.revision}
	case RebootCmd:
		if v := r.vms[c.VM]; !v.down {
			v.down, v.rebootEndsAt = true, r.now+v.RebootMillis
		}
		return RebootedMsg{At: r.now, VM: c.VM, Op: c.Op}
	}
	return nil
}

// measure samples the VMs and racks that are out.
func (r *replay) measure() {
	out, racks := map[string]int{}, map[string]bool{}
	for _, dc := range r.dataCentres {
		for m := range r.shards[dc].Busy() {
			if m.State != pool.Serving {
				out[m.Pool]++
				racks[m.Rack] = true
			}
		}
	}
	for _, s := range r.trace.Services {
		r.result.MaxOut = max(r.result.MaxOut, out[s.Pool])
	}
	if len(racks) > 0 {
		r.rackSum += float64(len(racks))
		r.rackSamples++
	}
}

// isDone reports whether every VM has finished the wave and serves, and every budget is empty.
func (r *replay) isDone() bool {
	for _, v := range r.vms {
		m, ok := r.shards[v.DataCentre].Find(v.Name)
		if !ok || m.FinishedWave != "w" || m.State != pool.Serving {
			return false
		}
	}
	for _, b := range r.budgets {
		if b.Budget.Out() > 0 {
			return false
		}
	}
	return true
}

// bounds returns the longest of the services' schedules by the longest job first, and a lower bound of any schedule.
func (t Trace) bounds() (schedule, lowerBound int64) {
	for _, s := range t.Services {
		var l []int64
		var sum int64
		for _, v := range t.VMs {
			if v.Pool == s.Pool {
				l = append(l, v.DrainMillis+v.RebootMillis)
				sum += v.DrainMillis + v.RebootMillis
			}
		}
		if len(l) == 0 {
			continue
		}
		slices.Sort(l)
		lowerBound = max(lowerBound, sum/int64(s.MaxOut), l[len(l)-1])
		room := make([]int64, s.MaxOut)
		for _, d := range slices.Backward(l) {
			room[0] += d
			slices.Sort(room)
		}
		schedule = max(schedule, room[len(room)-1])
	}
	return schedule, lowerBound
}
