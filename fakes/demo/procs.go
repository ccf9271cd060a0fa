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
	exitTimeout  = 8 * time.Second // of one process, from SIGTERM to SIGKILL
	tailLines    = 8
	startTimeout = 15 * time.Second
	pollInterval = 50 * time.Millisecond
)

// procs holds the running processes that the demo started, in the order of their start.
type procs struct {
	dir string
	all []*proc
}

// proc is one process with its log file.
type proc struct {
	name  string
	entry bool // stopped before the other processes, which it needs for its drain
	cmd   *exec.Cmd
	log   *os.File
}

// start starts a program, with its output in a log file of its own.
func (p *procs) start(name string, entry bool, program string, args ...string) error {
	l, err := os.OpenFile(filepath.Join(p.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "create log")
	}
	x := exec.Command(program, args...) //nolint:noctx // stopped by SIGTERM, so that it can drain; a context would kill it
	x.Stdout, x.Stderr = l, l
	x.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // an interrupt from the terminal reaches the demo only
	if err := x.Start(); err != nil {
		_ = l.Close()
		return eris.Wrapf(err, "start %s", name)
	}
	p.all = append(p.all, &proc{name: name, entry: entry, cmd: x, log: l})
	return nil
}

// stopAll stops the entries and then all other processes. It returns an error for each that did not exit with status 0 within exitTimeout.
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

// stopOne stops the process with that name. It returns an error if it did not exit with status 0 within exitTimeout.
func (p *procs) stopOne(name string) error {
	i := slices.IndexFunc(p.all, func(x *proc) bool { return x.name == name })
	if i < 0 {
		return eris.Errorf("no process is named %s", name)
	}
	x := p.all[i]
	p.all = slices.Delete(p.all, i, i+1)
	return stopProcs([]*proc{x})
}

// stopProcs sends SIGTERM to the processes and waits until all have exited.
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

// wait waits until the process exits and kills it after exitTimeout.
func (p *proc) wait() error {
	k := time.AfterFunc(exitTimeout, func() { _ = p.cmd.Process.Kill() })
	defer k.Stop()
	err := p.cmd.Wait()
	_ = p.log.Close()
	return eris.Wrapf(err, "%s did not exit with status 0", p.name)
}

// lastLines returns the last tailLines lines of a log.
func lastLines(b []byte) []byte {
	ls := bytes.SplitAfter(bytes.TrimRight(b, "\n"), []byte("\n"))
	return append(bytes.Join(ls[max(0, len(ls)-tailLines):], nil), '\n')
}

// pollUntil calls ok every pollInterval until it returns no error or the timeout has passed.
func pollUntil(c context.Context, timeout time.Duration, what string, ok func() error) error {
	t, cancel := context.WithTimeout(c, timeout)
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
			return eris.Wrapf(err, "%s: not within %v", what, timeout)
		case <-tick.C:
		}
	}
}
