package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"

	"golang.org/x/sync/errgroup"
)

// startForwarder forwards connections to addr, adds their bytes to sum and returns the address where it listens.
func startForwarder(ctx context.Context, g *errgroup.Group, addr string, sum *atomic.Int64) string {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		panic(fmt.Sprint("bench: listen: ", err))
	}
	context.AfterFunc(ctx, func() { _ = l.Close() })
	g.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			g.Go(func() error { return proxyConn(ctx, countedConn{c, sum}, addr) })
		}
	})
	return l.Addr().String()
}

// proxyConn connects to addr and copies data both ways until one side closes.
func proxyConn(ctx context.Context, c net.Conn, addr string) error {
	var d net.Dialer
	o, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return c.Close()
	}
	closeBoth := func() {
		_ = c.Close()
		_ = o.Close()
	}
	defer context.AfterFunc(ctx, closeBoth)()
	var g errgroup.Group
	g.Go(func() error {
		defer closeBoth()
		_, _ = io.Copy(o, c)
		return nil
	})
	_, _ = io.Copy(c, o)
	closeBoth()
	return g.Wait()
}
