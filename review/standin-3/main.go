// Command standin-3 runs the scripts of the third review. It starts entries as processes and serves the store, the workers, the machines
// and the advice service themselves. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxTime is the longest time of a script.
const maxTime = 115 * time.Second

// verdict is what a case has found.
type verdict struct {
	broken bool
	text   string
}

var cases = map[string]func(*rig) (verdict, error){
	"lasting-fails": lastingFails,
	"late-start":    lateStartCase,
	"gang-cut":      gangCut,
	"flap-lasting":  flapLasting,
	"flap-job":      flapJob,
	"frozen-submit": frozenSubmit,
	"advice-burst":  adviceBurst,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
}

func runCase(f func(*rig) (verdict, error), dir string) int {
	r, err := newRig(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.close()
	type result struct {
		verdict
		err error
	}
	done, signals := make(chan result, 1), make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() { v, err := f(r); done <- result{v, err} }()
	var v verdict
	select {
	case x := <-done:
		v, err = x.verdict, x.err
	case s := <-signals:
		err = fmt.Errorf("%w: %s", errSetup, s)
	case <-time.After(maxTime):
		err = fmt.Errorf("%w: it took too long", errSetup)
	}
	if err != nil {
		r.rec.add("could not run: %v", err)
		fmt.Println("could not run:", err)
		if !errors.Is(err, errSetup) {
			fmt.Fprintln(os.Stderr, err)
		}
		return 2
	}
	word := "held"
	if v.broken {
		word = "BROKEN"
	}
	r.rec.add("rule %s: %s", word, v.text)
	fmt.Printf("rule %s: %s\n", word, v.text)
	if v.broken {
		return 1
	}
	return 0
}
