package fleet

import (
	"fmt"

	"apricotrouter/state"
)

const (
	maxPayloadBytes = 4000
	maxSteps        = 256
	// maxDelayMillis bounds durations and intervals of a workflow to one year.
	maxDelayMillis = 366 * 24 * 60 * 60 * 1000
	// maxTimeMillis bounds timestamps to the end of the year 9999.
	maxTimeMillis = 253_402_300_799_999
	// maxAmount bounds the request of a task for each resource, in the unit of
	// the resource. It is far above the capacity of any worker, and low enough
	// that sums over all tasks of a workflow do not overflow.
	maxAmount = 1 << 30
)

// CheckWorkflow returns an error that says why the workflow is invalid, or nil.
func CheckWorkflow(w *state.WorkflowSpec) error {
	switch {
	case len(w.Payload) > maxPayloadBytes:
		return fmt.Errorf("payload has %d bytes, more than %d", len(w.Payload), maxPayloadBytes)
	case len(w.Steps) == 0 || len(w.Steps) > maxSteps:
		return fmt.Errorf("a workflow has 1 to %d steps, not %d", maxSteps, len(w.Steps))
	case w.Occurrences < 0 || w.Occurrences > state.MaxWorkflowTasks || w.IntervalMillis < 0 || w.IntervalMillis > maxDelayMillis ||
		w.FirstAtMillis < 0 || w.FirstAtMillis > maxTimeMillis:
		return fmt.Errorf("schedule of %d occurrences every %d ms from %d is not valid",
			w.Occurrences, w.IntervalMillis, w.FirstAtMillis)
	}
	for i := range w.Steps {
		if err := checkStep(w, i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
	}
	return nil
}

func checkStep(w *state.WorkflowSpec, i int) error {
	s := &w.Steps[i]
	switch {
	case s.Count <= 0 || s.Count > state.MaxWorkflowTasks:
		return fmt.Errorf("count %d is not 1 to %d", s.Count, state.MaxWorkflowTasks)
	case !s.Size.Valid():
		return fmt.Errorf("size %s is negative", s.Size)
	case !s.Size.FitsIn(state.Resources{MilliCPU: maxAmount, MemoryMiB: maxAmount, Accelerators: maxAmount}):
		return fmt.Errorf("size %s is larger than any worker", s.Size)
	case s.EstimateMillis > maxDelayMillis || s.TailMillis > maxDelayMillis:
		return fmt.Errorf("estimate or target is longer than a year")
	case s.EstimateMillis < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0 || s.TailMillis < 0:
		return fmt.Errorf("estimate, limits and target must not be negative")
	}
	for _, d := range s.DependsOn {
		if d < 0 || d >= i {
			return fmt.Errorf("depends on step %d, which is not an earlier one", d)
		}
	}
	return nil
}

// CheckQueues returns an error that says why the configuration is invalid, or
// nil.
func CheckQueues(c *state.QueueConfig) error {
	type route struct{ host, prefix string }
	queueByRoute := make(map[route]string)
	names := make(map[string]bool)
	for _, p := range c.Pools {
		if p.Name == "" {
			return fmt.Errorf("a pool has no name")
		}
	}
	for i := range c.Queues {
		q := &c.Queues[i]
		key := route{q.Host, q.PathPrefix}
		switch {
		case q.Name == "" || q.Host == "" || q.PathPrefix == "":
			return fmt.Errorf("queue %q lacks a name, a host or a path prefix", q.Name)
		case names[q.Name]:
			return fmt.Errorf("two queues are called %s", q.Name)
		case c.Pool(q.Pool) == nil:
			return fmt.Errorf("queue %s names an unknown pool %q", q.Name, q.Pool)
		case queueByRoute[key] != "":
			return fmt.Errorf("queues %s and %s have the same host and prefix", queueByRoute[key], q.Name)
		case q.TimeoutMillis <= 0:
			return fmt.Errorf("queue %s has no timeout", q.Name)
		}
		names[q.Name], queueByRoute[key] = true, q.Name
	}
	return nil
}
