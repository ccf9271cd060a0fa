package setup

import (
	"fmt"
	"strings"
)

// Fault describes one invalid field.
type Fault struct {
	field, value, allowed string
}

// Field returns the name of the field, or "file" if the file as a whole is invalid.
func (f Fault) Field() string { return f.field }

// Value returns the invalid value, shortened if it is long, or a phrase such as "missing" or "unknown field".
func (f Fault) Value() string { return f.value }

// Allowed describes the values that are allowed.
func (f Fault) Allowed() string { return f.allowed }

// String returns the fault as one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s is not allowed; allowed: %s", f.field, f.value, f.allowed)
}

// Error lists the faults of a settings file: first those of individual fields in the order of the field table,
// then unknown fields in alphabetical order, then violated rules between fields.
type Error struct {
	faults []Fault
}

// Faults returns the faults. There is at least one.
func (e *Error) Faults() []Fault { return e.faults }

// Error returns one line for each fault.
func (e *Error) Error() string {
	l := make([]string, 0, len(e.faults))
	for _, f := range e.faults {
		l = append(l, f.String())
	}
	return strings.Join(l, "\n")
}
