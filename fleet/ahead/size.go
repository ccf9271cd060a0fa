package ahead

// Size is the amount of each resource that a task needs or a worker has.
type Size struct {
	CPU   int64 // thousandths of a core
	MemMB int64
	GPU   int64
}

// Fits reports whether s fits into room.
func (s Size) Fits(room Size) bool {
	return s.CPU <= room.CPU && s.MemMB <= room.MemMB && s.GPU <= room.GPU
}

// Plus returns the sum of both sizes.
func (s Size) Plus(o Size) Size {
	return Size{CPU: s.CPU + o.CPU, MemMB: s.MemMB + o.MemMB, GPU: s.GPU + o.GPU}
}

// Minus returns s without o.
func (s Size) Minus(o Size) Size {
	return Size{CPU: s.CPU - o.CPU, MemMB: s.MemMB - o.MemMB, GPU: s.GPU - o.GPU}
}
