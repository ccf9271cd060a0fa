package conf

import (
	"fmt"

	"github.com/rotisserie/eris"
)

var (
	// ErrInvalid is the error that every FieldError matches.
	ErrInvalid = eris.New("conf: change is not valid")
	// ErrGap reports a change whose number is not the next one.
	ErrGap = eris.New("conf: change is not the next")
	// ErrDiverged is the error that every DivergedError matches.
	ErrDiverged = eris.New("conf: two histories of the configuration")
	// ErrUnsettled reports a change of which it is not known whether it was or will be accepted.
	ErrUnsettled = eris.New("conf: outcome of the change is not known yet")
	// ErrNotAccepted reports a change that was not accepted and never will be by this call.
	ErrNotAccepted = eris.New("conf: change was not accepted")
)

// FieldError reports a field whose value is not allowed.
type FieldError struct {
	field, value, allowed string
}

// Field returns the JSON name of the field.
func (e *FieldError) Field() string { return e.field }

// Value returns the rejected value.
func (e *FieldError) Value() string { return e.value }

// Allowed describes the values that are allowed.
func (e *FieldError) Allowed() string { return e.allowed }

// Error names the field, its value and what is allowed.
func (e *FieldError) Error() string {
	return fmt.Sprintf("conf: %s is %q, allowed: %s", e.field, e.value, e.allowed)
}

// Is reports whether t is ErrInvalid.
func (e *FieldError) Is(t error) bool { return t == ErrInvalid }

func fieldErr(field string, value any, allowed string) *FieldError {
	return &FieldError{field: field, value: fmt.Sprint(value), allowed: allowed}
}

// DivergedError reports a change of another history: it differs from the change that was applied under its number, or it follows
// a different change.
type DivergedError struct {
	number        Number
	have, offered string
}

// Number returns the number of the rejected change.
func (e *DivergedError) Number() Number { return e.number }

// Have identifies what the local history has instead: an operation's id, or the digest of the changes so far.
func (e *DivergedError) Have() string { return e.have }

// Offered identifies the rejected change by its operation's id.
func (e *DivergedError) Offered() string { return e.offered }

// Error names the number and both operations.
func (e *DivergedError) Error() string {
	return fmt.Sprintf("conf: change %d is %q here, %q was offered", e.number, e.have, e.offered)
}

// Is reports whether t is ErrDiverged.
func (e *DivergedError) Is(t error) bool { return t == ErrDiverged }
