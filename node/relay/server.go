package relay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

var _ Relay = Service{}

const (
	headerTimeout   = 5 * time.Second
	stopTimeout     = 5 * time.Second
	maxRequestBytes = 4 << 20
)

// Lender handles the peers' requests to borrow and return slots.
type Lender interface {
	Borrow(context.Context, *BorrowRequest) (*BorrowReply, error)
	Return(context.Context, *ReturnRequest) (*ReturnReply, error)
}

// Service combines the handlers of the Relay protocol.
type Service struct {
	*KeyHolder
	*Heartbeater
	Lender
}

// Server serves the Relay protocol to other entries.
type Server struct {
	http        *http.Server
	stopTimeout time.Duration
}

// ServerOption configures a Server.
type ServerOption func(*Server)

// WithStopTimeout sets how long requests in flight may take to finish when the server stops.
func WithStopTimeout(d time.Duration) ServerOption { return func(s *Server) { s.stopTimeout = d } }

// NewServer returns a server that passes calls to h.
func NewServer(h Relay, o ...ServerOption) *Server {
	s := &Server{stopTimeout: stopTimeout, http: &http.Server{
		Handler:           http.MaxBytesHandler(withoutDate(NewRelayServer(h)), maxRequestBytes),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       2 * idleTimeout,
	}}
	for _, f := range o {
		f(s)
	}
	return s
}

// withoutDate omits the Date header, which no entry reads.
func withoutDate(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil
		h.ServeHTTP(w, r)
	})
}

// Serve accepts connections on l until ctx ends, then waits for the requests in flight.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	g, c := errgroup.WithContext(ctx)
	g.Go(func() error {
		if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return wrapErr("serve", l.Addr().String(), err)
		}
		return nil
	})
	g.Go(func() error {
		<-c.Done()
		t, end := context.WithTimeout(context.WithoutCancel(ctx), s.stopTimeout)
		defer end()
		if err := s.http.Shutdown(t); err != nil {
			return eris.Wrap(errors.Join(err, s.http.Close()), "relay stop")
		}
		return nil
	})
	return g.Wait()
}
