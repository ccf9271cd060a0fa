package batch

import "slices"

// Writes that the store rejects for good. A rejected transaction is sent again in halves, down to single records, so that one record
// cannot hold up the others. A record that is rejected alone is set aside and tried again now and then.

// AsideKey is the key of the list of records that the store does not take.
const AsideKey = "own/aside"

const (
	asideRetryMs     = 5_000 // between attempts to write a record that is set aside, in ms.
	maxAsideNames    = 20    // records that the stored list names.
	maxLoneUnwritten = 3     // times that a large record may go unanswered alone before it is set aside.
	maxDetailBytes   = 200   // of a detail that is kept.
)

// StoredAside lists the records that the store does not take.
type StoredAside struct {
	Fence   int64            `json:"fence"` // of the term.
	Count   int              `json:"count"`
	Records []RejectedRecord `json:"records,omitempty"` // the first of them.
}

// RejectedRecord is a record that the store does not take.
type RejectedRecord struct {
	Key    string `json:"key"`
	Reason string `json:"reason"` // status and body of the store's answer.
}

// asideWrite is a write that waits for its next attempt.
type asideWrite struct {
	write
	detail  string
	retryAt int64
	active  bool // the attempt is in progress.
}

// asideRecord holds the versions of the stored list.
type asideRecord struct {
	planned, stored int
	writing         bool
}

func (a *asideRecord) waiting() bool { return !a.writing && a.planned > a.stored }

// separate sends the writes of a rejected transaction again in two parts, or sets aside a single one.
func (m *Model) separate(f *transaction, detail string) {
	detail = detail[:min(len(detail), maxDetailBytes)]
	n := len(f.writes)
	if n == 1 {
		m.putAside(f.writes[0], f.bytes, detail)
		return
	}
	m.logError("write rejected", "", "writes", n, "bytes", f.bytes, "detail", detail)
	m.commits.parts = append(m.commits.parts, f.writes[:n/2], f.writes[n/2:])
}

// addPart adds the first part of a rejected transaction. What has grown meanwhile and does not fit stays a part.
func (m *Model) addPart(f *transaction) {
	c := &m.commits
	l := c.parts[0]
	c.parts = c.parts[1:]
	for i, w := range l {
		if !m.add(f, w) {
			c.parts = append(c.parts, l[i:])
			return
		}
	}
}

// putAside keeps a record that the store does not take out of the way of the others. An accepted job goes on, its ended runs stay
// listed at their workers, and its end is shown only once it is stored: a successor finds the job as it was stored last. A new job
// is refused, unless an earlier attempt may have stored it.
func (m *Model) putAside(w write, bytes int, detail string) {
	c := &m.commits
	delete(c.unanswered, w.key())
	if w.kind == writeAside {
		c.aside.stored, c.aside.writing = w.version, false
		m.logError("list of rejected records not stored", "", "bytes", bytes, "detail", detail)
		return
	}
	if w.kind == writeAccept && !w.job.maybeStored {
		m.logError("record rejected", w.job.ID, "key", w.key(), "bytes", bytes, "detail", detail)
		m.refuseUnstored(w.job, "the store rejects the job's record: "+detail, maxRetryMs)
		return
	}
	i := slices.IndexFunc(c.setAside, func(a asideWrite) bool { return a.active && a.key() == w.key() })
	if i >= 0 {
		c.setAside[i].active, c.setAside[i].retryAt = false, m.now+asideRetryMs
		return
	}
	m.logError("record set aside", w.jobID(), "key", w.key(), "bytes", bytes, "detail", detail)
	c.setAside = append(c.setAside, asideWrite{write: w, detail: detail, retryAt: m.now + asideRetryMs})
	c.aside.planned++
}

// retrySetAside sends each record that is due apart from others, and forgets those that have been written since.
func (m *Model) retrySetAside() {
	c := &m.commits
	n := len(c.setAside)
	c.setAside = slices.DeleteFunc(c.setAside, func(a asideWrite) bool { return a.active && !c.pending(a.write) })
	if len(c.setAside) != n {
		c.aside.planned++
	}
	for i := range c.setAside {
		a := &c.setAside[i]
		if !a.active && m.now >= a.retryAt {
			a.active = true
			c.parts = append(c.parts, []write{a.write})
		}
	}
}

// pending reports whether a write is waiting or in flight.
func (c *commits) pending(w write) bool {
	same := func(o write) bool { return o.kind == w.kind && o.job == w.job && o.wave == w.wave }
	switch {
	case slices.ContainsFunc(c.parts, func(l []write) bool { return slices.ContainsFunc(l, same) }):
		return true
	case w.kind == writeAccept && slices.Contains(c.accepts, w.job), w.kind == writeProgress && c.queued[w.job]:
		return true
	}
	for _, f := range c.inFlight {
		if slices.ContainsFunc(f.writes, same) {
			return true
		}
	}
	return false
}

// limitBytes lowers the limit of transactions after a large one was not answered: over a narrow link it may not arrive in time. It
// sets aside a large record that goes unanswered alone, and then returns true.
func (m *Model) limitBytes(f *transaction, detail string) bool {
	c := &m.commits
	if f.bytes <= minTxnBytes {
		return false
	}
	c.byteLimit = max(f.bytes/2, minTxnBytes)
	if len(f.writes) > 1 {
		return false
	}
	w := f.writes[0]
	c.unanswered[w.key()]++
	if c.unanswered[w.key()] < maxLoneUnwritten {
		return false
	}
	if w.kind == writeAccept {
		w.job.maybeStored = true
	}
	m.setWriting(w, true)
	m.putAside(w, f.bytes, "not answered: "+detail)
	return true
}

// jobID returns the ID of the write's job, or an empty string.
func (w write) jobID() string {
	if w.job == nil {
		return ""
	}
	return w.job.ID
}

// asideRow returns the row that stores the list, and its version.
func (m *Model) asideRow() (Row, int) {
	c := &m.commits
	s := StoredAside{Fence: m.cfg.Fence, Count: len(c.setAside)}
	for _, a := range c.setAside[:min(len(c.setAside), maxAsideNames)] {
		s.Records = append(s.Records, RejectedRecord{Key: a.key(), Reason: a.detail})
	}
	return Row{Key: AsideKey, Value: encode(s)}, c.aside.planned
}
