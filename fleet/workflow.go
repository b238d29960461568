package fleet

import (
	"log/slog"
	"maps"
	"time"

	"apricotrouter/admission"
	"apricotrouter/event"
	"apricotrouter/placement"
	"apricotrouter/runtimes"
	"apricotrouter/state"
)

// workflow is the leader's view of an active workflow.
type workflow struct {
	spec        *state.WorkflowSpec
	queue       string
	submittedAt int64 // Unix milliseconds
	// deadline is the end of the workflow's objective by declared run times, in
	// Unix milliseconds.
	deadline     int64
	work         float64 // estimated work of all tasks of one occurrence
	tasks        []*task
	openTasks    [][]int // unfinished tasks, by occurrence and step
	readyTasks   int     // tasks that wait for a worker
	checkBlocked bool    // blocked tasks may have become ready
	begun        bool    // a run of a task is known to have started
	late         bool    // was logged as late
	runs         int     // runs on workers
	// lastEndAt is when the last run of a task ended.
	lastEndAt time.Duration
	// missesObjective is set if the workflow can no longer meet its objective, as of
	// the last placement pass in which tasks waited.
	missesObjective bool
	// sustained is set while the workflow goes on one task at a time at the lowest
	// rate, because nothing of it had run for too long.
	sustained bool
	// inProgress is set while the workflow counts as started in the statistics
	// of its queue, with size.
	inProgress bool
	size       admission.Size
	number     uint64 // of the workflows that this process has opened
	// completedRuns is the number of runs that completed a task, by step, and
	// completedLogs the sum of the logarithms of their run times in milliseconds.
	completedRuns []int
	completedLogs []float64
	// longestRuns are the longest run times of completed tasks at full speed, by
	// step, in milliseconds; 0 if none is known.
	longestRuns []int64
	estimates   []runtimes.Estimate // by step, as of the last placement pass in which tasks waited
	// loads are the load filters of the serving tasks, by step.
	loads []placement.Load
	// smallest has, for each resource, the smallest request of any task.
	smallest state.Resources
	// excess is set if the tenant submitted more workflows per second than its
	// weight.
	excess bool
}

// taskPhase is the phase of a task as seen by the leader.
type taskPhase uint8

const (
	taskBlocked taskPhase = iota // waits for other steps or for the start time of its occurrence
	taskReady
	taskOnWorker // has an attempt
	taskDone
)

// task is one task of an active workflow.
type task struct {
	workflow   *workflow
	number     int
	pos        state.TaskPosition
	step       *state.WorkflowStep
	phase      taskPhase
	run        uint64 // number of the last run
	failures   int
	checkpoint string
	attempt    *attempt
	original   *attempt        // run that continues beside its copy, which is attempt
	endPending bool            // end is being committed; the task counts as done
	avoid      map[string]bool // workers on which a run failed or was slow
	// refusedUntil is the time until which a worker that refused a start gets
	// no other start of this task, by worker id.
	refusedUntil map[string]time.Duration
	waitingSince time.Duration // start of the current wait for a worker
	endedAt      int64         // see state.WorkflowTask
	moves        int           // number of times that the task was moved because it was slow
	evidence     placement.CrashEvidence
	// uncommittedCrashes is the number of crashes in evidence that the
	// replicated state does not contain yet.
	uncommittedCrashes int
	// unresolved is the number of runs on workers that stopped responding and
	// may have crashed.
	unresolved int
	reservedOn *session      // worker on which capacity is set aside for the task
	reservedAt time.Duration // since when
	unanswered unansweredStarts
	releasing  bool        // the end of its confinement is being committed
	lostWith   *workerLoss // last loss that counts in evidence; nil if an earlier leader recorded it
}

// idleFor returns for how long the workflow has had nothing running although the
// task waited for a worker, in milliseconds. It doesn't begin anew after each run of
// a workflow that goes on one task at a time.
func (t *task) idleFor(now time.Duration) int64 {
	f := t.workflow
	switch {
	case t.phase != taskReady || f.runs > 0:
		return 0
	case f.sustained:
		return (now - t.waitingSince).Milliseconds()
	}
	return (now - max(t.waitingSince, f.lastEndAt)).Milliseconds()
}

// gang returns all tasks of the task's gang, or only the task itself if its step is
// not a gang.
func (t *task) gang() []*task {
	if !t.step.Gang {
		return []*task{t}
	}
	first := t.workflow.spec.FirstTask(t.pos.Occurrence, t.pos.Step)
	return t.workflow.tasks[first : first+t.step.Count]
}

// ranBefore reports whether a run of the task was recorded. Its worker may have
// refused it.
func (t *task) ranBefore() bool { return t.run > 0 }

