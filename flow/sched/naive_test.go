package sched_test

import (
	"slices"
	"time"

	"burdockreach.dev/flow/sched"
)

// naive is a scheduler without estimates, quotas, ejection or retries, on plain slices.
type naive struct {
	waiting []*naiveReq
	sent    map[sched.ID]*naiveReq
	targets []sched.Target
	busy    map[string]int
	cmds    []sched.Cmd
}

type naiveReq struct {
	m      sched.ArriveMsg
	over   bool
	target string
}

func newNaive() *naive { return &naive{sent: map[sched.ID]*naiveReq{}, busy: map[string]int{}} }

func (n *naive) Update(m sched.Msg) []sched.Cmd {
	n.cmds = nil
	switch m := m.(type) {
	case sched.ArriveMsg:
		n.waiting = append(n.waiting, &naiveReq{m: m})
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

func (n *naive) done(m sched.DoneMsg) {
	r := n.sent[m.ID]
	delete(n.sent, m.ID)
	n.busy[r.target]--
	if r.over {
		return
	}
	if m.Result == sched.Failed {
		n.cmds = append(n.cmds, sched.EndCmd{ID: m.ID, Reason: sched.ReasonFailed})
	}
}

func (n *naive) cancel(id sched.ID) {
	if r, ok := n.sent[id]; ok && !r.over {
		r.over = true
		n.cmds = append(n.cmds, sched.EndCmd{ID: id, Reason: sched.ReasonCancelled})
	}
	i := slices.IndexFunc(n.waiting, func(r *naiveReq) bool { return r.m.ID == id })
	if i >= 0 {
		n.waiting = slices.Delete(n.waiting, i, i+1)
		n.cmds = append(n.cmds, sched.EndCmd{ID: id, Reason: sched.ReasonCancelled, NotRun: true})
	}
}

func (n *naive) dispatch() {
	slices.SortStableFunc(n.waiting, func(a, b *naiveReq) int {
		if a.m.Class != b.m.Class {
			return int(a.m.Class) - int(b.m.Class)
		}
		return a.m.Deadline.Compare(b.m.Deadline)
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
		n.sent[r.m.ID] = r
		n.cmds = append(n.cmds, sched.SendCmd{ID: r.m.ID, Target: r.target, Attempt: 1})
	}
}

// order returns what the commands do to which requests, without the targets.
func order(l []sched.Cmd) []sched.Cmd {
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

func far(now time.Time, seconds int) time.Time {
	return now.Add(time.Hour * time.Duration(100+seconds))
}
