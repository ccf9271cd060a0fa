package batch

import "math"

// Estimation of the demand of a pool from the jobs that callers submit.
const (
	rateTimeConstantMs = 700.0 // of the average rate: short beside a load peak of some seconds, long beside single jobs.
	maxCountedJobs     = 20_000
)

// demand is the recent demand of a pool.
type demand struct {
	rate           float64 // submitted work per time, in thousandths of a core.
	rateAt         int64
	lastShortAt    int64   // when a task last waited for room.
	waitingWork    float64 // work that waits for room, in thousandths of a core times ms.
	wantedMachines int     // number of machines.
	everShort      bool    // the pool has needed more machines than it had at some time since this owner began.
}

// decay reduces the rate by the time that has passed until now.
func (d *demand) decay(now int64) {
	if now > d.rateAt {
		d.rate *= math.Exp(-float64(now-d.rateAt) / rateTimeConstantMs)
		d.rateAt = now
	}
}

// addDemand adds the work of a job to its pool's demand, once for all attempts to submit it.
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
	d.rate += work / rateTimeConstantMs
}

// measureWaiting updates the work that waits for room in each pool.
func (m *Model) measureWaiting() {
	for _, p := range m.pools {
		p.demand.decay(m.now)
		short := int64(0)
		for _, j := range p.openJobs {
			for _, r := range j.rounds {
				for _, s := range r.stages {
					if s.tasksWaiting > 0 && !s.Lasting && s.ready() && !m.waitsForFormer(s) {
						short += m.waitingWork(s)
					}
				}
			}
		}
		p.demand.waitingWork = float64(short)
		if short > 0 {
			p.demand.lastShortAt = m.now
		}
	}
}

// waitingWork returns the work of the tasks of s that could start, in thousandths of a core times ms.
func (m *Model) waitingWork(s *stage) int64 {
	n := int64(0)
	for _, t := range s.tasks {
		if !t.done && len(t.runs) == 0 && t.notBefore <= m.now {
			n++
		}
	}
	return n * s.Step.Size.CPU * max(int64(s.runMs), 1)
}
