package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"burdockreach.dev/fakes/cloud"
	"burdockreach.dev/plat/hosts"
)

// PlatformSettings is the settings file of the simulated platform.
type PlatformSettings struct {
	Addr           string         `json:"addr"`
	ControlAddr    string         `json:"controlAddr,omitempty"`
	LagMs          int64          `json:"lagMs,omitempty"`          // age of the VM list in milliseconds; 0 means the default of package cloud.
	RebootMs       int64          `json:"rebootMs,omitempty"`       // duration of a reboot in milliseconds; 0 means the default of package cloud.
	ReadsPerSecond int            `json:"readsPerSecond,omitempty"` // 0 means no limit; the same holds for writesPerSecond.
	WritesPerSec   int            `json:"writesPerSecond,omitempty"`
	VMs            []hosts.VMWire `json:"vms"`
}

// parsePlatform parses the arguments of the command platform, which serves a simulated platform.
func parsePlatform(f *flag.FlagSet, args []string) (runner, error) {
	path := f.String("settings", "", "settings file in JSON")
	if err := f.Parse(args); err != nil {
		return nil, err
	}
	b, err := os.ReadFile(*path)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	var s PlatformSettings
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return nil, eris.Wrapf(err, "read settings %s", *path)
	}
	return func(c context.Context) error { return cloud.New(s.options()...).Serve(c, s.Addr) }, nil
}

// options converts the settings to options of package cloud.
func (s PlatformSettings) options() []cloud.Option {
	o := []cloud.Option{cloud.WithVMs(s.VMs...)}
	if s.ControlAddr != "" {
		o = append(o, cloud.WithControl(s.ControlAddr))
	}
	if s.LagMs > 0 {
		o = append(o, cloud.WithListLag(time.Duration(s.LagMs)*time.Millisecond))
	}
	if s.RebootMs > 0 {
		o = append(o, cloud.WithRebootTime(time.Duration(s.RebootMs)*time.Millisecond))
	}
	if s.ReadsPerSecond > 0 || s.WritesPerSec > 0 {
		o = append(o, cloud.WithRateLimits(s.ReadsPerSecond, s.WritesPerSec))
	}
	return o
}
