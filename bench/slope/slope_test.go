package slope

import (
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const (
	recordPath = "../../docs/slopes.json"
	pagePath   = "../../docs/CAPACITY.md"
)

var update = flag.Bool("update", false, "write the page from the record")

func load(t *testing.T) Record {
	t.Helper()
	r, err := Load(recordPath)
	is.New(t).NoErr(err)
	return r
}

func TestPageFollowsFromRecord(t *testing.T) {
	i := is.New(t)
	r := load(t)
	if *update {
		i.NoErr(os.WriteFile(pagePath, []byte(r.Page()), 0o644))
	}
	b, err := os.ReadFile(pagePath)
	i.NoErr(err)
	i.True(string(b) == r.Page()) // make slopes, or go test ./bench/slope -update
}

func TestSeriesReachTheDesign(t *testing.T) {
	i := is.New(t)
	r := load(t)
	for _, n := range []string{"shardBytes", "viewWhole", "shelfHeap", "leaderTick", "entryIdle"} {
		i.True(largestSize(r, n) >= r.Size.Workers/r.Size.DataCentres)
	}
	i.True(largestSize(r, "listBytes") >= r.Size.Workers)
	i.True(largestSize(r, "documentPerTeam") >= r.Size.Teams)
	i.True(largestSize(r, "beatBytes") >= r.Size.Pools)
}

func largestSize(r Record, name string) (x float64) {
	for _, s := range r.Series {
		for _, p := range s.Points {
			if s.Name == name {
				x = max(x, p.X)
			}
		}
	}
	return x
}

func TestFit(t *testing.T) {
	i := is.New(t)
	f := Fit([]Point{{1, 5}, {2, 7}, {4, 11}})
	i.True(f.Residual() < 1e-9)
	i.True(almostEqual(f.At(10), 23))
	i.True(almostEqual(Fit([]Point{{0, 0}, {1, 2}, {2, 2}}).Residual(), 1.0/3))
	i.Equal(f.At(-100), 0.0)
}

func almostEqual(a, b float64) bool { return a-b < 1e-9 && b-a < 1e-9 }

func TestRowsOverTheLimitAreNamedFirst(t *testing.T) {
	i := is.New(t)
	r := load(t)
	m, n := newModel(r), 0
	top, _, _ := strings.Cut(strings.SplitN(r.Page(), "## Over the limit", 2)[1], "\n## ")
	for _, t := range append(m.roles(), m.peaks()) {
		for _, o := range t.rows {
			if o.exceedsLimit() {
				n++
				i.True(strings.Contains(top, "| "+t.title+" | "+o.metric+" |"))
				i.True(o.proposal != "") // every row over its limit has a proposal
			}
		}
	}
	i.Equal(strings.Count(top, "\n| "), n+1)
}

func TestFigures(t *testing.T) {
	i := is.New(t)
	i.Equal(formatValue(1234567, unitBytes), "1.23 MB")
	i.Equal(formatValue(0.0153, unitCores), "1.53% of a core")
	i.Equal(formatValue(999, unitBytesPerSecond), "999 B/s")
	i.Equal(formatNumber(0.00123), "0.00123")
}
