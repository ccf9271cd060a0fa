package main

import (
	"encoding/json"
	"fmt"

	"burdockreach.dev/bench/slope"
	"burdockreach.dev/node/oper"
	"burdockreach.dev/node/view"
)

// viewVersions is a number of past versions that is more than a view holder keeps.
const viewVersions = 80

var deltaSizes = []int{1, 10, 50, 200}

// viewSeries measures the view of the targets and the operators' list of VMs.
func viewSeries() []slope.Series {
	return []slope.Series{
		measureSeries("viewWhole", "whole view in JSON", "B", "VM of the data centre", vmSizes, func(n int) float64 {
			return jsonSize(view.FullDelta(view.New(view.Version{Fence: 1, Count: 1}, targets(n))))
		}),
		measureSeries("viewDelta", "delta of a view of 1,500 in JSON", "B", "changed VM", deltaSizes, func(n int) float64 {
			a, b := changedViews(1500, n)
			return jsonSize(view.Diff(a, b))
		}),
		measureSeries("viewDiff", "delta of one VM made from two views", "ns", "VM of the data centre", vmSizes, func(n int) float64 {
			a, b := changedViews(n, 1)
			return cpuOf(func() { view.Diff(a, b) })
		}),
		measureSeries("viewApply", "delta of one VM applied", "ns", "VM of the data centre", vmSizes, func(n int) float64 {
			a, b := changedViews(n, 1)
			d := view.Diff(a, b)
			return cpuOf(func() {
				if _, err := a.Apply(d); err != nil {
					panic(fmt.Sprint("bench: apply: ", err))
				}
			})
		}),
		measureSeries("viewRead", "whole view read from JSON", "ns", "VM of the data centre", vmSizes, viewReadCPU),
		measureSeries("shelfHeap", "shelf with its past views in memory", "B", "VM of the data centre", vmSizes,
			func(n int) float64 { return heapOf(func() any { return fullViewHolder(n) }) }),
		measureSeries("operatorVMs", "operators' list of VMs in JSON", "B", "VM of the data centre", vmSizes, operatorVMs),
	}
}

// changedViews returns a view of n targets and the next version of it, in which k targets have changed.
func changedViews(n, k int) (a, b *view.View) {
	l := targets(n)
	a = view.New(view.Version{Fence: 1, Count: 1}, l)
	for i := range k {
		l[i].Serving, l[i].ShardVersion = false, l[i].ShardVersion+1
	}
	return a, view.New(view.Version{Fence: 1, Count: 2}, l)
}

func viewReadCPU(n int) float64 {
	b, err := json.Marshal(view.FullDelta(view.New(view.Version{Fence: 1, Count: 1}, targets(n))))
	if err != nil {
		panic(fmt.Sprint("bench: encode: ", err))
	}
	return cpuOf(func() {
		if _, err := view.Decode(b); err != nil {
			panic(fmt.Sprint("bench: parse: ", err))
		}
	})
}

// fullViewHolder returns the view holder of an entry that has followed the leader for long, so that it keeps as many past versions as
// it can. Each version changes one VM.
func fullViewHolder(n int) *view.Holder {
	s, l := view.NewHolder(), targets(n)
	if err := s.Put(view.New(view.Version{Fence: 1, Count: 1}, l)); err != nil {
		panic(fmt.Sprint("bench: put: ", err))
	}
	for i := range int64(viewVersions) {
		t := l[i]
		t.ShardVersion++
		d := view.Delta{Base: view.Version{Fence: 1, Count: 1 + i}, To: view.Version{Fence: 1, Count: 2 + i}, Updated: []view.Target{t}}
		if err := s.Offer(d); err != nil {
			panic(fmt.Sprint("bench: offer: ", err))
		}
	}
	return s
}

func operatorVMs(n int) float64 {
	var l oper.VMs
	for _, t := range targets(n) {
		l.Items = append(l.Items, oper.VM{ID: t.VM, Addr: t.Addr, DataCentre: homeDataCentre, Rack: t.Rack, Pool: t.Pool, State: "serving", Platform: "live", Boot: startMillis})
	}
	return jsonSize(l)
}
