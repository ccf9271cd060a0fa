package batch

// Building of transactions within the store's limits. A write is added whole or not at all, so no caller can exceed them.

// writeKind tells what a write stores.
type writeKind int

const (
	writeAccept writeKind = iota
	writeProgress
	writeWave
	writeOrders
	writeAside
	writeLifetimes
	writeLateStarts
)

// write stores one record. Its rows are set when it is added to a transaction.
type write struct {
	kind    writeKind
	job     *job
	wave    *wave
	version int // of the record, as written.
	rows    []Row
}

// transaction is one transaction, as it is built and while it is in flight.
type transaction struct {
	writes         []write
	entries, bytes int
	byteLimit      int
}

// entries returns the number of entries that the row takes in a transaction: the write, and its guard if it has one.
func (r Row) entries() int {
	if r.Guarded {
		return 2
	}
	return 1
}

// rowOverheadBytes covers the field names and numbers of an encoded row, and of its guard.
const rowOverheadBytes = 96

// bytes returns an upper bound of the bytes that the row takes in the request, where values are encoded as base64.
func (r Row) bytes() int { return rowOverheadBytes + 2*len(r.Key) + (len(r.Value)+2)/3*4 }

// key returns the key of the record.
func (w write) key() string {
	switch w.kind {
	case writeAccept:
		return JobPrefix + w.job.ID
	case writeProgress:
		return RunPrefix + w.job.ID
	case writeWave:
		return w.wave.row().Key
	case writeAside:
		return AsideKey
	case writeLifetimes:
		return LifetimesKey
	case writeLateStarts:
		return LateStartsKey
	}
	return OrdersKey
}

// build sets the rows of the write from the present state of its record.
func (m *Model) build(w write) write {
	switch w.kind {
	case writeAccept:
		w.rows = []Row{{Key: w.key(), Value: m.encodeJob(w.job)}}
	case writeProgress:
		w.rows, w.version = progressRows(w.job), w.job.version
	case writeWave:
		w.rows, w.version = []Row{w.wave.row()}, w.wave.version
	case writeOrders:
		r, v := m.ordersRow()
		w.rows, w.version = []Row{r}, v
	case writeAside:
		r, v := m.asideRow()
		w.rows, w.version = []Row{r}, v
	case writeLifetimes:
		r, v := m.lifetimesRow()
		w.rows, w.version = []Row{r}, v
	case writeLateStarts:
		r, v := m.lateStartsRow()
		w.rows, w.version = []Row{r}, v
	}
	return w
}

// progressRows returns the rows that store the progress of j, its end or its removal.
func progressRows(j *job) []Row {
	r := Row{Key: RunPrefix + j.ID, Rev: j.rev, Guarded: true}
	accepted := Row{Key: JobPrefix + j.ID, Delete: true}
	switch {
	case j.purging: // a late write of the acceptance may have restored its record.
		r.Delete = true
		return []Row{r, accepted}
	case j.phase == ended:
		r.Value = encodeRun(j)
		return []Row{r, accepted}
	}
	r.Value = encodeRun(j)
	return []Row{r}
}

// add adds a write to the transaction, if it fits within the limits. The first write is added whatever its size in bytes: the store
// decides about it.
func (m *Model) add(f *transaction, w write) bool {
	if f.entries >= maxTxnEntries {
		return false
	}
	w = m.build(w)
	entries, bytes := 0, 0
	for _, r := range w.rows {
		entries, bytes = entries+r.entries(), bytes+r.bytes()
	}
	if f.entries+entries > maxTxnEntries || len(f.writes) > 0 && f.bytes+bytes > f.byteLimit {
		return false
	}
	f.entries, f.bytes = f.entries+entries, f.bytes+bytes
	f.writes = append(f.writes, w)
	m.setWriting(w, true)
	return true
}

// rows returns the rows of all writes.
func (f *transaction) rows() []Row {
	l := make([]Row, 0, f.entries)
	for _, w := range f.writes {
		l = append(l, w.rows...)
	}
	return l
}

// setWriting marks the record of a write as being written, or not. A record is in one transaction at a time.
func (m *Model) setWriting(w write, writing bool) {
	c := &m.commits
	switch w.kind {
	case writeProgress:
		if writing {
			c.writing[w.job] = true
		} else {
			delete(c.writing, w.job)
		}
	case writeWave:
		w.wave.writing = writing
	case writeOrders:
		c.orders.writing = writing
	case writeAside:
		c.aside.writing = writing
	case writeLifetimes:
		c.lifetimes.writing = writing
	case writeLateStarts:
		c.lateStarts.writing = writing
	case writeAccept: // the queue holds it only once.
	}
}
