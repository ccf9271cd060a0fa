package lease

import (
	"context"
	"sync"
	"time"

	"burdockreach.dev/plat/keyval"
)

type Lease struct {
	store       keyval.Store
	key, holder string
	ttl         time.Duration
	mu          sync.Mutex
	fence       keyval.Revision
	until       time.Time
}
type Option func(*Lease)

func WithTTL(d time.Duration) Option { return func(l *Lease) { l.ttl = d } }
func New(s keyval.Store, key, holder string, o ...Option) *Lease {
	l := &Lease{store: s, key: key, holder: holder, ttl: 5 * time.Second}
	for _, f := range o {
		f(l)
	}
	return l
}
func (l *Lease) Held() (keyval.Revision, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence, time.Now().Before(l.until)
}
func (l *Lease) Run(ctx context.Context) error {
	var id keyval.LeaseID
	for ctx.Err() == nil {
		at := time.Now()
		if id == 0 {
			if i, err := l.store.Grant(ctx, l.ttl); err == nil {
				if r, err := l.store.Put(ctx, l.key, []byte(l.holder), keyval.Absent, i); err == nil {
					id = i
					l.mu.Lock()
					l.fence, l.until = r, at.Add(l.ttl*2/3)
					l.mu.Unlock()
				} else {
					_ = l.store.Revoke(ctx, i)
				}
			}
		} else if err := l.store.Renew(ctx, id); err == nil {
			l.mu.Lock()
			l.until = at.Add(l.ttl * 2 / 3)
			l.mu.Unlock()
		} else if _, ok := l.Held(); !ok {
			id = 0
		}
		select {
		case <-ctx.Done():
		case <-time.After(l.ttl / 4):
		}
	}
	if id != 0 {
		x, c := context.WithTimeout(context.Background(), time.Second)
		defer c()
		_ = l.store.Revoke(x, id)
	}
	return nil
}
