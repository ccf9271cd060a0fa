// Command bench prints the project's figures: ours, a naive or bare one, and the aim.
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
		return live.Relay(ctx, *relay, *to)
	}
	rows := append(turns(*seed), days(int64(*seed))...)
	rows = append(rows, waves(int64(*seed))...)
	rows = append(rows, nights(int64(*seed))...)
	if !*decisions {
		l, err := requests(ctx, *bin)
		if err != nil {
			return err
		}
		rows = append(l, rows...)
	}
	return table(os.Stdout, rows)
}

// Aims of the live rows.
const (
	leastRate     = 0.8 // of the bare relay's
	mostP99       = 1.3 // of the bare relay's
	steadyShare   = 0.25
	mostChange    = 2 * time.Second
	changes       = 200
	changeEntries = 6
	changeShare   = 0.999
)

// requests measures through processes on loopback.
func requests(ctx context.Context, bin string) ([]row, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, eris.Wrap(err, "own path")
	}
	var rows []row
	for _, k := range []live.Kind{live.Read, live.Order} {
		l, err := pairs(ctx, bin, self, k)
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
	c, err := s.Changes(ctx, changes)
	return append(rows, row{
		what: fmt.Sprintf("a change in force at %d entries, %d changes", changeEntries, c.Len()),
		ours: fmt.Sprintf("p50 %v, p99.9 %v", c.Quantile(0.5).Round(time.Millisecond), c.Quantile(changeShare).Round(time.Millisecond)), beside: "—",
		aim: "p99.9 within 2s", kept: c.Len() == changes && c.Quantile(changeShare) <= mostChange,
	}), err
}

// pairs measures one kind of request at the highest rate and at a steady one.
func pairs(ctx context.Context, bin, self string, k live.Kind) ([]row, error) {
	s, err := live.Start(ctx, bin, self, 2)
	if err != nil {
		return nil, err
	}
	defer s.Stop()
	high, err := s.Highest(ctx, k)
	if err != nil {
		return nil, err
	}
	low, err := s.Steady(ctx, k, steadyShare*high.Relay.PerSecond)
	return []row{
		{
			what: "requests a second, " + name(k), ours: figures(high.Entry) + fmt.Sprintf(" (%.2f)", high.RateRatio()), beside: "bare relay " + figures(high.Relay),
			aim: fmt.Sprintf("at least %.1f of its rate", leastRate), kept: high.RateRatio() >= leastRate && high.Entry.Failed == 0,
		},
		{
			what: fmt.Sprintf("p99 at %.0f requests a second, %s", steadyShare*high.Relay.PerSecond, name(k)),
			ours: figures(low.Entry) + fmt.Sprintf(" (%.2f)", low.P99Ratio()), beside: "bare relay " + figures(low.Relay),
			aim: fmt.Sprintf("at most %.1f of its p99", mostP99), kept: low.P99Ratio() <= mostP99 && low.Entry.Failed == 0,
		},
	}, err
}

func name(k live.Kind) string {
	if k == live.Order {
		return "POST with a key that two entries hold"
	}
	return "GET"
}

func figures(f live.Figures) string {
	return fmt.Sprintf("%.0f/s, p50 %v, p99 %v, failed %d", f.PerSecond, f.P50, f.P99, f.Failed)
}
