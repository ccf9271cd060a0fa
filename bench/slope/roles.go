package slope

import "fmt"

const (
	notBuilt = "not built"
	perDay   = "changes a day"
)

func (m model) roles() []role {
	return []role{m.requestPath(), m.ordinary(), m.leader(), m.relay(), m.operators(), m.service()}
}

func (m model) requestPath() role {
	rate := m.requests() / m.entries
	return role{
		title: "An entry's request path",
		about: fmt.Sprintf("%.0f entries in each data centre share %s requests/s; no limit but the VM's own applies, except where keys do not fit the setting.",
			m.entries, figure(m.requests())),
		rows: []row{
			{what: "requests", value: rate, unit: perSecond, from: "requests a worker x workers / entries", carrier: "platform's balancer; node/entry serve"},
			{what: "processor time of a request without a key", value: m.each("requestCPU"), unit: nanos, from: "requestCPU", carrier: "node/entry call, flow/sched"},
			{what: "processor time that a key adds", value: m.each("claimCPU"), unit: nanos, from: "claimCPU, at taker and holders together", carrier: "node/relay Keeper.Take, joiner, outbox"},
			{what: "bytes between entries for keys", value: 2 * rate * m.Size.KeyedShare * m.each("claimBytes"), unit: wire, from: "claimBytes x keyed requests, sent and received", carrier: "node/relay Batch"},
			{what: "processor time", value: rate * m.requestNs() / 1e9, unit: core, limit: m.Size.EntryCores, from: "requests x (requestCPU + keyed share x claimCPU); the limit is the VM's cores",
				carrier: "node/entry"},
			{what: "quotas", value: m.each("quotaHeap") * m.Size.Teams, unit: bytesOf, from: "quotaHeap x teams, 51 services", carrier: "flow/admit Gate"},
			{what: "full queue of one service", value: m.each("queueHeap") * queueBound, unit: bytesOf, from: "queueHeap x 10,000; bodies not counted",
				carrier: "flow/queue, bound maxQueueRequests"},
			{what: "keys remembered", value: m.keysHeld(), unit: count, limit: m.Settings.MaxKeys,
				from:    fmt.Sprintf("requests x %g keyed x %g s x 2 holders / entries; the limit is the setting maxKeys", m.Size.KeyedShare, m.Settings.RememberS),
				carrier: "flow/ledger Book by roster, node/relay Keeper",
				mend:    "raise maxKeys with the VM's memory, or remember settled keys for less than 10 min; until then claims beyond it are refused as not run"},
			{what: "memory of those keys", value: m.keysHeld() * m.each("keyHeap"), unit: bytesOf, from: "keyHeap x keys; kept answers not counted", carrier: "flow/ledger table"},
		},
	}
}

