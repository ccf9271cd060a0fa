package conf

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"

	"burdockreach.dev/plat/keyval"
)

// TestSizeBound adds objects with the longest values until a change is refused, and compares sizeBound with the JSON's length.
func TestSizeBound(t *testing.T) {
	is := is.New(t)
	d, long := NewDocument(), strings.Repeat("x", maxNameBytes-8)
	name := func(i int) string { return fmt.Sprintf("%s%08d", long, i) }
	put := func(c Change) bool {
		c.Number, c.Op = d.number+1, "o"
		e, err := d.Apply(c)
		if err == nil {
			d = e
		}
		return err == nil
	}
	d.number = math.MaxInt64 / 2
	full := false
	for i := 0; !full && i < 2_000; i++ {
		pools := make([]string, 0, maxWavePools)
		for k := max(0, i-9); k <= i; k++ {
			pools = append(pools, name(k))
		}
		p := &ProfileSpec{Name: name(i), MinVMs: maxVMs, MaxVMs: maxVMs, MaxOut: maxVMs, SurviveRacks: maxVMs, TargetUse: 1.0 / 3,
			DrainSeconds: maxWaitSeconds, RebootSeconds: maxWaitSeconds, DeadlineMillis: maxMillis, UrgentStartMillis: maxMillis,
			Objective: 2.0 / 3, MoveWeight: 1e9 / 3, BufferWeight: 1e-9 / 3, RetryBudgetPercent: maxRetryPercent}
		s := &ServiceSpec{Name: name(i), Profile: name(i), Pool: name(i), Slots: maxPerTarget, Conns: maxPerTarget}
		full = !put(Change{Kind: PutProfile, Profile: p}) ||
			!put(Change{Kind: PutPool, Pool: &PoolSpec{Name: name(i)}}) ||
			!put(Change{Kind: PutService, Service: s}) ||
			!put(Change{Kind: PutTeam, Team: &TeamSpec{Name: name(i), TokenDigest: fmt.Sprintf("%064x", i), QuotaPerSec: maxQuotaPerSec}}) ||
			!put(Change{Kind: Approve, Approval: &ApprovalSpec{Team: name(i), Service: name(i)}}) ||
			!put(Change{Kind: PutWave, Wave: &WaveSpec{ID: name(i), Pools: pools}})
	}
	is.True(full) // a change was refused
	b, err := d.Marshal()
	is.NoErr(err)
	is.True(len(b) <= d.sizeBound())    // the bound holds
	is.True(len(b) < keyval.MaxValue)   // a snapshot fits
	is.True(len(b) > keyval.MaxValue/2) // and is not far too high
}
