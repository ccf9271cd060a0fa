package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"crypto/sha256"
	"encoding/hex"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"burdockreach.dev/node/burn"
	"burdockreach.dev/node/oper"
	"burdockreach.dev/plat/conf"
)

const (
	operatorToken = "operators-token"
	teamToken     = "a-token-of-the-desk-team"
)

// fakeEntry implements the interfaces that the operators' API needs of an entry. All fakes share one configuration.
type fakeEntry struct {
	*sharedConfig
	name         string
	applied      func(n conf.Number) conf.Number // number of the newest change in force here, given the newest of all; nil: the same
	peers        []oper.Entry
	losesAnswers bool // commits changes but reports each outcome as unknown
}

// sharedConfig is the configuration that all fake entries share.
type sharedConfig struct {
	mu  sync.Mutex
	doc *conf.Document
	log []conf.Change
}

func (s *fakeEntry) Document() *conf.Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.applied == nil {
		return s.doc
	}
	d := conf.NewDocument()
	for _, g := range s.log[:s.applied(s.doc.Number())] {
		d, _ = d.Apply(g)
	}
	return d
}

func (s *fakeEntry) ChangeAt(n conf.Number) (conf.Change, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n < 1 || int(n) > len(s.log) {
		return conf.Change{}, false
	}
	return s.log[n-1], true
}

func (s *fakeEntry) Commit(_ context.Context, g conf.Change) (conf.Number, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g.Number = s.doc.Number() + 1
	d, err := s.doc.Apply(g)
	if err != nil {
		return 0, eris.Wrap(err, "commit")
	}
	s.doc, s.log = d, append(s.log, g)
	if s.losesAnswers {
		return 0, eris.Wrap(conf.ErrUnsettled, "commit")
	}
	return g.Number, nil
}

func (s *fakeEntry) Settle(_ context.Context, op string) (conf.Number, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.losesAnswers {
		return 0, eris.Wrap(conf.ErrUnsettled, "settle")
	}
	for _, g := range s.log {
		if g.Op == op {
			return g.Number, nil
		}
	}
	return 0, eris.Wrap(conf.ErrNotAccepted, "settle")
}

func (s *fakeEntry) VMs() []oper.VM {
	return []oper.VM{{ID: "vm-1", Pool: "kitchen", State: "serving by " + s.name, DataCentre: s.name[:1]}}
}

func (s *fakeEntry) Entries() []oper.Entry {
	self := oper.Entry{Name: s.name, DataCentre: s.name[:1], Self: true, Reachable: true, Applied: s.Document().Number()}
	return append([]oper.Entry{self}, s.peers...)
}

func (s *fakeEntry) Report(now time.Time) burn.Report {
	b := burn.New(s.name, s.name[:1], now)
	b.Update(burn.ObjectiveMsg{Service: "orders", Profile: "gold", Objective: 0.9})
	b.Update(burn.CountMsg{Now: now, Key: burn.SeriesKey{Service: "orders", Class: "urgent"}, Counts: burn.Counts{Good: 9, Late: 1}})
	b.Update(burn.TickMsg{Now: now})
	return b.Report()
}

// testCluster serves fake entries through real operators' APIs on loopback.
type testCluster struct {
	t     *testing.T
	dir   string
	addrs []string
}

func newTestCluster(t *testing.T, fakes ...*fakeEntry) *testCluster {
	t.Helper()
	s := &testCluster{t: t, dir: t.TempDir()}
	d := sha256.Sum256([]byte(operatorToken))
	c, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	all := &sharedConfig{doc: conf.NewDocument()}
	for _, f := range fakes {
		f.sharedConfig = all
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s.addrs = append(s.addrs, l.Addr().String())
		a := oper.New(f.name, []string{hex.EncodeToString(d[:])}, f, f, f)
		g.Go(func() error { return a.ServeListener(c, l) })
	}
	t.Cleanup(func() {
		cancel()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	})
	s.write("operator", operatorToken+"\n")
	return s
}

