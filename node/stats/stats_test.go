package stats

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestWriteTo(t *testing.T) {
	is := is.New(t)
	s := New()
	s.Add("terms", 2)
	s.Gauge("calls", func() int64 { return 7 })
	s.Observe("start", 3*time.Millisecond)
	s.Observe("start", time.Minute)
	var b strings.Builder
	n, err := s.WriteTo(&b)
	is.NoErr(err)
	is.Equal(int(n), b.Len())
	for _, l := range []string{
		"terms 2\n", "calls 7\n", "start_ms_bucket{le=\"2\"} 0\n", "start_ms_bucket{le=\"5\"} 1\n", "start_ms_bucket{le=\"+Inf\"} 2\n",
		"start_ms_count 2\n", "start_us_sum 60003000\n",
	} {
		is.True(strings.Contains(b.String(), l))
	}
}
