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
	poolCount        = 51
	vmsPerRack       = 4
	slotsPerWorker   = 8
	approvalsPerTeam = 4
	profile          = "gold"
	homeDataCentre   = "north-1"
	startMillis      = 1_764_000_000_000 // Unix milliseconds
)

var dataCentres = []string{homeDataCentre, "north-2", "north-3", "south-1", "south-2", "south-3"}

func vmName(dataCentre string, i int) string { return fmt.Sprintf("worker-%s-%04d", dataCentre, i) }

func poolName(i int) string { return fmt.Sprintf("pool-%02d", i) }

func serviceName(i int) string { return fmt.Sprintf("service-%02d", i) }

func teamName(i int) string { return fmt.Sprintf("team-%03d", i) }

func token(team string) string { return "token of " + team }

func tokenDigest(team string) string {
	d := sha256.Sum256([]byte(token(team)))
	return hex.EncodeToString(d[:])
}

// platformVMs returns the platform's list of n VMs, either spread over all data centres or all in the own one.
func platformVMs(n int, spread bool) []hosts.VMWire {
	l := make([]hosts.VMWire, n)
	for i := range l {
		d := homeDataCentre
		if spread {
			d = dataCentres[i%len(dataCentres)]
		}
		l[i] = hosts.VMWire{
			ID: vmName(d, i), Addr: fmt.Sprintf("10.%d.%d.%d:7100", 20+i/65536, i/256%256, i%256), DataCentre: d,
			Rack: fmt.Sprintf("rack-%s-%03d", d, i/vmsPerRack), Pool: poolName(i % poolCount), State: hosts.Live, Kind: hosts.Worker,
			Boot: startMillis, Cores: 32, MemoryMB: 65536, Accelerators: 1,
		}
	}
	return l
}

// targets returns the targets of a view, one for each of n VMs of one data centre.
func targets(n int) []view.Target {
	l := make([]view.Target, n)
	for i, w := range platformVMs(n, false) {
		l[i] = view.Target{VM: w.ID, Addr: w.Addr, Rack: w.Rack, Pool: w.Pool, Serving: true, ShardVersion: int64(1000 + i)}
	}
	return l
}

// configChanges returns the changes that create a configuration with the given numbers of pools, with one service each, and teams.
func configChanges(pools, teams int) []conf.Change {
	l := []conf.Change{{Kind: conf.PutProfile, Profile: &conf.ProfileSpec{Name: profile, MinVMs: 6, MaxVMs: 400, MaxOut: 4, SurviveRacks: 1}}}
	for i := range pools {
		l = append(l, conf.Change{Kind: conf.PutPool, Pool: &conf.PoolSpec{Name: poolName(i)}},
			conf.Change{Kind: conf.PutService, Service: &conf.ServiceSpec{Name: serviceName(i), Profile: profile, Pool: poolName(i), Slots: slotsPerWorker}})
	}
	for i := range teams {
		n := teamName(i)
		l = append(l, conf.Change{Kind: conf.PutTeam, Team: &conf.TeamSpec{Name: n, TokenDigest: tokenDigest(n), QuotaPerSec: 100_000}})
		for k := range min(approvalsPerTeam, pools) {
			l = append(l, conf.Change{Kind: conf.Approve, Approval: &conf.ApprovalSpec{Team: n, Service: serviceName((i + k) % pools)}})
		}
	}
	for i := range l {
		l[i].Number, l[i].Op, l[i].By = conf.Number(i+1), fmt.Sprintf("op-%032x", i), "operator-07"
		l[i].At = time.UnixMilli(startMillis)
		l[i] = l[i].WithDefaults()
	}
	return l
}

// configHolder returns the configuration after these changes. It panics if one does not apply, since this program made them itself.
func configHolder(pools, teams int) *conf.Holder {
	h := conf.NewHolder()
	l := configChanges(pools, teams)
	if n, err := h.Offer(l...); err != nil || n != len(l) {
		panic(fmt.Sprint("bench: changes do not apply: ", n, err))
	}
	return h
}
