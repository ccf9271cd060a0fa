package batch

import "slices"

// What a former owner cannot know. A task that it cannot have started need not wait until the lists of all workers have been read.

// markNextStages records that no former owner can have started the steps after s, because none can know that all tasks
// of s are done. It does nothing if a former owner may have started copies, since that owner may have seen the tasks
// end by other runs.
func (s *stage) markNextStages() {
	if s.job.formerCopies || !slices.ContainsFunc(s.tasks, func(t *task) bool { return t.unknownToFormer }) {
		return
	}
	for _, o := range s.round.stages[s.number+1:] {
		o.noFormerRuns = o.noFormerRuns || slices.Contains(o.After, s.number)
	}
}

// endUnknownToFormer reports whether no former owner can know of the end of r. The end of a gang shows at the workers of all its members.
func (r *run) endUnknownToFormer() bool {
	if !r.unknownToFormer() {
		return false
	}
	return !r.task.stage.Gang || !slices.ContainsFunc(r.task.stage.tasks, func(o *task) bool {
		if o == r.task {
			return false
		}
		k := o.findRun(r.number)
		return k == nil || !k.unknownToFormer()
	})
}

// markEndUnknown records that no former owner can start t again, because none can know of the end of its run. A gang ends as a whole.
func (t *task) markEndUnknown() {
	t.noFormerRuns = true
	if t.stage.Gang {
		for _, o := range t.stage.tasks {
			o.noFormerRuns = true
		}
	}
}

// unknownToFormer reports whether no former owner can learn of the end of r at r's worker: this owner started r, or r is the first run and this owner
// found it running, and it ran after the last poll of a former owner was answered. Before a later run, an earlier one may have ended
// without this owner's knowledge.
func (r *run) unknownToFormer() bool {
	w := r.worker
	return (r.ownStart || r.number == 1) && r.workerBorn == w.Born && w.formerPollsEnd > 0 && r.listedClock >= w.formerPollsEnd
}
