package place

import "slices"

// FirstFit is a naive policy, the baseline with which the Placer is compared. It takes jobs in order of arrival, starts
// each on the first worker with enough room for its declared size, and retries it until it succeeds.
type FirstFit struct {
	workers []*workerState
	waiting []*jobState
	running map[string]*task
}

// NewFirstFit returns a policy without workers or jobs.
func NewFirstFit() *FirstFit { return &FirstFit{running: map[string]*task{}} }

// Update handles one message and returns the commands to carry out.
func (f *FirstFit) Update(msg Msg) []Cmd {
	switch m := msg.(type) {
	case WorkersMsg:
		for _, w := range m.Workers {
			f.workers = append(f.workers, &workerState{Worker: w, tasks: map[string]*task{}})
		}
	case SubmitMsg:
		for _, j := range m.Jobs {
			f.waiting = append(f.waiting, &jobState{Job: j})
		}
	case EndedMsg:
		f.ended(m)
	case TickMsg:
		return f.place()
	}
	return nil
}

func (f *FirstFit) ended(m EndedMsg) {
	t := f.running[m.Task.Job]
	if t == nil || t.Task != m.Task {
		return
	}
	delete(f.running, m.Task.Job)
	t.worker.reserved.Cores -= t.size.Cores
	t.worker.reserved.MemoryMB -= t.size.MemoryMB
	t.worker.reserved.Accelerators -= t.size.Accelerators
	if m.State != Done {
		f.waiting = append(f.waiting, t.job)
	}
}

func (f *FirstFit) place() []Cmd {
	var l []Cmd
	f.waiting = slices.DeleteFunc(f.waiting, func(e *jobState) bool {
		i := slices.IndexFunc(f.workers, func(m *workerState) bool { return e.Declared.fits(m.free()) })
		if i < 0 {
			return false
		}
		m := f.workers[i]
		e.attempt++
		f.running[e.ID] = &task{Task: Task{Job: e.ID, Attempt: e.attempt}, job: e, worker: m, size: e.Declared}
		m.reserved.Cores += e.Declared.Cores
		m.reserved.MemoryMB += e.Declared.MemoryMB
		m.reserved.Accelerators += e.Declared.Accelerators
		l = append(l, StartCmd{Task: Task{Job: e.ID, Attempt: e.attempt}, Worker: m.Name, Size: e.Declared})
		return true
	})
	return l
}
