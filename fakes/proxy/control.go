package proxy

import (
	"context"
	"encoding/json"
	"net"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

func (c *Proxy) serveControl(ctx context.Context) error {
	var n net.ListenConfig
	l, err := n.Listen(ctx, "tcp", c.controlAddr)
	if err != nil {
		return eris.Wrapf(err, "listen at control of forwarder to %s", c.upstreamAddr)
	}
	s := &fasthttp.Server{Handler: c.handleControl, NoDefaultServerHeader: true}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return eris.Wrapf(s.Serve(l), "serve control of forwarder to %s", c.upstreamAddr) })
	g.Go(func() error {
		<-ctx.Done()
		_ = l.Close()
		return nil
	})
	if err := g.Wait(); err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}

func (c *Proxy) handleControl(x *fasthttp.RequestCtx) {
	switch string(x.Path()) {
	case "/ctl/cut":
		c.Cut()
	case "/ctl/stall":
		c.Stall()
	case "/ctl/refuse":
		c.Refuse()
	case "/ctl/accept":
		c.Accept()
	case "/ctl/stats":
	default:
		x.Error("no such call", fasthttp.StatusNotFound)
		return
	}
	b, err := json.Marshal(c.Stats())
	if err != nil {
		x.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	x.SetContentType("application/json")
	x.SetBody(b)
}
