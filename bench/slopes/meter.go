package main

import (
	"runtime"
	"syscall"
	"time"

	"burdockreach.dev/bench/slope"
)

const (
	minRunTime  = 50 * time.Millisecond // least processor time of one measurement
	initialRuns = 4
	repeats     = 3

	gcRounds = 4
	gcPause  = 10 * time.Millisecond
)

// cpuNow returns the processor time that this process has used.
func cpuNow() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// minOfRuns returns the smallest result of several runs of f, since other work on the machine can only add to it.
func minOfRuns(f func() float64) float64 {
	v := f()
	for range repeats - 1 {
		v = min(v, f())
	}
	return v
}

// cpuOf returns the processor time of one call of f, in nanoseconds.
func cpuOf(f func()) float64 {
	f()
	return minOfRuns(func() float64 { return meanCPU(f) })
}

func meanCPU(f func()) float64 {
	for n := initialRuns; ; n *= 2 {
		runtime.GC()
		start := cpuNow()
		for range n {
			f()
		}
		if d := cpuNow() - start; d >= minRunTime {
			return float64(d) / float64(n)
		}
	}
}

// heapOf returns the bytes of heap that the result of f occupies.
func heapOf(f func() any) float64 {
	before := heapNow()
	v := f()
	after := heapNow()
	runtime.KeepAlive(v)
	return float64(after) - float64(before)
}

func heapNow() uint64 {
	var m runtime.MemStats
	for range gcRounds { // pools and finalizers release memory only after several collections
		runtime.GC()
		time.Sleep(gcPause)
	}
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// measureSeries measures f at each size.
func measureSeries(name, what, unit, per string, sizes []int, f func(n int) float64) slope.Series {
	s := slope.Series{Name: name, Description: what, Unit: unit, SizeUnit: per}
	for _, n := range sizes {
		s.Points = append(s.Points, slope.Point{X: float64(n), Y: f(n)})
	}
	return s
}
