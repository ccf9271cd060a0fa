package entry

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"burdockreach.dev/flow/sched"
	"burdockreach.dev/node/burn"
	"burdockreach.dev/node/conns"
)

// call handles one request from its arrival to its final answer.
type call struct {
	entry        *Entry
	http         *fasthttp.RequestCtx
	req          checkedRequest
	svc          *service
	schedID      sched.ID
	cmds         chan sched.Cmd
	requestID    string
	arrivedAt    time.Time
	deadline     time.Time
	claim        Claim
	targetFailed bool // http.Response holds a 5xx answer of the target
}

// serve handles one request: health check, admission, checks, then scheduling and sending.
func (e *Entry) serve(x *fasthttp.RequestCtx) {
	id := e.requestIDs.next()
	if string(x.Request.Header.RequestURI()) == healthPath {
		e.serveHealth(x)
		return
	}
	if !e.beginRequest() {
		notRun(fasthttp.StatusServiceUnavailable, "accept", "the entry is stopping").after(time.Second).write(x, id)
		x.SetConnectionClose()
		return
	}
	defer e.endRequest(x)
	if n := int64(len(x.Request.Body())); e.bodyBytes.Add(n) > e.settings.MaxQueueBytes() {
		e.bodyBytes.Add(-n)
		e.refuse(x, checkedRequest{}, id, notRun(fasthttp.StatusServiceUnavailable, "accept", "too many bytes of bodies are waiting").after(time.Second))
		return
	}
	defer e.bodyBytes.Add(-int64(len(x.Request.Body())))
	o, r := e.check(x, e.documents.Document())
	if r != nil {
		e.refuse(x, o, id, r)
		return
	}
	c := call{entry: e, http: x, req: o, svc: e.service(o.service), requestID: id, arrivedAt: time.Now()}
	c.deadline = c.arrivedAt.Add(o.timeout)
	c.run(e.requestCtx)
}

// refuse logs, counts and answers a request that did not pass its checks.
func (e *Entry) refuse(x *fasthttp.RequestCtx, o checkedRequest, id string, r *Refusal) {
	e.log.Info().Str("request", id).Str("step", r.Step).Str("team", o.team).Str("reason", r.Reason).Msg("refused")
	e.counters.refused.Add(1)
	r.write(x, id)
}

// run executes the scheduler's commands until the caller has its final answer.
func (c *call) run(ctx context.Context) {
	c.rewriteRequest()
	c.schedID, c.cmds = c.svc.arrive(sched.ArriveMsg{
		Now: c.arrivedAt, Team: c.req.team, Class: c.req.class, Deadline: c.deadline, Idempotent: c.req.idempotent,
	})
	defer c.svc.forget(c.schedID, c.cmds)
	for {
		switch m := (<-c.cmds).(type) {
		case sched.EndCmd:
			c.giveUp(m)
			return
		case sched.SendCmd:
			if c.attempt(ctx, m) {
				return
			}
		}
	}
}

// rewriteRequest rewrites the caller's request for the target: it sets the path, removes the token and adds the entry's headers.
func (c *call) rewriteRequest() {
	h := &c.http.Request.Header
	c.http.Request.SetRequestURIBytes(c.req.path)
	h.Del(fasthttp.HeaderAuthorization)
	h.Del(fasthttp.HeaderConnection)
	h.Set(headerRequest, c.requestID)
	h.Set(headerTeam, c.req.team)
}

// attempt sends the request once, if it still may be sent, and reports whether the caller has its final answer.
func (c *call) attempt(ctx context.Context, m sched.SendCmd) bool {
	if m.Attempt == 1 && time.Since(c.arrivedAt) > goneCheckDelay && conns.ClosedByPeer(c.http.Conn()) {
		c.reportDone(m, sched.NotSent, false)
		c.entry.counters.cancelled.Add(1)
		c.http.Response.Reset()
		return true
	}
	if r := c.checkClaimAge(); r != nil {
		c.reportDone(m, sched.NotSent, false)
		c.finish(r)
		return true
	}
	if r := c.claimKey(ctx); r != nil {
		c.reportDone(m, sched.NotSent, false)
		c.finish(r)
		return true
	}
	result, leaving := c.send(ctx, m)
	c.reportDone(m, result, leaving)
	if result == sched.Answered {
		c.passAnswer()
	}
	return result == sched.Answered
}

