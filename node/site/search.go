package site

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"burdockreach.dev/node/desk"
	"burdockreach.dev/node/owner"
	"burdockreach.dev/plat/steady"
)

// An entry that is cut off from the store does not learn of a new owner, though it may reach it. It then asks the other entries.

// Times and limits of a search.
const (
	lostDelay         = 300 * time.Millisecond                // from a failed call to the search, while the store does not answer.
	connectedDelay    = owner.ClaimTTL + 400*time.Millisecond // otherwise; the store tells a change of owner within this time.
	minSearchInterval = 500 * time.Millisecond
	maxSearchInterval = 4 * time.Second // reached while nobody is the owner.
	questionTimeout   = 300 * time.Millisecond
	maxQuestions      = 32 // entries that one search asks.
)

// search finds the owner of the jobs among the entries.
type search struct {
	claims *claims
	peers  *desk.Client
	log    zerolog.Logger
	next   int // index of the first entry that the next search asks.
}

// run searches when the owner could not be called and the store names no other one, until ctx ends.
func (s *search) run(ctx context.Context) error {
	interval := minSearchInterval
	for {
		select {
		case <-s.claims.failed:
		case <-ctx.Done():
			return nil
		}
		former := s.claims.Owner()
		steady.Sleep(ctx, s.delay())
		if s.claims.Owner() != former {
			continue
		}
		a, fence, last := s.ask(ctx)
		switch {
		case fence == 0 && last:
			interval = min(2*interval, maxSearchInterval)
		case fence == 0:
			s.claims.OwnerFailed() // goes on with the next entries.
		case a != former && s.claims.Owner() == former:
			s.claims.foundAddr.Store(&a)
			s.log.Info().Str("owner", a).Int64("fence", fence).Msg("owner found")
			interval = minSearchInterval
		default:
			interval = minSearchInterval
		}
		if fence != 0 || last {
			s.forgetFailures()
		}
		steady.Sleep(ctx, interval)
	}
}

// forgetFailures drops the failures of calls to the former owner.
func (s *search) forgetFailures() {
	select {
	case <-s.claims.failed:
	default:
	}
}

// delay returns how long the store has to name another owner before the search.
func (s *search) delay() time.Duration {
	if s.claims.storeLost.Load() {
		return lostDelay
	}
	return connectedDelay
}

// ask asks the next entries whether they own the jobs. It returns the address and the fence of the newest owner, and whether these were
// the last entries; the fence is 0 if none of them says so.
func (s *search) ask(ctx context.Context) (addr string, fence int64, last bool) {
	var mu sync.Mutex
	g := errgroup.Group{}
	l := s.claims.others(0)
	from := min(s.next, len(l))
	to := min(from+maxQuestions, len(l))
	if last = to == len(l); last {
		s.next = 0
	} else {
		s.next = to
	}
	for _, a := range l[from:to] {
		g.Go(func() error {
			c, cancel := context.WithTimeout(ctx, questionTimeout)
			defer cancel()
			r, err := s.peers.At(a).Term(c, &desk.TermRequest{})
			mu.Lock()
			defer mu.Unlock()
			if err == nil && r.GetFence() > fence {
				addr, fence = a, r.GetFence()
			}
			return nil // an entry that does not answer is not the owner that is looked for.
		})
	}
	_ = g.Wait()
	if fence != 0 {
		s.next = 0
	}
	return addr, fence, last
}
