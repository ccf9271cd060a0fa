package batch_test

import (
	"testing"

	"github.com/matryer/is"

	"burdockreach.dev/fleet/batch"
)

// A caller whose request was refused has been told that its job never runs. A copy of the same request that was held up on its way must not
// make it run; a new request for the same job may.
func TestLateCopyOfRefusedRequest(t *testing.T) {
	j := fourTaskJob()
	verdicts := func(b *harness) (l []batch.Verdict) {
		for _, r := range b.replies {
			l = append(l, r.Verdict)
		}
		return l
	}
	// refused returns a harness whose store did not take the job of the request "a" in time.
	refused := func(c batch.Config) *harness {
		b := newHarnessOf(c, "w1")
		b.Update(b.now, batch.LoadedMsg{})
		b.refusing = true
		b.Update(b.now, batch.SubmitMsg{Ref: 1, Job: j, Attempt: "a"})
		b.advance(1_000)
		b.refusing = false
		b.advance(1_000)
		return b
	}
	t.Run("a late copy", func(t *testing.T) {
		is := is.New(t)
		b := refused(batch.Config{})
		b.Update(b.now, batch.SubmitMsg{Ref: 2, Job: j, Attempt: "a"})
		b.advance(200)
		is.Equal(verdicts(b), []batch.Verdict{batch.Refused, batch.Refused})
		is.Equal(len(b.starts), 0)
	})
	t.Run("a late copy in the next term of the process", func(t *testing.T) {
		is := is.New(t)
		r := batch.NewRefusals()
		refused(batch.Config{Refusals: r})
		b := newHarnessOf(batch.Config{Refusals: r}, "w1")
		b.Update(b.now, batch.LoadedMsg{})
		b.Update(b.now, batch.SubmitMsg{Ref: 2, Job: j, Attempt: "a"})
		b.advance(200)
		is.Equal(verdicts(b), []batch.Verdict{batch.Refused})
	})
	t.Run("a new request", func(t *testing.T) {
		is := is.New(t)
		b := refused(batch.Config{})
		b.Update(b.now, batch.SubmitMsg{Ref: 2, Job: j, Attempt: "b"})
		b.advance(200)
		is.Equal(verdicts(b), []batch.Verdict{batch.Refused, batch.Accepted})
		is.Equal(len(b.starts), 4)
	})
	t.Run("a copy of a request whose job another one has handed in", func(t *testing.T) {
		is := is.New(t)
		b := refused(batch.Config{})
		b.Update(b.now, batch.SubmitMsg{Ref: 2, Job: j, Attempt: "b"})
		b.advance(200)
		b.Update(b.now, batch.SubmitMsg{Ref: 3, Job: j, Attempt: "a"})
		b.advance(200)
		is.Equal(verdicts(b), []batch.Verdict{batch.Refused, batch.Accepted, batch.Accepted})
	})
}
