package owner

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"burdockreach.dev/fleet/batch"
	"burdockreach.dev/plat/keyval"
	"burdockreach.dev/plat/steady"
)

// TeamsKey is the key of what teams have running and waiting, for operators.
const TeamsKey = "own/teams"

// teamsInterval is the time between two writes of TeamsKey. A record of forty teams takes 8 kB.
const teamsInterval = 2 * time.Second

// StoredTeams is what teams have running and waiting.
type StoredTeams struct {
	Fence int64              `json:"fence"` // of the term.
	Count int                `json:"count"` // of all teams.
	Teams []batch.TeamStatus `json:"teams"` // those with the most waiting tasks first.
}

// reportTeams writes what teams have running and waiting, if it has changed, until ctx ends. Nothing is written without teams.
func (t *term) reportTeams(ctx context.Context) error {
	last := ""
	for ctx.Err() == nil {
		steady.Sleep(ctx, teamsInterval)
		s := StoredTeams{Fence: int64(t.fence)}
		if !t.o.withModel(ctx, func(m *batch.Model) { s.Teams, s.Count = m.Teams() }) || s.Count == 0 && last == "" {
			continue
		}
		b, err := json.Marshal(s)
		if err != nil || string(b) == last {
			continue
		}
		if t.writeTeams(ctx, b) {
			last = string(b)
		}
	}
	return nil
}

// writeTeams writes the record once, and reports whether it is stored.
func (t *term) writeTeams(ctx context.Context, b []byte) bool {
	begin := time.Now()
	_, err := t.o.store.Txn(ctx, keyval.Txn{Guards: []keyval.Guard{t.claimGuard()}, Writes: []keyval.Write{{Key: TeamsKey, Value: b}}})
	t.o.count("teams", begin, err)
	if errors.Is(err, keyval.ErrConflict) {
		t.reportClaimLost(ctx)
	}
	return err == nil
}
