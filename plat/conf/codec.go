package conf

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/rotisserie/eris"
)

type approvalWire struct {
	ApprovalSpec
	Changed Number `json:"changed"`
}

type documentWire struct {
	N         Number               `json:"n"`
	Op        string               `json:"op"`
	Chain     string               `json:"chain"`
	Profiles  []entry[ProfileSpec] `json:"profiles"`
	Services  []entry[ServiceSpec] `json:"services"`
	Pools     []entry[PoolSpec]    `json:"pools"`
	Teams     []entry[TeamSpec]    `json:"teams"`
	Waves     []entry[WaveSpec]    `json:"waves"`
	Approvals []approvalWire       `json:"approvals"`
}

// Marshal returns the document in JSON. Equal documents give the same bytes.
func (d *Document) Marshal() ([]byte, error) {
	w := documentWire{
		N: d.number, Op: d.op, Chain: d.chain,
		Profiles: d.profiles.entries(), Services: d.services.entries(), Pools: d.pools.entries(),
		Teams: d.teams.entries(), Waves: d.waves.entries(),
		Approvals: make([]approvalWire, 0, len(d.approvals)),
	}
	for _, a := range d.Approvals() {
		w.Approvals = append(w.Approvals, approvalWire{ApprovalSpec: a, Changed: d.approvals[a]})
	}
	b, err := json.Marshal(w)
	return b, eris.Wrapf(err, "marshal document %d", d.number)
}

// ParseDocument parses the JSON that Marshal returns.
func ParseDocument(b []byte) (*Document, error) {
	var w documentWire
	if err := json.Unmarshal(b, &w); err != nil {
		return nil, eris.Wrap(err, "parse document")
	}
	d := NewDocument()
	d.number, d.op, d.chain = w.N, w.Op, w.Chain
	fillTable(d.profiles, w.Profiles, func(p ProfileSpec) string { return p.Name })
	fillTable(d.services, w.Services, func(s ServiceSpec) string { return s.Name })
	fillTable(d.pools, w.Pools, func(p PoolSpec) string { return p.Name })
	fillTable(d.teams, w.Teams, func(t TeamSpec) string { return t.Name })
	fillTable(d.waves, w.Waves, func(v WaveSpec) string { return v.ID })
	for _, a := range w.Approvals {
		d.approvals[a.ApprovalSpec] = a.Changed
	}
	return d, d.indexDigests()
}

// indexDigests fills teamsByDigest. It returns an error for a document that no sequence of changes can produce.
func (d *Document) indexDigests() error {
	if d.number < 0 {
		return fieldErr("n", d.number, "0 or more")
	}
	for name, t := range d.teams {
		s, ok := parseDigest(t.Spec.TokenDigest)
		if _, taken := d.teamsByDigest[s]; !ok || taken {
			return eris.Wrapf(fieldErr("tokenDigest", t.Spec.TokenDigest, "64 hexadecimal digits, once"), "parse team %s", name)
		}
		d.teamsByDigest[s] = name
	}
	return nil
}

func (t table[T]) entries() []entry[T] {
	l := make([]entry[T], 0, len(t))
	for _, k := range slices.Sorted(maps.Keys(t)) {
		l = append(l, t[k])
	}
	return l
}

func fillTable[T any](t table[T], l []entry[T], name func(T) string) {
	for _, e := range l {
		t[name(e.Spec)] = e
	}
}
