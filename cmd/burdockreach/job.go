package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"io"
	"os"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"burdockreach.dev/node/jobs"
	"burdockreach.dev/node/oper"
)

// maxJobsFileBytes is the maximum size of a file with jobs.
const maxJobsFileBytes = 16 << 20

// jobCommand returns the commands that submit, list, show and cancel jobs.
func (a *app) jobCommand() *command {
	return a.commandGroup("job", "submit, list, show or cancel jobs", a.jobSubmitCommand(), a.jobListCommand(), a.jobShowCommand(), a.jobCancelCommand())
}

func (a *app) jobSubmitCommand() *command {
	l, file, within := a.newAPIClient(), "", time.Duration(0)
	var s jobs.Spec
	var run time.Duration
	return &command{
		app: a, name: "submit", synopsis: "submit one job, or those of a file", usage: program + " job submit [flags] ID | -file FILE",
		flags: func(f *flag.FlagSet) {
			l.flags(f)
			f.StringVar(&file, "file", "", "file with a JSON array of jobs; - for the input")
			f.StringVar(&s.DataCentre, "data-centre", "", "data centre that runs the job")
			f.StringVar(&s.Pool, "pool", "", "pool on whose workers the job runs")
			f.StringVar(&s.Team, "team", "", "team that the job belongs to")
			f.StringVar(&s.Kind, "kind", "", "kind of the job; jobs of a kind are of like size and run time")
			f.Float64Var(&s.Cores, "cores", 1, "declared cores")
			f.Float64Var(&s.MemoryMB, "memory", 1024, "declared memory in MB")
			f.IntVar(&s.Accelerators, "accelerators", 0, "accelerators")
			f.DurationVar(&run, "run", time.Hour, "declared run time")
			f.DurationVar(&within, "within", 0, "time from now within which the job must have finished")
			f.BoolVar(&s.Urgent, "urgent", false, "start at once; other jobs yield")
			f.BoolVar(&s.RunOnce, "run-once", false, "never have two running copies")
		},
		run: func(c context.Context, f *flag.FlagSet) error {
			if file != "" {
				q, err := a.readJobs(file)
				if err != nil {
					return err
				}
				return l.postJobs(c, "/op/jobs", q)
			}
			id, err := oneArg(f)
			if err != nil {
				return err
			}
			if within <= 0 {
				return eris.Wrap(errUsage, "-within is missing")
			}
			s.ID, s.RunMillis, s.FinishBy = id, run.Milliseconds(), time.Now().Add(within).UnixMilli()
			return l.postJobs(c, "/op/jobs", []jobs.Spec{s})
		},
	}
}

func (a *app) readJobs(file string) ([]jobs.Spec, error) {
	r := a.in
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, eris.Wrap(err, "read jobs")
		}
		defer func() { _ = f.Close() }()
		r = f
	}
	b, err := io.ReadAll(io.LimitReader(r, maxJobsFileBytes+1))
	if err != nil {
		return nil, eris.Wrapf(err, "read jobs of %s", file)
	}
	if len(b) > maxJobsFileBytes {
		return nil, eris.Errorf("read jobs of %s: the file is over %d bytes", file, maxJobsFileBytes)
	}
	var q []jobs.Spec
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(&q); err != nil {
		return nil, eris.Wrapf(err, "read jobs of %s", file)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, eris.Errorf("read jobs of %s: there is text after the array", file)
	}
	return q, nil
}

func (a *app) jobCancelCommand() *command {
	l, dc := a.newAPIClient(), ""
	return &command{
		app: a, name: "cancel", synopsis: "take jobs back", usage: program + " job cancel [flags] ID...",
		flags: func(f *flag.FlagSet) {
			l.flags(f)
			f.StringVar(&dc, "data-centre", "", "data centre of the jobs")
		},
		run: func(c context.Context, f *flag.FlagSet) error {
			if f.NArg() == 0 {
				return eris.Wrap(errUsage, "the ids of jobs are needed after the flags")
			}
			var q []jobs.Spec
			for _, id := range f.Args() {
				q = append(q, jobs.Spec{ID: id, DataCentre: dc})
			}
			return l.postJobs(c, "/op/jobs/cancel", q)
		},
	}
}

