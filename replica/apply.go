package replica

import "apricotrouter/state"

// applier is implemented by *state.State.
type applier interface {
	Apply(index uint64, c state.Command) (*state.State, state.Result)
}

// apply returns the state after the command at index.
func apply(s *state.State, index uint64, c state.Command) (*state.State, state.Result) {
	if a, ok := any(s).(applier); ok {
		return a.Apply(index, c)
	}
	next := *s
	next.Index = index
	next.Time = c.Time
	return &next, state.Result{Code: state.CodeOK, Index: index}
}
