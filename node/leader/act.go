package leader

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"burdockreach.dev/fleet/pool"
	"burdockreach.dev/fleet/wave"
	"burdockreach.dev/plat/keyval"
)

const (
	budgetPrefix = "svc/"
	budgetSuffix = "/out"
)

func (t *term) shardPrefix() string            { return "dc/" + t.dataCentre + "/vms/" }
func (t *term) shardKey(i int) string          { return fmt.Sprintf("%s%02d", t.shardPrefix(), i) }
func budgetKey(service string) string          { return budgetPrefix + service + budgetSuffix }
func nowMillis() int64                         { return time.Now().UnixMilli() }
func expectedRevision(r int64) keyval.Revision { return keyval.Revision(r) }
func (t *term) held() bool                     { f, ok := t.leadership.Held(); return ok && f == t.fence }
func trimAffixes(key, head, tail string) string {
	return strings.TrimSuffix(strings.TrimPrefix(key, head), tail)
}

// executor executes queued commands one at a time.
func (t *term) executor(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-t.commands:
			t.execute(ctx, c)
		}
	}
}

// execute executes one command and puts its result into the inbox. It skips the command if the term has lost the lease.
// Its call is limited to callTimeout by x, while the result is sent under ctx.
func (t *term) execute(ctx context.Context, c wave.Cmd) {
	if !t.held() {
		return
	}
	x, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	switch c := c.(type) {
	case wave.WriteShardCmd:
		t.writeShard(ctx, x, c)
	case wave.WriteBudgetCmd:
		t.writeBudget(ctx, x, c)
	case wave.ReadShardCmd:
		t.readKey(ctx, x, t.shardKey(c.Index), t.readShard)
	case wave.ReadBudgetCmd:
		t.readKey(ctx, x, budgetKey(c.Service), t.readBudget)
	case wave.DrainCmd:
		t.logPlatformCall("drain", c.VM, t.platform.Drain(x, c.VM))
	case wave.UndrainCmd:
		t.logPlatformCall("undrain", c.VM, t.platform.Undrain(x, c.VM))
	case wave.RebootCmd:
		t.reboot(ctx, x, c)
	case wave.AssignCmd:
		t.assign(ctx, x, c)
	}
}

func (t *term) logPlatformCall(step, vm string, err error) {
	e := t.log.Info()
	if err != nil {
		e = t.log.Warn().Err(err)
	}
	e.Str("step", step).Str("peer", vm).Msg("platformCall")
}

func (t *term) reboot(ctx, x context.Context, c wave.RebootCmd) {
	err := t.platform.Reboot(x, c.VM, c.Op)
	t.logPlatformCall("reboot", c.VM, err)
	if err == nil {
		t.send(ctx, wave.RebootedMsg{At: nowMillis(), VM: c.VM, Op: c.Op})
	}
}

func (t *term) assign(ctx, x context.Context, c wave.AssignCmd) {
	err := t.platform.Assign(x, c.VM, c.Pool)
	t.logPlatformCall("assign", c.VM, err)
	if err == nil {
		t.send(ctx, wave.AssignedMsg{At: nowMillis(), VM: c.VM, Pool: c.Pool})
	}
}

func (t *term) writeShard(ctx, x context.Context, c wave.WriteShardCmd) {
	b, err := c.Shard.Marshal()
	if err != nil {
		t.log.Error().Str("step", "writeShard").Err(err).Msg("cannotEncode")
		return
	}
	r, err := t.store.Put(x, t.shardKey(c.Shard.Index()), b, expectedRevision(c.Revision), 0)
	t.send(ctx, wave.ShardWrittenMsg{At: nowMillis(), Index: c.Shard.Index(), Outcome: t.outcome("writeShard", err), Revision: int64(r)})
}

func (t *term) writeBudget(ctx, x context.Context, c wave.WriteBudgetCmd) {
	b, err := c.Budget.Marshal()
	if err != nil {
		t.log.Error().Str("step", "writeBudget").Err(err).Msg("cannotEncode")
		return
	}
	r, err := t.store.Put(x, budgetKey(c.Service), b, expectedRevision(c.Revision), 0)
	t.send(ctx, wave.BudgetWrittenMsg{At: nowMillis(), Service: c.Service, Outcome: t.outcome("writeBudget", err), Revision: int64(r)})
}

// outcome returns the outcome of a write that ended with err. A write that was certainly not applied counts as a conflict, so that
// the planner reads the key again.
func (t *term) outcome(step string, err error) wave.Outcome {
	switch {
	case err == nil:
		return wave.Applied
	case errors.Is(err, keyval.ErrConflict), errors.Is(err, keyval.ErrDown), errors.Is(err, keyval.ErrTooLarge):
		t.log.Info().Str("step", step).Err(err).Msg("notWritten")
		return wave.Conflict
	}
	t.log.Warn().Str("step", step).Err(err).Msg("writeUnsettled")
	return wave.Unknown
}

// readKey reads one key and passes the item to use. A key that is not found becomes an item without a value.
func (t *term) readKey(ctx, x context.Context, key string, use func(context.Context, int64, keyval.Item)) {
	at := nowMillis()
	i, err := t.store.Get(x, key)
	if err != nil {
		t.log.Warn().Str("step", "read").Str("key", key).Err(err).Msg("readFailed")
		return
	}
	if !i.Found() {
		i = keyval.NewItem(key, nil, keyval.Absent)
	}
	use(ctx, at, i)
}

// readShard parses a membership shard and sends it to the planner.
func (t *term) readShard(ctx context.Context, at int64, i keyval.Item) {
	var n int
	if _, err := fmt.Sscanf(i.Key(), t.shardPrefix()+"%d", &n); err != nil || n < 0 || n >= pool.ShardCount {
		return
	}
	s := pool.NewShard(n, pool.ShardCount)
	if len(i.Value()) > 0 {
		var err error
		if s, err = pool.ParseShard(i.Value(), n, pool.ShardCount); err != nil {
			t.log.Error().Str("step", "readShard").Str("key", i.Key()).Err(err).Msg("malformed")
			return
		}
	}
	t.send(ctx, wave.ShardMsg{At: at, Shard: s, Revision: int64(i.Rev())})
}

// readBudget parses a service's budget and sends it to the planner.
func (t *term) readBudget(ctx context.Context, at int64, i keyval.Item) {
	if !strings.HasSuffix(i.Key(), budgetSuffix) {
		return
	}
	var b wave.Budget
	if len(i.Value()) > 0 {
		var err error
		if b, err = wave.ParseBudget(i.Value()); err != nil {
			t.log.Error().Str("step", "readBudget").Str("key", i.Key()).Err(err).Msg("malformed")
			return
		}
	}
	t.send(ctx, wave.BudgetMsg{At: at, Service: trimAffixes(i.Key(), budgetPrefix, budgetSuffix), Budget: b, Revision: int64(i.Rev())})
}
