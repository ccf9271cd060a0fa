package hosts

import "context"

// State is what the platform's lagging list says of a VM.
type State string

const (
	// Live means that the VM runs as far as the platform knows.
	Live State = "live"
	// Leaving means that the platform is about to stop the VM or is rebooting it.
	Leaving State = "leaving"
	// Gone means that the VM has stopped for good and runs nothing any more.
	Gone State = "gone"
)

// Kind tells what a VM is for.
type Kind string

const (
	// Worker is a VM that serves targets.
	Worker Kind = "worker"
	// Entry is a VM that runs an entry process.
	Entry Kind = "entry"
)

// VM is one line of the platform's list.
type VM struct {
	id, addr, dataCentre, rack, pool string
	state                            State
	kind                             Kind
	boot                             int64
	cores, memoryMB, accelerators    int
}

// ID returns the VM's name, unique in the fleet.
func (v VM) ID() string { return v.id }

// Addr returns the host:port of the target or of the entry's peer listener on the VM.
func (v VM) Addr() string { return v.addr }

// DataCentre returns the data centre that the VM stands in.
func (v VM) DataCentre() string { return v.dataCentre }

// Rack returns the failure domain inside the data centre.
func (v VM) Rack() string { return v.rack }

// Pool returns the pool that the platform last assigned the VM to.
func (v VM) Pool() string { return v.pool }

// State returns live, leaving or gone.
func (v VM) State() State { return v.state }

// Kind returns worker or entry.
func (v VM) Kind() Kind { return v.kind }

// Boot returns a number that grows with each boot of the VM.
func (v VM) Boot() int64 { return v.boot }

// Cores returns the number of processor cores.
func (v VM) Cores() int { return v.cores }

// MemoryMB returns the memory in mebibytes.
func (v VM) MemoryMB() int { return v.memoryMB }

// Accelerators returns the number of accelerators.
func (v VM) Accelerators() int { return v.accelerators }

// Wire is a VM's form in JSON, with the field names of the platform's API.
type Wire struct {
	ID           string `json:"id"`
	Addr         string `json:"addr"`
	DataCentre   string `json:"dataCentre"`
	Rack         string `json:"rack"`
	Pool         string `json:"pool"`
	State        State  `json:"state"`
	Kind         Kind   `json:"kind"`
	Boot         int64  `json:"boot"`
	Cores        int    `json:"cores"`
	MemoryMB     int    `json:"memoryMB"`
	Accelerators int    `json:"accelerators"`
}

// FromWire returns the VM that w describes.
func FromWire(w Wire) VM {
	return VM{
		id: w.ID, addr: w.Addr, dataCentre: w.DataCentre, rack: w.Rack, pool: w.Pool,
		state: w.State, kind: w.Kind, boot: w.Boot,
		cores: w.Cores, memoryMB: w.MemoryMB, accelerators: w.Accelerators,
	}
}

// Platform is what the platform does with VMs.
type Platform interface {
	// List returns every VM the platform knows; the list lags behind the truth.
	List(ctx context.Context) ([]VM, error)
	// Drain tells the platform that the VM is about to leave; Undrain takes that back.
	Drain(ctx context.Context, id string) error
	// Undrain tells the platform that the VM serves again.
	Undrain(ctx context.Context, id string) error
	// Reboot restarts the VM; calls with the same op restart it at most once.
	Reboot(ctx context.Context, id, op string) error
	// Assign puts the VM into pool on the platform's side.
	Assign(ctx context.Context, id, pool string) error
}
