package pool

import (
	"errors"
	"flag"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

const testShards = 3

// model is the expected membership as a plain map.
type model map[string]Member

// applyChange applies the change that u encodes to the table and the model, and returns the table.
func applyChange(t *rapid.T, table Table, n model, u uint32) Table {
	vm := fmt.Sprintf("vm%d", u%12)
	s := table.Shard(table.Index(vm))
	_, ok := n[vm]
	var err error
	switch m := n[vm]; u / 16 % 4 {
	case 0:
		m = Member{VM: vm, Pool: fmt.Sprintf("p%d", u%3), Rack: fmt.Sprintf("r%d", u%4), StateSince: int64(u), FinishedWave: "w"[:u%2], EndedStops: int64(u % 5)}
		s, err = s.Put(m)
		n[vm], ok = m, true
	case 1:
		s, err = s.Move(vm, "p9")
		m.Pool = "p9"
		if ok {
			n[vm] = m
		}
	case 2:
		s, err = s.SetState(vm, State(u%5), int64(u))
		m.State, m.StateSince = State(u%5), int64(u)
		if ok {
			n[vm] = m
		}
	case 3:
		s, err = s.Drop(vm)
		delete(n, vm)
	}
	if ok != (err == nil) || !ok && !errors.Is(err, ErrNoVM) {
		t.Fatalf("%s known %v, error %v", vm, ok, err)
	}
	return table.Replace(s.Index(), roundTrip(t, s), int64(u))
}

// roundTrip marshals the shard and returns the parsed result.
func roundTrip(t *rapid.T, s Shard) Shard {
	b, err := s.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	p, err := ParseShard(b, s.Index(), testShards)
	if err != nil || p.Version() != s.Version() {
		t.Fatalf("%s: %v", b, err)
	}
	return p
}

// checkTable checks that the table holds exactly the members of n.
func checkTable(t *rapid.T, table Table, n model) {
	if table.Len() != len(n) {
		t.Fatalf("%d members, want %d", table.Len(), len(n))
	}
	for m := range table.All() {
		if m != n[m.VM] {
			t.Fatalf("%+v, want %+v", m, n[m.VM])
		}
	}
}

// checkView checks that the view holds exactly the VMs of the table.
func checkView(t *rapid.T, v View, table Table) {
	for m := range table.All() {
		if got, ok := v.Find(m.VM); !ok || got != newTarget(m) {
			t.Fatalf("view has %+v, table %+v", got, m)
		}
	}
	n := 0
	for _, s := range v.shards {
		n += len(s)
	}
	if n != table.Len() {
		t.Fatalf("view has %d, table %d", n, table.Len())
	}
}

// TestTraces applies random changes to a table and to a map, and compares them. A view follows by late, lost and repeated
// deltas; its versions must never go back, and it must equal the table at the end.
func TestTraces(t *testing.T) {
	gaps := 0
	rapid.Check(t, func(t *rapid.T) {
		table, n := NewTable(testShards), model{}
		h, v := NewHistory(testShards, 4), NewView(testShards)
		var late []Delta
		for _, u := range rapid.SliceOfN(rapid.Uint32(), 1, 80).Draw(t, "trace") {
			old := table
			table = applyChange(t, table, n, u)
			checkTable(t, table, n)
			h = h.Add(table)
			late = append(late, Diff(old, table), h.DeltaSince(v.Versions()))
			before := v.Versions()
			var err error
			v, err = v.Apply(late[int(u/64)%len(late)])
			if errors.Is(err, ErrGap) {
				gaps++
			} else if err != nil {
				t.Fatal(err)
			}
			for i, k := range v.Versions() {
				if k < before[i] {
					t.Fatalf("shard %d goes back from %d to %d", i, before[i], k)
				}
			}
		}
		v, err := v.Apply(h.DeltaSince(v.Versions()))
		if err != nil {
			t.Fatal(err)
		}
		checkView(t, v, table)
	})
	is.New(t).True(gaps > 0) // the traces include missed versions.
}

func TestParseShard(t *testing.T) {
	for name, c := range map[string]struct {
		doc  string
		want error
	}{
		"not JSON":      {"{", ErrMalformed},
		"foreign VM":    {`{"n":1,"pools":["p"],"racks":["r"],"vms":{"vm1":{}}}`, ErrWrongShard},
		"unknown pool":  {`{"n":1,"pools":["p"],"racks":["r"],"vms":{"vm0":{"p":1}}}`, ErrMalformed},
		"unknown state": {`{"n":1,"pools":["p"],"racks":["r"],"vms":{"vm0":{"s":9}}}`, ErrMalformed},
	} {
		t.Run(name, func(t *testing.T) {
			i := Index("vm0", testShards)
			if c.want == ErrWrongShard {
				i = (Index("vm1", testShards) + 1) % testShards
			}
			_, err := ParseShard([]byte(c.doc), i, testShards)
			is.New(t).True(errors.Is(err, c.want))
		})
	}
	t.Run("put of a foreign VM", func(t *testing.T) {
		_, err := NewShard((Index("vm1", testShards)+1)%testShards, testShards).Put(Member{VM: "vm1"})
		is.New(t).True(errors.Is(err, ErrWrongShard))
	})
}

func ExampleTable() {
	t := NewTable(ShardCount)
	s, _ := t.Shard(t.Index("vm-1")).Put(Member{VM: "vm-1", Pool: "orders", Rack: "r1"})
	t = t.Replace(s.Index(), s, 1)
	v, _ := NewView(ShardCount).Apply(FullDelta(t))
	s, _ = s.Move("vm-1", "checks")
	v, _ = v.Apply(Diff(t, t.Replace(s.Index(), s, 2)))
	m, _ := v.Find("vm-1")
	fmt.Println(m.Pool, m.State, v.Version("vm-1"))
	// Output: checks serving 2
}

// newFleetTable returns a table of n VMs in k pools, with four VMs a rack, all of which have finished a wave.
func newFleetTable(n, k int) Table {
	t := NewTable(ShardCount)
	puts := make([][]Member, ShardCount)
	for i := range n {
		vm := fmt.Sprintf("vm-%05d", i)
		puts[t.Index(vm)] = append(puts[t.Index(vm)], Member{
			VM: vm, Pool: fmt.Sprintf("pool-%d", i%k), Rack: fmt.Sprintf("rack-%d", i/4), FinishedWave: "wave-12", StateSince: 1_760_000_000_000 + int64(i)*40_000, EndedStops: 40,
		})
	}
	for i, l := range puts {
		s, _ := t.Shard(i).Change(l, nil)
		t = t.Replace(i, s, 1)
	}
	return t
}

var sizes = []struct{ vms, pools int }{{50, 5}, {500, 51}, {1500, 51}, {9000, 51}}

func BenchmarkMarshal(b *testing.B) {
	for _, c := range sizes {
		b.Run(fmt.Sprintf("vms=%d/pools=%d", c.vms, c.pools), func(b *testing.B) {
			s, n := newFleetTable(c.vms, c.pools).Shard(0), 0
			for range b.N {
				d, _ := s.Marshal()
				n = len(d)
			}
			b.ReportMetric(float64(n), "B/shard")
			b.ReportMetric(float64(n)/float64(max(s.Len(), 1)), "B/vm")
		})
	}
}

func BenchmarkDelta(b *testing.B) {
	for _, c := range sizes {
		b.Run(fmt.Sprintf("vms=%d/pools=%d", c.vms, c.pools), func(b *testing.B) {
			t := newFleetTable(c.vms, c.pools)
			s, _ := t.Shard(0).SetState(t.Shard(0).members[0].VM, Draining, 1)
			n := t.Replace(0, s, 2)
			b.ReportAllocs()
			for range b.N {
				if d := Diff(t, n); len(d.Shards) != 1 || len(d.Shards[0].Put) != 1 {
					b.Fatal(d)
				}
			}
		})
	}
}
