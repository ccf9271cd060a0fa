package main

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"burdockreach.dev/node/oper"
)

// replace stops one entry by SIGTERM under load and starts a new process with the same name and no state.
func (s *fleet) replace(c context.Context) error {
	n := s.entries[1]
	printStep("replace %s while orders come: SIGTERM, and a new process with the same name", n.name)
	_, err := s.underLoad(c, func(c context.Context) error {
		t := time.Now()
		if err := s.procs.stopOne(n.name); err != nil {
			return err
		}
		printLine("%s ended with status 0 after %.1f s", n.name, time.Since(t).Seconds())
		if err := s.startEntry(n); err != nil {
			return err
		}
		err := pollUntil(c, readyTimeout, n.name+" is back", func() error { return s.checkRejoined(c, n) })
		printLine("%s takes work again after %.1f s", n.name, time.Since(t).Seconds())
		return err
	})
	return err
}

// checkRejoined returns an error until the entry has applied all changes, sees all its targets serve, and all entries are healthy.
func (s *fleet) checkRejoined(c context.Context, n entry) error {
	if err := s.checkSeesTargets(c, n); err != nil {
		return err
	}
	out, err := s.runCLI(c, "", "status", "-json")
	if err != nil {
		return err
	}
	var r struct {
		Entries []oper.Entry `json:"entries"`
	}
	if err := json.Unmarshal([]byte(out), &r); err != nil {
		return eris.Wrap(err, "read status")
	}
	i := slices.IndexFunc(r.Entries, func(e oper.Entry) bool { return e.Name == n.name })
	if i < 0 || r.Entries[i].Applied != r.Entries[0].Applied {
		return eris.Errorf("%s has not applied all changes", n.name)
	}
	return s.checkHealthy()
}
