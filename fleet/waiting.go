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
			j := waitingJob(f, now)
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
func waitingJob(f *workflow, now time.Duration) placement.WaitingJob {
	serving, waited := f.servingWait(now)
	return placement.WaitingJob{
		Serving: serving, WaitedMillis: waited.Milliseconds(),
		ID: f.spec.ID, Priority: f.spec.Priority, Deadline: f.deadline,
		LateDeadline: f.submittedAt + lateFactor*(f.deadline-f.submittedAt), RemainingMillis: f.remainingMillis(),
	}
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

// bestEffortWaits reports whether a best-effort task of the workflow waits.
func (f *workflow) bestEffortWaits() bool {
	return f.readyTasks > 0 && slices.ContainsFunc(f.tasks, func(t *task) bool { return t.phase == taskReady && t.step.BestEffort })
}

// restarts reports whether the next run of the task replaces one that a serving
// task has lost.
func (t *task) restarts() bool { return t.step.LongRunning && t.ranBefore() }

// remainingMillis returns the estimated remaining duration of the critical
// path.
func (f *workflow) remainingMillis() int64 {
	remaining := make([]int64, len(f.spec.Steps))
	for _, t := range f.tasks {
		if t.phase == taskDone {
			continue
		}
		left := t.step.EstimateMillis
		if t.attempt != nil && !t.step.LongRunning {
			left = left * int64(fullRate-t.attempt.runStats.progress) / fullRate
		}
		remaining[t.pos.Step] = max(remaining[t.pos.Step], left)
	}
	return criticalPath(f.spec, func(step int) int64 { return remaining[step] })
}
