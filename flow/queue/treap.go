package queue

import "time"

// Handle identifies a waiting request; it is valid until the request leaves the queue.
type Handle int32

// None is the Handle that refers to no request.
const None Handle = 0

// node is a node of a treap that is ordered by deadline, then arrival. Index 0 means no node.
type node[V any] struct {
	deadline    time.Duration
	marginLimit time.Duration // limit of the margin for a long service time
	seq         uint64
	priority    uint32 // random; higher ones are nearer the root
	size        int32  // nodes in the subtree
	left, right Handle
	class       Class
	v           V
}

// treaps holds the nodes of several treaps, one for each class, and reuses freed nodes.
type treaps[V any] struct {
	nodes []node[V]
	free  Handle // first free node; free nodes are linked by left
	state uint32 // of the xorshift generator for priorities
	seq   uint64
}

func newTreaps[V any]() *treaps[V] {
	return &treaps[V]{nodes: make([]node[V], 1, 64), state: 2463534242}
}

func (s *treaps[V]) add(c Class, deadline, marginLimit time.Duration, v V) Handle {
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
	s.nodes[h] = node[V]{deadline: deadline, marginLimit: marginLimit, seq: s.seq, priority: s.state, size: 1, class: c, v: v}
	return h
}

func (s *treaps[V]) release(h Handle) {
	s.nodes[h] = node[V]{left: s.free}
	s.free = h
}

func (s *treaps[V]) size(h Handle) int32 {
	if h == None {
		return 0
	}
	return s.nodes[h].size
}

// updateSize recomputes the size of h from its children.
func (s *treaps[V]) updateSize(h Handle) {
	n := &s.nodes[h]
	n.size = 1 + s.size(n.left) + s.size(n.right)
}

// before reports whether a is ordered before b: by deadline, then by arrival.
func (s *treaps[V]) before(a, b Handle) bool {
	x, y := &s.nodes[a], &s.nodes[b]
	return x.deadline < y.deadline || x.deadline == y.deadline && x.seq < y.seq
}

// merge joins two treaps; every node of a must be ordered before every node of b.
func (s *treaps[V]) merge(a, b Handle) Handle {
	switch {
	case a == None:
		return b
	case b == None:
		return a
	case s.nodes[a].priority > s.nodes[b].priority:
		s.nodes[a].right = s.merge(s.nodes[a].right, b)
		s.updateSize(a)
		return a
	}
	s.nodes[b].left = s.merge(a, s.nodes[b].left)
	s.updateSize(b)
	return b
}

// split divides a treap into the nodes before h and the rest.
func (s *treaps[V]) split(t, h Handle) (a, b Handle) {
	if t == None {
		return None, None
	}
	if s.before(t, h) {
		s.nodes[t].right, b = s.split(s.nodes[t].right, h)
		s.updateSize(t)
		return t, b
	}
	a, s.nodes[t].left = s.split(s.nodes[t].left, h)
	s.updateSize(t)
	return a, t
}

// insert adds h to the treap t and returns the new root.
func (s *treaps[V]) insert(t, h Handle) Handle {
	if t == None {
		return h
	}
	if s.nodes[h].priority > s.nodes[t].priority {
		n := &s.nodes[h]
		n.left, n.right = s.split(t, h)
		s.updateSize(h)
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
func (s *treaps[V]) remove(t, h Handle) Handle {
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

func (s *treaps[V]) first(t Handle) Handle {
	for t != None && s.nodes[t].left != None {
		t = s.nodes[t].left
	}
	return t
}

func (s *treaps[V]) last(t Handle) Handle {
	for t != None && s.nodes[t].right != None {
		t = s.nodes[t].right
	}
	return t
}

// rank returns the number of nodes whose deadline is d or earlier.
func (s *treaps[V]) rank(t Handle, d time.Duration) int {
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
func (s *treaps[V]) walk(t Handle, f func(Handle)) {
	if t == None {
		return
	}
	l, r := s.nodes[t].left, s.nodes[t].right
	s.walk(l, f)
	f(t)
	s.walk(r, f)
}
