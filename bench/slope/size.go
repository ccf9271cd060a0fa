package slope

import "math"

// Limits from the users' requirements, and the share of each limit that the design aims at.
const (
	cpuLimit         = 0.015   // cores
	memoryLimit      = 32e6    // bytes
	bandwidthLimit   = 3000.0  // bytes a second, sent and received together
	aimShare         = 0.5     // of each limit
	readLimit        = 2000.0  // calls a second to the platform's service, watches included
	writeLimit       = 300.0   // calls a second to the service; the requirement says "several hundred"
	valueLimit       = 1 << 20 // bytes
	changeDelayLimit = 9.0     // seconds until a change is in force
)

// Values that the page copies from other packages, each with the file that defines it.
const (
	minBeatPeers        = 2.0    // least number of peers in the own data centre that get a beat each round; node/relay/beater.go
	roundsPerTurn       = 10.0   // rounds in which every peer of the own data centre gets a beat; node/relay/beater.go
	roundsPerFarBeat    = 2.0    // rounds between beats to another data centre; node/relay/beater.go
	roundsPerLoadReport = 4.0    // rounds between reports of loads to the leader; node/relay/beater.go
	auditSeconds        = 20.0   // seconds between the audits of the configuration; plat/conf/follow.go
	auditDepth          = 64.0   // recent changes that an audit looks for; plat/conf/follow.go
	listsPerAudit       = 2.0    // one list to read new changes, one to look for the recent ones; plat/conf/follow.go
	rosterWatchSeconds  = 30.0   // seconds that one watch of the roster waits; node/relay/roster.go
	rosterRoundSeconds  = 67.5   // mean seconds between reads of the other data centres' rosters; node/relay/roster.go
	renewalsPerLease    = 3.0    // renewals in the time to live of a lease; plat/lease/model.go
	ticksPerWatch       = 2.0    // ticks that one watch by a leader waits; node/leader/read.go
	ticksPerLeaderCheck = 2.0    // ticks between reads of the other leaders' keys; node/leader/read.go
	keptChanges         = 1000.0 // changes of the log that an entry keeps; plat/conf/log.go
	snapshotInterval    = 500.0  // changes between two snapshots; plat/conf/compact.go
	holdersPerKey       = 2.0    // entries that hold each key; flow/ledger
	maxQueueRequests    = 10_000 // default of the setting maxQueueRequests
	resyncCalls         = 7.0    // calls of one entry after an outage: lists and watches of the log and the roster, and the lease's key
	resyncSpread        = 2.0    // seconds: the longest wait of an entry before it tries again; plat/conf/follow.go
)

// Assumptions of the page.
const (
	viewsPerStop       = 2.0 // versions of the view when one VM stops and comes back
	shardsPerStop      = 3.0 // writes of a shard: draining, rebooting, serving
	budgetPerStop      = 2.0 // writes of a budget: reserved, released
	absencesPerService = 4.0 // VMs of a service that are out at once
	base64Share        = 4.0 / 3
	daySeconds         = 86400.0
	peakDemand         = 5.0 // peak demand of a queue, as a multiple of its mean
	minEntries         = 2.0 // entries of a data centre; one more is added for the loss of an entry
)

// DesignSize returns the size from the users' requirements. Traffic assumes 8 slots a worker, a quarter of them busy in the mean, and
// requests of 50 ms. A queue that peaks at five times its mean then needs more than its own pool.
func DesignSize() Size {
	return Size{
		Workers: 9000, Accelerators: 9800, Pools: 51, Teams: 230, DataCentres: 6, ChangesPerDay: 16_000, FailuresPerDay: 170,
		RestartsPerDay: 3400, WaveDays: 14, RequestsPerWorker: 40, KeyedShare: 0.1, EntryCores: 2, EntryTargetUse: 0.5,
	}
}

// model computes costs from a record; entries is the number of entries in each data centre.
type model struct {
	Record
	entries float64
}

func newModel(r Record) model {
	m := model{Record: r}
	m.entries = m.entriesFor(1)
	return m
}

// costAt returns the fitted cost of the named series at size x.
func (m model) costAt(name string, x float64) float64 { return m.line(name).At(x) }

// costPerUnit returns the slope of the named series.
func (m model) costPerUnit(name string) float64 { return m.line(name).Slope() }