func (m model) ordinary() role {
	idle, per := m.at("entryIdle", m.vms()), m.changes()
	return role{
		title: "An ordinary entry's control part",
		about: fmt.Sprintf("%.0f targets and %.0f services in its data centre, %.0f peers there. Bytes count both ways.", m.vms(), m.Size.Pools, m.entries-1),
		rows: []row{
			{what: "beats in the own data centre", value: m.nearBeats(), unit: perSecond, from: "2 peers or a tenth of them each beatMs, and all at once for each change or view",
				carrier: "node/relay/beater.go targets, near"},
			{what: "beats to other data centres", value: m.farBeats(), unit: perSecond, from: "one entry of one of them, every second round", carrier: "node/relay/beater.go targets"},
			{what: "bytes of beats", value: m.namedWire(), unit: wire, limit: wireLimit,
				from: "beats x beatBytes without services, loads to the leader alone every fourth round", carrier: "node/relay Beater over twirp, WithLeader",
				mend: "a beatMs of 1000 or more, and no beat to all for a change that a watch brings them anyway"},
			{what: "the same while no leader is heard", value: m.beatWire(), unit: wire, from: "beats x (beatBytes at 51 services, farBytes) x 2 ways",
				carrier: "node/relay Beater over twirp"},
			{what: "bytes of audits", value: m.auditWire(), unit: wire, limit: wireLimit, from: "65 changes x changeList / 20 s", carrier: "plat/conf/follow.go sync",
				mend: "audit by the newest change's key alone, in depth only by the leader of the first data centre"},
			{what: "bytes of calls and changes", value: m.callWire(), unit: wire, limit: wireLimit, from: "calls x callBytes + changes x changeList", carrier: "plat/wire, plat/conf Follower"},
			{what: "bytes together", value: m.entryWire(), unit: wire, limit: wireLimit, from: "beats as they run, audits, calls and changes", carrier: "sum of the rows above",
				mend: "the mendings above"},
			{what: "calls of the service", value: m.entryReads(), unit: perSecond, from: "log watch, audit, rosters, look at the leader's lease", carrier: "plat/conf Follower, node/relay/roster.go, plat/lease"},
			{what: "processor time of the services' ticks", value: idle / 1e9, unit: core, limit: cpuLimit, from: "entryIdle",
				carrier: "node/entry/service.go tick: 51 services at rest each 200 ms, tables when something changed",
				mend:    "tick only services at which something waits or is lent, none while all are quiet; make tables anew only when view, configuration or word of leaving changed"},
			{what: "of which one service costs", value: m.each("entryServices") / 1e9, unit: core, from: "entryServices", carrier: "node/entry/entry.go loop"},
			{what: "processor time of beats", value: m.beatNs() / 1e9, unit: core, limit: cpuLimit, from: "beats x beatCPU; includes a report made for each beat that comes in",
				carrier: "node/relay/beater.go Beat, node/daemon/news.go Report",
				mend:    "beat each second; make the report once a round, not for the Leaving list of each answer"},
			{what: "processor time of changes", value: per * (m.at("entryChange", m.vms()) + m.at("changeApply", m.Size.Teams)) / 1e9, unit: core, limit: cpuLimit,
				from: "changes/s x (entryChange + changeApply)", carrier: "node/entry/table.go refresh, plat/conf/apply.go"},
			{what: "processor time together", value: m.entryCPU(), unit: core, limit: cpuLimit, from: "rows above, views, audits and calls", carrier: "sum of the rows above",
				mend: "the mendings of the rows above"},
			{what: "memory of past views", value: m.at("shelfHeap", m.vms()), unit: bytesOf, limit: memoryLimit, from: "shelfHeap, 64 past versions", carrier: "node/view/shelf.go keptDeltas"},
			{what: "memory of the configuration and its log", value: m.at("documentHeap", m.Size.Teams) + m.at("changeHeap", keptLog), unit: bytesOf, limit: memoryLimit,
				from: "documentHeap, changeHeap x 1,000", carrier: "plat/conf Log"},
			{what: "memory of tables, shares, quotas", value: m.at("entryHeap", m.vms()), unit: bytesOf, limit: memoryLimit, from: "entryHeap", carrier: "node/entry table, flow/share"},
			{what: "memory together", value: m.entryMemory(), unit: bytesOf, limit: memoryLimit,
				from: "the three rows above, live heap; the collector may let it grow to twice that", carrier: "sum of the rows above",
				mend: "keep past views as deltas, not as whole maps"},
		},
	}
}

