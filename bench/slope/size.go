package slope

import "math"

// Limits of the users' letters, and what is aimed at.
const (
	cpuLimit    = 0.015  // of a core.
	memoryLimit = 32e6   // bytes.
	wireLimit   = 3000.0 // bytes a second, both ways together.
	aimShare    = 0.5    // of each limit.
	readLimit   = 2000.0 // calls a second of the platform's service, watches included.
	writeLimit  = 300.0  // calls a second; "several hundred".
	valueLimit  = 1 << 20
	forceLimit  = 9.0 // seconds until a change is in force.
)

// Constants of the code that the page counts with, and where they stand.
const (
	beatFan      = 2.0    // node/relay/beater.go beatFan
	beatTurns    = 10.0   // node/relay/beater.go beatTurns
	farRounds    = 2.0    // node/relay/beater.go farRounds
	reportRounds = 4.0    // node/relay/beater.go reportRounds
	auditSeconds = 20.0   // plat/conf/follow.go DefaultAuditInterval
	auditDepth   = 64.0   // plat/conf/follow.go auditDepth
	auditLists   = 2.0    // plat/conf/follow.go sync: pullLog and lacks
	rosterWait   = 30.0   // seconds; node/relay/roster.go rosterWatchFor
	rosterRound  = 67.5   // seconds, the mean; node/relay/roster.go othersEvery
	renewParts   = 3.0    // plat/lease/model.go
	watchTicks   = 2.0    // node/leader/read.go watchWait
	unheardTicks = 2.0    // node/leader/read.go listen
	keptLog      = 1000.0 // changes; plat/conf/log.go DefaultTail
	snapEvery    = 500.0  // plat/conf/compact.go SnapshotInterval
	holdersOfKey = 2.0    // flow/ledger
	queueBound   = 10_000 // requests; setting maxQueueRequests
	resyncCalls  = 7.0    // of an entry after an outage: lists and watches of log and roster, the lease's key
	resyncWithin = 2.0    // seconds; plat/conf/follow.go lastOutageWait
)

