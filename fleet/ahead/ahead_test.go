package ahead_test

import (
	"testing"

	"github.com/matryer/is"

	"burdockreach.dev/fleet/ahead"
)

const now = int64(1_000)

func cpu(n int64) ahead.Size { return ahead.Size{CPU: n, MemMB: 10} }

// worker returns a worker with free CPU and runs of 4 cores each.
func worker(free int64, ends ...int64) *ahead.Worker {
	var l []ahead.Run
	for _, e := range ends {
		l = append(l, ahead.Run{Size: cpu(4), EndsAt: e})
	}
	w := ahead.NewWorker(ahead.Size{CPU: free, MemMB: 100}, l)
	return &w
}

func reserves(t *testing.T, size, best int, at int64, l ...*ahead.Worker) {
	t.Helper()
	is := is.New(t)
	i, when, ok := ahead.Reserve(l, cpu(int64(size)), now, func(int) bool { return true })
	is.Equal(ok, best >= 0)
	is.Equal(i, best)
	if ok {
		is.Equal(when, at)
	}
}

// Guards against reserving the worker with the most free room although others are empty earlier.
func TestReserve(t *testing.T) {
	t.Run("first end, not the most room", func(t *testing.T) {
		reserves(t, 8, 1, 1_300, worker(7, 5_000), worker(0, 1_300, 1_200, 9_000))
	})
	t.Run("room now", func(t *testing.T) { reserves(t, 4, 1, now, worker(0, 1_100), worker(4, 2_000)) })
	t.Run("runs that never end", func(t *testing.T) { reserves(t, 8, -1, 0, worker(4, ahead.Never), worker(0, 1_100)) })
	t.Run("an expected end that has passed", func(t *testing.T) { reserves(t, 8, 0, now, worker(4, 900)) })
	t.Run("capacity that has shrunk below its use", func(t *testing.T) { reserves(t, 8, 1, 3_000, worker(-8, 1_100, 1_200), worker(4, 3_000)) })
	t.Run("not allowed", func(t *testing.T) {
		i, _, ok := ahead.Reserve([]*ahead.Worker{worker(8), worker(4, 2_000)}, cpu(8), now, func(i int) bool { return i == 1 })
		is.New(t).True(ok && i == 1)
	})
}

func admits(t *testing.T, strict bool, size int, endsAt int64, want bool) {
	t.Helper()
	w := worker(6, 2_000, 3_000) // 10 cores are free at 2,000; 2 of them beside the 8 reserved.
	r := ahead.NewReservation(w, cpu(8), 2_000, strict)
	is.New(t).Equal(r.Backfill(cpu(int64(size)), endsAt), want)
}

// Guards against backfill that delays the task for which the room is reserved.
func TestBackfill(t *testing.T) {
	t.Run("ends before", func(t *testing.T) { admits(t, false, 6, 2_000, true) })
	t.Run("ends after", func(t *testing.T) { admits(t, false, 3, 2_001, false) })
	t.Run("fits beside", func(t *testing.T) { admits(t, false, 2, ahead.Never, true) })
	t.Run("strict, ends before", func(t *testing.T) { admits(t, true, 3, 1_100, false) })
	t.Run("strict, fits beside", func(t *testing.T) { admits(t, true, 2, ahead.Never, true) })
	t.Run("room beside is used once", func(t *testing.T) {
		is := is.New(t)
		r := ahead.NewReservation(worker(6, 2_000), cpu(8), 2_000, false)
		r.Use(cpu(4), 1_500)
		is.True(r.Backfill(cpu(2), 9_000)) // a task that ends before took nothing of it.
		r.Use(cpu(2), 9_000)
		is.True(!r.Backfill(cpu(1), 9_000))
	})
}

func ends(t *testing.T, p ahead.Progress, want int64) {
	t.Helper()
	is.New(t).Equal(p.EndsAt(now), want)
}

// Guards against promises that rest on estimates which progress or the run's age has disproved.
func TestEndsAt(t *testing.T) {
	t.Run("estimate", func(t *testing.T) { ends(t, ahead.Progress{StartedAt: 900, ExpectedMs: 400}, 1_300) })
	t.Run("progress", func(t *testing.T) {
		ends(t, ahead.Progress{StartedAt: 600, ExpectedMs: 400, Percent: 20, ReportedAt: 900}, 2_100)
	})
	t.Run("too little progress to extrapolate", func(t *testing.T) {
		ends(t, ahead.Progress{StartedAt: 900, ExpectedMs: 400, Percent: 1, ReportedAt: 950}, 1_300)
	})
	t.Run("old progress", func(t *testing.T) {
		ends(t, ahead.Progress{StartedAt: 0, ExpectedMs: 4_000, Percent: 10, ReportedAt: 100}, 4_000)
	})
	t.Run("overrun", func(t *testing.T) { ends(t, ahead.Progress{StartedAt: 0, ExpectedMs: 400}, 1_500) })
	t.Run("start not confirmed", func(t *testing.T) { ends(t, ahead.Progress{StartedAt: now}, now) })
}
