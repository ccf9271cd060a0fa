package main

import (
	"encoding/json"
	"fmt"
	"runtime"

	"burdockreach.dev/bench/slope"
	"burdockreach.dev/plat/conf"
	"burdockreach.dev/plat/keyval"
)

var (
	teamSizes   = []int{58, 115, 230, 460}
	poolSizes   = []int{13, 26, 51, 102}
	changeSizes = []int{64, 250, 500, 1000}
)

const designTeams = 230

// confSeries measures the configuration's document and log.
func confSeries() []slope.Series {
	return []slope.Series{
		measureSeries("documentPerTeam", "document in JSON, 51 pools with a service each", "B", "team with 4 approvals", teamSizes,
			func(n int) float64 { return documentSize(configHolder(poolCount, n)) }),
		measureSeries("documentPerPool", "document in JSON, 230 teams", "B", "pool with a service", poolSizes,
			func(n int) float64 { return documentSize(configHolder(n, designTeams)) }),
		measureSeries("documentHeap", "document in memory, 51 pools with a service each", "B", "team with 4 approvals", teamSizes, documentHeap),
		measureSeries("documentEncode", "document to JSON", "ns", "team with 4 approvals", teamSizes, func(n int) float64 {
			h := configHolder(poolCount, n)
			return cpuOf(func() { documentSize(h) })
		}),
		measureSeries("changeApply", "one change to a document", "ns", "team with 4 approvals", teamSizes, changeApplyCPU),
		measureSeries("changeBytes", "changes in JSON", "B", "change", changeSizes, func(n int) float64 { return jsonSize(logTail(n)) }),
		measureSeries("changeHeap", "changes kept in the log's tail", "B", "change", changeSizes,
			func(n int) float64 { return heapOf(func() any { return logTail(n) }) }),
		measureSeries("changeList", "answer of the service that lists changes", "B", "change", changeSizes, func(n int) float64 { return jsonSize(listAnswer(n)) }),
		measureSeries("changeRead", "read of the service's answer and its changes", "ns", "change", changeSizes, changeReadCPU),
	}
}

func jsonSize(v any) float64 {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprint("bench: encode: ", err))
	}
	return float64(len(b))
}

func documentSize(h *conf.Holder) float64 {
	b, err := h.Document().Marshal()
	if err != nil {
		panic(fmt.Sprint("bench: encode: ", err))
	}
	return float64(len(b))
}

func documentHeap(n int) float64 {
	b, err := configHolder(poolCount, n).Document().Marshal()
	if err != nil {
		panic(fmt.Sprint("bench: encode: ", err))
	}
	c := heapOf(func() any {
		d, err := conf.ParseDocument(b)
		if err != nil {
			panic(fmt.Sprint("bench: parse: ", err))
		}
		return d
	})
	runtime.KeepAlive(b)
	return c
}

// quotaChange returns change n of the log: a new quota for a team, which operators change most
// often. i selects the team and its quota.
func quotaChange(n, i int) conf.Change {
	t := teamName(i % designTeams)
	return conf.Change{
		Number: conf.Number(n), Op: fmt.Sprintf("op-%032x", n), Prev: "1xk3nvk9w9cqz", By: "operator-07", Kind: conf.PutTeam,
		Team: &conf.TeamSpec{Name: t, TokenDigest: tokenDigest(t), QuotaPerSec: 1000 + i},
	}
}

func changeApplyCPU(n int) float64 {
	d := configHolder(poolCount, n).Document()
	c := quotaChange(int(d.Number())+1, 7)
	c.Prev = ""
	return cpuOf(func() {
		if _, err := d.Apply(c); err != nil {
			panic(fmt.Sprint("bench: apply: ", err))
		}
	})
}

func logTail(n int) []conf.Change {
	l := make([]conf.Change, n)
	for i := range l {
		l[i] = quotaChange(20_000+i, i)
	}
	return l
}

func listAnswer(n int) keyval.ListResponse {
	var a keyval.ListResponse
	for _, c := range logTail(n) {
		b, err := json.Marshal(c)
		if err != nil {
			panic(fmt.Sprint("bench: encode: ", err))
		}
		a.Items = append(a.Items, keyval.ItemWire{Key: conf.LogKey(c.Number), Value: b, Rev: keyval.Revision(c.Number)})
	}
	return a
}

func changeReadCPU(n int) float64 {
	b, err := json.Marshal(listAnswer(n))
	if err != nil {
		panic(fmt.Sprint("bench: encode: ", err))
	}
	return cpuOf(func() {
		var a keyval.ListResponse
		if err := json.Unmarshal(b, &a); err != nil {
			panic(fmt.Sprint("bench: parse: ", err))
		}
		for _, i := range a.Items {
			var c conf.Change
			if err := json.Unmarshal(i.Value, &c); err != nil {
				panic(fmt.Sprint("bench: parse: ", err))
			}
		}
	})
}
