// Package replica drives the consensus core with disk, transport and apply,
// and offers the replicated log to the rest of an entry instance.
package replica

import (
	"context"

	"apricotrouter/state"
)

// Log is the replicated log as its users see it.
type Log interface {
	// Propose commits a command through the leader and returns the result of
	// applying it, once this instance has applied it too. An error means that
	// the outcome is unknown; the command may have been committed or may be
	// later. A refused command is a Result with another code than CodeOK.
	Propose(ctx context.Context, c state.Command) (state.Result, error)
	// State returns the state applied last. It never goes back to an earlier index.
	State() *state.State
	// Fresh reports whether the instance holds its freshness lease: State
	// then misses no change that was committed more than FreshnessLease ago.
	Fresh() bool
	// Changed returns a channel that is closed at the next change of State or
	// of the leader.
	Changed() <-chan struct{}
	// Leadership returns what is known of the leader.
	Leadership() Leadership
}

// Leadership is what an instance knows of the leader.
type Leadership struct {
	Leader string // instance id; empty if none is known
	Term   uint64
	// Self is true on the leader itself while it is confirmed by a majority
	// and has applied every entry of earlier terms.
	Self bool
	// Epoch changes whenever Self turns true, so that a leader loop can drop
	// what it kept of an earlier term.
	Epoch uint64
}

// LeaseTracker tells the leader which instances may still hold a freshness
// lease.
type LeaseTracker interface {
	// LeaseEnded reports whether the instance's freshness lease is guaranteed
	// to have ended. It is false on an instance that is not the leader.
	LeaseEnded(instance string) bool
}
