package logs

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// blockedWriter blocks all writes until release is closed.
type blockedWriter struct {
	bytes.Buffer
	release chan struct{}
}

func (s *blockedWriter) Write(b []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(b)
}

func TestWriterNeverBlocks(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	w := New(out)
	c, stop := context.WithCancel(context.Background())
	g := errgroup.Group{}
	g.Go(func() error { return w.Run(c) })
	for range 3 * maxQueuedLines {
		n, err := w.Write([]byte("line\n"))
		is.NoErr(err)
		is.Equal(n, 5)
	}
	is.True(w.Dropped() >= 3*maxQueuedLines-burstLines)
	close(out.release)
	stop()
	is.NoErr(g.Wait())
	got := int64(strings.Count(out.String(), "line\n"))
	is.Equal(got+w.Dropped(), int64(3*maxQueuedLines)) // each line is either written or counted as dropped.
}

func TestLongLinesAreCut(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := New(&out)
	_, err := w.Write(bytes.Repeat([]byte("x"), 3*maxLineBytes))
	is.NoErr(err)
	c, stop := context.WithCancel(context.Background())
	stop()
	is.NoErr(w.Run(c))
	is.Equal(out.Len(), maxLineBytes+1)
}

// writeSizes records the largest write and the sum of all writes, in bytes.
type writeSizes struct{ most, sum int }

func (s *writeSizes) Write(b []byte) (int, error) {
	s.most, s.sum = max(s.most, len(b)), s.sum+len(b)
	return len(b), nil
}

// Writes of more than PIPE_BUF bytes to a pipe are not atomic, so their lines could be split.
func TestWritesAreAtomic(t *testing.T) {
	is := is.New(t)
	out := &writeSizes{}
	w := New(out)
	for range 500 {
		_, err := w.Write(bytes.Repeat([]byte("x"), 300))
		is.NoErr(err)
	}
	c, stop := context.WithCancel(context.Background())
	stop()
	is.NoErr(w.Run(c))
	is.Equal(out.sum, 500*300)
	is.True(out.most <= maxWriteBytes)
}
