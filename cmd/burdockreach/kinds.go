package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"strings"

	"github.com/rotisserie/eris"

	"burdockreach.dev/plat/conf"
)

func profileKind() objectKind[conf.ProfileSpec] {
	return objectKind[conf.ProfileSpec]{
		name: "profile", path: "profiles", dropKind: conf.DropProfile,
		putChange: func(v conf.ProfileSpec) conf.Change { return conf.Change{Kind: conf.PutProfile, Profile: &v} },
		nameField: func(v *conf.ProfileSpec) *string { return &v.Name },
		flags:     profileFlags,
		columns: []string{"PROFILE", "MIN VMS", "MAX VMS", "MAX OUT", "RACKS", "USE", "DRAIN s", "REBOOT s",
			"DEADLINE ms", "URGENT START ms", "OBJECTIVE", "RETRY %"},
		row: func(v conf.ProfileSpec) []string {
			return formatRow(v.Name, v.MinVMs, v.MaxVMs, v.MaxOut, v.SurviveRacks, v.TargetUse, v.DrainSeconds, v.RebootSeconds,
				v.DeadlineMillis, v.UrgentStartMillis, v.Objective, v.RetryBudgetPercent)
		},
	}
}

func profileFlags(f *flag.FlagSet, v *conf.ProfileSpec) {
	f.IntVar(&v.MinVMs, "min-vms", v.MinVMs, "VMs that the pool keeps in all data centres together")
	f.IntVar(&v.MaxVMs, "max-vms", v.MaxVMs, "VMs that the pool never exceeds")
	f.IntVar(&v.MaxOut, "max-out", v.MaxOut, "VMs that may be out at once, planned and unplanned together")
	f.IntVar(&v.SurviveRacks, "survive-racks", v.SurviveRacks, "racks of a data centre whose loss demand must survive")
	f.Float64Var(&v.TargetUse, "target-use", v.TargetUse, "share of slots in use that sizing aims at, 0.01 to 1")
	f.IntVar(&v.DrainSeconds, "drain-seconds", v.DrainSeconds, "longest wait for requests in flight, seconds")
	f.IntVar(&v.RebootSeconds, "reboot-seconds", v.RebootSeconds, "longest wait for a VM to come back, seconds")
	f.IntVar(&v.DeadlineMillis, "deadline-ms", v.DeadlineMillis, "deadline of a request that names none, milliseconds")
	f.IntVar(&v.UrgentStartMillis, "urgent-start-ms", v.UrgentStartMillis, "time within which urgent work starts, milliseconds")
	f.Float64Var(&v.Objective, "objective", v.Objective, "share of requests answered in time, 0.01 to 1")
	f.Float64Var(&v.MoveWeight, "move-weight", v.MoveWeight, "cost of one VM move")
	f.Float64Var(&v.BufferWeight, "buffer-weight", v.BufferWeight, "cost of one spare VM for an hour")
	f.IntVar(&v.RetryBudgetPercent, "retry-percent", v.RetryBudgetPercent, "retries per hundred first sends")
}

func serviceKind() objectKind[conf.ServiceSpec] {
	return objectKind[conf.ServiceSpec]{
		name: "service", path: "services", dropKind: conf.DropService,
		putChange: func(v conf.ServiceSpec) conf.Change { return conf.Change{Kind: conf.PutService, Service: &v} },
		nameField: func(v *conf.ServiceSpec) *string { return &v.Name },
		flags: func(f *flag.FlagSet, v *conf.ServiceSpec) {
			f.StringVar(&v.Profile, "profile", v.Profile, "name of the profile that the service runs under")
			f.StringVar(&v.Pool, "pool", v.Pool, "name of the pool whose VMs serve it")
			f.IntVar(&v.Slots, "slots", v.Slots, "requests that one target runs at once")
			f.IntVar(&v.Conns, "conns", v.Conns, "connections that one target accepts")
		},
		columns: []string{"SERVICE", "PROFILE", "POOL", "SLOTS", "CONNECTIONS"},
		row: func(v conf.ServiceSpec) []string {
			return formatRow(v.Name, v.Profile, v.Pool, v.Slots, v.Conns)
		},
	}
}

