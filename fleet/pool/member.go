package pool

import "github.com/rotisserie/eris"

// State tells what a VM does for its pool.
type State int

const (
	// Serving means that the VM takes new work.
	Serving State = iota
	// Draining means that the VM takes no new work and finishes what it runs.
	Draining
	// Rebooting means that every entry has let the VM go and that it restarts.
	Rebooting
	// Out means that the platform is about to stop the VM.
	Out
	// Failed means that the VM was found dead or did not come back.
	Failed
)

// String returns the state's name in lower case.
func (s State) String() string {
	names := [...]string{"serving", "draining", "rebooting", "out", "failed"}
	if s < Serving || s > Failed {
		return "unknown"
	}
	return names[s]
}

// Member is one VM's line in the membership of its data centre.
type Member struct {
	VM    string
	Pool  string
	Rack  string
	State State
	Wave  string // the last wave that the VM has finished.
	Since int64  // time of the last change of state, Unix milliseconds.
	Op    string // id of the running reboot or move; empty while none runs.
	Doing string // the wave that the running reboot belongs to.
	To    string // the pool that a running move leads to.
	Boot  int64  // boot number before the running reboot.
	Seq   int64  // number of planned stops that have ended, with or without a reboot.
	Shut  bool   // the platform may still hold a drain of a planned stop that has ended.
}

var (
	// ErrNoVM says that the shard holds no VM of that name.
	ErrNoVM = eris.New("pool: no such VM")
	// ErrNotHere says that a VM's name belongs to another shard.
	ErrNotHere = eris.New("pool: VM belongs to another shard")
	// ErrMalformed says that a document cannot be read.
	ErrMalformed = eris.New("pool: malformed document")
	// ErrGap says that a delta starts after the version that the view holds, so a whole shard is needed.
	ErrGap = eris.New("pool: version missed")
)
