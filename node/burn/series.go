package burn

import "time"

// Speed classifies how fast a series spends its error budget.
type Speed string

const (
	// SpeedWithin means that neither of the other two applies.
	SpeedWithin Speed = "within"
	// SpeedSlow means that the burn rate is at least 1, over both six hours and three days: the budget will not last.
	SpeedSlow Speed = "slow"
	// SpeedFast means that the burn rate is at least 14.4, over both five minutes and an hour: an hour spends 2% of the budget of 30 days.
	SpeedFast Speed = "fast"
)

const (
	fastRate = 14.4 // burn rate that spends 2% of the budget of 30 days in an hour
	slowRate = 1.0  // burn rate that spends the budget exactly
)

// windowLengths returns the lengths of the windows for which burn rates are reported, shortest first.
func windowLengths() []time.Duration {
	return []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}
}

// series holds the counts of one service and class: by half minute for an hour, and by five minutes for three days.
type series struct {
	fine, coarse ring
	speed        Speed
}

func newSeries() *series {
	return &series{fine: newRing(fineStep, fineBuckets), coarse: newRing(coarseStep, coarseBuckets), speed: SpeedWithin}
}

func (s *series) add(now time.Time, c Counts) {
	s.fine.add(now, c)
	s.coarse.add(now, c)
}

func (s *series) advance(now time.Time) {
	s.fine.advance(now)
	s.coarse.advance(now)
}

// window returns the counts of the last w.
func (s *series) window(w time.Duration) Counts {
	if w <= fineStep*fineBuckets {
		return s.fine.sum(w)
	}
	return s.coarse.sum(w)
}

// allWindows returns the counts of every window.
func (s *series) allWindows() []Window {
	ws := make([]Window, 0, len(windowLengths()))
	for _, w := range windowLengths() {
		ws = append(ws, Window{Seconds: int64(w / time.Second), Counts: s.window(w)})
	}
	return ws
}

// speedOf classifies the burn rates of the windows. A short and a long window must both reach the rate.
func speedOf(ws []Window, objective float64) Speed {
	over := func(i int, rate float64) bool { return len(ws) > i && ws[i].Counts.Rate(objective) >= rate }
	switch {
	case over(0, fastRate) && over(1, fastRate):
		return SpeedFast
	case over(2, slowRate) && over(3, slowRate):
		return SpeedSlow
	default:
		return SpeedWithin
	}
}
