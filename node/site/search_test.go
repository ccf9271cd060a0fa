package site

import (
	"context"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"burdockreach.dev/node/desk"
)

// termDesk answers Term with its fence.
type termDesk struct {
	desk.Desk
	fence int64
}

func (d termDesk) Term(context.Context, *desk.TermRequest) (*desk.TermReply, error) {
	return &desk.TermReply{Holder: "h", Fence: d.fence}, nil
}

// startSearch runs a search at an entry whose store names the first of the entries as the owner. The entries answer with the given
// fences. It returns the claims and the addresses of the entries.
func startSearch(t *testing.T, fences ...int64) (*claims, []string) {
	t.Helper()
	is := is.New(t)
	ctx, stop := context.WithCancel(t.Context())
	g := errgroup.Group{}
	t.Cleanup(func() {
		stop()
		is.NoErr(g.Wait())
	})
	c := newClaims(Settings{Name: "self"})
	var l []string
	for i, f := range fences {
		x, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		l = append(l, x.Addr().String())
		c.entries[strconv.Itoa(i)] = entryInfo{Addr: l[i]}
		g.Go(func() error { return desk.Serve(ctx, x, termDesk{fence: f}) })
	}
	c.setOwner(l[0])
	c.Disconnected(nil)
	s := &search{claims: c, peers: desk.NewClient(), log: zerolog.Nop()}
	g.Go(func() error { return s.run(ctx) })
	return c, l
}

// ownerWithin waits until the owner is a, and returns the owner then or after d.
func ownerWithin(c *claims, a string, d time.Duration) string {
	for begin := time.Now(); c.Owner() != a && time.Since(begin) < d; {
		time.Sleep(time.Millisecond)
	}
	return c.Owner()
}

// An entry that is cut off from the store finds a new owner through the other entries.
func TestSearch(t *testing.T) {
	t.Run("the newest owner is found", func(t *testing.T) {
		is := is.New(t)
		c, l := startSearch(t, 0, 5, 9, 0)
		c.OwnerFailed()
		is.Equal(ownerWithin(c, l[2], 5*time.Second), l[2])
	})
	t.Run("the store goes before", func(t *testing.T) {
		is := is.New(t)
		c, l := startSearch(t, 0, 5, 9)
		c.OwnerFailed()
		is.Equal(ownerWithin(c, l[2], 5*time.Second), l[2])
		c.setOwner(l[1])
		is.Equal(c.Owner(), l[1])
	})
	t.Run("no search without a failure", func(t *testing.T) {
		is := is.New(t)
		c, l := startSearch(t, 0, 5)
		is.Equal(ownerWithin(c, l[1], 2*lostDelay), l[0])
	})
	t.Run("among many entries", func(t *testing.T) {
		is := is.New(t)
		fences := make([]int64, 2*maxQuestions)
		fences[2*maxQuestions-1] = 7
		c, l := startSearch(t, fences...)
		c.OwnerFailed()
		is.Equal(ownerWithin(c, l[2*maxQuestions-1], 5*time.Second), l[2*maxQuestions-1])
	})
	t.Run("no owner", func(t *testing.T) {
		is := is.New(t)
		c, l := startSearch(t, 0, 0)
		c.OwnerFailed()
		is.Equal(ownerWithin(c, l[1], 2*lostDelay), l[0])
	})
}
