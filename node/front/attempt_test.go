package front

import (
	"context"
	"sync"
	"testing"

	"github.com/matryer/is"

	"burdockreach.dev/fleet/batch"
	"burdockreach.dev/node/desk"
)

// attemptDesk records which requests the submissions belong to. Every second one gets no usable answer.
type attemptDesk struct {
	fakeDesk
	mu       sync.Mutex
	attempts []string
}

func (d *attemptDesk) Submit(_ context.Context, r *desk.SubmitRequest) (*desk.Reply, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.attempts = append(d.attempts, r.GetAttempt())
	if len(d.attempts)%2 == 1 {
		return nil, desk.OutcomeUnknownError()
	}
	return &desk.Reply{Verdict: int32(batch.Refused), RetryAfterMs: 200}, nil
}

// All calls that an entry makes for one request must be recognizable as copies, so that the owner can drop those that come after a refusal.
func TestCopiesOfRequestAreMarked(t *testing.T) {
	is := is.New(t)
	d := &attemptDesk{}
	f := newFixture(t, d, true)
	for range 2 {
		is.Equal(f.send("POST", "/a/"+id, body, 3000).StatusCode(), 503)
	}
	l := d.attempts
	is.Equal(len(l), 4)
	is.True(l[0] != "" && l[0] == l[1])
	is.True(l[2] != "" && l[2] == l[3])
	is.True(l[0] != l[2])
}
