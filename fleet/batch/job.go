package batch

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Limits of a job. A job beyond them is refused as malformed.
const (
	maxSteps     = 64     // steps of one job
	maxTasks     = 10_000 // tasks of one step
	maxJobTasks  = 50_000 // tasks of all steps of a job, and of its open rounds together: they take memory at each owner in turn
	maxSpecBytes = 4_000
	maxRounds    = 100_000
	idBytes      = 16
)

// Size is the amount of each resource that a task needs or a worker has.
type Size struct {
	CPU   int64 `json:"cpu,omitempty"` // thousandths of a core
	MemMB int64 `json:"memMb,omitempty"`
	GPU   int64 `json:"gpu,omitempty"`
}

// Fits reports whether s fits into room.
func (s Size) Fits(room Size) bool {
	return s.CPU <= room.CPU && s.MemMB <= room.MemMB && s.GPU <= room.GPU
}

func (s Size) plus(o Size) Size {
	return Size{CPU: s.CPU + o.CPU, MemMB: s.MemMB + o.MemMB, GPU: s.GPU + o.GPU}
}

func (s Size) minus(o Size) Size {
	return Size{CPU: s.CPU - o.CPU, MemMB: s.MemMB - o.MemMB, GPU: s.GPU - o.GPU}
}

// Step is a group of identical tasks of a job.
type Step struct {
	Count       int    `json:"count"`
	Size        Size   `json:"size"`
	EstimateMs  int64  `json:"estimateMs,omitempty"` // estimated run time of one task.
	After       []int  `json:"after,omitempty"`      // indexes of the steps that must be done first.
	Checkpoints bool   `json:"checkpoints,omitempty"`
	Gang        bool   `json:"gang,omitempty"`      // the tasks run only together.
	SameRack    bool   `json:"sameRack,omitempty"`  // the tasks are slower when spread over several racks.
	Label       string `json:"label,omitempty"`     // label that the worker must have.
	DataRack    string `json:"dataRack,omitempty"`  // rack of the data; the tasks are slower on other racks.
	PerWorker   int    `json:"perWorker,omitempty"` // most tasks on one worker; 0 means no limit.
	Copies      bool   `json:"copies,omitempty"`    // a task may have speculative copies.
	Lasting     bool   `json:"lasting,omitempty"`   // the tasks run until the job is canceled.
	Fills       bool   `json:"fills,omitempty"`     // the tasks use only CPU that other tasks leave free.
	Image       string `json:"image,omitempty"`     // tasks with the same image behave alike.
	TargetMs    int64  `json:"targetMs,omitempty"`  // limit of the tail latency of a lasting task.
	MayMiss     int    `json:"mayMiss,omitempty"`   // most tasks that the owner may have stopped at once.
}

// Job is a job as its caller submits it.
type Job struct {
	ID               string  `json:"id"`
	Queue            string  `json:"queue"`
	Service          string  `json:"service"`
	Team             string  `json:"team,omitempty"`     // of its caller; empty without teams.
	Priority         int     `json:"priority,omitempty"` // 0 is the most urgent.
	Attempts         int     `json:"attempts,omitempty"` // the job fails once a task has failed this often.
	ObjectiveFactor  float64 `json:"stretch,omitempty"`  // objective as a multiple of the longest chain of steps.
	ObjectiveExtraMs int64   `json:"aimMs,omitempty"`    // added to the objective.
	Spec             string  `json:"spec,omitempty"`
	Steps            []Step  `json:"steps"`
	FirstMs          int64   `json:"firstMs,omitempty"` // Unix time in ms of the first round.
	EveryMs          int64   `json:"everyMs,omitempty"`
	Rounds           int     `json:"rounds,omitempty"` // 0 for a job that runs once, immediately.
	TicketMs         int64   `json:"ticketMs,omitempty"`
	Advised          bool    `json:"advised,omitempty"` // a task may start only on a worker that has a ticket for its step.
}

// FieldError reports a field of a submission whose value is not allowed.
type FieldError struct {
	Field string
	Value string
	Want  string
}

