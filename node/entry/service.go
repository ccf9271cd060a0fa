package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"burdockreach.dev/flow/sched"
	"burdockreach.dev/flow/share"
	"burdockreach.dev/plat/conf"
)

// service runs one service's requests at this entry; mu guards all below it.
type service struct {
	name   string
	awake  atomic.Bool // something waits, is lent or is borrowed
	ticked time.Time   // of the entry's loop alone

	mu      sync.Mutex
	s       *sched.Scheduler
	next    sched.ID
	waiting map[sched.ID]chan sched.Cmd
	out     map[string]int // requests handed out for sending, by VM
	listed  map[string]bool
	loans   *share.Loans
	asks    chan<- Ask
	busy    map[string]int // slots that are or may be taken, by VM; kept for the next look
	looked  time.Time
	profile conf.ProfileSpec
	lost    map[string]time.Time // when an answer of the VM was last lost
}

func newService(name, self string, asks chan<- Ask, opts ...sched.Option) *service {
	return &service{
		name: name, s: sched.New(name, opts...), loans: share.New(self), asks: asks,
		waiting: make(map[sched.ID]chan sched.Cmd), out: make(map[string]int), listed: make(map[string]bool), busy: make(map[string]int), lost: make(map[string]time.Time),
	}
}

// maxPending is the number of commands that one call can have before it: one send and one end.
const maxPending = 2

// replies holds the channels that calls wait on.
var replies = sync.Pool{New: func() any { return make(chan sched.Cmd, maxPending) }}

// arrive hands a new request to the scheduler and returns its id and the channel of its commands.
func (v *service) arrive(m sched.ArriveMsg) (sched.ID, chan sched.Cmd) {
	ch := replies.Get().(chan sched.Cmd)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.next++
	m.ID = v.next
	v.awake.Store(true)
	v.waiting[m.ID] = ch
	v.perform(v.s.Update(m))
	return m.ID, ch
}

// done tells the scheduler how a send ended.
func (v *service) done(m sched.DoneMsg) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.out[m.Target]--
	if v.out[m.Target] <= 0 {
		delete(v.out, m.Target)
	}
	if m.Result == sched.Unknown {
		v.lost[m.Target] = m.Now
	}
	v.perform(v.s.Update(m))
}

// leave forgets a call that has its final answer.
func (v *service) leave(id sched.ID, ch chan sched.Cmd) {
	v.mu.Lock()
	delete(v.waiting, id)
	v.mu.Unlock()
	for len(ch) > 0 {
		<-ch
	}
	replies.Put(ch)
}

// follow applies the profile when it has changed.
func (v *service) follow(now time.Time, p conf.ProfileSpec) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if p == v.profile {
		return
	}
	v.profile = p
	v.perform(v.s.Update(sched.ProfileMsg{
		Now: now, RetryShare: float64(p.RetryBudgetPercent) / 100, UrgentStart: time.Duration(p.UrgentStartMillis) * time.Millisecond,
	}))
}

// update passes a message on to the scheduler.
func (v *service) update(m sched.Msg) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.perform(v.s.Update(m))
}

// perform hands each command to the call that waits for it; v.mu is held.
func (v *service) perform(cmds []sched.Cmd) {
	for _, c := range cmds {
		switch c := c.(type) {
		case sched.SendCmd:
			v.out[c.Target]++
			v.hand(c.ID, c)
		case sched.EndCmd:
			v.hand(c.ID, c)
		}
	}
}

func (v *service) hand(id sched.ID, c sched.Cmd) {
	if ch, ok := v.waiting[id]; ok {
		ch <- c
	}
}

// restEvery is the time between looks at a service where nothing waits, is lent or is borrowed.
const restEvery = 200 * time.Millisecond

// tick lets the scheduler's time pass while anything waits, and looks at the loans; only the entry's loop calls it.
func (v *service) tick(now time.Time) {
	if !v.awake.Load() && now.Sub(v.ticked) < restEvery {
		return
	}
	v.ticked = now
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.waiting) > 0 {
		v.perform(v.s.Update(sched.TickMsg{Now: now}))
	}
	v.lendIdle(now)
	v.awake.Store(len(v.waiting) > 0 || !v.loans.Quiet())
}

// abandonedFor is how long a request whose answer was lost may still run at its target.
const abandonedFor = 10 * time.Second

// quitFor reports whether the VM is off the list and nothing is in flight to it, not even a request whose answer was lost.
func (v *service) quitFor(vm string, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if t, ok := v.lost[vm]; ok && now.Sub(t) >= abandonedFor {
		delete(v.lost, vm)
	}
	_, lost := v.lost[vm]
	return !v.listed[vm] && v.out[vm] == 0 && !lost
}

func (v *service) stats() sched.Stats {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.s.Stats()
}
