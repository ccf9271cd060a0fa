// Package front serves callers. It finds the queue of a request by host and path, and forwards the request to the owner of the jobs.
package front

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"burdockreach.dev/fleet/batch"
	"burdockreach.dev/node/board"
	"burdockreach.dev/node/desk"
	"burdockreach.dev/node/owner"
	"burdockreach.dev/node/stats"
	"burdockreach.dev/plat/keyval"
)

// Timeouts of requests and connections.
const (
	defaultDeadline     = 3 * time.Second        // for callers that name no deadline, and the longest that counts.
	responseMargin      = 150 * time.Millisecond // part of the deadline kept for sending the response.
	ownerRetryWindow    = 350 * time.Millisecond // retries while the owner changes; less than a quarter of an objective.
	ownerRetryInterval  = 40 * time.Millisecond
	ownerCallTimeout    = 900 * time.Millisecond // of one call; after this time another entry may be the owner.
	lookupTimeout       = 800 * time.Millisecond // of a read at the owner or the store.
	idleTimeout         = 30 * time.Second
	readTimeout         = 10 * time.Second
	defaultRetryAfterMs = 1_000 // sent to callers while no owner answers; a change of owner takes about this time.
)

// maxBodyBytes is the largest request body while the configuration sets no limit.
const maxBodyBytes = 1 << 20

// Codec decodes the bodies of callers' requests and encodes those of the responses.
type Codec interface {
	Job(body []byte) (batch.Job, error)
	State(s batch.State) []byte
	Failed(reason string) []byte
	Pending(n int) []byte
	Error(reason string, retryMs int64) []byte
	DeadlineHeader() string
	KeyHeader() string
}

// OwnerResolver returns the peer address of the owner of the jobs.
type OwnerResolver interface {
	Owner() string // empty while there is no owner.
	OwnerFailed()  // tells that the owner could not be called, or that it is not the owner.
}

// Front serves callers.
type Front struct {
	board   *board.Board
	claims  OwnerResolver
	desk    *desk.Client
	store   owner.Getter
	codec   Codec
	log     zerolog.Logger
	stats   *stats.Registry
	server  *fasthttp.Server
	leaving atomic.Bool
	teams   teamNames
}

// Dependencies holds what New needs to build a Front.
type Dependencies struct {
	Board  *board.Board
	Claims OwnerResolver
	Desk   *desk.Client
	Store  owner.Getter
	Codec  Codec
	Log    zerolog.Logger
	Stats  *stats.Registry
}

// New returns a front that does not listen yet.
func New(p Dependencies) *Front {
	f := &Front{board: p.Board, claims: p.Claims, desk: p.Desk, store: p.Store, codec: p.Codec, log: p.Log, stats: p.Stats}
	f.teams.names = map[string]bool{}
	f.server = &fasthttp.Server{
		Handler: f.handle, ErrorHandler: f.handleUnreadable, HeaderReceived: f.requestConfig,
		IdleTimeout: idleTimeout, ReadTimeout: readTimeout, MaxRequestBodySize: maxBodyBytes,
		NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true, Logger: discardLogger{},
	}
	return f
}

// discardLogger drops the server's messages about broken connections, which the counters already cover.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Serve serves callers on l until ctx ends. For the first half of drain it still answers, and asks clients to close their
// connections. In the second half it takes no new connections and waits for requests in flight.
func (f *Front) Serve(ctx context.Context, l net.Listener, drain time.Duration) error {
	done := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() {
		f.leaving.Store(true)
		time.Sleep(drain / 2)
		c, cancel := context.WithTimeout(context.WithoutCancel(ctx), drain/2)
		defer cancel()
		done <- f.server.ShutdownWithContext(c)
	})
	err := f.server.Serve(l)
	if !stop() {
		if e := <-done; e != nil {
			f.log.Warn().Str("step", "shutdown").Err(e).Msg("requests were in flight at the end")
		}
	}
	if err != nil {
		return eris.Wrapf(err, "front: serve at %s", l.Addr())
	}
	return nil
}

// Draining reports whether the front is draining.
func (f *Front) Draining() bool { return f.leaving.Load() }