// write creates a file in the cluster's directory and returns its path.
func (s *testCluster) write(name, text string) string {
	p := filepath.Join(s.dir, name)
	if err := os.WriteFile(p, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return p
}

// run executes the command line words, with the flags for the entries inserted after the command's name.
// It returns the exit status, and standard and error output together.
func (s *testCluster) run(stdin string, words ...string) (int, string) {
	s.t.Helper()
	i := 1
	for i < len(words) && !strings.HasPrefix(words[i], "-") && i < 2 && !strings.Contains("approve withdraw", words[0]) {
		i++
	}
	clientFlags := []string{"-entries", strings.Join(s.addrs, ","), "-operator-token-file", filepath.Join(s.dir, "operator")}
	args := append(append(append([]string{}, words[:i]...), clientFlags...), words[i:]...)
	var b bytes.Buffer
	n := newApp(strings.NewReader(stdin), &b, &b).run(context.Background(), args)
	return int(n), b.String()
}

// assertRun runs the command line and checks the exit status and that the output contains part.
func (s *testCluster) assertRun(want int, part string, words ...string) {
	s.t.Helper()
	if got, out := s.run(teamToken+"\n", words...); got != want || !strings.Contains(out, part) {
		s.t.Fatalf("%v: status %d, want %d with %q in:\n%s", words, got, want, part, out)
	}
}

func TestOperatorCommands(t *testing.T) {
	s := newTestCluster(t, &fakeEntry{name: "a1"}, &fakeEntry{name: "b1"})
	s.assertRun(0, "accepted as change 1", "profile", "put", "-max-out", "2", "-objective", "0.99", "gold")
	s.assertRun(0, "accepted as change 2", "pool", "put", "kitchen")
	s.assertRun(0, "accepted as change 3", "service", "put", "-profile", "gold", "-pool", "kitchen", "orders")
	s.assertRun(0, "accepted as change 4", "team", "put", "-token-file", "-", "-quota", "50", "desk")
	s.assertRun(0, "change 5 is in force on all 2 entries", "approve", "-wait", "5s", "desk", "orders")
	s.assertRun(0, "change 5 is in force on all 2 entries", "wait", "-latest")
	s.assertRun(0, "accepted as change 6", "profile", "put", "-max-out", "3", "gold")
	s.assertRun(0, "gold     1        10000    3", "profile", "list")
	s.assertRun(0, `"objective": 0.99`, "profile", "show", "gold") // not changed by the second put
	s.assertRun(0, "desk  orders   5", "approval", "list", "-team", "desk")
	s.assertRun(0, "accepted as change 7", "wave", "put", "-pools", "kitchen", "week-9")
	s.assertRun(0, "week-9  kitchen  no", "wave", "list")
	s.assertRun(0, "accepted as change 8", "withdraw", "desk", "orders")
	s.assertRun(1, "not accepted: not valid: approval: desk/orders is not allowed; allowed: an existing approval", "withdraw", "desk", "orders")
	s.assertRun(1, "a profile that no service uses", "profile", "drop", "gold")
	s.assertRun(0, "accepted as change 9", "service", "drop", "orders")
	s.assertRun(0, "serving by a1", "vm", "list", "-pool", "kitchen")
	s.assertRun(0, "a1     a            yes", "status")
	s.assertRun(0, "orders   urgent  gold     90%        20        2     0       0        100.0%", "report")
}

func TestConfigurationHoldsOnlyTokenDigests(t *testing.T) {
	i := is.New(t)
	s := newTestCluster(t, &fakeEntry{name: "a1"})
	_, out := s.run(teamToken, "team", "put", "-token-file", "-", "desk")
	_, list := s.run("", "team", "show", "-json", "desk")
	d := sha256.Sum256([]byte(teamToken))
	i.True(strings.Contains(list, hex.EncodeToString(d[:])))
	i.True(!strings.Contains(out+list, teamToken))
	s.assertRun(2, "a new team needs -token-file", "team", "put", "till")
	s.assertRun(0, "accepted as change 2", "team", "put", "-quota", "7", "desk") // keeps the token
	i.True(!strings.Contains(list, operatorToken))
}

// Entry a1 is behind and shows the pool as of change 1. A put that starts from that state must not overwrite change 2.
func TestConcurrentEditsAreRefused(t *testing.T) {
	s := newTestCluster(t, &fakeEntry{name: "a1", applied: func(n conf.Number) conf.Number { return min(n, 1) }}, &fakeEntry{name: "b1"})
	s.assertRun(0, "accepted as change 1", "pool", "put", "kitchen")
	s.assertRun(0, "accepted as change 2", "pool", "put", "-spare", "kitchen")
	s.assertRun(1, "not accepted: not valid: expect: 1 is not allowed; allowed: 2, the object's last change", "pool", "put", "-spare=false", "kitchen")
}

// Entries that lose their answers leave the outcome of a change unknown. The command then prints how to ask again,
// and another entry can tell the outcome.
func TestUnknownOutcomes(t *testing.T) {
	a, b := &fakeEntry{name: "a1", losesAnswers: true}, &fakeEntry{name: "b1", losesAnswers: true}
	s := newTestCluster(t, a, b)
	s.assertRun(1, "ask again with: burdockreach change -op op-7", "pool", "put", "-op", "op-7", "kitchen")
	b.losesAnswers = false
	s.assertRun(0, "accepted as change 1", "change", "-op", "op-7")
	s.assertRun(0, "accepted as change 2", "pool", "put", "oven") // b1 tells the outcome that a1 lost
	s.assertRun(1, "not accepted", "change", "-op", "never")
}

func TestWaitNamesEntriesBehind(t *testing.T) {
	behind := &fakeEntry{name: "b1", applied: func(conf.Number) conf.Number { return 0 }}
	s := newTestCluster(t, &fakeEntry{name: "a1", peers: []oper.Entry{{Name: "b1"}, {Name: "c1", Reachable: false}}}, behind)
	s.assertRun(0, "accepted as change 1", "pool", "put", "kitchen")
	s.assertRun(1, "is not in force everywhere after 200ms: b1 has 0; c1 is not heard by a1", "wait", "-change", "1", "-longest", "200ms")
}

func TestUnreachableEntries(t *testing.T) {
	s := newTestCluster(t, &fakeEntry{name: "a1"})
	up := s.addrs[0]
	s.addrs = []string{"127.0.0.1:1", up}
	s.assertRun(0, "accepted as change 1", "pool", "put", "kitchen")
	s.assertRun(0, "not heard: 127.0.0.1:1: entry cannot be reached", "report")
	s.assertRun(0, "no answer: 127.0.0.1:1: entry cannot be reached", "vm", "list")
	s.addrs = []string{"127.0.0.1:1"}
	s.assertRun(1, "no entry answered: 127.0.0.1:1", "report")
	s.assertRun(1, "entry cannot be reached", "wait", "-latest")
	s.assertRun(1, "not accepted: no entry was reached: 127.0.0.1:1", "pool", "drop", "kitchen")
}

func TestWrongCommandLines(t *testing.T) {
	s := newTestCluster(t, &fakeEntry{name: "a1"})
	good := map[string]any{"name": "a1", "dataCentre": "a", "dataCentres": []string{"a"}, "callerAddr": "127.0.0.1:1",
		"peerAddr": "127.0.0.1:2", "operatorAddr": "127.0.0.1:3", "platformAddr": "127.0.0.1:4"}
	b, _ := json.Marshal(good)
	allowed := s.write("good.json", string(b))
	good["tickMs"] = 1
	b, _ = json.Marshal(good)
	bad := s.write("bad.json", string(b))
	for _, c := range []struct {
		status int
		part   string
		words  []string
	}{
		{0, "allowed, for entry a1 of data centre a", []string{"check", allowed}},
		{2, "bad.json: tickMs: 1 is not allowed; allowed: a whole number from 50 to 10000", []string{"check", bad}},
		{2, "no such file", []string{"check", "none.json"}},
		{2, "tickMs", []string{"entry", "-settings", bad}},
		{2, "-settings is missing", []string{"entry"}},
		{2, "Usage: burdockreach", []string{"none"}},
		{2, `profile "none" is not a command`, []string{"profile", "none"}},
		{2, "flag provided but not defined: -none", []string{"profile", "put", "-none", "x"}},
		{2, "invalid value", []string{"profile", "put", "-max-out", "x", "gold"}},
		{2, `-entries: "host:1" is not allowed`, []string{"status", "-entries", "host:1"}},
		{0, "burdockreach ", []string{"version"}},
		{0, "longest wait for an answer", []string{"status", "-h"}},
		{0, "VMs that may be out at once", []string{"profile", "put", "-h"}},
	} {
		t.Run(strings.Join(c.words, " "), func(t *testing.T) {
			var o bytes.Buffer
			n := newApp(strings.NewReader(""), &o, &o).run(context.Background(), c.words)
			i := is.New(t)
			i.Equal(int(n), c.status)
			i.True(strings.Contains(o.String(), c.part))
			i.True(!strings.Contains(o.String(), ".go:")) // errors are printed without a stack trace
		})
	}
	s.assertRun(0, "accepted as change 1", "pool", "put", "-file", s.write("pool.json", `{"name":"oven","spare":true}`))
	s.assertRun(1, "unknown field", "pool", "put", "-file", s.write("pool2.json", `{"name":"oven","size":1}`))
	s.write("operator", "wrong")
	s.assertRun(1, "no operator's token, or one that this entry does not know", "pool", "list")
}
