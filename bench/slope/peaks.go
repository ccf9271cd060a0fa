package slope

import (
	"fmt"
	"math"
	"strings"
)

// peaks returns the costs during failures, takeovers and demand peaks.
func (m model) peaks() role {
	n, shown := m.totalEntries(), m.newcomerViewBytes()
	return role{
		title:   "Peaks",
		summary: "The moments that the means hide. Rates are over the seconds that the row names.",
		rows: []row{
			{metric: "outage of the service ends: calls", value: m.resyncCallRate(), unit: unitPerSecond, limit: readLimit,
				derivation: "entries x 7 calls within the longest wait of 2 s", mechanism: "plat/conf/follow.go outageWaits (jitter), node/relay/roster.go watch"},
			{metric: "outage ends: leaders' calls", value: m.Size.DataCentres * m.costAt("coldCalls", m.vms()), unit: unitCount, derivation: "leaders x coldCalls, at the worst in the same second", mechanism: "node/leader/read.go"},
			{metric: "data centre lost: entries needed in each other one", value: math.Ceil(m.Size.DataCentres / (m.Size.DataCentres - 1) * m.entriesFor(1)), unit: unitCount,
				derivation: "entries x 6/5, if callers go to the others", mechanism: "platform's balancer; waves stop by node/leader/read.go pollLeaders"},
			{metric: "workers of a data centre lost at once: writes", value: m.costAt("lossWrites", m.vms()), unit: unitCount, limit: writeLimit,
				derivation: "lossWrites: each shard and each budget once, within some ticks", mechanism: "fleet/wave Planner, node/leader/act.go"},
			{metric: "the same: one delta of the view", value: m.costAt("viewDelta", m.vms()), unit: unitBytes, derivation: "viewDelta x VMs, in each beat until all have it", mechanism: "node/daemon/gossip.go peerReport"},
			{metric: "strike morning, one queue at 5 times its mean: entry's processor time", unit: unitCores, limit: m.Size.EntryCores,
				value: (1 + (peakDemand-1)/m.Size.Pools) * m.requestsPerSecond() / m.entries * m.requestNs() / 1e9, derivation: "mean x (1 + 4/51); refusals taken to cost as much as answers", mechanism: "flow/queue, flow/admit"},
			{metric: "strike morning, every queue at once: entries of a data centre", value: m.entriesFor(peakDemand), unit: unitCount, derivation: "5 x mean demand", mechanism: "more entry VMs, or shedding at the entry (flow/queue)"},
			{metric: "every entry replaced in an hour: writes of rosters", value: 2 * n / 3600, unit: unitPerSecond, limit: writeLimit, derivation: "2 an entry", mechanism: "node/relay/roster.go proposeRoster"},
			{metric: "the same: bytes read of the service", value: n / 3600 * (base64Share*m.costAt("documentPerTeam", m.Size.Teams) + snapshotInterval*m.costPerUnit("changeList")), unit: unitBytesPerSecond, derivation: "newcomer's reading x entries / hour", mechanism: "plat/conf/source.go"},
			{metric: "the same: whole views that a leader sends for one newcomer", value: shown, unit: unitBytes, derivation: "viewWhole in every beat of the rounds until the newcomer is heard", mechanism: "node/daemon/gossip.go oldestVersion: one delta for all"},
			{metric: "the same, as a mean of the hour", value: shown * m.entries / 3600, unit: unitBytesPerSecond, limit: bandwidthLimit, derivation: "the row above x entries / hour", mechanism: "node/daemon/gossip.go",
				proposal: "give a whole view only to the peer that lacks it; the others get the delta from their own version"},
			{metric: "leader takes over cold: calls of the service", value: m.costAt("coldCalls", m.vms()), unit: unitCount, derivation: "coldCalls: shards, budgets, other leaders, each budget by key", mechanism: "node/leader/read.go listAll, readMissing"},
			{metric: "leader takes over cold: bytes of values", value: base64Share * m.costAt("coldBytes", m.vms()), unit: unitBytes, derivation: "coldBytes x 4/3", mechanism: "node/leader/read.go"},
			{metric: "leader takes over cold: seconds without a leader", value: m.Settings.LeaseMs / 1000 * (1 + 1/renewalsPerLease), unit: unitCount, derivation: "lease, and a third until the next look", mechanism: "plat/lease/model.go"},
		},
	}
}

// writeEntryScaling writes what the control traffic costs with different numbers of entries in a data centre.
func (m model) writeEntryScaling(b *strings.Builder) {
	b.WriteString("| entries a data centre | in all | beats of one | bytes of one | processor time of one | reads of the service | calls when an outage ends | whole views for one newcomer | keys of one |\n" +
		"|---|---|---|---|---|---|---|---|---|\n")
	for _, n := range []float64{4, 12, 40, 240} {
		o := m
		o.entries = n
		fmt.Fprintf(b, "| %.0f | %.0f | %s | %s | %s | %s | %s | %s | %s |\n", n, o.totalEntries(), formatValue(o.nearBeats()+o.farBeats(), unitPerSecond), boldIfOver(o.entryBandwidth(), unitBytesPerSecond, bandwidthLimit),
			boldIfOver(o.entryCPU(), unitCores, cpuLimit), boldIfOver(o.serviceReads(), unitPerSecond, readLimit), boldIfOver(o.resyncCallRate(), unitPerSecond, readLimit),
			formatValue(o.newcomerViewBytes(), unitBytes), boldIfOver(o.keysHeld(), unitCount, m.Settings.MaxKeys))
	}
	b.WriteString("\nBold is over the limit. With 240 entries a data centre the calls at the end of an outage need a longer spread, and the service's reads come near its rate: " +
		"then few entries should follow the log and pass it on.\n\n")
}

// boldIfOver formats the value, in bold if it is over its limit.
func boldIfOver(v float64, u unit, limit float64) string {
	if v > limit {
		return "**" + formatValue(v, u) + "**"
	}
	return formatValue(v, u)
}

// writeTraffic writes the number of entries that each multiple of the mean demand needs.
func (m model) writeTraffic(b *strings.Builder) {
	fmt.Fprintf(b, "## Traffic and the number of entry VMs\n\nAssumed: %s requests/s a worker in the mean (8 slots, a quarter of them busy, 50 ms a request; the brief names slots and turns but no times), "+
		"%s/s in all, %g of them with an idempotency key. An entry VM has %g cores of which the mean may use %g. One entry more than needed stands in each data centre.\n\n",
		formatNumber(m.Size.RequestsPerWorker), formatNumber(m.requestsPerSecond()*m.Size.DataCentres), m.Size.KeyedShare, m.Size.EntryCores, m.Size.EntryTargetUse)
	b.WriteString("| demand | requests/s of a data centre | entries of a data centre | entries in all |\n|---|---|---|---|\n")
	for _, t := range []float64{0.25, 1, 2, peakDemand, 10} {
		n := m.entriesFor(t)
		fmt.Fprintf(b, "| %g x the mean | %s | %.0f | %.0f |\n", t, formatNumber(t*m.requestsPerSecond()), n, n*m.Size.DataCentres)
	}
	fmt.Fprintf(b, "\nIt rests on requestCPU, which one program measured with callers and target beside it, small bodies and keep-alive; and for keys on claimCPU between 3 entries, of which the taker is a holder for two keys in three. If entry VMs grow with the fleet as they stand today (8 for 50 workers), there are %.0f; the table shows what control costs by their number.\n\n",
		m.Size.Workers/50*8)
	m.writeEntryScaling(b)
}
