package main

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"burdockreach.dev/node/oper"
)

const (
	waveWait  = 25 * time.Second
	waveID    = "week-1"
	servingAs = "serving"
	firstBoot = 1
)

// maintain runs a wave of one VM while orders come to every entry.
func (s *site) maintain(c context.Context) error {
	say("maintain one VM of the pool orders while orders come to every entry")
	boots, err := s.underLoad(c, s.wave)
	if err == nil && boots == 0 {
		err = eris.New("no VM was rebooted")
	}
	return err
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
