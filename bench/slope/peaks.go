package slope

import (
	"fmt"
	"math"
	"strings"
)

func (m model) peaks() role {
	n, shown := m.total(), m.wholeViews()
	return role{
		title: "Peaks",
		about: "The moments that the means hide. Rates are over the seconds that the row names.",
		rows: []row{
			{what: "outage of the service ends: calls", value: m.resync(), unit: perSecond, limit: readLimit,
				from: "entries x 7 calls within the longest wait of 2 s", carrier: "plat/conf/follow.go outageWaits (jitter), node/relay/roster.go watch"},
			{what: "outage ends: leaders' calls", value: m.Size.DataCentres * m.at("coldCalls", m.vms()), unit: count, from: "leaders x coldCalls, at the worst in the same second", carrier: "node/leader/read.go"},
			{what: "data centre lost: entries needed in each other one", value: math.Ceil(m.Size.DataCentres / (m.Size.DataCentres - 1) * m.entriesFor(1)), unit: count,
				from: "entries x 6/5, if callers go to the others", carrier: "platform's balancer; waves stop by node/leader/read.go listen"},
			{what: "workers of a data centre lost at once: writes", value: m.at("lossWrites", m.vms()), unit: count, limit: writeLimit,
				from: "lossWrites: each shard and each budget once, within some ticks", carrier: "fleet/wave Planner, node/leader/act.go"},
			{what: "the same: one delta of the view", value: m.at("viewDelta", m.vms()), unit: bytesOf, from: "viewDelta x VMs, in each beat until all have it", carrier: "node/daemon/news.go bulletin"},
			{what: "strike morning, one queue at 5 times its mean: entry's processor time", unit: core, limit: m.Size.EntryCores,
				value: (1 + (turnPeak-1)/m.Size.Pools) * m.requests() / m.entries * m.requestNs() / 1e9, from: "mean x (1 + 4/51); refusals taken to cost as much as answers", carrier: "flow/queue, flow/admit"},
			{what: "strike morning, every queue at once: entries of a data centre", value: m.entriesFor(turnPeak), unit: count, from: "5 x mean demand", carrier: "more entry VMs, or shedding at the entry (flow/queue)"},
			{what: "every entry replaced in an hour: writes of rosters", value: 2 * n / 3600, unit: perSecond, limit: writeLimit, from: "2 an entry", carrier: "node/relay/roster.go propose"},
			{what: "the same: bytes read of the service", value: n / 3600 * (base64Share*m.at("documentPerTeam", m.Size.Teams) + snapEvery*m.each("changeList")), unit: wire, from: "newcomer's reading x entries / hour", carrier: "plat/conf/source.go"},
			{what: "the same: whole views that a leader sends for one newcomer", value: shown, unit: bytesOf, from: "viewWhole in every beat of the rounds until the newcomer is heard", carrier: "node/daemon/news.go oldest: one delta for all"},
			{what: "the same, as a mean of the hour", value: shown * m.entries / 3600, unit: wire, limit: wireLimit, from: "the row above x entries / hour", carrier: "node/daemon/news.go",
				mend: "give a whole view only to the peer that lacks it; the others get the delta from their own version"},
			{what: "leader takes over cold: calls of the service", value: m.at("coldCalls", m.vms()), unit: count, from: "coldCalls: shards, budgets, other leaders, each budget by key", carrier: "node/leader/read.go listAll, absent"},
			{what: "leader takes over cold: bytes of values", value: base64Share * m.at("coldBytes", m.vms()), unit: bytesOf, from: "coldBytes x 4/3", carrier: "node/leader/read.go"},
			{what: "leader takes over cold: seconds without a leader", value: m.Settings.LeaseMs / 1000 * (1 + 1/renewParts), unit: count, from: "lease, and a third until the next look", carrier: "plat/lease/model.go"},
		},
	}
}

// scale is the control's cost by the number of entries of a data centre.
func (m model) scale(b *strings.Builder) {
	b.WriteString("| entries a data centre | in all | beats of one | bytes of one | processor time of one | reads of the service | calls when an outage ends | whole views for one newcomer | keys of one |\n" +
		"|---|---|---|---|---|---|---|---|---|\n")
	for _, n := range []float64{4, 12, 40, 240} {
		o := m
		o.entries = n
		fmt.Fprintf(b, "| %.0f | %.0f | %s | %s | %s | %s | %s | %s | %s |\n", n, o.total(), show(o.nearBeats()+o.farBeats(), perSecond), bold(o.entryWire(), wire, wireLimit),
			bold(o.entryCPU(), core, cpuLimit), bold(o.serviceReads(), perSecond, readLimit), bold(o.resync(), perSecond, readLimit),
			show(o.wholeViews(), bytesOf), bold(o.keysHeld(), count, m.Settings.MaxKeys))
	}
	b.WriteString("\nBold is over the limit. With 240 entries a data centre the calls at the end of an outage need a longer spread, and the service's reads come near its rate: " +
		"then few entries should follow the log and pass it on.\n\n")
}

// bold marks what is over its limit.
func bold(v float64, u unit, limit float64) string {
	if v > limit {
		return "**" + show(v, u) + "**"
	}
	return show(v, u)
}

func (m model) traffic(b *strings.Builder) {
	fmt.Fprintf(b, "## Traffic and the number of entry VMs\n\nAssumed: %s requests/s a worker in the mean (8 slots, a quarter of them busy, 50 ms a request; the brief names slots and turns but no times), "+
		"%s/s in all, %g of them with an idempotency key. An entry VM has %g cores of which the mean may use %g. One entry more than needed stands in each data centre.\n\n",
		figure(m.Size.RequestsPerWorker), figure(m.requests()*m.Size.DataCentres), m.Size.KeyedShare, m.Size.EntryCores, m.Size.EntryUse)
	b.WriteString("| demand | requests/s of a data centre | entries of a data centre | entries in all |\n|---|---|---|---|\n")
	for _, t := range []float64{0.25, 1, 2, turnPeak, 10} {
		n := m.entriesFor(t)
		fmt.Fprintf(b, "| %g x the mean | %s | %.0f | %.0f |\n", t, figure(t*m.requests()), n, n*m.Size.DataCentres)
	}
	fmt.Fprintf(b, "\nIt rests on requestCPU, which one program measured with callers and target beside it, small bodies and keep-alive; and for keys on claimCPU between 3 entries, of which the taker is a holder for two keys in three. If entry VMs grow with the fleet as they stand today (8 for 50 workers), there are %.0f; the table shows what control costs by their number.\n\n",
		m.Size.Workers/50*8)
	m.scale(b)
}
