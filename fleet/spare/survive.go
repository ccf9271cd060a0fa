package spare

import "slices"

// lookout is the worst loss of racks as it was last reckoned.
type lookout struct {
	done          bool
	lack, missing int
}

// worst returns how many VMs the pools would lack together after the worst loss of racks, and by how many the
// spare VMs that are left would fall short of it. Losses of several racks are reckoned from the worst single one on.
func (s *Sizer) worst() (lack, missing int) {
	if s.looked.done {
		return s.looked.lack, s.looked.missing
	}
	k := 0
	for _, r := range s.rules {
		k = max(k, r.SurviveRacks)
	}
	var lost []string
	for range min(k, len(s.racks.racks)) {
		rack, n, short := s.next(lost)
		lost = append(lost, rack)
		lack, missing = max(lack, n), max(missing, short)
	}
	s.looked = lookout{done: true, lack: lack, missing: missing}
	return lack, missing
}

// next returns the rack whose loss on top of lost would cost most, the most VMs that the pools would lack after such a
// loss, and the most that would be missing.
func (s *Sizer) next(lost []string) (rack string, lack, missing int) {
	most := -len(s.vms) - 1
	taken, base, free := s.after(lost)
	for _, r := range s.racks.racks {
		if slices.Contains(lost, r) {
			continue
		}
		n, left := base, free
		for pool, c := range s.racks.byRack[r] {
			if s.isSpare(pool) {
				left -= c
			} else if s.counts(pool, len(lost)+1) {
				have := s.racks.have(pool) - taken[pool]
				n += max(0, s.Need(pool)-have+c) - max(0, s.Need(pool)-have)
			}
		}
		if n-left > most {
			rack, most = r, n-left
		}
		lack, missing = max(lack, n), max(missing, n-left)
	}
	return rack, lack, missing
}

// after returns the VMs that each pool loses with the racks, how many the pools then lack, and how many spare ones are left.
func (s *Sizer) after(lost []string) (taken map[string]int, lack, free int) {
	taken = map[string]int{}
	for _, r := range lost {
		for pool, c := range s.racks.byRack[r] {
			taken[pool] += c
		}
	}
	for _, r := range s.rules {
		switch n := s.racks.have(r.Pool) - taken[r.Pool]; {
		case r.Spare:
			free += n
		case s.counts(r.Pool, len(lost)+1):
			lack += max(0, s.Need(r.Pool)-n)
		}
	}
	return taken, lack, free
}

// counts tells whether the pool's profile promises to survive the loss of so many racks.
func (s *Sizer) counts(pool string, racks int) bool {
	r, ok := s.byName[pool]
	return ok && !r.Spare && r.SurviveRacks >= racks
}

func (s *Sizer) isSpare(pool string) bool { return s.byName[pool].Spare }

// spread takes the pools' concentration down by one VM where the spare VMs would not make up for the loss of racks:
// a spare VM of another rack joins the pool, and the pool gives one of the crowded rack back.
func (s *Sizer) spread(l []Cmd, at int64) []Cmd {
	_, missing := s.worst()
	if missing <= 0 {
		return l
	}
	for _, r := range s.rules {
		if p := s.pools[r.Pool]; !r.Spare && p.idle > 0 && at-p.idle > s.ready {
			return s.giveBack(l, r, at)
		}
	}
	return s.swap(l, at)
}

// swap brings a VM of an emptier rack to the pool that is most crowded into one rack, if that would help.
func (s *Sizer) swap(l []Cmd, at int64) []Cmd {
	to, ok := s.sparePool()
	if !ok {
		return l
	}
	worst, most := "", 1
	for _, r := range s.rules {
		if r.Spare || r.SurviveRacks == 0 || s.racks.have(r.Pool) > s.pools[r.Pool].need {
			continue
		}
		for _, n := range s.racks.counts[r.Pool] {
			if n > most {
				worst, most = r.Pool, n
			}
		}
	}
	v, ok := s.racks.pick(to, worst, s.isFree())
	if worst == "" || !ok || s.racks.counts[worst][v.Rack] >= most-1 {
		return l
	}
	return s.move(l, v, worst, Spread, at)
}
