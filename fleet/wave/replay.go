package wave

import (
	"fmt"
	"math/rand"
	"slices"

	"burdockreach.dev/fleet/pool"
)

const (
	replayStepMillis   = 250
	replayReportMillis = 1_000       // between lists, and between words from the entries.
	replayStallMillis  = 20 * 60_000 // without a write, after which a wave counts as stopped.
	replayMaxMillis    = 24 * 3_600_000
)

// TraceVM is one VM of a replay with the times that its maintenance takes.
type TraceVM struct {
	Name, DataCentre, Rack, Pool string
	DrainMillis, RebootMillis    int64
	Wrecked                      bool  // its reboot never ends.
	FailsAt, BackAt              int64 // an unplanned failure; none if BackAt is 0.
}

// Trace is a maintenance wave in virtual time.
type Trace struct {
	VMs      []TraceVM
	Services []ServiceRule
	Entries  int // entries of each data centre.
}

// Result is what a replay measured; times are in milliseconds.
type Result struct {
	Took     int64 // until every VM that can has finished the wave; 0 if that never came.
	Least    int64 // longest of the services' schedules, longest job first, with the same times and nothing in between.
	Bound    int64 // no schedule is shorter: the larger of total time by room and the longest VM.
	MaxOut   int   // most VMs of one service that were out at once.
	Racks    float64
	Lost     int // VMs that did not come back.
	Messages int
	Writes   int
}

// DayTrace returns the wave over one deployment: five services in three data centres and a spare pool, four VMs a rack.
func DayTrace(seed int64, perService, maxOut int) Trace {
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
		t.Services = append(t.Services, ServiceRule{Name: p, Pool: p, MaxOut: maxOut, DrainMillis: 60_000, RebootMillis: 300_000})
		for i := range perService {
			add(p, i)
		}
	}
	for i := range 8 {
		add("office", i)
	}
	return t
}

// replay is a small fleet in virtual time without faults of the store.
type replay struct {
	trace              Trace
	now                int64
	revision           int64
	shards             map[string]*pool.Table
	budgets            map[string]BudgetMsg
	planners           map[string]*Planner
	vms                map[string]*replayVM
	names              []string         // data centres.
	deliveredRevisions map[string]int64 // by data centre and service: revision that its planner was told of.
	result             Result
	lastWriteAt        int64 // time of the last write.
	rackSum            float64
	rackSamples        int
}

// replayVM is the state of one VM of a replay.
type replayVM struct {
	TraceVM
	boot          int64
	drainingSince int64 // since when the entries see it draining.
	rebootEndsAt  int64 // when a running reboot ends.
	down, failing bool
}

