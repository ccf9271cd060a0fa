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

// TestFleetCommand runs the fleet command against running entries and checks the status, the state of an unknown job and the
// refusal of a malformed job ID.
func TestFleetCommand(t *testing.T) {
	is := is.New(t)
	s := newSoak(t, 1)
	read := func(into any, arg ...string) {
		b, err := exec.Command(rig.Binary(t), append(append([]string{"fleet"}, arg...), "-settings", s.entries[0].settingsFile)...).Output()
		is.NoErr(err)
		is.NoErr(json.Unmarshal(b, into))
	}
	var f site.Status
	for end := time.Now().Add(ownerTimeout); time.Now().Before(end) && (f.Owner == "" || len(f.Entries) < *soakEntries || len(f.Services) < 2); {
		read(&f)
		time.Sleep(50 * time.Millisecond)
	}
	is.True(strings.HasPrefix(f.Owner, "127.0.0.1:"))
	is.True(f.Fence > 0)
	is.Equal(len(f.Entries), *soakEntries)
	is.Equal(f.Services["alpha"].Workers, *soakWorkers)
	is.Equal(f.Queues["beta"].Priority, 1)
	var j site.JobStatus
	read(&j, "-job", "0123456789abcdef")
	is.True(j.Accepted == nil && j.Progress == nil)
	out, err := exec.Command(rig.Binary(t), "fleet", "-job", "x", "-settings", s.entries[0].settingsFile).CombinedOutput()
	is.True(err != nil)
	is.True(strings.Contains(string(out), `field "job" is x, want 16 hexadecimal digits`))
}
