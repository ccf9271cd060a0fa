package entry

import (
	"net"
	"testing"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

func answerer(x *fasthttp.RequestCtx) { x.SetBodyString("a tray of soup") }

func load(b *testing.B, addr string) {
	c := fasthttp.HostClient{Addr: addr, MaxConns: 1000, NoDefaultUserAgentHeader: true}
	b.ReportAllocs()
	b.SetParallelism(4)
	b.RunParallel(func(p *testing.PB) {
		var q fasthttp.Request
		var a fasthttp.Response
		q.SetRequestURI("http://e/call/orders/x")
		q.Header.Set("Authorization", "Bearer "+testToken)
		for p.Next() {
			if err := c.Do(&q, &a); err != nil || a.StatusCode() != 200 {
				b.Error(err, a.StatusCode(), string(a.Body()))
				return
			}
		}
	})
}

// BenchmarkEntry measures requests through a complete entry.
func BenchmarkEntry(b *testing.B) {
	t := listen(b, answerer)
	r := start(b, []string{t})
	load(b, r.addr)
	b.StopTimer()
	r.stop()
	_ = r.done.Wait()
}

// BenchmarkBareRelay measures the same requests through a plain proxy, as the baseline.
func BenchmarkBareRelay(b *testing.B) {
	t := listen(b, answerer)
	c := fasthttp.HostClient{Addr: t, MaxConns: 1000}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := fasthttp.Server{Handler: func(x *fasthttp.RequestCtx) {
		if err := c.Do(&x.Request, &x.Response); err != nil {
			x.Error(err.Error(), 502)
		}
	}}
	var g errgroup.Group
	g.Go(func() error { return s.Serve(ln) })
	load(b, ln.Addr().String())
	b.StopTimer()
	_ = s.Shutdown()
	_ = g.Wait()
}