func (m model) leader() role {
	return role{
		title: "The leader of a data centre, beyond an ordinary entry",
		about: fmt.Sprintf("%.0f VMs of its own, %.0f in the platform's list; %s stops a second in the fleet.", m.vms(), m.listed(), figure(m.stops())),
		rows: []row{
			{what: "platform's list", value: m.at("listBytes", m.listed()), unit: bytesOf, from: "listBytes; the whole fleet's", carrier: "node/leader/read.go list"},
			{what: "bytes of the list", value: m.listWire(), unit: wire, limit: wireLimit, from: "listBytes / tickMs", carrier: "node/leader/read.go list",
				mend: "a list of the own data centre only, with what changed since a number (the platform must offer both); till then compressed, and less often while nothing moves"},
			{what: "the same, compressed", value: m.at("listZipped", m.listed()) / m.tick(), unit: wire, limit: wireLimit, from: "listZipped / tickMs", carrier: notBuilt,
				mend: "as above: compression alone does not suffice"},
			{what: "the same, compressed, own data centre, each 10 s", value: m.at("listZipped", m.vms()+m.entries) / 10, unit: wire, limit: wireLimit, from: "listZipped / 10 s", carrier: notBuilt},
			{what: "processor time of the list", value: m.at("listRead", m.listed()) / m.tick() / 1e9, unit: core, limit: cpuLimit, from: "listRead / tickMs", carrier: "plat/hosts Client.List",
				mend: "as above"},
			{what: "processor time of the loop", value: m.at("leaderTick", m.vms()) / m.tick() / 1e9, unit: core, limit: cpuLimit, from: "leaderTick / tickMs",
				carrier: "node/leader decide, fleet/wave Planner, fleet/spare Sizer, view.New each list",
				mend:    "size every 5 s; build the view only from shards and lines that changed"},
			{what: "processor time together", value: m.leaderCPU() + m.entryCPU(), unit: core, limit: cpuLimit, from: "an ordinary entry's, the list, the loop, calls", carrier: "sum of the rows above",
				mend: "as above; the list first"},
			{what: "watches of shards and budgets", value: m.watchReads(), unit: perSecond, from: "one each 2 ticks for both, and one for each event", carrier: "node/leader/read.go watch"},
			{what: "looks at other leaders", value: m.unheardReads(), unit: perSecond, from: "5 keys each 2 ticks", carrier: "node/leader/read.go listen"},
			{what: "membership", value: m.at("shardBytes", m.vms()), unit: bytesOf, from: "shardBytes", carrier: "fleet/pool, 16 shards"},
			{what: "one shard as a value", value: m.at("shardBytes", m.vms()) / 16, unit: bytesOf, limit: valueLimit, from: "shardBytes / 16", carrier: "fleet/pool/codec.go"},
			{what: "one budget as a value, a data centre's VMs of a service out", value: m.at("budgetBytes", m.vms()/m.Size.Pools), unit: bytesOf, limit: valueLimit, from: "budgetBytes",
				carrier: "fleet/wave/budget.go"},
			{what: "bytes of shards and budgets", value: m.documentsWire(), unit: wire, limit: wireLimit, from: "stops x writes and watch events", carrier: "node/leader/act.go"},
			{what: "bytes together", value: m.leaderWire() + m.entryWire(), unit: wire, limit: wireLimit, from: "an ordinary entry's and the rows above", carrier: "sum of the rows above",
				mend: "the list and the beats"},
			{what: "memory of the loop", value: m.at("leaderHeap", m.vms()), unit: bytesOf, limit: memoryLimit, from: "leaderHeap", carrier: "node/leader term"},
			{what: "memory together", value: m.at("leaderHeap", m.vms()) + 2*m.at("listBytes", m.listed()) + m.entryMemory(), unit: bytesOf, limit: memoryLimit,
				from: "an ordinary entry's, the loop, and the list as JSON and as lines (taken as its size twice)", carrier: "sum of the rows above", mend: "the list, past views"},
		},
	}
}

