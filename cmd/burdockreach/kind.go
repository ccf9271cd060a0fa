package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/rotisserie/eris"

	"burdockreach.dev/node/oper"
	"burdockreach.dev/plat/conf"
)

// maxObjectFileBytes is the maximum size of the files that put reads: an object in JSON or a team's token.
const maxObjectFileBytes = 64 << 10

// objectKind defines the commands list, show, put and drop of one kind of configuration object, such as a pool.
type objectKind[T any] struct {
	name      string // of the command
	path      string // of the list in the operators' API, after /op/
	dropKind  conf.Kind
	putChange func(v T) conf.Change       // the change that puts v
	flags     func(f *flag.FlagSet, v *T) // defines the flags that set v's fields
	nameField func(v *T) *string
	columns   []string
	row       func(v T) []string                                       // v's values in the order of columns
	putExtra  func(a *app, f *flag.FlagSet, v *T) error                // sets fields that are not plain flags
	showExtra func(c context.Context, l *apiClient, name string) error // prints details after the object
}

// kindCommand returns the group of commands for one kind of object.
func kindCommand[T any](a *app, k objectKind[T]) *command {
	return a.commandGroup(k.name, fmt.Sprintf("list, show, put or drop: %s", k.path),
		k.listCommand(a), k.showCommand(a), k.putCommand(a), k.dropCommand(a))
}

func (k objectKind[T]) listCommand(a *app) *command {
	l := a.newAPIClient()
	return &command{
		app: a, name: "list", synopsis: "list the " + k.path, usage: fmt.Sprintf("%s %s list [flags]", program, k.name), flags: l.flags,
		run: func(c context.Context, _ *flag.FlagSet) error {
			var r oper.Objects[T]
			if err := l.get(c, "/op/"+k.path, &r); err != nil {
				return err
			}
			if l.asJSON {
				return a.writeJSON(r)
			}
			return k.writeTable(a, r)
		},
	}
}

// writeTable prints the objects as a table.
func (k objectKind[T]) writeTable(a *app, r oper.Objects[T]) error {
	var rows [][]string
	for _, o := range r.Items {
		rows = append(rows, append(k.row(o.Spec), fmt.Sprint(o.Changed)))
	}
	return a.table(append(append([]string{}, k.columns...), "CHANGED"), rows)
}

func (k objectKind[T]) showCommand(a *app) *command {
	l := a.newAPIClient()
	return &command{
		app: a, name: "show", synopsis: "show one", usage: fmt.Sprintf("%s %s show [flags] NAME", program, k.name), flags: l.flags,
		run: func(c context.Context, f *flag.FlagSet) error {
			name, err := oneArg(f)
			if err != nil {
				return err
			}
			o, found, err := k.find(c, l, name)
			if err != nil {
				return err
			}
			if !found {
				return eris.Errorf("no %s is named %q", k.name, name)
			}
			if l.asJSON {
				return a.writeJSON(o)
			}
			if err := k.describe(a, o); err != nil || k.showExtra == nil {
				return err
			}
			return k.showExtra(c, l, name)
		},
	}
}

// describe prints one object as indented JSON, one field a line, after the number of its last change.
func (k objectKind[T]) describe(a *app, o oper.Object[T]) error {
	var b bytes.Buffer
	v, err := json.Marshal(o.Spec)
	if err != nil {
		return eris.Wrap(err, "encode output")
	}
	if err := json.Indent(&b, v, "", "  "); err != nil {
		return eris.Wrap(err, "encode output")
	}
	return a.printf("%s, last changed by change %d\n%s\n", k.name, o.Changed, b.String())
}

// find returns the named object from the configuration of the first entry that answers. The bool reports whether it exists.
func (k objectKind[T]) find(c context.Context, l *apiClient, name string) (oper.Object[T], bool, error) {
	var r oper.Objects[T]
	if err := l.get(c, "/op/"+k.path, &r); err != nil {
		return oper.Object[T]{}, false, err
	}
	for _, o := range r.Items {
		if *k.nameField(&o.Spec) == name {
			return o, true, nil
		}
	}
	return oper.Object[T]{}, false, nil
}

