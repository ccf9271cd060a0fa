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

// call is one request from its arrival to its final answer.
type call struct {
	e        *Entry
	x        *fasthttp.RequestCtx
	o        order
	v        *service
	id       sched.ID
	ch       chan sched.Cmd
	request  string
	start    time.Time
	deadline time.Time
	claim    Claim
	held     bool // x.Response holds the target's own failure
}

// serve takes one request through all its steps.
func (e *Entry) serve(x *fasthttp.RequestCtx) {
	id := e.ids.next()
	if string(x.Request.Header.RequestURI()) == healthPath {
		e.showHealth(x)
		return
	}
	if !e.begin() {
		notRun(fasthttp.StatusServiceUnavailable, "accept", "the entry is stopping").after(time.Second).write(x, id)
		x.SetConnectionClose()
		return
	}
	defer e.end(x)
	if n := int64(len(x.Request.Body())); e.bodies.Add(n) > e.set.MaxQueueBytes() {
		e.bodies.Add(-n)
		e.refused(x, order{}, id, notRun(fasthttp.StatusServiceUnavailable, "accept", "too many bytes of bodies are waiting").after(time.Second))
		return
	}
	defer e.bodies.Add(-int64(len(x.Request.Body())))
	o, r := e.check(x, e.conf.Document())
	if r != nil {
		e.refused(x, o, id, r)
		return
	}
	c := call{e: e, x: x, o: o, v: e.service(o.service), request: id, start: time.Now()}
	c.deadline = c.start.Add(o.timeout)
	c.run(e.ctx)
}

// refused answers a request that did not pass its checks.
func (e *Entry) refused(x *fasthttp.RequestCtx, o order, id string, r *Refusal) {
	e.log.Info().Str("request", id).Str("step", r.Step).Str("team", o.team).Str("reason", r.Reason).Msg("refused")
	e.count.refused.Add(1)
	r.write(x, id)
}

// run follows the scheduler's commands until there is a final answer.
func (c *call) run(ctx context.Context) {
	c.prepare()
	c.id, c.ch = c.v.arrive(sched.ArriveMsg{
		Now: c.start, Team: c.o.team, Class: c.o.class, Deadline: c.deadline, Idempotent: c.o.idempotent,
	})
	defer c.v.leave(c.id, c.ch)
	for {
		switch m := (<-c.ch).(type) {
		case sched.EndCmd:
			c.giveUp(m)
			return
		case sched.SendCmd:
			if c.try(ctx, m) {
				return
			}
		}
	}
}

// prepare turns the caller's request into the one that targets see.
func (c *call) prepare() {
	h := &c.x.Request.Header
	c.x.Request.SetRequestURIBytes(c.o.path)
	h.Del(fasthttp.HeaderAuthorization)
	h.Del(fasthttp.HeaderConnection)
	h.Set(headerRequest, c.request)
	h.Set(headerTeam, c.o.team)
}

// try makes one attempt and reports whether the caller has its final answer.
func (c *call) try(ctx context.Context, m sched.SendCmd) bool {
	if m.Attempt == 1 && time.Since(c.start) > goneAfter && conns.ClosedByPeer(c.x.Conn()) {
		c.done(m, sched.NotSent, false)
		c.e.count.cancelled.Add(1)
		c.x.Response.Reset()
		return true
	}
	if r := c.mayStart(); r != nil {
		c.done(m, sched.NotSent, false)
		c.finish(r)
		return true
	}
	if r := c.claimKey(ctx); r != nil {
		c.done(m, sched.NotSent, false)
		c.finish(r)
		return true
	}
	result, leaving := c.send(ctx, m)
	c.done(m, result, leaving)
	if result == sched.Answered {
		c.answered()
	}
	return result == sched.Answered
}

func (c *call) done(m sched.SendCmd, r sched.Result, leaving bool) {
	if leaving {
		c.e.left(m.Target)
	}
	c.v.done(sched.DoneMsg{Now: time.Now(), ID: c.id, Target: m.Target, Result: r, Leaving: leaving})
}

