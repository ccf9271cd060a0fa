package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"burdockreach.dev/node/setup"
	"burdockreach.dev/plat/hosts"
)

// Sizes, tokens, timing and port offsets of the demo's fleet.
const (
	targetsPerPool  = 2 // of each data centre
	entriesPerDC    = 2
	operatorToken   = "demo-operators-token"
	deskToken       = "demo-token-of-the-desk"
	strangersToken  = "demo-token-of-strangers"
	maxBodyBytes    = 4 << 10
	runTime         = "20ms"
	rebootTime      = time.Second
	listLagMs       = 300
	platformPort    = 0
	platformControl = 1
	callerPort      = 10
	peerPort        = 30
	operatorPort    = 50
	targetPort      = 100
)

func dataCentres() []string { return []string{"north", "south"} }

// services returns the names of the services. The pool that serves a service has the same name.
func services() []string { return []string{"orders", "ledger"} }

// entry is an entry of the demo with its listening addresses.
type entry struct {
	name, dataCentre                   string
	callerAddr, peerAddr, operatorAddr string
}

// targetVM is a fake target of the demo with its request address and its control address.
type targetVM struct {
	name, addr, controlAddr string
}

// fleet holds the entries, targets and processes of the demo.
type fleet struct {
	dir, bin    string
	port        int
	startedAt   time.Time
	entries     []entry
	targets     []targetVM
	platformVMs []hosts.VMWire
	procs       *procs
}

func newFleet(dir, bin string, port int) *fleet {
	s := &fleet{dir: dir, bin: bin, port: port, startedAt: time.Now(), procs: &procs{dir: dir}}
	for _, d := range dataCentres() {
		for i := range entriesPerDC {
			s.addEntry(fmt.Sprintf("entry-%s-%d", d, i+1), d)
		}
		for _, p := range services() {
			for i := range targetsPerPool {
				s.addTarget(fmt.Sprintf("%s-%s-%d", p, d, i+1), d, fmt.Sprintf("rack-%d", i+1), p)
			}
		}
		s.addTarget("spare-"+d+"-1", d, "rack-1", "spare")
	}
	return s
}

func (s *fleet) addr(offset int) string { return fmt.Sprintf("127.0.0.1:%d", s.port+offset) }

func (s *fleet) addEntry(name, dc string) {
	i := len(s.entries)
	n := entry{name: name, dataCentre: dc, callerAddr: s.addr(callerPort + i), peerAddr: s.addr(peerPort + i), operatorAddr: s.addr(operatorPort + i)}
	s.entries = append(s.entries, n)
	s.platformVMs = append(s.platformVMs, hosts.VMWire{ID: name, Addr: n.peerAddr, DataCentre: dc, Rack: fmt.Sprintf("rack-%d", i+1), State: hosts.Live, Kind: hosts.Entry, Boot: 1, Cores: 4, MemoryMB: 8192})
}

func (s *fleet) addTarget(name, dc, rack, pool string) {
	o := targetPort + len(s.targets)
	t := targetVM{name: name, addr: s.addr(o), controlAddr: s.addr(o + 1000)}
	s.targets = append(s.targets, t)
	s.platformVMs = append(s.platformVMs, hosts.VMWire{ID: name, Addr: t.addr, DataCentre: dc, Rack: dc + "-" + rack, Pool: pool, State: hosts.Live, Kind: hosts.Worker, Boot: 1, Cores: 32, MemoryMB: 65536})
}

// start starts all processes and waits until the entries answer operator commands.
func (s *fleet) start(c context.Context) error {
	printStep("start the platform's stand-in, %d target stand-ins with 8 slots and 64 connections each, %d entries", len(s.targets), len(s.entries))
	if err := s.startPlatform(); err != nil {
		return err
	}
	for _, t := range s.targets {
		err := s.procs.start(t.name, false, s.program("standin"), "target", "-name", t.name, "-addr", t.addr, "-run", runTime, "-reboot", rebootTime.String())
		if err != nil {
			return err
		}
	}
	if err := s.write("operator.token", operatorToken); err != nil {
		return err
	}
	for _, n := range s.entries {
		if err := s.startEntry(n); err != nil {
			return err
		}
	}
	return pollUntil(c, startTimeout, "entries are up", func() error {
		_, err := s.runCLI(c, "", "status")
		return err
	})
}

// startPlatform starts the fake platform with the demo's VMs.
func (s *fleet) startPlatform() error {
	f := map[string]any{
		"addr": s.addr(platformPort), "controlAddr": s.addr(platformControl), "lagMs": listLagMs,
		"rebootMs": rebootTime.Milliseconds(), "vms": s.platformVMs,
	}
	if err := s.writeJSON("platform.json", f); err != nil {
		return err
	}
	return s.procs.start("platform", false, s.program("standin"), "platform", "-settings", s.path("platform.json"))
}

// startEntry writes the settings file of an entry and starts its process.
func (s *fleet) startEntry(n entry) error {
	d := sha256.Sum256([]byte(operatorToken))
	f := setup.Document{
		Name: n.name, DataCentre: n.dataCentre, DataCentres: dataCentres(), CallerAddr: n.callerAddr, PeerAddr: n.peerAddr, OperatorAddr: n.operatorAddr,
		PlatformAddr: s.addr(platformPort), OperatorTokenDigests: []string{hex.EncodeToString(d[:])},
		MaxBodyBytes: maxBodyBytes, TickMs: 200, BeatMs: 100, LeaderLeaseMs: 2000, EntryUnheardSeconds: 3, DrainWaitMs: 3000,
	}
	for _, o := range s.entries {
		if o.name != n.name && o.dataCentre == n.dataCentre {
			f.PeerAddrs = append(f.PeerAddrs, o.peerAddr)
		}
	}
	if err := s.writeJSON(n.name+".json", f); err != nil {
		return err
	}
	return s.procs.start(n.name, true, s.program("burdockreach"), "entry", "-settings", s.path(n.name+".json"))
}

func (s *fleet) path(name string) string    { return filepath.Join(s.dir, name) }
func (s *fleet) program(name string) string { return filepath.Join(s.bin, name) }

func (s *fleet) write(name, text string) error {
	return eris.Wrapf(os.WriteFile(s.path(name), []byte(text+"\n"), 0o600), "write %s", name)
}

func (s *fleet) writeJSON(name string, v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return eris.Wrapf(err, "encode %s", name)
	}
	return s.write(name, string(b))
}

// operatorAddrs returns the operator addresses of all entries, separated by commas.
func (s *fleet) operatorAddrs() string {
	var as []string
	for _, n := range s.entries {
		as = append(as, n.operatorAddr)
	}
	return strings.Join(as, ",")
}

// printStep prints the heading of a step.
func printStep(format string, args ...any) { fmt.Printf("\n# "+format+"\n", args...) }

// printLine prints one line of a step's results.
func printLine(format string, args ...any) { fmt.Printf(format+"\n", args...) }
