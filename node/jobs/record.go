package jobs

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strings"

	"github.com/rotisserie/eris"

	"burdockreach.dev/fleet/place"
)

// State is the state of a job.
type State string

const (
	// Waiting means that the job waits for a worker.
	Waiting State = "waiting"
	// Running means that an attempt is recorded and runs or is about to run.
	Running State = "running"
	// Done means that the job has completed successfully.
	Done State = "done"
	// GivenUp means that the job will not run. Its record holds the reason.
	GivenUp State = "givenUp"
	// Canceled means that an operator has cancelled the job.
	Canceled State = "canceled"
)

// Ended reports whether the job will not run again.
func (s State) Ended() bool { return s == Done || s == GivenUp || s == Canceled }

// Spec is a job as an operator submits it.
type Spec struct {
	ID           string  `json:"id"`
	DataCentre   string  `json:"dataCentre"`
	Pool         string  `json:"pool"`
	Team         string  `json:"team"`
	Kind         string  `json:"kind"` // jobs of one kind have similar sizes and run times.
	Cores        float64 `json:"cores"`
	MemoryMB     float64 `json:"memoryMB"`
	Accelerators int     `json:"accelerators"`
	RunMillis    int64   `json:"runMs"`
	FinishBy     int64   `json:"finishBy"` // Unix milliseconds.
	Urgent       bool    `json:"urgent"`
	RunOnce      bool    `json:"runOnce"` // two copies never run at the same time.
}

// Record is a job's document in the platform's key-value service. Times are in Unix milliseconds.
type Record struct {
	Spec            Spec       `json:"spec"`
	State           State      `json:"state"`
	CancelRequested bool       `json:"cancel"` // an operator has cancelled the job.
	Attempt         int        `json:"attempt"`
	Worker          string     `json:"worker"`
	ReservedSize    place.Size `json:"size"` // reserved for the attempt.
	Lease           int64      `json:"lease"`
	Fence           int64      `json:"fence"` // fencing token of the leader that recorded the attempt.
	Reason          string     `json:"reason"`
	SubmittedMillis int64      `json:"submitted"`
	StartedMillis   int64      `json:"started"`
	EndedMillis     int64      `json:"ended"`
}

// ErrMalformed reports a job with an invalid field.
var ErrMalformed = eris.New("jobs: malformed job")

const maxNameBytes = 64

var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]*$`)

// Check returns nil, or an error that matches ErrMalformed and names the first invalid field.
func (s Spec) Check() error {
	for _, f := range []struct{ field, value string }{
		{"id", s.ID}, {"dataCentre", s.DataCentre}, {"pool", s.Pool}, {"team", s.Team}, {"kind", s.Kind},
	} {
		if len(f.value) > maxNameBytes || !namePattern.MatchString(f.value) {
			return eris.Wrapf(ErrMalformed, "%s %q: up to %d letters, digits, dots, dashes and underscores", f.field, f.value, maxNameBytes)
		}
	}
	switch {
	case !(s.Cores > 0):
		return eris.Wrap(ErrMalformed, "cores: over 0")
	case !(s.MemoryMB > 0):
		return eris.Wrap(ErrMalformed, "memoryMB: over 0")
	case s.Accelerators < 0:
		return eris.Wrap(ErrMalformed, "accelerators: from 0")
	case s.RunMillis <= 0:
		return eris.Wrap(ErrMalformed, "runMs: over 0")
	case s.FinishBy <= 0:
		return eris.Wrap(ErrMalformed, "finishBy: over 0")
	}
	return nil
}

// job returns the spec in the placer's form.
func (s Spec) job() place.Job {
	return place.Job{
		ID: s.ID, Team: s.Team, Kind: s.Kind, RunMillis: s.RunMillis, FinishByMillis: s.FinishBy, Urgent: s.Urgent, RunOnce: s.RunOnce,
		Declared: place.Size{Cores: s.Cores, MemoryMB: s.MemoryMB, Accelerators: s.Accelerators},
	}
}

func prefix(dataCentre string) string { return "dc/" + dataCentre + "/jobs/" }

func key(dataCentre, id string) string { return prefix(dataCentre) + id }

// taskPrefix is the prefix of the ids of a data centre's tasks.
func taskPrefix(dataCentre string) string { return dataCentre + "/" }

func (r Record) taskID() string {
	return fmt.Sprintf("%s%s/%d", taskPrefix(r.Spec.DataCentre), r.Spec.ID, r.Attempt)
}

// parseTask splits a task id of the data centre into the job and the attempt.
func parseTask(dataCentre, id string) (job string, attempt int, ok bool) {
	rest, ok := strings.CutPrefix(id, taskPrefix(dataCentre))
	if !ok {
		return "", 0, false
	}
	job, number, ok := strings.Cut(rest, "/")
	if !ok {
		return "", 0, false
	}
	_, err := fmt.Sscanf(number, "%d", &attempt)
	return job, attempt, err == nil
}

func parseRecord(b []byte) (Record, error) {
	var r Record
	err := json.Unmarshal(b, &r)
	return r, eris.Wrap(err, "jobs: parse record")
}

func (r Record) marshal() ([]byte, error) {
	b, err := json.Marshal(r)
	return b, eris.Wrapf(err, "jobs: encode record of %s", r.Spec.ID)
}
