package slope

import "math"

// Limits of the users' letters, and what is aimed at.
const (
	cpuLimit         = 0.015  // of a core.
	memoryLimit      = 32e6   // bytes.
	bandwidthLimit   = 3000.0 // bytes a second, both ways together.
	aimShare         = 0.5    // of each limit.
	readLimit        = 2000.0 // calls a second of the platform's service, watches included.
	writeLimit       = 300.0  // calls a second; "several hundred".
	valueLimit       = 1 << 20
	changeDelayLimit = 9.0 // seconds until a change is in force.
)

// Constants of the code that the page counts with, and where they stand.
const (
	minBeatPeers        = 2.0    // node/relay/beater.go beatFan
	roundsPerTurn       = 10.0   // node/relay/beater.go beatTurns
	roundsPerFarBeat    = 2.0    // node/relay/beater.go farRounds
	roundsPerLoadReport = 4.0    // node/relay/beater.go reportRounds
	auditSeconds        = 20.0   // plat/conf/follow.go DefaultAudit
	auditDepth          = 64.0   // plat/conf/follow.go auditDepth
	listsPerAudit       = 2.0    // plat/conf/follow.go sync: pullLog and lacks
	rosterWatchSeconds  = 30.0   // seconds; node/relay/roster.go rosterWatchFor
	rosterRoundSeconds  = 67.5   // seconds, the mean; node/relay/roster.go othersEvery
	renewalsPerLease    = 3.0    // plat/lease/model.go
	ticksPerWatch       = 2.0    // node/steer/read.go watchWait
	ticksPerLeaderCheck = 2.0    // node/steer/read.go listen
	keptChanges         = 1000.0 // changes; plat/conf/log.go DefaultTail
	snapshotInterval    = 500.0  // plat/conf/compact.go SnapEvery
	holdersPerKey       = 2.0    // flow/ledger
	maxQueueRequests    = 10_000 // requests; setting maxQueueRequests
	resyncCalls         = 7.0    // of an entry after an outage: lists and watches of log and roster, the lease's key
	resyncSpread        = 2.0    // seconds; plat/conf/follow.go lastOutageWait
)

// Assumptions of the page.
const (
	viewsPerStop       = 2.0 // versions of the view for one VM that goes and comes back.
	shardsPerStop      = 3.0 // writes of a shard: draining, rebooting, serving.
	budgetPerStop      = 2.0 // writes of a budget: reserved, released.
	absencesPerService = 4.0 // VMs of a service that are out at once.
	base64Share        = 4.0 / 3
	daySeconds         = 86400.0
	peakDemand         = 5.0 // of a queue's mean in its turn.
	minEntries         = 2.0 // of a data centre, and one more for a loss.
)

// Letter returns the size of the users' letter; traffic is 8 slots a worker, a quarter of them busy in the mean (a queue's
// turn of five times its mean is more than its pool), requests of 50 ms.
func Letter() Size {
	return Size{
		Workers: 9000, Accelerators: 9800, Pools: 51, Teams: 230, DataCentres: 6, ChangesPerDay: 16_000, FailuresPerDay: 170,
		RestartsPerDay: 3400, WaveDays: 14, RequestsPerWorker: 40, KeyedShare: 0.1, EntryCores: 2, EntryUse: 0.5,
	}
}

// model works costs out of a record; entries is the number of entries of a data centre.
type model struct {
	Record
	entries float64
}

func newModel(r Record) model {
	m := model{Record: r}
	m.entries = m.entriesFor(1)
	return m
}

func (m model) costAt(name string, x float64) float64 { return m.line(name).At(x) }
func (m model) costPerUnit(name string) float64       { return m.line(name).Slope() }

// vms returns the workers of one data centre.
func (m model) vms() float64              { return m.Size.Workers / m.Size.DataCentres }
func (m model) changesPerSecond() float64 { return m.Size.ChangesPerDay / daySeconds }

// stopsPerSecond returns the VMs of the fleet that go and come back, a second.
func (m model) stopsPerSecond() float64 {
	return (m.Size.Workers/m.Size.WaveDays + m.Size.FailuresPerDay + m.Size.RestartsPerDay) / daySeconds
}

func (m model) viewsPerSecond() float64 {
	return m.stopsPerSecond() / m.Size.DataCentres * viewsPerStop
}
func (m model) totalEntries() float64 { return m.entries * m.Size.DataCentres }

// requestsPerSecond returns the mean requestsPerSecond a second of one data centre.
func (m model) requestsPerSecond() float64 {
	return m.Size.Workers * m.Size.RequestsPerWorker / m.Size.DataCentres
}

// requestNs returns the processor time of a request in the mean, with its share of claims.
func (m model) requestNs() float64 {
	return m.costPerUnit("requestCPU") + m.Size.KeyedShare*m.costPerUnit("claimCPU")
}

// entriesFor returns the entries of a data centre that a multiple of the mean demand needs, one of them lost.
func (m model) entriesFor(times float64) float64 {
	n := math.Ceil(times * m.requestsPerSecond() * m.requestNs() / 1e9 / (m.Size.EntryCores * m.Size.EntryUse))
	return max(n, minEntries) + 1
}

