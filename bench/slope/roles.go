package slope

import "fmt"

const (
	notBuilt           = "not built"
	changesPerDayLabel = "changes a day"
)

func (m model) roles() []role {
	return []role{m.requestPath(), m.ordinaryEntry(), m.leader(), m.configRelay(), m.operators(), m.platformService()}
}

func (m model) requestPath() role {
	rate := m.requestsPerSecond() / m.entries
	return role{
		title: "An entry's request path",
		summary: fmt.Sprintf("%.0f entries in each data centre share %s requests/s; no limit but the VM's own applies, except where keys do not fit the setting.",
			m.entries, formatNumber(m.requestsPerSecond())),
		rows: []row{
			{metric: "requests", value: rate, unit: unitPerSecond, derivation: "requests a worker x workers / entries", mechanism: "platform's balancer; node/entry serve"},
			{metric: "processor time of a request without a key", value: m.costPerUnit("requestCPU"), unit: unitNanos, derivation: "requestCPU", mechanism: "node/entry call, flow/sched"},
			{metric: "processor time that a key adds", value: m.costPerUnit("claimCPU"), unit: unitNanos, derivation: "claimCPU, at taker and holders together", mechanism: "node/relay Keeper.ClaimKey, batcher, outbox"},
			{metric: "bytes between entries for keys", value: 2 * rate * m.Size.KeyedShare * m.costPerUnit("claimBytes"), unit: unitBytesPerSecond, derivation: "claimBytes x keyed requests, sent and received", mechanism: "node/relay Batch"},
			{metric: "processor time", value: rate * m.requestNs() / 1e9, unit: unitCores, limit: m.Size.EntryCores, derivation: "requests x (requestCPU + keyed share x claimCPU); the limit is the VM's cores",
				mechanism: "node/entry"},
			{metric: "quotas", value: m.costPerUnit("quotaHeap") * m.Size.Teams, unit: unitBytes, derivation: "quotaHeap x teams, 51 services", mechanism: "flow/admit Gate"},
			{metric: "full queue of one service", value: m.costPerUnit("queueHeap") * maxQueueRequests, unit: unitBytes, derivation: "queueHeap x 10,000; bodies not counted",
				mechanism: "flow/queue WithCapacity, maxQueueRequests"},
			{metric: "keys remembered", value: m.keysHeld(), unit: unitCount, limit: m.Settings.MaxKeys,
				derivation: fmt.Sprintf("requests x %g keyed x %g s x 2 holders / entries; the limit is the setting maxKeys", m.Size.KeyedShare, m.Settings.RememberSeconds),
				mechanism:  "flow/ledger Book by roster, node/relay Keeper",
				proposal:   "raise maxKeys with the VM's memory, or remember settled keys for less than 10 min; until then claims beyond it are refused as not run"},
			{metric: "memory of those keys", value: m.keysHeld() * m.costPerUnit("keyHeap"), unit: unitBytes, derivation: "keyHeap x keys; kept answers not counted", mechanism: "flow/ledger table"},
		},
	}
}

