// Package logs writes log lines without blocking the caller. It drops and counts lines that exceed the rate limit or find the queue full.
package logs

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// Limits of the log's volume.
const (
	maxQueuedLines = 1024
	linesPerSec    = 400  // more than an entry's decisions on a busy day; costs a hundredth of a core.
	burstLines     = 1200 // lines that may be written at once after a quiet time.
	maxLineBytes   = 2048
	maxWriteBytes  = 4096 // PIPE_BUF: a longer write to a pipe is not atomic.
)

// Writer is an io.Writer that queues lines. Run writes them to the output.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	tokens  atomic.Int64
}

// New returns a Writer to out.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxQueuedLines)}
	w.tokens.Store(burstLines)
	return w
}

// Write queues one line, or drops and counts it. It never blocks and never fails. A line over maxLineBytes is cut.
func (w *Writer) Write(b []byte) (int, error) {
	n := len(b)
	if w.tokens.Add(-1) < 0 {
		w.tokens.Add(1)
		w.dropped.Add(1)
		return n, nil
	}
	if n > maxLineBytes {
		b = append(append([]byte(nil), b[:maxLineBytes]...), '\n')
	}
	select {
	case w.lines <- append([]byte(nil), b...):
	default:
		w.dropped.Add(1)
	}
	return n, nil
}

// Dropped returns the number of lines that were not written.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Run writes queued lines until ctx ends, then the rest of the queue.
func (w *Writer) Run(ctx context.Context) error {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	reported := int64(0)
	for {
		select {
		case b := <-w.lines:
			w.writeLines(b)
		case <-t.C:
			w.tokens.Store(min(w.tokens.Load()+linesPerSec, burstLines))
			if d := w.dropped.Load(); d > reported {
				w.writeLines(fmt.Appendf(nil, "{\"level\":\"warn\",\"event\":\"log lines dropped\",\"count\":%d}\n", d-reported))
				reported = d
			}
		case <-ctx.Done():
			for len(w.lines) > 0 {
				w.writeLines(<-w.lines)
			}
			return nil
		}
	}
}

// writeLines writes the line b and all queued lines, as many whole lines per write as fit in maxWriteBytes. A failed write is only
// counted, because it cannot be logged.
func (w *Writer) writeLines(b []byte) {
	for {
		var next []byte
		for next == nil && len(w.lines) > 0 {
			if n := <-w.lines; len(b)+len(n) > maxWriteBytes {
				next = n
			} else {
				b = append(b, n...)
			}
		}
		if _, err := w.out.Write(b); err != nil {
			w.dropped.Add(1)
		}
		if next == nil {
			return
		}
		b = next
	}
}
