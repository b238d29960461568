// Package replica connects the consensus core with disk, transport and the
// replicated state, and provides the replicated log to the other components of
// an entry instance.
package replica

import (
	"context"

	"apricotrouter/state"
)

// Log is the interface of the replicated log.
type Log interface {
	// Propose commits a command through the leader. It returns the result of
	// applying the command after this instance has applied it too. After an
	// error the outcome is unknown: the command may have been committed or may
	// still be. A rejected command returns a Result whose code is not CodeOK.
	Propose(ctx context.Context, c state.Command) (state.Result, error)
	// State returns the latest applied state. Its index never decreases.
	State() *state.State
	// Fresh reports whether the instance has a valid freshness lease. If so,
	// State includes every change committed more than FreshnessLease ago.
	Fresh() bool
	// Changed returns a channel that is closed at the next change of State, of
	// Fresh or of the leader.
	Changed() <-chan struct{}
	// Leadership returns this instance's view of the leader.
	Leadership() Leadership
}

// Leadership is an instance's view of the leader.
type Leadership struct {
	Leader string // instance id; empty if no leader is known
	Term   uint64
	// Self is true on the leader while a majority confirms it and it has
	// applied every entry of earlier terms.
	Self bool
	// Epoch changes whenever Self becomes true, so that a leader's control loop
	// can discard state of an earlier leadership.
	Epoch uint64
}

// LeaseTracker reports on the leader which freshness leases have expired.
type LeaseTracker interface {
	// LeaseExpired reports whether the instance's freshness lease has certainly
	// expired. It is false on an instance that is not the leader.
	LeaseExpired(instance string) bool
}
