package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	readyTimeout  = 10 * time.Second // until targets serve and entries are healthy
	repeatTimeout = 3 * time.Second  // until a copy gets the recorded answer
)

// awaitReady waits until every entry sees all targets of its data centre serve and is healthy.
func (s *fleet) awaitReady(c context.Context) error {
	for _, n := range s.entries {
		if err := pollUntil(c, readyTimeout, n.name+" sees its targets serve", func() error { return s.checkSeesTargets(c, n) }); err != nil {
			return err
		}
	}
	return pollUntil(c, readyTimeout, "all entries take work", s.checkHealthy)
}

// checkSeesTargets returns an error unless the entry itself lists all targets of its data centre as serving. It asks no other entry.
func (s *fleet) checkSeesTargets(c context.Context, n entry) error {
	vs, err := s.vms(c, "-entries", n.operatorAddr, "-data-centre", n.dataCentre)
	if err != nil {
		return err
	}
	for _, v := range vs {
		if v.State != stateServing {
			return eris.Errorf("%s is %s", v.ID, v.State)
		}
	}
	if due := len(s.targets) / len(dataCentres()); len(vs) != due {
		return eris.Errorf("the entry lists %d of %d VMs", len(vs), due)
	}
	return nil
}

// checkHealthy returns an error unless every entry's health page answers 200.
func (s *fleet) checkHealthy() error {
	for _, n := range s.entries {
		a, err := call(n.callerAddr, request{"GET", "/health", "", "", nil})
		if err != nil {
			return err
		}
		if a.status != 200 {
			return eris.Errorf("%s answers %d", n.name, a.status)
		}
	}
	return nil
}

// firstEntries returns the first entry of each data centre.
func (s *fleet) firstEntries() []entry {
	var ns []entry
	seen := map[string]bool{}
	for _, n := range s.entries {
		if !seen[n.dataCentre] {
			ns = append(ns, n)
		}
		seen[n.dataCentre] = true
	}
	return ns
}

// order sends one order to one entry of each data centre, and then copies of it.
func (s *fleet) order(c context.Context) error {
	printStep("send one order to one entry of each data centre, then the same order again")
	for _, n := range s.firstEntries() {
		r := request{"POST", "/call/orders/basket", deskToken, n.dataCentre + "/order-1", []byte(`{"trays": 12}`)}
		a, err := call(n.callerAddr, r)
		if err != nil {
			return err
		}
		printLine("%s: %v", n.name, a)
		if a.status != 200 || a.outcome != "answered" {
			return eris.Errorf("an order was not answered: %v", a)
		}
		if err := s.awaitRepeat(c, n, r); err != nil {
			return err
		}
	}
	return s.checkRuns(int64(len(s.firstEntries())))
}

// awaitRepeat sends copies of an answered order until one gets the recorded answer. Until the record is settled, copies get 409.
func (s *fleet) awaitRepeat(c context.Context, n entry, r request) error {
	return pollUntil(c, repeatTimeout, "a copy gets the kept answer", func() error {
		a, err := call(n.callerAddr, r)
		if err != nil {
			return err
		}
		printLine("%s, the copy: %v", n.name, a)
		if a.outcome != "repeat" {
			return eris.Errorf("the copy of an answered order: %v", a)
		}
		return nil
	})
}

// checkRuns checks the number of requests that the targets ran since the start of the demo, and that none was doubled or cut.
func (s *fleet) checkRuns(want int64) error {
	r, err := s.totalCounts()
	if err != nil {
		return err
	}
	if r.Runs != want || r.DoubledKeys != 0 || r.Cut != 0 {
		return eris.Errorf("the targets counted %+v; want %d runs, none cut or doubled", r, want)
	}
	printLine("the targets counted %d runs, none twice", r.Runs)
	return nil
}

// refusals sends requests that must be refused and checks that none of them runs.
func (s *fleet) refusals(context.Context) error {
	printStep("send what must be refused")
	before, err := s.totalCounts()
	if err != nil {
		return err
	}
	n := s.entries[0]
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
		a, err := call(n.callerAddr, x.r)
		if err != nil {
			return err
		}
		printLine("%s: %v", x.what, a)
		if a.status != x.status || a.outcome != "not-run" || a.reason == "" {
			return eris.Errorf("%s: answered %v, not %d not-run with a reason", x.what, a, x.status)
		}
	}
	return s.checkRuns(before.Runs)
}

// withdraw withdraws an approval and checks that every entry refuses the team.
func (s *fleet) withdraw(c context.Context) error {
	printStep("withdraw the approval of the team desk for the service ledger")
	if err := s.runAndPrint(c, "", "withdraw", "-wait", "10s", "desk", "ledger"); err != nil {
		return err
	}
	for _, n := range s.entries {
		a, err := call(n.callerAddr, request{"GET", "/call/ledger/day", deskToken, "", nil})
		if err != nil {
			return err
		}
		printLine("%s: %v", n.name, a)
		if a.status != 403 || a.outcome != "not-run" {
			return eris.Errorf("%s still serves a withdrawn approval: %v", n.name, a)
		}
	}
	return nil
}

// report prints the report of the service levels and their burn rates.
func (s *fleet) report(c context.Context) error {
	printStep("report the service-level burn")
	return s.runAndPrint(c, "", "report")
}

// printHints prints commands that the user can try while the demo keeps running.
func (s *fleet) printHints() {
	n := s.entries[0]
	printStep("everything goes on until this is interrupted; send more, for example")
	printLine("curl -i -H 'Authorization: Bearer %s' http://%s/call/orders/menu", deskToken, n.callerAddr)
	printLine("curl -i -H 'Authorization: Bearer %s' -H 'Idempotency-Key: north/order-9' -d '{\"trays\": 3}' http://%s/call/orders/basket", deskToken, n.callerAddr)
	printLine("export BURDOCKREACH_ENTRIES=%s BURDOCKREACH_TOKEN_FILE=%s", s.operatorAddrs(), s.path("operator.token"))
	for _, w := range []string{"status", "vm list", "wave put -pools orders week-2", "wave show week-2", "report -svg burn.svg"} {
		printLine("%s %s", s.program("burdockreach"), w)
	}
	fmt.Println()
}
