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
	e.phase(t)
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

// phase says what keeps a task in its phase.
func (e *explanation) phase(t *state.Task) {
	switch t.Phase {
	case state.PhasePending:
		e.add("queued %s ago with priority %s; it needs %s", e.ago(t.QueuedAt), orNormal(t.Priority), amounts(t.Resources))
		team := t.Team
		if t.Kind == state.KindLatencyCritical {
			team = ""
		}
		e.blocked(t.Resources, team)
	case state.PhaseStarting:
		e.add("reserved on worker/%s; the worker has not confirmed the start yet", t.Worker)
		e.holder(t.Worker)
	case state.PhaseRunning:
		e.add("on worker/%s, started %s ago", t.Worker, e.ago(t.StartedAt))
		e.holder(t.Worker)
	case state.PhaseStopping:
		e.add("being stopped on worker/%s to %s it; the worker has not confirmed the stop yet", t.Worker, t.StopReason)
		e.holder(t.Worker)
	}
}

func orNormal(p state.Priority) state.Priority {
	if p == "" {
		return state.PriorityNormal
	}
	return p
}

// holder says what about a task's worker affects the task.
func (e *explanation) holder(id string) {
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

// failures lists the failed runs of a task.
func (e *explanation) failures(t *state.Task) {
	for _, f := range t.Failures {
		e.add("task/%s incarnation %d failed on worker/%s %s ago: %s", t.ID, f.Incarnation, f.Worker, e.ago(f.At), f.Reason)
	}
}

// blocked says how many workers could take a task of the size, and what keeps
// the others from it.
func (e *explanation) blocked(size state.Resources, team string) {
	if over, quota := e.overQuota(size, team); over {
		e.add("team %s holds %s of a quota of %s: one task more exceeds it", team, amounts(e.st.TeamUsed(team)), amounts(quota))
	}
	var usable int
	causes := map[string]int{}
	for _, w := range e.st.Workers.All() {
		if cause := e.unusable(w, size); cause != "" {
			causes[cause]++
			continue
		}
		usable++
	}
	var parts []string
	for _, cause := range []string{causeZoneOut, causeLost, causeQuarantined, causeUnassigned, causeSmall, causeFull} {
		if n := causes[cause]; n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n, cause))
		}
	}
	e.add("of %d workers %d have room for it%s", e.st.Workers.Len(), usable, prefixed("; ", strings.Join(parts, ", ")))
}

// Causes for which a worker takes no task.
const (
	causeZoneOut     = "are in a zone that is out"
	causeLost        = "are lost"
	causeQuarantined = "are quarantined and busy"
	causeUnassigned  = "have no owner yet"
	causeSmall       = "are too small"
	causeFull        = "are too full"
)

// unusable returns why a worker can't take a task of the size, or "".
func (e *explanation) unusable(w *state.Worker, size state.Resources) string {
	switch {
	case e.st.IsZoneDrained(w.Zone):
		return causeZoneOut
	case w.Condition == state.WorkerLost:
		return causeLost
	case w.Condition == state.WorkerQuarantined && !w.Reserved.IsZero():
		return causeQuarantined
	case e.st.Assignment(state.AssignWorker, w.ID) == nil:
		return causeUnassigned
	case !size.FitsIn(w.Capacity):
		return causeSmall
	case !size.FitsIn(w.Capacity.Sub(w.Reserved)):
		return causeFull
	}
	return ""
}

// overQuota reports whether one more task of the size exceeds the team's quota.
func (e *explanation) overQuota(size state.Resources, team string) (bool, state.Resources) {
	t, ok := e.st.Teams.Get(team)
	if !ok {
		return false, state.Resources{}
	}
	q, sum := t.Quota, e.st.TeamUsed(team).Add(size)
	over := q.MilliCPU > 0 && sum.MilliCPU > q.MilliCPU ||
		q.MemoryMiB > 0 && sum.MemoryMiB > q.MemoryMiB ||
		q.Accelerators > 0 && sum.Accelerators > q.Accelerators
	return over, q
}

func prefixed(prefix, s string) string {
	if s == "" {
		return ""
	}
	return prefix + s
}
