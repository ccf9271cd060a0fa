package burn

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
)

// worstHours is the number of worst hours listed for each series.
const worstHours = 3

// minuteFormat is the layout of times in the text.
const minuteFormat = "2006-01-02 15:04"

// WriteText writes the report as aligned tables.
func (r Report) WriteText(w io.Writer) error {
	var b strings.Builder
	r.writeEntries(&b)
	r.writeServices(&b)
	r.writeWorstHours(&b)
	r.writeCost(&b)
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	if _, err := io.WriteString(t, b.String()); err != nil {
		return eris.Wrap(err, "burn: write text")
	}
	return eris.Wrap(t.Flush(), "burn: write text")
}

func (r Report) writeEntries(w *strings.Builder) {
	fmt.Fprintf(w, "ENTRY\tDATA CENTRE\tCOUNTS SINCE\n")
	for _, e := range r.Entries {
		if e.MissingReason != "" {
			fmt.Fprintf(w, "%s\t%s\tnot heard: %s\n", e.Entry, e.DataCentre, e.MissingReason)
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%s\n", e.Entry, e.DataCentre, e.CountingSince.UTC().Format(minuteFormat))
	}
}

func (r Report) writeServices(w *strings.Builder) {
	fmt.Fprintf(w, "\nSERVICE\tCLASS\tPROFILE\tOBJECTIVE\tREQUESTS\tLATE\tFAILED\tREFUSED\tBUDGET SPENT\tBURN 5m\t1h\t6h\t3d\tSPEED\n")
	for _, s := range r.Services {
		var c Counts
		if n := len(s.Windows); n > 0 {
			c = s.Windows[n-1].Counts
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%.4g%%\t%d\t%d\t%d\t%d\t%.1f%%", s.Service, s.Class, s.Profile, s.Objective*100,
			c.Total(), c.Late, c.Failed, c.Refused, s.BudgetSpent()*100)
		for _, x := range s.Windows {
			fmt.Fprintf(w, "\t%.2f", x.Counts.Rate(s.Objective))
		}
		fmt.Fprintf(w, "\t%s\n", s.Speed)
	}
}

func (r Report) writeWorstHours(w *strings.Builder) {
	head := "\nWORST HOUR\tSERVICE\tCLASS\tREQUESTS\tMISSED\tBURN\n"
	for _, s := range r.Services {
		for _, p := range s.WorstHours(worstHours) {
			w.WriteString(head)
			head = ""
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%.2f\n", p.Start.UTC().Format(minuteFormat), s.Service, s.Class,
				p.Counts.Total(), p.Counts.Missed(), p.Counts.Rate(s.Objective))
		}
	}
}

func (r Report) writeCost(w *strings.Builder) {
	heading(w, "POOL\tDATA CENTRE\tSPARE VMS\tSPARE VM HOURS", len(r.Spares))
	for _, s := range r.Spares {
		fmt.Fprintf(w, "%s\t%s\t%d\t%.2f\n", s.Pool, s.DataCentre, s.VMs, s.VMHours)
	}
	heading(w, "MOVED FROM\tTO\tVMS", len(r.Moves))
	for _, m := range r.Moves {
		fmt.Fprintf(w, "%s\t%s\t%d\n", m.From, m.To, m.Count)
	}
	heading(w, "WAVE\tDATA CENTRE\tDONE\tOF\tTOOK", len(r.Waves))
	for _, v := range r.Waves {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\n", v.ID, v.DataCentre, v.Done, v.Total, v.elapsed())
	}
}

// heading writes the column names of a table, or nothing if the table has no rows.
func heading(w *strings.Builder, columns string, rows int) {
	if rows > 0 {
		fmt.Fprintf(w, "\n%s\n", columns)
	}
}

// elapsed returns how long the wave took, or "running".
func (v WaveReport) elapsed() string {
	if v.Ended.IsZero() {
		return "running"
	}
	return v.Ended.Sub(v.Started).Round(time.Second).String()
}
