package batch_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"burdockreach.dev/fakes/worker"
	"burdockreach.dev/fleet/batch"
)

// Times of the simulated machines, in ms.
const (
	moveMs        = 1_500
	upkeepMs      = 2_000
	minOrderGapMs = 3_000 // two owners must not order one machine within this time.
)

// fakeFleet holds the simulated machines and the operator's waves.
type fakeFleet struct {
	w            *simulation
	services     []batch.Service
	machines     []*fakeMachine
	pool         map[string]string // pool of each worker, by worker ID.
	waves        []batch.WaveMsg
	reportedDone map[int]bool // waves that were reported as completed.
	moves        int
	workerCount  int
	ordersPerSec int     // orders that the platform takes per second; 0 means no limit.
	orderTimes   []int64 // of the orders within the last second.
	throttled    int     // orders beyond the limit.
}

// fakeMachine is one simulated machine. Its worker ends with each move and each upkeep.
type fakeMachine struct {
	name, pool  string
	room        batch.Size
	worker      *worker.Worker
	backAt      int64 // when it is up again; 0 while it is up.
	state       batch.MachineState
	wave        int
	begun       map[int]bool
	lastOrderAt int64 // time of the last order.
	lastFence   int64 // highest fence of its orders.
}

func (p *fakeFleet) add(pool string, room batch.Size) {
	m := &fakeMachine{name: fmt.Sprintf("m%02d", len(p.machines)), pool: pool, room: room, state: batch.MachineUp, begun: map[int]bool{}}
	p.machines = append(p.machines, m)
	p.startWorker(m)
}

// startWorker starts a new worker on the machine.
func (p *fakeFleet) startWorker(m *fakeMachine) {
	w := p.w
	h := w.judge.Hooks()
	if w.teams != nil {
		h = w.teams.hooks(h)
	}
	m.worker = worker.New(fmt.Sprintf("w%02d", p.workerCount), m.room, 0.98+0.02*w.rnd.Float64(), w.now, h)
	m.worker.SetMaxLease(maxLeaseMs)
	p.workerCount++
	if p.pool == nil {
		p.pool = map[string]string{}
	}
	p.pool[m.worker.ID()] = m.pool
	w.workers = append(w.workers, m.worker)
}

// isOff reports whether the worker is gone or belongs to a pool whose machines are off.
func (p *fakeFleet) isOff(id string) bool {
	for _, m := range p.machines {
		if m.worker != nil && m.worker.ID() == id {
			return p.standby(m.pool)
		}
	}
	return true
}

func (p *fakeFleet) standby(pool string) bool {
	return slices.ContainsFunc(p.services, func(s batch.Service) bool { return s.Name == pool && s.Standby })
}

func (p *fakeFleet) list() []batch.Machine {
	l := []batch.Machine{}
	for _, m := range p.machines {
		x := batch.Machine{Name: m.name, Pool: m.pool, State: m.state, Room: m.room}
		switch {
		case m.worker == nil:
		case m.worker.PoweredOff():
			x.State = batch.MachineDown
		default:
			x.Worker = m.worker.ID()
		}
		l = append(l, x)
	}
	return l
}

// takeDown ends the machine's worker and takes the machine out for ms milliseconds.
func (p *fakeFleet) takeDown(m *fakeMachine, s batch.MachineState, ms int64) {
	m.worker.Crash(worker.Never)
	p.w.workers = slices.DeleteFunc(p.w.workers, func(f *worker.Worker) bool { return f == m.worker })
	m.worker, m.state, m.backAt = nil, s, p.w.now+ms
}

func (p *fakeFleet) step() {
	for _, m := range p.machines {
		if m.backAt != 0 && p.w.now >= m.backAt {
			m.backAt, m.state, m.wave = 0, batch.MachineUp, 0
			p.startWorker(m)
		}
	}
}