// vms returns the number of workers in one data centre.
func (m model) vms() float64              { return m.Size.Workers / m.Size.DataCentres }
func (m model) changesPerSecond() float64 { return m.Size.ChangesPerDay / daySeconds }

// stopsPerSecond returns how many VMs of the whole fleet stop and come back each second.
func (m model) stopsPerSecond() float64 {
	return (m.Size.Workers/m.Size.WaveDays + m.Size.FailuresPerDay + m.Size.RestartsPerDay) / daySeconds
}

func (m model) viewsPerSecond() float64 {
	return m.stopsPerSecond() / m.Size.DataCentres * viewsPerStop
}

func (m model) totalEntries() float64 { return m.entries * m.Size.DataCentres }

// requestsPerSecond returns the mean request rate of one data centre.
func (m model) requestsPerSecond() float64 {
	return m.Size.Workers * m.Size.RequestsPerWorker / m.Size.DataCentres
}

// requestNs returns the mean processor time of a request in nanoseconds, with the claims of those requests that carry a key.
func (m model) requestNs() float64 {
	return m.costPerUnit("requestCPU") + m.Size.KeyedShare*m.costPerUnit("claimCPU")
}

// entriesFor returns the number of entries that a data centre needs so that, with one of them lost, the others serve the given
// multiple of the mean demand.
func (m model) entriesFor(times float64) float64 {
	n := math.Ceil(times * m.requestsPerSecond() * m.requestNs() / 1e9 / (m.Size.EntryCores * m.Size.EntryTargetUse))
	return max(n, minEntries) + 1
}

// beatPeers returns the number of peers in the own data centre that an entry sends a beat to in one round.
func (m model) beatPeers() float64 {
	peers := m.entries - 1
	return min(peers, max(minBeatPeers, math.Ceil(peers/roundsPerTurn)))
}

func (m model) roundsPerSecond() float64 { return 1000 / m.Settings.BeatMs }

// nearBeats returns the beats a second that an entry sends in its own data centre; it receives as many.
func (m model) nearBeats() float64 {
	return m.roundsPerSecond()*m.beatPeers() + (m.changesPerSecond()+m.viewsPerSecond())*(m.entries-1)
}

func (m model) farBeats() float64 { return m.roundsPerSecond() / roundsPerFarBeat }

// beatBandwidth returns the bytes a second of beats, sent and received, while every beat carries the loads of all services.
func (m model) beatBandwidth() float64 {
	return 2 * (m.nearBeats()*m.costAt("beatBytes", m.Size.Pools) + m.farBeats()*m.costPerUnit("farBytes"))
}

// routedBeatBandwidth returns the same while the loads go only to the leader, every fourth round and in an additional beat.
func (m model) routedBeatBandwidth() float64 {
	loads := m.Size.Pools * m.costPerUnit("beatBytes")
	n := m.roundsPerSecond() / roundsPerLoadReport
	return 2 * (m.nearBeats()*m.costAt("beatBytes", 0) + n*(loads+m.costAt("beatBytes", 0)) + m.farBeats()*m.costPerUnit("farBytes"))
}

func (m model) beatNs() float64 {
	return m.nearBeats()*m.costAt("beatCPU", m.Size.Pools) + m.farBeats()*m.costAt("beatCPU", 0)
}

// logWatches returns the watches a second of one follower of the log. Each watch ends with a change or when its wait is over.
func (m model) logWatches() float64 {
	l := m.changesPerSecond()
	return l / (1 - math.Exp(-l*m.Settings.WatchWaitMs/1000))
}

func (m model) auditReads() float64 { return listsPerAudit / auditSeconds }

func (m model) rosterReads() float64 {
	return 1/rosterWatchSeconds + m.Size.DataCentres/rosterRoundSeconds
}

func (m model) leaseReads() float64 { return renewalsPerLease * 1000 / m.Settings.LeaseMs }

// entryReads returns the calls a second that each entry makes to the platform's service.
func (m model) entryReads() float64 {
	return m.logWatches() + m.auditReads() + m.rosterReads() + m.leaseReads()
}

func (m model) tick() float64 { return m.Settings.TickMs / 1000 }

// auditBandwidth returns the bytes a second of the changes that audits read.
func (m model) auditBandwidth() float64 {
	return (auditDepth + 1) * m.costPerUnit("changeList") / auditSeconds
}