// answer is the response to a caller. The reason is for the log; the body holds it already.
type answer struct {
	status       int
	body         []byte
	retryAfterMs int64
	reason       string
}

func (f *Front) handle(c *fasthttp.RequestCtx) {
	begin := time.Now()
	if f.leaving.Load() {
		c.SetConnectionClose()
	}
	host, path := string(c.Host()), string(c.Path())
	q, rest, version, ok := f.board.Find(host, path)
	var a answer
	var from caller
	switch {
	case f.headerTooLarge(&c.Request.Header):
		a = f.refuse(fasthttp.StatusRequestHeaderFieldsTooLarge, "the header is too large", 0)
	case version == 0:
		a = f.refuse(fasthttp.StatusServiceUnavailable, "no configuration yet", defaultRetryAfterMs)
	case !ok:
		a = f.refuse(fasthttp.StatusNotFound, "no such queue", 0)
	default:
		if from = f.identify(&c.Request.Header, q); from.refusal != "" {
			a = f.refuse(fasthttp.StatusUnauthorized, from.refusal, 0)
		} else {
			a = f.route(c, q, rest, from.team, begin)
		}
	}
	f.writeAnswer(c, a, begin, requestInfo{queue: q.Name, id: rest, version: version, caller: from})
}

// requestInfo holds the fields of a request's log line that are not in its answer.
type requestInfo struct {
	queue, id string
	version   int64
	caller    caller
}

// writeAnswer writes the response, counts it and logs it.
func (f *Front) writeAnswer(c *fasthttp.RequestCtx, a answer, begin time.Time, l requestInfo) {
	c.SetStatusCode(a.status)
	c.SetContentType("application/json")
	if a.retryAfterMs > 0 {
		c.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt((a.retryAfterMs+999)/1000, 10))
	}
	c.SetBody(a.body)
	took := time.Since(begin)
	f.stats.Observe("request_"+strings.ToLower(string(c.Method())), took)
	f.stats.Add("status_"+strconv.Itoa(a.status), 1)
	f.countCall(l.caller.team, a.status)
	if a.status == fasthttp.StatusOK && string(c.Method()) == fasthttp.MethodGet {
		return // most requests are of this kind; the counters cover them.
	}
	e := f.log.Info()
	if l.caller.team != "" {
		e.Str("team", l.caller.team)
	}
	if l.caller.keyDigest != "" {
		e.Str("keyDigest", l.caller.keyDigest)
	}
	e.Str("request", l.id).Str("method", string(c.Method())).Str("queue", l.queue).Int64("config", l.version).
		Str("owner", f.claims.Owner()).Int("status", a.status).Str("reason", a.reason).Int64("retryMs", a.retryAfterMs).
		Int64("tookMs", took.Milliseconds()).Msg("answered")
}

func (f *Front) refuse(status int, reason string, retry int64) answer {
	return answer{status: status, body: f.codec.Error(reason, retry), retryAfterMs: retry, reason: reason}
}

func (f *Front) route(c *fasthttp.RequestCtx, q board.Queue, id, team string, begin time.Time) answer {
	m := string(c.Method())
	switch {
	case m == fasthttp.MethodGet && id == "":
		return f.pending(q)
	case !batch.ValidID(id):
		return f.refuse(fasthttp.StatusBadRequest, "id "+strconv.Quote(id)+" is not 16 hexadecimal digits", 0)
	case m == fasthttp.MethodPost:
		return f.submit(c, q, id, team, begin)
	case m == fasthttp.MethodGet:
		return f.state(id)
	case m == fasthttp.MethodDelete:
		return f.cancel(c, id, begin)
	}
	return f.refuse(fasthttp.StatusMethodNotAllowed, "method "+m+" is not offered", 0)
}

// deadline returns the time by which the response must be sent.
func (f *Front) deadline(c *fasthttp.RequestCtx, begin time.Time) time.Time {
	d := defaultDeadline
	if n, err := strconv.ParseInt(string(c.Request.Header.Peek(f.codec.DeadlineHeader())), 10, 64); err == nil && n > 0 {
		d = min(time.Duration(n)*time.Millisecond, defaultDeadline)
	}
	return begin.Add(max(d-responseMargin, d/2))
}

