package owner

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"burdockreach.dev/fleet/batch"
	"burdockreach.dev/plat/keyval"
)

// An owner that has lost the claim must not replace what its successor reports of teams.
func TestReportOfTeamsNeedsClaim(t *testing.T) {
	is := is.New(t)
	x := context.Background()
	s := keyval.NewMemory()
	f, err := s.Put(x, ClaimKey, []byte("a"), keyval.Absent, 0)
	is.NoErr(err)
	m := newTestTerm(s, f)
	is.True(m.writeTeams(x, []byte("1")))
	_, err = s.Put(x, ClaimKey, []byte("b"), f, 0)
	is.NoErr(err)
	is.True(!m.writeTeams(x, []byte("2")))
	i, err := s.Get(x, TeamsKey)
	is.NoErr(err)
	is.Equal(string(i.Value()), "1")
	_, lost := (<-m.msgs).(batch.ClaimLostMsg)
	is.True(lost)
}
