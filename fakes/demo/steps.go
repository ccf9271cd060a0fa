package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	readyWait  = 10 * time.Second // until targets and entries serve
	repeatWait = 3 * time.Second  // until a copy gets the kept answer
)

// ready waits until every entry sees all targets of its data centre serve and takes new work.
func (s *site) ready(c context.Context) error {
	for _, n := range s.nodes {
		if err := until(c, readyWait, n.name+" sees its targets serve", func() error { return s.sees(c, n) }); err != nil {
			return err
		}
	}
	return until(c, readyWait, "all entries take work", s.healthy)
}

// sees reports whether the entry alone knows that all targets of its data centre serve.
func (s *site) sees(c context.Context, n node) error {
	vs, err := s.vms(c, "-entries", n.operators, "-data-centre", n.dataCentre)
	if err != nil {
		return err
	}
	for _, v := range vs {
		if v.State != servingAs {
			return eris.Errorf("%s is %s", v.ID, v.State)
		}
	}
	if due := len(s.targets) / len(dataCentres()); len(vs) != due {
		return eris.Errorf("it knows %d of %d VMs", len(vs), due)
	}
	return nil
}

// healthy asks every entry's health page.
func (s *site) healthy() error {
	for _, n := range s.nodes {
		a, err := call(n.callers, request{"GET", "/health", "", "", nil})
		if err != nil {
			return err
		}
		if a.status != 200 {
			return eris.Errorf("%s answers %d", n.name, a.status)
		}
	}
	return nil
}

// first returns the first entry of each data centre.
func (s *site) first() []node {
	var ns []node
	seen := map[string]bool{}
	for _, n := range s.nodes {
		if !seen[n.dataCentre] {
			ns = append(ns, n)
		}
		seen[n.dataCentre] = true
	}
	return ns
}

// order sends one order to one entry of each data centre and a copy of it again.
func (s *site) order(c context.Context) error {
	say("send one order to one entry of each data centre, then the same order again")
	for _, n := range s.first() {
		r := request{"POST", "/call/orders/basket", deskToken, n.dataCentre + "/order-1", []byte(`{"trays": 12}`)}
		a, err := call(n.callers, r)
		if err != nil {
			return err
		}
		tell("%s: %v", n.name, a)
		if a.status != 200 || a.outcome != "answered" {
			return eris.Errorf("an order was not answered: %v", a)
		}
		if err := s.repeat(c, n, r); err != nil {
			return err
		}
	}
	return s.runsAre(int64(len(s.first())))
}

// repeat sends a copy of an answered order until its kept answer comes; until the record is settled, a copy is told to come back.
func (s *site) repeat(c context.Context, n node, r request) error {
	return until(c, repeatWait, "a copy gets the kept answer", func() error {
		a, err := call(n.callers, r)
		if err != nil {
			return err
		}
		tell("%s, the copy: %v", n.name, a)
		if a.outcome != "repeat" {
			return eris.Errorf("the copy of an answered order: %v", a)
		}
		return nil
	})
}

// runsAre checks how many requests the targets ran since the demo began.
func (s *site) runsAre(want int64) error {
	r, err := s.counted()
	if err != nil {
		return err
	}
	if r.Runs != want || r.DoubledKeys != 0 || r.Cut != 0 {
		return eris.Errorf("the targets counted %+v; %d runs were due", r, want)
	}
	tell("the targets counted %d runs, none twice", r.Runs)
	return nil
}

// refusals shows requests of which nothing is run.
func (s *site) refusals(context.Context) error {
	say("send what must be refused")
	before, err := s.counted()
	if err != nil {
		return err
	}
	n := s.nodes[0]
	long := []byte(strings.Repeat("x", maxBodyBytes+1))
	for _, x := range []struct {
		what   string
		status int
		r      request
	}{
		{"no token", 401, request{"GET", "/call/orders/menu", "", "", nil}},
		{"a team without approval", 403, request{"GET", "/call/orders/menu", strangersToken, "", nil}},
		{"an unknown service", 404, request{"GET", "/call/none/menu", deskToken, "", nil}},
		{"malformed: an order without a key", 400, request{"POST", "/call/orders/basket", deskToken, "", nil}},
		{"too long", 413, request{"POST", "/call/orders/basket", deskToken, "north/order-2", long}},
	} {
		a, err := call(n.callers, x.r)
		if err != nil {
			return err
		}
		tell("%s: %v", x.what, a)
		if a.status != x.status || a.outcome != "not-run" || a.reason == "" {
			return eris.Errorf("%s: answered %v, not %d not-run with a reason", x.what, a, x.status)
		}
	}
	return s.runsAre(before.Runs)
}

// withdraw takes an approval back and shows that every entry refuses the team.
func (s *site) withdraw(c context.Context) error {
	say("withdraw the approval of the team desk for the service ledger")
	if err := s.operate(c, "", "withdraw", "-wait", "10s", "desk", "ledger"); err != nil {
		return err
	}
	for _, n := range s.nodes {
		a, err := call(n.callers, request{"GET", "/call/ledger/day", deskToken, "", nil})
		if err != nil {
			return err
		}
		tell("%s: %v", n.name, a)
		if a.status != 403 || a.outcome != "not-run" {
			return eris.Errorf("%s still serves a withdrawn approval: %v", n.name, a)
		}
	}
	return nil
}

// report prints the service-level burn.
func (s *site) report(c context.Context) error {
	say("report the service-level burn")
	return s.operate(c, "", "report")
}

// invite tells how to send more.
func (s *site) invite() {
	n := s.nodes[0]
	say("everything goes on until this is interrupted; send more, for example")
	tell("curl -i -H 'Authorization: Bearer %s' http://%s/call/orders/menu", deskToken, n.callers)
	tell("curl -i -H 'Authorization: Bearer %s' -H 'Idempotency-Key: north/order-9' -d '{\"trays\": 3}' http://%s/call/orders/basket", deskToken, n.callers)
	tell("export BURDOCKREACH_ENTRIES=%s BURDOCKREACH_TOKEN_FILE=%s", s.operators(), s.path("operator.token"))
	for _, w := range []string{"status", "vm list", "wave put -pools orders week-2", "wave show week-2", "report -svg burn.svg"} {
		tell("%s %s", s.program("burdockreach"), w)
	}
	fmt.Println()
}
