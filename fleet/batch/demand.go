package batch

import "math"

// Estimation of the demand of a pool from the jobs that callers submit.
const (
	// rateTimeConstantMs is the time constant of the average rate, in milliseconds: short compared with a load peak of
	// some seconds, long compared with single jobs.
	rateTimeConstantMs = 700.0
	maxCountedJobs     = 20_000 // when demandCounted has this many jobs, it is cleared.
)

// demand is the recent demand of a pool. Its times are those of the steady clock, in milliseconds.
type demand struct {
	rate               float64 // submitted work per time, averaged, in thousandths of a core.
	rateAt             int64   // time up to which rate has decayed.
	lastWaitingAt      int64   // when a task was last found to wait for room.
	waitingWork        float64 // work that waits for room, in thousandths of a core times milliseconds.
	wantedMachines     int     // number of machines that the pool should have.
	lastLackedAt       int64   // when the pool last wanted more machines than it had.
	everLackedMachines bool    // at some time since this owner began, the pool had machines but wanted more than it had.
}

// decay lets the rate decay exponentially over the time since rateAt.
func (d *demand) decay(now int64) {
	if now > d.rateAt {
		d.rate *= math.Exp(-float64(now-d.rateAt) / rateTimeConstantMs)
		d.rateAt = now
	}
}

// addDemand adds the work of a submitted job to its pool's demand. It adds a job only once, however often the job is
// submitted; after demandCounted is cleared, a job can be added again. Jobs with rounds or lasting steps are not added.
func (m *Model) addDemand(j *job) {
	if j.Rounds > 0 || hasLastingSteps(j) || m.demandCounted[j.ID] {
		return
	}
	if len(m.demandCounted) >= maxCountedJobs {
		clear(m.demandCounted)
	}
	m.demandCounted[j.ID] = true
	work := 0.0
	for _, s := range j.Steps {
		work += float64(s.Count) * float64(s.Size.CPU) * m.estimator(j.Queue).expectedMs(float64(s.EstimateMs))
	}
	d := &m.pool(j.Service).demand
	d.decay(m.now)
	d.rate += m.workWithinLimit(j, work) / rateTimeConstantMs
}

// measureWaiting brings the demand of each pool up to now, and measures the work that waits for room there. Lasting steps
// do not count, nor do steps that wait for other steps, for their team's limit or for what a
// former owner may have started.
func (m *Model) measureWaiting() {
	var limited []limitedStage
	for _, p := range m.pools {
		p.demand.decay(m.now)
		short := int64(0)
		for _, j := range p.openJobs {
			for _, r := range j.rounds {
				for _, s := range r.stages {
					if s.tasksWaiting > 0 && !s.Lasting && s.ready() && !m.waitsForFormer(s) {
						if j.use.limited() {
							limited = append(limited, limitedStage{p, s, m.waitingWork(s)})
							continue
						}
						short += m.waitingWork(s)
					}
				}
			}
		}
		p.demand.waitingWork = float64(short)
	}
	m.addLimitedWaiting(limited)
	for _, p := range m.pools {
		if p.demand.waitingWork > 0 {
			p.demand.lastWaitingAt = m.now
		}
	}
}

// waitingWork returns the work of the tasks of s that are due but have no run, in thousandths of a core times
// milliseconds.
func (m *Model) waitingWork(s *stage) int64 {
	n := int64(0)
	for _, t := range s.tasks {
		if !t.done && len(t.runs) == 0 && t.notBefore <= m.now {
			n++
		}
	}
	return n * s.Step.Size.CPU * max(int64(s.runMs), 1)
}
