package main

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	endWait      = 8 * time.Second // for one process to end after SIGTERM
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
	name string
	cmd  *exec.Cmd
	log  *os.File
}

// start runs a program until end; its output goes to a log of its own.
func (p *procs) start(name, program string, args ...string) error {
	l, err := os.Create(filepath.Join(p.dir, name+".log"))
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
	p.all = append(p.all, &proc{name: name, cmd: x, log: l})
	return nil
}

// end stops every process, the latest first, and reports one that did not end by itself with status 0.
func (p *procs) end() error {
	var first error
	for i := len(p.all) - 1; i >= 0; i-- {
		_ = p.all[i].cmd.Process.Signal(syscall.SIGTERM)
	}
	for i := len(p.all) - 1; i >= 0; i-- {
		if err := p.all[i].wait(); err != nil && first == nil {
			first = err
		}
	}
	p.all = nil
	return first
}

// wait waits for the end of the process and kills it when it takes too long.
func (p *proc) wait() error {
	k := time.AfterFunc(endWait, func() { _ = p.cmd.Process.Kill() })
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

// until polls ok until it holds.
func until(c context.Context, longest time.Duration, what string, ok func() error) error {
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