// send passes the request to the target once and tells what became of it.
func (c *call) send(ctx context.Context, m sched.SendCmd) (r sched.Result, leaving bool) {
	c.held = false
	t := c.e.target(m.Target)
	if t == nil {
		return sched.NotRun, true
	}
	limit := c.limit(m)
	h := &c.x.Request.Header
	h.SetHost(t.addr)
	h.Set(headerDeadline, strconv.FormatInt(time.Until(c.deadline).Milliseconds(), 10))
	err := t.conns.Send(ctx, &c.x.Request, &c.x.Response, limit, !c.o.idempotent)
	switch {
	case errors.Is(err, conns.ErrNotSent):
		c.e.health.sick(m.Target, true, time.Now())
		c.lost(m, "connect", err)
		return sched.NotRun, false
	case err != nil:
		c.e.health.sick(m.Target, false, time.Now())
		c.lost(m, "send", err)
		return sched.Unknown, false
	}
	return c.judge(m.Target)
}

// limit bounds an idempotent attempt so that time is left for one on another connection.
func (c *call) limit(m sched.SendCmd) time.Time {
	if !c.o.idempotent || m.Attempt > 1 {
		return c.deadline
	}
	left := time.Until(c.deadline)
	if left < minSplit {
		return c.deadline
	}
	return c.deadline.Add(-left / 2)
}

// goneAfter is the least wait after which a caller may have gone away.
const goneAfter = 5 * time.Millisecond

// minSplit is the least time left that is worth two attempts.
const minSplit = 200 * time.Millisecond

// judge tells what the target's answer means.
func (c *call) judge(vm string) (r sched.Result, leaving bool) {
	h := &c.x.Response.Header
	status := c.x.Response.StatusCode()
	if status == fasthttp.StatusServiceUnavailable && len(h.Peek(headerNotRun)) > 0 {
		return sched.NotRun, len(h.Peek(headerLeaving)) > 0
	}
	if status >= fasthttp.StatusInternalServerError {
		c.held = true
		c.e.health.sick(vm, false, time.Now())
		return sched.Failed, false
	}
	c.e.health.well(vm)
	return sched.Answered, false
}

func (c *call) lost(m sched.SendCmd, step string, err error) {
	c.e.count.lost.Add(1)
	c.e.log.Warn().Str("request", c.request).Str("step", step).Str("peer", m.Target).Err(err).Msg("sendFailed")
}

// answered passes the target's whole answer on.
func (c *call) answered() {
	c.settle(OutcomeAnswered)
	h := &c.x.Response.Header
	h.ResetConnectionClose()
	h.Set(headerRequest, c.request)
	h.Set(headerOutcome, string(OutcomeAnswered))
	h.Set(headerEntry, c.e.set.Name())
	c.e.burn(c.o, c.outcome())
	c.e.count.answered.Add(1)
}

// outcome tells how the answer counts against the objective.
func (c *call) outcome() burn.Outcome {
	switch {
	case c.held:
		return burn.Failed
	case time.Now().After(c.deadline):
		return burn.Late
	}
	return burn.Good
}

// giveUp gives the final answer that the scheduler decided on; a failure that the target itself answered is passed on.
func (c *call) giveUp(m sched.EndCmd) {
	if c.held {
		c.answered()
		return
	}
	c.finish(ended(m))
}

// finish gives the caller an answer that is not the target's.
func (c *call) finish(r *Refusal) {
	c.settle(r.Outcome)
	c.e.log.Info().Str("request", c.request).Str("step", r.Step).Str("team", c.o.team).Str("service", c.o.service).
		Str("outcome", string(r.Outcome)).Str("reason", r.Reason).Msg("ended")
	c.e.spent(c.o, r)
	r.write(c.x, c.request)
}
