package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"burdockreach.dev/node/view"
	"burdockreach.dev/plat/conf"
	"burdockreach.dev/plat/hosts"
)

const (
	pools            = 51
	rackSize         = 4
	slots            = 8
	approvalsPerTeam = 4
	profile          = "gold"
	home             = "north-1"
	began            = 1_764_000_000_000 // Unix milliseconds
)

var dataCentres = []string{home, "north-2", "north-3", "south-1", "south-2", "south-3"}

func vmName(dataCentre string, i int) string { return fmt.Sprintf("worker-%s-%04d", dataCentre, i) }

func poolName(i int) string { return fmt.Sprintf("pool-%02d", i) }

func serviceName(i int) string { return fmt.Sprintf("service-%02d", i) }

func teamName(i int) string { return fmt.Sprintf("team-%03d", i) }

func token(team string) string { return "token of " + team }

func digest(team string) string {
	d := sha256.Sum256([]byte(token(team)))
	return hex.EncodeToString(d[:])
}

// platformVMs returns the platform's list of n VMs, spread over the data centres or all in the own one.
func platformVMs(n int, spread bool) []hosts.VMWire {
	l := make([]hosts.VMWire, n)
	for i := range l {
		d := home
		if spread {
			d = dataCentres[i%len(dataCentres)]
		}
		l[i] = hosts.VMWire{
			ID: vmName(d, i), Addr: fmt.Sprintf("10.%d.%d.%d:7100", 20+i/65536, i/256%256, i%256), DataCentre: d,
			Rack: fmt.Sprintf("rack-%s-%03d", d, i/rackSize), Pool: poolName(i % pools), State: hosts.Live, Kind: hosts.Worker,
			Boot: began, Cores: 32, MemoryMB: 65536, Accelerators: 1,
		}
	}
	return l
}

// targets returns the lines of n VMs of one data centre.
func targets(n int) []view.Target {
	l := make([]view.Target, n)
	for i, w := range platformVMs(n, false) {
		l[i] = view.Target{VM: w.ID, Addr: w.Addr, Rack: w.Rack, Pool: w.Pool, Serving: true, ShardVersion: int64(1000 + i)}
	}
	return l
}

// changes returns those that make a document of that many pools with a service each, and teams.
func changes(pools, teams int) []conf.Change {
	l := []conf.Change{{Kind: conf.PutProfile, Profile: &conf.ProfileSpec{Name: profile, MinVMs: 6, MaxVMs: 400, MaxOut: 4, SurviveRacks: 1}}}
	for i := range pools {
		l = append(l, conf.Change{Kind: conf.PutPool, Pool: &conf.PoolSpec{Name: poolName(i)}},
			conf.Change{Kind: conf.PutService, Service: &conf.ServiceSpec{Name: serviceName(i), Profile: profile, Pool: poolName(i), Slots: slots}})
	}
	for i := range teams {
		n := teamName(i)
		l = append(l, conf.Change{Kind: conf.PutTeam, Team: &conf.TeamSpec{Name: n, TokenDigest: digest(n), QuotaPerSec: 100_000}})
		for k := range min(approvalsPerTeam, pools) {
			l = append(l, conf.Change{Kind: conf.Approve, Approval: &conf.ApprovalSpec{Team: n, Service: serviceName((i + k) % pools)}})
		}
	}
	for i := range l {
		l[i].Number, l[i].Op, l[i].By = conf.Number(i+1), fmt.Sprintf("op-%032x", i), "operator-07"
		l[i].At = time.UnixMilli(began)
		l[i] = l[i].WithDefaults()
	}
	return l
}

// holder returns the configuration after the changes; it panics on changes that do not apply, since they are the bench's own.
func holder(pools, teams int) *conf.Holder {
	h := conf.NewHolder()
	l := changes(pools, teams)
	if n, err := h.Offer(l...); err != nil || n != len(l) {
		panic(fmt.Sprint("bench: changes do not apply: ", n, err))
	}
	return h
}
