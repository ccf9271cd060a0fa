// Command standin-2 plays the scripts of review/6 to review/10: it starts stand-ins of the platform and of executors, starts entries as
// processes, disturbs them and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Exit statuses of a script.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	playLimit = 110 * time.Second
)

// scene is one script. play returns what broke the rule, or an empty text.
type scene struct {
	kinds []string  // of the executors.
	cores []float64 // of the entries.
	play  func(w *world, trouble string) (string, error)
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin-2 SCENE FOLDER")
		os.Exit(couldNot)
	}
	s, ok := scenes[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such scene")
		os.Exit(couldNot)
	}
	os.Exit(run(s, os.Args[2]))
}

func run(s scene, dir string) int {
	trouble := os.Getenv("TROUBLE")
	w, err := newWorld(s.kinds, s.cores)
	if w == nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer w.stop()
	c := make(chan os.Signal, 1)
	signal.Notify(c, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-c:
		case <-time.After(playLimit):
		}
		w.stop()
		os.Exit(couldNot)
	}()
	found := ""
	if err == nil {
		found, err = s.play(w, trouble)
	}
	result, status := "the rule held", held
	switch {
	case err != nil:
		result, status = "the case could not run: "+err.Error(), couldNot
	case found != "":
		result, status = "the rule was broken: "+found, broken
	}
	w.note("%s", result)
	fmt.Println(result)
	w.mu.Lock()
	defer w.mu.Unlock()
	b := "TROUBLE=" + trouble + "\nseconds\n" + strings.Join(w.record, "\n") + "\n"
	if err := os.WriteFile(filepath.Join(dir, "record.txt"), []byte(b), 0o644); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	return status
}
