package spare

import "slices"

// rackLoss is the worst loss of racks as it was last reckoned.
type rackLoss struct {
	valid              bool
	lacking, uncovered int
}

// worstRackLoss returns how many VMs the pools would lack together after the worstRackLoss loss of racks, and by how many the
// spare VMs that are left would fall short of it. Losses of several racks are reckoned from the worstRackLoss single one on.
func (s *Sizer) worstRackLoss() (lack, missing int) {
	if s.worstLoss.valid {
		return s.worstLoss.lacking, s.worstLoss.uncovered
	}
	k := 0
	for _, r := range s.rules {
		k = max(k, r.SurviveRacks)
	}
	var lost []string
	for range min(k, len(s.layout.racks)) {
		rack, n, short := s.worstNextRack(lost)
		lost = append(lost, rack)
		lack, missing = max(lack, n), max(missing, short)
	}
	s.worstLoss = rackLoss{valid: true, lacking: lack, uncovered: missing}
	return lack, missing
}

// worstNextRack returns the rack whose loss on top of lost would cost most, the most VMs that the pools would lack after such a
// loss, and the most that would be missing.
func (s *Sizer) worstNextRack(lost []string) (rack string, lack, missing int) {
	most := -len(s.vms) - 1
	taken, base, free := s.afterLoss(lost)
	for _, r := range s.layout.racks {
		if slices.Contains(lost, r) {
			continue
		}
		n, left := base, free
		for pool, c := range s.layout.perRackPool[r] {
			if s.isSpare(pool) {
				left -= c
			} else if s.mustSurvive(pool, len(lost)+1) {
				have := s.layout.count(pool) - taken[pool]
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

// afterLoss returns the VMs that each pool loses with the racks, how many the pools then lack, and how many spare ones are left.
func (s *Sizer) afterLoss(lost []string) (taken map[string]int, lack, free int) {
	taken = map[string]int{}
	for _, r := range lost {
		for pool, c := range s.layout.perRackPool[r] {
			taken[pool] += c
		}
	}
	for _, r := range s.rules {
		switch n := s.layout.count(r.Pool) - taken[r.Pool]; {
		case r.Spare:
			free += n
		case s.mustSurvive(r.Pool, len(lost)+1):
			lack += max(0, s.Need(r.Pool)-n)
		}
	}
	return taken, lack, free
}

// mustSurvive tells whether the pool's profile promises to survive the loss of so many racks.
func (s *Sizer) mustSurvive(pool string, racks int) bool {
	r, ok := s.ruleByPool[pool]
	return ok && !r.Spare && r.SurviveRacks >= racks
}

func (s *Sizer) isSpare(pool string) bool { return s.ruleByPool[pool].Spare }

// spread takes the pools' concentration down by one VM where the spare VMs would not make up for the loss of racks:
// a spare VM of another rack joins the pool, and the pool gives one of the crowded rack back.
func (s *Sizer) spread(l []Cmd, at int64) []Cmd {
	_, missing := s.worstRackLoss()
	if missing <= 0 {
		return l
	}
	for _, r := range s.rules {
		if p := s.pools[r.Pool]; !r.Spare && p.idleSince > 0 && at-p.idleSince > s.readyMillis {
			return s.returnIdle(l, r, at)
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
		if r.Spare || r.SurviveRacks == 0 || s.layout.count(r.Pool) > s.pools[r.Pool].need {
			continue
		}
		for _, n := range s.layout.perPoolRack[r.Pool] {
			if n > most {
				worst, most = r.Pool, n
			}
		}
	}
	v, ok := s.layout.pickForPool(to, worst, s.movable())
	if worst == "" || !ok || s.layout.perPoolRack[worst][v.Rack] >= most-1 {
		return l
	}
	return s.move(l, v, worst, Spread, at)
}
