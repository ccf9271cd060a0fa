package ahead

import (
	"cmp"
	"math"
	"slices"
)

// Never is the end of a run that does not end by itself.
const Never = int64(math.MaxInt64)

// Run is a run at a worker.
type Run struct {
	Size   Size
	EndsAt int64 // expected end, ms.
}

// Worker is a worker's free room and its runs.
type Worker struct {
	free Size
	runs []Run // by expected end, without those that do not end by themselves.
}

// NewWorker returns a worker. It takes over the runs.
func NewWorker(free Size, runs []Run) Worker {
	runs = slices.DeleteFunc(runs, func(r Run) bool { return r.EndsAt == Never })
	slices.SortFunc(runs, func(a, b Run) int { return cmp.Compare(a.EndsAt, b.EndsAt) })
	return Worker{free: free, runs: runs}
}

// Free returns the room that is free now.
func (w *Worker) Free() Size { return w.free }

// FitsAt returns the time, at now or later, at which the size fits, if that is before the given time.
func (w *Worker) FitsAt(size Size, now, before int64) (int64, bool) {
	if size.Fits(w.free) {
		return now, now < before
	}
	free := w.free
	for _, r := range w.runs {
		if r.EndsAt >= before {
			return 0, false
		}
		free = free.Plus(r.Size)
		if size.Fits(free) {
			return max(r.EndsAt, now), true
		}
	}
	return 0, false
}

// freeAt returns the room that is free at the given time if nothing more is started.
func (w *Worker) freeAt(at int64) Size {
	free := w.free
	for _, r := range w.runs {
		if r.EndsAt > at {
			break
		}
		free = free.Plus(r.Size)
	}
	return free
}
