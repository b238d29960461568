// Package statelog is a replicated log for tests whose state is set directly.
package statelog

import (
	"context"
	"sync"

	"apricotrouter/replica"
	"apricotrouter/state"
)

// Log implements replica.Log on one instance or, shared, on several.
type Log struct {
	mu       sync.Mutex
	state    *state.State
	fresh    bool
	changed  chan struct{}
	proposed []state.Command
	// OnPropose answers commands if it is set; it must not call the Log.
	OnPropose func(s *state.State, c state.Command) (*state.State, state.Result)
}

var _ replica.Log = (*Log)(nil)

// New returns a fresh log with an empty state.
func New() *Log {
	return &Log{state: &state.State{}, fresh: true, changed: make(chan struct{})}
}

// Update replaces the state by what change makes of a copy with the next
// index.
func (l *Log) Update(change func(s *state.State)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := *l.state
	next.Index++
	change(&next)
	l.set(&next)
}

// SetFresh sets what Fresh returns.
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
