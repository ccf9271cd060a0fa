package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/rotisserie/eris"

	"burdockreach.dev/node/oper"
	"burdockreach.dev/plat/conf"
)

func (a *app) approveCommand() *command {
	return a.approvalChangeCommand("approve", "let a team call a service", conf.Approve)
}

func (a *app) withdrawCommand() *command {
	return a.approvalChangeCommand("withdraw", "take the approval of a team for a service back", conf.Withdraw)
}

// approvalChangeCommand returns a command that submits a change of kind k for one approval.
func (a *app) approvalChangeCommand(name, synopsis string, k conf.Kind) *command {
	s := a.newSubmitter()
	return &command{
		app: a, name: name, synopsis: synopsis, usage: fmt.Sprintf("%s %s [flags] TEAM SERVICE", program, name), flags: s.flags,
		run: func(c context.Context, f *flag.FlagSet) error {
			if f.NArg() != 2 {
				return eris.Wrapf(errUsage, "a team and a service are needed after the flags, got %d names", f.NArg())
			}
			return s.submit(c, conf.Change{Kind: k, Approval: &conf.ApprovalSpec{Team: f.Arg(0), Service: f.Arg(1)}})
		},
	}
}

// approvalCommand returns the command that lists approvals.
func (a *app) approvalCommand() *command {
	l, team, service := a.newAPIClient(), "", ""
	return a.commandGroup("approval", "list approvals", &command{
		app: a, name: "list", synopsis: "list approvals", usage: program + " approval list [flags]",
		flags: func(f *flag.FlagSet) {
			l.flags(f)
			f.StringVar(&team, "team", "", "only of this team")
			f.StringVar(&service, "service", "", "only for this service")
		},
		run: func(c context.Context, _ *flag.FlagSet) error {
			var r oper.Objects[conf.ApprovalSpec]
			if err := l.get(c, "/op/approvals?team="+escape(team)+"&service="+escape(service), &r); err != nil {
				return err
			}
			if l.asJSON {
				return a.writeJSON(r)
			}
			var rows [][]string
			for _, o := range r.Items {
				rows = append(rows, formatRow(o.Spec.Team, o.Spec.Service, o.Changed))
			}
			return a.table([]string{"TEAM", "SERVICE", "CHANGED"}, rows)
		},
	})
}
