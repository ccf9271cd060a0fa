package setup

import (
	"fmt"
	"slices"
)

const (
	// minBeatsBeforeUnheard is the least number of beats that fit into the unheard time.
	minBeatsBeforeUnheard = 4
	// minTicksInLease is the least number of ticks that fit into the leader's lease.
	minTicksInLease = 3
)

// crossFaults returns the faults between fields, leaving out fields that are faulty alone.
func crossFaults(d Document, alone []Fault) []Fault {
	var fs []Fault
	add := func(bad bool, f, value, allowed string, others ...string) {
		if bad && !hasFault(alone, append(others, f)) {
			fs = append(fs, Fault{f, value, allowed})
		}
	}
	add(!slices.Contains(d.DataCentres, d.DataCentre), "dataCentre", fmt.Sprintf("%q", d.DataCentre), "one of dataCentres", "dataCentres")
	add(d.PeerAddr == d.CallerAddr, "peerAddr", d.PeerAddr, "an address other than callerAddr", "callerAddr")
	add(d.OperatorAddr == d.CallerAddr || d.OperatorAddr == d.PeerAddr, "operatorAddr", d.OperatorAddr,
		"an address other than callerAddr and peerAddr", "callerAddr", "peerAddr")
	add(d.DefaultDeadlineMs > d.MaxDeadlineMs, "defaultDeadlineMs", fmt.Sprint(d.DefaultDeadlineMs), "at most maxDeadlineMs", "maxDeadlineMs")
	add(d.BeatMs*minBeatsBeforeUnheard > d.EntryUnheardSeconds*1000, "entryUnheardSeconds", fmt.Sprint(d.EntryUnheardSeconds),
		fmt.Sprintf("at least %d times beatMs", minBeatsBeforeUnheard), "beatMs")
	add(d.TickMs*minTicksInLease > d.LeaderLeaseMs, "leaderLeaseMs", fmt.Sprint(d.LeaderLeaseMs),
		fmt.Sprintf("at least %d times tickMs", minTicksInLease), "tickMs")
	return fs
}

// hasFault reports whether any of names has a fault.
func hasFault(fs []Fault, names []string) bool {
	return slices.ContainsFunc(fs, func(f Fault) bool { return slices.Contains(names, f.field) })
}
