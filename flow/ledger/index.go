package ledger

const (
	indexShards = 256
	minCells    = 8
)

// index finds slots by id. It is a hash table with open addressing and linear probing, split into shards that grow one at a
// time, so that no single call has to move the whole table.
type index struct {
	count  int
	shards [indexShards]shard
}

// shard is one part of an index. A cell holds a slot number plus one; zero is an empty cell. At most 3/4 of the cells are in use.
type shard struct {
	count int
	cells []uint32
}

func (x *index) shard(id ID) *shard { return &x.shards[id[len(id)-1]] }

func (s *shard) homeCell(id ID) int { return int(id.low() & uint64(len(s.cells)-1)) }

// findCell returns the cell that holds id, or else the empty cell where id belongs.
func (s *shard) findCell(t *table, id ID) int {
	k := s.homeCell(id)
	for s.cells[k] != 0 && t.at(s.cells[k]-1).id != id {
		k = (k + 1) & (len(s.cells) - 1)
	}
	return k
}

func (x *index) find(t *table, id ID) uint32 {
	s := x.shard(id)
	if s.count == 0 {
		return noSlot
	}
	return s.cells[s.findCell(t, id)] - 1 // an empty cell, 0, wraps around to noSlot
}

// add inserts slot i for an id that the index does not have yet.
func (x *index) add(t *table, id ID, i uint32) {
	s := x.shard(id)
	if 4*(s.count+1) > 3*len(s.cells) {
		s.grow(t)
	}
	s.cells[s.findCell(t, id)] = i + 1
	s.count++
	x.count++
}

func (s *shard) grow(t *table) {
	old := s.cells
	s.cells = make([]uint32, max(2*len(old), minCells))
	for _, c := range old {
		if c != 0 {
			s.cells[s.findCell(t, t.at(c-1).id)] = c
		}
	}
}

// remove deletes an id that the index has. It moves later entries of the same probe sequence back into the freed cell, so
// that findCell does not stop in front of them.
func (x *index) remove(t *table, id ID) {
	s := x.shard(id)
	hole := s.findCell(t, id)
	m := len(s.cells) - 1
	for k := (hole + 1) & m; s.cells[k] != 0; k = (k + 1) & m {
		if h := s.homeCell(t.at(s.cells[k] - 1).id); (k-h)&m >= (k-hole)&m {
			s.cells[hole] = s.cells[k]
			hole = k
		}
	}
	s.cells[hole] = 0
	s.count--
	x.count--
}
