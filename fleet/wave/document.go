package wave

import (
	"slices"

	"burdockreach.dev/fleet/pool"
)

// document tracks the state of one document in the store; times are in Unix milliseconds.
type document struct {
	loaded      bool // read at least once.
	mustRead    bool // must be read before it is written again.
	writing     bool // a write is in flight.
	mustRestore bool // the store holds an older revision than the known one, which is written back.
	revision    int64
	confirmedAt int64 // last time at which the known content was the newest.
	readSentAt  int64 // time of the last read command.
	writeSentAt int64 // time of the last write command.
}

func newDocument() *document { return &document{mustRead: true, readSentAt: -retentionMillis} }

// writable reports whether a write may be sent now.
func (d *document) writable() bool { return d.loaded && !d.mustRead && !d.writing }

// acceptRead handles a read of the given revision, sent at time at, and reports whether the content read replaces the known one.
func (d *document) acceptRead(revision, at int64) bool {
	switch {
	case !d.loaded || revision > d.revision:
		d.loaded, d.mustRead, d.mustRestore = true, false, false
	case revision == d.revision:
		d.mustRead, d.confirmedAt = false, max(d.confirmedAt, at)
		return false
	case d.mustRead && !d.writing:
		d.mustRead, d.mustRestore, d.revision = false, true, revision
		return false
	default:
		return false
	}
	d.revision, d.confirmedAt = revision, at
	return true
}

// acceptWrite handles the outcome of a write and reports whether the content written is now the known one.
func (d *document) acceptWrite(o Outcome, revision int64) bool {
	d.writing = false
	if o != Applied {
		d.mustRead, d.readSentAt = true, -retentionMillis
		return false
	}
	if revision <= d.revision && !d.mustRestore {
		return false
	}
	d.revision, d.confirmedAt, d.mustRestore = revision, max(d.confirmedAt, d.writeSentAt), false
	return true
}

// startRead reports whether a read is due and records its time. A read is due if the content is in doubt or was not confirmed
// as the newest for half the allowed age.
func (p *Planner) startRead(d *document) bool {
	stale := p.now-max(d.confirmedAt, p.allFreshAt) > p.limits.maxAge/2
	if d.writing || !d.mustRead && !stale || p.now-d.readSentAt < retryMillis {
		return false
	}
	d.readSentAt = p.now
	return true
}

// isFresh reports whether the known content was the newest within the allowed age.
func (p *Planner) isFresh(d *document) bool {
	return d.loaded && !d.mustRead && !d.mustRestore && p.now-max(d.confirmedAt, p.allFreshAt) <= p.limits.maxAge
}

// readCommands returns a read of every document that is due for one.
func (p *Planner) readCommands() []Cmd {
	var l []Cmd
	for i, d := range p.shards {
		if p.startRead(d) {
			l = append(l, ReadShardCmd{Index: i})
		}
	}
	for _, n := range p.serviceNames() {
		if p.startRead(p.budgets[n].document) {
			l = append(l, ReadBudgetCmd{Service: n})
		}
	}
	return l
}

func (p *Planner) serviceNames() []string {
	l := make([]string, 0, len(p.budgets))
	for n := range p.budgets {
		l = append(l, n)
	}
	slices.Sort(l)
	return l
}

func (p *Planner) handleShard(m ShardMsg) bool {
	i := m.Shard.Index()
	if !p.shards[i].acceptRead(m.Revision, m.At) {
		return false
	}
	p.setShard(m.Shard, m.Revision)
	return true
}

func (p *Planner) handleShardWritten(m ShardWrittenMsg) {
	if p.shards[m.Index].acceptWrite(m.Outcome, m.Revision) {
		p.setShard(p.sentShards[m.Index], m.Revision)
	}
}

// setShard replaces the known content of the shard and records the drains that begin and end with it.
func (p *Planner) setShard(s pool.Shard, revision int64) {
	i := s.Index()
	for o := range p.table.Shard(i).Busy() {
		if n, ok := s.Find(o.VM); ok && o.State == pool.Draining && n.State == pool.Serving {
			p.handleDrainEnd(o, n)
		}
	}
	p.table = p.table.Replace(i, s, revision)
	p.minVersions[i] = max(p.minVersions[i], s.Version())
	for m := range s.Busy() {
		if m.State != pool.Draining {
			continue
		}
		if o, ok := p.drainStarts[m.VM]; !ok || o.seq != m.EndedStops {
			p.drainStarts[m.VM] = drainStart{seq: m.EndedStops, seenAt: p.now, version: s.Version()}
		}
	}
}

// handleDrainEnd drops the move request of o, the draining member that n replaces. If the drain timed out, the VM gets a backoff
// that doubles each time.
func (p *Planner) handleDrainEnd(o, n pool.Member) {
	delete(p.moveRequests, o.VM)
	delete(p.assignedPools, o.VM)
	if n.Pool == o.MoveTo || p.now-o.StateSince <= p.drainMillis(o.Pool) {
		return
	}
	h := p.backoffs[o.VM]
	h.waitMillis = min(max(2*h.waitMillis, p.drainMillis(o.Pool)), retentionMillis)
	h.until = p.now + h.waitMillis
	p.backoffs[o.VM] = h
}

func (p *Planner) handleBudget(m BudgetMsg) {
	d := p.budgets[m.Service]
	if d == nil {
		return
	}
	if d.acceptRead(m.Revision, m.At) {
		d.budget = m.Budget
	}
}

func (p *Planner) handleBudgetWritten(m BudgetWrittenMsg) {
	d := p.budgets[m.Service]
	if d != nil && d.acceptWrite(m.Outcome, m.Revision) {
		d.budget = d.sent
	}
}

// budgetDocument is the document of one service's budget; sent is the content of its last write.
type budgetDocument struct {
	*document
	budget, sent Budget
}