func (f *Front) submit(c *fasthttp.RequestCtx, q board.Queue, id, team string, begin time.Time) answer {
	j, err := f.codec.Job(c.PostBody())
	if err != nil {
		return f.refuse(fasthttp.StatusBadRequest, err.Error(), 0)
	}
	j.Team = team
	j.ID, j.Queue, j.Service, j.Priority, j.Attempts = id, q.Name, q.Service, q.Priority, q.Attempts
	j.ObjectiveFactor, j.ObjectiveExtraMs, j.Advised = q.ObjectiveFactor, q.ObjectiveExtraMs, q.Advice != nil
	if err := j.Validate(); err != nil {
		return f.refuse(fasthttp.StatusBadRequest, err.Error(), 0)
	}
	b, err := json.Marshal(j)
	if err != nil {
		return f.refuse(fasthttp.StatusBadRequest, err.Error(), 0)
	}
	attempt := strconv.FormatUint(rand.Uint64(), 36) //nolint:gosec // it needs to be unique only.
	r, err := f.callOwner(f.deadline(c, begin), func(x context.Context, d desk.Desk) (*desk.Reply, error) {
		return d.Submit(x, &desk.SubmitRequest{Job: b, AgeMs: time.Since(begin).Milliseconds(), Attempt: attempt})
	})
	if err != nil {
		return f.callFailed(err)
	}
	switch batch.Verdict(r.GetVerdict()) {
	case batch.Accepted:
		return answer{status: fasthttp.StatusOK, body: f.codec.State(batch.StateQueued)}
	case batch.Malformed:
		return f.refuse(fasthttp.StatusBadRequest, r.GetReason(), 0)
	case batch.Refused:
		return f.refuse(fasthttp.StatusServiceUnavailable, r.GetReason(), r.GetRetryAfterMs())
	}
	return f.refuse(fasthttp.StatusGatewayTimeout, "outcome unknown", 0)
}

// callFailed returns the answer for a call to the owner without a reply: 503 if the call certainly had no effect, 504 otherwise.
func (f *Front) callFailed(err error) answer {
	if desk.IsNotSent(err) {
		return f.refuse(fasthttp.StatusServiceUnavailable, "no owner of the jobs answers", defaultRetryAfterMs)
	}
	return f.refuse(fasthttp.StatusGatewayTimeout, "outcome unknown: "+err.Error(), 0)
}

// callOwner calls the owner, with retries. A call that certainly had no effect is retried for ownerRetryWindow, because the owner may
// be changing. A call that may have had an effect is retried until the deadline, because only the owner knows the outcome. Retries are
// safe: calls are idempotent by the job's id. A refusal does not count if another process may have accepted the job.
func (f *Front) callOwner(until time.Time, call func(context.Context, desk.Desk) (*desk.Reply, error)) (*desk.Reply, error) {
	retryUntil := time.Now().Add(ownerRetryWindow)
	var unknownErr error
	unanswered := map[string]bool{} // addresses of calls that may have had an effect.
	for {
		a := f.claims.Owner()
		r, err := f.callOwnerOnce(a, until, call)
		switch {
		case err == nil:
			delete(unanswered, a) // a process that has refused a request refuses all copies of it that arrive later.
			if batch.Verdict(r.GetVerdict()) != batch.Refused || len(unanswered) == 0 {
				return r, nil
			}
			f.claims.OwnerFailed() // it may be a former owner.
		case !desk.IsNotSent(err):
			unknownErr, unanswered[a] = err, true
		}
		now := time.Now()
		switch {
		case unknownErr == nil && now.After(retryUntil):
			return nil, err
		case now.Add(ownerRetryInterval).After(until):
			return nil, cmp.Or(unknownErr, err)
		}
		time.Sleep(ownerRetryInterval)
	}
}

