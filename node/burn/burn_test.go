package burn_test

import (
	"bytes"
	"encoding/json"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"burdockreach.dev/node/burn"
)

var start = time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)

var orders = burn.SeriesKey{Service: "orders", Class: "urgent"}

func Example() {
	b := burn.New("entry-a-1", "a", start)
	b.Update(burn.ObjectiveMsg{Service: "orders", Profile: "gold", Objective: 0.99})
	b.Update(burn.CountMsg{Now: start, Key: orders, Counts: burn.Counts{Good: 980, Late: 15, Refused: 5}})
	b.Update(burn.TickMsg{Now: start.Add(time.Second)})
	s := b.Report().Services[0]
	fmt.Printf("%.0f%% of the budget, %d missed\n", s.BudgetSpent()*100, s.Windows[0].Counts.Missed())
	// Output: 200% of the budget, 20 missed
}

// event is one count of the naive reference implementation, which keeps all events.
type event struct {
	step   int64
	counts burn.Counts
}

func TestWindowsMatchNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now := burn.New("e", "a", start), start
		var es []event
		for range rapid.IntRange(1, 30).Draw(t, "counts") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(9*time.Hour)).Draw(t, "gap")) / time.Duration(rapid.SampledFrom([]int{1, 60, 3600}).Draw(t, "scale")))
			c := burn.Counts{Good: rapid.Int64Range(0, 9).Draw(t, "good"), Failed: rapid.Int64Range(0, 9).Draw(t, "failed")}
			es = append(es, event{now.UnixNano(), c})
			b.Update(burn.CountMsg{Now: now, Key: orders, Counts: c})
		}
		now = now.Add(time.Duration(rapid.Int64Range(0, int64(2*time.Hour)).Draw(t, "rest")))
		b.Update(burn.TickMsg{Now: now})
		for _, w := range b.Report().Services[0].Windows {
			if got, want := w.Counts, naive(es, now, w.Seconds); got != want {
				t.Fatalf("window of %d s: got %v, want %v", w.Seconds, got, want)
			}
		}
	})
}

// naive adds up the events whose step lies within the window.
func naive(es []event, now time.Time, seconds int64) burn.Counts {
	step := int64(30 * time.Second)
	if seconds > 3600 {
		step = int64(5 * time.Minute)
	}
	var c burn.Counts
	for _, e := range es {
		if now.UnixNano()/step-e.step/step < seconds*int64(time.Second)/step {
			c = c.Plus(e.counts)
		}
	}
	return c
}

func TestMergeEqualsOneBurn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := burn.New("all", "a", start)
		parts := []*burn.Burn{burn.New("e1", "a", start), burn.New("e2", "b", start), burn.New("e3", "b", start)}
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "counts") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1800).Draw(t, "gap")) * time.Second)
			m := burn.CountMsg{Now: now, Counts: burn.Counts{Good: 1, Late: rapid.Int64Range(0, 3).Draw(t, "late")},
				Key: burn.SeriesKey{Service: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "service"), Class: "normal"}}
			all.Update(m)
			rapid.SampledFrom(parts).Draw(t, "entry").Update(m)
		}
		var rs []burn.Report
		for _, b := range append(parts, all) {
			b.Update(burn.TickMsg{Now: now})
			rs = append(rs, b.Report())
		}
		got, want := burn.Merge(rs[:3]...), burn.Merge(rs[3])
		assertSameJSON(t, got.Services, want.Services)
	})
}

func assertSameJSON(t *rapid.T, got, want any) {
	g, _ := json.Marshal(got)
	w, _ := json.Marshal(want)
	if !bytes.Equal(g, w) {
		t.Fatalf("got  %s\nwant %s", g, w)
	}
}

func TestAlerts(t *testing.T) {
	i := is.New(t)
	b := burn.New("e", "a", start)
	b.Update(burn.ObjectiveMsg{Service: "orders", Profile: "gold", Objective: 0.99})
	b.Update(burn.CountMsg{Now: start, Key: orders, Counts: burn.Counts{Good: 80, Failed: 20}})
	cs := b.Update(burn.TickMsg{Now: start})
	i.Equal(len(cs), 1)
	a := cs[0].(burn.AlertCmd)
	i.Equal(a.Key, orders)
	i.Equal(a.Speed, burn.SpeedFast)
	i.True(a.Rate > 19.99 && a.Rate < 20.01)
	i.Equal(len(b.Update(burn.TickMsg{Now: start.Add(time.Minute)})), 0) // an unchanged speed is reported once
	cs = b.Update(burn.TickMsg{Now: start.Add(6 * time.Minute)})
	i.Equal(cs[0].(burn.AlertCmd).Speed, burn.SpeedSlow) // five minutes without misses
	b.Update(burn.CountMsg{Now: start.Add(7 * time.Hour), Key: orders, Counts: burn.Counts{Good: 1}})
	cs = b.Update(burn.TickMsg{Now: start.Add(7 * time.Hour)})
	i.Equal(cs[0].(burn.AlertCmd).Speed, burn.SpeedWithin)
	b.Update(burn.ForgetMsg{Service: "orders"})
	i.Equal(len(b.Report().Services), 0)
}

// leaderMsg returns a leader's message that is sent the given hours after start.
func leaderMsg(term int64, hours int, waves []burn.Wave, vms ...burn.Member) burn.LeaderMsg {
	return burn.LeaderMsg{Now: start.Add(time.Duration(hours) * time.Hour), Term: term, Members: vms, Spares: []string{"spare"}, Waves: waves}
}

