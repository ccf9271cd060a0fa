package ledger

const (
	indexShards = 256
	minCells    = 8
)

// index finds slots by id: open addressing with linear probing, in shards that grow one by one so that no call pays for all.
type index struct {
	count  int
	shards [indexShards]shard
}

// shard holds slot numbers plus one; zero is an empty cell. At most three cells in four are in use.
type shard struct {
	count int
	cells []uint32
}

func (x *index) shard(id ID) *shard { return &x.shards[id[len(id)-1]] }

func (s *shard) homeCell(id ID) int { return int(id.low() & uint64(len(s.cells)-1)) }

// findCell returns the cell of id, or the empty one where it belongs.
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
	return s.cells[s.findCell(t, id)] - 1 // an empty cell gives none
}

// add enters the slot of an id that is not there yet.
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

// remove takes out an id that is there, and moves back those behind it that its cell kept from their home.
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
