package daemon

import (
	"context"

	"burdockreach.dev/node/jobs"
	"burdockreach.dev/node/oper"
	"burdockreach.dev/plat/tasks"
)

// runner runs the data centre's jobs while this entry leads, and gives operators access to those of all data centres.
type runner struct {
	d        *Daemon
	platform *tasks.Client
	loop     *jobs.Runner
}

func newRunner(d *Daemon) *runner {
	s := d.set
	p := tasks.New(s.PlatformAddr(), tasks.WithName(s.Name()), tasks.WithTimeout(s.PlatformTimeout()))
	return &runner{d: d, platform: p, loop: jobs.New(s.DataCentre(), d.store, p, d.platform, d.lease, jobs.WithLogger(d.log))}
}

func (r *runner) run(ctx context.Context) error { return r.loop.Run(ctx) }

func (r *runner) close() { r.platform.Close() }

// operated lets the operators' API reach the jobs.
func (r *runner) operated() oper.Option {
	return oper.WithJobs(jobs.NewQueue(r.d.store), r.d.set.DataCentres())
}
