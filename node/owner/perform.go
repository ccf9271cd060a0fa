package owner

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"burdockreach.dev/fleet/batch"
	"burdockreach.dev/node/stats"
	"burdockreach.dev/plat/keyval"
	"burdockreach.dev/plat/steady"
)

// perform carries out one command of the model. It does not wait for calls; their results come back as messages.
func (t *term) perform(ctx context.Context, c batch.Cmd) error {
	switch k := c.(type) {
	case batch.DeposedCmd:
		t.o.log.Warn().Str("reason", k.Reason).Msg("deposed")
		return errClaimLost
	case batch.ReplyCmd:
		t.reply(k)
	case batch.LogCmd:
		t.logEvent(k)
	case batch.StartCmd:
		t.sendOrder(ctx, k.Worker, c)
	case batch.StopCmd:
		t.sendOrder(ctx, k.Worker, c)
	case batch.PollCmd:
		if h := t.helperOf(k.Worker); h != nil {
			h.enqueue(c)
			return nil
		}
		t.callAsync(ctx, c)
	case batch.CommitCmd:
		t.callPooled(ctx, c)
	default:
		t.callAsync(ctx, c)
	}
	return nil
}

// sendOrder sends an order to a worker, through the worker's helper if it has one.
func (t *term) sendOrder(ctx context.Context, worker string, c batch.Cmd) {
	if h := t.helperOf(worker); h != nil {
		h.enqueue(c)
		return
	}
	t.callPooled(ctx, c)
}

// callPooled makes a short call on one of the pooled goroutines, or on a new one when all are busy.
func (t *term) callPooled(ctx context.Context, c batch.Cmd) {
	select {
	case t.calls <- c:
	default: // every pooled goroutine is busy.
		t.callAsync(ctx, c)
	}
}

// callAsync makes a call in a new goroutine.
func (t *term) callAsync(ctx context.Context, c batch.Cmd) {
	t.group.Go(func() error {
		t.call(ctx, c)
		return nil
	})
}

// callGoroutines is the number of pooled goroutines for short calls. Pooling keeps their stacks, which a new goroutine would have to
// grow again for each call.
const callGoroutines = 32

// makeCalls is one pooled goroutine: it makes queued calls until ctx ends.
func (t *term) makeCalls(ctx context.Context) error {
	for {
		select {
		case c := <-t.calls:
			t.call(ctx, c)
		case <-ctx.Done():
			return nil
		}
	}
}

// call makes the call for command c and passes the answer to the model.
func (t *term) call(ctx context.Context, c batch.Cmd) {
	o, sent := t.o, t.o.now()
	begin := time.Now()
	switch k := c.(type) {
	case batch.PollCmd:
		g, err := o.poll(ctx, k)
		g.Sent, g.Fence = sent, k.Fence
		o.count("hold", begin, err)
		t.send(ctx, g)
	case batch.StartCmd:
		r, clock, err := o.startRun(ctx, k)
		o.count("start", begin, err)
		t.send(ctx, batch.StartedMsg{Worker: k.Worker, Task: k.Task, Run: k.Run, Result: r, ClockMs: clock, Sent: sent, Fence: k.Fence})
	case batch.StopCmd:
		r, clock, err := o.workers.Stop(ctx, k)
		o.count("stop", begin, err)
		t.send(ctx, batch.StoppedMsg{Worker: k.Worker, Task: k.Task, Run: k.Run, Result: r, ClockMs: clock, Sent: sent, Fence: k.Fence})
	case batch.PaceCmd:
		r, _, err := o.workers.Pace(ctx, k)
		o.count("pace", begin, err)
		t.send(ctx, batch.PacedMsg{Worker: k.Worker, Task: k.Task, Run: k.Run, Percent: k.Percent, Result: r})
	case batch.CommitCmd:
		t.commit(ctx, k, begin)
	case batch.AdviseCmd:
		g, err := o.workers.Advise(ctx, o.settings.AdviceAddr, k)
		g.Sent = sent
		o.count("advise", begin, err)
		t.send(ctx, g)
	default:
		t.callMachines(ctx, c, sent, begin)
	}
}

// callMachines makes a call for a command that concerns machines or waves.
func (t *term) callMachines(ctx context.Context, c batch.Cmd, sent int64, begin time.Time) {
	o := t.o
	switch k := c.(type) {
	case batch.ListMachinesCmd:
		l, err := o.machines.List(ctx)
		o.count("machines", begin, err)
		t.send(ctx, batch.MachinesMsg{Sent: sent, Failed: err != nil, List: l})
	case batch.MoveCmd:
		r := batch.OrderNotSent
		if _, ok := o.lease.Held(); ok {
			var err error
			r, err = o.machines.Move(ctx, k)
			o.count("move", begin, err)
		}
		t.send(ctx, batch.OrderDoneMsg{Machine: k.Machine, Result: r})
	case batch.UpkeepCmd:
		r := batch.OrderNotSent
		if _, ok := o.lease.Held(); ok {
			var err error
			r, err = o.machines.Upkeep(ctx, k)
			o.count("upkeep", begin, err)
		}
		t.send(ctx, batch.OrderDoneMsg{Machine: k.Machine, Wave: k.Wave, Result: r})
	case batch.ReportCmd:
		t.reportWave(ctx, k)
	}
}

