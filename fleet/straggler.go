package fleet

import (
	"log/slog"
	"time"

	"apricotrouter/event"
	"apricotrouter/placement"
)

const (
	// restartCost is what it takes to stop a run, commit its end and start
	// it on another worker, besides the restore of a checkpoint.
	restartCost = 150 * time.Millisecond
	// maxMoves bounds how often one task is moved because it is slow: after
	// that the task itself is at fault.
	maxMoves = 2
	// stalledPause keeps tasks off a worker on which several stand still.
	stalledPause = 3 * time.Second
	// stalledRuns is how many runs must stand still to blame the worker.
	stalledRuns = 2
	// startupTime is how long a serving task may take to be at work. It doubles
	// with each run that was given up for it: the task itself may be slow.
	startupTime = 4 * time.Second
)

// notice follows the progress of a run.
func (m *measures) notice(progress int, now time.Duration) {
	if !m.seen {
		m.seen, m.begin, m.beganAt, m.movedAt = true, progress, now, now
	}
	if progress != m.progress {
		m.movedAt, m.blamed = now, false
	}
	m.progress = progress
}

// moveStragglers starts runs elsewhere that are slow or stand still, if there
// is another worker to go to.
func (c *Controller) moveStragglers(s *session) {
	if len(c.sessions) < 2 {
		return
	}
	now := c.now()
	var stalled []*attempt
	for _, a := range s.attempts {
		if a.phase != attemptRunning || a.stopping || !a.measures.seen {
			continue
		}
		if a.task.step.LongRunning {
			allowed := startupTime << a.task.moves
			if a.measures.progress >= fullProgress {
				a.task.moves = 0
			} else if now-a.startedAt > allowed && now-a.measures.movedAt > allowed {
				a.task.moves++
				c.avoid(a)
				c.stop(a, "it is not at work")
			}
			continue
		}
		p := c.progressOf(a, now)
		if placement.Stalled(p) && !a.measures.blamed {
			stalled = append(stalled, a)
		}
		if a.task.moves < maxMoves && !a.task.step.Gang && placement.Straggles(p) {
			a.task.moves++
			c.avoid(a)
			c.stop(a, "it is slower than elsewhere")
		}
	}
	if len(stalled) >= stalledRuns && now >= s.pauseUntil {
		s.pauseUntil = now + stalledPause
		// Runs that stand still ever after, as they would anywhere, say no more.
		for _, a := range stalled {
			a.measures.blamed = true
		}
		event.Log(c.opts.Logger, event.WorkerQuarantined, slog.String("worker", s.worker.ID),
			slog.Int("stalled", len(stalled)), slog.Duration("for", stalledPause))
	}
}

// progressOf returns what is known of a run's speed. The estimate of its step
// is corrected by runs of the same step that are done.
func (c *Controller) progressOf(a *attempt, now time.Duration) placement.RunProgress {
	m := &a.measures
	p := placement.RunProgress{
		EstimateMillis: a.task.flow.estimate(a.task.pos.Step), Progress: m.progress, Begin: m.begin,
		ObservedMillis: (now - m.beganAt).Milliseconds(), StillMillis: (now - m.movedAt).Milliseconds(),
		Percent: m.pace, RestartMillis: restartCost.Milliseconds(),
	}
	if now-m.pacedAt < c.settleTime() {
		p.Percent = 0 // its speed at this pace is not known yet
	}
	if a.task.step.Checkpoints {
		p.Kept = m.progress
		p.RestartMillis += c.opts.Limits.Restore.Milliseconds()
	}
	return p
}

// avoid keeps the next runs of a task off the worker.
func (c *Controller) avoid(a *attempt) {
	if a.task.avoid == nil {
		a.task.avoid = make(map[string]bool)
	}
	a.task.avoid[a.session.worker.ID] = true
}

// estimate returns how long a task of a step takes: as estimated, or as its
// runs took that are done, if that is longer.
func (f *flow) estimate(step int) int64 {
	e := f.spec.Steps[step].EstimateMillis
	if n := f.doneRuns[step]; n > 0 {
		e = max(e, f.doneMillis[step]/n)
	}
	return e
}

// noteDuration learns from a run that did the whole task.
func (f *flow) noteDuration(a *attempt, now time.Duration) {
	if a.measures.begin == 0 && a.task.checkpoint == "" {
		f.doneRuns[a.task.pos.Step]++
		f.doneMillis[a.task.pos.Step] += (now - a.startedAt).Milliseconds()
	}
}
