package ledger

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// ErrRoster reports a roster document that cannot be read.
var ErrRoster = eris.New("ledger: malformed roster")

// tagBits is the number of low bits of a roster's number that distinguish rosters proposed as successors of the same roster.
const tagBits = 20

// Member is one incarnation of an entry that holds records. A restarted entry has a new incarnation, and none of the records
// of the former one.
type Member struct {
	Entry       string `json:"entry"`
	Addr        string `json:"addr"`
	Incarnation int64  `json:"incarnation"`
}

// SameIncarnation reports whether m and o are the same incarnation of the same entry.
func (m Member) SameIncarnation(o Member) bool {
	return m.Entry == o.Entry && m.Incarnation == o.Incarnation
}

// Roster is the immutable, numbered list of the entries that hold the keys of a data centre. The zero Roster has number zero.
type Roster struct {
	number, prior       int64
	dataCentre          string
	members, previous   []Member
	hashes, priorHashes []uint64
}

type rosterWire struct {
	Number     int64    `json:"number"`
	Prior      int64    `json:"prior"`
	DataCentre string   `json:"dataCentre"`
	Members    []Member `json:"members"`
	Previous   []Member `json:"previous,omitempty"`
}

// NewRoster returns the first roster of a data centre. The tag makes its number differ from that of another first roster that is
// proposed at the same time.
func NewRoster(dataCentre string, members []Member, tag uint64) Roster {
	return newFromWire(rosterWire{Number: nextNumber(0, tag), DataCentre: dataCentre, Members: members})
}

// Next returns the successor of r with the given members. The tag makes its number differ from that of another proposed
// successor of r.
func (r Roster) Next(members []Member, tag uint64) Roster {
	return newFromWire(rosterWire{
		Number: nextNumber(r.number, tag), Prior: r.number, DataCentre: r.dataCentre, Members: members, Previous: r.members,
	})
}

func nextNumber(n int64, tag uint64) int64 {
	return (n>>tagBits+1)<<tagBits | int64(mix(tag)&(1<<tagBits-1))
}

func newFromWire(w rosterWire) Roster {
	r := Roster{number: w.Number, prior: w.Prior, dataCentre: w.DataCentre, members: sortedByEntry(w.Members), previous: sortedByEntry(w.Previous)}
	r.hashes, r.priorHashes = entryHashes(r.members), entryHashes(r.previous)
	return r
}

func sortedByEntry(m []Member) []Member {
	m = slices.Clone(m)
	slices.SortFunc(m, func(a, b Member) int { return strings.Compare(a.Entry, b.Entry) })
	return m
}

func entryHashes(m []Member) []uint64 {
	s := make([]uint64, len(m))
	for i := range m {
		s[i] = xxhash.Sum64String(m[i].Entry)
	}
	return s
}

// ParseRoster parses a document written by Marshal. It returns ErrRoster if the document is malformed.
func ParseRoster(b []byte) (Roster, error) {
	var w rosterWire
	if err := json.Unmarshal(b, &w); err != nil {
		return Roster{}, eris.Wrap(ErrRoster, err.Error())
	}
	if w.Number <= w.Prior || len(w.Members) == 0 {
		return Roster{}, eris.Wrap(ErrRoster, "no members or numbers out of order")
	}
	return newFromWire(w), nil
}

// Marshal returns the roster's document in JSON.
func (r Roster) Marshal() []byte {
	b, err := json.Marshal(rosterWire{
		Number: r.number, Prior: r.prior, DataCentre: r.dataCentre, Members: r.members, Previous: r.previous,
	})
	if err != nil {
		panic(err) // a roster holds only strings and numbers
	}
	return b
}

// Number returns the roster's number. It is unique, and a later roster has a higher number.
func (r Roster) Number() int64 { return r.number }

// Prior returns the number of the roster's predecessor, or zero for the first roster.
func (r Roster) Prior() int64 { return r.prior }

// DataCentre returns the name of the data centre whose keys the members hold.
func (r Roster) DataCentre() string { return r.dataCentre }

// Members returns the members, sorted by entry. The caller must not modify the slice.
func (r Roster) Members() []Member { return r.members }

// Previous returns the members of the roster's predecessor, sorted by entry. The caller must not modify the slice.
func (r Roster) Previous() []Member { return r.previous }

// Member returns the member with the given entry id, and whether there is one.
func (r Roster) Member(entry string) (Member, bool) { return findMember(r.members, entry) }

// Holders returns the two entries that hold key. The second is empty if the roster has only one member.
func (r Roster) Holders(key string) (first, second string) { return r.HoldersOf(NewID(key)) }

// HoldersOf returns the two entries that hold the key with the given id. The second is empty if the roster has only one member.
func (r Roster) HoldersOf(id ID) (first, second string) { return topTwo(r.members, r.hashes, id) }

func (r Roster) priorHoldersOf(id ID) (first, second string) {
	return topTwo(r.previous, r.priorHashes, id)
}

func findMember(m []Member, entry string) (Member, bool) {
	i := slices.IndexFunc(m, func(m Member) bool { return m.Entry == entry })
	if i < 0 {
		return Member{}, false
	}
	return m[i], true
}

func containsMember(m []Member, o Member) bool {
	f, ok := findMember(m, o.Entry)
	return ok && f.SameIncarnation(o)
}

// topTwo returns the entries of the two members with the highest rendezvous hash for id.
func topTwo(m []Member, hashes []uint64, id ID) (first, second string) {
	i, j := -1, -1
	var x, y uint64
	l := id.low()
	for k, s := range hashes {
		z := mix(s ^ l)
		switch {
		case i < 0 || z > x:
			i, j, x, y = k, i, z, x
		case j < 0 || z > y:
			j, y = k, z
		}
	}
	if i >= 0 {
		first = m[i].Entry
	}
	if j >= 0 {
		second = m[j].Entry
	}
	return first, second
}

// HomeDataCentre returns the home data centre of a key: the one named before the key's first slash, or else the one with the highest
// rendezvous hash.
func HomeDataCentre(key string, dataCentres []string) string {
	if n, _, ok := strings.Cut(key, "/"); ok && slices.Contains(dataCentres, n) {
		return n
	}
	l, home, best := NewID(key).low(), "", uint64(0)
	for _, d := range dataCentres {
		if z := mix(xxhash.Sum64String(d) ^ l); home == "" || z > best {
			home, best = d, z
		}
	}
	return home
}
