package daemon

import (
	"context"

	"burdockreach.dev/node/jobs"
	"burdockreach.dev/node/oper"
	"burdockreach.dev/plat/tasks"
)

// jobRunner runs the data centre's jobs while this entry leads. It also gives operators access to the jobs of all data centres.
type jobRunner struct {
	d        *Daemon
	platform *tasks.Client
	loop     *jobs.Runner
}

func newRunner(d *Daemon) *jobRunner {
	s := d.settings
	p := tasks.New(s.PlatformAddr(), tasks.WithName(s.Name()), tasks.WithTimeout(s.PlatformTimeout()))
	return &jobRunner{d: d, platform: p, loop: jobs.New(s.DataCentre(), d.store, p, d.platform, d.lease, jobs.WithLogger(d.log))}
}

func (r *jobRunner) run(ctx context.Context) error { return r.loop.Run(ctx) }

func (r *jobRunner) close() { r.platform.Close() }

// operOption returns the option that gives the operators' API access to the jobs.
func (r *jobRunner) operOption() oper.Option {
	return oper.WithJobs(jobs.NewQueue(r.d.store), r.d.settings.DataCentres())
}
