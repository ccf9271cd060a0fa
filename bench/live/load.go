package live

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

const (
	warmUp        = time.Second
	measurePeriod = 3 * time.Second
	rounds        = 5
	callers       = 64
	minLatency    = int64(time.Microsecond)
	maxLatency    = int64(10 * time.Second)
	latencyDigits = 3 // significant digits of a latency
)

// Kind is the kind of request that callers send.
type Kind string

const (
	// PlainGet is a GET without a key.
	PlainGet Kind = "GET"
	// KeyedPost is a POST with an idempotency key. Two entries must hold the key before the request is sent to the target.
	KeyedPost Kind = "POST"
)

// Figures holds the request rate, the latencies and the failures of a measurement.
type Figures struct {
	PerSecond float64
	P50, P99  time.Duration
	Failed    int64
}

// Comparison holds the figures of an entry and those of the bare relay.
type Comparison struct {
	Entry, Relay Figures
}

// RateRatio returns the entry's rate as a share of the relay's.
func (p Comparison) RateRatio() float64 { return p.Entry.PerSecond / p.Relay.PerSecond }

// P99Ratio returns the entry's p99 as a multiple of the relay's.
func (p Comparison) P99Ratio() float64 { return float64(p.Entry.P99) / float64(p.Relay.P99) }

// MeasureHighest measures entry and relay in alternate rounds, with each caller sending as fast as it can, and returns the medians of each.
func (s *Setup) MeasureHighest(ctx context.Context, k Kind) (Comparison, error) {
	return s.alternate(ctx, k, 0)
}

// MeasureAtRate measures both at the same fixed rate, in requests a second.
func (s *Setup) MeasureAtRate(ctx context.Context, k Kind, rate float64) (Comparison, error) {
	return s.alternate(ctx, k, rate)
}

func (s *Setup) alternate(ctx context.Context, k Kind, rate float64) (Comparison, error) {
	var es, rs []Figures
	for n := range rounds {
		e, err := runLoad(ctx, s.entries[0], "/call/"+service+"/x", k, rate, fmt.Sprintf("e%d-%.0f", n, rate))
		if err != nil {
			return Comparison{}, err
		}
		r, err := runLoad(ctx, s.relay, "/x", k, rate, fmt.Sprintf("r%d-%.0f", n, rate))
		if err != nil {
			return Comparison{}, err
		}
		es, rs = append(es, e), append(rs, r)
	}
	return Comparison{Entry: median(es), Relay: median(rs)}, nil
}

// median returns the median rate, the median of each latency, and the sum of the failures.
func median(l []Figures) Figures {
	m := Figures{}
	for _, f := range l {
		m.Failed += f.Failed
	}
	slices.SortFunc(l, func(a, b Figures) int { return int(a.PerSecond - b.PerSecond) })
	m.PerSecond = l[len(l)/2].PerSecond
	slices.SortFunc(l, func(a, b Figures) int { return int(a.P50 - b.P50) })
	m.P50 = l[len(l)/2].P50
	slices.SortFunc(l, func(a, b Figures) int { return int(a.P99 - b.P99) })
	m.P99 = l[len(l)/2].P99
	return m
}

// caller sends one request after the other and records their latencies.
type caller struct {
	latencies *hdrhistogram.Histogram
	failed    int64
}

func runLoad(ctx context.Context, addr, path string, k Kind, rate float64, keyPrefix string) (Figures, error) {
	c := &fasthttp.HostClient{Addr: addr, MaxConns: 2 * callers, MaxIdemponentCallAttempts: 1}
	defer c.CloseIdleConnections()
	recordFrom := time.Now().Add(warmUp)
	recordUntil := recordFrom.Add(measurePeriod)
	var ids atomic.Int64
	l := make([]*caller, callers)
	var g errgroup.Group
	for n := range l {
		l[n] = &caller{latencies: hdrhistogram.New(minLatency, maxLatency, latencyDigits)}
		g.Go(func() error {
			return l[n].sendUntilEnd(ctx, c, path, k, newPacer(rate, n), recordFrom, recordUntil, keyPrefix, &ids)
		})
	}
	if err := g.Wait(); err != nil {
		return Figures{}, err
	}
	h := hdrhistogram.New(minLatency, maxLatency, latencyDigits)
	var failed int64
	for _, x := range l {
		h.Merge(x.latencies)
		failed += x.failed
	}
	return Figures{
		PerSecond: float64(h.TotalCount()) / measurePeriod.Seconds(), Failed: failed,
		P50: time.Duration(h.ValueAtQuantile(50)), P99: time.Duration(h.ValueAtQuantile(99)),
	}, nil
}

// pacer spaces the requests of a caller evenly. With a nil pacer the next request is due at once.
type pacer struct {
	next     time.Time
	interval time.Duration
}

func newPacer(rate float64, n int) *pacer {
	if rate <= 0 {
		return nil
	}
	gap := time.Duration(float64(callers) / rate * float64(time.Second))
	return &pacer{next: time.Now().Add(gap * time.Duration(n) / callers), interval: gap}
}

// waitForNext waits until the next request is due and returns that time. Latency counts from it, so that it includes the delay of a
// late request.
func (p *pacer) waitForNext() time.Time {
	if p == nil {
		return time.Now()
	}
	t := p.next
	p.next = t.Add(p.interval)
	time.Sleep(time.Until(t))
	return t
}

func (w *caller) sendUntilEnd(ctx context.Context, c *fasthttp.HostClient, path string, k Kind, p *pacer, recordFrom, recordUntil time.Time, keyPrefix string, ids *atomic.Int64) error {
	q, a := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(a)
	q.SetRequestURI("http://" + c.Addr + path)
	q.Header.SetMethod(string(k))
	q.Header.Set("Authorization", "Bearer "+token)
	if k == KeyedPost {
		q.SetBodyString(`{"tray":"soup","count":2}`)
	}
	for ctx.Err() == nil {
		dueAt := p.waitForNext()
		if dueAt.After(recordUntil) {
			return nil
		}
		if k == KeyedPost {
			q.Header.Set("Idempotency-Key", fmt.Sprintf("%s-%d", keyPrefix, ids.Add(1)))
		}
		err := c.Do(q, a)
		if dueAt.Before(recordFrom) {
			continue
		}
		if err != nil || a.StatusCode() != fasthttp.StatusOK {
			w.failed++
			continue
		}
		if err := w.latencies.RecordValue(int64(time.Since(dueAt))); err != nil {
			return eris.Wrap(err, "record")
		}
	}
	return nil
}

// ServeRelay serves the bare relay on addr until ctx ends: one handler with one client, which sends every request to the target at to.
func ServeRelay(ctx context.Context, addr, to string) error {
	c := &fasthttp.HostClient{Addr: to, MaxConns: targetSlots}
	s := &fasthttp.Server{Handler: func(x *fasthttp.RequestCtx) {
		if err := c.Do(&x.Request, &x.Response); err != nil {
			x.Error(err.Error(), fasthttp.StatusBadGateway)
		}
	}}
	defer context.AfterFunc(ctx, func() { _ = s.Shutdown() })()
	return eris.Wrap(s.ListenAndServe(addr), "serve")
}
