package fleet

import (
	"slices"
	"time"

	"apricotrouter/placement"
)

// lateFactor is the multiple of its objective after which the result of a
// workflow has no value, from the service terms.
const lateFactor = 3

func (c *Controller) waitingJobs() []placement.WaitingJob {
	now := c.now()
	var waiting []placement.WaitingJob
	for _, f := range c.workflows {
		c.unblockTasks(f)
		if f.readyTasks > 0 {
			j := c.waitingJob(f, now)
			waiting = append(waiting, j)
			if restart := j; f.restartWaits() {
				restart.Restart = true
				waiting = append(waiting, restart)
			}
			if j.Serving && placement.NearlyOverdue(j.WaitedMillis) {
				j.ExceedsShare = true
				waiting = append(waiting, j)
			}
		}
	}
	return waiting
}

// waitingJob returns what decides about the order of a workflow with ready
// tasks.
func (c *Controller) waitingJob(f *workflow, now time.Duration) placement.WaitingJob {
	serving, waited := f.servingWait(now)
	p := c.criticalPath(f)
	deadline := f.submittedAt + f.objective(p)
	return placement.WaitingJob{
		Serving: serving, WaitedMillis: waited.Milliseconds(),
		ID: f.spec.ID, Priority: f.spec.Priority, Deadline: deadline,
		LateDeadline: f.submittedAt + lateFactor*(deadline-f.submittedAt), RemainingMillis: p.left, Observed: p.observed,
	}
}

// objective returns the estimated objective of a workflow, in milliseconds. Its
// callers measure it by the run times of the tasks, which are not known before
// they end: a step of twenty tasks takes three to four times as long as declared,
// and a workflow with a long task has as much more time.
func (f *workflow) objective(p path) int64 {
	if f.spec.Occurrences > 0 {
		return f.deadline - f.submittedAt
	}
	return int64(f.spec.MaxSlowdown*float64(p.total)) + f.spec.ObjectiveMillis
}

// servingWait reports whether serving tasks of the workflow wait, and the
// longest wait of them.
func (f *workflow) servingWait(now time.Duration) (bool, time.Duration) {
	serving, waited := false, time.Duration(0)
	for _, t := range f.tasks {
		if t.phase == taskReady && t.step.LongRunning {
			serving, waited = true, max(waited, now-t.waitingSince)
		}
	}
	return serving, waited
}

// restartWaits reports whether a serving task of the workflow waits that ran
// before.
func (f *workflow) restartWaits() bool {
	return slices.ContainsFunc(f.tasks, func(t *task) bool { return t.phase == taskReady && t.restarts() })
}

// restarts reports whether the next run of the task replaces one that a serving
// task has lost.
func (t *task) restarts() bool { return t.step.LongRunning && t.ranBefore() }
