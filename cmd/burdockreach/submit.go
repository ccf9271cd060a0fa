package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"os/user"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"burdockreach.dev/node/oper"
	"burdockreach.dev/plat/conf"
)

// submitter submits changes of the configuration and prints their outcomes.
type submitter struct {
	*apiClient
	opID, operator string
	expectedChange int64
	maxWait        time.Duration
}

func (a *app) newSubmitter() *submitter { return &submitter{apiClient: a.newAPIClient()} }

// flags defines the flags of commands that change the configuration.
func (s *submitter) flags(f *flag.FlagSet) {
	s.apiClient.flags(f)
	f.StringVar(&s.opID, "op", "", "id of the operation, by which a lost answer is settled; default a new one")
	f.StringVar(&s.operator, "by", userName(), "name of the operator, for the log")
	f.Int64Var(&s.expectedChange, "expect", 0, "number of the change that must be the object's latest; -1 demands that it does not exist, 0 is any")
	f.DurationVar(&s.maxWait, "wait", 0, "longest wait until the change is in force on every entry; 0 does not wait")
}

// userName returns the name of the user who runs the command, or the empty string if it is not known.
func userName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}

// submit submits the change and prints its outcome. With -wait it also waits until the change is in force on every entry.
func (s *submitter) submit(c context.Context, g conf.Change) error {
	addrs, err := s.prepare()
	if err != nil {
		return err
	}
	if s.opID == "" {
		s.opID = uuid.NewString()
	}
	g.Op, g.By = s.opID, s.operator
	if s.expectedChange != 0 {
		g.Expect = conf.Number(s.expectedChange)
	}
	submittedAt := time.Now()
	r, err := s.send(c, addrs, g)
	if err != nil {
		return err
	}
	if err := s.writeOutcome(r); err != nil || s.maxWait == 0 {
		return err
	}
	return s.apiClient.waitInForce(c, addrs, r.Number, submittedAt, s.maxWait)
}

// send sends the change to the first entry that can be reached. If the answer is lost or the outcome is unknown,
// it asks the entries for the outcome instead of sending the change again.
func (s *submitter) send(c context.Context, addrs []string, g conf.Change) (oper.ChangeReply, error) {
	var r oper.ChangeReply
	b, err := json.Marshal(g)
	if err != nil {
		return r, eris.Wrap(err, "encode change")
	}
	for _, a := range addrs {
		err = s.call(c, a, fasthttp.MethodPost, "/op/change", b, &r,
			fasthttp.StatusConflict, fasthttp.StatusUnprocessableEntity, fasthttp.StatusGatewayTimeout)
		if errors.Is(err, errNotSent) {
			continue
		}
		if errors.Is(err, errNoAnswer) || err == nil && r.Outcome == oper.Unknown {
			return s.findOutcome(c, addrs, g.Op), nil
		}
		return r, err
	}
	return r, eris.Wrap(err, "not accepted: no entry was reached")
}

// findOutcome asks the entries in turn for the outcome of the operation until one knows it.
func (l *apiClient) findOutcome(c context.Context, addrs []string, op string) oper.ChangeReply {
	r := oper.ChangeReply{Outcome: oper.Unknown, Op: op}
	for _, a := range addrs {
		var v oper.ChangeReply
		err := l.call(c, a, fasthttp.MethodGet, "/op/change?op="+escape(op), nil, &v, fasthttp.StatusConflict, fasthttp.StatusGatewayTimeout)
		if err == nil && v.Outcome != oper.Unknown {
			return v
		}
		if err != nil {
			v.Reason = eris.ToString(err, false)
		}
		r.Reason = v.Reason
	}
	return r
}

// writeOutcome prints the outcome of a change. It returns errReported unless the change was accepted.
func (l *apiClient) writeOutcome(r oper.ChangeReply) error {
	if l.asJSON {
		if err := l.app.writeJSON(r); err != nil {
			return err
		}
	}
	switch r.Outcome {
	case oper.Accepted:
		if l.asJSON {
			return nil
		}
		return l.app.printf("accepted as change %d\n", r.Number)
	case oper.NotAccepted:
		l.app.errorf("not accepted: %s\n", refusalReason(r))
	default:
		l.app.errorf("unknown whether accepted: %s\nask again with: %s change -op %s\n", r.Reason, program, r.Op)
	}
	return errReported
}

// refusalReason returns the reason why a change was not accepted.
func refusalReason(r oper.ChangeReply) string {
	if r.Field == "" {
		return r.Reason
	}
	return r.Reason + ": " + r.Field + ": " + r.Value + " is not allowed; allowed: " + r.Allowed
}

// escape returns s escaped for use as a value in a query string.
func escape(s string) string { return string(fasthttp.AppendQuotedArg(nil, []byte(s))) }

// changeCommand returns the command that prints the outcome of an operation, for use after an unknown outcome.
func (a *app) changeCommand() *command {
	l, op := a.newAPIClient(), ""
	return &command{
		app: a, name: "change", synopsis: "tell what became of the operation with that id", usage: program + " change -op ID",
		flags: func(f *flag.FlagSet) {
			l.flags(f)
			f.StringVar(&op, "op", "", "id of the operation")
		},
		run: func(c context.Context, _ *flag.FlagSet) error {
			if op == "" {
				return eris.Wrap(errUsage, "-op is missing")
			}
			addrs, err := l.prepare()
			if err != nil {
				return err
			}
			return l.writeOutcome(l.findOutcome(c, addrs, op))
		},
	}
}
