package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"burdockreach.dev/node/burn"
)

// reportCommand returns the command that prints the merged burn report of all entries.
func (a *app) reportCommand() *command {
	l, svg := a.newAPIClient(), ""
	return &command{
		app: a, name: "report", synopsis: "report the service-level burn of all entries together", usage: program + " report [flags]",
		flags: func(f *flag.FlagSet) {
			l.flags(f)
			f.StringVar(&svg, "svg", "", "file that gets the picture")
		},
		run: func(c context.Context, _ *flag.FlagSet) error {
			r, err := l.burnReport(c)
			if err != nil {
				return err
			}
			if svg != "" {
				if err := writeSVG(r, svg); err != nil {
					return err
				}
			}
			if l.asJSON {
				return a.writeJSON(r)
			}
			return r.WriteText(a.out)
		},
	}
}

// burnReport gets the burn reports of all entries and merges them. The result names the entries that did not answer.
func (l *apiClient) burnReport(c context.Context) (burn.Report, error) {
	rs, err := getAll[burn.Report](c, l, "/op/burn")
	if err != nil {
		return burn.Report{}, err
	}
	var all []burn.Report
	answered := false
	for _, r := range rs {
		if r.err != nil {
			all = append(all, burn.Report{Entries: []burn.EntryReport{{Entry: r.addr, MissingReason: eris.ToString(r.err, false)}}})
			continue
		}
		answered = true
		all = append(all, r.value)
	}
	if !answered {
		return burn.Report{}, eris.Wrap(rs[0].err, "no entry answered")
	}
	return burn.Merge(all...), nil
}

func writeSVG(r burn.Report, path string) error {
	f, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "create picture")
	}
	if err := r.WriteSVG(f); err != nil {
		_ = f.Close()
		return err
	}
	return eris.Wrap(f.Close(), "write picture")
}

// writeWaveProgress prints the progress of a maintenance wave in each data centre.
func (l *apiClient) writeWaveProgress(c context.Context, id string) error {
	r, err := l.burnReport(c)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, w := range r.Waves {
		if w.ID != id {
			continue
		}
		took := "running"
		if !w.Ended.IsZero() {
			took = fmt.Sprint(w.Ended.Sub(w.Started).Round(time.Second / 10))
		}
		rows = append(rows, formatRow(w.DataCentre, w.Done, w.Total, took))
	}
	return l.app.table([]string{"DATA CENTRE", "DONE", "OF", "TOOK"}, rows)
}
