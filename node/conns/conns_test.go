package conns

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

// script answers request n of a connection as the target; n starts at 0. If it returns an error, the connection is closed.
type script func(c net.Conn, r *bufio.Reader, n int) error

// startTarget starts a target on loopback that runs s for every request, and returns its address. It accepts no new connections once
// the test has ended.
func startTarget(t *testing.T, s script) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var g errgroup.Group
	g.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			g.Go(func() error { return serve(c, s) })
		}
	})
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

func serve(c net.Conn, s script) error {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for n := 0; ; n++ {
		var q fasthttp.Request
		if err := q.Read(r); err != nil {
			return nil
		}
		if err := s(c, r, n); err != nil {
			return nil
		}
	}
}

// reply returns a script that writes the bytes of raw as its answer.
func reply(raw string) script {
	return func(c net.Conn, _ *bufio.Reader, _ int) error {
		_, err := io.WriteString(c, raw)
		return err
	}
}

// send sends a request that cannot be repeated, with the given id and timeout, and returns the body of the answer.
func send(p *Pool, id string, wait time.Duration) (string, error) {
	var q fasthttp.Request
	var a fasthttp.Response
	q.Header.SetMethod("POST")
	q.SetRequestURI("http://t/x")
	q.Header.Set(RequestIDHeader, id)
	q.SetBodyString("order")
	err := p.Send(context.Background(), &q, &a, time.Now().Add(wait), true)
	return string(a.Body()), err
}

func TestSendTellsWhatBecameOfTheRequest(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nBurdock-Request: m\r\n\r\nok"
	for _, c := range []struct {
		name, raw string
		want      error
	}{
		{"whole", whole, nil},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", nil},
		{"longer than declared", whole + "more", ErrAnswerLost},
		{"cut in the body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nConnection: close\r\n\r\nok", ErrAnswerLost},
		{"cut between chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", ErrAnswerLost},
		{"no length", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok", ErrAnswerLost},
		{"id of another request", strings.Replace(whole, ": m", ": other", 1), ErrAnswerLost},
		{"no answer", "", ErrAnswerLost},
	} {
		t.Run(c.name, func(t *testing.T) {
			i := is.New(t)
			a := startTarget(t, func(n net.Conn, r *bufio.Reader, k int) error {
				_ = reply(c.raw)(n, r, k)
				if c.want != nil {
					return io.EOF
				}
				return nil
			})
			p := New(a)
			defer p.Close()
			body, err := send(p, "m", 5*time.Second)
			i.True(errors.Is(err, c.want)) // the error tells what became of the request
			if err == nil {
				i.Equal(body, "ok")
			} else {
				i.Equal(body, "") // no part of a broken answer is returned
				i.Equal(p.OpenCount(), 0)
			}
		})
	}
}

func TestNothingListensIsNotSent(t *testing.T) {
	i := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	i.NoErr(err)
	a := l.Addr().String()
	i.NoErr(l.Close())
	_, err = send(New(a), "m", time.Second)
	i.True(errors.Is(err, ErrNotSent))
}

func TestConnectionClosedWhileIdleIsNotUsed(t *testing.T) {
	i := is.New(t)
	closed := make(chan struct{})
	runs := 0
	a := startTarget(t, func(c net.Conn, _ *bufio.Reader, _ int) error {
		runs++
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		_ = c.Close()
		closed <- struct{}{}
		return io.EOF
	})
	p := New(a, WithIdleTimeout(time.Hour))
	defer p.Close()
	for k := range 3 {
		var err error
		g := errgroup.Group{}
		g.Go(func() error { _, err = send(p, "m", 5*time.Second); return nil })
		<-closed
		i.NoErr(g.Wait())
		i.NoErr(err)
		waitUntilNotReusable(p)
		i.Equal(runs, k+1) // each request ran exactly once
	}
}

// waitUntilNotReusable waits until the pool would no longer use any of its idle connections, because the target has closed them.
func waitUntilNotReusable(p *Pool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idleConns {
		for c.reusable() {
			time.Sleep(time.Millisecond)
		}
	}
}

func TestLateAnswerIsNeverReadByTheNextRequest(t *testing.T) {
	i := is.New(t)
	late := make(chan struct{})
	a := startTarget(t, func(c net.Conn, _ *bufio.Reader, n int) error {
		if n == 0 {
			select {
			case <-late:
			case <-time.After(200 * time.Millisecond):
			}
		}
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nBurdock-Request: one\r\n\r\nlate")
		return err
	})
	p := New(a)
	defer p.Close()
	_, err := send(p, "one", 50*time.Millisecond)
	i.True(errors.Is(err, ErrAnswerLost)) // the deadline passed before the target answered
	i.Equal(p.OpenCount(), 0)             // the connection is not used again
	close(late)
	body, err := send(p, "two", 5*time.Second)
	i.True(errors.Is(err, ErrAnswerLost)) // an answer with the id of another request is rejected
	i.Equal(body, "")
}

// TestSilentConnectionsCostOneRequest checks that only one request is lost when all open connections stop being answered while new
// ones work: the first failure must close the idle connections.
func TestSilentConnectionsCostOneRequest(t *testing.T) {
	i := is.New(t)
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	var stalled atomic.Bool
	arrived := make(chan struct{}, idleCount)
	a := startTarget(t, func(c net.Conn, _ *bufio.Reader, n int) error {
		if n > 0 && stalled.Load() {
			return nil // on an old connection the target still reads requests but never answers
		}
		arrived <- struct{}{}
		// Answer only when idleCount requests have arrived, so that each of them has its own connection.
		for len(arrived) < idleCount && !stalled.Load() {
			time.Sleep(time.Millisecond)
		}
		_, err := io.WriteString(c, whole)
		return err
	})
	p := New(a)
	defer p.Close()
	var g errgroup.Group
	for range idleCount {
		g.Go(func() error { _, err := send(p, "m", 5*time.Second); return err })
	}
	i.NoErr(g.Wait())
	i.Equal(p.OpenCount(), idleCount)
	stalled.Store(true)
	for len(arrived) > 0 {
		<-arrived
	}
	_, err := send(p, "m", 50*time.Millisecond)
	i.True(errors.Is(err, ErrAnswerLost))
	_, err = send(p, "m", 5*time.Second)
	i.NoErr(err) // on a new connection
}

// idleCount is the number of idle connections that TestSilentConnectionsCostOneRequest opens before the target stops answering them.
const idleCount = 4

func BenchmarkSend(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := fasthttp.Server{Handler: func(x *fasthttp.RequestCtx) { x.SetBodyString("ok") }}
	var g errgroup.Group
	g.Go(func() error { return s.Serve(l) })
	p := New(l.Addr().String())
	var q fasthttp.Request
	var a fasthttp.Response
	q.SetRequestURI("http://t/x")
	b.ReportAllocs()
	for b.Loop() {
		if err := p.Send(context.Background(), &q, &a, time.Now().Add(time.Second), false); err != nil {
			b.Fatal(err)
		}
	}
	p.Close()
	_ = s.Shutdown()
	_ = g.Wait()
}
