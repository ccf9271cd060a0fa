package wire

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// A call that is given up resets its connection: a close in order would let bytes that are held up on the way arrive later.
func TestCanceledCallResetsConnection(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	var got error
	g := errgroup.Group{}
	g.Go(func() error {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		defer c.Close()
		b := make([]byte, 4096)
		for got == nil { // reads the request, and then how the connection ends.
			_, got = c.Read(b)
		}
		return nil
	})
	c := New(l.Addr().String(), WithTimeout(50*time.Millisecond))
	_, err = c.Do(context.Background(), Request{Method: "POST", Path: "/", Body: []byte("{}")}, 0)
	is.True(err != nil)
	var e *Error
	is.True(errors.As(err, &e) && e.Sent())
	is.NoErr(g.Wait())
	is.True(errors.Is(got, syscall.ECONNRESET))
}
