package owner

import (
	"context"

	"burdockreach.dev/fleet/batch"
	"burdockreach.dev/plat/keyval"
)

// watchWorkers keeps the model up to date with the list of workers in the store, until ctx ends.
func (t *term) watchWorkers(ctx context.Context) error {
	return keyval.Follow(ctx, t.o.store, t.o.format.WorkersPrefix(), workerWatchTimeout, &workerSink{t: t, ctx: ctx})
}

// workerSink passes changes of the list of workers to the model.
type workerSink struct {
	t   *term
	ctx context.Context //nolint:containedctx // the sink is used only while its Follow call runs.
}

// Reset implements keyval.Sink.
func (r *workerSink) Reset(items []keyval.Item) {
	m := batch.WorkersMsg{All: true}
	for _, i := range items {
		r.add(&m, i)
	}
	r.t.send(r.ctx, m)
}

// Apply implements keyval.Sink.
func (r *workerSink) Apply(events []keyval.Event) {
	m := batch.WorkersMsg{}
	for _, e := range events {
		if e.Deleted() {
			m.Gone = append(m.Gone, r.t.o.format.WorkerID(e.Item().Key()))
			continue
		}
		r.add(&m, e.Item())
	}
	r.t.send(r.ctx, m)
}

// add adds the list entry of a worker to the message. A worker whose entry cannot be decoded counts as gone.
func (r *workerSink) add(m *batch.WorkersMsg, i keyval.Item) {
	e, err := r.t.o.format.Entry(i)
	if err != nil {
		r.t.o.log.Warn().Str("key", i.Key()).Int64("revision", int64(i.Rev())).Err(err).Msg("entry passed over")
		m.Gone = append(m.Gone, r.t.o.format.WorkerID(i.Key()))
		return
	}
	m.Set = append(m.Set, e)
	m.Gone = without(m.Gone, e.ID)
}

func without(l []string, s string) []string {
	k := l[:0]
	for _, x := range l {
		if x != s {
			k = append(k, x)
		}
	}
	return k
}

// Disconnected implements keyval.Sink.
func (r *workerSink) Disconnected(err error) {
	r.t.o.log.Warn().Str("dependency", "store").Str("step", "watch workers").Err(err).Msg("dependency lost")
}

// Reconnected implements keyval.Sink.
func (r *workerSink) Reconnected() {
	r.t.o.log.Info().Str("dependency", "store").Str("step", "watch workers").Msg("dependency regained")
}

// watchBoard passes the services and the waves to the model after each change, until ctx ends.
func (t *term) watchBoard(ctx context.Context) error {
	ch, stop := t.o.board.Watch()
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ch:
		}
		if c, ok := t.o.board.Config(); ok {
			t.send(ctx, batch.ServicesMsg{Services: c.Services})
			t.send(ctx, batch.AdviceMsg{Queues: c.AdviceTimes()})
			t.send(ctx, batch.TeamsMsg{Teams: c.BatchTeams()})
		}
		for _, w := range t.o.board.Waves() {
			if !w.Withdrawn {
				w.Completed = t.waveReported(ctx, w.Number)
			}
			t.send(ctx, w)
		}
	}
}

// waveReported reports whether the wave is stored as completed for the operator. If the store cannot be read, it returns false.
func (t *term) waveReported(ctx context.Context, n int) bool {
	key, _ := t.o.format.WaveState(n, true)
	i, err := t.o.store.Get(ctx, key)
	if err != nil {
		t.o.log.Warn().Str("step", "wave state").Err(err).Msg("state of a wave not read")
		return false
	}
	return i.Found() && t.o.format.IsCompleted(i.Value())
}
