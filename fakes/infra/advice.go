package infra

import (
	"context"
	"strings"

	"burdockreach.dev/fakes/advice"
	"burdockreach.dev/fleet/batch"
)

// WithAdvice adds a service that decides which workers may run a step of a job with Advised set. It takes the given times, and permits granted of a
// thousand workers.
func WithAdvice(t batch.AdviceTimes, granted int) Option {
	return func(p *Platform) { p.advice = advice.New(t, advice.Share(granted), p.bornOf) }
}

// bornOf returns the start of the worker's present lifetime, or 0 if there is no such worker. The platform's lock must be held.
func (p *Platform) bornOf(id string) int64 {
	for _, u := range p.workers {
		if u.worker.ID() == id {
			return u.worker.LifetimeStart()
		}
	}
	return 0
}

// SetAdviceSilent sets whether the advice service handles no requests for now. The platform must have WithAdvice.
func (p *Platform) SetAdviceSilent(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advice.SetSilent(silent)
}

// AdviceRequests returns how many requests the advice service has handled, how many it has refused, and how many are there now. The platform
// must have WithAdvice.
func (p *Platform) AdviceRequests() (handled, refused, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.advice.Handled(), p.advice.Refused(), p.advice.Waiting()
}

type adviceBackend struct{ p *Platform }

// Ask implements platform.AdviceBackend.
func (b adviceBackend) Ask(ctx context.Context, machine, step string, workers []string) (map[string]string, bool) {
	answers := make(chan map[string]string, 1)
	b.p.mu.Lock()
	ok := b.p.advice.Ask(machine, step, workers, func(tickets map[string]string) { answers <- tickets })
	b.p.mu.Unlock()
	if !ok {
		return nil, false
	}
	select {
	case l := <-answers:
		return l, true
	case <-ctx.Done():
	case <-b.p.ctx.Done():
	}
	return nil, false
}

// ValidMs implements platform.AdviceBackend.
func (b adviceBackend) ValidMs() int64 {
	b.p.mu.Lock()
	defer b.p.mu.Unlock()
	return b.p.advice.ValidMs()
}

func stepName(t batch.TaskName) string {
	n := t.String()
	return n[:strings.LastIndexByte(n, '.')]
}
