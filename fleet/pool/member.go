package pool

import "github.com/rotisserie/eris"

// State is the state of a VM in its pool.
type State int

const (
	// Serving means that the VM takes new work.
	Serving State = iota
	// Draining means that the VM takes no new work and finishes what it runs.
	Draining
	// Rebooting means that no entry has requests in flight to the VM and that it restarts.
	Rebooting
	// Out means that the platform is about to stop the VM.
	Out
	// Failed means that the VM was found dead or did not come back from a reboot.
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

// Member is the entry of one VM in the membership of its data centre.
type Member struct {
	VM           string
	Pool         string
	Rack         string
	State        State
	FinishedWave string // the last wave that the VM has finished.
	StateSince   int64  // time of the last change of state, Unix milliseconds.
	Op           string // id of the running planned stop, a reboot or a move; empty while none runs.
	RunningWave  string // the wave that the running reboot belongs to.
	MoveTo       string // the destination pool of the running move.
	BootBefore   int64  // boot number before the running reboot.
	EndedStops   int64  // number of planned stops that have ended, with or without a reboot.
	MaybeDrained bool   // the platform may still show a drain of a planned stop that has ended.
}

var (
	// ErrNoVM means that the shard holds no VM of that name.
	ErrNoVM = eris.New("pool: no such VM")
	// ErrWrongShard means that a VM's name belongs to another shard.
	ErrWrongShard = eris.New("pool: VM belongs to another shard")
	// ErrMalformed means that a document or delta is not valid.
	ErrMalformed = eris.New("pool: malformed document")
	// ErrGap means that a delta does not start at the version that the view holds, so a full shard is needed.
	ErrGap = eris.New("pool: version missed")
)
