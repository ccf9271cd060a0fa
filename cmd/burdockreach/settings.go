package main

import (
	"context"
	"errors"
	"flag"
	"runtime"
	"runtime/debug"

	"github.com/rotisserie/eris"

	"burdockreach.dev/node/setup"
)

// errUsageReported marks invalid settings or flags whose faults have already been printed. The exit status is 2.
var errUsageReported = eris.New("settings are not allowed")

// loadSettings loads the settings file at path. It prints every fault and then returns errUsageReported.
func (a *app) loadSettings(path string) (setup.Settings, error) {
	s, err := setup.Load(path)
	var e *setup.Error
	if errors.As(err, &e) {
		for _, f := range e.Faults() {
			a.errorf("%s: %s\n", path, f)
		}
		return s, errUsageReported
	}
	if err != nil {
		a.errorf("%s: %s\n", path, eris.ToString(err, false))
		return s, errUsageReported
	}
	return s, nil
}

// checkCommand returns the command that checks a settings file.
func (a *app) checkCommand() *command {
	return &command{
		app: a, name: "check", synopsis: "check a settings file; status 2 if it is not allowed", usage: program + " check FILE",
		run: func(_ context.Context, f *flag.FlagSet) error {
			path, err := oneArg(f)
			if err != nil {
				return err
			}
			s, err := a.loadSettings(path)
			if err != nil {
				return err
			}
			return a.printf("%s: allowed, for entry %s of data centre %s\n", path, s.Name(), s.DataCentre())
		},
	}
}

// versionCommand returns the command that prints the versions of the program and of Go.
func (a *app) versionCommand() *command {
	return &command{
		app: a, name: "version", synopsis: "tell the program's version", usage: program + " version",
		run: func(context.Context, *flag.FlagSet) error {
			v := "unknown"
			if b, ok := debug.ReadBuildInfo(); ok {
				v = b.Main.Version
			}
			return a.printf("%s %s, %s\n", program, v, runtime.Version())
		},
	}
}
