package relay

import (
	"testing"

	"github.com/matryer/is"

	"burdockreach.dev/flow/ledger"
	"burdockreach.dev/plat/keyval"
)

// A holder that has restarted since it confirmed a settlement has lost its records, and gets the settlement again.
func TestRestartedHolderGetsSettlementAgain(t *testing.T) {
	is := is.New(t)
	a := ledger.Member{Entry: "a", Addr: "a:1", Incarnation: 1}
	b := ledger.Member{Entry: "b", Addr: "b:1", Incarnation: 1}
	k := NewKeyHolder(a, "dc", []string{"dc"}, keyval.NewMemory(), nil)
	r := ledger.NewRoster("dc", []ledger.Member{a, b}, 1)
	k.rosters["dc"] = r
	o := newOutbox(k)
	j := &settlement{outbox: o, home: "dc", record: ledger.Record{ID: ledger.NewID("key")}, holders: []ledger.Member{a, b}}
	for _, m := range j.holders {
		o.recordResult(&settleBatch{to: m, settlements: []*settlement{j}})
	}
	is.Equal(len(j.remainingHolders()), 0)
	b.Incarnation = 2
	k.rosters["dc"] = r.Next([]ledger.Member{a, b}, 2)
	is.Equal(j.remainingHolders(), []ledger.Member{b})
}
