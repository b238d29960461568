package operator

import (
	"errors"
	"fmt"

	gen "apricotrouter/gen/operator"
	"apricotrouter/state"
)

func unavailable(err error) error { return gen.MakeUnavailable(err) }

func notFound(object string) error {
	return gen.MakeNotFound(fmt.Errorf("%s does not exist", object))
}

// outcomeUnknown returns the error of a change that may or may not have been
// committed.
func outcomeUnknown(requestID string, err error) error {
	return unavailable(fmt.Errorf("the outcome is unknown: resend the same request with request id %q, here or to another instance: %w", requestID, err))
}

// resultError converts the result of a refused command to a typed error of the
// service. It returns nil for an accepted command.
func resultError(r state.Result) error {
	switch r.Code {
	case state.CodeOK:
		return nil
	case state.CodeConflict, state.CodeStale:
		return &gen.Conflict{Object: r.Object, CurrentVersion: r.ObjectVersion, Message: conflictMessage(r)}
	case state.CodeReusedRequestID:
		return gen.MakeReusedRequestID(errors.New(r.Message + ": send new content with a new request id"))
	case state.CodeNotFound:
		return gen.MakeNotFound(refusalError(r))
	}
	return gen.MakeInvalid(refusalError(r))
}

func conflictMessage(r state.Result) string {
	if r.Code == state.CodeStale {
		return r.Message + ": read the object again before you repeat the change"
	}
	return r.Message + ": read the object again, then repeat the change with its version and a new request id"
}

func refusalError(r state.Result) error {
	if r.Message == "" {
		return fmt.Errorf("%s: %s", r.Object, r.Code)
	}
	return errors.New(r.Message)
}