// Replay runs the wave with one planner a data centre and returns what it measured.
func Replay(t Trace, opts ...Option) Result {
	r := newReplay(t, opts)
	for r.now = 0; r.now < replayMaxMillis; r.now += replayStepMillis {
		r.advanceVMs()
		for _, dc := range r.names {
			r.deliverBudgets(dc)
			if r.now%replayReportMillis == 0 {
				r.deliver(dc, FreshMsg{At: r.now})
				r.deliverStatus(dc)
			}
		}
		r.measure()
		if r.isDone() {
			r.result.Took = r.now
			break
		}
		if r.now-r.lastWriteAt > replayStallMillis {
			break
		}
	}
	r.result.Least, r.result.Bound = t.bounds()
	r.result.Racks = r.rackSum / float64(max(r.rackSamples, 1))
	for _, v := range r.vms {
		if v.Wrecked && v.down {
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
		if !slices.Contains(r.names, v.DataCentre) {
			r.names = append(r.names, v.DataCentre)
		}
	}
	for _, dc := range r.names {
		table := pool.NewTable(pool.Count)
		r.shards[dc], r.planners[dc] = &table, New(dc, pool.Count, opts...)
		r.deliver(dc, PolicyMsg{Services: t.Services, Waves: []Wave{{ID: "w", Pools: t.pools()}}})
	}
	return r
}

func (t Trace) pools() []string {
	var l []string
	for _, v := range t.VMs {
		if !slices.Contains(l, v.Pool) {
			l = append(l, v.Pool)
		}
	}
	return l
}

// advanceVMs lets reboots and failures begin and end.
func (r *replay) advanceVMs() {
	for _, v := range r.vms {
		if v.rebootEndsAt > 0 && r.now >= v.rebootEndsAt && !v.Wrecked {
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

// deliverBudgets gives a planner the budgets that others have changed.
func (r *replay) deliverBudgets(dc string) {
	for _, s := range r.trace.Services {
		b, k := r.budgets[s.Name], dc+" "+s.Name
		if b.Revision > r.deliveredRevisions[k] {
			r.deliveredRevisions[k] = b.Revision
			r.deliver(dc, BudgetMsg{At: r.now, Service: s.Name, Budget: b.Budget, Revision: b.Revision})
		}
	}
}

// deliverStatus gives a planner the platform's list and the entries' word.
func (r *replay) deliverStatus(dc string) {
	l := []Host{}
	heard := HeardMsg{At: r.now}
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
			heard.Drained = append(heard.Drained, Drained{VM: v.Name, Number: r.shards[dc].Shard(r.shards[dc].Index(v.Name)).Number()})
		}
	}
	for i := range r.trace.Entries {
		heard.Entry = fmt.Sprintf("%s-e%d", dc, i)
		l = append(l, Host{Name: heard.Entry, Entry: true})
		r.deliver(dc, heard)
	}
	r.deliver(dc, HostsMsg{At: r.now, Hosts: l})
	r.deliver(dc, TickMsg{At: r.now})
}

// deliver gives the planner a message and performs all that follows from it.
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

func (r *replay) perform(dc string, c Cmd) Msg {
	switch c := c.(type) {
	case ReadShardCmd:
		return ShardMsg{At: r.now, Shard: r.shards[dc].Shard(c.Index), Revision: r.shards[dc].Revision(c.Index)}
	case ReadBudgetCmd:
		return BudgetMsg{At: r.now, Service: c.Service, Budget: r.budgets[c.Service].Budget, Revision: r.budgets[c.Service].Revision}
	case WriteShardCmd:
		i := c.Shard.Index()
		if r.shards[dc].Revision(i) != c.Revision {
			return WroteShardMsg{At: r.now, Index: i, Outcome: Conflict}
		}
		r.revision++
		r.result.Writes, r.lastWriteAt = r.result.Writes+1, r.now
		*r.shards[dc] = r.shards[dc].Replace(i, c.Shard, r.revision)
		return WroteShardMsg{At: r.now, Index: i, Revision: r.revision}
	case WriteBudgetCmd:
		if r.budgets[c.Service].Revision != c.Revision {
			return WroteBudgetMsg{At: r.now, Service: c.Service, Outcome: Conflict}
		}
		r.revision++
		r.result.Writes, r.lastWriteAt = r.result.Writes+1, r.now
		r.budgets[c.Service] = BudgetMsg{Budget: c.Budget, Revision: r.revision}
		return WroteBudgetMsg{At: r.now, Service: c.Service, Revision: r.revision}
	case RebootCmd:
		if v := r.vms[c.VM]; !v.down {
			v.down, v.rebootEndsAt = true, r.now+v.RebootMillis
		}
		return RebootedMsg{At: r.now, VM: c.VM, Op: c.Op}
	}
	return nil
}

func (r *replay) measure() {
	out, racks := map[string]int{}, map[string]bool{}
	for _, dc := range r.names {
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

func (r *replay) isDone() bool {
	for _, v := range r.vms {
		m, ok := r.shards[v.DataCentre].Find(v.Name)
		if !ok || m.Wave != "w" || m.State != pool.Serving {
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

// bounds returns the longest of the services' schedules with the same times, and a bound under every schedule.
func (t Trace) bounds() (least, bound int64) {
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
		bound = max(bound, sum/int64(s.MaxOut), l[len(l)-1])
		room := make([]int64, s.MaxOut)
		for _, d := range slices.Backward(l) {
			room[0] += d
			slices.Sort(room)
		}
		least = max(least, room[len(room)-1])
	}
	return least, bound
}