func (m model) relay() role {
	return role{
		title: "The configuration's relay",
		about: fmt.Sprintf("%s changes a second in the mean; every entry follows the log itself and passes it on in beats.", figure(m.changes())),
		rows: []row{
			{what: "document as a value", value: m.at("documentPerTeam", m.Size.Teams), unit: bytesOf, limit: valueLimit, from: "documentPerTeam at 230 teams, 51 pools", carrier: "plat/conf/codec.go, conf/snap"},
			{what: "one change", value: m.each("changeBytes"), unit: bytesOf, limit: valueLimit, from: "changeBytes", carrier: "plat/conf Change"},
			{what: "one change as the service sends it", value: m.each("changeList"), unit: bytesOf, from: "changeList", carrier: "plat/keyval"},
			{what: "changes to one entry", value: m.changes() * m.each("changeList"), unit: wire, limit: wireLimit, from: "changes/s x changeList", carrier: "plat/conf Follower"},
			{what: "watches of all entries", value: m.total() * m.logWatches(), unit: perSecond, limit: readLimit, from: "entries x changes/s / (1 - e^(-changes in a wait)); the limit is the service's",
				carrier: "plat/conf/follow.go follow"},
			{what: "processor time to apply a change", value: m.at("changeApply", m.Size.Teams), unit: nanos, from: "changeApply at 230 teams", carrier: "plat/conf/apply.go"},
			{what: "beats that a change causes in a data centre", value: m.entries * (m.entries - 1), unit: count, from: "entries x peers", carrier: "node/daemon kick, node/relay Beater.Kick"},
			{what: "newcomer's reading", value: base64Share*m.at("documentPerTeam", m.Size.Teams) + snapEvery*m.each("changeList"), unit: bytesOf,
				from: "snapshot x 4/3 and up to 500 changes", carrier: "plat/conf/source.go pull"},
		},
	}
}

func (m model) operators() role {
	return role{
		title: "The operators' API",
		about: "Any entry answers it; figures are for one call.",
		rows: []row{
			{what: "document", value: m.at("documentPerTeam", m.Size.Teams), unit: bytesOf, from: "documentPerTeam", carrier: "node/oper GET /op/conf"},
			{what: "processor time of the document", value: m.at("documentEncode", m.Size.Teams), unit: nanos, from: "documentEncode", carrier: "plat/conf/codec.go Marshal"},
			{what: "list of a data centre's VMs", value: m.at("operatorVMs", m.vms()), unit: bytesOf, from: "operatorVMs", carrier: "node/oper GET /op/vms; other data centres' VMs: " + notBuilt},
			{what: "calls of the service for a change", value: 3, unit: count, from: "list, create, and later one delete", carrier: "plat/conf/commit.go, compact.go"},
			{what: "changes", value: m.changes(), unit: perSecond, from: perDay, carrier: "node/oper POST /op/change"},
		},
	}
}

func (m model) service() role {
	return role{
		title: "The platform's service as it is loaded",
		about: fmt.Sprintf("%.0f entries and %.0f leaders. A watch counts as one call each time it is renewed.", m.total(), m.Size.DataCentres),
		rows: []row{
			{what: "reads by ordinary entries", value: m.total() * m.entryReads(), unit: perSecond, limit: readLimit, from: "entries x calls", carrier: "see above"},
			{what: "reads by leaders", value: m.Size.DataCentres * m.leaderReads(), unit: perSecond, limit: readLimit, from: "6 x (watches, other leaders)", carrier: "see above"},
			{what: "reads together", value: m.serviceReads(), unit: perSecond, limit: readLimit, from: "the rows above, and one list for each change", carrier: "sum of the rows above"},
			{what: "watches that wait at any time", value: 2*m.total() + 2*m.Size.DataCentres, unit: count, limit: readLimit, from: "log and roster of each entry, shards and budgets of each leader",
				carrier: "plat/conf, node/relay, node/leader"},
			{what: "writes", value: m.serviceWrites(), unit: perSecond, limit: writeLimit, from: "2 a change, 5 a stop, renewals", carrier: "plat/conf, node/leader/act.go, plat/lease"},
			{what: "platform's list, calls", value: m.Size.DataCentres / m.tick(), unit: perSecond, from: "one a leader and tick", carrier: "node/leader/read.go list"},
			{what: "platform's list, bytes", value: m.Size.DataCentres * m.listWire(), unit: wire, from: "leaders x the list", carrier: "node/leader/read.go list"},
		},
	}
}
