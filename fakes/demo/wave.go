package main

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"burdockreach.dev/node/oper"
)

const (
	senders   = 3                     // to each entry
	pause     = 10 * time.Millisecond // of a sender between orders
	waveWait  = 25 * time.Second
	waveID    = "week-1"
	servingAs = "serving"
	firstBoot = 1
)

// load counts what became of the orders that were sent.
type load struct {
	sent, answered, notRun, other atomic.Int64
	slowestMs                     atomic.Int64
}

// maintain runs a wave of one VM while orders come to every entry.
func (s *site) maintain(c context.Context) error {
	say("maintain one VM of the pool orders while orders come to every entry")
	before, err := s.counted()
	if err != nil {
		return err
	}
	var l load
	t, stop := context.WithCancel(c)
	defer stop()
	var g errgroup.Group
	for i := range senders * len(s.nodes) {
		g.Go(func() error { return s.send(t, &l, i) })
	}
	werr := s.wave(c)
	stop()
	if err := g.Wait(); err != nil {
		return err
	}
	if werr != nil {
		return werr
	}
	return s.judge(before, &l)
}

// send sends orders to one entry until c ends.
func (s *site) send(c context.Context, l *load, sender int) error {
	n := s.nodes[sender%len(s.nodes)]
	for i := 0; c.Err() == nil; i++ {
		key := fmt.Sprintf("%s/load-%d-%d", n.dataCentre, sender, i)
		l.sent.Add(1)
		a, err := call(n.callers, request{"POST", "/call/orders/basket", deskToken, key, []byte(`{"trays": 1}`)})
		if err != nil {
			return err
		}
		l.count(a)
		time.Sleep(pause)
	}
	return nil
}

// count counts one answer.
func (l *load) count(a answer) {
	for old := l.slowestMs.Load(); old < a.took.Milliseconds(); old = l.slowestMs.Load() {
		l.slowestMs.CompareAndSwap(old, a.took.Milliseconds())
	}
	switch {
	case a.status == 200 && a.outcome == "answered":
		l.answered.Add(1)
	case a.outcome == "not-run":
		l.notRun.Add(1)
		tell("an order was refused: %v", a)
	default:
		l.other.Add(1)
		tell("an order ended as %v", a)
	}
}

// wave starts the wave, pauses it when a VM is out, waits until that VM serves again, and ends the wave.
func (s *site) wave(c context.Context) error {
	began := time.Now()
	if err := s.operate(c, "", "wave", "put", "-pools", "orders", waveID); err != nil {
		return err
	}
	var out oper.VM
	err := until(c, waveWait, "the wave takes a VM out", func() error {
		var err error
		out, err = s.outVM(c)
		return err
	})
	if err != nil {
		return err
	}
	tell("%s of %s is out (%s) after %.1f s", out.ID, out.DataCentre, out.State, time.Since(began).Seconds())
	if err := s.operate(c, "", "wave", "put", "-paused", waveID); err != nil {
		return err
	}
	err = until(c, waveWait, out.ID+" serves again", func() error { return s.back(c, out) })
	if err != nil {
		return err
	}
	tell("%s has rebooted and serves again after %.1f s", out.ID, time.Since(began).Seconds())
	return s.operate(c, "", "wave", "drop", waveID)
}

// vms asks for the VMs that the flags name.
func (s *site) vms(c context.Context, flags ...string) ([]oper.VM, error) {
	out, err := s.cli(c, "", append([]string{"vm", "list", "-json"}, flags...)...)
	if err != nil {
		return nil, err
	}
	var v oper.VMs
	if err := json.Unmarshal([]byte(out), &v); err != nil {
		return nil, eris.Wrap(err, "read VMs")
	}
	return v.Items, nil
}

// outVM returns a VM of the pool that does not serve.
func (s *site) outVM(c context.Context) (oper.VM, error) {
	vs, err := s.vms(c, "-pool", "orders")
	if err != nil {
		return oper.VM{}, err
	}
	for _, v := range vs {
		if v.State != servingAs {
			return v, nil
		}
	}
	return oper.VM{}, eris.Errorf("all of %d VMs serve", len(vs))
}

// back reports whether the VM serves again after a reboot, of which its stand-in tells.
func (s *site) back(c context.Context, out oper.VM) error {
	r, err := s.countedBy(out.ID)
	if err != nil {
		return err
	}
	if r.Boot <= firstBoot {
		return eris.Errorf("%s has not rebooted", out.ID)
	}
	vs, err := s.vms(c, "-pool", "orders")
	if err != nil {
		return err
	}
	for _, v := range vs {
		if v.ID == out.ID && v.State == servingAs {
			return nil
		}
	}
	return eris.Errorf("%s does not serve yet", out.ID)
}

// judge holds what callers were told against what the targets counted.
func (s *site) judge(before ran, l *load) error {
	after, err := s.counted()
	if err != nil {
		return err
	}
	runs := after.Runs - before.Runs
	tell("callers: %d orders sent, %d answered, %d not run, %d other; slowest answer %d ms",
		l.sent.Load(), l.answered.Load(), l.notRun.Load(), l.other.Load(), l.slowestMs.Load())
	tell("targets: %d runs, %d cut, %d doubled, %d reboots", runs, after.Cut, after.DoubledKeys+after.DoubledRequests, after.Boot-before.Boot)
	switch {
	case after.Cut != 0 || after.DoubledKeys != 0 || after.DoubledRequests != 0:
		return eris.New("requests were cut or run twice")
	case l.other.Load() != 0 || runs != l.answered.Load():
		return eris.New("what callers were told is not what the targets ran")
	case l.notRun.Load() != 0:
		return eris.New("orders were refused during the wave")
	case after.Boot == before.Boot:
		return eris.New("no VM was rebooted")
	}
	return nil
}
