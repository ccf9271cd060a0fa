package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"burdockreach.dev/node/oper"
	"burdockreach.dev/plat/conf"
)

const (
	pollInterval   = 20 * time.Millisecond
	defaultMaxWait = 30 * time.Second
)

// waitCommand returns the command that waits until a change is in force on every entry.
func (a *app) waitCommand() *command {
	l, n, latest, maxWait := a.newAPIClient(), int64(0), false, time.Duration(0)
	return &command{
		app: a, name: "wait", synopsis: "wait until a change is in force on every entry", usage: program + " wait -change N | -latest [flags]",
		flags: func(f *flag.FlagSet) {
			l.flags(f)
			f.Int64Var(&n, "change", 0, "number of the change")
			f.BoolVar(&latest, "latest", false, "wait for the newest change that any of the entries has")
			f.DurationVar(&maxWait, "longest", defaultMaxWait, "longest wait")
		},
		run: func(c context.Context, _ *flag.FlagSet) error {
			if latest == (n > 0) {
				return eris.Wrap(errUsage, "one of -change and -latest is needed")
			}
			addrs, err := l.prepare()
			if err != nil {
				return err
			}
			if latest {
				if n, err = l.newestChange(c, addrs); err != nil {
					return err
				}
			}
			return l.waitInForce(c, addrs, conf.Number(n), time.Time{}, maxWait)
		},
	}
}

// newestChange returns the number of the newest change that is in force on any of the entries.
// It ignores entries that do not answer, unless no entry has a change.
func (l *apiClient) newestChange(c context.Context, addrs []string) (int64, error) {
	var n conf.Number
	var err error
	for _, r := range getEach[oper.Applied](c, l, addrs, "/op/applied") {
		n = max(n, r.value.Newest)
		err = errors.Join(err, r.err)
	}
	if n == 0 && err == nil {
		err = eris.New("there is no change yet")
	}
	if n > 0 {
		err = nil
	}
	return int64(n), err
}

// waitInForce waits until change n is in force on every entry, at most for maxWait. It prints the time that this took
// since submittedAt, or since the change was made if submittedAt is zero.
func (l *apiClient) waitInForce(c context.Context, addrs []string, n conf.Number, submittedAt time.Time, maxWait time.Duration) error {
	t, cancel := context.WithTimeout(c, maxWait)
	defer cancel()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	var missing []string
	for {
		rs := getEach[oper.Applied](t, l, addrs, fmt.Sprintf("/op/applied?n=%d", n))
		m := entriesBehind(rs, n)
		if len(m) == 0 {
			return l.writeInForce(rs, n, submittedAt)
		}
		// Calls that the end of the wait cut off say nothing about the entries.
		if end, _ := t.Deadline(); missing == nil || time.Now().Before(end) {
			missing = m
		}
		select {
		case <-t.Done():
			return eris.Errorf("change %d is not in force everywhere after %v: %s", n, maxWait, strings.Join(missing, "; "))
		case <-tick.C:
		}
	}
}

// entriesBehind lists the entries that lack change n or did not answer, and those that other entries report as unreachable.
// An entry's own answer takes precedence over what other entries report about it.
func entriesBehind(rs []reply[oper.Applied], n conf.Number) []string {
	answered := make(map[string]bool)
	var ms []string
	for _, r := range rs {
		switch {
		case r.err != nil:
			ms = append(ms, eris.ToString(r.err, false))
		case r.value.Newest < n:
			ms = append(ms, fmt.Sprintf("%s has %d", r.value.Entry, r.value.Newest))
		}
		answered[r.value.Entry] = true
	}
	for _, r := range rs {
		for _, e := range r.value.Entries {
			switch {
			case answered[e.Name]:
				continue
			case !e.Reachable:
				ms = append(ms, e.Name+" is not heard by "+r.value.Entry)
			case e.Applied < n:
				ms = append(ms, fmt.Sprintf("%s has %d", e.Name, e.Applied))
			}
		}
	}
	slices.Sort(ms)
	return slices.Compact(ms)
}

// waitResult is the JSON output of a successful wait.
type waitResult struct {
	Number  conf.Number `json:"n"`
	Entries int         `json:"entries"`
	TookMs  int64       `json:"tookMs"`
}

func (l *apiClient) writeInForce(rs []reply[oper.Applied], n conf.Number, submittedAt time.Time) error {
	entries, took := make(map[string]bool), time.Duration(0)
	for _, r := range rs {
		took = max(took, time.Duration(r.value.AgeMs)*time.Millisecond)
		entries[r.value.Entry] = true
		for _, e := range r.value.Entries {
			entries[e.Name] = true
		}
	}
	if !submittedAt.IsZero() {
		took = time.Since(submittedAt)
	}
	if l.asJSON {
		return l.app.writeJSON(waitResult{Number: n, Entries: len(entries), TookMs: took.Milliseconds()})
	}
	return l.app.printf("change %d is in force on all %d entries, %.3f s after it was made\n", n, len(entries), took.Seconds())
}