func TestLeadersFiguresMerge(t *testing.T) {
	i := is.New(t)
	w := []burn.Wave{{ID: "w", Pools: []string{"p"}}}
	v := func(vm, pool, wave string) burn.Member { return burn.Member{VM: vm, Pool: pool, FinishedWave: wave} }
	old, next := burn.New("e1", "a", start), burn.New("e2", "a", start)
	old.Update(leaderMsg(1, 0, w, v("1", "p", ""), v("2", "spare", ""), v("3", "spare", "")))
	old.Update(leaderMsg(1, 1, w, v("1", "p", "w"), v("2", "p", ""), v("3", "spare", "")))
	next.Update(leaderMsg(2, 2, w, v("1", "p", "w"), v("2", "p", "w"), v("3", "spare", "")))
	next.Update(leaderMsg(2, 3, nil, v("1", "p", "w"), v("2", "spare", "w"), v("3", "spare", "")))
	old.Update(leaderMsg(3, 9, nil, v("2", "p", "w"))) // no spare time and no moves are counted between two terms
	r := burn.Merge(next.Report(), old.Report())
	i.Equal(r.Spares[0].VMs, 0)
	i.Equal(r.Spares[0].VMHours, 3.0)
	i.Equal(r.Moves, []burn.MoveReport{{Move: burn.Move{From: "p", To: "spare"}, Count: 1}, {Move: burn.Move{From: "spare", To: "p"}, Count: 1}})
	i.Equal(burn.Merge(old.Report(), next.Report()).Spares, r.Spares)
	r = burn.Merge(next.Report())
	i.Equal(r.Spares[0].VMs, 2)
	i.Equal(r.Waves[0].Done, 2)
	i.Equal(r.Waves[0].Ended, start.Add(2*time.Hour))
}

func TestDroppedWaveEnds(t *testing.T) {
	i := is.New(t)
	b := burn.New("e1", "a", start)
	b.Update(leaderMsg(1, 0, []burn.Wave{{ID: "w", Pools: []string{"p"}}}, burn.Member{VM: "1", Pool: "p"}))
	i.True(b.Report().Waves[0].Ended.IsZero())
	b.Update(leaderMsg(1, 1, nil, burn.Member{VM: "1", Pool: "p"}))
	i.Equal(b.Report().Waves[0].Ended, start.Add(time.Hour))
	i.Equal(b.Report().Waves[0].Done, 0)
}

func TestMeterCountsAll(t *testing.T) {
	i := is.New(t)
	m := burn.NewMeter("e", "a", start)
	var g errgroup.Group
	const adders, adds = 4, 5000
	for range adders {
		g.Go(func() error {
			c := m.Counter(orders)
			for n := range adds {
				c.Add(burn.Outcome(n % 2))
			}
			return nil
		})
	}
	for range 20 {
		m.Flush(start)
	}
	i.NoErr(g.Wait())
	c := m.Report(start).Services[0].Windows[0].Counts
	i.Equal(c, burn.Counts{Good: adders * adds / 2, Late: adders * adds / 2})
	i.Equal(m.Report(start).Services[0].Windows[0].Counts, c) // flushed counts are not counted again
	i.Equal(testing.AllocsPerRun(100, func() { m.Add(orders, burn.Good) }) <= 1, true)
}

func TestTextAndPicture(t *testing.T) {
	i := is.New(t)
	b := burn.New("e", "a", start)
	b.Update(burn.ObjectiveMsg{Service: "orders", Profile: "gold", Objective: 0.99})
	for n := range 5 {
		b.Update(burn.CountMsg{Now: start.Add(time.Duration(n) * time.Hour), Key: orders, Counts: burn.Counts{Good: 90, Late: int64(n)}})
	}
	b.Update(leaderMsg(1, 0, []burn.Wave{{ID: "w", Pools: []string{"p"}}}, burn.Member{VM: "1", Pool: "p"}))
	b.Update(burn.TickMsg{Now: start.Add(5 * time.Hour)})
	var text, svg bytes.Buffer
	i.NoErr(b.Report().WriteText(&text))
	i.True(strings.Contains(text.String(), "2026-03-02 10:00  orders   urgent  94        4       4.26")) // the worst hour
	i.NoErr(b.Report().WriteSVG(&svg))
	if p := os.Getenv("BURN_SVG"); p != "" {
		i.NoErr(os.WriteFile(p, svg.Bytes(), 0o644))
	}
	assertXML(t, svg.Bytes())
	i.NoErr(burn.Report{}.WriteSVG(io.Discard)) // an empty report can be drawn
}

func assertXML(t *testing.T, b []byte) {
	t.Helper()
	d := xml.NewDecoder(bytes.NewReader(b))
	var names []string
	for {
		k, err := d.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		if s, ok := k.(xml.StartElement); ok {
			names = append(names, s.Name.Local)
		}
	}
	if !slices.Contains(names, "svg") || !slices.Contains(names, "path") {
		t.Fatalf("no drawing in %v", names)
	}
}

func BenchmarkCounterAdd(b *testing.B) {
	c := burn.NewMeter("e", "a", start).Counter(orders)
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			c.Add(burn.Good)
		}
	})
}

func BenchmarkMeterAdd(b *testing.B) {
	m := burn.NewMeter("e", "a", start)
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			m.Add(orders, burn.Good)
		}
	})
}
