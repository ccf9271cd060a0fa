package conf

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// ApprovalName returns the object name of an approval: team/service.
func ApprovalName(team, service string) string { return team + "/" + service }

func parseApprovalName(name string) ApprovalSpec {
	t, s, _ := strings.Cut(name, "/")
	return ApprovalSpec{Team: t, Service: s}
}

func compareApprovals(a, b ApprovalSpec) int {
	if c := strings.Compare(a.Team, b.Team); c != 0 {
		return c
	}
	return strings.Compare(a.Service, b.Service)
}

// Object returns the name of the object that c puts or drops.
func (c Change) Object() string {
	switch {
	case c.Kind == PutProfile && c.Profile != nil:
		return c.Profile.Name
	case c.Kind == PutService && c.Service != nil:
		return c.Service.Name
	case c.Kind == PutPool && c.Pool != nil:
		return c.Pool.Name
	case c.Kind == PutTeam && c.Team != nil:
		return c.Team.Name
	case c.Kind == PutWave && c.Wave != nil:
		return c.Wave.ID
	case c.Approval != nil:
		return ApprovalName(c.Approval.Team, c.Approval.Service)
	}
	return c.Name
}

// Apply returns the document that results from c. It returns ErrGap if c's number is not the next one, a DivergedError if c
// follows another history than d's, and a FieldError if c is not valid.
func (d *Document) Apply(c Change) (*Document, error) {
	if c.Number != d.number+1 {
		return nil, eris.Wrapf(ErrGap, "apply change %d to document %d", c.Number, d.number)
	}
	if c.Prev != "" && c.Prev != d.chain {
		return nil, &DivergedError{number: c.Number, have: "after " + d.chain, offered: c.Op + " after " + c.Prev}
	}
	c = c.WithDefaults()
	if err := d.Validate(c); err != nil {
		return nil, err
	}
	e := d.advance(c)
	e.perform(c)
	return e, nil
}

// advance returns a copy of d that has c as its last change but not c's effect.
func (d *Document) advance(c Change) *Document {
	e := *d
	e.number, e.op, e.chain = c.Number, c.Op, chainDigest(d.chain, c.Op)
	return &e
}

// chainDigest returns the digest of the history that ends with op; chain is the digest of the history before op.
func chainDigest(chain, op string) string {
	return strconv.FormatUint(xxhash.Sum64String(chain+"\x00"+op), 36)
}

// isLast reports whether c is the document's last change, in the same history.
func (d *Document) isLast(c Change) bool {
	return c.Number == d.number && c.Op == d.op && (c.Prev == "" || chainDigest(c.Prev, c.Op) == d.chain)
}

// matches reports whether c and o are the same change in the same history. If one of them has no Prev, the number and the
// operation decide.
func (c Change) matches(o Change) bool {
	return c.Number == o.Number && c.Op == o.Op && (c.Prev == o.Prev || c.Prev == "" || o.Prev == "")
}

func (d *Document) perform(c Change) {
	switch c.Kind {
	case PutProfile:
		d.profiles = d.profiles.with(c.Profile.Name, *c.Profile, c.Number)
	case DropProfile:
		d.profiles = d.profiles.without(c.Name)
	case PutService:
		d.services = d.services.with(c.Service.Name, *c.Service, c.Number)
	case DropService:
		d.services = d.services.without(c.Name)
		d.removeApprovals(func(a ApprovalSpec) bool { return a.Service == c.Name })
	case PutPool:
		d.pools = d.pools.with(c.Pool.Name, *c.Pool, c.Number)
	case DropPool:
		d.pools = d.pools.without(c.Name)
	case PutTeam:
		d.putTeam(*c.Team)
	case DropTeam:
		d.dropTeam(c.Name)
	case Approve:
		d.approvals = maps.Clone(d.approvals)
		d.approvals[*c.Approval] = c.Number
	case Withdraw:
		d.removeApprovals(func(a ApprovalSpec) bool { return a == *c.Approval })
	case PutWave:
		w := *c.Wave
		w.Pools = slices.Clone(w.Pools)
		d.waves = d.waves.with(w.ID, w, c.Number)
	case DropWave:
		d.waves = d.waves.without(c.Name)
	}
}

func (d *Document) putTeam(t TeamSpec) {
	d.teamsByDigest = maps.Clone(d.teamsByDigest)
	if old, ok := d.teams.get(t.Name); ok {
		delete(d.teamsByDigest, mustDigest(old))
	}
	d.teamsByDigest[mustDigest(t)] = t.Name
	d.teams = d.teams.with(t.Name, t, d.number)
}

func (d *Document) dropTeam(name string) {
	old, _ := d.teams.get(name)
	d.teamsByDigest = maps.Clone(d.teamsByDigest)
	delete(d.teamsByDigest, mustDigest(old))
	d.teams = d.teams.without(name)
	d.removeApprovals(func(a ApprovalSpec) bool { return a.Team == name })
}

// mustDigest returns the digest of a team that has been validated.
func mustDigest(t TeamSpec) digest {
	s, _ := parseDigest(t.TokenDigest)
	return s
}

func (d *Document) removeApprovals(which func(ApprovalSpec) bool) {
	d.approvals = maps.Clone(d.approvals)
	maps.DeleteFunc(d.approvals, func(a ApprovalSpec, _ Number) bool { return which(a) })
}