// beatPeers returns the peers of the own data centre that one round beats.
func (m model) beatPeers() float64 {
	peers := m.entries - 1
	return min(peers, max(minBeatPeers, math.Ceil(peers/roundsPerTurn)))
}

func (m model) roundsPerSecond() float64 { return 1000 / m.Settings.BeatMs }

// nearBeats returns the beats a second that an entry sends in its own data centre; it hears as many.
func (m model) nearBeats() float64 {
	return m.roundsPerSecond()*m.beatPeers() + (m.changesPerSecond()+m.viewsPerSecond())*(m.entries-1)
}

func (m model) farBeats() float64 { return m.roundsPerSecond() / roundsPerFarBeat }

// beatBandwidth returns bytes a second, sent and received, while every beat carries the loads.
func (m model) beatBandwidth() float64 {
	return 2 * (m.nearBeats()*m.costAt("beatBytes", m.Size.Pools) + m.farBeats()*m.costPerUnit("farBytes"))
}

// routedBeatBandwidth is beatWire if the loads go to the leader alone, every fourth round and with one beat more.
func (m model) routedBeatBandwidth() float64 {
	loads := m.Size.Pools * m.costPerUnit("beatBytes")
	n := m.roundsPerSecond() / roundsPerLoadReport
	return 2 * (m.nearBeats()*m.costAt("beatBytes", 0) + n*(loads+m.costAt("beatBytes", 0)) + m.farBeats()*m.costPerUnit("farBytes"))
}

func (m model) beatNs() float64 {
	return m.nearBeats()*m.costAt("beatCPU", m.Size.Pools) + m.farBeats()*m.costAt("beatCPU", 0)
}

// logWatches returns the watches a second of one follower: each ends with a change or with its wait.
func (m model) logWatches() float64 {
	l := m.changesPerSecond()
	return l / (1 - math.Exp(-l*m.Settings.WatchWaitMs/1000))
}

func (m model) auditReads() float64 { return listsPerAudit / auditSeconds }

func (m model) rosterReads() float64 {
	return 1/rosterWatchSeconds + m.Size.DataCentres/rosterRoundSeconds
}

func (m model) leaseReads() float64 { return renewalsPerLease * 1000 / m.Settings.LeaseMs }

// entryReads returns the calls a second that any entry makes on the service.
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

func (m model) budgetValue() float64 {
	return base64Share * m.costAt("budgetBytes", absencesPerService)
}

func (m model) shardValue() float64 { return base64Share * m.costAt("shardBytes", m.vms()) / 16 }

func (m model) otherLeaderReads() float64 {
	return (m.Size.DataCentres - 1) / ticksPerLeaderCheck / m.tick()
}

func (m model) stopWrites() float64 { return m.stopsPerSecond() * (shardsPerStop + budgetPerStop) }

// watchReads returns the watches a second of a leader: its shards, and all budgets.
func (m model) watchReads() float64 {
	return 2/ticksPerWatch/m.tick() + m.stopsPerSecond()*(shardsPerStop/m.Size.DataCentres+budgetPerStop)
}

// leaderReads returns what a leader asks the service a second beyond an entry's calls.
func (m model) leaderReads() float64 { return m.otherLeaderReads() + m.watchReads() }

// documentBandwidth returns a leader's bytes a second for shards and budgets written and seen by its watches.
func (m model) documentBandwidth() float64 {
	own := m.stopsPerSecond() / m.Size.DataCentres
	return own*(2*shardsPerStop*m.shardValue()+budgetPerStop*m.budgetValue()) + m.stopsPerSecond()*budgetPerStop*m.budgetValue()
}

func (m model) listedVMs() float64 { return m.Size.Workers + m.totalEntries() }

func (m model) listBandwidth() float64 { return m.costAt("listBytes", m.listedVMs()) / m.tick() }

// serviceReads returns the calls a second of all entries, watches included.
func (m model) serviceReads() float64 {
	return m.totalEntries()*m.entryReads() + m.Size.DataCentres*m.leaderReads() + m.changesPerSecond()
}

// serviceWrites returns the writes a second of all: changes and their pruning, stops, renewals.
func (m model) serviceWrites() float64 {
	return 2*m.changesPerSecond() + m.stopWrites() + m.Size.DataCentres*m.leaseReads()
}

// resyncCallRate returns the calls a second when an outage of the service ends.
func (m model) resyncCallRate() float64 { return m.totalEntries() * resyncCalls / resyncSpread }

// newcomerViewBytes returns the bytes of whole views that a leader sends until one newcomer has been heard.
func (m model) newcomerViewBytes() float64 {
	peers := m.entries - 1
	return math.Ceil(peers/m.beatPeers()) * m.beatPeers() * m.costAt("viewWhole", m.vms())
}

// keysHeld returns the records of keys that one entry holds.
func (m model) keysHeld() float64 {
	return m.requestsPerSecond() * m.Size.KeyedShare * m.Settings.RememberS * holdersPerKey / m.entries
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
