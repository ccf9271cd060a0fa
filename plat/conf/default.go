package conf

// Defaults of the fields that a profile or a service leaves out.
const (
	// DefaultMinVMs is the least number of VMs that a pool keeps.
	DefaultMinVMs = 1
	// DefaultMaxVMs is the largest number of VMs that a pool has.
	DefaultMaxVMs = 10_000
	// DefaultMaxOut is the number of VMs that may be out of service at once.
	DefaultMaxOut = 1
	// DefaultTargetUse is the share of slots in use that pool sizing aims for.
	DefaultTargetUse = 0.7
	// DefaultDrainSeconds is the longest wait for requests in flight.
	DefaultDrainSeconds = 60
	// DefaultRebootSeconds is the longest wait for a VM to come back.
	DefaultRebootSeconds = 300
	// DefaultDeadlineMillis is the deadline of a request that names none.
	DefaultDeadlineMillis = 10_000
	// DefaultUrgentStartMillis is the time within which urgent work must start.
	DefaultUrgentStartMillis = 1_500
	// DefaultObjective is the share of requests answered in time.
	DefaultObjective = 0.999
	// DefaultMoveWeight is the cost of one VM move.
	DefaultMoveWeight = 1.0
	// DefaultBufferWeight is the cost of one spare VM for an hour.
	DefaultBufferWeight = 1.0
	// DefaultRetryBudgetPercent is the number of retries allowed per hundred first sends.
	DefaultRetryBudgetPercent = 10
	// DefaultSlots is the number of requests that one target runs at once.
	DefaultSlots = 8
	// DefaultConns is the number of connections that one target accepts.
	DefaultConns = 64
)

// WithDefaults returns p with the default in each field that is zero. SurviveRacks has no default, because zero is a valid choice.
func (p ProfileSpec) WithDefaults() ProfileSpec {
	setDefault(&p.MinVMs, DefaultMinVMs)
	setDefault(&p.MaxVMs, max(DefaultMaxVMs, p.MinVMs))
	setDefault(&p.MaxOut, DefaultMaxOut)
	setDefault(&p.TargetUse, DefaultTargetUse)
	setDefault(&p.DrainSeconds, DefaultDrainSeconds)
	setDefault(&p.RebootSeconds, DefaultRebootSeconds)
	setDefault(&p.DeadlineMillis, DefaultDeadlineMillis)
	setDefault(&p.UrgentStartMillis, DefaultUrgentStartMillis)
	setDefault(&p.Objective, DefaultObjective)
	setDefault(&p.MoveWeight, DefaultMoveWeight)
	setDefault(&p.BufferWeight, DefaultBufferWeight)
	setDefault(&p.RetryBudgetPercent, DefaultRetryBudgetPercent)
	return p
}

// WithDefaults returns s with the default in each field that is zero.
func (s ServiceSpec) WithDefaults() ServiceSpec {
	setDefault(&s.Slots, DefaultSlots)
	setDefault(&s.Conns, DefaultConns)
	return s
}

// WithDefaults returns c with its defaults filled in. The log stores them, so that its meaning does not depend on the version of
// the program that reads it.
func (c Change) WithDefaults() Change {
	if c.Profile != nil {
		p := c.Profile.WithDefaults()
		c.Profile = &p
	}
	if c.Service != nil {
		s := c.Service.WithDefaults()
		c.Service = &s
	}
	return c
}

func setDefault[T comparable](f *T, v T) {
	var zero T
	if *f == zero {
		*f = v
	}
}
