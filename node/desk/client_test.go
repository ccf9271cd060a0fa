package desk

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// submitError returns the error of a submission that may take 50 ms, with the given way to connect.
func submitError(t *testing.T, dial func(context.Context, string, string) (net.Conn, error)) error {
	t.Helper()
	p := newPeer("127.0.0.1:1", dial)
	defer p.http.CloseIdleConnections()
	x, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := p.desk.Submit(x, &SubmitRequest{})
	return err
}

func TestIsNotSent(t *testing.T) {
	t.Run("a connection that does not come about in time", func(t *testing.T) {
		is := is.New(t)
		is.True(IsNotSent(submitError(t, func(x context.Context, _, _ string) (net.Conn, error) {
			<-x.Done()
			return nil, x.Err()
		})))
	})
	t.Run("a refused connection", func(t *testing.T) {
		is := is.New(t)
		is.True(IsNotSent(submitError(t, (&net.Dialer{}).DialContext)))
	})
	t.Run("a request without a response", func(t *testing.T) {
		is := is.New(t)
		a, b := net.Pipe()
		g := errgroup.Group{}
		g.Go(func() error {
			_, _ = b.Read(make([]byte, 4096)) // the peer closes without a response; the error does not matter.
			return nil
		})
		is.True(!IsNotSent(submitError(t, func(context.Context, string, string) (net.Conn, error) { return a, nil })))
		is.NoErr(b.Close())
		is.NoErr(g.Wait())
	})
}
