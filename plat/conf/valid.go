package conf

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// Limits on the values in a change.
const (
	maxNameBytes    = 63
	maxTextBytes    = 128
	maxVMs          = 100_000
	maxWaitSeconds  = 86_400
	maxMillis       = 3_600_000
	maxPerTarget    = 65_536
	maxQuotaPerSec  = 10_000_000
	maxWeight       = 1e9
	maxRetryPercent = 100
	maxWavePools    = 1_000
)

// validator keeps the first violation that it finds.
type validator struct {
	err *FieldError
}

// require records a violation unless ok is true.
func (k *validator) require(ok bool, field string, value any, allowed string) {
	if k.err == nil && !ok {
		k.err = fieldErr(field, value, allowed)
	}
}

func (k *validator) intRange(field string, v, lo, hi int) {
	if v < lo || v > hi {
		k.require(false, field, v, fmt.Sprintf("%d to %d", lo, hi))
	}
}

func (k *validator) floatRange(field string, v, lo, hi float64) {
	if math.IsNaN(v) || v < lo || v > hi {
		k.require(false, field, v, fmt.Sprintf("%g to %g", lo, hi))
	}
}

func (k *validator) name(field, v string) {
	ok := v != "" && len(v) <= maxNameBytes && strings.IndexFunc(v, notAllowedInName) < 0
	k.require(ok, field, v, "1 to 63 letters, digits, '-', '_' or '.'")
}

func (k *validator) text(field, v string, lo int) {
	k.require(len(v) >= lo && len(v) <= maxTextBytes, field, v, fmt.Sprintf("%d to %d bytes", lo, maxTextBytes))
}

func notAllowedInName(r rune) bool {
	switch {
	case 'a' <= r && r <= 'z', 'A' <= r && r <= 'Z', '0' <= r && r <= '9', r == '-', r == '_', r == '.':
		return false
	}
	return true
}

// requireExisting records a violation unless the table has an object of that name.
func requireExisting[T any](k *validator, t table[T], field, name string) {
	if _, ok := t[name]; !ok {
		k.require(false, field, name, "an existing name")
	}
}

// Validate returns a FieldError if c, with its defaults filled in, is not valid after this document. It does not check c's number.
func (d *Document) Validate(c Change) error {
	c = c.WithDefaults()
	k := &validator{}
	k.text("op", c.Op, 1)
	k.text("by", c.By, 0)
	k.requireOneBody(c)
	if k.err == nil {
		d.checkBody(k, c)
	}
	if k.err == nil {
		d.checkExpect(k, c)
		d.checkSize(k, c)
	}
	if k.err != nil {
		return k.err
	}
	return nil
}

// requireOneBody checks that the field that the kind requires is set, and no other one.
func (k *validator) requireOneBody(c Change) {
	set := map[string]bool{
		"profile": c.Profile != nil, "service": c.Service != nil, "pool": c.Pool != nil, "team": c.Team != nil,
		"approval": c.Approval != nil, "wave": c.Wave != nil, "name": c.Name != "",
	}
	want, ok := bodyField[c.Kind]
	k.require(ok, "kind", c.Kind, "a known kind")
	for _, f := range []string{"profile", "service", "pool", "team", "approval", "wave", "name"} {
		if f == want {
			k.require(set[f], f, "", "a value, for kind "+string(c.Kind))
		} else {
			k.require(!set[f], f, "set", "nothing, for kind "+string(c.Kind))
		}
	}
}

// bodyField maps each kind to the JSON name of the field that it requires.
var bodyField = map[Kind]string{
	PutProfile: "profile", PutService: "service", PutPool: "pool", PutTeam: "team", PutWave: "wave",
	Approve: "approval", Withdraw: "approval",
	DropProfile: "name", DropService: "name", DropPool: "name", DropTeam: "name", DropWave: "name",
}

func (d *Document) checkExpect(k *validator, c Change) {
	have := d.LastChange(c.Kind, c.Object())
	switch c.Expect {
	case 0:
	case ExpectAbsent:
		k.require(have == 0, "expect", c.Expect, fmt.Sprintf("%d, the object's last change", have))
	default:
		k.require(have == c.Expect, "expect", c.Expect, fmt.Sprintf("%d, the object's last change", have))
	}
}

