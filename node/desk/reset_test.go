package desk

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

// A call that is given up must reset its connection. After an orderly close, bytes that a partition has held up would still arrive, and the
// owner would carry out a request whose caller has another answer by now.
func TestGivenUpCallResetsConnection(t *testing.T) {
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
		for b := make([]byte, 4096); got == nil; { // reads the request, then the error that ends the connection.
			_, got = c.Read(b)
		}
		return nil
	})
	d := NewClient()
	defer d.Close()
	x, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = d.At(l.Addr().String()).Submit(x, &SubmitRequest{})
	is.True(err != nil && !IsNotSent(err))
	is.NoErr(g.Wait())
	is.True(errors.Is(got, syscall.ECONNRESET))
}