// checkOrder checks that orders to one machine come from one owner at a time.
func (p *fakeFleet) checkOrder(a *fakeOwner, m *fakeMachine) {
	if a.fence < m.lastFence {
		p.w.judge.AddViolation("ONE: %s is ordered under fence %d after %d", m.name, a.fence, m.lastFence)
	}
	if a.fence != m.lastFence && m.lastFence != 0 && p.w.now-m.lastOrderAt < minOrderGapMs {
		p.w.judge.AddViolation("ONE: %s is ordered by two owners within %d ms", m.name, p.w.now-m.lastOrderAt)
	}
	m.lastOrderAt, m.lastFence = p.w.now, max(m.lastFence, a.fence)
}

func (p *fakeFleet) move(a *fakeOwner, m *fakeMachine, pool string) batch.OrderResult {
	p.checkOrder(a, m)
	if m.state != batch.MachineUp {
		return batch.OrderBusy
	}
	if m.pool != pool {
		p.moves++
		m.pool = pool
		p.takeDown(m, batch.MachineMoving, moveMs)
	}
	return batch.OrderOK
}

func (p *fakeFleet) upkeep(a *fakeOwner, m *fakeMachine, wave int) batch.OrderResult {
	p.checkOrder(a, m)
	switch {
	case m.begun[wave]:
		return batch.OrderOK
	case m.state != batch.MachineUp:
		return batch.OrderBusy
	}
	down := 0
	for _, o := range p.machines {
		if o.state == batch.MachineInUpkeep && o.wave == wave {
			down++
		}
	}
	for _, x := range p.waves {
		if x.Number == wave && down >= x.MaxDown {
			p.w.judge.AddViolation("LIMIT: upkeep of %s begins while %d machines are down, and %d are allowed", m.name, down, x.MaxDown)
		}
	}
	p.checkAway(m)
	m.begun[wave], m.wave = true, wave
	p.takeDown(m, batch.MachineInUpkeep, upkeepMs)
	return batch.OrderOK
}

// checkAway checks that no lasting task runs at the machine: the owner must move it away before the upkeep.
func (p *fakeFleet) checkAway(m *fakeMachine) {
	for _, r := range m.worker.Runs() {
		if r.EndMs == worker.Never || r.Lasting {
			p.w.judge.AddViolation("AVAIL: the upkeep of %s cuts off the lasting task %s", m.name, r.Task)
		}
	}
}

func (p *fakeFleet) report(k batch.ReportCmd) {
	if !k.Completed {
		return
	}
	if p.reportedDone == nil {
		p.reportedDone = map[int]bool{}
	}
	p.reportedDone[k.Wave] = true
	for _, x := range p.waves {
		for _, m := range p.machines {
			if x.Number == k.Wave && slices.Contains(x.Machines, m.name) && !m.begun[k.Wave] {
				p.w.judge.AddViolation("MIXED: wave %d is reported as completed but the upkeep of %s has not begun", k.Wave, m.name)
			}
		}
	}
}

// throttle reports whether one more order exceeds the platform's limit, and counts it otherwise.
func (p *fakeFleet) throttle() bool {
	if p.ordersPerSec == 0 {
		return false
	}
	p.orderTimes = slices.DeleteFunc(p.orderTimes, func(at int64) bool { return p.w.now-at >= 1000 })
	if len(p.orderTimes) >= p.ordersPerSec {
		p.throttled++
		return true
	}
	p.orderTimes = append(p.orderTimes, p.w.now)
	return false
}

// orderMachine carries out an order to a machine. Its answer may be lost.
func (a *fakeOwner) orderMachine(name string, wave int, do func(*fakeMachine) batch.OrderResult) {
	w := a.w
	if w.fleet.throttle() {
		a.deliver(5, batch.OrderDoneMsg{Machine: name, Wave: wave, Result: batch.OrderThrottled})
		return
	}
	if w.now-a.renewedAt >= 900 {
		a.deliver(1, batch.OrderDoneMsg{Machine: name, Wave: wave, Result: batch.OrderNotSent}) // the claim is not fresh.
		return
	}
	for _, m := range w.fleet.machines {
		if m.name != name {
			continue
		}
		r := do(m)
		if w.chance(w.faults.lost) {
			r = batch.OrderUnsure
		}
		a.deliver(10, batch.OrderDoneMsg{Machine: name, Wave: wave, Result: r})
	}
}

