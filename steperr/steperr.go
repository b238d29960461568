// Package steperr adds to an error the step and the peer at which it arose.
// It builds on gravitational/trace, so the kinds of errors and the traces of
// that package work on its errors.
package steperr

import (
	"errors"
	"fmt"

	"github.com/gravitational/trace"
)

// Error is an error with the step and the peer at which it arose.
type Error struct {
	Step string // what was being done, such as "forward request"
	Peer string // instance, endpoint, worker or file on the other side; may be empty
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s: %v", e.Step, e.Err)
	}
	return fmt.Sprintf("%s (%s): %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Wrap returns err with step and peer, or nil if err is nil.
func Wrap(err error, step, peer string) error {
	if err == nil {
		return nil
	}
	return trace.Wrap(&Error{Step: step, Peer: peer, Err: err})
}

// Step returns the outermost step of err, or "".
func Step(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.Step
	}
	return ""
}

// Peer returns the first peer named in err, from the outermost step inwards,
// or "".
func Peer(err error) string {
	var e *Error
	for errors.As(err, &e) {
		if e.Peer != "" {
			return e.Peer
		}
		err = e.Err
	}
	return ""
}