func (c *call) reportDone(m sched.SendCmd, r sched.Result, leaving bool) {
	if leaving {
		c.entry.markLeaving(m.Target)
	}
	c.svc.sendDone(sched.DoneMsg{Now: time.Now(), ID: c.schedID, Target: m.Target, Result: r, Leaving: leaving})
}

// send sends the request to the target once and returns the result; leaving reports that the target is leaving.
func (c *call) send(ctx context.Context, m sched.SendCmd) (r sched.Result, leaving bool) {
	c.targetFailed = false
	t := c.entry.target(m.Target)
	if t == nil {
		return sched.NotRun, true
	}
	limit := c.attemptDeadline(m)
	h := &c.http.Request.Header
	h.SetHost(t.addr)
	h.Set(headerDeadline, strconv.FormatInt(time.Until(c.deadline).Milliseconds(), 10))
	err := t.conns.Send(ctx, &c.http.Request, &c.http.Response, limit, !c.req.idempotent)
	switch {
	case errors.Is(err, conns.ErrNotSent):
		c.entry.health.recordFailure(m.Target, true, time.Now())
		c.logSendFailure(m, "connect", err)
		return sched.NotRun, false
	case err != nil:
		c.entry.health.recordFailure(m.Target, false, time.Now())
		c.logSendFailure(m, "send", err)
		return sched.Unknown, false
	}
	return c.classifyAnswer(m.Target)
}

// attemptDeadline returns the deadline of one attempt. The first attempt of an idempotent request gets half of the time left, so that a
// retry on another connection remains possible.
func (c *call) attemptDeadline(m sched.SendCmd) time.Time {
	if !c.req.idempotent || m.Attempt > 1 {
		return c.deadline
	}
	left := time.Until(c.deadline)
	if left < minRetryTime {
		return c.deadline
	}
	return c.deadline.Add(-left / 2)
}

// goneCheckDelay is the wait from which the entry checks, before the first attempt, whether the caller has closed its connection.
const goneCheckDelay = 5 * time.Millisecond

// minRetryTime is the least time left that is split between two attempts.
const minRetryTime = 200 * time.Millisecond

// classifyAnswer maps the target's status and headers to a result.
func (c *call) classifyAnswer(vm string) (r sched.Result, leaving bool) {
	h := &c.http.Response.Header
	status := c.http.Response.StatusCode()
	if status == fasthttp.StatusServiceUnavailable && len(h.Peek(headerNotRun)) > 0 {
		return sched.NotRun, len(h.Peek(headerLeaving)) > 0
	}
	if status >= fasthttp.StatusInternalServerError {
		c.targetFailed = true
		c.entry.health.recordFailure(vm, false, time.Now())
		return sched.Failed, false
	}
	c.entry.health.recordSuccess(vm)
	return sched.Answered, false
}

func (c *call) logSendFailure(m sched.SendCmd, step string, err error) {
	c.entry.counters.lost.Add(1)
	c.entry.log.Warn().Str("request", c.requestID).Str("step", step).Str("peer", m.Target).Err(err).Msg("sendFailed")
}

// passAnswer completes the target's answer with the entry's headers and counts it.
func (c *call) passAnswer() {
	c.settleClaim(OutcomeAnswered)
	h := &c.http.Response.Header
	h.ResetConnectionClose()
	h.Set(headerRequest, c.requestID)
	h.Set(headerOutcome, string(OutcomeAnswered))
	h.Set(headerEntry, c.entry.settings.Name())
	c.entry.countOutcome(c.req, c.burnOutcome())
	c.entry.counters.answered.Add(1)
}

// burnOutcome returns how the answer counts against the objective.
func (c *call) burnOutcome() burn.Outcome {
	switch {
	case c.targetFailed:
		return burn.Failed
	case time.Now().After(c.deadline):
		return burn.Late
	}
	return burn.Good
}

// giveUp answers a request that the scheduler ended. If the last attempt got a 5xx answer of the target, the caller gets that.
func (c *call) giveUp(m sched.EndCmd) {
	if c.targetFailed {
		c.passAnswer()
		return
	}
	c.finish(ended(m))
}

// finish answers the caller with a refusal, or with the stored answer of an earlier copy.
func (c *call) finish(r *Refusal) {
	c.settleClaim(r.Outcome)
	c.entry.log.Info().Str("request", c.requestID).Str("step", r.Step).Str("team", c.req.team).Str("service", c.req.service).
		Str("outcome", string(r.Outcome)).Str("reason", r.Reason).Msg("ended")
	c.entry.countUnanswered(c.req, r)
	r.write(c.http, c.requestID)
}
