package batch_test

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"burdockreach.dev/fleet/batch"
)

// submitFor submits the same job for a team.
func (b *harness) submitFor(team string, ref uint64) {
	j := batch.Job{ID: "00000000000000aa", Queue: "q", Service: "s", Team: team, Steps: []batch.Step{{Count: 1, Size: batch.Size{CPU: 1000}, EstimateMs: 100}}}
	b.Update(b.now, batch.SubmitMsg{Ref: ref, Job: j})
}

// checkTeam checks the team of the stored job and the number of accepting replies.
func (b *harness) checkTeam(t *testing.T, team string, accepted int) {
	t.Helper()
	is := is.New(t)
	var s batch.StoredJob
	is.NoErr(json.Unmarshal(b.stored[batch.JobPrefix+"00000000000000aa"], &s))
	is.Equal(s.Job.Team, team)
	is.Equal(len(b.replies), accepted)
	for _, r := range b.replies {
		is.Equal(r.Verdict, batch.Accepted)
	}
}

// A job that is submitted again keeps its first team, as its runs count towards that team.
func TestResubmittedJobKeepsTeam(t *testing.T) {
	t.Run("while it is being stored", func(t *testing.T) {
		b := newHarness("w1")
		b.holding = true
		b.submitFor("first", 1)
		b.advance(20)
		b.submitFor("second", 2)
		b.advance(20)
		b.holding = false
		b.commitHeld()
		b.advance(20)
		b.checkTeam(t, "first", 2)
	})
	t.Run("once it is stored", func(t *testing.T) {
		b := newHarness("w1")
		b.submitFor("first", 1)
		b.advance(20)
		b.submitFor("second", 2)
		b.advance(20)
		b.checkTeam(t, "first", 2)
	})
	t.Run("after a takeover", func(t *testing.T) {
		former := newHarness("w1")
		former.submitFor("first", 1)
		former.advance(20)
		var s batch.StoredJob
		v := former.stored[batch.JobPrefix+"00000000000000aa"]
		is.New(t).NoErr(json.Unmarshal(v, &s))
		b := newHarnessWith(batch.LoadedMsg{Jobs: []batch.StoredJob{s}}, "w1")
		b.stored[batch.JobPrefix+"00000000000000aa"] = v
		b.submitFor("second", 2)
		b.advance(20)
		b.checkTeam(t, "first", 1)
	})
}