func (o *Owner) count(call string, begin time.Time, err error) {
	count(o.stats, o.log, call, begin, err)
}

// count records the duration of a call, and counts and logs its error.
func count(s *stats.Registry, l zerolog.Logger, call string, begin time.Time, err error) {
	s.Observe(call, time.Since(begin))
	if err == nil {
		return
	}
	s.Add(call+"_errors", 1)
	if !errors.Is(err, context.Canceled) {
		l.Debug().Str("step", call).Err(err).Msg("call failed")
	}
}

func (t *term) claimGuard() keyval.Guard { return keyval.Guard{Key: ClaimKey, Rev: t.fence} }

// commit writes rows in one transaction that fails unless this term still holds the claim.
func (t *term) commit(ctx context.Context, k batch.CommitCmd, begin time.Time) {
	x := keyval.Txn{Guards: []keyval.Guard{t.claimGuard()}}
	for _, r := range k.Rows {
		if r.Guarded {
			x.Guards = append(x.Guards, keyval.Guard{Key: r.Key, Rev: keyval.Revision(r.Rev)})
		}
		x.Writes = append(x.Writes, keyval.Write{Key: r.Key, Value: r.Value, Delete: r.Delete})
	}
	rev, err := t.o.store.Txn(ctx, x)
	t.o.count("txn", begin, err)
	g := batch.CommittedMsg{ID: k.ID, Rev: int64(rev)}
	var c *keyval.ConflictError
	switch {
	case err == nil:
	case errors.As(err, &c):
		g.Outcome = batch.Conflict
		for _, i := range c.Items() {
			if i.Key() == ClaimKey && i.Rev() != t.fence {
				t.reportClaimLost(ctx)
				return
			}
			g.Current = append(g.Current, batch.Row{Key: i.Key(), Value: i.Value(), Rev: int64(i.Rev())})
		}
	case errors.Is(err, keyval.ErrRejected):
		g.Outcome = batch.WriteRejected
	case errors.Is(err, keyval.ErrDown):
		g.Outcome, g.Busy = batch.Unwritten, errors.Is(err, keyval.ErrBusy)
	default:
		g.Outcome = batch.Unknown
	}
	if err != nil {
		g.Detail = err.Error()
	}
	t.send(ctx, g)
}

// reportClaimLost ends the term, because another owner has the claim.
func (t *term) reportClaimLost(ctx context.Context) {
	t.o.lease.Wake()
	t.send(ctx, batch.ClaimLostMsg{Reason: "another process holds the claim"})
}

// reportWave writes the state of a wave for the operator, and retries until the store accepts it.
func (t *term) reportWave(ctx context.Context, k batch.ReportCmd) {
	key, v := t.o.format.WaveState(k.Wave, k.Completed)
	wait := retryInterval
	for ctx.Err() == nil {
		_, err := t.o.store.Txn(ctx, keyval.Txn{Guards: []keyval.Guard{t.claimGuard()}, Writes: []keyval.Write{{Key: key, Value: v}}})
		if err == nil {
			t.o.log.Info().Int("wave", k.Wave).Bool("completed", k.Completed).Msg("wave reported")
			return
		}
		if errors.Is(err, keyval.ErrConflict) {
			t.reportClaimLost(ctx)
			return
		}
		if errors.Is(err, keyval.ErrRejected) {
			wait = rejectedRetryInterval
			t.o.log.Error().Int("wave", k.Wave).Err(err).Msg("wave state rejected")
			t.o.stats.Add("wave_state_rejected", 1)
		}
		steady.Sleep(ctx, wait)
	}
}

// logEvent logs and counts a decision of the model.
func (t *term) logEvent(k batch.LogCmd) {
	e := t.o.log.Info()
	if k.Error {
		e = t.o.log.Error()
	}
	if k.Job != "" {
		e = e.Str("request", k.Job)
	}
	t.o.stats.Add("event_"+metricName(k.Event), 1)
	e.Fields(k.Fields).Int64("fence", int64(t.fence)).Int64("atMs", t.o.now()).Msg(k.Event)
}

// metricName replaces spaces with underscores.
func metricName(s string) string {
	b := []byte(s)
	for i, c := range b {
		if c == ' ' {
			b[i] = '_'
		}
	}
	return string(b)
}
