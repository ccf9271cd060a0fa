package live

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"burdockreach.dev/fakes/cloud"
	"burdockreach.dev/plat/conf"
	"burdockreach.dev/plat/hosts"
)

const (
	service      = "orders"
	team         = "kitchen"
	token        = "kitchen-token"
	dataCentre   = "dc1"
	pool         = "kitchen-pool"
	targetSlots  = 1000 // slots of the only target, and its connections; enough that slots do not limit the rate
	readyTimeout = 20 * time.Second
	stopTimeout  = 10 * time.Second
	maxKeys      = 5_000_000 // idempotency keys that an entry holds at once; enough for those of all rounds, since it keeps them all
)

// Setup is the set-up of a measurement on loopback: a stand-in of the platform, one target, entries, and the bare relay that is the
// baseline. The stand-in of the platform runs in this process, the others in processes of their own.
type Setup struct {
	bin, dir string // folder of the built programs, and temporary folder for settings
	group    *errgroup.Group
	cancel   context.CancelFunc
	platform *cloud.Server
	procs    []*exec.Cmd
	target   string   // address of the target
	entries  []string // addresses at which the entries take callers' requests
	relay    string   // address of the bare relay
}

// Start starts a site with the given number of entries, and waits until its relay and its entries answer. bin is the folder of the
// built programs. self is the path of this program, which is started once more as the relay.
func Start(ctx context.Context, bin, self string, entries int) (*Setup, error) {
	d, err := os.MkdirTemp("", "bench")
	if err != nil {
		return nil, eris.Wrap(err, "make a folder")
	}
	x, cancel := context.WithCancel(ctx)
	s := &Setup{bin: bin, dir: d, group: &errgroup.Group{}, cancel: cancel}
	if err := s.start(x, self, entries); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

func (s *Setup) start(ctx context.Context, self string, entries int) error {
	var err error
	if s.target, err = freeAddr(ctx); err != nil {
		return err
	}
	s.platform = cloud.New(cloud.WithVMs(hosts.VMWire{
		ID: "w1", Addr: s.target, DataCentre: dataCentre, Rack: "r1", Pool: pool, State: hosts.Live, Kind: hosts.Worker, Boot: 1,
	}))
	addr, err := freeAddr(ctx)
	if err != nil {
		return err
	}
	s.group.Go(func() error { return s.platform.Serve(ctx, addr) })
	<-s.platform.Ready()
	if err := s.configure(ctx); err != nil {
		return err
	}
	if err := s.startProcess(ctx, filepath.Join(s.bin, "standin"), "target", "-name", "w1", "-addr", s.target,
		"-slots", fmt.Sprint(targetSlots), "-conns", fmt.Sprint(targetSlots), "-run", "0s"); err != nil {
		return err
	}
	if s.relay, err = freeAddr(ctx); err != nil {
		return err
	}
	if err := s.startProcess(ctx, self, "-relay", s.relay, "-to", s.target); err != nil {
		return err
	}
	for k := range entries {
		if err := s.startEntry(ctx, k); err != nil {
			return err
		}
	}
	return s.awaitReady(ctx)
}

// startProcess starts a program. When ctx ends, the program gets SIGTERM; it is killed if it still runs after stopTimeout.
func (s *Setup) startProcess(ctx context.Context, name string, args ...string) error {
	c := exec.CommandContext(ctx, name, args...)
	c.Stderr = os.Stderr
	c.Cancel = func() error { return c.Process.Signal(syscall.SIGTERM) }
	c.WaitDelay = stopTimeout
	if err := c.Start(); err != nil {
		return eris.Wrapf(err, "start %s", name)
	}
	s.procs = append(s.procs, c)
	return nil
}

// startEntry writes the settings of entry k+1 and starts it.
func (s *Setup) startEntry(ctx context.Context, k int) error {
	var a [3]string
	for i := range a {
		var err error
		if a[i], err = freeAddr(ctx); err != nil {
			return err
		}
	}
	b, err := json.Marshal(map[string]any{
		"name": fmt.Sprintf("e%d", k+1), "dataCentre": dataCentre, "dataCentres": []string{dataCentre},
		"callerAddr": a[0], "peerAddr": a[1], "operatorAddr": a[2], "platformAddr": s.platform.Addr(), "logLevel": "error", "drainWaitMs": 2000, "maxKeys": maxKeys,
	})
	if err != nil {
		return eris.Wrap(err, "encode settings")
	}
	f := filepath.Join(s.dir, fmt.Sprintf("e%d.json", k+1))
	if err := os.WriteFile(f, b, 0o600); err != nil {
		return eris.Wrap(err, "write settings")
	}
	s.entries = append(s.entries, a[0])
	return s.startProcess(ctx, filepath.Join(s.bin, "burdockreach"), "entry", "-settings", f)
}

// configure commits a configuration in which the team is approved for the service.
func (s *Setup) configure(ctx context.Context) error {
	c := conf.NewCommitter(s.platform.Store(), conf.NewHolder())
	sum := sha256.Sum256([]byte(token))
	for n, h := range []conf.Change{
		{Kind: conf.PutProfile, Profile: &conf.ProfileSpec{Name: "gold", MinVMs: 1, MaxVMs: 4, MaxOut: 1, DeadlineMillis: 5000}},
		{Kind: conf.PutPool, Pool: &conf.PoolSpec{Name: pool}},
		{Kind: conf.PutService, Service: &conf.ServiceSpec{Name: service, Profile: "gold", Pool: pool, Slots: targetSlots, Conns: targetSlots}},
		{Kind: conf.PutTeam, Team: &conf.TeamSpec{Name: team, TokenDigest: hex.EncodeToString(sum[:])}},
		{Kind: conf.Approve, Approval: &conf.ApprovalSpec{Team: team, Service: service}},
	} {
		h.Op, h.By = fmt.Sprint("bench-", n), "bench"
		if _, err := c.Commit(ctx, h); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until the relay and every entry answer with status 200, for at most about readyTimeout.
func (s *Setup) awaitReady(ctx context.Context) error {
	x, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	urls := []string{"http://" + s.relay + "/"}
	for _, e := range s.entries {
		urls = append(urls, "http://"+e+"/health")
	}
	for _, u := range urls {
		for {
			st, _, err := fasthttp.GetTimeout(nil, u, time.Second)
			if err == nil && st == fasthttp.StatusOK {
				break
			}
			if x.Err() != nil {
				return eris.Wrapf(x.Err(), "wait for %s", u)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Stop ends every process and the platform's stand-in that Start started, waits for them, and removes the settings.
func (s *Setup) Stop() {
	s.cancel()
	for _, c := range s.procs {
		_ = c.Wait()
	}
	_ = s.group.Wait()
	_ = os.RemoveAll(s.dir)
}

// freeAddr returns a loopback address with a port that was free a moment ago. It does not reserve the port.
func freeAddr(ctx context.Context) (string, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", eris.Wrap(err, "find a free port")
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}