func poolKind() objectKind[conf.PoolSpec] {
	return objectKind[conf.PoolSpec]{
		name: "pool", path: "pools", dropKind: conf.DropPool,
		putChange: func(v conf.PoolSpec) conf.Change { return conf.Change{Kind: conf.PutPool, Pool: &v} },
		nameField: func(v *conf.PoolSpec) *string { return &v.Name },
		flags: func(f *flag.FlagSet, v *conf.PoolSpec) {
			f.BoolVar(&v.Spare, "spare", v.Spare, "whether the pool lends its VMs to the others")
		},
		columns: []string{"POOL", "SPARE"},
		row:     func(v conf.PoolSpec) []string { return formatRow(v.Name, v.Spare) },
	}
}

// tokenFlag is the flag for the file with a team's token. The configuration stores only the token's digest.
const tokenFlag = "token-file"

func teamKind() objectKind[conf.TeamSpec] {
	return objectKind[conf.TeamSpec]{
		name: "team", path: "teams", dropKind: conf.DropTeam,
		putChange: func(v conf.TeamSpec) conf.Change { return conf.Change{Kind: conf.PutTeam, Team: &v} },
		nameField: func(v *conf.TeamSpec) *string { return &v.Name },
		flags: func(f *flag.FlagSet, v *conf.TeamSpec) {
			f.IntVar(&v.QuotaPerSec, "quota", v.QuotaPerSec, "requests a second in all data centres; 0 means no quota of its own")
			if f.Lookup(tokenFlag) == nil {
				f.String(tokenFlag, "", "file with the team's token, - for the standard input; only its SHA-256 digest leaves this command")
			}
		},
		columns:  []string{"TEAM", "TOKEN DIGEST", "QUOTA /s"},
		row:      func(v conf.TeamSpec) []string { return formatRow(v.Name, shortDigest(v.TokenDigest), v.QuotaPerSec) },
		putExtra: setTokenDigest,
	}
}

// shownDigestDigits is the number of hexadecimal digits of a token digest that the list shows.
const shownDigestDigits = 12

func shortDigest(s string) string { return s[:min(len(s), shownDigestDigits)] }

// setTokenDigest reads the team's token from the file that the flag names and sets its digest in v.
// Without the flag, an existing team keeps its token; a new team needs one.
func setTokenDigest(a *app, f *flag.FlagSet, v *conf.TeamSpec) error {
	path := f.Lookup(tokenFlag).Value.String()
	if path == "" {
		if v.TokenDigest == "" {
			return eris.Wrapf(errUsage, "a new team needs -%s", tokenFlag)
		}
		return nil
	}
	b, err := a.readFile(path)
	if err != nil {
		return err
	}
	t := strings.TrimSpace(string(b))
	if len(t) < minTokenBytes || strings.ContainsAny(t, " \t\r\n") {
		return eris.Errorf("%s: a token is one line of %d bytes or more without spaces", path, minTokenBytes)
	}
	d := sha256.Sum256([]byte(t))
	v.TokenDigest = hex.EncodeToString(d[:])
	return nil
}

// minTokenBytes is the minimum length of a team's token.
const minTokenBytes = 16

func waveKind() objectKind[conf.WaveSpec] {
	return objectKind[conf.WaveSpec]{
		name: "wave", path: "waves", dropKind: conf.DropWave,
		putChange: func(v conf.WaveSpec) conf.Change { return conf.Change{Kind: conf.PutWave, Wave: &v} },
		nameField: func(v *conf.WaveSpec) *string { return &v.ID },
		flags: func(f *flag.FlagSet, v *conf.WaveSpec) {
			f.Var((*nameList)(&v.Pools), "pools", "pools whose VMs are maintained, separated by commas")
			f.BoolVar(&v.Paused, "paused", v.Paused, "whether no further VM is taken out")
		},
		columns:   []string{"WAVE", "POOLS", "PAUSED"},
		row:       func(v conf.WaveSpec) []string { return formatRow(v.ID, strings.Join(v.Pools, ","), v.Paused) },
		showExtra: func(c context.Context, l *apiClient, name string) error { return l.writeWaveProgress(c, name) },
	}
}

// nameList is a flag.Value: a list of names separated by commas.
type nameList []string

// String returns the names, separated by commas.
func (l *nameList) String() string { return strings.Join(*l, ",") }

// Set replaces the list by the names in s, which are separated by commas.
func (l *nameList) Set(s string) error {
	*l = strings.Split(s, ",")
	return nil
}

// formatRow returns the texts of the values as a table row. Booleans become yes and no.
func formatRow(vs ...any) []string {
	r := make([]string, 0, len(vs))
	for _, v := range vs {
		switch v := v.(type) {
		case bool:
			r = append(r, map[bool]string{true: "yes", false: "no"}[v])
		default:
			r = append(r, fmt.Sprint(v))
		}
	}
	return r
}