func (m model) callBandwidth() float64 {
	return m.entryReads()*m.costPerUnit("callBytes") + m.changesPerSecond()*m.costPerUnit("changeList")
}

// budgetValue and shardValue return the bytes of a stored value as the service sends it, in base64.
func (m model) budgetValue() float64 {
	return base64Share * m.costAt("budgetBytes", absencesPerService)
}

func (m model) shardValue() float64 { return base64Share * m.costAt("shardBytes", m.vms()) / 16 }

func (m model) otherLeaderReads() float64 {
	return (m.Size.DataCentres - 1) / ticksPerLeaderCheck / m.tick()
}

func (m model) stopWrites() float64 { return m.stopsPerSecond() * (shardsPerStop + budgetPerStop) }

// watchReads returns the watches a second of a leader, which watches its own shards and the budgets of all data centres.
func (m model) watchReads() float64 {
	return 2/ticksPerWatch/m.tick() + m.stopsPerSecond()*(shardsPerStop/m.Size.DataCentres+budgetPerStop)
}

// leaderReads returns the calls a second that a leader makes in addition to those of an entry.
func (m model) leaderReads() float64 { return m.otherLeaderReads() + m.watchReads() }

// documentBandwidth returns the bytes a second of the shards and budgets that a leader writes and its watches receive.
func (m model) documentBandwidth() float64 {
	own := m.stopsPerSecond() / m.Size.DataCentres
	return own*(2*shardsPerStop*m.shardValue()+budgetPerStop*m.budgetValue()) + m.stopsPerSecond()*budgetPerStop*m.budgetValue()
}

func (m model) listedVMs() float64 { return m.Size.Workers + m.totalEntries() }

func (m model) listBandwidth() float64 { return m.costAt("listBytes", m.listedVMs()) / m.tick() }

// serviceReads returns the calls a second that all entries make to the platform's service, watches included.
func (m model) serviceReads() float64 {
	return m.totalEntries()*m.entryReads() + m.Size.DataCentres*m.leaderReads() + m.changesPerSecond()
}

// serviceWrites returns the writes a second of all entries: changes and their removal from the log, stops of VMs, lease renewals.
func (m model) serviceWrites() float64 {
	return 2*m.changesPerSecond() + m.stopWrites() + m.Size.DataCentres*m.leaseReads()
}

// resyncCallRate returns the calls a second to the platform's service when an outage of it ends.
func (m model) resyncCallRate() float64 { return m.totalEntries() * resyncCalls / resyncSpread }

// newcomerViewBytes returns the bytes of whole views that a leader sends to its peers until it receives a beat of one new entry.
func (m model) newcomerViewBytes() float64 {
	peers := m.entries - 1
	return math.Ceil(peers/m.beatPeers()) * m.beatPeers() * m.costAt("viewWhole", m.vms())
}

// keysHeld returns the number of key records that one entry holds.
func (m model) keysHeld() float64 {
	return m.requestsPerSecond() * m.Size.KeyedShare * m.Settings.RememberSeconds * holdersPerKey / m.entries
}

func (m model) entryCPU() float64 {
	ns := m.costAt("entryIdle", m.vms()) + m.beatNs() + m.changesPerSecond()*(m.costAt("entryChange", m.vms())+m.costAt("changeApply", m.Size.Teams)) +
		m.viewsPerSecond()*m.costAt("viewApply", m.vms()) + m.auditReads()/listsPerAudit*m.costAt("changeRead", auditDepth) + m.entryReads()*m.costPerUnit("callCPU")
	return ns / 1e9
}

func (m model) leaderCPU() float64 {
	ns := m.costAt("leaderTick", m.vms())/m.tick() + m.costAt("listRead", m.listedVMs())/m.tick() + m.leaderReads()*m.costPerUnit("callCPU") +
		m.viewsPerSecond()*m.costAt("viewDiff", m.vms())
	return ns / 1e9
}

func (m model) entryMemory() float64 {
	return m.costAt("shelfHeap", m.vms()) + m.costAt("documentHeap", m.Size.Teams) + m.costAt("changeHeap", keptChanges) + m.costAt("entryHeap", m.vms())
}

func (m model) entryBandwidth() float64 {
	return m.routedBeatBandwidth() + m.callBandwidth() + m.auditBandwidth()
}

func (m model) leaderBandwidth() float64 { return m.listBandwidth() + m.documentBandwidth() }
