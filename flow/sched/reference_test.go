package sched_test

import (
	"slices"
	"time"

	"burdockreach.dev/flow/sched"
)

// reference is a simple scheduler to compare with: it uses plain slices and has no estimates, quotas, ejection or retries.
type reference struct {
	waiting []*referenceRequest
	sent    map[sched.ID]*referenceRequest
	targets []sched.Target
	busy    map[string]int
	cmds    []sched.Cmd
}

type referenceRequest struct {
	arrival sched.ArriveMsg
	ended   bool
	target  string
}

func newReference() *reference {
	return &reference{sent: map[sched.ID]*referenceRequest{}, busy: map[string]int{}}
}

func (n *reference) Update(m sched.Msg) []sched.Cmd {
	n.cmds = nil
	switch m := m.(type) {
	case sched.ArriveMsg:
		n.waiting = append(n.waiting, &referenceRequest{arrival: m})
	case sched.DoneMsg:
		n.done(m)
	case sched.CancelMsg:
		n.cancel(m.ID)
	case sched.TargetsMsg:
		n.targets = m.Targets
	}
	n.dispatch()
	return n.cmds
}

func (n *reference) done(m sched.DoneMsg) {
	r := n.sent[m.ID]
	delete(n.sent, m.ID)
	n.busy[r.target]--
	if r.ended {
		return
	}
	if m.Result == sched.Failed {
		n.cmds = append(n.cmds, sched.EndCmd{ID: m.ID, Reason: sched.ReasonFailed})
	}
}

func (n *reference) cancel(id sched.ID) {
	if r, ok := n.sent[id]; ok && !r.ended {
		r.ended = true
		n.cmds = append(n.cmds, sched.EndCmd{ID: id, Reason: sched.ReasonCancelled})
	}
	i := slices.IndexFunc(n.waiting, func(r *referenceRequest) bool { return r.arrival.ID == id })
	if i >= 0 {
		n.waiting = slices.Delete(n.waiting, i, i+1)
		n.cmds = append(n.cmds, sched.EndCmd{ID: id, Reason: sched.ReasonCancelled, NotRun: true})
	}
}

func (n *reference) dispatch() {
	slices.SortStableFunc(n.waiting, func(a, b *referenceRequest) int {
		if a.arrival.Class != b.arrival.Class {
			return int(a.arrival.Class) - int(b.arrival.Class)
		}
		return a.arrival.Deadline.Compare(b.arrival.Deadline)
	})
	for len(n.waiting) > 0 {
		i := slices.IndexFunc(n.targets, func(t sched.Target) bool { return n.busy[t.Name()] < t.Slots() })
		if i < 0 {
			return
		}
		r := n.waiting[0]
		n.waiting = n.waiting[1:]
		r.target = n.targets[i].Name()
		n.busy[r.target]++
		n.sent[r.arrival.ID] = r
		n.cmds = append(n.cmds, sched.SendCmd{ID: r.arrival.ID, Target: r.target, Attempt: 1})
	}
}

// withoutTargets returns the commands with their targets removed.
func withoutTargets(l []sched.Cmd) []sched.Cmd {
	var o []sched.Cmd
	for _, c := range l {
		switch c := c.(type) {
		case sched.SendCmd:
			o = append(o, sched.SendCmd{ID: c.ID, Attempt: c.Attempt})
		case sched.EndCmd:
			o = append(o, sched.EndCmd{ID: c.ID, Reason: c.Reason, NotRun: c.NotRun})
		}
	}
	return o
}

// farDeadline returns a deadline that is always met, at least 100 hours away.
func farDeadline(now time.Time, hours int) time.Time {
	return now.Add(time.Hour * time.Duration(100+hours))
}
