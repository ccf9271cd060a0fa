// Command demo starts a fake platform, fake targets of two services and four entries as processes on loopback. It shows orders, refusals,
// a withdrawn approval, a maintenance wave and the replacement of an entry, and then keeps running until it is interrupted.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	defaultPort  = 21000
	lastPort     = 60000
	stepsTimeout = 60 * time.Second // of all steps together
)

func main() {
	bin := flag.String("bin", "bin", "directory of the programs burdockreach and standin")
	once := flag.Bool("once", false, "end after the steps; status 0 only if all was as it should be")
	port := flag.Int("port", defaultPort, "lowest port; the demo takes ports up to 1200 above")
	keep := flag.Bool("keep", false, "keep the directory of settings and logs")
	flag.Parse()
	if flag.NArg() > 0 || *port < 1024 || *port > lastPort {
		fmt.Fprintf(os.Stderr, "demo: -port must be 1024 to %d, and no further words are known\n", lastPort)
		os.Exit(2)
	}
	c, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := demo(c, *bin, *port, *once, *keep)
	stop()
	if err != nil {
		fmt.Fprintf(os.Stderr, "demo: %s\n", eris.ToString(err, false))
		os.Exit(1)
	}
}

// demo runs all steps and stops every process that it started. Unless once is set, it keeps the processes running until c ends.
func demo(c context.Context, bin string, port int, once, keep bool) error {
	dir, err := os.MkdirTemp("", "burdockreach-demo-")
	if err != nil {
		return eris.Wrap(err, "make a directory")
	}
	s := newFleet(dir, bin, port)
	err = s.runSteps(c)
	if err != nil {
		s.printLogTails()
	}
	if err == nil && !once {
		s.printHints()
		<-c.Done()
	}
	if e := s.procs.stopAll(); err == nil {
		err = e
	}
	if keep {
		fmt.Printf("settings and logs are in %s\n", dir)
		return err
	}
	if e := os.RemoveAll(dir); err == nil {
		err = eris.Wrap(e, "remove the directory")
	}
	return err
}

// runSteps runs the steps in order and stops at the first error.
func (s *fleet) runSteps(c context.Context) error {
	t, cancel := context.WithTimeout(c, stepsTimeout)
	defer cancel()
	for _, step := range []func(context.Context) error{
		s.start, s.configure, s.order, s.refusals, s.withdraw, s.maintain, s.replace, s.report,
	} {
		if err := step(t); err != nil {
			return err
		}
	}
	fmt.Printf("\nall was as it should be, after %.1f s\n", time.Since(s.startedAt).Seconds())
	return nil
}

// printLogTails prints the last lines of every process's log to standard error.
func (s *fleet) printLogTails() {
	logs, _ := filepath.Glob(filepath.Join(s.dir, "*.log"))
	for _, l := range logs {
		if b, err := os.ReadFile(l); err == nil && len(b) > 0 {
			fmt.Fprintf(os.Stderr, "--- end of %s\n%s", filepath.Base(l), lastLines(b))
		}
	}
}
