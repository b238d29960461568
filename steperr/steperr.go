// Package steperr annotates errors with the step and the peer at which they
// occurred. It is based on gravitational/trace, so the error kinds and stack
// traces of that package work with its errors.
package steperr

import (
	"errors"
	"fmt"

	"github.com/gravitational/trace"
)

// Error is an error with the step and the peer at which it occurred.
type Error struct {
	Step string // operation that failed, such as "forward request"
	Peer string // instance, endpoint, worker or file that the step accessed; may be empty
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

// Wrap annotates err with step and peer. It returns nil if err is nil.
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

// Peer returns the peer of the outermost step of err that has one, or "".
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
