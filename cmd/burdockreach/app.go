package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"slices"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"
)

const program = "burdockreach"

// errUsage marks an error in the command line itself, which ends with status 2.
var errUsage = eris.New("usage")

// app holds what commands read from and write to.
type app struct {
	in       io.Reader
	out, err io.Writer
}

func newApp(in io.Reader, out, err io.Writer) *app { return &app{in: in, out: out, err: err} }

// run executes the command line args and returns the process's exit status.
func (a *app) run(c context.Context, args []string) subcommands.ExitStatus {
	f := flag.NewFlagSet(program, flag.ContinueOnError)
	f.SetOutput(a.err)
	r := a.commander(f, program)
	r.Register(r.HelpCommand(), "help")
	a.register(r)
	if err := f.Parse(args); errors.Is(err, flag.ErrHelp) {
		return subcommands.ExitSuccess
	} else if err != nil {
		return subcommands.ExitUsageError
	}
	t := r.Execute(c)
	if t == subcommands.ExitUsageError && slices.ContainsFunc(args, isHelpFlag) {
		return subcommands.ExitSuccess
	}
	return t
}

// isHelpFlag reports whether the word asks for a command's usage, which the flag package takes for an error.
func isHelpFlag(w string) bool { return slices.Contains([]string{"-h", "-help", "--h", "--help"}, w) }

// commander returns an empty commander that writes where the app does.
func (a *app) commander(f *flag.FlagSet, name string) *subcommands.Commander {
	r := subcommands.NewCommander(f, name)
	r.Output, r.Error = a.out, a.err
	return r
}

// register adds every command.
func (a *app) register(r *subcommands.Commander) {
	for _, c := range []*command{a.entryCommand(), a.siteCommand(), a.fleetCommand(), a.checkCommand(), a.versionCommand()} {
		r.Register(c, "program")
	}
	for _, c := range []*command{
		kindCommand(a, profileKind()), kindCommand(a, serviceKind()), kindCommand(a, poolKind()),
		kindCommand(a, teamKind()), kindCommand(a, waveKind()),
		a.approveCommand(), a.withdrawCommand(), a.approvalCommand(), a.changeCommand(), a.waitCommand(),
	} {
		r.Register(c, "configuration")
	}
	r.Register(a.jobCommand(), "jobs")
	for _, c := range []*command{a.vmCommand(), a.statusCommand(), a.reportCommand()} {
		r.Register(c, "state")
	}
}

// command is one subcommand; run's error says what failed in one line.
type command struct {
	app                   *app
	name, synopsis, usage string
	flags                 func(f *flag.FlagSet)
	run                   func(c context.Context, f *flag.FlagSet) error
}

// Name returns the command's name.
func (c *command) Name() string { return c.name }

// Synopsis returns a phrase about the command.
func (c *command) Synopsis() string { return c.synopsis }

// Usage returns the command's usage in full.
func (c *command) Usage() string { return c.usage + "\n  " + c.synopsis + ".\n" }

// SetFlags defines the command's flags.
func (c *command) SetFlags(f *flag.FlagSet) {
	f.SetOutput(c.app.err)
	if c.flags != nil {
		c.flags(f)
	}
}

// Execute runs the command: status 0 when done, 1 when refused or failed, 2 for a wrong command line or wrong settings.
func (c *command) Execute(x context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := c.run(x, f)
	switch {
	case err == nil:
		return subcommands.ExitSuccess
	case errors.Is(err, errUsage):
		c.app.errorf("%s\nusage: %s\n", eris.ToString(err, false), c.usage)
		return subcommands.ExitUsageError
	case errors.Is(err, errReported):
		return subcommands.ExitFailure
	case errors.Is(err, errUsageReported):
		return subcommands.ExitUsageError
	default:
		c.app.errorf("%s: %s\n", program, eris.ToString(err, false))
		return subcommands.ExitFailure
	}
}

// errReported is a failure of which the command has told all there is to say.
var errReported = eris.New("failed")

// errorf writes to the error output; a failure to do so has no one to go to.
func (a *app) errorf(format string, args ...any) { _, _ = fmt.Fprintf(a.err, format, args...) }

// printf writes to the output.
func (a *app) printf(format string, args ...any) error {
	_, err := fmt.Fprintf(a.out, format, args...)
	return eris.Wrap(err, "write output")
}

// commandGroup returns a command of commands, as in "profile list".
func (a *app) commandGroup(name, synopsis string, subs ...*command) *command {
	g := &command{app: a, name: name, synopsis: synopsis, usage: program + " " + name + " COMMAND"}
	names := ""
	for _, s := range subs {
		names += fmt.Sprintf("\n  %-6s %s", s.name, s.synopsis)
	}
	g.usage += names
	g.run = func(c context.Context, f *flag.FlagSet) error {
		for _, s := range subs {
			if f.Arg(0) == s.name {
				return s.runSubcommand(c, name, f.Args()[1:])
			}
		}
		return eris.Wrapf(errUsage, "%s %q is not a command", name, f.Arg(0))
	}
	return g
}

// runSubcommand parses the flags of a command within a group and runs it.
func (c *command) runSubcommand(x context.Context, group string, args []string) error {
	f := flag.NewFlagSet(group+" "+c.name, flag.ContinueOnError)
	f.Usage = func() {
		c.app.errorf("%s", c.Usage())
		f.PrintDefaults()
	}
	c.SetFlags(f)
	if err := f.Parse(args); errors.Is(err, flag.ErrHelp) {
		return nil
	} else if err != nil {
		return errUsageReported // the flag package has told what is wrong.
	}
	err := c.run(x, f)
	if errors.Is(err, errUsage) {
		c.app.errorf("%s\nusage: %s\n", eris.ToString(err, false), c.usage)
		return errUsageReported
	}
	return err
}