// callOwnerOnce makes one call to the owner at address a, and drops idle connections to it after a call whose outcome is unknown.
func (f *Front) callOwnerOnce(a string, until time.Time, call func(context.Context, desk.Desk) (*desk.Reply, error)) (*desk.Reply, error) {
	if a == "" {
		f.claims.OwnerFailed()
		return nil, desk.ErrNotSent
	}
	x, cancel := context.WithDeadline(context.Background(), earlier(until, time.Now().Add(ownerCallTimeout)))
	defer cancel()
	r, err := call(x, f.desk.At(a))
	if err == nil {
		return r, nil
	}
	f.claims.OwnerFailed()
	if !desk.IsNotSent(err) {
		f.stats.Add("owner_unanswered", 1)
		f.desk.Reset(a)
	}
	return nil, err
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// state answers with the state of a job from the owner or, if the owner does not know it, from the store. Why a job has failed stands in
// the store alone.
func (f *Front) state(id string) answer {
	x, cancel := context.WithTimeout(context.Background(), lookupTimeout)
	defer cancel()
	if a := f.claims.Owner(); a != "" {
		r, err := f.desk.At(a).State(x, &desk.JobRequest{Id: id})
		if err == nil && r.GetReady() && r.GetState() == string(batch.StateFailed) {
			if s := f.storedState(id); s.status == fasthttp.StatusOK {
				return s
			}
		}
		if err == nil && r.GetReady() && r.GetState() != string(batch.StateAbsent) {
			return answer{status: fasthttp.StatusOK, body: f.codec.State(batch.State(r.GetState()))}
		}
		if err != nil || !r.GetReady() {
			f.claims.OwnerFailed()
		}
		if err != nil && errors.Is(x.Err(), context.DeadlineExceeded) {
			f.desk.Reset(a)
		}
	}
	return f.storedState(id)
}

// storedState answers with the state of a job from the store, which has every accepted job.
func (f *Front) storedState(id string) answer {
	x, cancel := context.WithTimeout(context.Background(), lookupTimeout)
	defer cancel()
	s, reason, err := owner.ReadState(x, f.store, id)
	switch {
	case err != nil:
		return f.refuse(fasthttp.StatusServiceUnavailable, storeReason(err), defaultRetryAfterMs)
	case s == batch.StateAbsent:
		return f.refuse(fasthttp.StatusGone, "no such job", 0)
	}
	if s == batch.StateFailed && reason != "" {
		return answer{status: fasthttp.StatusOK, body: f.codec.Failed(reason)}
	}
	return answer{status: fasthttp.StatusOK, body: f.codec.State(s)}
}

// storeReason tells a caller why the store could not be read.
func storeReason(err error) string {
	switch {
	case errors.Is(err, keyval.ErrRejected):
		return "the store rejects the call"
	case errors.Is(err, keyval.ErrBusy):
		return "the store takes no calls now"
	}
	return "the store does not answer"
}

func (f *Front) cancel(c *fasthttp.RequestCtx, id string, begin time.Time) answer {
	r, err := f.callOwner(f.deadline(c, begin), func(x context.Context, d desk.Desk) (*desk.Reply, error) {
		return d.Cancel(x, &desk.JobRequest{Id: id})
	})
	if err != nil {
		return f.callFailed(err)
	}
	if batch.Verdict(r.GetVerdict()) == batch.Accepted {
		return answer{status: fasthttp.StatusOK, body: f.codec.State(batch.StateCanceled)}
	}
	if a := f.storedState(id); a.status != fasthttp.StatusOK {
		return a
	}
	return f.refuse(fasthttp.StatusServiceUnavailable, "the claim is changing hands", defaultRetryAfterMs)
}

func (f *Front) pending(q board.Queue) answer {
	x, cancel := context.WithTimeout(context.Background(), lookupTimeout)
	defer cancel()
	if a := f.claims.Owner(); a != "" {
		r, err := f.desk.At(a).Pending(x, &desk.PendingRequest{})
		if err == nil && r.GetReady() {
			return answer{status: fasthttp.StatusOK, body: f.codec.Pending(int(r.GetQueues()[q.Name]))}
		}
	}
	return f.refuse(fasthttp.StatusServiceUnavailable, "no owner of the jobs answers", defaultRetryAfterMs)
}
