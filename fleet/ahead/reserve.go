package ahead

// Reservation keeps a size free at a worker from a time on.
type Reservation struct {
	at     int64
	beside Size // what is left at that time once the reserved size is used.
	strict bool // nothing may use the reserved room before.
}

// Reserve returns the index of the worker at which the size fits first, and when. Only allowed workers count; allowed is
// called for few of them.
func Reserve(workers []*Worker, size Size, now int64, allowed func(i int) bool) (best int, at int64, found bool) {
	best, at = -1, Never
	for i, w := range workers {
		if t, ok := w.FitsAt(size, now, at); ok && allowed(i) {
			best, at = i, t
		}
	}
	return best, at, best >= 0
}

// NewReservation returns the reservation of a size at the worker from the given time on. A strict one admits only what
// fits beside the size.
func NewReservation(w *Worker, size Size, at int64, strict bool) *Reservation {
	return &Reservation{at: at, beside: w.freeAt(at).Minus(size), strict: strict}
}

// At returns the time from which the size is kept free.
func (r *Reservation) At() int64 { return r.at }

// Backfill reports whether a task of the size with this expected end may be started before the reservation is used. The
// caller checks that the worker has room for it now.
func (r *Reservation) Backfill(size Size, endsAt int64) bool {
	return r.endsBefore(endsAt) || size.Fits(r.beside)
}

// Use records that such a task was started.
func (r *Reservation) Use(size Size, endsAt int64) {
	if !r.endsBefore(endsAt) {
		r.beside = r.beside.Minus(size)
	}
}

func (r *Reservation) endsBefore(endsAt int64) bool { return !r.strict && endsAt <= r.at }