// recordRefusal excludes a worker that refused a start of the task for
// unhealthyPause.
func (t *task) recordRefusal(worker string, now time.Duration) {
	if t.refusedUntil == nil {
		t.refusedUntil = make(map[string]time.Duration)
	}
	t.refusedUntil[worker] = now + unhealthyPause
}

// expireRefusals makes workers eligible again whose exclusion after a refused
// start has ended.
func (t *task) expireRefusals(now time.Duration) {
	maps.DeleteFunc(t.refusedUntil, func(_ string, until time.Duration) bool { return now >= until })
}

// openWorkflow begins to run a workflow. Its running tasks stay assigned to
// their workers until these have been polled.
func (c *Controller) openWorkflow(w *state.Workflow) {
	spec := &w.Spec
	f := &workflow{spec: spec, queue: spec.Queue, submittedAt: w.SubmittedAt, work: estimatedWork(spec)}
	f.deadline = w.SubmittedAt + objectiveMillis(spec)
	f.completedRuns, f.completedLogs = make([]int, len(spec.Steps)), make([]float64, len(spec.Steps))
	f.longestRuns = make([]int64, len(spec.Steps))
	c.learned.opened++
	f.number = c.learned.opened
	f.loads = make([]placement.Load, len(spec.Steps))
	f.checkBlocked = true
	f.openTasks = make([][]int, max(1, spec.Occurrences))
	for k := range f.openTasks {
		f.openTasks[k] = make([]int, len(spec.Steps))
	}
	f.tasks = make([]*task, len(w.Tasks))
	for n := range w.Tasks {
		t := &task{workflow: f, number: n, pos: spec.Position(n)}
		t.step = &spec.Steps[t.pos.Step]
		f.tasks[n] = t
		f.openTasks[t.pos.Occurrence][t.pos.Step]++
	}
	f.excess = c.exceedsRate(spec.Tenant, w.SubmittedAt)
	f.smallest = spec.Steps[0].Size
	for i := range spec.Steps {
		f.smallest = f.smallest.Min(spec.Steps[i].Size)
	}
	c.workflows[spec.ID] = f
	c.countStored(storedBytes(spec))
	c.addServingDemand(spec, 1)
	if spec.Occurrences == 0 {
		c.addBatchDemand(spec, w.SubmittedAt)
	}
	if f.ends() {
		c.queueStats(f.queue).Arrived(w.SubmittedAt, f.work)
	}
	for n := range w.Tasks {
		c.syncTask(f.tasks[n], &w.Tasks[n])
		for _, l := range w.Tasks[n].LostRuns {
			c.adoptLostRun(f.tasks[n], l)
		}
	}
	if w.Phase == state.WorkflowActive {
		c.recordBegun(f)
	}
	c.unblockTasks(f)
	c.logEstimate(f)
	c.dirty = true
}

// syncTask updates a task from the replicated state.
func (c *Controller) syncTask(t *task, r *state.WorkflowTask) {
	t.run, t.failures, t.checkpoint, t.endedAt = r.Run, r.Failures, r.Checkpoint, r.EndedAt
	t.workflow.begun = t.workflow.begun || r.Phase == state.TaskDone || r.Failures > 0 || r.EndedAt != 0 || r.Checkpoint != ""
	if t.uncommittedCrashes == 0 {
		t.setEvidence(c, placement.CrashEvidence{
			Crashes: len(r.CrashedRuns), Unexplained: r.UnexplainedCrashes, Isolated: r.IsolatedCrashes,
			Explained: len(r.ExplainedRuns), LongestCrashMillis: r.LongestCrash,
		})
	}
	t.unresolved = len(r.LostRuns)
	c.followConfinement(t, r)
	if t.endPending {
		return // this state precedes the entry that records the end
	}
	switch r.Phase {
	case state.TaskDone:
		c.markDone(t)
	case state.TaskStarted:
		if t.attempt != nil && t.attempt.run.Number == r.Run {
			return
		}
		c.adopt(t, r.Worker, r.WorkerStartedAt)
		t.attempt.startKnown = r.StartAnswered
	case state.TaskWaiting:
		if t.phase == taskOnWorker && (t.attempt == nil || t.attempt.run.Number <= r.Run) {
			c.dropAttempt(t.attempt)
			t.block()
		}
	}
}

// markDone records that a task is done and stops other runs of it.
func (c *Controller) markDone(t *task) {
	if t.phase == taskDone {
		return
	}
	if t.phase == taskReady {
		t.workflow.readyTasks--
	}
	t.phase = taskDone
	remaining := &t.workflow.openTasks[t.pos.Occurrence][t.pos.Step]
	*remaining--
	t.workflow.checkBlocked = t.workflow.checkBlocked || *remaining == 0
	for _, a := range []*attempt{t.attempt, t.original} {
		if a != nil {
			c.stop(a, "the task is done")
		}
	}
	c.unblockTasks(t.workflow)
}

