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

// A canceled call must reset its connection. After an orderly close, bytes delayed in the network could still arrive and take
// effect later.
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
		for got == nil { // reads the request, then the error that ends the connection
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
