package spare

import "slices"

// rackLoss is the cached result of worstRackLoss.
type rackLoss struct {
	valid              bool
	lacking, uncovered int
}

// worstRackLoss returns how many VMs all pools together would lack after the worst loss of racks, and how many of these
// the remaining spare VMs could not replace. A loss of several racks is built up greedily from the worst single rack.
func (s *Sizer) worstRackLoss() (lacking, uncovered int) {
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
		lacking, uncovered = max(lacking, n), max(uncovered, short)
	}
	s.worstLoss = rackLoss{valid: true, lacking: lacking, uncovered: uncovered}
	return lacking, uncovered
}

// worstNextRack returns the rack whose loss in addition to the lost ones leaves the most VMs uncovered, and the greatest
// numbers of lacking and of uncovered VMs after the loss of any one further rack.
func (s *Sizer) worstNextRack(lost []string) (rack string, lacking, uncovered int) {
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
		lacking, uncovered = max(lacking, n), max(uncovered, n-left)
	}
	return rack, lacking, uncovered
}

// afterLoss returns how many VMs each pool loses with the racks, how many the pools then lack together, and how many
// spare VMs are left.
func (s *Sizer) afterLoss(lost []string) (taken map[string]int, lacking, free int) {
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
			lacking += max(0, s.Need(r.Pool)-n)
		}
	}
	return taken, lacking, free
}

// mustSurvive reports whether the pool's rule requires it to survive the loss of the given number of racks.
func (s *Sizer) mustSurvive(pool string, racks int) bool {
	r, ok := s.ruleByPool[pool]
	return ok && !r.Spare && r.SurviveRacks >= racks
}

func (s *Sizer) isSpare(pool string) bool { return s.ruleByPool[pool].Spare }

// spread spreads the pools better over the racks, by one VM, if the spare VMs could not make up for a loss of racks. A
// pool with an idle VM returns one from its fullest rack. Otherwise a spare VM of another rack joins a concentrated pool,
// which later returns the VM that has become idle.
func (s *Sizer) spread(l []Cmd, nowMillis int64) []Cmd {
	_, uncovered := s.worstRackLoss()
	if uncovered <= 0 {
		return l
	}
	for _, r := range s.rules {
		if p := s.pools[r.Pool]; !r.Spare && p.idleSince > 0 && nowMillis-p.idleSince > s.readyMillis {
			return s.returnIdle(l, r, nowMillis)
		}
	}
	return s.swap(l, nowMillis)
}

// swap moves a spare VM to the pool with the most VMs in one rack, if the spare VM's rack holds at least two fewer of them.
func (s *Sizer) swap(l []Cmd, nowMillis int64) []Cmd {
	to, ok := s.sparePool()
	if !ok {
		return l
	}
	pool, most := "", 1
	for _, r := range s.rules {
		if r.Spare || r.SurviveRacks == 0 || s.layout.count(r.Pool) > s.pools[r.Pool].need {
			continue
		}
		for _, n := range s.layout.perPoolRack[r.Pool] {
			if n > most {
				pool, most = r.Pool, n
			}
		}
	}
	v, ok := s.layout.pickForPool(to, pool, s.movable())
	if pool == "" || !ok || s.layout.perPoolRack[pool][v.Rack] >= most-1 {
		return l
	}
	return s.move(l, v, pool, Spread, nowMillis)
}
