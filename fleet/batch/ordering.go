package batch

// Orders to machines are stored before they are sent, so that a successor knows which machines a former owner may have
// ordered. Without that it has to leave alone all machines whose workers are young, for the whole time that must pass
// between the orders of two owners, and in a load peak these are the machines that it needs.

// OrdersKey is the key of the stored orders.
const OrdersKey = "order/machines"

// StoredOrders holds the machines that the owner of one term may have ordered lately.
type StoredOrders struct {
	Fence    int64    `json:"fence"`              // of the term.
	Machines []string `json:"machines,omitempty"` // ordered within the gap between the orders of two owners.
	Complete bool     `json:"complete"`           // no machine can be missing.
	Rev      int64    `json:"-"`
}

// orderRecord holds the versions of the stored orders. A version includes all orders planned so far.
type orderRecord struct {
	planned, stored int
	writing         bool
	complete        bool // as in the version that was sent last.
	rev             int64
}

// sendOrder plans the order to the machine. The order is sent once it is stored.
func (m *Model) sendOrder(k *machine) {
	m.recordOrder(k)
	m.commits.orders.planned++
	k.unsentVersion = m.commits.orders.planned
}

// sendStoredOrders sends the planned orders that are stored.
func (m *Model) sendStoredOrders() {
	for _, k := range m.fleet.list {
		if k.unsentVersion == 0 || k.unsentVersion > m.commits.orders.stored {
			continue
		}
		k.unsentVersion = 0
		switch {
		case k.ackedAt != 0: // an earlier order of the same kind was answered meanwhile.
		case !m.isVacant(k): // its worker was replaced meanwhile. An upkeep is planned again.
			if k.targetPool != "" {
				m.releaseMachine(k)
			}
		case k.wave != nil:
			m.recordOrder(k)
			m.log("upkeep ordered", "", "machine", k.Name, "wave", k.wave.Number, "worker", k.Worker, "workerKnown", m.workerOf(k) != nil,
				"listAgeMs", m.now-m.fleet.listSentAt)
			m.emit(UpkeepCmd{Machine: k.Name, Wave: k.wave.Number, Fence: m.cfg.Fence})
		case k.targetPool != "":
			m.recordOrder(k)
			m.emit(MoveCmd{Machine: k.Name, Pool: k.targetPool, Fence: m.cfg.Fence})
		}
	}
}

// ordersComplete reports whether all orders that may have been given lately are known.
func (m *Model) ordersComplete() bool { return m.now-m.fleet.ordersKnownSince >= m.cfg.OrderGapMs }

// markOrdersComplete has the orders stored again once none can be missing any more.
func (m *Model) markOrdersComplete() {
	if c := &m.commits.orders; !c.complete && m.ordersComplete() {
		c.complete = true
		c.planned++
	}
}

// waiting reports whether orders are planned that no transaction in flight includes.
func (o *orderRecord) waiting() bool { return !o.writing && o.planned > o.stored }

// ordersRow returns the row that stores the planned orders, and their version.
func (m *Model) ordersRow() (Row, int) {
	o := &m.commits.orders
	names := m.Orders(m.now).AgeMs
	for _, k := range m.fleet.list {
		if k.unsentVersion != 0 {
			names[k.Name] = 0 // planned long ago, if the store was down meanwhile.
		}
	}
	b := encode(StoredOrders{Fence: m.cfg.Fence, Machines: sortedKeys(names), Complete: m.ordersComplete()})
	return Row{Key: OrdersKey, Value: b, Rev: o.rev, Guarded: true}, o.planned // a late write must not replace a newer one.
}

// loadOrders takes over the stored orders of the former term. They are not sent later than the former owner's claim ends.
func (m *Model) loadOrders(s StoredOrders, formerFence int64) {
	m.commits.orders.rev = s.Rev
	if s.Fence == 0 || s.Fence != formerFence {
		return
	}
	d := &m.fleet
	d.loadedOrders, d.loadedOrdersUntil = map[string]bool{}, m.now+formerClaimMs
	for _, n := range s.Machines {
		d.loadedOrders[n] = true
	}
	if s.Complete {
		d.noOrdersBefore, d.ordersKnownSince = m.now, min(d.ordersKnownSince, m.now-m.cfg.OrderGapMs)
	}
	m.log("former orders loaded", "", "machines", len(s.Machines), "complete", s.Complete)
}

// formerOrderOf returns until when a former owner may have ordered the machine, and false if it has not ordered it lately.
func (d *fleet) formerOrderOf(name string) (int64, bool) {
	at, ok := d.formerOrderAt[name]
	if d.loadedOrders[name] {
		return max(at, d.loadedOrdersUntil), true
	}
	return at, ok
}
