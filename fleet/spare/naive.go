package spare

import "math"

// Threshold is a naive policy, the baseline with which the Sizer is compared. It moves a VM as soon as the current demand
// exceeds what the pool's VMs can run at their target use, or falls below it.
type Threshold struct{ sizer *Sizer }

// NewThreshold returns a policy without pools and VMs.
func NewThreshold() *Threshold { return &Threshold{sizer: New()} }

// Update handles one message and returns the moves.
func (n *Threshold) Update(msg Msg) []Cmd {
	t, ok := msg.(TickMsg)
	if !ok {
		return n.sizer.Update(msg)
	}
	s := n.sizer
	s.expirePendingMoves(t.AtMillis)
	for _, r := range s.rules {
		d := t.Demand[r.Pool]
		need := int(math.Ceil((d.Busy + d.Queued) / (float64(r.Slots) * targetUse(r))))
		s.pools[r.Pool] = &poolState{need: max(need, r.MinVMs), overloadSince: t.AtMillis, idleSince: 1}
		if r.MaxVMs > 0 {
			s.pools[r.Pool].need = min(s.pools[r.Pool].need, r.MaxVMs)
		}
	}
	var l []Cmd
	for _, r := range s.byShortage() {
		switch have := s.layout.count(r.Pool); {
		case have < s.pools[r.Pool].need:
			l = s.fill(l, r, t.AtMillis)
		case have > s.pools[r.Pool].need:
			l = s.returnIdle(l, r, t.AtMillis)
		}
	}
	return l
}
