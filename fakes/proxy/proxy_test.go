package proxy_test

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"burdockreach.dev/fakes/proxy"
)

const ioTimeout = 5 * time.Second

// start runs an echo server and a proxy to it until the test ends.
func start(t *testing.T) (*proxy.Proxy, string) {
	i := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	i.NoErr(err)
	g := &errgroup.Group{}
	g.Go(func() error { return echo(g, l) })
	t.Cleanup(func() {
		_ = l.Close()
		i.NoErr(g.Wait())
		goleak.VerifyNone(t)
	})
	return startTo(t, l.Addr().String())
}

// startTo runs a proxy to addr until the test ends.
func startTo(t *testing.T, addr string) (*proxy.Proxy, string) {
	i := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 2*ioTimeout)
	c := proxy.New("127.0.0.1:0", addr)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.Serve(ctx) })
	t.Cleanup(func() {
		cancel()
		i.NoErr(g.Wait())
	})
	a, err := c.Addr(ctx)
	i.NoErr(err)
	return c, a
}

func echo(g *errgroup.Group, l net.Listener) error {
	for {
		n, err := l.Accept()
		if err != nil {
			return nil
		}
		g.Go(func() error {
			defer n.Close()
			s := bufio.NewScanner(n)
			for s.Scan() {
				if _, err := n.Write(append(s.Bytes(), '\n')); err != nil {
					return nil
				}
			}
			return nil
		})
	}
}

func dial(t *testing.T, addr string) net.Conn {
	n, err := net.Dial("tcp", addr)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = n.Close() })
	return n
}

func roundTrip(n net.Conn, d time.Duration) (string, error) {
	_ = n.SetDeadline(time.Now().Add(d))
	if _, err := n.Write([]byte("hello\n")); err != nil {
		return "", err
	}
	return bufio.NewReader(n).ReadString('\n')
}

func wantEcho(t *testing.T, n net.Conn) {
	t.Helper()
	s, err := roundTrip(n, ioTimeout)
	is.New(t).NoErr(err)
	is.New(t).Equal(s, "hello\n")
}

func TestProxy(t *testing.T) {
	t.Run("a stalled connection is silent while a new one works", func(t *testing.T) {
		i := is.New(t)
		c, a := start(t)
		n := dial(t, a)
		wantEcho(t, n)
		c.Stall()
		_, err := roundTrip(n, 50*time.Millisecond)
		e, ok := err.(net.Error)
		i.True(ok && e.Timeout())
		wantEcho(t, dial(t, a))
		i.Equal(c.Stats().Stalled, 1)
	})
	t.Run("a cut closes the open connections", func(t *testing.T) {
		i := is.New(t)
		c, a := start(t)
		n := dial(t, a)
		wantEcho(t, n)
		c.Cut()
		_, err := roundTrip(n, ioTimeout)
		e, ok := err.(net.Error)
		i.True(err != nil && (!ok || !e.Timeout()))
	})
	t.Run("delayed bytes arrive although the client has left and the proxy is isolated", func(t *testing.T) {
		i := is.New(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		i.NoErr(err)
		t.Cleanup(func() { _ = l.Close() })
		c, a := startTo(t, l.Addr().String())
		c.Delay(func() time.Duration { return 100 * time.Millisecond })
		_, err = roundTrip(dial(t, a), 50*time.Millisecond)
		i.True(err != nil)
		c.Isolate()
		n, err := l.Accept()
		i.NoErr(err)
		_ = n.SetDeadline(time.Now().Add(ioTimeout))
		s, err := bufio.NewReader(n).ReadString('\n')
		i.NoErr(err)
		i.Equal(s, "hello\n")
		i.Equal(c.Stats().Delayed, 1)
	})
	t.Run("an isolated proxy stalls new connections until it rejoins", func(t *testing.T) {
		i := is.New(t)
		c, a := start(t)
		c.Isolate()
		_, err := roundTrip(dial(t, a), 50*time.Millisecond)
		i.True(err != nil)
		c.Rejoin()
		wantEcho(t, dial(t, a))
	})
	t.Run("a proxy that refuses closes new connections until it accepts again", func(t *testing.T) {
		i := is.New(t)
		c, a := start(t)
		c.Refuse()
		_, err := roundTrip(dial(t, a), ioTimeout)
		i.True(err != nil)
		c.Accept()
		wantEcho(t, dial(t, a))
	})
}
