// Package statelog is a fake replicated log. Tests set its state directly.
package statelog

import (
	"context"
	"sync"

	"apricotrouter/replica"
	"apricotrouter/state"
)

// Log implements replica.Log for one instance, or for several that share it.
type Log struct {
	mu       sync.Mutex
	state    *state.State
	fresh    bool
	changed  chan struct{}
	proposed []state.Command
	// OnPropose applies a proposed command, if it is set. It must not call the
	// Log.
	OnPropose func(s *state.State, c state.Command) (*state.State, state.Result)
}

var _ replica.Log = (*Log)(nil)

// New returns a log with an empty state, whose Fresh returns true.
func New() *Log {
	return &Log{state: &state.State{}, fresh: true, changed: make(chan struct{})}
}

// Update replaces the state with a shallow copy that has the next index and to
// which change was applied.
func (l *Log) Update(change func(s *state.State)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := *l.state
	next.Index++
	change(&next)
	l.set(&next)
}

// SetFresh sets the result of Fresh.
func (l *Log) SetFresh(fresh bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fresh = fresh
	l.set(l.state)
}

// Proposed returns the commands proposed so far.
func (l *Log) Proposed() []state.Command {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]state.Command(nil), l.proposed...)
}

func (l *Log) set(s *state.State) {
	l.state = s
	close(l.changed)
	l.changed = make(chan struct{})
}

// Propose implements replica.Log.
func (l *Log) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	if err := ctx.Err(); err != nil {
		return state.Result{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.proposed = append(l.proposed, c)
	if l.OnPropose == nil {
		return state.Result{Code: state.CodeOK, Index: l.state.Index}, nil
	}
	next, result := l.OnPropose(l.state, c)
	l.set(next)
	return result, nil
}

// State implements replica.Log.
func (l *Log) State() *state.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

// Fresh implements replica.Log.
func (l *Log) Fresh() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fresh
}

// Changed implements replica.Log.
func (l *Log) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// Leadership implements replica.Log.
func (l *Log) Leadership() replica.Leadership {
	return replica.Leadership{Leader: "leader", Term: 1, Epoch: 1}
}