func (m model) ordinaryEntry() role {
	idle, per := m.costAt("entryIdle", m.vms()), m.changesPerSecond()
	return role{
		title:   "An ordinary entry's control part",
		summary: fmt.Sprintf("%.0f targets and %.0f services in its data centre, %.0f peers there. Bytes count both ways.", m.vms(), m.Size.Pools, m.entries-1),
		rows: []row{
			{metric: "beats in the own data centre", value: m.nearBeats(), unit: unitPerSecond, derivation: "2 peers or a tenth of them each beatMs, and all at once for each change or view",
				mechanism: "node/relay/beater.go nextTargets, localPeers"},
			{metric: "beats to other data centres", value: m.farBeats(), unit: unitPerSecond, derivation: "one entry of one of them, every second round", mechanism: "node/relay/beater.go targets"},
			{metric: "bytes of beats", value: m.routedBeatBandwidth(), unit: unitBytesPerSecond, limit: bandwidthLimit,
				derivation: "beats x beatBytes without services, loads to the leader alone every fourth round", mechanism: "node/relay Beater over twirp, WithLeader",
				proposal: "a beatMs of 1000 or more, and no beat to all for a change that a watch brings them anyway"},
			{metric: "the same while no leader is heard", value: m.beatBandwidth(), unit: unitBytesPerSecond, derivation: "beats x (beatBytes at 51 services, farBytes) x 2 ways",
				mechanism: "node/relay Beater over twirp"},
			{metric: "bytes of audits", value: m.auditBandwidth(), unit: unitBytesPerSecond, limit: bandwidthLimit, derivation: "65 changes x changeList / 20 s", mechanism: "plat/conf/follow.go sync",
				proposal: "audit by the newest change's key alone, in depth only by the leader of the first data centre"},
			{metric: "bytes of calls and changes", value: m.callBandwidth(), unit: unitBytesPerSecond, limit: bandwidthLimit, derivation: "calls x callBytes + changes x changeList", mechanism: "plat/wire, plat/conf Follower"},
			{metric: "bytes together", value: m.entryBandwidth(), unit: unitBytesPerSecond, limit: bandwidthLimit, derivation: "beats as they run, audits, calls and changes", mechanism: "sum of the rows above",
				proposal: "the mendings above"},
			{metric: "calls of the service", value: m.entryReads(), unit: unitPerSecond, derivation: "log watch, audit, rosters, look at the leader's lease", mechanism: "plat/conf Follower, node/relay/roster.go, plat/lease"},
			{metric: "processor time of the services' ticks", value: idle / 1e9, unit: unitCores, limit: cpuLimit, derivation: "entryIdle",
				mechanism: "node/entry/service.go tick: 51 services at rest each 200 ms, tables when something changed",
				proposal:  "tick only services at which something waits or is lent, none while all are quiet; make tables anew only when view, configuration or word of leaving changed"},
			{metric: "of which one service costs", value: m.costPerUnit("entryServices") / 1e9, unit: unitCores, derivation: "entryServices", mechanism: "node/entry/entry.go loop"},
			{metric: "processor time of beats", value: m.beatNs() / 1e9, unit: unitCores, limit: cpuLimit, derivation: "beats x beatCPU; includes a report made for each beat that comes in",
				mechanism: "node/relay/beater.go Beat, node/daemon/gossip.go Report",
				proposal:  "beat each second; make the report once a round, not for the Leaving list of each answer"},
			{metric: "processor time of changes", value: per * (m.costAt("entryChange", m.vms()) + m.costAt("changeApply", m.Size.Teams)) / 1e9, unit: unitCores, limit: cpuLimit,
				derivation: "changes/s x (entryChange + changeApply)", mechanism: "node/entry/table.go refresh, plat/conf/apply.go"},
			{metric: "processor time together", value: m.entryCPU(), unit: unitCores, limit: cpuLimit, derivation: "rows above, views, audits and calls", mechanism: "sum of the rows above",
				proposal: "the mendings of the rows above"},
			{metric: "memory of past views", value: m.costAt("shelfHeap", m.vms()), unit: unitBytes, limit: memoryLimit, derivation: "shelfHeap, 64 past versions", mechanism: "node/view/holder.go keptDeltas"},
			{metric: "memory of the configuration and its log", value: m.costAt("documentHeap", m.Size.Teams) + m.costAt("changeHeap", keptChanges), unit: unitBytes, limit: memoryLimit,
				derivation: "documentHeap, changeHeap x 1,000", mechanism: "plat/conf Log"},
			{metric: "memory of tables, shares, quotas", value: m.costAt("entryHeap", m.vms()), unit: unitBytes, limit: memoryLimit, derivation: "entryHeap", mechanism: "node/entry table, flow/share"},
			{metric: "memory together", value: m.entryMemory(), unit: unitBytes, limit: memoryLimit,
				derivation: "the three rows above, live heap; the collector may let it grow to twice that", mechanism: "sum of the rows above",
				proposal: "keep past views as deltas, not as whole maps"},
		},
	}
}

