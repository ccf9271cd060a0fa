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

// Exit statuses. exitUsage stands for wrong arguments and settings that cannot be read.
const (
	exitOK = iota
	exitFailed
	exitUsage
)

func main() {
	c, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	s := run(c, os.Args[1:], os.Stderr)
	stop()
	os.Exit(s)
}

// runner runs a parsed command until c is cancelled.
type runner func(c context.Context) error

// run executes the command line until c is cancelled and returns the exit status.
func run(c context.Context, args []string, w io.Writer) int {
	commands := map[string]func(*flag.FlagSet, []string) (runner, error){
		"platform": parsePlatform, "target": parseTarget, "cutter": parseForwarder,
	}
	if len(args) == 0 || commands[args[0]] == nil {
		printError(w, usage)
		return exitUsage
	}
	f := flag.NewFlagSet("standin "+args[0], flag.ContinueOnError)
	f.SetOutput(w)
	r, err := commands[args[0]](f, args[1:])
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if err != nil {
		printError(w, "standin: %s\n", eris.ToString(err, false))
		return exitUsage
	}
	if err := r(c); err != nil {
		printError(w, "standin: %s\n", eris.ToString(err, false))
		return exitFailed
	}
	return exitOK
}

// printError writes to the error output. It ignores a write error, which could be reported nowhere else.
func printError(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }
