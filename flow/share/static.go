package share

import "github.com/cespare/xxhash/v2"

// Static returns self's share of a target's slots among the entries. The shares of all entries sum to the slots.
// The remainder of an uneven division goes to the entries that rank first by rendezvous hashing for this target.
func Static(target string, slots int, entries []string, self string) int {
	n, rank, found := 0, 0, false
	mine := rendezvousHash(target, self)
	for _, e := range entries {
		n++
		if e == self {
			found = true
			continue
		}
		w := rendezvousHash(target, e)
		if w > mine || w == mine && e < self {
			rank++
		}
	}
	if !found || slots <= 0 {
		return 0
	}
	s := slots / n
	if rank < slots%n {
		s++
	}
	return s
}

func rendezvousHash(target, entry string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(target)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(entry)
	return d.Sum64()
}