func (m model) leader() role {
	return role{
		title:   "The leader of a data centre, beyond an ordinary entry",
		summary: fmt.Sprintf("%.0f VMs of its own, %.0f in the platform's list; %s stops a second in the fleet.", m.vms(), m.listedVMs(), formatNumber(m.stopsPerSecond())),
		rows: []row{
			{metric: "platform's list", value: m.costAt("listBytes", m.listedVMs()), unit: unitBytes, derivation: "listBytes; the whole fleet's", mechanism: "node/leader/read.go list"},
			{metric: "bytes of the list", value: m.listBandwidth(), unit: unitBytesPerSecond, limit: bandwidthLimit, derivation: "listBytes / tickMs", mechanism: "node/leader/read.go list",
				proposal: "a list of the own data centre only, with what changed since a number (the platform must offer both); till then compressed, and less often while nothing moves"},
			{metric: "the same, compressed", value: m.costAt("listZipped", m.listedVMs()) / m.tick(), unit: unitBytesPerSecond, limit: bandwidthLimit, derivation: "listZipped / tickMs", mechanism: notBuilt,
				proposal: "as above: compression alone does not suffice"},
			{metric: "the same, compressed, own data centre, each 10 s", value: m.costAt("listZipped", m.vms()+m.entries) / 10, unit: unitBytesPerSecond, limit: bandwidthLimit, derivation: "listZipped / 10 s", mechanism: notBuilt},
			{metric: "processor time of the list", value: m.costAt("listRead", m.listedVMs()) / m.tick() / 1e9, unit: unitCores, limit: cpuLimit, derivation: "listRead / tickMs", mechanism: "plat/hosts Client.List",
				proposal: "as above"},
			{metric: "processor time of the loop", value: m.costAt("leaderTick", m.vms()) / m.tick() / 1e9, unit: unitCores, limit: cpuLimit, derivation: "leaderTick / tickMs",
				mechanism: "node/leader decide, fleet/wave Planner, fleet/spare Sizer, view.New each list",
				proposal:  "size every 5 s; build the view only from shards and lines that changed"},
			{metric: "processor time together", value: m.leaderCPU() + m.entryCPU(), unit: unitCores, limit: cpuLimit, derivation: "an ordinary entry's, the list, the loop, calls", mechanism: "sum of the rows above",
				proposal: "as above; the list first"},
			{metric: "watches of shards and budgets", value: m.watchReads(), unit: unitPerSecond, derivation: "one each 2 ticks for both, and one for each event", mechanism: "node/leader/read.go watch"},
			{metric: "looks at other leaders", value: m.otherLeaderReads(), unit: unitPerSecond, derivation: "5 keys each 2 ticks", mechanism: "node/leader/read.go pollLeaders"},
			{metric: "membership", value: m.costAt("shardBytes", m.vms()), unit: unitBytes, derivation: "shardBytes", mechanism: "fleet/pool, 16 shards"},
			{metric: "one shard as a value", value: m.costAt("shardBytes", m.vms()) / 16, unit: unitBytes, limit: valueLimit, derivation: "shardBytes / 16", mechanism: "fleet/pool/codec.go"},
			{metric: "one budget as a value, a data centre's VMs of a service out", value: m.costAt("budgetBytes", m.vms()/m.Size.Pools), unit: unitBytes, limit: valueLimit, derivation: "budgetBytes",
				mechanism: "fleet/wave/budget.go"},
			{metric: "bytes of shards and budgets", value: m.documentBandwidth(), unit: unitBytesPerSecond, limit: bandwidthLimit, derivation: "stops x writes and watch events", mechanism: "node/leader/act.go"},
			{metric: "bytes together", value: m.leaderBandwidth() + m.entryBandwidth(), unit: unitBytesPerSecond, limit: bandwidthLimit, derivation: "an ordinary entry's and the rows above", mechanism: "sum of the rows above",
				proposal: "the list and the beats"},
			{metric: "memory of the loop", value: m.costAt("leaderHeap", m.vms()), unit: unitBytes, limit: memoryLimit, derivation: "leaderHeap", mechanism: "node/leader term"},
			{metric: "memory together", value: m.costAt("leaderHeap", m.vms()) + 2*m.costAt("listBytes", m.listedVMs()) + m.entryMemory(), unit: unitBytes, limit: memoryLimit,
				derivation: "an ordinary entry's, the loop, and the list as JSON and as lines (taken as its size twice)", mechanism: "sum of the rows above", proposal: "the list, past views"},
		},
	}
}

