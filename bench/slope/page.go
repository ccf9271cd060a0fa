package slope

import (
	"fmt"
	"strings"
)

// Page returns the capacity page, in Markdown, computed from the record.
func (r Record) Page() string {
	m := newModel(r)
	var b strings.Builder
	fmt.Fprintf(&b, "# Capacity\n\nWhat the design costs at %.0f workers with %.0f accelerators, %.0f pools with a service each, %.0f teams, %.0f data centres in 2 regions, "+
		"%.0f changes a day, %.0f failures and %.0f restarts a day, and every VM maintained once in %.0f days. Every figure is a measured slope times a size; "+
		"`make slopes` measures and writes this page and `docs/slopes.json`.\n\n",
		r.Size.Workers, r.Size.Accelerators, r.Size.Pools, r.Size.Teams, r.Size.DataCentres, r.Size.ChangesPerDay, r.Size.FailuresPerDay, r.Size.RestartsPerDay, r.Size.WaveDays)
	fmt.Fprintf(&b, "Limits a node for control: %s, %s, %s (both ways together); aimed at is half of each. The service: %.0f reads/s with watches, %.0f writes/s, values of 1 MiB.\n\n",
		formatValue(cpuLimit, unitCores), formatValue(memoryLimit, unitBytes), formatValue(bandwidthLimit, unitBytesPerSecond), readLimit, writeLimit)
	all := append(m.roles(), m.peaks())
	writeOverLimit(&b, all)
	for _, t := range all {
		t.write(&b)
	}
	m.writeTraffic(&b)
	m.writeTimes(&b)
	r.writeMethod(&b)
	return b.String()
}

// writeOverLimit writes the rows that exceed their limit, each with the proposed remedy.
func writeOverLimit(b *strings.Builder, l []role) {
	b.WriteString("## Over the limit\n\n| role | what | figure | limit | cause | proposed |\n|---|---|---|---|---|---|\n")
	for _, t := range l {
		for _, r := range t.rows {
			if r.exceedsLimit() {
				fmt.Fprintf(b, "| %s | %s | %s | %s | %s | %s |\n", t.title, r.metric, r.formatted(), formatValue(r.limit, r.unit), r.mechanism, r.proposal)
			}
		}
	}
	b.WriteString("\n")
}

// writeTimes writes how the promised times are reached, and which of them are not measured.
func (m model) writeTimes(b *strings.Builder) {
	fmt.Fprintf(b, "## Times\n\n- A change in force everywhere within %.0f s: a waiting watch brings it at once to each entry that reaches the service; for the others it goes by beats, "+
		"at once and then each %.2g s to %.0f peers, and to one entry of another data centre each %.2g s. Not measured at this size.\n", changeDelayLimit, m.Settings.BeatMs/1000, m.beatPeers(), roundsPerFarBeat*m.Settings.BeatMs/1000)
	b.WriteString("- Urgent work starts within 1.5 s: flow/queue holds it as long as urgent work alone fits the slots; what it costs is in requestCPU. Not measured at this size.\n" +
		"- Regions parted for minutes: each data centre goes on from its view; leaders start no planned stop while another leader's key is gone (node/leader/read.go pollLeaders). No row grows while parted but the queue of settlements.\n" +
		"- A rack lost weekly: 4 VMs, the same writes as four failures.\n" +
		"- Accelerators: the platform's list counts them; nothing places work by them (" + notBuilt + ").\n\n")
}

// writeMethod writes how the record was measured, and the fit of each series.
func (r Record) writeMethod(b *strings.Builder) {
	fmt.Fprintf(b, "## How it was measured\n\n`%s` on a machine with %d cores and %d GB, %s, %s, which other work shared; so times are processor time of the whole process "+
		"(the loopback's other end included where it says so), never wall time, and the least of three runs where runs could be repeated. Each line is a least-squares fit; the residual is the largest distance from it as a share of the largest value. "+
		"A negative base comes from costs that grow faster than the size. Times vary from run to run with the other work on the machine, which the residual shows only in part; bytes on the wire hardly do.\n\n| series | what | base | slope | per | sizes | residual |\n|---|---|---|---|---|---|---|\n",
		r.Command, r.Machine.Cores, r.Machine.MemoryGB, r.Machine.System, r.Machine.Go)
	for _, s := range r.Series {
		f := Fit(s.Points)
		var x []string
		for _, p := range s.Points {
			x = append(x, formatNumber(p.X))
		}
		fmt.Fprintf(b, "| %s | %s | %s %s | %s %s | %s | %s | %.1f%% |\n", s.Name, s.Description, formatNumber(f.Base()), s.Unit, formatNumber(f.Slope()), s.Unit, s.SizeUnit, strings.Join(x, ", "), 100*f.Residual())
	}
}
