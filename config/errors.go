package config

import (
	"fmt"
	"strings"
)

// Error reports one invalid setting.
type Error struct {
	File     string
	Line     int    // counted from 1
	Key      string // path such as peers[2].address; empty for a syntax error
	Problem  string
	Accepted string // accepted values; empty if Problem states them
}

// Error implements error.
func (e *Error) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d: ", e.File, e.Line)
	if e.Key != "" {
		fmt.Fprintf(&b, "%s: ", e.Key)
	}
	b.WriteString(e.Problem)
	if e.Accepted != "" {
		fmt.Fprintf(&b, "; accepted: %s", e.Accepted)
	}
	return b.String()
}

// Errors contains all invalid settings of a file, in the order in which they
// were found.
type Errors []*Error

// Error implements error with one line per setting.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the individual errors.
func (e Errors) Unwrap() []error {
	errs := make([]error, len(e))
	for i, err := range e {
		errs[i] = err
	}
	return errs
}
