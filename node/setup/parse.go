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

// maxFileBytes is the maximum size of a settings file.
const maxFileBytes = 1 << 20

// maxExcerptBytes is the maximum length of the invalid value that a Fault quotes.
const maxExcerptBytes = 120

// Load reads and validates the settings file at path. If the content is invalid, the error is an *Error.
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

// Parse reads and validates settings in JSON. If they are invalid, the error is an *Error that lists every fault.
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

// decode sets the fields of d from m and returns the faults of individual fields, including unknown ones.
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

// decodeField sets field f of d from m, or to its default if m lacks it. The bool reports whether it returns a fault.
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

// excerpt returns b on one line, shortened to maxExcerptBytes.
func excerpt(b []byte) string {
	s := strings.Join(strings.Fields(string(b)), " ")
	if len(s) > maxExcerptBytes {
		return s[:maxExcerptBytes] + "..."
	}
	return s
}
