// Command standin runs the stand-ins of the platform, of a target and of a forwarder that cuts and stalls.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"
)

const usage = `usage: standin platform -settings FILE
       standin target -name VM -addr IP:PORT [flags]
       standin cutter -listen IP:PORT -to IP:PORT [-control IP:PORT]
`

// Exit statuses.
const (
	done = iota
	failed
	misused
)

func main() {
	c, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	s := run(c, os.Args[1:], os.Stderr)
	stop()
	os.Exit(s)
}

// runner is a parsed command.
type runner func(c context.Context) error

// run executes the command line until c ends and returns the exit status.
func run(c context.Context, args []string, w io.Writer) int {
	commands := map[string]func(*flag.FlagSet, []string) (runner, error){
		"platform": platform, "target": oneTarget, "cutter": forwarder,
	}
	if len(args) == 0 || commands[args[0]] == nil {
		complain(w, usage)
		return misused
	}
	f := flag.NewFlagSet("standin "+args[0], flag.ContinueOnError)
	f.SetOutput(w)
	r, err := commands[args[0]](f, args[1:])
	if errors.Is(err, flag.ErrHelp) {
		return done
	}
	if err != nil {
		complain(w, "standin: %s\n", eris.ToString(err, false))
		return misused
	}
	if err := r(c); err != nil {
		complain(w, "standin: %s\n", eris.ToString(err, false))
		return failed
	}
	return done
}

// complain writes to the error output; a failure to do so has no one to go to.
func complain(w io.Writer, form string, args ...any) { _, _ = fmt.Fprintf(w, form, args...) }
