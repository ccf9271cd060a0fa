package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"burdockreach.dev/flow/sched"
	"burdockreach.dev/flow/share"
	"burdockreach.dev/plat/conf"
)

// service schedules one service's requests at this entry; mu guards the fields below it.
type service struct {
	name     string
	active   atomic.Bool // something waits, is lent or is borrowed
	lastTick time.Time   // used only by the entry's tick loop

	mu             sync.Mutex
	scheduler      *sched.Scheduler
	lastID         sched.ID
	waiting        map[sched.ID]chan sched.Cmd
	inFlight       map[string]int  // requests being sent, by VM
	targets        map[string]bool // VMs that may get new work
	loans          *share.Loans
	borrowRequests chan<- BorrowRequest
	busy           map[string]int // slots that are or may be taken, by VM; reused by each load reading
	lastLoadMsg    time.Time
	profile        conf.ProfileSpec
	lostAt         map[string]time.Time // by VM: when an answer was last lost
}

func newService(name, self string, asks chan<- BorrowRequest, opts ...sched.Option) *service {
	return &service{
		name: name, scheduler: sched.New(name, opts...), loans: share.New(self), borrowRequests: asks,
		waiting: make(map[sched.ID]chan sched.Cmd), inFlight: make(map[string]int), targets: make(map[string]bool), busy: make(map[string]int), lostAt: make(map[string]time.Time),
	}
}

// maxPendingCmds is the most commands that can wait for one call: one send and one end.
const maxPendingCmds = 2

// cmdChannels pools the channels on which calls receive commands.
var cmdChannels = sync.Pool{New: func() any { return make(chan sched.Cmd, maxPendingCmds) }}

// arrive passes a new request to the scheduler and returns its id and its command channel.
func (v *service) arrive(m sched.ArriveMsg) (sched.ID, chan sched.Cmd) {
	ch := cmdChannels.Get().(chan sched.Cmd)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lastID++
	m.ID = v.lastID
	v.active.Store(true)
	v.waiting[m.ID] = ch
	v.dispatch(v.scheduler.Update(m))
	return m.ID, ch
}

// sendDone reports the result of an attempt to the scheduler.
func (v *service) sendDone(m sched.DoneMsg) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.inFlight[m.Target]--
	if v.inFlight[m.Target] <= 0 {
		delete(v.inFlight, m.Target)
	}
	if m.Result == sched.Unknown {
		v.lostAt[m.Target] = m.Now
	}
	v.dispatch(v.scheduler.Update(m))
}

// forget removes a call that has its final answer and recycles its channel.
func (v *service) forget(id sched.ID, ch chan sched.Cmd) {
	v.mu.Lock()
	delete(v.waiting, id)
	v.mu.Unlock()
	for len(ch) > 0 {
		<-ch
	}
	cmdChannels.Put(ch)
}

// applyProfile passes the profile to the scheduler if it has changed.
func (v *service) applyProfile(now time.Time, p conf.ProfileSpec) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if p == v.profile {
		return
	}
	v.profile = p
	v.dispatch(v.scheduler.Update(sched.ProfileMsg{
		Now: now, RetryShare: float64(p.RetryBudgetPercent) / 100, UrgentStart: time.Duration(p.UrgentStartMillis) * time.Millisecond,
	}))
}

// update passes a message to the scheduler and dispatches the resulting commands.
func (v *service) update(m sched.Msg) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.dispatch(v.scheduler.Update(m))
}

// dispatch sends each command to the call that it concerns; v.mu is held.
func (v *service) dispatch(cmds []sched.Cmd) {
	for _, c := range cmds {
		switch c := c.(type) {
		case sched.SendCmd:
			v.inFlight[c.Target]++
			v.deliver(c.ID, c)
		case sched.EndCmd:
			v.deliver(c.ID, c)
		}
	}
}

func (v *service) deliver(id sched.ID, c sched.Cmd) {
	if ch, ok := v.waiting[id]; ok {
		ch <- c
	}
}

// idleTickInterval is the tick interval of a service where nothing waits, is lent or is borrowed.
const idleTickInterval = 200 * time.Millisecond

// tick advances the scheduler while requests wait, and updates the loans. Only the entry's tick loop calls it.
func (v *service) tick(now time.Time) {
	if !v.active.Load() && now.Sub(v.lastTick) < idleTickInterval {
		return
	}
	v.lastTick = now
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.waiting) > 0 {
		v.dispatch(v.scheduler.Update(sched.TickMsg{Now: now}))
	}
	v.updateLoad(now)
	v.active.Store(len(v.waiting) > 0 || !v.loans.Quiet())
}

// lostAnswerHold is how long a request whose answer was lost is assumed to run on at its target.
const lostAnswerHold = 10 * time.Second

// drained reports whether the VM is no target any more and has no request in flight, including requests whose answer was lost.
func (v *service) drained(vm string, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if t, ok := v.lostAt[vm]; ok && now.Sub(t) >= lostAnswerHold {
		delete(v.lostAt, vm)
	}
	_, lost := v.lostAt[vm]
	return !v.targets[vm] && v.inFlight[vm] == 0 && !lost
}

func (v *service) stats() sched.Stats {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.scheduler.Stats()
}
