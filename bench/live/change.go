package live

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"burdockreach.dev/plat/conf"
)

const (
	changePollInterval = 2 * time.Millisecond
	changeTimeout      = 20 * time.Second
)

// ChangeDelays holds, in ascending order, how long each accepted change took to be in force at every entry.
type ChangeDelays struct{ delays []time.Duration }

// Len returns the number of measured changes.
func (c ChangeDelays) Len() int { return len(c.delays) }

// Quantile returns the time within which the fraction f of the changes was in force.
func (c ChangeDelays) Quantile(f float64) time.Duration {
	if len(c.delays) == 0 {
		return 0
	}
	return c.delays[min(len(c.delays)-1, int(f*float64(len(c.delays))))]
}

// MeasureChanges alternately withdraws and renews the team's approval, n changes in all, and measures the time until every entry answers
// accordingly.
func (s *Setup) MeasureChanges(ctx context.Context, n int) (ChangeDelays, error) {
	c := conf.NewCommitter(s.platform.Store(), conf.NewHolder())
	var out ChangeDelays
	for k := range n {
		h := conf.Change{Op: fmt.Sprint("toggle-", k), By: "bench", Kind: conf.Withdraw, Approval: &conf.ApprovalSpec{Team: team, Service: service}}
		want := fasthttp.StatusForbidden
		if k%2 == 1 {
			h.Kind, want = conf.Approve, fasthttp.StatusOK
		}
		if _, err := c.Commit(ctx, h); err != nil {
			return out, err
		}
		committedAt := time.Now()
		if err := s.awaitStatus(ctx, want); err != nil {
			return out, err
		}
		out.delays = append(out.delays, time.Since(committedAt))
	}
	slices.Sort(out.delays)
	return out, nil
}

// awaitStatus waits until every entry answers with the status.
func (s *Setup) awaitStatus(ctx context.Context, status int) error {
	x, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	g, x := errgroup.WithContext(x)
	for _, e := range s.entries {
		g.Go(func() error {
			for {
				if requestStatus(e) == status {
					return nil
				}
				select {
				case <-x.Done():
					return eris.Wrapf(x.Err(), "change at %s", e)
				case <-time.After(changePollInterval):
				}
			}
		})
	}
	return g.Wait()
}

// requestStatus sends one request and returns the status of its answer, or 0 if it failed or took longer than a second.
func requestStatus(entry string) int {
	q, a := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(a)
	q.SetRequestURI("http://" + entry + "/call/" + service + "/x")
	q.Header.Set("Authorization", "Bearer "+token)
	if err := fasthttp.DoTimeout(q, a, time.Second); err != nil {
		return 0
	}
	return a.StatusCode()
}
