package main

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"burdockreach.dev/node/oper"
)

// replace ends one entry by SIGTERM while orders come, and starts it anew with nothing kept.
func (s *site) replace(c context.Context) error {
	n := s.nodes[1]
	say("replace %s while orders come: SIGTERM, and a new process with the same name", n.name)
	_, err := s.underLoad(c, func(c context.Context) error {
		t := time.Now()
		if err := s.procs.stopOne(n.name); err != nil {
			return err
		}
		tell("%s ended with status 0 after %.1f s", n.name, time.Since(t).Seconds())
		if err := s.startNode(n); err != nil {
			return err
		}
		err := until(c, readyWait, n.name+" is back", func() error { return s.rejoined(c, n) })
		tell("%s takes work again after %.1f s", n.name, time.Since(t).Seconds())
		return err
	})
	return err
}

// rejoined reports whether the entry has the newest change and its targets, and takes work.
func (s *site) rejoined(c context.Context, n node) error {
	if err := s.sees(c, n); err != nil {
		return err
	}
	out, err := s.cli(c, "", "status", "-json")
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
		return eris.Errorf("%s lacks changes", n.name)
	}
	return s.healthy()
}
