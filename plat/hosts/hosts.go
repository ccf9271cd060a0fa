package hosts

import "context"

// State is the state of a VM in the platform's list, which lags behind the actual state.
type State string

const (
	// Live means that the VM runs, as far as the platform knows.
	Live State = "live"
	// Leaving means that the platform is about to stop the VM or is rebooting it.
	Leaving State = "leaving"
	// Gone means that the VM has stopped permanently and runs nothing.
	Gone State = "gone"
)

// Kind is the purpose of a VM.
type Kind string

const (
	// Worker is a VM that runs targets.
	Worker Kind = "worker"
	// Entry is a VM that runs an entry process.
	Entry Kind = "entry"
)

// VM is an item of the platform's list of VMs.
type VM struct {
	id, addr, dataCentre, rack, pool string
	state                            State
	kind                             Kind
	boot                             int64
	cores, memoryMB, accelerators    int
}

// ID returns the VM's name, which is unique in the fleet.
func (v VM) ID() string { return v.id }

// Addr returns the host:port of the target or of the entry's peer listener on the VM.
func (v VM) Addr() string { return v.addr }

// DataCentre returns the data centre of the VM.
func (v VM) DataCentre() string { return v.dataCentre }

// Rack returns the VM's failure domain inside the data centre.
func (v VM) Rack() string { return v.rack }

// Pool returns the pool that the platform last assigned the VM to.
func (v VM) Pool() string { return v.pool }

// State returns the VM's state.
func (v VM) State() State { return v.state }

// Kind returns the VM's purpose.
func (v VM) Kind() Kind { return v.kind }

// Boot returns a number that grows with each boot of the VM.
func (v VM) Boot() int64 { return v.boot }

// Cores returns the number of processor cores.
func (v VM) Cores() int { return v.cores }

// MemoryMB returns the memory in mebibytes.
func (v VM) MemoryMB() int { return v.memoryMB }

// Accelerators returns the number of accelerators.
func (v VM) Accelerators() int { return v.accelerators }

// VMWire is the JSON form of a VM in the platform's API.
type VMWire struct {
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
func FromWire(w VMWire) VM {
	return VM{
		id: w.ID, addr: w.Addr, dataCentre: w.DataCentre, rack: w.Rack, pool: w.Pool,
		state: w.State, kind: w.Kind, boot: w.Boot,
		cores: w.Cores, memoryMB: w.MemoryMB, accelerators: w.Accelerators,
	}
}

// Platform is the set of the platform's calls about VMs.
type Platform interface {
	// List returns every VM that the platform knows. The list lags behind the actual state.
	List(ctx context.Context) ([]VM, error)
	// Drain informs the platform that the VM is about to leave. Undrain reverses it.
	Drain(ctx context.Context, id string) error
	// Undrain informs the platform that the VM serves again.
	Undrain(ctx context.Context, id string) error
	// Reboot restarts the VM. All calls with the same op together restart it at most once.
	Reboot(ctx context.Context, id, op string) error
	// Assign records on the platform that the VM belongs to pool.
	Assign(ctx context.Context, id, pool string) error
}
