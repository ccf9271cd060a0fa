package slope

import (
	"encoding/json"
	"os"

	"github.com/rotisserie/eris"
)

// Machine describes, in general terms, the machine that ran the measurements.
type Machine struct {
	Cores    int    `json:"cores"`
	MemoryGB int    `json:"memoryGB"`
	System   string `json:"system"`
	Go       string `json:"go"`
}

// Size is the size that the system is designed for, with the assumed load.
type Size struct {
	Workers           float64 `json:"workers"`
	Accelerators      float64 `json:"accelerators"`
	Pools             float64 `json:"pools"` // with one service each
	Teams             float64 `json:"teams"`
	DataCentres       float64 `json:"dataCentres"`
	ChangesPerDay     float64 `json:"changesPerDay"`
	FailuresPerDay    float64 `json:"failuresPerDay"`
	RestartsPerDay    float64 `json:"restartsPerDay"`
	WaveDays          float64 `json:"waveDays"`          // days in which every VM is maintained once
	RequestsPerWorker float64 `json:"requestsPerWorker"` // mean requests a second of one worker
	KeyedShare        float64 `json:"keyedShare"`        // fraction of requests with an idempotency key
	EntryCores        float64 `json:"entryCores"`        // cores of one entry VM
	EntryTargetUse    float64 `json:"entryUse"`          // fraction of these cores that the mean demand may use
}

// Settings holds the defaults of those entry settings that the costs depend on.
type Settings struct {
	BeatMs          float64 `json:"beatMs"`
	TickMs          float64 `json:"tickMs"`
	WatchWaitMs     float64 `json:"watchWaitMs"`
	LeaseMs         float64 `json:"leaseMs"`
	RememberSeconds float64 `json:"rememberSeconds"`
	MaxKeys         float64 `json:"maxKeys"`
	DeadlineMs      float64 `json:"deadlineMs"`
}

// Record holds the results of one run of the measurements.
type Record struct {
	Command  string   `json:"command"`
	Machine  Machine  `json:"machine"`
	Size     Size     `json:"size"`
	Settings Settings `json:"settings"`
	Series   []Series `json:"series"`
}

// Load reads a record from a JSON file.
func Load(path string) (Record, error) {
	var r Record
	b, err := os.ReadFile(path)
	if err != nil {
		return r, eris.Wrap(err, "read record")
	}
	return r, eris.Wrapf(json.Unmarshal(b, &r), "parse %s", path)
}

// Save writes the record to a JSON file.
func (r Record) Save(path string) error {
	b, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return eris.Wrap(err, "encode record")
	}
	return eris.Wrap(os.WriteFile(path, append(b, '\n'), 0o644), "write record") //nolint:gosec // a public page.
}

// line returns the fit of the named series, or the zero line if there is no such series.
func (r Record) line(name string) Line {
	for _, s := range r.Series {
		if s.Name == name {
			return Fit(s.Points)
		}
	}
	return Line{}
}
