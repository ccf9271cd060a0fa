package spare

import "math"

// Threshold is the naive policy beside which the sizer is measured: it moves a VM whenever the demand of the moment
// crosses what the pool's VMs run at their target.
type Threshold struct{ sizer *Sizer }

// NewThreshold returns the naive policy.
func NewThreshold() *Threshold { return &Threshold{sizer: New()} }

// Update takes one message in and returns the moves.
func (n *Threshold) Update(msg Msg) []Cmd {
	t, ok := msg.(TickMsg)
	if !ok {
		return n.sizer.Update(msg)
	}
	s := n.sizer
	s.expirePendingMoves(t.At)
	for _, r := range s.rules {
		d := t.Demand[r.Pool]
		need := int(math.Ceil((d.Busy + d.Queued) / (float64(r.Slots) * targetUse(r))))
		s.pools[r.Pool] = &poolState{need: max(need, r.MinVMs), overloadSince: t.At, idleSince: 1}
		if r.MaxVMs > 0 {
			s.pools[r.Pool].need = min(s.pools[r.Pool].need, r.MaxVMs)
		}
	}
	var l []Cmd
	for _, r := range s.byShortage() {
		switch have := s.layout.count(r.Pool); {
		case have < s.pools[r.Pool].need:
			l = s.fill(l, r, t.At)
		case have > s.pools[r.Pool].need:
			l = s.returnIdle(l, r, t.At)
		}
	}
	return l
}
