package board

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"burdockreach.dev/fleet/batch"
)

// team returns a team with the given keys.
func team(name string, keys ...string) Team {
	return Team{Team: batch.Team{Name: name, Weight: 1}, Keys: keys}
}

// boardWith returns a board with the given teams in force.
func boardWith(l ...Team) *Board {
	b := New()
	b.PutConfig(Config{Version: 1, Teams: l})
	return b
}

// checkKey checks which team a key admits to a queue that is not public. The team "-" means that the call is refused.
func checkKey(t *testing.T, b *Board, key, want string) {
	t.Helper()
	is := is.New(t)
	got, ok := b.Authorize(Queue{}, key)
	is.Equal(ok, want != "-")
	if ok {
		is.Equal(got, want)
	} else {
		is.Equal(got, "") // a refused call has no team.
	}
}

func TestAuthorize(t *testing.T) {
	t.Run("each key admits its team", func(t *testing.T) {
		b := boardWith(team("a", "k1", "k2"), team("b", "k3"))
		checkKey(t, b, "k1", "a")
		checkKey(t, b, "k2", "a")
		checkKey(t, b, "k3", "b")
		checkKey(t, b, "k", "-")
		checkKey(t, b, "k11", "-")
		checkKey(t, b, "", "-")
	})
	t.Run("a key of two teams admits nobody", func(t *testing.T) {
		b := boardWith(team("a", "both", "k1"), team("b", "both"), team("c", "both"))
		checkKey(t, b, "both", "-")
		checkKey(t, b, "k1", "a")
	})
	t.Run("a key that one team lists twice admits it", func(t *testing.T) {
		checkKey(t, boardWith(team("a", "k", "k")), "k", "a")
	})
	t.Run("an empty key admits nobody", func(t *testing.T) {
		checkKey(t, boardWith(team("a", "")), "", "-")
	})
	t.Run("without teams no key is needed", func(t *testing.T) {
		b := boardWith()
		checkKey(t, b, "", "")
		checkKey(t, b, "any", "")
		is.New(t).True(!b.NeedsKeys())
	})
	t.Run("teams of which none is usable admit nobody", func(t *testing.T) {
		b := New()
		b.PutConfig(Config{Version: 1, Closed: true})
		checkKey(t, b, "", "-")
		checkKey(t, b, "any", "-")
		is.New(t).True(b.NeedsKeys())
	})
	t.Run("without a configuration nobody is admitted", func(t *testing.T) { checkKey(t, New(), "k", "-") })
}

func TestAuthorizePublicQueue(t *testing.T) {
	b := boardWith(team("a", "k", "both"), team("b", "both"))
	for key, want := range map[string]string{"": "", "unknown": "", "k": "a", "both": ""} {
		t.Run("key "+key, func(t *testing.T) {
			is := is.New(t)
			got, ok := b.Authorize(Queue{Public: true}, key)
			is.True(ok)
			is.Equal(got, want)
		})
	}
}

// A removed key must not come back when an older configuration arrives after the one that removed it.
func TestKeysOfOvertakenConfiguration(t *testing.T) {
	is := is.New(t)
	b := boardWith(team("a", "old"))
	is.True(b.PutConfig(Config{Version: 3, Teams: []Team{team("a", "new")}}))
	is.True(!b.PutConfig(Config{Version: 2, Teams: []Team{team("a", "old", "new")}}))
	checkKey(t, b, "old", "-")
	checkKey(t, b, "new", "a")
	is.True(b.PutConfig(Config{Version: 4, Teams: []Team{team("b", "old")}}))
	checkKey(t, b, "old", "b")
	checkKey(t, b, "new", "-")
	is.True(b.PutConfig(Config{Version: 5}))
	checkKey(t, b, "", "")
}

// A fault of one team must be readable from the error of all.
func TestFaults(t *testing.T) {
	is := is.New(t)
	l := Faults{}
	for i := range maxFaultsShown + 2 {
		l = append(l, NewFaultError(fmt.Sprint("t", i), "weight", "is negative"))
	}
	is.Equal(l[:1].Error(), `team "t0": field "weight" is negative`)
	is.Equal(l.Unwrap()[1].Error(), `team "t1": field "weight" is negative`)
	is.Equal(l.Error()[len(l.Error())-6:], "2 more")
}

// BenchmarkAuthorize measures the check of one key among 10,000 keys of 20 teams.
func BenchmarkAuthorize(b *testing.B) {
	const teams, keys = 20, 10_000
	l := make([]Team, teams)
	key := func(i int) string { return fmt.Sprintf("key-%028d", i) }
	for i := range keys {
		t := &l[i%teams]
		t.Name, t.Keys = fmt.Sprint("team-", i%teams), append(t.Keys, key(i))
	}
	measure := func(name string, x *Board, key string, admitted bool) {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := x.Authorize(Queue{}, key); ok != admitted {
					b.Fatal("wrong result")
				}
			}
		})
	}
	measure("known key", boardWith(l...), key(keys/2), true)
	measure("unknown key", boardWith(l...), key(keys), false)
	measure("no teams", boardWith(), "", true)
	b.Run("new configuration", func(b *testing.B) {
		for b.Loop() {
			boardWith(l...)
		}
	})
}
