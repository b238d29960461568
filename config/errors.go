package config

import (
	"fmt"
	"strings"
)

// Error is one setting that was refused.
type Error struct {
	File     string
	Line     int    // 1 for the first line
	Key      string // path such as peers[2].address; empty for a syntax error
	Problem  string
	Accepted string // accepted range; empty if the problem says it
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

// Errors are all refused settings of a file, in the order in which they were
// found.
type Errors []*Error

// Error implements error with one line for each setting.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, one := range e {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the single errors.
func (e Errors) Unwrap() []error {
	all := make([]error, len(e))
	for i, one := range e {
		all[i] = one
	}
	return all
}
