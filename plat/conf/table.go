package conf

import (
	"encoding/hex"
	"maps"
	"reflect"
	"slices"
)

// entry is an object in a table and the number of its last change.
type entry[T any] struct {
	Spec    T      `json:"spec"`
	Changed Number `json:"changed"`
}

// table maps names to objects. It is immutable: with and without return copies.
type table[T any] map[string]entry[T]

func (t table[T]) with(name string, v T, n Number) table[T] {
	c := maps.Clone(t)
	if c == nil {
		c = table[T]{}
	}
	c[name] = entry[T]{Spec: v, Changed: n}
	return c
}

func (t table[T]) without(name string) table[T] {
	c := maps.Clone(t)
	delete(c, name)
	return c
}

func (t table[T]) get(name string) (T, bool) {
	e, ok := t[name]
	return e.Spec, ok
}

func (t table[T]) sorted() []T {
	l := make([]T, 0, len(t))
	for _, k := range slices.Sorted(maps.Keys(t)) {
		l = append(l, t[k].Spec)
	}
	return l
}

type digest [32]byte

func parseDigest(s string) (digest, bool) {
	var d digest
	if len(s) != hex.EncodedLen(len(d)) {
		return d, false
	}
	_, err := hex.Decode(d[:], []byte(s))
	return d, err == nil
}

// Document is the configuration after a number of changes. It is immutable: each change makes a new document.
type Document struct {
	number        Number
	op            string // id of the operation that made the last change.
	chain         string // digest of all changes that led to the document.
	profiles      table[ProfileSpec]
	services      table[ServiceSpec]
	pools         table[PoolSpec]
	teams         table[TeamSpec]
	waves         table[WaveSpec]
	approvals     map[ApprovalSpec]Number
	teamsByDigest map[digest]string
}

// NewDocument returns the empty document before the first change.
func NewDocument() *Document {
	return &Document{
		profiles:      table[ProfileSpec]{},
		services:      table[ServiceSpec]{},
		pools:         table[PoolSpec]{},
		teams:         table[TeamSpec]{},
		waves:         table[WaveSpec]{},
		approvals:     map[ApprovalSpec]Number{},
		teamsByDigest: map[digest]string{},
	}
}

// Number returns the number of the last change in the document; 0 before the first.
func (d *Document) Number() Number { return d.number }

// Op returns the id of the operation that made the last change.
func (d *Document) Op() string { return d.op }

// Chain returns a digest of all changes that led to the document; two documents share it only if their changes are the same.
func (d *Document) Chain() string { return d.chain }

// Profile returns the profile of that name.
func (d *Document) Profile(name string) (ProfileSpec, bool) { return d.profiles.get(name) }

// Service returns the service of that name.
func (d *Document) Service(name string) (ServiceSpec, bool) { return d.services.get(name) }

// Pool returns the pool of that name.
func (d *Document) Pool(name string) (PoolSpec, bool) { return d.pools.get(name) }

// Team returns the team of that name.
func (d *Document) Team(name string) (TeamSpec, bool) { return d.teams.get(name) }

// Wave returns the wave of that id.
func (d *Document) Wave(id string) (WaveSpec, bool) {
	w, ok := d.waves.get(id)
	w.Pools = slices.Clone(w.Pools)
	return w, ok
}

// TeamByDigest returns the team whose token has that SHA-256 digest.
func (d *Document) TeamByDigest(sum [32]byte) (TeamSpec, bool) {
	name, ok := d.teamsByDigest[sum]
	if !ok {
		return TeamSpec{}, false
	}
	return d.teams.get(name)
}

// Approved reports whether team may call service.
func (d *Document) Approved(team, service string) bool {
	_, ok := d.approvals[ApprovalSpec{Team: team, Service: service}]
	return ok
}

// Profiles returns the profiles, sorted by name.
func (d *Document) Profiles() []ProfileSpec { return d.profiles.sorted() }

// Services returns the services, sorted by name.
func (d *Document) Services() []ServiceSpec { return d.services.sorted() }

// Pools returns the pools, sorted by name.
func (d *Document) Pools() []PoolSpec { return d.pools.sorted() }

// Teams returns the teams, sorted by name.
func (d *Document) Teams() []TeamSpec { return d.teams.sorted() }

// Waves returns the waves, sorted by id.
func (d *Document) Waves() []WaveSpec {
	l := d.waves.sorted()
	for i := range l {
		l[i].Pools = slices.Clone(l[i].Pools)
	}
	return l
}

// Approvals returns the approvals, sorted by team, then by service.
func (d *Document) Approvals() []ApprovalSpec {
	return slices.SortedFunc(maps.Keys(d.approvals), compareApprovals)
}

// LastChange returns the number of the last change of the object that k puts or drops, or 0 if there is no such object.
// An approval's name is ApprovalName(team, service).
func (d *Document) LastChange(k Kind, name string) Number {
	switch k {
	case PutProfile, DropProfile:
		return d.profiles[name].Changed
	case PutService, DropService:
		return d.services[name].Changed
	case PutPool, DropPool:
		return d.pools[name].Changed
	case PutTeam, DropTeam:
		return d.teams[name].Changed
	case PutWave, DropWave:
		return d.waves[name].Changed
	case Approve, Withdraw:
		return d.approvals[parseApprovalName(name)]
	}
	return 0
}

// Equal reports whether both documents hold the same objects after the same changes.
func (d *Document) Equal(e *Document) bool { return reflect.DeepEqual(d, e) }
