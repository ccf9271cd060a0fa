package board

import (
	"fmt"
	"strings"
)

// FaultError reports a field of a team that cannot be used as it is configured. It never holds a key.
type FaultError struct{ team, field, problem string }

// NewFaultError returns the error for a field of a team.
func NewFaultError(team, field, problem string) *FaultError {
	return &FaultError{team: team, field: field, problem: problem}
}

// Team returns the name of the team, or its place in the configuration if it has no name.
func (e *FaultError) Team() string { return e.team }

// Field returns the name of the field.
func (e *FaultError) Field() string { return e.field }

// Error implements error.
func (e *FaultError) Error() string {
	return fmt.Sprintf("team %q: field %q %s", e.team, e.field, e.problem)
}

// Faults is the error of a configuration whose remaining parts are valid and are used.
type Faults []*FaultError

// maxFaultsShown is the number of faults that the text of an error names.
const maxFaultsShown = 20

// Error implements error.
func (l Faults) Error() string {
	var s []string
	for _, e := range l[:min(len(l), maxFaultsShown)] {
		s = append(s, e.Error())
	}
	if n := len(l) - len(s); n > 0 {
		s = append(s, fmt.Sprintf("%d more", n))
	}
	return strings.Join(s, "; ")
}

// Unwrap returns the faults.
func (l Faults) Unwrap() []error {
	s := make([]error, len(l))
	for i, e := range l {
		s[i] = e
	}
	return s
}
