package fleet

import (
	"log/slog"
	"time"

	"apricotrouter/event"
	"apricotrouter/placement"
	"apricotrouter/runtimes"
)

const (
	// restartDelay is the time to stop a run, commit its end and start it on
	// another worker, without the restore of a checkpoint.
	restartDelay = 150 * time.Millisecond
	// maxMoves is the maximum number of times that a slow task is moved. After
	// that, the task itself is assumed to be slow.
	maxMoves = 2
	// stalledQuarantine is how long a worker with several stalled runs gets no
	// more tasks.
	stalledQuarantine = 3 * time.Second
	// minStalledRuns is the number of stalled runs after which the worker is
	// assumed to be at fault.
	minStalledRuns = 2
	// startupTimeout is how long the startup of a serving task may take. It
	// doubles with each run that exceeded it, because the task itself may be
	// slow.
	startupTimeout = 4 * time.Second
)

// recordProgress records the reported progress of a run.
func (m *runStats) recordProgress(progress int, startedAt, now time.Duration) {
	if !m.reported {
		m.reported, m.firstProgress, m.firstReportAt, m.lastProgressAt = true, progress, now, now
		m.reducedAtFirst = m.reducedTime(startedAt, now)
	}
	if progress != m.progress {
		m.lastProgressAt, m.stallCounted = now, false
	}
	m.progress = progress
}

// moveStragglers stops slow and stalled runs so that they restart on another
// worker, if there is one.
func (c *Controller) moveStragglers(s *session) {
	if len(c.sessions) < 2 {
		return
	}
	now := c.now()
	var stalled []*attempt
	for _, a := range s.attempts {
		if a.phase != attemptRunning || a.stopping || !a.runStats.reported {
			continue
		}
		if a.task.step.LongRunning {
			timeout := startupTimeout << a.task.moves
			if a.runStats.progress >= fullProgress {
				a.task.moves = 0
			} else if now-a.startedAt > timeout && now-a.runStats.lastProgressAt > timeout {
				a.task.moves++
				c.avoid(a)
				c.stop(a, "its startup takes too long")
			}
			continue
		}
		e := c.estimate(a.task.workflow, a.task.pos.Step)
		c.observeSlowRun(a, e, now)
		p := c.runProgress(a, e, now)
		if placement.Stalled(p) && !a.runStats.stallCounted {
			stalled = append(stalled, a)
		}
		if a.task.original != nil && a.task.phase == taskOnWorker || c.considerCopy(a, e, now) {
			continue
		}
		if a.task.moves < maxMoves && !a.task.step.Gang && placement.IsStraggler(p) {
			a.task.moves++
			c.avoid(a)
			c.stop(a, "it is slower than elsewhere")
		}
	}
	if len(stalled) >= minStalledRuns && now >= s.pausedUntil {
		s.pausedUntil = now + stalledQuarantine
		// Count the stall of a run once: a run that would stall on every worker
		// does not indicate a fault of this one.
		for _, a := range stalled {
			a.runStats.stallCounted = true
		}
		event.Log(c.opts.Logger, event.WorkerQuarantined, slog.String("worker", s.worker.ID),
			slog.Int("stalled", len(stalled)), slog.Duration("for", stalledQuarantine))
	}
}

// runProgress returns the progress and speed of a run.
func (c *Controller) runProgress(a *attempt, e runtimes.Estimate, now time.Duration) placement.RunProgress {
	m := &a.runStats
	p := placement.RunProgress{
		EstimateMillis: e.Quantile(usualQuantile), LongMillis: e.Quantile(longQuantile), Progress: m.progress, InitialProgress: m.firstProgress,
		ObservedMillis: (now - m.firstReportAt).Milliseconds(), UnchangedMillis: (now - m.lastProgressAt).Milliseconds(),
		RatePercent: m.rate, RestartMillis: restartDelay.Milliseconds(),
	}
	if now-m.rateSetAt < c.settleTime() {
		p.RatePercent = 0 // measurements do not show the speed at this rate yet
	}
	if a.task.step.Checkpoints {
		p.CheckpointPercent = m.progress
		p.RestartMillis += c.opts.Limits.Restore.Milliseconds()
	}
	return p
}

// avoid excludes the worker from later runs of the task.
func (c *Controller) avoid(a *attempt) {
	if a.task.avoid == nil {
		a.task.avoid = make(map[string]bool)
	}
	a.task.avoid[a.session.worker.ID] = true
}
