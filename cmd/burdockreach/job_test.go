package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"burdockreach.dev/node/jobs"
	"burdockreach.dev/node/oper"
	"burdockreach.dev/plat/conf"
	"burdockreach.dev/plat/keyval"
)

// newJobCluster returns a cluster with one entry that accepts jobs. The commands try an address first on which nobody listens.
func newJobCluster(t *testing.T) *testCluster {
	t.Helper()
	s := newTestCluster(t)
	d, err := conf.NewDocument().Apply(conf.Change{Number: 1, Op: "op", Kind: conf.PutPool, Pool: &conf.PoolSpec{Name: "ledger"}})
	is.New(t).NoErr(err)
	f := &fakeEntry{name: "a1", sharedConfig: &sharedConfig{doc: d}}
	sum := sha256.Sum256([]byte(operatorToken))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	a := oper.New("a1", []string{hex.EncodeToString(sum[:])}, f, f, f, oper.WithJobs(jobs.NewQueue(keyval.NewMemory()), []string{"east"}))
	c, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return a.ServeListener(c, l) })
	t.Cleanup(func() {
		cancel()
		is.New(t).NoErr(g.Wait())
	})
	s.addrs = []string{"127.0.0.1:1", l.Addr().String()}
	return s
}

func TestJobCommands(t *testing.T) {
	s := newJobCluster(t)
	submit := []string{"job", "submit", "-data-centre", "east", "-pool", "ledger", "-team", "back", "-kind", "nightly", "-within", "7h", "-run-once"}
	s.assertRun(0, "accepted", append(submit, "night-1")...)
	s.assertRun(1, "id is taken by another job", append(submit, "-cores", "2", "night-1")...)
	s.assertRun(1, "pool", append(submit, "-pool", "none", "night-2")...)
	s.assertRun(2, "-within is missing", "job", "submit", "-data-centre", "east", "night-2")
	file := s.write("jobs.json", `[{"id":"night-3","dataCentre":"east","pool":"ledger","team":"back","kind":"nightly","cores":1,"memoryMB":9,"runMs":1,"finishBy":1}]`)
	s.assertRun(0, "accepted", "job", "submit", "-file", file)
	s.assertRun(0, "night-3", "job", "list", "-state", "waiting")
	s.assertRun(1, "text after the array", "job", "submit", "-file", s.write("two.json", `[] []`))
	s.assertRun(1, "the file is over 16777216 bytes", "job", "submit", "-file", s.write("long.json", "[]"+strings.Repeat(" ", maxJobsFileBytes)))
	s.assertRun(0, "waiting", "job", "show", "night-1")
	s.assertRun(1, "no such job", "job", "show", "night-9")
	s.assertRun(0, "canceled", "job", "cancel", "-data-centre", "east", "night-1", "night-3")
	s.assertRun(1, "no such job", "job", "cancel", "-data-centre", "east", "night-9")
	s.assertRun(0, "canceled", "job", "list", "-json")
}
