package pool

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

// shardWire is the stored form of a shard: its VMs by name. Each name of a pool, rack or wave is stored once.
type shardWire struct {
	Version int64                 `json:"n"`
	Base    int64                 `json:"b,omitempty"` // subtracted from every time, Unix milliseconds.
	Pools   []string              `json:"pools,omitempty"`
	Racks   []string              `json:"racks,omitempty"`
	Waves   []string              `json:"waves,omitempty"`
	VMs     map[string]memberWire `json:"vms"`
}

// memberWire is the stored form of a Member. Names are positions in the lists of shardWire; waves count from 1, and 0 is none.
type memberWire struct {
	Pool         int    `json:"p,omitempty"`
	Rack         int    `json:"r,omitempty"`
	State        State  `json:"s,omitempty"`
	FinishedWave int    `json:"w,omitempty"`
	StateSince   int64  `json:"t,omitempty"`
	Op           string `json:"o,omitempty"`
	RunningWave  int    `json:"d,omitempty"`
	MoveTo       string `json:"m,omitempty"`
	BootBefore   int64  `json:"k,omitempty"`
	EndedStops   int64  `json:"q,omitempty"`
	MaybeDrained bool   `json:"h,omitempty"`
}

// nameIndex assigns positions to names in order of first use.
type nameIndex struct {
	list  []string
	index map[string]int
}

// add returns the position of s, which it appends if it is new.
func (n *nameIndex) add(s string) int {
	i, ok := n.index[s]
	if ok {
		return i
	}
	if n.index == nil {
		n.index = make(map[string]int)
	}
	i = len(n.list)
	n.index[s], n.list = i, append(n.list, s)
	return i
}

// addOptional returns the position of s counted from 1, or 0 for an empty s.
func (n *nameIndex) addOptional(s string) int {
	if s == "" {
		return 0
	}
	return n.add(s) + 1
}

// Marshal returns the shard as compact JSON.
func (s Shard) Marshal() ([]byte, error) {
	var pools, racks, waves nameIndex
	w := shardWire{Version: s.version, VMs: make(map[string]memberWire, len(s.members))}
	for i, m := range s.members {
		if i == 0 || m.StateSince < w.Base {
			w.Base = m.StateSince
		}
	}
	for _, m := range s.members {
		w.VMs[m.VM] = memberWire{
			Pool: pools.add(m.Pool), Rack: racks.add(m.Rack), State: m.State, FinishedWave: waves.addOptional(m.FinishedWave),
			StateSince: m.StateSince - w.Base, Op: m.Op, RunningWave: waves.addOptional(m.RunningWave), MoveTo: m.MoveTo, BootBefore: m.BootBefore, EndedStops: m.EndedStops, MaybeDrained: m.MaybeDrained,
		}
	}
	w.Pools, w.Racks, w.Waves = pools.list, racks.list, waves.list
	b, err := json.Marshal(w)
	if err != nil {
		return nil, eris.Wrapf(err, "marshal shard %d", s.index)
	}
	return b, nil
}

// ParseShard parses the shard with the given index of count shards. It returns ErrMalformed if the JSON or an entry is not valid,
// and ErrWrongShard if a VM belongs to another shard.
func ParseShard(b []byte, index, count int) (Shard, error) {
	var w shardWire
	if err := json.Unmarshal(b, &w); err != nil {
		return Shard{}, eris.Wrapf(ErrMalformed, "parse shard %d: %v", index, err)
	}
	l := make([]Member, 0, len(w.VMs))
	for vm, e := range w.VMs {
		if Index(vm, count) != index {
			return Shard{}, eris.Wrapf(ErrWrongShard, "parse shard %d: VM %s", index, vm)
		}
		m, ok := w.decode(vm, e)
		if !ok {
			return Shard{}, eris.Wrapf(ErrMalformed, "parse shard %d: entry of VM %s", index, vm)
		}
		l = append(l, m)
	}
	return buildShard(index, count, w.Version, l), nil
}

// decode returns the member of entry e and whether the entry is valid.
func (w shardWire) decode(vm string, e memberWire) (Member, bool) {
	p, okPool := nameAt(w.Pools, e.Pool)
	r, okRack := nameAt(w.Racks, e.Rack)
	v, okWave := optionalNameAt(w.Waves, e.FinishedWave)
	d, okDoing := optionalNameAt(w.Waves, e.RunningWave)
	ok := vm != "" && okPool && okRack && okWave && okDoing && e.State >= Serving && e.State <= Failed
	m := Member{
		VM: vm, Pool: p, Rack: r, State: e.State, FinishedWave: v, StateSince: e.StateSince + w.Base,
		Op: e.Op, RunningWave: d, MoveTo: e.MoveTo, BootBefore: e.BootBefore, EndedStops: e.EndedStops, MaybeDrained: e.MaybeDrained,
	}
	return m, ok
}

// nameAt returns the name at position i and whether the position is valid.
func nameAt(l []string, i int) (string, bool) {
	if i < 0 || i >= len(l) {
		return "", false
	}
	return l[i], true
}

// optionalNameAt returns the name at position i counted from 1, "" for 0, and whether the position is valid.
func optionalNameAt(l []string, i int) (string, bool) {
	if i == 0 {
		return "", true
	}
	return nameAt(l, i-1)
}
