package main

import (
	"context"
	"flag"

	"github.com/rotisserie/eris"

	"burdockreach.dev/node/setup"
)

// entryCommand returns the command that runs an entry until SIGTERM or SIGINT and then drains it.
func (a *app) entryCommand() *command {
	path := ""
	return &command{
		app: a, name: "entry", synopsis: "run an entry until SIGTERM or SIGINT, then drain it", usage: program + " entry -settings FILE",
		flags: func(f *flag.FlagSet) { f.StringVar(&path, "settings", "", "settings file, in JSON") },
		run: func(c context.Context, _ *flag.FlagSet) error {
			if path == "" {
				return eris.Wrap(errUsage, "-settings is missing")
			}
			s, err := a.loadSettings(path)
			if err != nil {
				return err
			}
			l, err := setup.NewLogger(a.err, s.LogLevel(), s.Name())
			if err != nil {
				return err
			}
			l.Info().Str("dataCentre", s.DataCentre()).Str("callers", s.CallerAddr()).Str("peers", s.PeerAddr()).
				Str("operators", s.OperatorAddr()).Msg("start")
			if err := serve(c, s, l); err != nil {
				l.Error().Str("step", "run").Str("reason", eris.ToString(err, false)).Msg("failed")
				return errReported
			}
			l.Info().Msg("stopped")
			return nil
		},
	}
}