// block makes a task wait for its dependencies, which unblockTasks checks.
func (t *task) block() { t.phase, t.workflow.checkBlocked = taskBlocked, true }

// unblockTasks makes blocked tasks ready whose dependencies are done.
func (c *Controller) unblockTasks(f *workflow) {
	if !f.checkBlocked {
		return
	}
	f.checkBlocked = f.spec.Occurrences > 0 // occurrences become due with time
	wall := c.opts.Clock.Now().UnixMilli()
	for _, t := range f.tasks {
		if t.phase != taskBlocked || !t.dependenciesDone() || t.dueAt() > wall {
			continue
		}
		t.phase, t.waitingSince = taskReady, t.waitStart(c.now(), wall)
		if f.spec.Occurrences > 0 && t.pos.Step == 0 && t.pos.Index == 0 && t.run == 0 {
			c.addBatchDemand(f.spec, wall)
		}
		f.readyTasks++
		c.dirty = true
	}
}

// waitStart returns when the wait of a task that becomes ready began. For a
// serving task this is the end of its last run; changes of the leader and
// refused starts do not reset it.
func (t *task) waitStart(now time.Duration, wall int64) time.Duration {
	since := t.endedAt
	switch {
	case !t.step.LongRunning:
		return now
	case since > 0:
	case t.run > 0 && t.waitingSince > 0:
		return t.waitingSince
	case len(t.step.DependsOn) == 0 && t.workflow.spec.Occurrences == 0:
		since = t.workflow.submittedAt
	default:
		return now
	}
	return now - time.Duration(max(0, wall-since))*time.Millisecond
}

// dependenciesDone reports whether all steps that the task depends on are done.
func (t *task) dependenciesDone() bool {
	for _, s := range t.step.DependsOn {
		if t.workflow.openTasks[t.pos.Occurrence][s] > 0 {
			return false
		}
	}
	return true
}

// dueAt returns the earliest start of the task's occurrence, in Unix
// milliseconds.
func (t *task) dueAt() int64 {
	if t.workflow.spec.Occurrences == 0 {
		return 0
	}
	return t.workflow.spec.FirstAtMillis + int64(t.pos.Occurrence)*t.workflow.spec.IntervalMillis
}

// closeWorkflow stops the remaining runs of a workflow that has ended.
func (c *Controller) closeWorkflow(f *workflow, w *state.Workflow) {
	delete(c.workflows, f.spec.ID)
	c.countStored(-storedBytes(f.spec))
	c.addServingDemand(f.spec, -1)
	for _, t := range f.tasks {
		t.phase = taskDone
		for _, a := range []*attempt{t.attempt, t.original} {
			if a != nil {
				c.stop(a, "the workflow has ended")
			}
		}
	}
	c.dirty = true
	c.recordEnded(f, w)
	if w == nil {
		return
	}
	took := w.EndedAt - w.SubmittedAt
	c.metrics.observeEnd(w.Phase, took, f.deadline-f.submittedAt)
	event.Log(c.opts.Logger, event.WorkflowEnded, slog.String("workflow", f.spec.ID), slog.String("queue", f.queue),
		slog.String("phase", string(w.Phase)), slog.Int64("took_ms", took),
		slog.Int64("objective_ms", f.deadline-f.submittedAt), slog.String("reason", w.Reason))
}

// objectiveMillis returns the objective of a workflow in milliseconds: its
// estimated critical path times the maximum slowdown, plus the fixed allowance
// of the queue.
func objectiveMillis(spec *state.WorkflowSpec) int64 {
	return int64(spec.MaxSlowdown*float64(criticalPathMillis(spec))) + spec.ObjectiveMillis
}

// criticalPathMillis returns the estimated duration of the critical path.
func criticalPathMillis(spec *state.WorkflowSpec) int64 {
	return criticalPath(spec, func(step int) int64 { return spec.Steps[step].EstimateMillis })
}

// criticalPath returns the total length of the longest chain of dependent
// steps.
func criticalPath(spec *state.WorkflowSpec, stepLength func(step int) int64) int64 {
	longest := int64(0)
	finish := make([]int64, len(spec.Steps))
	for i := range spec.Steps {
		var start int64
		for _, dependency := range spec.Steps[i].DependsOn {
			start = max(start, finish[dependency])
		}
		finish[i] = start + stepLength(i)
		longest = max(longest, finish[i])
	}
	return longest
}