func (k objectKind[T]) putCommand(a *app) *command {
	s, file := a.newSubmitter(), ""
	var scratch T
	return &command{
		app: a, name: "put", synopsis: "create one, or change the fields that flags name",
		usage: fmt.Sprintf("%s %s put [flags] NAME", program, k.name),
		flags: func(f *flag.FlagSet) {
			s.flags(f)
			f.StringVar(&file, "file", "", "file with the whole object in JSON, - for the standard input; takes the place of the flags for single fields")
			k.flags(f, &scratch)
		},
		run: func(c context.Context, f *flag.FlagSet) error {
			v, err := k.build(c, s, f, file)
			if err != nil {
				return err
			}
			return s.submit(c, k.putChange(v))
		},
	}
}

// build returns the object to put: the one in file, or the current object with the fields that flags set.
// In the second case, unless -expect is given, the change is accepted only if nobody
// has changed or created the object since it was read.
func (k objectKind[T]) build(c context.Context, s *submitter, f *flag.FlagSet, file string) (T, error) {
	var v T
	if file != "" {
		return k.read(s.app, f, file)
	}
	name, err := oneArg(f)
	if err != nil {
		return v, err
	}
	o, found, err := k.find(c, s.apiClient, name)
	if err != nil {
		return v, err
	}
	v = o.Spec
	if s.expectedChange == 0 {
		s.expectedChange = int64(conf.ExpectAbsent)
		if found {
			s.expectedChange = int64(o.Changed)
		}
	}
	*k.nameField(&v) = name
	if err := k.applyFlags(f, &v); err != nil {
		return v, err
	}
	if k.putExtra != nil {
		return v, k.putExtra(s.app, f, &v)
	}
	return v, nil
}

// applyFlags sets the fields of v for which flags were given. The command line was parsed into another object,
// before the current one was known.
func (k objectKind[T]) applyFlags(f *flag.FlagSet, v *T) error {
	g := flag.NewFlagSet(k.name, flag.ContinueOnError)
	k.flags(g, v)
	var err error
	f.Visit(func(x *flag.Flag) {
		if g.Lookup(x.Name) != nil {
			err = errors.Join(err, g.Set(x.Name, x.Value.String()))
		}
	})
	return eris.Wrap(err, "set flags")
}

// read returns the object in the file. If the command line has a name too, it must be the object's name.
func (k objectKind[T]) read(a *app, f *flag.FlagSet, file string) (T, error) {
	var v T
	b, err := a.readFile(file)
	if err != nil {
		return v, err
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(&v); err != nil {
		return v, eris.Wrapf(err, "read %s", file)
	}
	if f.NArg() > 1 || f.NArg() == 1 && f.Arg(0) != *k.nameField(&v) {
		return v, eris.Wrapf(errUsage, "the file is about %q, not %q", *k.nameField(&v), strings.Join(f.Args(), " "))
	}
	return v, nil
}

// readFile reads a file of at most maxObjectFileBytes, or the standard input if path is "-".
func (a *app) readFile(path string) ([]byte, error) {
	r := a.in
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return nil, eris.Wrap(err, "open file")
		}
		defer func() { _ = f.Close() }()
		r = f
	}
	b, err := io.ReadAll(io.LimitReader(r, maxObjectFileBytes+1))
	if err == nil && len(b) > maxObjectFileBytes {
		err = eris.Errorf("over %d bytes", maxObjectFileBytes)
	}
	return b, eris.Wrapf(err, "read %s", path)
}

func (k objectKind[T]) dropCommand(a *app) *command {
	s := a.newSubmitter()
	return &command{
		app: a, name: "drop", synopsis: "remove one", usage: fmt.Sprintf("%s %s drop [flags] NAME", program, k.name), flags: s.flags,
		run: func(c context.Context, f *flag.FlagSet) error {
			name, err := oneArg(f)
			if err != nil {
				return err
			}
			return s.submit(c, conf.Change{Kind: k.dropKind, Name: name})
		},
	}
}

// oneArg returns the only argument after the flags, or errUsage if there is not exactly one.
func oneArg(f *flag.FlagSet) (string, error) {
	if f.NArg() != 1 || f.Arg(0) == "" {
		return "", eris.Wrapf(errUsage, "one name is needed after the flags, got %d", f.NArg())
	}
	return f.Arg(0), nil
}
