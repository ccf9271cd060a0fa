package setup

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"reflect"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// maxFileBytes bounds a settings file.
const maxFileBytes = 1 << 20

// maxExcerptBytes bounds the part of a value that a fault shows.
const maxExcerptBytes = 120

// Load reads the settings file at path; it returns *Error for fields that are not allowed.
func Load(path string) (Settings, error) {
	f, err := os.Open(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "setup: open settings")
	}
	defer func() { _ = f.Close() }()
	b, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return Settings{}, eris.Wrapf(err, "setup: read settings %s", path)
	}
	return Parse(b)
}

// Parse reads settings from JSON; it returns *Error with every fault.
func Parse(b []byte) (Settings, error) {
	if len(b) > maxFileBytes {
		return Settings{}, &Error{faults: []Fault{{"file", "over 1048576 bytes", "a shorter file"}}}
	}
	var m map[string]json.RawMessage
	if err := json.Unmarshal(b, &m); err != nil {
		return Settings{}, &Error{faults: []Fault{{"file", excerpt(b), "one JSON object: " + err.Error()}}}
	}
	var d Document
	fs := decode(m, &d)
	fs = append(fs, crossFaults(d, fs)...)
	if len(fs) > 0 {
		return Settings{}, &Error{faults: fs}
	}
	return Settings{d: d}, nil
}

// New returns the settings of d, whose zero numbers mean the defaults; it returns *Error with every fault.
func New(d Document) (Settings, error) {
	b, err := json.Marshal(d)
	if err != nil {
		return Settings{}, eris.Wrap(err, "setup: encode settings")
	}
	return Parse(b)
}

// decode fills d from m and returns the faults of single fields.
func decode(m map[string]json.RawMessage, d *Document) []Fault {
	var fs []Fault
	known := make(map[string]bool)
	for _, f := range fields() {
		known[f.name] = true
		if t, bad := decodeField(f, m, d); bad {
			fs = append(fs, t)
		}
	}
	var extra []string
	for k := range m {
		if !known[k] {
			extra = append(extra, k)
		}
	}
	slices.Sort(extra)
	for _, k := range extra {
		fs = append(fs, Fault{k, "unknown field", "the fields of docs/SETTINGS.md"})
	}
	return fs
}

// decodeField fills one field and reports its fault, if any.
func decodeField(f field, m map[string]json.RawMessage, d *Document) (Fault, bool) {
	p := f.pointer(d)
	raw, given := m[f.name]
	if !given {
		if f.rule.defaultValue == nil {
			return Fault{f.name, "missing", f.rule.allowed}, true
		}
		reflect.ValueOf(p).Elem().Set(reflect.ValueOf(f.rule.defaultValue))
		return Fault{}, false
	}
	null := string(bytes.TrimSpace(raw)) == "null"
	if null || json.Unmarshal(raw, p) != nil || !f.rule.valid(p) {
		return Fault{f.name, excerpt(raw), f.rule.allowed}, true
	}
	return Fault{}, false
}

// excerpt returns b as a fault shows it.
func excerpt(b []byte) string {
	s := strings.Join(strings.Fields(string(b)), " ")
	if len(s) > maxExcerptBytes {
		return s[:maxExcerptBytes] + "..."
	}
	return s
}
