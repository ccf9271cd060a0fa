// Command slopes measures the costs of the system's parts at several sizes, and writes the record and the capacity page.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"burdockreach.dev/bench/slope"
	"burdockreach.dev/flow/ledger"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", eris.ToString(err, false))
		os.Exit(1)
	}
}

func run(args []string) error {
	f := flag.NewFlagSet("slopes", flag.ContinueOnError)
	out := f.String("out", "docs/slopes.json", "where the record goes")
	page := f.String("page", "docs/CAPACITY.md", "where the page goes")
	again := f.Bool("again", false, "write the page from the record that stands, without measuring")
	z := slope.DesignSize()
	f.Float64Var(&z.RequestsPerWorker, "requests", z.RequestsPerWorker, "mean requests a second of a worker")
	f.Float64Var(&z.KeyedShare, "keyed", z.KeyedShare, "share of requests with an idempotency key")
	f.Float64Var(&z.EntryCores, "cores", z.EntryCores, "cores of an entry VM")
	f.Float64Var(&z.EntryTargetUse, "use", z.EntryTargetUse, "share of them that the mean demand may use")
	if err := f.Parse(args); err != nil {
		return eris.Wrap(err, "flags")
	}
	if *again {
		return writePage(*out, *page)
	}
	r := slope.Record{Command: "make slopes", Machine: machine(), Size: z, Settings: defaultSettings()}
	for _, m := range []func() []slope.Series{confSeries, viewSeries, fleetSeries, beatSeries, claimSeries, pathSeries} {
		for _, s := range m() {
			l := slope.Fit(s.Points)
			fmt.Printf("%-16s %14.1f + %10.2f %s per %s, residual %.1f%%\n", s.Name, l.Base(), l.Slope(), s.Unit, s.SizeUnit, 100*l.Residual())
			r.Series = append(r.Series, s)
		}
	}
	if err := r.Save(*out); err != nil {
		return err
	}
	return writePage(*out, *page)
}

func writePage(record, page string) error {
	r, err := slope.Load(record)
	if err != nil {
		return err
	}
	return eris.Wrap(os.WriteFile(page, []byte(r.Page()), 0o644), "write page") //nolint:gosec // a public page.
}

// defaultSettings returns the defaults of those entry settings that the costs depend on.
func defaultSettings() slope.Settings {
	s := settings()
	return slope.Settings{
		BeatMs: float64(s.HeartbeatInterval().Milliseconds()), TickMs: float64(s.LeaderTick().Milliseconds()),
		WatchWaitMs: float64(s.MaxWatchWait().Milliseconds()), LeaseMs: float64(s.LeaderLease().Milliseconds()),
		RememberSeconds: ledger.RecordTTL.Seconds(), MaxKeys: float64(s.MaxKeys()), DeadlineMs: float64(s.DefaultDeadline().Milliseconds()),
	}
}

func machine() slope.Machine {
	m := slope.Machine{Cores: runtime.NumCPU(), System: runtime.GOOS + "/" + runtime.GOARCH, Go: runtime.Version()}
	b, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return m
	}
	for l := range strings.Lines(string(b)) {
		if w := strings.Fields(l); len(w) > 1 && w[0] == "MemTotal:" {
			kb, _ := strconv.Atoi(w[1])
			m.MemoryGB = (kb + 1<<19) >> 20
		}
	}
	return m
}
