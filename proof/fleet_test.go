package proof

import (
	"encoding/json"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"burdockreach.dev/node/site"
	"burdockreach.dev/proof/rig"
)

// ownerTimeout is the longest time until one of the entries owns the jobs and the status lists all of them.
const ownerTimeout = 20 * time.Second

// readStatus decodes the output of the fleet command.
func (s *soak) readStatus(into any, arg ...string) {
	s.t.Helper()
	is := is.New(s.t)
	b, err := exec.Command(rig.Binary(s.t), append(append([]string{"fleet"}, arg...), "-settings", s.entries[0].settingsFile)...).Output()
	is.NoErr(err)
	is.NoErr(json.Unmarshal(b, into))
}

// waitStatus returns the status once there is an owner and all entries and services are listed, or after ownerTimeout.
func (s *soak) waitStatus() site.Status {
	s.t.Helper()
	var f site.Status
	for end := time.Now().Add(ownerTimeout); time.Now().Before(end) && (f.Owner == "" || len(f.Entries) < *soakEntries || len(f.Services) < 2); {
		s.readStatus(&f)
		time.Sleep(50 * time.Millisecond)
	}
	return f
}

// TestFleetCommand runs the fleet command against running entries and checks the status, the state of an unknown job and the
// refusal of a malformed job ID.
func TestFleetCommand(t *testing.T) {
	is := is.New(t)
	s := newSoak(t, 1)
	f := s.waitStatus()
	is.True(strings.HasPrefix(f.Owner, "127.0.0.1:"))
	is.True(f.Fence > 0)
	is.Equal(len(f.Entries), *soakEntries)
	is.Equal(f.Services["alpha"].Workers, *soakWorkers)
	is.Equal(f.Queues["beta"].Priority, 1)
	var j site.JobStatus
	s.readStatus(&j, "-job", "0123456789abcdef")
	is.True(j.Accepted == nil && j.Progress == nil)
	out, err := exec.Command(rig.Binary(t), "fleet", "-job", "x", "-settings", s.entries[0].settingsFile).CombinedOutput()
	is.True(err != nil)
	is.True(strings.Contains(string(out), `field "job" is x, want 16 hexadecimal digits`))
}
