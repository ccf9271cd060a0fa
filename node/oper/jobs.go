package oper

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"burdockreach.dev/node/jobs"
	"burdockreach.dev/plat/keyval"
)

// MaxJobsPerRequest is the maximum number of jobs in one request.
const MaxJobsPerRequest = 100

// maxJobCalls is the number of jobs of one request that are submitted or canceled concurrently.
const maxJobCalls = 8

// Jobs is the access to the job queues of the data centres that the API needs.
type Jobs interface {
	// Submit adds the job. Submitting the same job again is no error.
	Submit(ctx context.Context, s jobs.Spec) error
	// Cancel cancels the job and returns its record.
	Cancel(ctx context.Context, dataCentre, id string) (jobs.Record, error)
	// List returns the data centre's jobs.
	List(ctx context.Context, dataCentre string) ([]jobs.Record, error)
}

// WithJobs lets operators list, submit and cancel jobs of the data centres. Without it, the API answers requests on jobs with 501.
func WithJobs(j Jobs, dataCentres []string) Option {
	return func(a *API) { a.jobQueue, a.dataCentres = j, dataCentres }
}

// JobsRequest holds jobs to submit or cancel. To cancel a job, data centre and id suffice.
type JobsRequest struct {
	Jobs []jobs.Spec `json:"jobs"`
}

// JobReply is the outcome of the submission or cancellation of one job.
type JobReply struct {
	ID         string     `json:"id"`
	DataCentre string     `json:"dataCentre"`
	Outcome    Outcome    `json:"outcome"`
	State      jobs.State `json:"state,omitempty"` // set after a cancellation
	Reason     string     `json:"reason,omitempty"`
}

// JobsReply answers a submission or cancellation with one reply for each job.
type JobsReply struct {
	Items []JobReply `json:"items"`
}

// JobList is a list of jobs.
type JobList struct {
	Items []jobs.Record `json:"items"`
}

// requireJobs wraps h: it answers 501 when the entry runs no jobs, and limits h to commitTimeout.
func (a *API) requireJobs(h handler) handler {
	return func(c context.Context, x *fasthttp.RequestCtx) {
		if a.jobQueue == nil {
			a.refuse(x, fasthttp.StatusNotImplemented, Refusal{Reason: "this entry runs no jobs"})
			return
		}
		t, cancel := context.WithTimeout(c, commitTimeout)
		defer cancel()
		h(t, x)
	}
}

// listJobs answers with the jobs that match the query, from all data centres unless the query names one.
func (a *API) listJobs(c context.Context, x *fasthttp.RequestCtx) {
	arg := func(k string) string { return string(x.QueryArgs().Peek(k)) }
	r := JobList{Items: []jobs.Record{}}
	for _, d := range a.dataCentres {
		if !matches(arg("dataCentre"), d) {
			continue
		}
		l, err := a.jobQueue.List(c, d)
		if err != nil {
			a.refuse(x, fasthttp.StatusGatewayTimeout, Refusal{Reason: eris.ToString(err, false)})
			return
		}
		for _, j := range l {
			if matches(arg("id"), j.Spec.ID) && matches(arg("pool"), j.Spec.Pool) && matches(arg("state"), string(j.State)) {
				r.Items = append(r.Items, j)
			}
		}
	}
	reply(x, fasthttp.StatusOK, r)
}

func (a *API) submitJobs(c context.Context, x *fasthttp.RequestCtx) {
	a.forEachJob(c, x, "submitJob", func(c context.Context, s jobs.Spec) (jobs.State, error) {
		if _, ok := a.config.Document().Pool(s.Pool); !ok {
			return "", eris.Wrapf(jobs.ErrMalformed, "pool %q: an existing pool", truncate(s.Pool))
		}
		return "", a.jobQueue.Submit(c, s)
	})
}

func (a *API) cancelJobs(c context.Context, x *fasthttp.RequestCtx) {
	a.forEachJob(c, x, "cancelJob", func(c context.Context, s jobs.Spec) (jobs.State, error) {
		r, err := a.jobQueue.Cancel(c, s.DataCentre, s.ID)
		return r.State, err
	})
}

// forEachJob calls f for each job of the request body, at most maxJobCalls at a time, and answers with the outcome of each.
func (a *API) forEachJob(c context.Context, x *fasthttp.RequestCtx, step string, f func(context.Context, jobs.Spec) (jobs.State, error)) {
	q, bad := parseJobs(x.PostBody())
	if bad != nil {
		a.refuse(x, fasthttp.StatusBadRequest, *bad)
		return
	}
	r := JobsReply{Items: make([]JobReply, len(q.Jobs))}
	var g errgroup.Group
	g.SetLimit(maxJobCalls)
	for n, s := range q.Jobs {
		g.Go(func() error {
			r.Items[n] = a.applyToJob(c, s, f)
			return nil
		})
	}
	_ = g.Wait() // errors are in the replies
	for _, i := range r.Items {
		a.log.Info().Str("step", step).Stringer("peer", x.RemoteAddr()).Str("job", i.ID).Str("dataCentre", i.DataCentre).
			Str("outcome", string(i.Outcome)).Str("reason", i.Reason).Msg("job")
	}
	reply(x, fasthttp.StatusOK, r)
}

func (a *API) applyToJob(c context.Context, s jobs.Spec, f func(context.Context, jobs.Spec) (jobs.State, error)) JobReply {
	r := JobReply{ID: truncate(s.ID), DataCentre: truncate(s.DataCentre), Outcome: NotAccepted}
	if !slices.Contains(a.dataCentres, s.DataCentre) {
		r.Reason = "dataCentre: one of " + strings.Join(a.dataCentres, ", ")
		return r
	}
	state, err := f(c, s)
	r.State = state
	switch {
	case err == nil:
		r.Outcome = Accepted
		return r
	case errors.Is(err, jobs.ErrMalformed), errors.Is(err, jobs.ErrExists), errors.Is(err, jobs.ErrNotFound), errors.Is(err, keyval.ErrDown):
	default:
		r.Outcome = Unknown
	}
	r.Reason = eris.ToString(err, false)
	return r
}

func parseJobs(b []byte) (JobsRequest, *Refusal) {
	var q JobsRequest
	d := json.NewDecoder(strings.NewReader(string(b)))
	d.DisallowUnknownFields()
	if err := d.Decode(&q); err != nil {
		f := jsonRefusal(err)
		f.Reason = "malformed jobs"
		return q, f
	}
	if len(q.Jobs) == 0 || len(q.Jobs) > MaxJobsPerRequest {
		return q, &Refusal{Reason: "malformed jobs", Field: "jobs", Value: "too few or too many", Allowed: "1 to 100 jobs"}
	}
	return q, nil
}
