package setup_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"burdockreach.dev/node/setup"
)

var update = flag.Bool("update", false, "write docs/SETTINGS.md")

const pagePath = "../../docs/SETTINGS.md"

func validDocument() setup.Document {
	return setup.Document{
		Name: "entry-a-1", DataCentre: "a", DataCentres: []string{"a", "b"},
		CallerAddr: "127.0.0.1:7000", PeerAddr: "127.0.0.1:7001", OperatorAddr: "127.0.0.1:7002",
		PlatformAddr: "127.0.0.1:7100",
	}
}

func Example() {
	_, err := setup.Parse([]byte(`{"name": "A 1", "dataCentre": "b", "dataCentres": ["a"], "tickMs": 7, "colour": "red",
		"callerAddr": "localhost:1", "peerAddr": "10.0.0.1:2", "operatorAddr": "10.0.0.1:3", "platformAddr": "10.0.0.9:1"}`))
	fmt.Println(err)
	// Output:
	// name: "A 1" is not allowed; allowed: 1 to 63 letters, digits, '-', '_' or '.'
	// callerAddr: "localhost:1" is not allowed; allowed: an IP number and a port from 1 to 65535, as 10.0.0.1:7000
	// tickMs: 7 is not allowed; allowed: a whole number from 50 to 10000
	// colour: unknown field is not allowed; allowed: the fields of docs/SETTINGS.md
	// dataCentre: "b" is not allowed; allowed: one of dataCentres
}

func TestDefaults(t *testing.T) {
	i := is.New(t)
	s, err := setup.Parse([]byte(`{"name":"entry-a-1","dataCentre":"a","dataCentres":["a","b"],"callerAddr":"127.0.0.1:7000",
		"peerAddr":"127.0.0.1:7001","operatorAddr":"127.0.0.1:7002","platformAddr":"127.0.0.1:7100"}`))
	i.NoErr(err)
	i.Equal(s.DrainTimeout(), 30*time.Second)
	i.Equal(s.HeartbeatInterval(), 500*time.Millisecond)
	i.Equal(s.MaxBodyBytes(), 1<<20)
	i.Equal(s.LogLevel(), "info")
	i.Equal(len(s.PeerAddrs()), 0)
}

// A drain wait of 0 in a Document means no wait.
func TestNoDrainWait(t *testing.T) {
	i := is.New(t)
	d := validDocument()
	d.DrainWaitMs = 0
	b, err := json.Marshal(d)
	i.NoErr(err)
	s, err := setup.Parse(b)
	i.NoErr(err)
	i.Equal(s.DrainTimeout(), time.Duration(0))
}

func TestFaults(t *testing.T) {
	for name, c := range map[string]struct {
		in    string
		field string
	}{
		"not json":     {`{`, "file"},
		"trailing":     {`{} {}`, "file"},
		"null":         {`{"tickMs": null}`, "tickMs"},
		"zero":         {`{"tickMs": 0}`, "tickMs"},
		"text":         {`{"tickMs": "5"}`, "tickMs"},
		"fraction":     {`{"tickMs": 100.5}`, "tickMs"},
		"other case":   {`{"TickMs": 100}`, "TickMs"},
		"missing":      {`{}`, "platformAddr"},
		"port zero":    {`{"peerAddr": "10.0.0.1:0"}`, "peerAddr"},
		"twice":        {`{"peerAddrs": ["10.0.0.1:1", "10.0.0.1:1"]}`, "peerAddrs"},
		"digest":       {`{"operatorTokenDigests": ["secret"]}`, "operatorTokenDigests"},
		"lease length": {`{"leaderLeaseMs": 1000, "tickMs": 1000}`, "leaderLeaseMs"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := setup.Parse([]byte(c.in))
			assertFault(t, err, c.field)
		})
	}
}

func TestLoadMissing(t *testing.T) {
	_, err := setup.Load(filepath.Join(t.TempDir(), "none.json"))
	is.New(t).True(errors.Is(err, os.ErrNotExist))
}

func TestLogger(t *testing.T) {
	i := is.New(t)
	var b bytes.Buffer
	l, err := setup.NewLogger(&b, "info", "entry-a-1")
	i.NoErr(err)
	l.Debug().Msg("hidden")
	l.Info().Str("peer", "10.0.0.1:9").Str("why", "two words").Str("step", "send").Int("n", 4).Msg("refused")
	i.Equal(strings.Count(b.String(), "\n"), 1)
	i.True(strings.HasSuffix(b.String(), "level=info event=refused entry=entry-a-1 step=send peer=10.0.0.1:9 n=4 why=\"two words\"\n"))
	timestamp, _, _ := strings.Cut(strings.TrimPrefix(b.String(), "time="), " ")
	_, err = time.Parse(time.RFC3339, timestamp)
	i.NoErr(err)
	i.Equal(len(timestamp), len("2026-03-02T06:00:00.000Z"))
	_, err = setup.NewLogger(&b, "loud", "x")
	assertFault(t, err, "logLevel")
}

func TestPage(t *testing.T) {
	i := is.New(t)
	if *update {
		i.NoErr(os.WriteFile(pagePath, []byte(setup.SettingsPage()), 0o644))
	}
	b, err := os.ReadFile(pagePath)
	i.NoErr(err)
	i.Equal(string(b), setup.SettingsPage())
}

func assertFault(t *testing.T, err error, field string) {
	t.Helper()
	var e *setup.Error
	if !errors.As(err, &e) {
		t.Fatalf("got %v, want *setup.Error", err)
	}
	for _, f := range e.Faults() {
		if f.Field() == field {
			return
		}
	}
	t.Fatalf("no fault of %s in:\n%v", field, err)
}
