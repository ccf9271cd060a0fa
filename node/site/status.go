package site

import (
	"context"
	"encoding/json"
	"errors"
	"strings"

	"github.com/rotisserie/eris"

	"burdockreach.dev/fleet/batch"
	"burdockreach.dev/node/board"
	"burdockreach.dev/node/owner"
	"burdockreach.dev/plat/keyval"
	"burdockreach.dev/plat/lease"
)

// Status is the state of the entries and their work as read from the store.
type Status struct {
	Owner    string                   `json:"owner"` // peer address, slash and process of the holder of the claim; empty without a holder.
	Fence    int64                    `json:"fence"`
	Entries  map[string]entryInfo     `json:"entries"`          // live entries by name.
	Config   int64                    `json:"config"`           // version of the configuration; 0 when there is none.
	Faults   []string                 `json:"faults,omitempty"` // of teams in the configuration.
	Queues   map[string]QueueStatus   `json:"queues"`
	Services map[string]ServiceStatus `json:"services"`
	Waves    []WaveStatus             `json:"waves"`
	Aside    *batch.StoredAside       `json:"aside,omitempty"`  // records that the store does not take; nil if there was never one.
	Teams    *owner.StoredTeams       `json:"teams,omitempty"`  // what teams have running and waiting; nil if there were never teams.
	Unread   []string                 `json:"unread,omitempty"` // keys whose values cannot be decoded.
}

// QueueStatus counts the open jobs of one queue.
type QueueStatus struct {
	Service  string `json:"service"`
	Priority int    `json:"priority"`
	Open     int    `json:"open"` // accepted jobs that have not ended.
}

// ServiceStatus counts the workers of one service and their capacity.
type ServiceStatus struct {
	Workers  int        `json:"workers"`
	Draining int        `json:"draining"`
	Room     batch.Size `json:"room"` // capacity of all its workers together.
}

// WaveStatus is the progress of one wave.
type WaveStatus struct {
	Wave     int `json:"wave"`
	Machines int `json:"machines"`
	Begun    int `json:"begun"` // machines whose maintenance was or may have been ordered.
	Done     int `json:"done"`
}

// JobStatus holds the stored records of one job.
type JobStatus struct {
	ID       string           `json:"id"`
	Accepted *batch.StoredJob `json:"accepted,omitempty"` // nil once the job has ended, or if it was never accepted.
	Progress *batch.StoredRun `json:"progress,omitempty"` // nil until one of its tasks has ended.
}

// ReadStatus reads the status from the store once. An error names the prefix that could not be read.
func ReadStatus(ctx context.Context, p Platform) (Status, error) {
	s := Status{Entries: map[string]entryInfo{}, Queues: map[string]QueueStatus{}, Services: map[string]ServiceStatus{}}
	progress := map[int]batch.StoredWave{}
	for _, r := range []struct {
		prefix string
		add    func(keyval.Item) error
	}{
		{owner.ClaimPrefix, s.addClaim},
		{p.Format.OperatorPrefix(), func(i keyval.Item) error { return s.addOperatorDocument(p.Format, i) }},
		{p.Format.WorkersPrefix(), func(i keyval.Item) error { return s.addWorker(p.Format, i) }},
		{batch.JobPrefix, s.addJob},
		{batch.WavePrefix, func(i keyval.Item) error {
			w := batch.StoredWave{}
			err := json.Unmarshal(i.Value(), &w)
			progress[w.Number] = w
			return err
		}},
	} {
		l, _, err := p.Store.All(ctx, r.prefix)
		if err != nil {
			return s, eris.Wrapf(err, "fleet: list %q", r.prefix)
		}
		for _, i := range l {
			if r.add(i) != nil {
				s.Unread = append(s.Unread, i.Key())
			}
		}
	}
	for i, w := range s.Waves {
		s.Waves[i].Begun, s.Waves[i].Done = len(progress[w.Wave].Begun), len(progress[w.Wave].Done)
	}
	return s, nil
}

func (s *Status) addClaim(i keyval.Item) error {
	if i.Key() == owner.ClaimKey {
		var v lease.Value
		err := json.Unmarshal(i.Value(), &v)
		s.Owner, s.Fence = v.Holder, int64(i.Rev())
		return err
	}
	if i.Key() == batch.AsideKey {
		s.Aside = &batch.StoredAside{}
		return json.Unmarshal(i.Value(), s.Aside)
	}
	if i.Key() == owner.TeamsKey {
		s.Teams = &owner.StoredTeams{}
		return json.Unmarshal(i.Value(), s.Teams)
	}
	n, ok := strings.CutPrefix(i.Key(), entryPrefix)
	if !ok {
		return nil
	}
	var m entryInfo
	err := json.Unmarshal(i.Value(), &m)
	s.Entries[n] = m
	return err
}

func (s *Status) addOperatorDocument(f Format, i keyval.Item) error {
	if f.IsConfig(i.Key()) {
		c, err := f.Config(i.Value())
		s.Config = c.Version
		for _, q := range c.Queues {
			s.Queues[q.Name] = QueueStatus{Service: q.Service, Priority: q.Priority}
		}
		var faults board.Faults
		if !errors.As(err, &faults) {
			return err
		}
		for _, x := range faults {
			s.Faults = append(s.Faults, x.Error())
		}
		return nil
	}
	w, ok, err := f.Wave(i, false)
	if ok {
		s.Waves = append(s.Waves, WaveStatus{Wave: w.Number, Machines: len(w.Machines)})
	}
	return err
}

func (s *Status) addWorker(f Format, i keyval.Item) error {
	e, err := f.Entry(i)
	if err != nil {
		return err
	}
	x := s.Services[e.Service]
	x.Workers++
	if e.Draining {
		x.Draining++
	}
	x.Room = batch.Size{CPU: x.Room.CPU + e.Room.CPU, MemMB: x.Room.MemMB + e.Room.MemMB, GPU: x.Room.GPU + e.Room.GPU}
	s.Services[e.Service] = x
	return nil
}

func (s *Status) addJob(i keyval.Item) error {
	var j batch.StoredJob
	if err := json.Unmarshal(i.Value(), &j); err != nil {
		return err
	}
	q := s.Queues[j.Job.Queue]
	q.Service = j.Job.Service
	q.Open++
	s.Queues[j.Job.Queue] = q
	return nil
}

// ReadJob reads the stored records of a job. An error names the key that could not be read or decoded.
func ReadJob(ctx context.Context, p Platform, id string) (JobStatus, error) {
	s := JobStatus{ID: id}
	if !batch.ValidID(id) {
		return s, &batch.FieldError{Field: "job", Value: id, Want: "16 hexadecimal digits"}
	}
	for _, r := range []struct {
		key  string
		into func() any
	}{
		{batch.JobPrefix + id, func() any { s.Accepted = &batch.StoredJob{}; return s.Accepted }},
		{batch.RunPrefix + id, func() any { s.Progress = &batch.StoredRun{}; return s.Progress }},
	} {
		i, err := p.Store.Get(ctx, r.key)
		if err != nil {
			return s, eris.Wrapf(err, "fleet: read %q", r.key)
		}
		if !i.Found() {
			continue
		}
		if err := json.Unmarshal(i.Value(), r.into()); err != nil {
			return s, eris.Wrapf(err, "fleet: key %q", r.key)
		}
	}
	return s, nil
}
