package ahead

// Times and shares by which a run's expected end is predicted.
const (
	// overrunShare is what a run that has passed its expected end still needs, as a share of what it has run. Run times
	// are about lognormal. With a spread of 0.5 or 0.7, a run that reaches the mean needs 0.49 or 0.75 of its age more on average,
	// and one that reaches four times the mean 0.16 or 0.30.
	overrunShare = 0.5
	// minPercent is the least progress from which the end is extrapolated: below it, rounding to whole percents is off
	// by more than a tenth.
	minPercent  = 10
	fullPercent = 100
)

// Progress is what is known of a run. Times are in ms.
type Progress struct {
	StartedAt  int64
	ExpectedMs float64 // its expected run time at its worker.
	Percent    int     // progress that was reported last; 0 if there is none or it is not to be used.
	ReportedAt int64   // when that was.
}

// EndsAt returns the expected end, which is not before now. The progress counts while it is younger than the time over which it was
// measured.
func (p Progress) EndsAt(now int64) int64 {
	end := p.StartedAt + int64(p.ExpectedMs)
	if ran := p.ReportedAt - p.StartedAt; p.Percent >= minPercent && ran > 0 && now-p.ReportedAt <= ran {
		end = p.StartedAt + ran*fullPercent/int64(min(p.Percent, fullPercent))
	}
	if end > now {
		return end
	}
	return now + int64(overrunShare*float64(max(now-p.StartedAt, 0)))
}
