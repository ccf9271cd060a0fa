// Command bench prints a table of performance figures: the result of this system, that of a simple baseline, and the goal.
// Some rows come from real processes on loopback, the others from traces that are replayed through the decision code.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"burdockreach.dev/bench/live"
)

func main() {
	c, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := run(c, os.Args[1:])
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "bench:", eris.ToString(err, false))
		os.Exit(1)
	}
}

func run(ctx context.Context, args []string) error {
	f := flag.NewFlagSet("bench", flag.ContinueOnError)
	bin := f.String("bin", "bin", "folder of the built programs")
	relay := f.String("relay", "", "run a bare relay at this IP:port instead")
	seed := f.Uint64("seed", 1, "seed of the traces")
	decisions := f.Bool("decisions", false, "replay the decisions only, without processes")
	to := f.String("to", "", "where the bare relay sends")
	if err := f.Parse(args); err != nil {
		return eris.Wrap(err, "flags")
	}
	if *relay != "" {
		return live.ServeRelay(ctx, *relay, *to)
	}
	rows := append(sharingRows(*seed), moveRows(int64(*seed))...)
	rows = append(rows, waveRows(int64(*seed))...)
	rows = append(rows, jobRows(int64(*seed))...)
	if !*decisions {
		l, err := liveRows(ctx, *bin)
		if err != nil {
			return err
		}
		rows = append(l, rows...)
	}
	return writeTable(os.Stdout, rows)
}

// Goals and sizes of the measurements through real processes.
const (
	minRateRatio    = 0.8  // of the bare relay's request rate
	maxP99Ratio     = 1.3  // of the bare relay's p99 latency
	steadyRateRatio = 0.25 // of the bare relay's highest rate
	maxChangeDelay  = 2 * time.Second
	changeCount     = 200
	changeEntries   = 6
	changeQuantile  = 0.999
)

// liveRows measures requests and configuration changes through real processes on loopback.
func liveRows(ctx context.Context, bin string) ([]row, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, eris.Wrap(err, "own path")
	}
	var rows []row
	for _, k := range []live.Kind{live.PlainGet, live.KeyedPost} {
		l, err := loadRows(ctx, bin, self, k)
		if err != nil {
			return nil, err
		}
		rows = append(rows, l...)
	}
	s, err := live.Start(ctx, bin, self, changeEntries)
	if err != nil {
		return nil, err
	}
	defer s.Stop()
	c, err := s.MeasureChanges(ctx, changeCount)
	return append(rows, row{
		metric: fmt.Sprintf("a change in force at %d entries, %d changes", changeEntries, c.Len()),
		result: fmt.Sprintf("p50 %v, p99.9 %v", c.Quantile(0.5).Round(time.Millisecond), c.Quantile(changeQuantile).Round(time.Millisecond)), baseline: "—",
		goal: "p99.9 within 2s", goalMet: c.Len() == changeCount && c.Quantile(changeQuantile) <= maxChangeDelay,
	}), err
}

// loadRows measures one kind of request, first at the highest rate and then at a fixed one.
func loadRows(ctx context.Context, bin, self string, k live.Kind) ([]row, error) {
	s, err := live.Start(ctx, bin, self, 2)
	if err != nil {
		return nil, err
	}
	defer s.Stop()
	high, err := s.MeasureHighest(ctx, k)
	if err != nil {
		return nil, err
	}
	low, err := s.MeasureAtRate(ctx, k, steadyRateRatio*high.Relay.PerSecond)
	return []row{
		{
			metric: "requests a second, " + kindLabel(k), result: formatFigures(high.Entry) + fmt.Sprintf(" (%.2f)", high.RateRatio()), baseline: "bare relay " + formatFigures(high.Relay),
			goal: fmt.Sprintf("at least %.1f of its rate", minRateRatio), goalMet: high.RateRatio() >= minRateRatio && high.Entry.Failed == 0,
		},
		{
			metric: fmt.Sprintf("p99 at %.0f requests a second, %s", steadyRateRatio*high.Relay.PerSecond, kindLabel(k)),
			result: formatFigures(low.Entry) + fmt.Sprintf(" (%.2f)", low.P99Ratio()), baseline: "bare relay " + formatFigures(low.Relay),
			goal: fmt.Sprintf("at most %.1f of its p99", maxP99Ratio), goalMet: low.P99Ratio() <= maxP99Ratio && low.Entry.Failed == 0,
		},
	}, err
}

func kindLabel(k live.Kind) string {
	if k == live.KeyedPost {
		return "POST with a key that two entries hold"
	}
	return "GET"
}

func formatFigures(f live.Figures) string {
	return fmt.Sprintf("%.0f/s, p50 %v, p99 %v, failed %d", f.PerSecond, f.P50, f.P99, f.Failed)
}
