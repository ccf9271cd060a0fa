package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"slices"

	"github.com/rotisserie/eris"

	"burdockreach.dev/node/oper"
)

// vmCommand returns the commands that list and show VMs.
func (a *app) vmCommand() *command {
	l, pool, state, dc := a.newAPIClient(), "", "", ""
	s := a.newAPIClient()
	return a.commandGroup("vm", "list or show VMs",
		&command{
			app: a, name: "list", synopsis: "list VMs", usage: program + " vm list [flags]",
			flags: func(f *flag.FlagSet) {
				l.flags(f)
				f.StringVar(&pool, "pool", "", "only of this pool")
				f.StringVar(&state, "state", "", "only in this state")
				f.StringVar(&dc, "data-centre", "", "only in this data centre")
			},
			run: func(c context.Context, _ *flag.FlagSet) error {
				vs, err := l.getVMs(c, "?pool="+escape(pool)+"&state="+escape(state)+"&dataCentre="+escape(dc))
				if err != nil {
					return err
				}
				return l.writeVMs(vs)
			},
		},
		&command{
			app: a, name: "show", synopsis: "show one VM", usage: program + " vm show [flags] NAME", flags: s.flags,
			run: func(c context.Context, f *flag.FlagSet) error {
				name, err := oneArg(f)
				if err != nil {
					return err
				}
				vs, err := s.getVMs(c, "?name="+escape(name))
				if err != nil {
					return err
				}
				return s.writeVMs(vs)
			},
		})
}

// Ranks of the entries that report on a VM, in rising order. The report of the highest rank is used.
const (
	rankOtherDataCentre = iota + 1 // an entry of another data centre
	rankSameDataCentre             // an entry of the VM's data centre
	rankLeader                     // the leader of the VM's data centre
)

// getVMs gets the VMs that match the query from all entries. For each VM it uses the report of the leader of the VM's data centre,
// else that of another entry of the data centre, else that of any entry.
func (l *apiClient) getVMs(c context.Context, query string) ([]oper.VM, error) {
	rs, err := getAll[oper.VMs](c, l, "/op/vms"+query)
	if err != nil {
		return nil, err
	}
	byAddr := l.selfReports(c)
	byID, ranks := make(map[string]oper.VM), make(map[string]int)
	answered := false
	for _, r := range rs {
		answered = answered || r.err == nil
		if r.err != nil {
			l.app.errorf("no answer: %s\n", eris.ToString(r.err, false))
		}
		for _, v := range r.value.Items {
			if k := reportRank(byAddr[r.addr], v); k > ranks[v.ID] {
				byID[v.ID], ranks[v.ID] = v, k
			}
		}
	}
	if !answered {
		return nil, eris.Wrap(rs[0].err, "no entry answered")
	}
	vs := make([]oper.VM, 0, len(byID))
	for _, v := range byID {
		vs = append(vs, v)
	}
	slices.SortFunc(vs, func(a, b oper.VM) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.ID, b.ID))
	})
	return vs, nil
}

// reportRank returns the rank of entry e's report on v.
func reportRank(e oper.Entry, v oper.VM) int {
	switch {
	case e.DataCentre != v.DataCentre:
		return rankOtherDataCentre
	case e.Leader:
		return rankLeader
	default:
		return rankSameDataCentre
	}
}

// selfReports returns what each entry that answers reports about itself, by its operator address.
func (l *apiClient) selfReports(c context.Context) map[string]oper.Entry {
	m := make(map[string]oper.Entry)
	rs, err := getAll[oper.Entries](c, l, "/op/entries")
	if err != nil {
		return m
	}
	for _, r := range rs {
		for _, e := range r.value.Items {
			if e.Self {
				m[r.addr] = e
			}
		}
	}
	return m
}

func (l *apiClient) writeVMs(vs []oper.VM) error {
	if l.asJSON {
		return l.app.writeJSON(oper.VMs{Items: vs})
	}
	var rows [][]string
	for _, v := range vs {
		rows = append(rows, formatRow(v.ID, v.Pool, v.State, v.Platform, v.DataCentre, v.Rack, v.Addr, v.Wave, v.Boot))
	}
	return l.app.table([]string{"VM", "POOL", "STATE", "PLATFORM", "DATA CENTRE", "RACK", "ADDRESS", "WAVE", "BOOT"}, rows)
}

// statusCommand returns the command that prints the state of entries and pools.
func (a *app) statusCommand() *command {
	l := a.newAPIClient()
	return &command{
		app: a, name: "status", synopsis: "tell the state of entries and pools", usage: program + " status [flags]", flags: l.flags,
		run: func(c context.Context, _ *flag.FlagSet) error {
			es, unanswered, err := l.getEntries(c)
			if err != nil {
				return err
			}
			vs, err := l.getVMs(c, "")
			if err != nil {
				return err
			}
			if l.asJSON {
				return a.writeJSON(statusReport{Entries: es, NoAnswer: unanswered, VMs: vs})
			}
			return a.writeStatus(es, vs)
		},
	}
}

// statusReport is the JSON output of status.
type statusReport struct {
	Entries  []oper.Entry `json:"entries"`
	NoAnswer []string     `json:"noAnswer"`
	VMs      []oper.VM    `json:"vms"`
}

// getEntries returns all entries in the order of their names, and the errors of those that did not answer.
// An entry's own report takes precedence over those of other entries.
func (l *apiClient) getEntries(c context.Context) ([]oper.Entry, []string, error) {
	rs, err := getAll[oper.Entries](c, l, "/op/entries")
	if err != nil {
		return nil, nil, err
	}
	byName, unanswered := make(map[string]oper.Entry), []string{}
	for _, r := range rs {
		if r.err != nil {
			unanswered = append(unanswered, eris.ToString(r.err, false))
		}
		for _, e := range r.value.Items {
			if o, known := byName[e.Name]; !known || e.Self || !o.Self && !o.Reachable {
				byName[e.Name] = e
			}
		}
	}
	entries := make([]oper.Entry, 0, len(byName))
	for _, e := range byName {
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b oper.Entry) int { return cmp.Compare(a.Name, b.Name) })
	return entries, unanswered, nil
}

func (a *app) writeStatus(es []oper.Entry, vs []oper.VM) error {
	var rows [][]string
	for _, e := range es {
		rows = append(rows, formatRow(e.Name, e.DataCentre, e.Reachable, e.Leader, e.Leaving, e.Applied, e.Roster, e.PeerAddr))
	}
	if err := a.table([]string{"ENTRY", "DATA CENTRE", "HEARD", "LEADER", "LEAVING", "APPLIED", "ROSTER", "PEER ADDRESS"}, rows); err != nil {
		return err
	}
	if err := a.printf("\n"); err != nil {
		return err
	}
	return a.table([]string{"POOL", "DATA CENTRE", "STATE", "VMS"}, poolRows(vs))
}

// poolRows returns table rows with the number of VMs in each pool, data centre and state.
func poolRows(vs []oper.VM) [][]string {
	type group struct{ pool, dc, state string }
	n := make(map[group]int)
	for _, v := range vs {
		n[group{v.Pool, v.DataCentre, v.State}]++
	}
	var rows [][]string
	for g, c := range n {
		rows = append(rows, []string{g.pool, g.dc, g.state, fmt.Sprint(c)})
	}
	slices.SortFunc(rows, slices.Compare)
	return rows
}