// Error returns the field, its value and the allowed values.
func (e *FieldError) Error() string {
	return fmt.Sprintf("field %q is %s, want %s", e.Field, e.Value, e.Want)
}

// ValidID reports whether id is 16 hexadecimal digits.
func ValidID(id string) bool {
	return len(id) == idBytes && strings.IndexFunc(id, func(r rune) bool {
		return !strings.ContainsRune("0123456789abcdefABCDEF", r)
	}) < 0
}

// Validate returns a FieldError for the first field whose value is not allowed.
func (j Job) Validate() error {
	switch {
	case !ValidID(j.ID):
		return &FieldError{"id", strconv.Quote(j.ID), "16 hexadecimal digits"}
	case len(j.Spec) > maxSpecBytes:
		return &FieldError{"spec", fmt.Sprintf("%d bytes", len(j.Spec)), "at most 4000 bytes"}
	case len(j.Steps) == 0 || len(j.Steps) > maxSteps:
		return &FieldError{"steps", strconv.Itoa(len(j.Steps)), "1 to 64 steps"}
	case j.Rounds < 0 || j.Rounds > maxRounds:
		return &FieldError{"rounds", strconv.Itoa(j.Rounds), "0 to 100000"}
	case j.Rounds > 1 && j.EveryMs <= 0:
		return &FieldError{"everyMs", strconv.FormatInt(j.EveryMs, 10), "over 0 with several rounds"}
	}
	for i, s := range j.Steps {
		if err := s.validate(i); err != nil {
			return err
		}
	}
	if n := j.tasks(); n > maxJobTasks {
		return &FieldError{"steps", fmt.Sprintf("%d tasks", n), "at most 50000 tasks"}
	}
	return nil
}

// tasks returns the number of tasks of one round.
func (j Job) tasks() int {
	n := 0
	for _, s := range j.Steps {
		n += s.Count
	}
	return n
}

func (s Step) validate(i int) error {
	f := func(n string) string { return fmt.Sprintf("steps[%d].%s", i, n) }
	if s.Count < 1 || s.Count > maxTasks {
		return &FieldError{f("count"), strconv.Itoa(s.Count), "1 to 10000"}
	}
	for _, n := range []int64{s.Size.CPU, s.Size.MemMB, s.Size.GPU, s.EstimateMs, s.TargetMs, int64(s.PerWorker), int64(s.MayMiss)} {
		if n < 0 {
			return &FieldError{f("size"), strconv.FormatInt(n, 10), "no negative number"}
		}
	}
	if slices.ContainsFunc(s.After, func(a int) bool { return a < 0 || a >= i }) {
		return &FieldError{f("after"), fmt.Sprint(s.After), "numbers of earlier steps"}
	}
	return nil
}

// TaskName identifies one task of a job.
type TaskName struct {
	Job                string
	Round, Step, Index int
}

// String returns the name as JOB.ROUND.STEP.INDEX.
func (n TaskName) String() string {
	b := make([]byte, 0, idBytes+12)
	b = append(b, n.Job...)
	for _, i := range []int{n.Round, n.Step, n.Index} {
		b = strconv.AppendInt(append(b, '.'), int64(i), 10)
	}
	return string(b)
}

// ParseTaskName parses a name of the form JOB.ROUND.STEP.INDEX.
func ParseTaskName(s string) (TaskName, error) {
	var n TaskName
	rest := s
	for i, d := range []*int{&n.Index, &n.Step, &n.Round} {
		dot := strings.LastIndexByte(rest, '.')
		if dot < 0 {
			return TaskName{}, fmt.Errorf("task name %q does not have four parts", s)
		}
		v, err := strconv.Atoi(rest[dot+1:])
		if err != nil || v < 0 {
			return TaskName{}, fmt.Errorf("part %d of task name %q is not a number", 4-i, s)
		}
		*d, rest = v, rest[:dot]
	}
	if rest == "" || strings.Contains(rest, ".") {
		return TaskName{}, fmt.Errorf("task name %q does not have four parts", s)
	}
	n.Job = rest
	return n, nil
}
