package fleet

import (
	"fmt"
	"slices"

	"apricotrouter/state"
	"apricotrouter/tenant"
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
	// maxNameBytes bounds each text of a heartbeat, and maxLabels the number of
	// its labels.
	maxNameBytes = 256
	maxLabels    = 64
	// maxClockSkewMillis is how far the wall clocks of two machines may differ.
	// Jumps of seconds are common.
	maxClockSkewMillis = 60_000
	// maxSequence bounds the sequence number of heartbeats. A larger one would
	// make all later heartbeats of the worker look delayed.
	maxSequence = 1 << 48
)

// CheckHeartbeat returns an error that says why the heartbeat names no worker,
// or nil. now is the time in Unix milliseconds.
func CheckHeartbeat(b *Heartbeat, now int64) error {
	w := &b.Worker
	switch {
	case w.ID == "" || w.Address == "":
		return fmt.Errorf("a heartbeat names id and address of its worker")
	case max(len(w.ID), len(w.Address), len(w.Pool), len(w.Zone), len(w.Machine)) > maxNameBytes:
		return fmt.Errorf("a name is longer than %d bytes", maxNameBytes)
	case len(w.Labels) > maxLabels || slices.ContainsFunc(w.Labels, func(l string) bool { return len(l) > maxNameBytes }):
		return fmt.Errorf("more than %d labels, or one longer than %d bytes", maxLabels, maxNameBytes)
	case !w.Capacity.Valid() || !w.Capacity.FitsIn(state.Resources{MilliCPU: maxAmount, MemoryMiB: maxAmount, Accelerators: maxAmount}):
		return fmt.Errorf("capacity %s is out of range", w.Capacity)
	case w.StartedAt < 0 || w.StartedAt > now+maxClockSkewMillis:
		return fmt.Errorf("start time %d is negative or in the future", w.StartedAt)
	case b.Sequence > maxSequence:
		return fmt.Errorf("sequence %d is out of range", b.Sequence)
	case b.Clock < 0 || b.Clock > maxTimeMillis || b.RemainingMillis < 0 || b.RemainingMillis > maxDelayMillis:
		return fmt.Errorf("clock or remaining time is out of range")
	}
	return nil
}

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
	if errs := QueueErrors(c); len(errs) > 0 {
		return errs[0]
	}
	return nil
}

// QueueErrors returns all reasons for which the configuration is invalid. Of
// those of its tenants it returns the first.
func QueueErrors(c *state.QueueConfig) []error {
	type route struct{ host, prefix string }
	var errs []error
	add := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	queueByRoute := make(map[route]string)
	names := make(map[string]bool)
	for _, p := range c.Pools {
		if p.Name == "" {
			add("a pool has no name")
		}
	}
	for i := range c.Queues {
		q := &c.Queues[i]
		key := route{q.Host, q.PathPrefix}
		if q.Name == "" || q.Host == "" || q.PathPrefix == "" {
			add("queue %q lacks a name, a host or a path prefix", q.Name)
		}
		if names[q.Name] {
			add("two queues are called %s", q.Name)
		}
		if c.Pool(q.Pool) == nil {
			add("queue %s names an unknown pool %q", q.Name, q.Pool)
		}
		if queueByRoute[key] != "" {
			add("queues %s and %s have the same host and prefix", queueByRoute[key], q.Name)
		}
		if q.TimeoutMillis <= 0 {
			add("queue %s has no timeout", q.Name)
		}
		names[q.Name], queueByRoute[key] = true, q.Name
	}
	if err := tenant.Check(c.Tenants); err != nil {
		errs = append(errs, err)
	}
	return errs
}
