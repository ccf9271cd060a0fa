// Command standin plays one case of the review: it starts the stand-ins and the project's own entries on loopback addresses, does what the
// case says, and checks the rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// cases are the cases by number. A case returns what broke the rule.
var cases = map[int]func(w *world, trouble bool) ([]string, error){}

// maxCase is the longest time that a case may run, unless the case is played by hand with other figures.
var maxCase = 115 * time.Second

func main() { os.Exit(play()) }

func play() int {
	number := flag.Int("case", 0, "number of the case")
	bin := flag.String("bin", "target/burdockreach", "the project's program")
	tmpl := flag.String("template", "deploy/settings.json", "the template of an entry's settings")
	out := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	trouble := os.Getenv("TROUBLE") != "0"
	rec, err := newRecord(*out)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	b, err := filepath.Abs(*bin)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	w, err := newWorld(dir, b, *tmpl, rec)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer w.close()
	rec.show("case", "%d, disruption %t", *number, trouble)
	type result struct {
		broken []string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		l, err := cases[*number](w, trouble)
		done <- result{l, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // a closed pipe must not leave processes behind.
	select {
	case r := <-done:
		if r.err != nil {
			rec.show("case", "could not run: %v", r.err)
			return 2
		}
		for n, b := range r.broken {
			if n < 20 {
				rec.show("broken", "%s", b)
			} else {
				rec.add("broken", "%s", b)
			}
		}
		if len(r.broken) > 0 {
			rec.show("case", "the rule was broken %d times", len(r.broken))
			return 1
		}
		rec.show("case", "the rule held")
		return 0
	case <-time.After(maxCase):
		rec.show("case", "could not run: not finished after %s", maxCase)
	case <-stop:
		rec.show("case", "could not run: interrupted")
	}
	return 2
}