// orderWave orders a wave of upkeep.
func (p *fakeFleet) orderWave(x batch.WaveMsg) {
	p.waves = append(p.waves, x)
	for _, a := range p.w.owners {
		a.m.Update(p.w.now, x)
	}
}

func (p *fakeFleet) names() []string {
	var l []string
	for _, m := range p.machines {
		l = append(l, m.name)
	}
	return l
}

func TestWave(t *testing.T) {
	play := func(t *testing.T, seed uint64, f faults) *simulation {
		t.Helper()
		w := newSimulation(t, seed, 10, f)
		w.submit(longJob(900_000))
		w.submit(longJob(900_001))
		n := 0
		w.run(9_000, nil)
		w.fleet.orderWave(batch.WaveMsg{Number: 3, Machines: w.fleet.names(), DurationMs: 30_000, MaxDown: 3})
		w.run(44_000, func() {
			if w.now%400 == 0 {
				n++
				w.submit(plainJob(n))
			}
		})
		w.faults = faults{}
		w.run(80_000, nil)
		w.checkSettled()
		w.report()
		return w
	}
	t.Run("calm", func(t *testing.T) {
		is := is.New(t)
		w := play(t, 1, faults{})
		is.True(w.fleet.reportedDone[3])
		for _, m := range w.fleet.machines {
			is.True(m.begun[3])
		}
	})
	t.Run("under faults", func(t *testing.T) {
		for s := uint64(1); s <= *chaosSeeds; s++ {
			w := play(t, s, faults{depose: 1, lost: 20, crash: 1})
			if !w.fleet.reportedDone[3] && len(w.owners) > 0 {
				t.Errorf("seed %d: the wave is not completed", s)
			}
		}
	})
}

// loadPeak simulates a load peak in which one pool needs three times its room, beside a quiet pool and a parked one. It
// returns the share of the jobs that ended within their objective, and the number of moves.
func loadPeak(t *testing.T, moves bool) (share float64, moved int) {
	t.Helper()
	w := newSimulation(t, 5, 0, faults{})
	w.fleet.services = []batch.Service{{Name: "busy", Guards: true}, {Name: "quiet", Guards: true}, {Name: "parked", Standby: true}}
	room := batch.Size{CPU: 8000, MemMB: 16_000}
	for i := range 24 {
		w.fleet.add([]string{"busy", "quiet", "parked"}[i%3], room)
	}
	w.owners = nil
	if !moves {
		w.dutyGap = worker.Never // no order to a machine is ever allowed.
	}
	w.startOwner()
	type sent struct{ submittedAt, objective int64 }
	jobs := map[string]sent{}
	done := map[string]int64{}
	n := 0
	w.run(20_000, func() {
		if w.now > 6_000 && w.now <= 11_000 && w.now%40 == 0 {
			n++
			j := plainJob(n)
			j.Service = "busy"
			jobs[j.ID] = sent{w.now, 2_500}
			w.submit(j)
		}
		for id := range jobs {
			if done[id] == 0 && len(w.owners) > 0 && w.owners[0].m.State(id) == batch.StateCompleted {
				done[id] = w.now
			}
		}
	})
	w.report()
	good := 0
	for id, s := range jobs {
		if at := done[id]; at != 0 && at-s.submittedAt <= s.objective {
			good++
		}
	}
	return float64(good) / float64(len(jobs)), w.fleet.moves
}

// Moving machines to the demand lets a pool serve most of a load peak that exceeds its own room.
func TestLoadPeak(t *testing.T) {
	is := is.New(t)
	alone, none := loadPeak(t, false)
	with, moved := loadPeak(t, true)
	t.Logf("in time: %.2f with %d moves, %.2f without", with, moved, alone)
	is.Equal(none, 0)
	is.True(moved >= 6)         // at least the parked machines are moved.
	is.True(with >= 0.8)        // of the jobs; the pools together have room for all.
	is.True(with >= 1.25*alone) // a peak of a few seconds leaves little time for a larger gain.
}
