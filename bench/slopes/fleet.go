package main

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"

	"burdockreach.dev/bench/slope"
	"burdockreach.dev/fleet/pool"
	"burdockreach.dev/fleet/wave"
	"burdockreach.dev/plat/hosts"
)

var (
	vmSizes      = []int{375, 750, 1500, 3000}
	fleetSizes   = []int{1125, 2250, 4500, 9000}
	lossSizes    = []int{50, 100, 200, 400}
	absenceSizes = []int{0, 10, 20, 40}
)

// fleetSeries measures the documents of membership and budgets, the platform's list of VMs and the leader's loop.
func fleetSeries() []slope.Series {
	return []slope.Series{
		measureSeries("shardBytes", "membership of a data centre, 16 shards in JSON", "B", "VM of the data centre", vmSizes, shardBytes),
		measureSeries("budgetBytes", "availability budget of a service in JSON", "B", "VM that is out", absenceSizes, budgetBytes),
		measureSeries("listBytes", "platform's list in JSON", "B", "VM of the fleet", fleetSizes,
			func(n int) float64 { return jsonSize(hosts.ListResponse{VMs: platformVMs(n, true)}) }),
		measureSeries("listZipped", "platform's list in JSON, compressed by gzip", "B", "VM of the fleet", fleetSizes, gzipSize),
		measureSeries("listRead", "read of the platform's list", "ns", "VM of the fleet", fleetSizes, listCPU),
		measureSeries("leaderTick", "one tick of the leader's loop, the platform's calls not counted", "ns", "VM of the data centre", vmSizes,
			func(n int) float64 { return measureLeader(n).cpuNanos }),
		measureSeries("leaderHeap", "leader's loop in memory, the shelf's past views counted", "B", "VM of the data centre", vmSizes,
			func(n int) float64 { return measureLeader(n).heapBytes }),
		measureSeries("coldCalls", "calls of the service in a leader's first seconds over a membership that stands", "call", "VM of the data centre", vmSizes,
			func(n int) float64 { return measureTakeover(n).calls }),
		measureSeries("coldBytes", "values that those calls carry", "B", "VM of the data centre", vmSizes,
			func(n int) float64 { return measureTakeover(n).bytes }),
		measureSeries("lossWrites", "writes of the service when workers of 1,500 are gone at once", "write", "lost VM", lossSizes, lossWrites),
	}
}

func shardBytes(n int) float64 {
	puts := make([][]pool.Member, pool.ShardCount)
	for _, w := range platformVMs(n, false) {
		i := pool.Index(w.ID, pool.ShardCount)
		puts[i] = append(puts[i], pool.Member{VM: w.ID, Pool: w.Pool, Rack: w.Rack, FinishedWave: "wave-2026-49", StateSince: startMillis + int64(i), BootBefore: startMillis, EndedStops: 26})
	}
	sum := 0
	for i, l := range puts {
		s, err := pool.NewShard(i, pool.ShardCount).Change(l, nil)
		if err != nil {
			panic(fmt.Sprint("bench: shard: ", err))
		}
		b, err := s.Marshal()
		if err != nil {
			panic(fmt.Sprint("bench: shard: ", err))
		}
		sum += len(b)
	}
	return float64(sum)
}

func budgetBytes(n int) float64 {
	var b wave.Budget
	for i := range n {
		var err error
		a := wave.Absence{
			VM: vmName(homeDataCentre, i), DataCentre: homeDataCentre, Rack: fmt.Sprintf("rack-%s-%03d", homeDataCentre, i), Since: startMillis, Wave: "wave-2026-49",
			Op: fmt.Sprintf("%s/%d", vmName(homeDataCentre, i), i), StopNumber: 26,
		}
		if b, err = b.Reserve(a, n); err != nil {
			panic(fmt.Sprint("bench: budget: ", err))
		}
	}
	w, err := b.Marshal()
	if err != nil {
		panic(fmt.Sprint("bench: budget: ", err))
	}
	return float64(len(w))
}

func gzipSize(n int) float64 {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if err := json.NewEncoder(z).Encode(hosts.ListResponse{VMs: platformVMs(n, true)}); err != nil {
		panic(fmt.Sprint("bench: compress: ", err))
	}
	if err := z.Close(); err != nil {
		panic(fmt.Sprint("bench: compress: ", err))
	}
	return float64(b.Len())
}

func listCPU(n int) float64 {
	b, err := json.Marshal(hosts.ListResponse{VMs: platformVMs(n, true)})
	if err != nil {
		panic(fmt.Sprint("bench: encode: ", err))
	}
	return cpuOf(func() {
		var a hosts.ListResponse
		if err := json.Unmarshal(b, &a); err != nil {
			panic(fmt.Sprint("bench: parse: ", err))
		}
		l := make([]hosts.VM, len(a.VMs))
		for i, w := range a.VMs {
			l[i] = hosts.FromWire(w)
		}
	})
}
