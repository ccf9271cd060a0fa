package main

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"burdockreach.dev/node/oper"
)

const (
	waveTimeout  = 25 * time.Second
	waveID       = "week-1"
	stateServing = "serving"
	firstBoot    = 1
)

// maintain runs a maintenance wave of one VM while orders go to every entry.
func (s *fleet) maintain(c context.Context) error {
	printStep("maintain one VM of the pool orders while orders come to every entry")
	boots, err := s.underLoad(c, s.runWave)
	if err == nil && boots == 0 {
		err = eris.New("no VM was rebooted")
	}
	return err
}

// runWave starts the wave, pauses it once a VM is out of service, waits until that VM serves again, and drops the wave.
func (s *fleet) runWave(c context.Context) error {
	began := time.Now()
	if err := s.runAndPrint(c, "", "wave", "put", "-pools", "orders", waveID); err != nil {
		return err
	}
	var out oper.VM
	err := pollUntil(c, waveTimeout, "the wave takes a VM out", func() error {
		var err error
		out, err = s.vmOutOfService(c)
		return err
	})
	if err != nil {
		return err
	}
	printLine("%s of %s is out (%s) after %.1f s", out.ID, out.DataCentre, out.State, time.Since(began).Seconds())
	if err := s.runAndPrint(c, "", "wave", "put", "-paused", waveID); err != nil {
		return err
	}
	err = pollUntil(c, waveTimeout, out.ID+" serves again", func() error { return s.checkServesAgain(c, out) })
	if err != nil {
		return err
	}
	printLine("%s has rebooted and serves again after %.1f s", out.ID, time.Since(began).Seconds())
	return s.runAndPrint(c, "", "wave", "drop", waveID)
}

// vms returns the output of the command "vm list" with these flags.
func (s *fleet) vms(c context.Context, flags ...string) ([]oper.VM, error) {
	out, err := s.runCLI(c, "", append([]string{"vm", "list", "-json"}, flags...)...)
	if err != nil {
		return nil, err
	}
	var v oper.VMs
	if err := json.Unmarshal([]byte(out), &v); err != nil {
		return nil, eris.Wrap(err, "read VMs")
	}
	return v.Items, nil
}

// vmOutOfService returns a VM of the pool orders that is not serving, or an error if all serve.
func (s *fleet) vmOutOfService(c context.Context) (oper.VM, error) {
	vs, err := s.vms(c, "-pool", "orders")
	if err != nil {
		return oper.VM{}, err
	}
	for _, v := range vs {
		if v.State != stateServing {
			return v, nil
		}
	}
	return oper.VM{}, eris.Errorf("all of %d VMs serve", len(vs))
}

// checkServesAgain returns an error unless the fake target has counted a reboot and the VM serves again.
func (s *fleet) checkServesAgain(c context.Context, out oper.VM) error {
	r, err := s.targetCounts(out.ID)
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
		if v.ID == out.ID && v.State == stateServing {
			return nil
		}
	}
	return eris.Errorf("%s does not serve yet", out.ID)
}
