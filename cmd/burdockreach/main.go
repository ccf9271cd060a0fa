// Command burdockreach runs an entry of the fleet and provides the operators' commands.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	c, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	s := newApp(os.Stdin, os.Stdout, os.Stderr).run(c, os.Args[1:])
	stop()
	os.Exit(int(s))
}
