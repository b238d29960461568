package worker

import (
	"iter"

	"apricotrouter/state"
)

// tasksOn yields the tasks that hold a reservation on the worker.
func tasksOn(st *state.State, worker string) iter.Seq[*state.Task] {
	return func(yield func(*state.Task) bool) {
		for _, t := range st.Tasks.All() {
			if t.Worker == worker && t.Holds() && !yield(t) {
				return
			}
		}
	}
}
