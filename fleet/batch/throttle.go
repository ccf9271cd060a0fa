package batch

// Pacing of orders to machines. A load peak can need hundreds of moves within a second, and the platform refuses orders
// beyond its limit. Upkeep, repeated orders, moves to pools that lack machines and parking share the limit, in this order.
const (
	// DefaultOrdersPerSec is the number of orders per second without a configured limit.
	DefaultOrdersPerSec = 64
	orderBurstMs        = 150  // unused orders are kept for this long, ms.
	orderShare          = 0.85 // share of the limit that is used; with the burst, no second exceeds the limit.
	throttledPauseMs    = 100  // no orders for this long after the platform refused one for its rate, ms.
)

// orderPace is a token bucket for orders to machines.
type orderPace struct {
	perMs       float64
	available   float64
	updatedAt   int64
	pausedUntil int64
}

func newOrderPace(perSec float64, now int64) orderPace {
	if perSec <= 0 {
		perSec = DefaultOrdersPerSec
	}
	return orderPace{perMs: perSec * orderShare / 1000, updatedAt: now}
}

// take takes one order, and reports whether one was available.
func (p *orderPace) take(now int64) bool {
	if now > p.updatedAt {
		p.available = min(p.available+float64(now-p.updatedAt)*p.perMs, max(p.perMs*orderBurstMs, 1))
		p.updatedAt = now
	}
	if now < p.pausedUntil || p.available < 1 {
		return false
	}
	p.available--
	return true
}

// pause stops the orders for a short time, after the platform refused one for its rate.
func (p *orderPace) pause(now int64) {
	p.available = 0
	p.pausedUntil = now + throttledPauseMs
}

// takeOrder reports whether an order to a machine may be sent now.
func (m *Model) takeOrder() bool { return m.fleet.pace.take(m.now) }
