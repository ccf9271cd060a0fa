package daemon

import (
	"burdockreach.dev/flow/sched"
	"burdockreach.dev/node/entry"
)

// Vars holds the counters and gauges of one entry process, as published on its expvar page.
type Vars struct {
	Entry    EntryVars              `json:"entry"`
	Services map[string]ServiceVars `json:"services"`
	Config   ConfigVars             `json:"config"`
	Keys     KeyVars                `json:"keys"`
	View     ViewVars               `json:"view"`
	Platform PlatformVars           `json:"platform"`
	Leader   LeaderVars             `json:"leader"`
}

// EntryVars counts callers' requests by outcome.
type EntryVars struct {
	entry.Counts
	InFlight int  `json:"inFlight"`
	Ready    bool `json:"ready"`
}

// ServiceVars holds the queues, slots and rates of one service at this entry.
type ServiceVars struct {
	QueuedUrgent     int     `json:"queuedUrgent"`
	QueuedNormal     int     `json:"queuedNormal"`
	QueuedBackground int     `json:"queuedBackground"`
	Busy             int     `json:"busySlots"`
	Idle             int     `json:"idleSlots"`
	Arrivals         float64 `json:"arrivalsPerSecond"`
	Goodput          float64 `json:"goodputPerSecond"`
	ServiceMs        float64 `json:"serviceMs"`
}

// ConfigVars identifies the configuration in force by the number of its last change.
type ConfigVars struct {
	Number int64 `json:"number"`
}

// KeyVars holds the figures of the idempotency keys kept at this entry, and the numbers of the rosters it knows and holds.
type KeyVars struct {
	Records     int   `json:"records"`
	AnswerBytes int   `json:"answerBytes"`
	Roster      int64 `json:"roster"`
	Holding     int64 `json:"holding"`
}

// ViewVars holds the version and the size of the view of the targets.
type ViewVars struct {
	Fence   int64 `json:"fence"`
	Count   int64 `json:"count"`
	Targets int   `json:"targets"`
}

// PlatformVars counts the calls to the platform's key-value service.
type PlatformVars struct {
	Reads     int64 `json:"reads"`
	Writes    int64 `json:"writes"`
	Watches   int64 `json:"watches"`
	Conflicts int64 `json:"conflicts"`
	Downs     int64 `json:"downs"`
	Unknowns  int64 `json:"unknowns"`
}

// LeaderVars holds the leader's figures. They are zero at entries that do not lead.
type LeaderVars struct {
	Leading bool  `json:"leading"`
	Moves   int64 `json:"moves"`
}

// Vars returns the current figures.
func (d *Daemon) Vars() Vars {
	v := Vars{
		Entry:    EntryVars{Counts: d.entry.Counts(), InFlight: d.entry.InFlight(), Ready: d.entry.Ready()},
		Services: make(map[string]ServiceVars),
		Config:   ConfigVars{Number: int64(d.conf.Document().Number())},
		Leader:   LeaderVars{Leading: d.loop.Stats().Leading(), Moves: d.loop.Stats().Moves()},
		Platform: PlatformVars{
			Reads: d.store.Reads(), Writes: d.store.Writes(), Watches: d.store.Watches(),
			Conflicts: d.store.Conflicts(), Downs: d.store.Downs(), Unknowns: d.store.Unknowns(),
		},
	}
	for n, s := range d.entry.Loads() {
		v.Services[n] = serviceVars(s)
	}
	w := d.views.View()
	v.View = ViewVars{Fence: w.Version().Fence, Count: w.Version().Count, Targets: w.Len()}
	v.Keys.Records, v.Keys.AnswerBytes = d.keyHolder.Size()
	v.Keys.Roster, v.Keys.Holding = d.keyHolder.Roster(d.settings.DataCentre()).Number(), d.keyHolder.Holding()
	return v
}

func serviceVars(s sched.Stats) ServiceVars {
	return ServiceVars{
		QueuedUrgent: s.Queued(sched.Urgent), QueuedNormal: s.Queued(sched.Normal), QueuedBackground: s.Queued(sched.Background),
		Busy: s.Busy(), Idle: s.Idle(), Arrivals: s.Arrivals(), Goodput: s.Goodput(),
		ServiceMs: float64(s.ServiceTime().Microseconds()) / 1000,
	}
}