// Assumptions of the page.
const (
	viewsPerStop  = 2.0 // versions of the view for one VM that goes and comes back.
	shardsPerStop = 3.0 // writes of a shard: draining, rebooting, serving.
	budgetPerStop = 2.0 // writes of a budget: reserved, released.
	outPerService = 4.0 // VMs of a service that are out at once.
	base64Share   = 4.0 / 3
	daySeconds    = 86400.0
	turnPeak      = 5.0 // of a queue's mean in its turn.
	leastEntries  = 2.0 // of a data centre, and one more for a loss.
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

func (m model) at(name string, x float64) float64 { return m.line(name).At(x) }
func (m model) each(name string) float64          { return m.line(name).Slope() }

// vms returns the workers of one data centre.
func (m model) vms() float64     { return m.Size.Workers / m.Size.DataCentres }
func (m model) changes() float64 { return m.Size.ChangesPerDay / daySeconds }

// stops returns the VMs of the fleet that go and come back, a second.
func (m model) stops() float64 {
	return (m.Size.Workers/m.Size.WaveDays + m.Size.FailuresPerDay + m.Size.RestartsPerDay) / daySeconds
}

func (m model) views() float64 { return m.stops() / m.Size.DataCentres * viewsPerStop }
func (m model) total() float64 { return m.entries * m.Size.DataCentres }

// requests returns the mean requests a second of one data centre.
func (m model) requests() float64 {
	return m.Size.Workers * m.Size.RequestsPerWorker / m.Size.DataCentres
}

// requestNs returns the processor time of a request in the mean, with its share of claims.
func (m model) requestNs() float64 {
	return m.each("requestCPU") + m.Size.KeyedShare*m.each("claimCPU")
}

// entriesFor returns the entries of a data centre that a multiple of the mean demand needs, one of them lost.
func (m model) entriesFor(times float64) float64 {
	n := math.Ceil(times * m.requests() * m.requestNs() / 1e9 / (m.Size.EntryCores * m.Size.EntryUse))
	return max(n, leastEntries) + 1
}

// fan returns the peers of the own data centre that one round beats.
func (m model) fan() float64 {
	peers := m.entries - 1
	return min(peers, max(beatFan, math.Ceil(peers/beatTurns)))
}

func (m model) rounds() float64 { return 1000 / m.Settings.BeatMs }

// nearBeats returns the beats a second that an entry sends in its own data centre; it hears as many.
func (m model) nearBeats() float64 {
	return m.rounds()*m.fan() + (m.changes()+m.views())*(m.entries-1)
}

func (m model) farBeats() float64 { return m.rounds() / farRounds }

// beatWire returns bytes a second, sent and received, while every beat carries the loads.
func (m model) beatWire() float64 {
	return 2 * (m.nearBeats()*m.at("beatBytes", m.Size.Pools) + m.farBeats()*m.each("farBytes"))
}

// namedWire is beatWire if the loads go to the leader alone, every fourth round and with one beat more.
func (m model) namedWire() float64 {
	loads := m.Size.Pools * m.each("beatBytes")
	n := m.rounds() / reportRounds
	return 2 * (m.nearBeats()*m.at("beatBytes", 0) + n*(loads+m.at("beatBytes", 0)) + m.farBeats()*m.each("farBytes"))
}

func (m model) beatNs() float64 {
	return m.nearBeats()*m.at("beatCPU", m.Size.Pools) + m.farBeats()*m.at("beatCPU", 0)
}

// logWatches returns the watches a second of one follower: each ends with a change or with its wait.
func (m model) logWatches() float64 {
	l := m.changes()
	return l / (1 - math.Exp(-l*m.Settings.WatchWaitMs/1000))
}

func (m model) auditReads() float64 { return auditLists / auditSeconds }

func (m model) rosterReads() float64 { return 1/rosterWait + m.Size.DataCentres/rosterRound }

func (m model) leaseLooks() float64 { return renewParts * 1000 / m.Settings.LeaseMs }

// entryReads returns the calls a second that any entry makes on the service.
func (m model) entryReads() float64 {
	return m.logWatches() + m.auditReads() + m.rosterReads() + m.leaseLooks()
}

func (m model) tick() float64 { return m.Settings.TickMs / 1000 }

// auditWire returns the bytes a second of the changes that audits read.
func (m model) auditWire() float64 { return (auditDepth + 1) * m.each("changeList") / auditSeconds }

func (m model) callWire() float64 {
	return m.entryReads()*m.each("callBytes") + m.changes()*m.each("changeList")
}

func (m model) budgetValue() float64 { return base64Share * m.at("budgetBytes", outPerService) }

func (m model) shardValue() float64 { return base64Share * m.at("shardBytes", m.vms()) / 16 }

func (m model) unheardReads() float64 { return (m.Size.DataCentres - 1) / unheardTicks / m.tick() }

func (m model) stopWrites() float64 { return m.stops() * (shardsPerStop + budgetPerStop) }

// watchReads returns the watches a second of a leader: its shards, and all budgets.
func (m model) watchReads() float64 {
	return 2/watchTicks/m.tick() + m.stops()*(shardsPerStop/m.Size.DataCentres+budgetPerStop)
}

// leaderReads returns what a leader asks the service a second beyond an entry's calls.
func (m model) leaderReads() float64 { return m.unheardReads() + m.watchReads() }

// documentsWire returns a leader's bytes a second for shards and budgets written and seen by its watches.
func (m model) documentsWire() float64 {
	own := m.stops() / m.Size.DataCentres
	return own*(2*shardsPerStop*m.shardValue()+budgetPerStop*m.budgetValue()) + m.stops()*budgetPerStop*m.budgetValue()
}

func (m model) listed() float64 { return m.Size.Workers + m.total() }

func (m model) listWire() float64 { return m.at("listBytes", m.listed()) / m.tick() }

// serviceReads returns the calls a second of all entries, watches included.
func (m model) serviceReads() float64 {
	return m.total()*m.entryReads() + m.Size.DataCentres*m.leaderReads() + m.changes()
}

// serviceWrites returns the writes a second of all: changes and their pruning, stops, renewals.
func (m model) serviceWrites() float64 {
	return 2*m.changes() + m.stopWrites() + m.Size.DataCentres*m.leaseLooks()
}

// resync returns the calls a second when an outage of the service ends.
func (m model) resync() float64 { return m.total() * resyncCalls / resyncWithin }

// wholeViews returns the bytes of whole views that a leader sends until one newcomer has been heard.
func (m model) wholeViews() float64 {
	peers := m.entries - 1
	return math.Ceil(peers/m.fan()) * m.fan() * m.at("viewWhole", m.vms())
}

// keysHeld returns the records of keys that one entry holds.
func (m model) keysHeld() float64 {
	return m.requests() * m.Size.KeyedShare * m.Settings.RememberS * holdersOfKey / m.entries
}

func (m model) entryCPU() float64 {
	ns := m.at("entryIdle", m.vms()) + m.beatNs() + m.changes()*(m.at("entryChange", m.vms())+m.at("changeApply", m.Size.Teams)) +
		m.views()*m.at("viewApply", m.vms()) + m.auditReads()/auditLists*m.at("changeRead", auditDepth) + m.entryReads()*m.each("callCPU")
	return ns / 1e9
}

func (m model) leaderCPU() float64 {
	ns := m.at("leaderTick", m.vms())/m.tick() + m.at("listRead", m.listed())/m.tick() + m.leaderReads()*m.each("callCPU") +
		m.views()*m.at("viewDiff", m.vms())
	return ns / 1e9
}

func (m model) entryMemory() float64 {
	return m.at("shelfHeap", m.vms()) + m.at("documentHeap", m.Size.Teams) + m.at("changeHeap", keptLog) + m.at("entryHeap", m.vms())
}

func (m model) entryWire() float64 { return m.namedWire() + m.callWire() + m.auditWire() }

func (m model) leaderWire() float64 { return m.listWire() + m.documentsWire() }
