package daemon

import (
	"burdockreach.dev/flow/sched"
	"burdockreach.dev/node/entry"
)

// Vars are the counters and gauges of one entry process, as its expvar page shows them.
type Vars struct {
	Entry    EntryVars              `json:"entry"`
	Services map[string]ServiceVars `json:"services"`
	Config   ConfigVars             `json:"config"`
	Keys     KeyVars                `json:"keys"`
	View     ViewVars               `json:"view"`
	Platform PlatformVars           `json:"platform"`
	Leader   LeaderVars             `json:"leader"`
}

// EntryVars count the callers' requests by their end.
type EntryVars struct {
	entry.Counts
	InFlight int  `json:"inFlight"`
	Ready    bool `json:"ready"`
}

// ServiceVars are one service's requests at this entry.
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

// ConfigVars tell the configuration in force.
type ConfigVars struct {
	Number int64 `json:"number"`
}

// KeyVars tell what is remembered of keyed requests.
type KeyVars struct {
	Records     int   `json:"records"`
	AnswerBytes int   `json:"answerBytes"`
	Roster      int64 `json:"roster"`
	Holding     int64 `json:"holding"`
}

// ViewVars tell the version of the targets' view.
type ViewVars struct {
	Fence   int64 `json:"fence"`
	Count   int64 `json:"count"`
	Targets int   `json:"targets"`
}

// PlatformVars count the calls on the platform's key-value service.
type PlatformVars struct {
	Reads     int64 `json:"reads"`
	Writes    int64 `json:"writes"`
	Watches   int64 `json:"watches"`
	Conflicts int64 `json:"conflicts"`
	Downs     int64 `json:"downs"`
	Unknowns  int64 `json:"unknowns"`
}

// LeaderVars are the leader's figures; they are zero at other entries.
type LeaderVars struct {
	Leading bool  `json:"leading"`
	Moves   int64 `json:"moves"`
}

// Vars returns the newest figures.
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
	v.Keys.Records, v.Keys.AnswerBytes = d.keeper.Len()
	v.Keys.Roster, v.Keys.Holding = d.keeper.Roster(d.settings.DataCentre()).Number(), d.keeper.Holding()
	return v
}

func serviceVars(s sched.Stats) ServiceVars {
	return ServiceVars{
		QueuedUrgent: s.Queued(sched.Urgent), QueuedNormal: s.Queued(sched.Normal), QueuedBackground: s.Queued(sched.Background),
		Busy: s.Busy(), Idle: s.Idle(), Arrivals: s.Arrivals(), Goodput: s.Goodput(),
		ServiceMs: float64(s.ServiceTime().Microseconds()) / 1000,
	}
}
