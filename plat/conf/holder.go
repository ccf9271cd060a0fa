package conf

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// Holder shares one log between goroutines. Its lock guards the log and the subscribers; no goroutine blocks while it holds it.
type Holder struct {
	doc atomic.Pointer[Document]

	mu          sync.Mutex
	log         *Log
	subscribers map[chan struct{}]struct{}
}

// NewHolder returns a holder of an empty log.
func NewHolder(opts ...LogOption) *Holder {
	h := &Holder{log: NewLog(opts...), subscribers: map[chan struct{}]struct{}{}}
	h.doc.Store(h.log.Document())
	return h
}

// Document returns the newest document without taking the lock.
func (h *Holder) Document() *Document { return h.doc.Load() }

// Offer is Log.Offer; it notifies the subscribers if a change was applied.
func (h *Holder) Offer(c ...Change) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	n, err := h.log.Offer(c...)
	if n > 0 {
		h.publish()
	}
	return n, err
}

// OfferDocument is Log.OfferDocument; it notifies the subscribers if the document was replaced.
func (h *Holder) OfferDocument(d *Document) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	ok := h.log.OfferDocument(d)
	if ok {
		h.publish()
	}
	return ok
}

// Since is Log.Since.
func (h *Holder) Since(n Number, limit int) ([]Change, *Document) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.log.Since(n, limit)
}

// FindOp is Log.FindOp.
func (h *Holder) FindOp(op string) (Number, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.log.FindOp(op)
}

// ChangeAt is Log.ChangeAt.
func (h *Holder) ChangeAt(n Number) (Change, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.log.ChangeAt(n)
}

// Subscribe returns a channel that receives one value after one or more changes. It receives none after ctx ends.
func (h *Holder) Subscribe(ctx context.Context) <-chan struct{} {
	s := make(chan struct{}, 1)
	h.mu.Lock()
	h.subscribers[s] = struct{}{}
	h.mu.Unlock()
	context.AfterFunc(ctx, func() {
		h.mu.Lock()
		delete(h.subscribers, s)
		h.mu.Unlock()
	})
	return s
}

// Wait returns nil once the document's number is at least n, or an error if ctx ends first.
func (h *Holder) Wait(ctx context.Context, n Number) error {
	c, cancel := context.WithCancel(ctx)
	defer cancel()
	s := h.Subscribe(c)
	for h.Document().Number() < n {
		select {
		case <-s:
		case <-ctx.Done():
			return eris.Wrapf(context.Cause(ctx), "wait for change %d", n)
		}
	}
	return nil
}

// publish makes the log's document the current one and notifies the subscribers. The caller holds the lock.
func (h *Holder) publish() {
	h.doc.Store(h.log.Document())
	for s := range h.subscribers {
		select {
		case s <- struct{}{}:
		default:
		}
	}
}
