package main

import (
	"encoding/json"
	"fmt"

	"burdockreach.dev/bench/slope"
	"burdockreach.dev/node/oper"
	"burdockreach.dev/node/view"
)

// keptViews is the number of versions with which a shelf is surely full.
const keptViews = 80

var deltaSizes = []int{1, 10, 50, 200}

// viewSeries measures the view of the targets and the operators' list of them.
func viewSeries() []slope.Series {
	return []slope.Series{
		series("viewWhole", "whole view in JSON", "B", "VM of the data centre", vmSizes, func(n int) float64 {
			return encoded(view.FullDelta(view.New(view.Version{Fence: 1, Count: 1}, targets(n))))
		}),
		series("viewDelta", "delta of a view of 1,500 in JSON", "B", "changed VM", deltaSizes, func(n int) float64 {
			a, b := turned(1500, n)
			return encoded(view.Diff(a, b))
		}),
		series("viewDiff", "delta of one VM made from two views", "ns", "VM of the data centre", vmSizes, func(n int) float64 {
			a, b := turned(n, 1)
			return cpuOf(func() { view.Diff(a, b) })
		}),
		series("viewApply", "delta of one VM applied", "ns", "VM of the data centre", vmSizes, func(n int) float64 {
			a, b := turned(n, 1)
			d := view.Diff(a, b)
			return cpuOf(func() {
				if _, err := a.Apply(d); err != nil {
					panic(fmt.Sprint("bench: apply: ", err))
				}
			})
		}),
		series("viewRead", "whole view read from JSON", "ns", "VM of the data centre", vmSizes, wholeCPU),
		series("shelfHeap", "shelf with its past views in memory", "B", "VM of the data centre", vmSizes,
			func(n int) float64 { return heapOf(func() any { return fullShelf(n) }) }),
		series("operatorVMs", "operators' list of VMs in JSON", "B", "VM of the data centre", vmSizes, operatorVMs),
	}
}

// turned returns a view of n targets and its successor, in which k have changed.
func turned(n, k int) (a, b *view.View) {
	l := targets(n)
	a = view.New(view.Version{Fence: 1, Count: 1}, l)
	for i := range k {
		l[i].Serving, l[i].ShardVersion = false, l[i].ShardVersion+1
	}
	return a, view.New(view.Version{Fence: 1, Count: 2}, l)
}

func wholeCPU(n int) float64 {
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

// fullShelf returns the shelf of an entry that has followed the leader for long, one VM a version.
func fullShelf(n int) *view.Holder {
	s, l := view.NewHolder(), targets(n)
	if err := s.Put(view.New(view.Version{Fence: 1, Count: 1}, l)); err != nil {
		panic(fmt.Sprint("bench: put: ", err))
	}
	for i := range int64(keptViews) {
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
		l.Items = append(l.Items, oper.VM{ID: t.VM, Addr: t.Addr, DataCentre: home, Rack: t.Rack, Pool: t.Pool, State: "serving", Platform: "live", Boot: began})
	}
	return encoded(l)
}
