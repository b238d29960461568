package fleet

import (
	"log/slog"
	"maps"
	"time"

	"apricotrouter/event"
	"apricotrouter/placement"
	"apricotrouter/state"
)

// flow is the leader's view of an open workflow.
type flow struct {
	spec        *state.WorkflowSpec
	queue       string
	submittedAt int64 // Unix milliseconds
	// deadline is when the workflow misses its objective, Unix milliseconds.
	deadline int64
	tasks    []*task
	open     [][]int // tasks not done, by occurrence and step
	ready    int     // tasks that wait for a worker
	blocked  bool    // tasks may be blocked that no longer have to be
	started  bool
	late     bool // it was logged as late
	// doneRuns and doneMillis are the runs that did a whole task, by step.
	doneRuns, doneMillis []int64
	// loads are those of the serving tasks, by step.
	loads []placement.Load
}

// taskPhase is where a task is, as the leader sees it.
type taskPhase uint8

const (
	taskBlocked taskPhase = iota // waits for other steps or for its time
	taskReady
	taskOnWorker // has an attempt
	taskDone
)

// task is one task of an open workflow.
type task struct {
	flow       *flow
	number     int
	pos        state.TaskPosition
	step       *state.WorkflowStep
	phase      taskPhase
	run        uint64 // number of the last run
	failures   int
	checkpoint string
	attempt    *attempt
	ending     bool            // its end is being committed; it counts as done
	avoid      map[string]bool // workers on which a run failed
	// refusals are until when workers that refused a start are not asked again.
	refusals map[string]time.Duration
	readyAt  time.Duration // since when it waits
	endedAt  int64         // see state.WorkflowTask
	moves    int           // how often it was moved because it was slow
}

// ranBefore reports whether a run of the task was recorded before, though its
// worker may have refused it.
func (t *task) ranBefore() bool { return t.run > 0 }

// refusedBy keeps the task off a worker that refused its start, for as long as
// off one that takes nothing.
func (t *task) refusedBy(worker string, now time.Duration) {
	if t.refusals == nil {
		t.refusals = make(map[string]time.Duration)
	}
	t.refusals[worker] = now + unhealthyPause
}

// forgetRefusals lets the task return to workers that refused a start earlier.
func (t *task) forgetRefusals(now time.Duration) {
	maps.DeleteFunc(t.refusals, func(_ string, until time.Duration) bool { return now >= until })
}

// openFlow starts to run a workflow. Its started tasks stay with their workers
// until these were looked at.
func (c *Controller) openFlow(w *state.Workflow) {
	spec := &w.Spec
	f := &flow{spec: spec, queue: spec.Queue, submittedAt: w.SubmittedAt, started: w.Phase == state.WorkflowActive}
	f.deadline = w.SubmittedAt + objectiveMillis(spec)
	f.doneRuns, f.doneMillis = make([]int64, len(spec.Steps)), make([]int64, len(spec.Steps))
	f.loads = make([]placement.Load, len(spec.Steps))
	f.blocked = true
	f.open = make([][]int, max(1, spec.Occurrences))
	for k := range f.open {
		f.open[k] = make([]int, len(spec.Steps))
	}
	f.tasks = make([]*task, len(w.Tasks))
	for n := range w.Tasks {
		t := &task{flow: f, number: n, pos: spec.Position(n)}
		t.step = &spec.Steps[t.pos.Step]
		f.tasks[n] = t
		f.open[t.pos.Occurrence][t.pos.Step]++
	}
	c.flows[spec.ID] = f
	c.countServing(spec, 1)
	if spec.Occurrences == 0 {
		c.noteDemand(spec, w.SubmittedAt)
	}
	for n := range w.Tasks {
		c.refresh(f.tasks[n], &w.Tasks[n])
	}
	c.release(f)
	c.dirty = true
}

// refresh takes over what the replicated state says of a task.
func (c *Controller) refresh(t *task, r *state.WorkflowTask) {
	t.run, t.failures, t.checkpoint, t.endedAt = r.Run, r.Failures, r.Checkpoint, r.EndedAt
	if t.ending {
		return // an earlier entry than that of its end
	}
	switch r.Phase {
	case state.TaskDone:
		c.finish(t)
	case state.TaskStarted:
		if t.attempt != nil && t.attempt.run.Number == r.Run {
			return
		}
		c.adopt(t, r.Worker)
	case state.TaskWaiting:
		if t.phase == taskOnWorker && (t.attempt == nil || t.attempt.run.Number <= r.Run) {
			c.dropAttempt(t.attempt)
			t.block()
		}
	}
}

