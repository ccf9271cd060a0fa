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

// maxObjectFileBytes bounds a file with an object.
const maxObjectFileBytes = 64 << 10

// objectKind tells how one objectKind of object is listed, shown, put and dropped.
type objectKind[T any] struct {
	name      string // as the command is called
	path      string // of its list in the operators' API
	dropKind  conf.Kind
	putChange func(v T) conf.Change
	flags     func(f *flag.FlagSet, v *T)
	nameField func(v *T) *string
	columns   []string
	row       func(v T) []string
	putExtra  func(a *app, f *flag.FlagSet, v *T) error                // fills what does not come from flags
	showExtra func(c context.Context, l *apiClient, name string) error // tells more of a shown object
}

// kindCommand returns the command of a kind.
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

// writeTable writes the objects as a table.
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

// describe writes one object, a field a line.
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

// find returns the object of that name as the first entry that answers has it.
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

// build returns the object to put: the file's, or the present one with the fields that flags name.
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

// applyFlags sets the fields of v for which flags were given.
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

// read returns the object in the file; a name on the command line must be the same.
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

// readFile reads a short file, or the standard input for -.
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

// oneArg returns the only argument.
func oneArg(f *flag.FlagSet) (string, error) {
	if f.NArg() != 1 || f.Arg(0) == "" {
		return "", eris.Wrapf(errUsage, "one name is needed after the flags, got %d", f.NArg())
	}
	return f.Arg(0), nil
}
