package setup

import (
	"fmt"
	"strings"
)

// Fault names one field that is not allowed.
type Fault struct {
	field, value, allowed string
}

// Field returns the field's name in the file.
func (f Fault) Field() string { return f.field }

// Value returns the value that was found, as JSON, or "missing".
func (f Fault) Value() string { return f.value }

// Allowed returns what would have been allowed.
func (f Fault) Allowed() string { return f.allowed }

// String returns the fault as one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s is not allowed; allowed: %s", f.field, f.value, f.allowed)
}

// Error holds every fault of a settings file, in the order of the table.
type Error struct {
	faults []Fault
}

// Faults returns the faults, at least one.
func (e *Error) Faults() []Fault { return e.faults }

// Error returns one line for each fault.
func (e *Error) Error() string {
	l := make([]string, 0, len(e.faults))
	for _, f := range e.faults {
		l = append(l, f.String())
	}
	return strings.Join(l, "\n")
}
