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

// errUsage marks a wrong command line. The command then prints its usage, and the exit status is 2.
var errUsage = eris.New("usage")

// app holds the standard input and outputs of the commands.
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

// isHelpFlag reports whether w is a help flag. The flag package returns an error for a help flag; run turns it into status 0.
func isHelpFlag(w string) bool { return slices.Contains([]string{"-h", "-help", "--h", "--help"}, w) }

// commander returns a commander without commands that writes to the app's outputs.
func (a *app) commander(f *flag.FlagSet, name string) *subcommands.Commander {
	r := subcommands.NewCommander(f, name)
	r.Output, r.Error = a.out, a.err
	return r
}

// register adds all commands to r, grouped as the help lists them.
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

// command is one subcommand. run returns an error whose text fits on one line.
type command struct {
	app                   *app
	name, synopsis, usage string
	flags                 func(f *flag.FlagSet)
	run                   func(c context.Context, f *flag.FlagSet) error
}

// Name returns the command's name.
func (c *command) Name() string { return c.name }

// Synopsis returns the command's one-line description.
func (c *command) Synopsis() string { return c.synopsis }

// Usage returns the command's usage with its synopsis.
func (c *command) Usage() string { return c.usage + "\n  " + c.synopsis + ".\n" }

// SetFlags defines the command's flags.
func (c *command) SetFlags(f *flag.FlagSet) {
	f.SetOutput(c.app.err)
	if c.flags != nil {
		c.flags(f)
	}
}

// Execute runs the command and returns its exit status: 0 for success, 1 if the command was refused or failed,
// 2 for a wrong command line or invalid settings.
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

// errReported marks a failure that the command has already printed. The exit status is 1.
var errReported = eris.New("failed")

// errorf writes to the error output. A write error is ignored, because there is no other output to report it to.
func (a *app) errorf(format string, args ...any) { _, _ = fmt.Fprintf(a.err, format, args...) }

// printf writes to the standard output.
func (a *app) printf(format string, args ...any) error {
	_, err := fmt.Fprintf(a.out, format, args...)
	return eris.Wrap(err, "write output")
}

// commandGroup returns a command that runs one of subs, as "profile" does for "profile list".
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

// runSubcommand parses the flags of c, a command of the given group, and runs it.
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
		return errUsageReported // The flag package has printed the error.
	}
	err := c.run(x, f)
	if errors.Is(err, errUsage) {
		c.app.errorf("%s\nusage: %s\n", eris.ToString(err, false), c.usage)
		return errUsageReported
	}
	return err
}
