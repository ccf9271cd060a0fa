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

// tagBits is the number of low bits of a roster's number that tell apart rosters proposed for the same place in the order.
const tagBits = 20

// Member is one entry that holds records; a restarted entry has another incarnation and holds nothing of the former one.
type Member struct {
	Entry       string `json:"entry"`
	Addr        string `json:"addr"`
	Incarnation int64  `json:"incarnation"`
}

// Is reports whether m and o are the same life of the same entry.
func (m Member) Is(o Member) bool { return m.Entry == o.Entry && m.Incarnation == o.Incarnation }

// Roster is the immutable list of the entries of a data centre that hold its keys; the zero Roster has number zero.
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

// NewRoster returns the first roster of a data centre; tag tells it from another first roster proposed at the same time.
func NewRoster(dataCentre string, members []Member, tag uint64) Roster {
	return newFromWire(rosterWire{Number: nextNumber(0, tag), DataCentre: dataCentre, Members: members})
}

// Next returns the roster that follows r with other members; tag tells it from another one proposed to follow r.
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

// ParseRoster reads what Marshal wrote; ErrRoster if it cannot.
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

// Number returns the roster's number; a later roster has a higher one, and no two rosters share one.
func (r Roster) Number() int64 { return r.number }

// Prior returns the number of the roster that this one follows; zero for the first.
func (r Roster) Prior() int64 { return r.prior }

// DataCentre returns the data centre whose keys the members hold.
func (r Roster) DataCentre() string { return r.dataCentre }

// Members returns the members in order of their entries; the caller must not change them.
func (r Roster) Members() []Member { return r.members }

// Previous returns the members of the roster that this one follows; the caller must not change them.
func (r Roster) Previous() []Member { return r.previous }

// Member returns the member with the entry's id and whether there is one.
func (r Roster) Member(entry string) (Member, bool) { return findMember(r.members, entry) }

// Holders returns the entries that hold key; the second is empty when the roster has one member.
func (r Roster) Holders(key string) (first, second string) { return r.HoldersOf(NewID(key)) }

// HoldersOf returns the entries that hold the key with the id; the second is empty when the roster has one member.
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
	return ok && f.Is(o)
}

// topTwo returns the two members that score highest for id.
func topTwo(m []Member, seeds []uint64, id ID) (first, second string) {
	i, j := -1, -1
	var x, y uint64
	l := id.low()
	for k, s := range seeds {
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

// Home returns the data centre that a key belongs to: the one that it names before its first slash, else one by rendezvous hash.
func Home(key string, dataCentres []string) string {
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
