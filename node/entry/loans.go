package entry

import (
	"time"

	"burdockreach.dev/flow/sched"
	"burdockreach.dev/flow/share"
)

// idleLoadInterval is the time between load updates of a service where nothing waits, is lent or is borrowed.
const idleLoadInterval = time.Second

// maxBorrowRequests bounds the requests for slots that wait to be sent. Further ones are dropped; the loans make them again.
const maxBorrowRequests = 64

// BorrowRequest is a request to borrow another entry's idle slots of a service.
type BorrowRequest struct {
	Service string
	share.BorrowCmd
}

// BorrowRequests returns the channel of requests to be sent to other entries.
func (e *Entry) BorrowRequests() <-chan BorrowRequest { return e.borrowRequests }

// SetRoster sets the entries that share the slots of the data centre's targets. Services ignore a number lower than the newest.
func (e *Entry) SetRoster(now time.Time, number int64, entries []string) {
	m := share.RosterMsg{Now: now, Number: number, Entries: entries}
	e.tableMu.Lock()
	e.roster = m
	e.tableMu.Unlock()
	e.eachService(func(v *service) { v.updateLoans(m) })
}

// SettledRoster returns the number of the roster whose shares every service of this entry keeps to, or 0 while some service does not.
func (e *Entry) SettledRoster() int64 {
	e.tableMu.Lock()
	n := e.roster.Number
	e.tableMu.Unlock()
	e.eachService(func(v *service) {
		v.mu.Lock()
		defer v.mu.Unlock()
		n = min(n, v.loans.AdoptedRoster())
	})
	return n
}

// SetPeerSettled records that another entry keeps to the shares of the roster with the number.
func (e *Entry) SetPeerSettled(now time.Time, from string, number int64) {
	e.eachService(func(v *service) { v.updateLoans(share.RosterAdoptedMsg{Now: now, From: from, Number: number}) })
}

// Lend answers another entry's request for slots of the service; false means that this entry does not know the service.
func (e *Entry) Lend(name string, m share.BorrowMsg) (share.LentCmd, bool) {
	x, ok := e.services.Load(name)
	if !ok {
		return share.LentCmd{}, false
	}
	return x.(*service).answerBorrow(m)
}

// HandleBorrowReply applies another entry's answer to a request for slots.
func (e *Entry) HandleBorrowReply(name string, m share.LentMsg) {
	if x, ok := e.services.Load(name); ok {
		x.(*service).updateLoans(m)
	}
}

// updateLoans applies a loan message and the slot shares that result.
func (v *service) updateLoans(m share.Msg) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.applyLoansMsg(m)
}

// answerBorrow lends idle slots to another entry. v.mu is held, so no request takes a slot between the load reading and the loan.
func (v *service) answerBorrow(m share.BorrowMsg) (c share.LentCmd, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	m.Load = v.currentLoad()
	v.active.Store(true)
	return v.applyLoansMsg(m)
}

// updateLoad passes the current load to the loans, less often while they are quiet; v.mu is held.
func (v *service) updateLoad(now time.Time) {
	if len(v.waiting) == 0 && v.loans.Quiet() && now.Sub(v.lastLoadMsg) < idleLoadInterval {
		return
	}
	v.lastLoadMsg = now
	v.applyLoansMsg(share.LoadMsg{Now: now, Load: v.currentLoad()})
}

// currentLoad returns the busy slots and the waiting requests; v.mu is held.
func (v *service) currentLoad() share.Load {
	s := v.scheduler.Stats()
	clear(v.busy)
	v.scheduler.Taken(v.busy)
	return share.Load{Demand: s.Demand(), Reclaimable: s.Reclaimable(), Reserve: s.UrgentReserve(), Busy: v.busy}
}

// applyLoansMsg applies a message to the loans and executes their commands; v.mu is held.
func (v *service) applyLoansMsg(m share.Msg) (lent share.LentCmd, ok bool) {
	var shares map[string]int
	for _, c := range v.loans.Update(m) {
		switch c := c.(type) {
		case share.SharesCmd:
			shares = c.Shares
		case share.LentCmd:
			lent, ok = c, true
		case share.BorrowCmd:
			select {
			case v.borrowRequests <- BorrowRequest{Service: v.name, BorrowCmd: c}:
			default:
			}
		}
	}
	if shares != nil {
		v.dispatch(v.scheduler.Update(sched.SharesMsg{Now: v.msgTime(m), Shares: shares}))
	}
	return lent, ok
}

// msgTime returns the time that the message carries.
func (v *service) msgTime(m share.Msg) time.Time {
	switch m := m.(type) {
	case share.RosterMsg:
		return m.Now
	case share.RosterAdoptedMsg:
		return m.Now
	case share.TargetsMsg:
		return m.Now
	case share.LoadMsg:
		return m.Now
	case share.BorrowMsg:
		return m.Now
	case share.LentMsg:
		return m.Now
	}
	return time.Now()
}

// setTargets replaces the targets that may get new work. It overwrites each target's total slots in targets with those this entry may use.
func (v *service) setTargets(now time.Time, targets []sched.Target) {
	v.mu.Lock()
	defer v.mu.Unlock()
	clear(v.targets)
	slots := make(map[string]int, len(targets))
	for _, t := range targets {
		v.targets[t.Name()] = true
		slots[t.Name()] = t.Slots()
	}
	v.applyLoansMsg(share.TargetsMsg{Now: now, Slots: slots})
	for k, t := range targets {
		targets[k] = sched.NewTarget(t.Name(), t.Rack(), v.loans.Usable(t.Name()))
	}
	v.dispatch(v.scheduler.Update(sched.TargetsMsg{Now: now, Targets: targets}))
}