// postJobs posts the jobs to path in batches of at most oper.MaxJobs and prints their outcomes. Each batch goes to the entries
// in turn until one answers: resending is safe, because submitting and canceling are idempotent.
func (l *apiClient) postJobs(c context.Context, path string, q []jobs.Spec) error {
	addrs, err := l.prepare()
	if err != nil {
		return err
	}
	var all oper.JobsReply
	for part := range slices.Chunk(q, oper.MaxJobsPerRequest) {
		b, err := json.Marshal(oper.JobsRequest{Jobs: part})
		if err != nil {
			return eris.Wrap(err, "encode jobs")
		}
		var r oper.JobsReply
		for _, a := range addrs {
			err = l.call(c, a, fasthttp.MethodPost, path, b, &r)
			if !errors.Is(err, errNotSent) && !errors.Is(err, errNoAnswer) {
				break
			}
		}
		if err != nil {
			return errors.Join(l.writeJobOutcomes(all), err)
		}
		all.Items = append(all.Items, r.Items...)
	}
	return l.writeJobOutcomes(all)
}

// writeJobOutcomes prints the outcome of each job. It returns errReported unless all jobs were accepted.
func (l *apiClient) writeJobOutcomes(r oper.JobsReply) error {
	var err error
	var rows [][]string
	for _, i := range r.Items {
		if i.Outcome != oper.Accepted {
			err = errReported
		}
		rows = append(rows, formatRow(i.ID, i.DataCentre, i.Outcome, i.State, i.Reason))
	}
	if l.asJSON {
		return errors.Join(l.app.writeJSON(r), err)
	}
	return errors.Join(l.app.table([]string{"JOB", "DATA CENTRE", "OUTCOME", "STATE", "REASON"}, rows), err)
}

func (a *app) jobListCommand() *command {
	l, dc, pool, state := a.newAPIClient(), "", "", ""
	return &command{
		app: a, name: "list", synopsis: "list jobs", usage: program + " job list [flags]",
		flags: func(f *flag.FlagSet) {
			l.flags(f)
			f.StringVar(&dc, "data-centre", "", "only of this data centre")
			f.StringVar(&pool, "pool", "", "only of this pool")
			f.StringVar(&state, "state", "", "only in this state: waiting, running, done, givenUp or canceled")
		},
		run: func(c context.Context, _ *flag.FlagSet) error {
			return l.writeJobs(c, "?dataCentre="+escape(dc)+"&pool="+escape(pool)+"&state="+escape(state), false)
		},
	}
}

func (a *app) jobShowCommand() *command {
	l, dc := a.newAPIClient(), ""
	return &command{
		app: a, name: "show", synopsis: "show one job", usage: program + " job show [flags] ID",
		flags: func(f *flag.FlagSet) {
			l.flags(f)
			f.StringVar(&dc, "data-centre", "", "only of this data centre")
		},
		run: func(c context.Context, f *flag.FlagSet) error {
			id, err := oneArg(f)
			if err != nil {
				return err
			}
			return l.writeJobs(c, "?id="+escape(id)+"&dataCentre="+escape(dc), true)
		},
	}
}

// writeJobs prints the jobs that match the query. If mustExist is set, it fails if there are none.
func (l *apiClient) writeJobs(c context.Context, query string, mustExist bool) error {
	var r oper.JobList
	if err := l.get(c, "/op/jobs"+query, &r); err != nil {
		return err
	}
	if mustExist && len(r.Items) == 0 {
		return eris.New("no such job")
	}
	if l.asJSON {
		return l.app.writeJSON(r)
	}
	var rows [][]string
	for _, j := range r.Items {
		s := j.Spec
		rows = append(rows, formatRow(s.ID, s.DataCentre, s.Pool, s.Kind, j.State, j.Attempt, j.Worker, formatUnixMillis(s.FinishBy), formatUnixMillis(j.EndedMillis), j.Reason))
	}
	return l.app.table([]string{"JOB", "DATA CENTRE", "POOL", "KIND", "STATE", "ATTEMPT", "WORKER", "FINISH BY", "ENDED", "REASON"}, rows)
}

// formatUnixMillis formats a Unix time in milliseconds as RFC 3339 in UTC. Zero becomes the empty string.
func formatUnixMillis(ms int64) string {
	if ms == 0 {
		return ""
	}
	return time.UnixMilli(ms).UTC().Format(time.RFC3339)
}