// finish notes that a task is done. Other runs of it are stopped.
func (c *Controller) finish(t *task) {
	if t.phase == taskDone {
		return
	}
	if t.phase == taskReady {
		t.flow.ready--
	}
	t.phase = taskDone
	left := &t.flow.open[t.pos.Occurrence][t.pos.Step]
	*left--
	t.flow.blocked = t.flow.blocked || *left == 0
	if a := t.attempt; a != nil {
		c.stop(a, "the task is done")
	}
	c.release(t.flow)
}

// block makes a task wait for what it depends on, which release looks at.
func (t *task) block() { t.phase, t.flow.blocked = taskBlocked, true }

// release makes the tasks ready whose steps are no longer blocked.
func (c *Controller) release(f *flow) {
	if !f.blocked {
		return
	}
	f.blocked = f.spec.Occurrences > 0 // whose time may come
	wall := c.opts.Clock.Now().UnixMilli()
	for _, t := range f.tasks {
		if t.phase != taskBlocked || !t.unblocked() || t.dueAt() > wall {
			continue
		}
		t.phase, t.readyAt = taskReady, t.waitsSince(c.now(), wall)
		if f.spec.Occurrences > 0 && t.pos.Step == 0 && t.pos.Index == 0 && t.run == 0 {
			c.noteDemand(f.spec, wall)
		}
		f.ready++
		c.dirty = true
	}
}

// waitsSince returns since when a task waits that becomes ready. A serving task
// does since its last run, whatever leader it had and starts were refused
// meanwhile.
func (t *task) waitsSince(now time.Duration, wall int64) time.Duration {
	since := t.endedAt
	switch {
	case !t.step.LongRunning:
		return now
	case since > 0:
	case t.run > 0 && t.readyAt > 0:
		return t.readyAt
	case len(t.step.DependsOn) == 0 && t.flow.spec.Occurrences == 0:
		since = t.flow.submittedAt
	default:
		return now
	}
	return now - time.Duration(max(0, wall-since))*time.Millisecond
}

// unblocked reports whether all steps that the task depends on are done.
func (t *task) unblocked() bool {
	for _, s := range t.step.DependsOn {
		if t.flow.open[t.pos.Occurrence][s] > 0 {
			return false
		}
	}
	return true
}

// dueAt returns when the task's occurrence may start, Unix milliseconds.
func (t *task) dueAt() int64 {
	if t.flow.spec.Occurrences == 0 {
		return 0
	}
	return t.flow.spec.FirstAtMillis + int64(t.pos.Occurrence)*t.flow.spec.IntervalMillis
}

// closeFlow stops what still runs of a workflow that has ended.
func (c *Controller) closeFlow(f *flow, w *state.Workflow) {
	delete(c.flows, f.spec.ID)
	c.countServing(f.spec, -1)
	for _, t := range f.tasks {
		t.phase = taskDone
		if t.attempt != nil {
			c.stop(t.attempt, "the workflow has ended")
		}
	}
	c.dirty = true
	if w == nil {
		return
	}
	took := w.EndedAt - w.SubmittedAt
	c.metrics.ended(w.Phase, took, f.deadline-f.submittedAt)
	event.Log(c.opts.Logger, event.WorkflowEnded, slog.String("workflow", f.spec.ID), slog.String("queue", f.queue),
		slog.String("phase", string(w.Phase)), slog.Int64("took_ms", took),
		slog.Int64("objective_ms", f.deadline-f.submittedAt))
}

// objectiveMillis returns how long a workflow may take: the stretch allowed
// for its longest chain of estimated work, and the queue's fixed allowance.
func objectiveMillis(spec *state.WorkflowSpec) int64 {
	return int64(spec.Stretch*float64(chainMillis(spec))) + spec.ObjectiveMillis
}

// chainMillis returns the longest chain of estimated work.
func chainMillis(spec *state.WorkflowSpec) int64 {
	return longestChain(spec, func(step int) int64 { return spec.Steps[step].EstimateMillis })
}

// longestChain returns the length of the longest chain of dependent steps.
func longestChain(spec *state.WorkflowSpec, length func(step int) int64) int64 {
	longest := int64(0)
	ends := make([]int64, len(spec.Steps))
	for i := range spec.Steps {
		var begin int64
		for _, d := range spec.Steps[i].DependsOn {
			begin = max(begin, ends[d])
		}
		ends[i] = begin + length(i)
		longest = max(longest, ends[i])
	}
	return longest
}
