package wave

import (
	"slices"

	"burdockreach.dev/fleet/pool"
)

// document is what is known of one document in the service.
type document struct {
	known    bool // read at least once.
	dirty    bool // must be read before it is written again.
	writing  bool // a write is on its way.
	restore  bool // the service holds an older version than was seen, so ours is written back.
	revision int64
	seen     int64 // last time at which the content was the newest.
	asked    int64 // time of the last read command.
	wrote    int64 // time of the last write command.
}

func newDocument() *document { return &document{dirty: true, asked: -forgetMillis} }

// writable tells whether a write may be sent now.
func (d *document) writable() bool { return d.known && !d.dirty && !d.writing }

// accept takes the revision that was read in and tells whether the content read replaces the known one.
func (d *document) accept(revision, at int64) bool {
	switch {
	case !d.known || revision > d.revision:
		d.known, d.dirty, d.restore = true, false, false
	case revision == d.revision:
		d.dirty, d.seen = false, max(d.seen, at)
		return false
	case d.dirty && !d.writing:
		d.dirty, d.restore, d.revision = false, true, revision
		return false
	default:
		return false
	}
	d.revision, d.seen = revision, at
	return true
}

// wroteAs takes the end of a write in and tells whether the content written is now the known one.
func (d *document) wroteAs(o Outcome, revision int64) bool {
	d.writing = false
	if o != Applied {
		d.dirty, d.asked = true, -forgetMillis
		return false
	}
	if revision <= d.revision && !d.restore {
		return false
	}
	d.revision, d.seen, d.restore = revision, max(d.seen, d.wrote), false
	return true
}

// ask tells whether a read command is due: the content is in doubt, or nobody has said for a while that it is the newest.
func (p *Planner) ask(d *document) bool {
	stale := p.now-max(d.seen, p.fresh) > p.limits.maxAge/2
	if d.writing || !d.dirty && !stale || p.now-d.asked < repeatMillis {
		return false
	}
	d.asked = p.now
	return true
}

// isFresh tells whether the document was the newest within the allowed age.
func (p *Planner) isFresh(d *document) bool {
	return d.known && !d.dirty && !d.restore && p.now-max(d.seen, p.fresh) <= p.limits.maxAge
}

func (p *Planner) reads() []Cmd {
	var l []Cmd
	for i, d := range p.shards {
		if p.ask(d) {
			l = append(l, ReadShardCmd{Index: i})
		}
	}
	for _, n := range p.serviceNames() {
		if p.ask(p.budgets[n].document) {
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

func (p *Planner) takeShard(m ShardMsg) bool {
	i := m.Shard.Index()
	if !p.shards[i].accept(m.Revision, m.At) {
		return false
	}
	p.setShard(m.Shard, m.Revision)
	return true
}

func (p *Planner) wroteShard(m WroteShardMsg) {
	if p.shards[m.Index].wroteAs(m.Outcome, m.Revision) {
		p.setShard(p.sent[m.Index], m.Revision)
	}
}

// setShard makes s the known content and notes which planned stops it shows.
func (p *Planner) setShard(s pool.Shard, revision int64) {
	i := s.Index()
	for o := range p.table.Shard(i).Busy() {
		if n, ok := s.Find(o.VM); ok && o.State == pool.Draining && n.State == pool.Serving {
			p.drainEnded(o, n)
		}
	}
	p.table = p.table.Replace(i, s, revision)
	p.floors[i] = max(p.floors[i], s.Number())
	for m := range s.Busy() {
		if m.State != pool.Draining {
			continue
		}
		if o, ok := p.draining[m.VM]; !ok || o.seq != m.Seq {
			p.draining[m.VM] = sight{seq: m.Seq, at: p.now, number: s.Number()}
		}
	}
}

// drainEnded forgets the move that o's drain was for, and holds a VM back whose drain took too long.
func (p *Planner) drainEnded(o, n pool.Member) {
	delete(p.moves, o.VM)
	delete(p.assigned, o.VM)
	if n.Pool == o.To || p.now-o.Since <= p.drainMillis(o.Pool) {
		return
	}
	h := p.holds[o.VM]
	h.wait = min(max(2*h.wait, p.drainMillis(o.Pool)), forgetMillis)
	h.until = p.now + h.wait
	p.holds[o.VM] = h
}

func (p *Planner) takeBudget(m BudgetMsg) {
	d := p.budgets[m.Service]
	if d == nil {
		return
	}
	if d.accept(m.Revision, m.At) {
		d.budget = m.Budget
	}
}

func (p *Planner) wroteBudget(m WroteBudgetMsg) {
	d := p.budgets[m.Service]
	if d != nil && d.wroteAs(m.Outcome, m.Revision) {
		d.budget = d.sent
	}
}

// budgetDocument is one service's budget and what is known of its document.
type budgetDocument struct {
	*document
	budget, sent Budget
}
