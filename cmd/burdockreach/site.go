package main

import (
	"context"
	"encoding/json"
	"flag"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	nodesite "burdockreach.dev/node/site"
	"burdockreach.dev/platform"
)

// siteCommand returns the command that runs an entry on a platform until SIGTERM or SIGINT.
func (a *app) siteCommand() *command {
	path, check := "", false
	return &command{
		app: a, name: "site", synopsis: "run an entry that accepts jobs for the workers of a platform, until SIGTERM or SIGINT",
		usage: program + " site [-check] -settings FILE",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&path, "settings", "", "settings file, in JSON")
			f.BoolVar(&check, "check", false, "only check the settings")
		},
		run: func(c context.Context, _ *flag.FlagSet) error {
			if path == "" {
				return eris.Wrap(errUsage, "-settings is missing")
			}
			s, err := nodesite.Load(path)
			if err != nil || check {
				return err
			}
			e, err := nodesite.New(s, newPlatform(s), a.out)
			if err != nil {
				return err
			}
			return runSite(c, e, path)
		},
	}
}

// fleetTimeout is the time limit for reading the platform's store.
const fleetTimeout = 10 * time.Second

// fleetCommand returns the command that prints the state of the entries and their work, or of one job, from the platform's store.
func (a *app) fleetCommand() *command {
	path, job := "", ""
	return &command{
		app: a, name: "fleet", synopsis: "print owner, entries, queues, workers and waves of an installation on a platform, or one job",
		usage: program + " fleet [-job ID] -settings FILE",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&path, "settings", "", "settings file of an entry, in JSON")
			f.StringVar(&job, "job", "", "id of a job: print what the store holds of it")
		},
		run: func(c context.Context, _ *flag.FlagSet) error {
			if path == "" {
				return eris.Wrap(errUsage, "-settings is missing")
			}
			s, err := nodesite.Load(path)
			if err != nil {
				return err
			}
			c, cancel := context.WithTimeout(c, fleetTimeout)
			defer cancel()
			var v any
			if p := newPlatform(s); job != "" {
				v, err = nodesite.ReadJob(c, p, job)
			} else {
				v, err = nodesite.ReadStatus(c, p)
			}
			if err != nil {
				return err
			}
			e := json.NewEncoder(a.out)
			e.SetIndent("", "  ")
			return eris.Wrap(e.Encode(v), "fleet")
		},
	}
}

func newPlatform(s nodesite.Settings) nodesite.Platform {
	return nodesite.Platform{
		Store: platform.NewStore(s.StoreAddr), Workers: platform.NewWorkers(), Machines: platform.NewMachines(s.MachinesAddr, s.Name),
		Format: platform.Format{}, Codec: platform.Codec{}, ReadyPath: platform.PathReady,
	}
}

// runSite runs the entry until c ends, and reloads its settings from path on each SIGHUP.
func runSite(c context.Context, e *nodesite.Site, path string) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	d, stop := context.WithCancel(c)
	defer stop()
	g := errgroup.Group{}
	g.Go(func() error {
		for {
			select {
			case <-hup:
				e.Reload(path)
			case <-d.Done():
				return nil
			}
		}
	})
	err := e.Run(c)
	stop()
	if w := g.Wait(); err == nil {
		err = w
	}
	return err
}
