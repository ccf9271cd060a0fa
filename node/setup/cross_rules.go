package setup

import (
	"fmt"
	"slices"
)

const (
	// minBeatsBeforeUnheard is the minimum number of heartbeat intervals within entryUnheardSeconds.
	minBeatsBeforeUnheard = 4
	// minTicksInLease is the minimum number of intervals of the leader's loop within its lease.
	minTicksInLease = 3
)

// crossFaults checks the rules between fields. It skips a rule if fieldFaults already has a fault of a field in it.
func crossFaults(d Document, fieldFaults []Fault) []Fault {
	var fs []Fault
	add := func(bad bool, f, value, allowed string, others ...string) {
		if bad && !hasFault(fieldFaults, append(others, f)) {
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

// hasFault reports whether fs contains a fault of one of the named fields.
func hasFault(fs []Fault, names []string) bool {
	return slices.ContainsFunc(fs, func(f Fault) bool { return slices.Contains(names, f.field) })
}
