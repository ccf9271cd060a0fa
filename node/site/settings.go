package site

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"

	"github.com/rotisserie/eris"
)

// Settings holds the settings of one entry on a platform.
type Settings struct {
	Name          string  `json:"name"`
	DataCentre    string  `json:"dataCentre"`
	CallerAddr    string  `json:"callerAddr"`
	ReadyAddr     string  `json:"readyAddr"`
	PeerAddr      string  `json:"peerAddr"`
	MetricsAddr   string  `json:"metricsAddr"`
	StoreAddr     string  `json:"storeAddr"`
	MachinesAddr  string  `json:"machinesAddr"`
	AdviceAddr    string  `json:"adviceAddr"`
	LeaseMaxMs    int64   `json:"leaseMaxMs"`          // longest lease that workers grant, ms.
	StatusSecs    int64   `json:"statusSecs"`          // how long the state of an ended job stays available, seconds.
	DutyGapMs     int64   `json:"dutyGapMs"`           // least time between orders of two owners to one machine, ms.
	GraceSecs     float64 `json:"graceSecs"`           // from SIGTERM until the process is killed, seconds.
	Cores         float64 `json:"cores"`               // processor cores that the entry may use; entries with more cores are preferred as owner.
	MemoryMB      float64 `json:"memoryMb"`            // memory that the process may use, MB.
	OrdersPerSec  float64 `json:"machineOrdersPerSec"` // orders to machines that the platform takes per second; 0 means the default.
	LinkMbps      float64 `json:"linkMbps"`            // bandwidth of the network link, Mbit/s; 0 means that it is not known.
	HelperWorkers int     `json:"helperWorkers"`       // workers per helper, an entry that makes calls for the owner; 0 means the default.
	LookAhead     bool    `json:"lookAhead"`           // placement reserves room by the expected ends of runs.
	WorkerSpeed   bool    `json:"workerSpeed"`         // learn the speeds of workers from the progress of their tasks.
	LogLevel      string  `json:"logLevel"`
}

// defaultHelperWorkers is about the largest number of workers that an entry of 0.4 cores can call in a busy round.
const defaultHelperWorkers = 60

// workersPerMbps is the number of workers that a helper can call for each Mbit/s of its link. A busy worker takes about
// 0.16 Mbit/s: some starts, each with the job's specification, and the answers to its polls.
const workersPerMbps = 6

// defaultHelpers returns the number of workers per helper for an entry with the given link. Helpers are as large as the owner.
func defaultHelpers(linkMbps float64) int {
	if linkMbps <= 0 {
		return defaultHelperWorkers
	}
	return min(max(int(workersPerMbps*linkMbps), 1), defaultHelperWorkers)
}

// maxFileBytes is the largest size of a settings file.
const maxFileBytes = 64 << 10

// Load reads the settings file at path. Its error names the first field that is not allowed.
func Load(path string) (Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "site: read settings")
	}
	return Parse(b)
}

// Parse decodes and checks settings in JSON. Unknown fields are errors.
func Parse(b []byte) (Settings, error) {
	if len(b) > maxFileBytes {
		return Settings{}, eris.Errorf("site: settings are %d bytes, want at most %d", len(b), maxFileBytes)
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	var s Settings
	if err := d.Decode(&s); err != nil {
		return Settings{}, eris.Wrap(err, "site: settings")
	}
	if s.HelperWorkers == 0 {
		s.HelperWorkers = defaultHelpers(s.LinkMbps)
	}
	return s, s.check()
}

// check returns an error that names the first field that is missing or not over 0.
func (s Settings) check() error {
	for _, f := range []struct{ name, value string }{
		{"name", s.Name}, {"callerAddr", s.CallerAddr}, {"readyAddr", s.ReadyAddr}, {"peerAddr", s.PeerAddr},
		{"storeAddr", s.StoreAddr}, {"machinesAddr", s.MachinesAddr},
	} {
		if f.value == "" {
			return eris.Errorf("site: field %q is missing", f.name)
		}
	}
	for _, f := range []struct {
		name  string
		value float64
	}{
		{"leaseMaxMs", float64(s.LeaseMaxMs)}, {"statusSecs", float64(s.StatusSecs)},
		{"cores", s.Cores}, {"memoryMb", s.MemoryMB}, {"dutyGapMs", float64(s.DutyGapMs)}, {"helperWorkers", float64(s.HelperWorkers)}, {"graceSecs", s.GraceSecs},
	} {
		if f.value <= 0 {
			return eris.Errorf("site: field %q is %s, want over 0", f.name, fmt.Sprint(f.value))
		}
	}
	for _, f := range []struct {
		name  string
		value float64
	}{{"machineOrdersPerSec", s.OrdersPerSec}, {"linkMbps", s.LinkMbps}} {
		if f.value < 0 {
			return eris.Errorf("site: field %q is %s, want 0 or more", f.name, fmt.Sprint(f.value))
		}
	}
	return nil
}
