package main

import (
	"bytes"
	"context"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	exitTimeout  = 8 * time.Second // for one process to end after SIGTERM
	tailLines    = 8
	startTimeout = 15 * time.Second
	pollInterval = 50 * time.Millisecond
)

// procs holds the processes that the demo started, in order.
type procs struct {
	dir string
	all []*proc
}

// proc is one process with its log.
type proc struct {
	name  string
	entry bool // it needs the others for its drain.
	cmd   *exec.Cmd
	log   *os.File
}

// start runs a program until end; its output goes to a log of its own.
func (p *procs) start(name string, entry bool, program string, args ...string) error {
	l, err := os.OpenFile(filepath.Join(p.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "create log")
	}
	x := exec.Command(program, args...) //nolint:noctx // it is ended by SIGTERM first, so that it can drain.
	x.Stdout, x.Stderr = l, l
	x.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // an interrupt from the terminal reaches the demo alone.
	if err := x.Start(); err != nil {
		_ = l.Close()
		return eris.Wrapf(err, "start %s", name)
	}
	p.all = append(p.all, &proc{name: name, entry: entry, cmd: x, log: l})
	return nil
}

// stopAll stops the entries and then all else, and reports a process that did not stopAll by itself with status 0.
func (p *procs) stopAll() error {
	var entries, rest []*proc
	for _, x := range p.all {
		if x.entry {
			entries = append(entries, x)
		} else {
			rest = append(rest, x)
		}
	}
	p.all = nil
	return errors.Join(stopProcs(entries), stopProcs(rest))
}

// stopOne stops the process of that name and reports when it did not end by itself with status 0.
func (p *procs) stopOne(name string) error {
	i := slices.IndexFunc(p.all, func(x *proc) bool { return x.name == name })
	if i < 0 {
		return eris.Errorf("no process is named %s", name)
	}
	x := p.all[i]
	p.all = slices.Delete(p.all, i, i+1)
	return stopProcs([]*proc{x})
}

// stopProcs signals the processes and waits for all.
func stopProcs(ps []*proc) error {
	for _, x := range ps {
		_ = x.cmd.Process.Signal(syscall.SIGTERM)
	}
	var errs []error
	for _, x := range ps {
		errs = append(errs, x.wait())
	}
	return errors.Join(errs...)
}

// wait waits for the end of the process and kills it when it takes too long.
func (p *proc) wait() error {
	k := time.AfterFunc(exitTimeout, func() { _ = p.cmd.Process.Kill() })
	defer k.Stop()
	err := p.cmd.Wait()
	_ = p.log.Close()
	return eris.Wrapf(err, "%s did not end well", p.name)
}

// lastLines returns the last lines of a log.
func lastLines(b []byte) []byte {
	ls := bytes.SplitAfter(bytes.TrimRight(b, "\n"), []byte("\n"))
	return append(bytes.Join(ls[max(0, len(ls)-tailLines):], nil), '\n')
}

// pollUntil polls ok pollUntil it holds.
func pollUntil(c context.Context, longest time.Duration, what string, ok func() error) error {
	t, cancel := context.WithTimeout(c, longest)
	defer cancel()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		err := ok()
		if err == nil {
			return nil
		}
		select {
		case <-t.Done():
			return eris.Wrapf(err, "%s: not within %v", what, longest)
		case <-tick.C:
		}
	}
}
