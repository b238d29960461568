package operator

import (
	"fmt"
	"strings"

	"apricotrouter/state"
)

func (e *explanation) task(id string) bool {
	t, ok := e.st.Tasks.Get(id)
	if !ok {
		return false
	}
	e.add("task/%s is %s, incarnation %d, %s task of %s", id, t.Phase, t.Incarnation, t.Kind, t.Owner)
	if t.Reason != "" {
		e.add("reason: %s", t.Reason)
	}
	e.phaseDetails(t)
	if t.Checkpoint != "" {
		e.add("it resumes from checkpoint %s", t.Checkpoint)
	}
	if t.Throttle > 0 {
		e.add("%d%% of its processors are taken away because of interference", t.Throttle)
	}
	if t.Evictions > 0 {
		e.add("it was evicted %d times", t.Evictions)
	}
	if t.Replaces != "" {
		e.add("it replaces task/%s, which is stopped once this one runs", t.Replaces)
	}
	e.failures(t)
	return true
}

// phaseDetails adds why a task is still in its current phase.
func (e *explanation) phaseDetails(t *state.Task) {
	switch t.Phase {
	case state.PhasePending:
		e.add("queued %s ago with priority %s; it needs %s", e.elapsedSince(t.QueuedAt), priorityOrDefault(t.Priority), formatResources(t.Resources))
		team := t.Team
		if t.Kind == state.KindLatencyCritical {
			team = ""
		}
		e.eligibleWorkers(t.Resources, team)
	case state.PhaseStarting:
		e.add("reserved on worker/%s; the worker has not confirmed the start yet", t.Worker)
		e.workerConditions(t.Worker)
	case state.PhaseRunning:
		e.add("on worker/%s, started %s ago", t.Worker, e.elapsedSince(t.StartedAt))
		e.workerConditions(t.Worker)
	case state.PhaseStopping:
		e.add("being stopped on worker/%s to %s it; the worker has not confirmed the stop yet", t.Worker, t.StopReason)
		e.workerConditions(t.Worker)
	}
}

func priorityOrDefault(p state.Priority) state.Priority {
	if p == "" {
		return state.PriorityNormal
	}
	return p
}

// workerConditions adds the conditions of a task's worker that affect the task.
func (e *explanation) workerConditions(id string) {
	w, ok := e.st.Workers.Get(id)
	if !ok {
		return
	}
	if w.Condition != state.WorkerReady {
		e.add("worker/%s is %s", id, w.Condition)
	}
	if e.st.IsZoneDrained(w.Zone) {
		e.add("zone %s, where it is, is out", w.Zone)
	}
	if e.st.Assignment(state.AssignWorker, id) == nil {
		e.add("worker/%s has no entry instance that holds its session", id)
	}
}

// failures adds the failed runs of a task.
func (e *explanation) failures(t *state.Task) {
	for _, f := range t.Failures {
		e.add("task/%s incarnation %d failed on worker/%s %s ago: %s", t.ID, f.Incarnation, f.Worker, e.elapsedSince(f.At), f.Reason)
	}
}

// eligibleWorkers adds whether the team's quota blocks a task of the given size,
// how many workers could run it, and why the others are rejected.
func (e *explanation) eligibleWorkers(size state.Resources, team string) {
	if exceeded, quota := e.overQuota(size, team); exceeded {
		e.add("team %s holds %s of a quota of %s: one task more exceeds it", team, formatResources(e.st.TeamUsed(team)), formatResources(quota))
	}
	var eligible int
	rejections := map[string]int{}
	for _, w := range e.st.Workers.All() {
		if reason := e.rejectionReason(w, size); reason != "" {
			rejections[reason]++
			continue
		}
		eligible++
	}
	var parts []string
	for _, reason := range []string{rejectedZoneDrained, rejectedLost, rejectedQuarantined, rejectedUnassigned, rejectedTooSmall, rejectedNoCapacity} {
		if n := rejections[reason]; n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n, reason))
		}
	}
	e.add("of %d workers %d have room for it%s", e.st.Workers.Len(), eligible, prefixIfNotEmpty("; ", strings.Join(parts, ", ")))
}

// Reasons why a worker is rejected for a task.
const (
	rejectedZoneDrained = "are in a zone that is out"
	rejectedLost        = "are lost"
	rejectedQuarantined = "are quarantined and busy"
	rejectedUnassigned  = "have no owner yet"
	rejectedTooSmall    = "are too small"
	rejectedNoCapacity  = "are too full"
)

// rejectionReason returns why a worker can't run a task of the given size, or
// "" if it can.
func (e *explanation) rejectionReason(w *state.Worker, size state.Resources) string {
	switch {
	case e.st.IsZoneDrained(w.Zone):
		return rejectedZoneDrained
	case w.Condition == state.WorkerLost:
		return rejectedLost
	case w.Condition == state.WorkerQuarantined && !w.Reserved.IsZero():
		return rejectedQuarantined
	case e.st.Assignment(state.AssignWorker, w.ID) == nil:
		return rejectedUnassigned
	case !size.FitsIn(w.Capacity):
		return rejectedTooSmall
	case !size.FitsIn(w.Capacity.Sub(w.Reserved)):
		return rejectedNoCapacity
	}
	return ""
}

// overQuota reports whether one more task of the given size would exceed the
// team's quota, and returns that quota. A quota of 0 is no limit.
func (e *explanation) overQuota(size state.Resources, team string) (bool, state.Resources) {
	t, ok := e.st.Teams.Get(team)
	if !ok {
		return false, state.Resources{}
	}
	limit, total := t.Quota, e.st.TeamUsed(team).Add(size)
	exceeded := limit.MilliCPU > 0 && total.MilliCPU > limit.MilliCPU ||
		limit.MemoryMiB > 0 && total.MemoryMiB > limit.MemoryMiB ||
		limit.Accelerators > 0 && total.Accelerators > limit.Accelerators
	return exceeded, limit
}

func prefixIfNotEmpty(prefix, s string) string {
	if s == "" {
		return ""
	}
	return prefix + s
}
