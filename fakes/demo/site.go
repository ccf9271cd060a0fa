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

// The demo's fleet.
const (
	targetsPerPool  = 2 // in each data centre
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

// services are also the names of the pools that serve them.
func services() []string { return []string{"orders", "ledger"} }

// node is an entry of the demo.
type node struct {
	name, dataCentre          string
	callers, peers, operators string
}

// vm is a target of the demo.
type vm struct {
	name, addr, control string
}

// site is all that the demo started.
type site struct {
	dir, bin string
	port     int
	began    time.Time
	nodes    []node
	targets  []vm
	wires    []hosts.VMWire
	procs    *procs
}

func newSite(dir, bin string, port int) *site {
	s := &site{dir: dir, bin: bin, port: port, began: time.Now(), procs: &procs{dir: dir}}
	for _, d := range dataCentres() {
		for i := range entriesPerDC {
			s.addNode(fmt.Sprintf("entry-%s-%d", d, i+1), d)
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

func (s *site) addr(offset int) string { return fmt.Sprintf("127.0.0.1:%d", s.port+offset) }

func (s *site) addNode(name, dc string) {
	i := len(s.nodes)
	n := node{name: name, dataCentre: dc, callers: s.addr(callerPort + i), peers: s.addr(peerPort + i), operators: s.addr(operatorPort + i)}
	s.nodes = append(s.nodes, n)
	s.wires = append(s.wires, hosts.VMWire{ID: name, Addr: n.peers, DataCentre: dc, Rack: fmt.Sprintf("rack-%d", i+1), State: hosts.Live, Kind: hosts.Entry, Boot: 1, Cores: 4, MemoryMB: 8192})
}

func (s *site) addTarget(name, dc, rack, pool string) {
	o := targetPort + len(s.targets)
	t := vm{name: name, addr: s.addr(o), control: s.addr(o + 1000)}
	s.targets = append(s.targets, t)
	s.wires = append(s.wires, hosts.VMWire{ID: name, Addr: t.addr, DataCentre: dc, Rack: dc + "-" + rack, Pool: pool, State: hosts.Live, Kind: hosts.Worker, Boot: 1, Cores: 32, MemoryMB: 65536})
}

// start starts every process and waits until the entries serve operators.
func (s *site) start(c context.Context) error {
	say("start the platform's stand-in, %d target stand-ins with 8 slots and 64 connections each, %d entries", len(s.targets), len(s.nodes))
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
	for _, n := range s.nodes {
		if err := s.startNode(n); err != nil {
			return err
		}
	}
	return until(c, startTimeout, "entries are up", func() error {
		_, err := s.cli(c, "", "status")
		return err
	})
}

// startPlatform starts the platform's stand-in with the demo's VMs.
func (s *site) startPlatform() error {
	f := map[string]any{
		"addr": s.addr(platformPort), "controlAddr": s.addr(platformControl), "lagMs": listLagMs,
		"rebootMs": rebootTime.Milliseconds(), "vms": s.wires,
	}
	if err := s.writeJSON("platform.json", f); err != nil {
		return err
	}
	return s.procs.start("platform", false, s.program("standin"), "platform", "-settings", s.path("platform.json"))
}

// startNode starts one entry with a settings file of its own.
func (s *site) startNode(n node) error {
	d := sha256.Sum256([]byte(operatorToken))
	f := setup.Document{
		Name: n.name, DataCentre: n.dataCentre, DataCentres: dataCentres(), CallerAddr: n.callers, PeerAddr: n.peers, OperatorAddr: n.operators,
		PlatformAddr: s.addr(platformPort), OperatorTokenDigests: []string{hex.EncodeToString(d[:])},
		MaxBodyBytes: maxBodyBytes, TickMs: 200, BeatMs: 100, LeaderLeaseMs: 2000, EntryUnheardSeconds: 3, DrainWaitMs: 3000,
	}
	for _, o := range s.nodes {
		if o.name != n.name && o.dataCentre == n.dataCentre {
			f.PeerAddrs = append(f.PeerAddrs, o.peers)
		}
	}
	if err := s.writeJSON(n.name+".json", f); err != nil {
		return err
	}
	return s.procs.start(n.name, true, s.program("burdockreach"), "entry", "-settings", s.path(n.name+".json"))
}

func (s *site) path(name string) string    { return filepath.Join(s.dir, name) }
func (s *site) program(name string) string { return filepath.Join(s.bin, name) }

func (s *site) write(name, text string) error {
	return eris.Wrapf(os.WriteFile(s.path(name), []byte(text+"\n"), 0o600), "write %s", name)
}

func (s *site) writeJSON(name string, v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return eris.Wrapf(err, "encode %s", name)
	}
	return s.write(name, string(b))
}

// operators returns the operator addresses of all entries.
func (s *site) operators() string {
	var as []string
	for _, n := range s.nodes {
		as = append(as, n.operators)
	}
	return strings.Join(as, ",")
}

// say prints one line of what happens.
func say(form string, args ...any) { fmt.Printf("\n# "+form+"\n", args...) }

// tell prints one line of what came of it.
func tell(form string, args ...any) { fmt.Printf(form+"\n", args...) }
