package fleet

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"time"

	"apricotrouter/event"
	"apricotrouter/placement"
	"apricotrouter/runtimes"
	"apricotrouter/state"
)

// A copy is a second run of a task whose step permits duplicates, while the
// first one continues. In the replicated state it replaces the first run, which
// is recorded as lost: one run per task is current, and a completed run counts
// whether it is current or not. A leader that does not know of the first run
// finds it in a report and stops it, as any run that is not current.

// considerCopy notes a run that should be copied if capacity is idle, and
// reports whether it was noted.
func (c *Controller) considerCopy(a *attempt, e runtimes.Estimate, now time.Duration) bool {
	t := a.task
	if e.Runs() == 0 || now < a.noCopyUntil || a.runStats.rate == 0 || !t.mayBeCopied() || c.poolBusy(t.workflow.spec.Pool, now) {
		return false
	}
	if t.workflow.openTasks[t.pos.Occurrence][t.pos.Step] > runtimes.MaxStragglers(t.step.Count) {
		return false // without a look at each task of a wide step
	}
	left, _, ok := a.runStats.projectedMillis(now)
	if !ok {
		left = e.Left((now - a.startedAt).Milliseconds())
	}
	s := runtimes.Straggler{
		Tasks: t.step.Count, RemainingMillis: left, ElsewhereMillis: e.Quantile(usualQuantile), RestartMillis: restartDelay.Milliseconds(),
	}
	first := t.workflow.spec.FirstTask(t.pos.Occurrence, t.pos.Step)
	for _, other := range t.workflow.tasks[first : first+t.step.Count] {
		switch other.phase {
		case taskDone:
			continue
		case taskReady, taskBlocked:
			s.Waiting++
		}
		s.Unfinished++
	}
	if !runtimes.CopyPays(s) {
		return false
	}
	c.stragglers[t] = left
	return true
}

const (
	// copyRetry is the delay after which a run is considered again for a copy if
	// no worker was idle. Meanwhile, it may be moved.
	copyRetry = time.Second
	// busyCheckInterval is the interval at which poolBusy looks for waiting tasks.
	busyCheckInterval = 200 * time.Millisecond
)

// poolBusy reports whether tasks that end waited for a worker of the pool within
// busyCheckInterval.
func (c *Controller) poolBusy(name string, now time.Duration) bool {
	if c.busyPools == nil || now >= c.nextBusyCheck {
		c.busyPools, c.nextBusyCheck = c.poolsWithWaitingTasks(), now+busyCheckInterval
	}
	return c.busyPools[name]
}

// mayBeCopied reports whether a second run of a task may start beside its
// current one. A task that may crash its workers must not crash two at a time,
// and the failure of a copy must not fail the workflow.
func (t *task) mayBeCopied() bool {
	a, attempts := t.attempt, t.workflow.spec.MaxAttempts
	return t.step.Duplicates && !t.step.Gang && !t.step.LongRunning && t.phase == taskOnWorker && t.original == nil &&
		a != nil && a.phase == attemptRunning && !a.stopping && !a.adopted && !a.session.unresponsive &&
		t.evidence == (placement.CrashEvidence{}) && t.unresolved == 0 && (attempts == 0 || attempts-t.failures > 1)
}

// placeCopies starts copies of stragglers on idle capacity, those with the most
// remaining time first. Where tasks that end wait for a worker, capacity is not
// idle.
func (c *Controller) placeCopies() {
	if len(c.stragglers) == 0 {
		return
	}
	now := c.now()
	pools := c.pools(now)
	tasks := slices.SortedFunc(maps.Keys(c.stragglers), func(a, b *task) int {
		return cmp.Or(cmp.Compare(c.stragglers[b], c.stragglers[a]), cmp.Compare(a.workflow.spec.ID, b.workflow.spec.ID), a.number-b.number)
	})
	busy, copies := c.poolsWithWaitingTasks(), c.copiesByPool()
	for _, t := range tasks {
		name := t.workflow.spec.Pool
		p := pools[name]
		if p == nil || c.workflows[t.workflow.spec.ID] != t.workflow || !t.mayBeCopied() || c.journal.full() {
			continue
		}
		i := -1
		if !busy[name] && c.usage.Cap(t.workflow.spec.Tenant) == (state.Resources{}) && copies[name] < runtimes.MaxCopies(len(p.sessions)) {
			i = c.idleWorker(t, p)
		}
		if i < 0 {
			t.attempt.noCopyUntil = now + copyRetry
			continue
		}
		copies[name]++
		c.startCopy(t, p, i, c.stragglers[t])
	}
	clear(c.stragglers)
}

// poolsWithWaitingTasks returns the pools in which tasks that end wait for a
// worker.
func (c *Controller) poolsWithWaitingTasks() map[string]bool {
	busy := make(map[string]bool)
	for _, f := range c.workflows {
		if f.readyTasks == 0 || busy[f.spec.Pool] {
			continue
		}
		busy[f.spec.Pool] = slices.ContainsFunc(f.tasks, func(t *task) bool { return t.phase == taskReady && !t.step.LongRunning && c.capAllows(t) })
	}
	return busy
}

// copiesByPool returns the number of tasks with two runs, by pool.
func (c *Controller) copiesByPool() map[string]int {
	copies := make(map[string]int)
	for _, s := range c.sessions {
		for _, a := range s.attempts {
			if a.task.original == a {
				copies[a.task.workflow.spec.Pool]++
			}
		}
	}
	return copies
}

// idleWorker returns the index of the best worker for a copy of a task, or -1:
// not the one of its run, none that is slow, and none on which the copy would
// slow other tasks down.
func (c *Controller) idleWorker(t *task, p *pool) int {
	at := c.now().Milliseconds()
	request := c.placementRequest(t, p, t.avoidedWorkers())
	excluded := request.Excluded
	request.Excluded = func(i int) bool {
		s := p.sessions[i]
		return s == t.attempt.session || p.workers[i].IdleCPU < t.step.Size.MilliCPU ||
			c.learned.workers.Slowdown(s.worker.ID, at) > 1 || excluded != nil && excluded(i)
	}
	return placement.ChooseWorker(p.workers, request)
}

// startCopy starts a second run of a task on a worker, by index.
func (c *Controller) startCopy(t *task, p *pool, worker int, left int64) {
	a := t.attempt
	p.book(worker, placement.PoolTask{Step: t.step, InterferenceModel: c.interference})
	c.journal.ends = append(c.journal.ends, state.TaskEnd{Workflow: a.run.Workflow, Task: a.run.Task, Run: a.run.Number, Outcome: state.OutcomeLost})
	t.original = a
	c.place(t, p.sessions[worker], t.run+1)
	c.metrics.copies.WithLabelValues("started").Inc()
	event.Log(c.opts.Logger, event.TaskCopied, slog.String("workflow", a.run.Workflow), slog.Int("task", a.run.Task),
		slog.Uint64("run", a.run.Number), slog.String("worker", a.session.worker.ID), slog.Uint64("copy", t.attempt.run.Number),
		slog.String("copy_worker", t.attempt.session.worker.ID), slog.Int64("ran_ms", (c.now()-a.startedAt).Milliseconds()),
		slog.Int64("left_ms", left), slog.Int("progress", a.runStats.progress))
}

// recordCopyEnd counts which of the two runs of a task completed first.
func (c *Controller) recordCopyEnd(a *attempt) {
	switch t := a.task; {
	case t.original == nil || t.phase == taskDone:
	case t.original == a:
		c.metrics.copies.WithLabelValues("original-first").Inc()
	default:
		c.metrics.copies.WithLabelValues("copy-first").Inc()
	}
}
