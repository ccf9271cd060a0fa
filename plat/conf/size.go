package conf

import (
	"fmt"

	"burdockreach.dev/plat/keyval"
)

// maxDocumentBytes leaves 4,096 bytes for the JSON of the snapshot around the document, so that both fit into one value.
const maxDocumentBytes = keyval.MaxValue - 4_096

// Upper bounds in bytes of one object's JSON, without the names in it.
const (
	profileBytes  = 700
	serviceBytes  = 160
	poolBytes     = 80
	teamBytes     = 200
	waveBytes     = 100
	approvalBytes = 70
	listItemBytes = 3 // quotes and comma around a pool's name in a wave.
)

// checkSize checks that the document stays small enough for its snapshot. A replaced object counts twice: its old and its new
// value.
func (d *Document) checkSize(k *validator, c Change) {
	add := c.sizeBound()
	if add == 0 {
		return
	}
	if have := d.sizeBound(); have+add > maxDocumentBytes {
		k.require(false, string(c.Kind), c.Object(), fmt.Sprintf("documents of up to %d bytes, this one has %d", maxDocumentBytes, have))
	}
}

// sizeBound returns an upper bound in bytes of what c adds to a document's JSON.
func (c Change) sizeBound() int {
	switch c.Kind {
	case PutProfile:
		return profileSize(*c.Profile)
	case PutService:
		return serviceSize(*c.Service)
	case PutPool:
		return poolSize(*c.Pool)
	case PutTeam:
		return teamSize(*c.Team)
	case PutWave:
		return waveSize(*c.Wave)
	case Approve:
		return approvalSize(*c.Approval)
	}
	return 0
}

// sizeBound returns an upper bound in bytes of the document's JSON.
func (d *Document) sizeBound() int {
	n := profileBytes + totalSize(d.profiles, profileSize) + totalSize(d.services, serviceSize) + totalSize(d.pools, poolSize) +
		totalSize(d.teams, teamSize) + totalSize(d.waves, waveSize)
	for a := range d.approvals {
		n += approvalSize(a)
	}
	return n
}

func totalSize[T any](t table[T], size func(T) int) int {
	n := 0
	for _, e := range t {
		n += size(e.Spec)
	}
	return n
}

func profileSize(p ProfileSpec) int { return profileBytes + len(p.Name) }

func serviceSize(s ServiceSpec) int {
	return serviceBytes + len(s.Name) + len(s.Profile) + len(s.Pool)
}

func poolSize(p PoolSpec) int { return poolBytes + len(p.Name) }

func teamSize(t TeamSpec) int { return teamBytes + len(t.Name) }

func waveSize(w WaveSpec) int {
	n := waveBytes + len(w.ID)
	for _, p := range w.Pools {
		n += listItemBytes + len(p)
	}
	return n
}

func approvalSize(a ApprovalSpec) int { return approvalBytes + len(a.Team) + len(a.Service) }
