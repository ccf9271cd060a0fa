package queue

import "time"

// Handle identifies a waiting request; it is valid until the request leaves the queue.
type Handle int32

// None is the Handle that refers to no request.
const None Handle = 0

// node is a node of a treap that is ordered by deadline, then arrival. Index 0 means no node.
type node[V any] struct {
	deadline    time.Duration
	spare       time.Duration // limit of the margin for a long service time
	seq         uint64
	heap        uint32 // random; higher ones are nearer the root
	size        int32  // nodes in the subtree
	left, right Handle
	class       Class
	v           V
}

// slab holds the nodes of all treaps, one treap for each class, and reuses freed ones.
type slab[V any] struct {
	nodes []node[V]
	free  Handle // first free node; free nodes are linked by left
	state uint32 // of the xorshift generator for priorities
	seq   uint64
}

func newSlab[V any]() *slab[V] { return &slab[V]{nodes: make([]node[V], 1, 64), state: 2463534242} }

func (s *slab[V]) add(c Class, deadline, spare time.Duration, v V) Handle {
	h := s.free
	if h != None {
		s.free = s.nodes[h].left
	} else {
		h = Handle(len(s.nodes))
		s.nodes = append(s.nodes, node[V]{})
	}
	s.seq++
	s.state ^= s.state << 13
	s.state ^= s.state >> 17
	s.state ^= s.state << 5
	s.nodes[h] = node[V]{deadline: deadline, spare: spare, seq: s.seq, heap: s.state, size: 1, class: c, v: v}
	return h
}

func (s *slab[V]) drop(h Handle) {
	s.nodes[h] = node[V]{left: s.free}
	s.free = h
}

func (s *slab[V]) size(h Handle) int32 {
	if h == None {
		return 0
	}
	return s.nodes[h].size
}

// sum recomputes the size of h from its children.
func (s *slab[V]) sum(h Handle) {
	n := &s.nodes[h]
	n.size = 1 + s.size(n.left) + s.size(n.right)
}

// before reports whether a is ordered before b: by deadline, then by arrival.
func (s *slab[V]) before(a, b Handle) bool {
	x, y := &s.nodes[a], &s.nodes[b]
	return x.deadline < y.deadline || x.deadline == y.deadline && x.seq < y.seq
}

// merge joins two treaps; every node of a must be ordered before every node of b.
func (s *slab[V]) merge(a, b Handle) Handle {
	switch {
	case a == None:
		return b
	case b == None:
		return a
	case s.nodes[a].heap > s.nodes[b].heap:
		s.nodes[a].right = s.merge(s.nodes[a].right, b)
		s.sum(a)
		return a
	}
	s.nodes[b].left = s.merge(a, s.nodes[b].left)
	s.sum(b)
	return b
}

// split divides a treap into the nodes before h and the rest.
func (s *slab[V]) split(t, h Handle) (a, b Handle) {
	if t == None {
		return None, None
	}
	if s.before(t, h) {
		s.nodes[t].right, b = s.split(s.nodes[t].right, h)
		s.sum(t)
		return t, b
	}
	a, s.nodes[t].left = s.split(s.nodes[t].left, h)
	s.sum(t)
	return a, t
}

// insert adds h to the treap t and returns the new root.
func (s *slab[V]) insert(t, h Handle) Handle {
	if t == None {
		return h
	}
	if s.nodes[h].heap > s.nodes[t].heap {
		n := &s.nodes[h]
		n.left, n.right = s.split(t, h)
		s.sum(h)
		return h
	}
	if s.before(h, t) {
		s.nodes[t].left = s.insert(s.nodes[t].left, h)
	} else {
		s.nodes[t].right = s.insert(s.nodes[t].right, h)
	}
	s.nodes[t].size++
	return t
}

// remove removes h from the treap t, which must contain it, and returns the new root.
func (s *slab[V]) remove(t, h Handle) Handle {
	if t == h {
		return s.merge(s.nodes[t].left, s.nodes[t].right)
	}
	if s.before(h, t) {
		s.nodes[t].left = s.remove(s.nodes[t].left, h)
	} else {
		s.nodes[t].right = s.remove(s.nodes[t].right, h)
	}
	s.nodes[t].size--
	return t
}

func (s *slab[V]) first(t Handle) Handle {
	for t != None && s.nodes[t].left != None {
		t = s.nodes[t].left
	}
	return t
}

func (s *slab[V]) last(t Handle) Handle {
	for t != None && s.nodes[t].right != None {
		t = s.nodes[t].right
	}
	return t
}

// rank returns the number of nodes whose deadline is d or earlier.
func (s *slab[V]) rank(t Handle, d time.Duration) int {
	k := 0
	for t != None {
		n := &s.nodes[t]
		if n.deadline > d {
			t = n.left
			continue
		}
		k += 1 + int(s.size(n.left))
		t = n.right
	}
	return k
}

// walk calls f for each node in order.
func (s *slab[V]) walk(t Handle, f func(Handle)) {
	if t == None {
		return
	}
	l, r := s.nodes[t].left, s.nodes[t].right
	s.walk(l, f)
	f(t)
	s.walk(r, f)
}