func (m model) configRelay() role {
	return role{
		title:   "The configuration's relay",
		summary: fmt.Sprintf("%s changes a second in the mean; every entry follows the log itself and passes it on in beats.", formatNumber(m.changesPerSecond())),
		rows: []row{
			{metric: "document as a value", value: m.costAt("documentPerTeam", m.Size.Teams), unit: unitBytes, limit: valueLimit, derivation: "documentPerTeam at 230 teams, 51 pools", mechanism: "plat/conf/codec.go, conf/snap"},
			{metric: "one change", value: m.costPerUnit("changeBytes"), unit: unitBytes, limit: valueLimit, derivation: "changeBytes", mechanism: "plat/conf Change"},
			{metric: "one change as the service sends it", value: m.costPerUnit("changeList"), unit: unitBytes, derivation: "changeList", mechanism: "plat/keyval"},
			{metric: "changes to one entry", value: m.changesPerSecond() * m.costPerUnit("changeList"), unit: unitBytesPerSecond, limit: bandwidthLimit, derivation: "changes/s x changeList", mechanism: "plat/conf Follower"},
			{metric: "watches of all entries", value: m.totalEntries() * m.logWatches(), unit: unitPerSecond, limit: readLimit, derivation: "entries x changes/s / (1 - e^(-changes in a wait)); the limit is the service's",
				mechanism: "plat/conf/follow.go follow"},
			{metric: "processor time to apply a change", value: m.costAt("changeApply", m.Size.Teams), unit: unitNanos, derivation: "changeApply at 230 teams", mechanism: "plat/conf/apply.go"},
			{metric: "beats that a change causes in a data centre", value: m.entries * (m.entries - 1), unit: unitCount, derivation: "entries x peers", mechanism: "node/daemon kick, node/relay Beater.BeatNow"},
			{metric: "newcomer's reading", value: base64Share*m.costAt("documentPerTeam", m.Size.Teams) + snapshotInterval*m.costPerUnit("changeList"), unit: unitBytes,
				derivation: "snapshot x 4/3 and up to 500 changes", mechanism: "plat/conf/source.go pull"},
		},
	}
}

func (m model) operators() role {
	return role{
		title:   "The operators' API",
		summary: "Any entry answers it; figures are for one call.",
		rows: []row{
			{metric: "document", value: m.costAt("documentPerTeam", m.Size.Teams), unit: unitBytes, derivation: "documentPerTeam", mechanism: "node/oper GET /op/conf"},
			{metric: "processor time of the document", value: m.costAt("documentEncode", m.Size.Teams), unit: unitNanos, derivation: "documentEncode", mechanism: "plat/conf/codec.go Marshal"},
			{metric: "list of a data centre's VMs", value: m.costAt("operatorVMs", m.vms()), unit: unitBytes, derivation: "operatorVMs", mechanism: "node/oper GET /op/vms; other data centres' VMs: " + notBuilt},
			{metric: "calls of the service for a change", value: 3, unit: unitCount, derivation: "list, create, and later one delete", mechanism: "plat/conf/commit.go, compact.go"},
			{metric: "changes", value: m.changesPerSecond(), unit: unitPerSecond, derivation: changesPerDayLabel, mechanism: "node/oper POST /op/change"},
		},
	}
}

func (m model) platformService() role {
	return role{
		title:   "The platform's service as it is loaded",
		summary: fmt.Sprintf("%.0f entries and %.0f leaders. A watch counts as one call each time it is renewed.", m.totalEntries(), m.Size.DataCentres),
		rows: []row{
			{metric: "reads by ordinary entries", value: m.totalEntries() * m.entryReads(), unit: unitPerSecond, limit: readLimit, derivation: "entries x calls", mechanism: "see above"},
			{metric: "reads by leaders", value: m.Size.DataCentres * m.leaderReads(), unit: unitPerSecond, limit: readLimit, derivation: "6 x (watches, other leaders)", mechanism: "see above"},
			{metric: "reads together", value: m.serviceReads(), unit: unitPerSecond, limit: readLimit, derivation: "the rows above, and one list for each change", mechanism: "sum of the rows above"},
			{metric: "watches that wait at any time", value: 2*m.totalEntries() + 2*m.Size.DataCentres, unit: unitCount, limit: readLimit, derivation: "log and roster of each entry, shards and budgets of each leader",
				mechanism: "plat/conf, node/relay, node/leader"},
			{metric: "writes", value: m.serviceWrites(), unit: unitPerSecond, limit: writeLimit, derivation: "2 a change, 5 a stop, renewals", mechanism: "plat/conf, node/leader/act.go, plat/lease"},
			{metric: "platform's list, calls", value: m.Size.DataCentres / m.tick(), unit: unitPerSecond, derivation: "one a leader and tick", mechanism: "node/leader/read.go list"},
			{metric: "platform's list, bytes", value: m.Size.DataCentres * m.listBandwidth(), unit: unitBytesPerSecond, derivation: "leaders x the list", mechanism: "node/leader/read.go list"},
		},
	}
}