func (d *Document) checkBody(k *validator, c Change) {
	switch c.Kind {
	case PutProfile:
		k.profile(*c.Profile)
	case PutService:
		d.checkService(k, *c.Service)
	case PutPool:
		k.name("pool.name", c.Pool.Name)
	case PutTeam:
		d.checkTeam(k, *c.Team)
	case Approve:
		d.checkApproval(k, *c.Approval)
	case Withdraw:
		ok := d.Approved(c.Approval.Team, c.Approval.Service)
		k.require(ok, "approval", ApprovalName(c.Approval.Team, c.Approval.Service), "an existing approval")
	case PutWave:
		d.checkWave(k, *c.Wave)
	default:
		d.checkDrop(k, c)
	}
}

func (k *validator) profile(p ProfileSpec) {
	k.name("profile.name", p.Name)
	k.intRange("profile.minVMs", p.MinVMs, 0, maxVMs)
	k.intRange("profile.maxVMs", p.MaxVMs, max(1, p.MinVMs), maxVMs)
	k.intRange("profile.maxOut", p.MaxOut, 1, p.MaxVMs)
	k.intRange("profile.surviveRacks", p.SurviveRacks, 0, maxVMs)
	k.floatRange("profile.targetUse", p.TargetUse, 0.01, 1)
	k.intRange("profile.drainSeconds", p.DrainSeconds, 1, maxWaitSeconds)
	k.intRange("profile.rebootSeconds", p.RebootSeconds, 1, maxWaitSeconds)
	k.intRange("profile.deadlineMillis", p.DeadlineMillis, 1, maxMillis)
	k.intRange("profile.urgentStartMillis", p.UrgentStartMillis, 1, maxMillis)
	k.floatRange("profile.objective", p.Objective, 0.01, 1)
	k.floatRange("profile.moveWeight", p.MoveWeight, 0, maxWeight)
	k.floatRange("profile.bufferWeight", p.BufferWeight, 0, maxWeight)
	k.intRange("profile.retryBudgetPercent", p.RetryBudgetPercent, 0, maxRetryPercent)
}

func (d *Document) checkService(k *validator, s ServiceSpec) {
	k.name("service.name", s.Name)
	requireExisting(k, d.profiles, "service.profile", s.Profile)
	requireExisting(k, d.pools, "service.pool", s.Pool)
	k.intRange("service.slots", s.Slots, 1, maxPerTarget)
	k.intRange("service.conns", s.Conns, 1, maxPerTarget)
	for n, o := range d.services {
		k.require(n == s.Name || o.Spec.Pool != s.Pool, "service.pool", s.Pool, "a pool without another service")
	}
}

func (d *Document) checkTeam(k *validator, t TeamSpec) {
	k.name("team.name", t.Name)
	k.intRange("team.quotaPerSec", t.QuotaPerSec, 0, maxQuotaPerSec)
	s, ok := parseDigest(t.TokenDigest)
	k.require(ok, "team.tokenDigest", t.TokenDigest, "64 hexadecimal digits")
	if owner, taken := d.teamsByDigest[s]; ok && taken {
		k.require(owner == t.Name, "team.tokenDigest", t.TokenDigest, "a digest that no other team has")
	}
}

func (d *Document) checkApproval(k *validator, a ApprovalSpec) {
	requireExisting(k, d.teams, "approval.team", a.Team)
	requireExisting(k, d.services, "approval.service", a.Service)
}

func (d *Document) checkWave(k *validator, w WaveSpec) {
	k.name("wave.id", w.ID)
	k.intRange("wave.pools", len(w.Pools), 1, maxWavePools)
	for i, p := range w.Pools {
		requireExisting(k, d.pools, "wave.pools", p)
		k.require(!slices.Contains(w.Pools[:i], p), "wave.pools", p, "each pool once")
	}
}

func (d *Document) checkDrop(k *validator, c Change) {
	switch c.Kind {
	case DropProfile:
		requireExisting(k, d.profiles, "name", c.Name)
		for _, s := range d.services {
			k.require(s.Spec.Profile != c.Name, "name", c.Name, "a profile that no service uses")
		}
	case DropService:
		requireExisting(k, d.services, "name", c.Name)
	case DropPool:
		requireExisting(k, d.pools, "name", c.Name)
		for _, s := range d.services {
			k.require(s.Spec.Pool != c.Name, "name", c.Name, "a pool that no service uses")
		}
		for _, w := range d.waves {
			k.require(!slices.Contains(w.Spec.Pools, c.Name), "name", c.Name, "a pool that no wave names")
		}
	case DropTeam:
		requireExisting(k, d.teams, "name", c.Name)
	case DropWave:
		requireExisting(k, d.waves, "name", c.Name)
	}
}
