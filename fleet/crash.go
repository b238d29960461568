package fleet

import (
	"cmp"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"apricotrouter/event"
	"apricotrouter/placement"
	"apricotrouter/state"
)

// isolationHold is how long a worker that has just been registered is kept for
// tasks that have to run alone. A worker that restarts after a crash is empty;
// the end of the run that crashed it is being committed at that moment.
const isolationHold = time.Second

// crashed ends the session of a worker that was replaced without having
// announced its shutdown, because it crashed. Its runs count as evidence
// against their tasks.
func (c *Controller) crashed(s *session, reason string) {
	if s.closed {
		return
	}
	if s.worker.Draining || s.worker.Address == "" {
		c.closeSession(s, reason)
		return
	}
	c.metrics.crashes.Inc()
	if s.loss == nil {
		c.recordLoss(s, c.now(), nil)
	}
	for _, a := range s.attempts {
		a.crashed = a.phase != attemptRecording
	}
	for _, a := range s.expired {
		a.crashed = true
	}
	c.closeSession(s, reason)
}

// replaced ends the session of a worker whose address another one has.
func (c *Controller) replaced(s *session) {
	c.addressTaken(s)
	c.crashed(s, "another incarnation has its address")
}

// resolveExpired records what became of the worker of runs that were given up
// when its lease expired: it has crashed, responds again or is gone.
func (c *Controller) resolveExpired(runs []*attempt) {
	for _, a := range runs {
		if f := c.workflows[a.run.Workflow]; f == nil || f.tasks[a.run.Task] != a.task || a.task.phase == taskDone {
			continue
		}
		end := state.TaskEnd{Workflow: a.run.Workflow, Task: a.run.Task, Run: a.run.Number, Outcome: state.OutcomeLost, Resolved: true}
		if a.crashed {
			c.judgeCrash(a, &end)
		}
		c.journal.ends = append(c.journal.ends, end)
	}
}

// adoptLostRun takes over a run that an earlier leader gave up when the lease
// of its worker expired.
func (c *Controller) adoptLostRun(t *task, l state.LostRun) {
	s := c.sessions[l.Worker]
	if s == nil {
		s = newSession(state.PoolWorker{ID: l.Worker}, unreachableWorker{})
	}
	a := &attempt{
		task: t, run: Run{Workflow: t.workflow.spec.ID, Task: t.number, Number: l.Run}, phase: attemptEnded,
		session: s, incarnation: l.WorkerStartedAt, leaseExpired: true,
	}
	switch {
	case s.isPlaceholder():
		a.presumeCrash(c, s)
	case s.worker.StartedAt == l.WorkerStartedAt:
		s.expired = append(s.expired, a)
		return
	default:
		a.crashed = l.WorkerStartedAt != 0 && s.worker.StartedAt > l.WorkerStartedAt
	}
	c.resolveExpired([]*attempt{a})
}

// presumeCrash marks a run whose worker was removed before it was known what
// became of it. Unless the worker had drained, it may have crashed.
func (a *attempt) presumeCrash(c *Controller, s *session) {
	drained := s.worker.Draining
	if s.isPlaceholder() {
		_, drained = c.opts.Log.State().RemovedWorkers.Get(s.worker.ID)
	}
	a.crashed, a.presumedCrashed = !drained, !drained
}

// judgeCrash adds to the end of a run what the crash of its worker means for
// the task.
func (c *Controller) judgeCrash(a *attempt, end *state.TaskEnd) {
	t := a.task
	crash := placement.WorkerCrash{WorkedMillis: a.workedFor().Milliseconds(), LongRunning: t.step.LongRunning, Unconfirmed: !a.confirmed() || a.presumedCrashed}
	if l := a.loss; l != nil {
		crash.PoolWorkers, crash.LostTogether = l.poolWorkers, c.lostTogether(l)
		crash.Isolated, crash.BesideSuspect = a.beside == 0, a.besideSuspect
	}
	v := placement.JudgeCrash(t.evidence, crash)
	end.Crash, end.Explained, end.Cleared, end.WorkedMillis = v.Kind, v.Explained, v.Cleared, crash.WorkedMillis
	if v.GiveUp {
		end.GiveUp = fmt.Sprintf("%d workers crashed while they ran task %d.%d.%d, %d of them ran nothing else",
			v.Evidence.Crashes+v.Evidence.Explained, t.pos.Occurrence, t.pos.Step, t.pos.Index, v.Evidence.Isolated)
		c.metrics.givenUp.Inc()
	}
	event.Log(c.opts.Logger, event.TaskCrashedWorker, slog.String("workflow", a.run.Workflow), slog.Int("task", a.run.Task),
		slog.Uint64("run", a.run.Number), slog.String("worker", a.session.worker.ID), slog.Int("beside", a.beside), slog.Bool("beside_suspect", a.besideSuspect),
		slog.Int64("worked_ms", crash.WorkedMillis), slog.Bool("confirmed", !crash.Unconfirmed), slog.Int("lost_together", crash.LostTogether), slog.Int("pool", crash.PoolWorkers),
		slog.String("kind", v.Kind.String()), slog.Bool("cleared", v.Cleared), slog.Int("crashes", v.Evidence.Crashes),
		slog.Int("unexplained", v.Evidence.Unexplained), slog.Int("isolated", v.Evidence.Isolated),
		slog.Int("explained", v.Evidence.Explained), slog.Int64("longest_crash_ms", v.Evidence.LongestCrashMillis), slog.Bool("given_up", v.GiveUp))
	t.setEvidence(c, v.Evidence)
	t.uncommittedCrashes++
	t.lostWith = nil
	// After one explained crash the tasks of many workers restart, and need not
	// avoid each other.
	if v.Kind >= state.CrashUnexplained || v.Evidence.Explained > 1 {
		t.lostWith = a.loss
	}
}

// workedFor returns how long the run is known to have been at work: until the
// last report that listed it, or until the worker closed its connections.
func (a *attempt) workedFor() time.Duration {
	until := a.seenAt
	if a.loss != nil && a.loss.closed && a.mayHaveStarted {
		until = max(until, a.loss.at)
	}
	return max(0, until-a.startedAt)
}

// setEvidence updates the evidence against a task.
func (t *task) setEvidence(c *Controller, e placement.CrashEvidence) {
	t.evidence = e
	if e.NeedsIsolation() {
		c.suspects[t] = true
	} else {
		delete(c.suspects, t)
	}
}

// markSuspect marks a run of a task that has to run alone. Nothing else starts
// on its worker.
func (s *session) markSuspect(a *attempt, suspect bool) {
	if a.suspect == suspect {
		return
	}
	a.suspect = suspect
	if suspect {
		s.suspects++
	} else {
		s.suspects--
	}
}

// waitsAlone reports whether the task waits for a worker on which it runs
// alone, or will as soon as the end of its run is committed.
func (t *task) waitsAlone() bool {
	return t.evidence.NeedsIsolation() && !t.step.Gang &&
		(t.phase == taskReady || t.phase == taskOnWorker && t.attempt != nil && t.attempt.phase == attemptEnded)
}

// mayStart reports whether the bound on crashed workers permits another run. While
// the first run of a task continues after its copy was lost or refused, the task
// does not start again.
func (t *task) mayStart() bool { return t.original == nil && t.evidence.MayStart(t.unresolved) }

// waitingSuspects returns the tasks that wait for a worker on which they run
// alone, by pool, those that have waited longest first.
func (c *Controller) waitingSuspects() map[string][]*task {
	waiting := make(map[string][]*task)
	for t := range c.suspects {
		if t.phase == taskDone || c.workflows[t.workflow.spec.ID] != t.workflow {
			delete(c.suspects, t)
		} else if t.waitsAlone() {
			pool := t.workflow.spec.Pool
			waiting[pool] = append(waiting[pool], t)
		}
	}
	for _, tasks := range waiting {
		slices.SortFunc(tasks, func(a, b *task) int {
			return cmp.Or(cmp.Compare(a.waitingSince, b.waitingSince), cmp.Compare(a.workflow.spec.ID, b.workflow.spec.ID), a.number-b.number)
		})
	}
	return waiting
}

// placeSuspects places the tasks that have to run alone, and keeps workers that
// have just been registered for those that can't be placed yet.
func (c *Controller) placeSuspects(now time.Duration) {
	for _, s := range c.held {
		s.held = false
	}
	c.held = c.held[:0]
	for pool, tasks := range c.waitingSuspects() {
		c.placeSuspectsOf(pool, tasks, now)
	}
}

func (c *Controller) placeSuspectsOf(name string, tasks []*task, now time.Duration) {
	var sessions []*session
	var workers []placement.IsolationWorker
	inUse := 0
	st := c.opts.Log.State()
	for _, s := range c.sortedSessions() {
		if s.worker.Pool != name || !s.accepts(c, now) || st.IsZoneEvacuated(s.worker.Zone) {
			continue
		}
		if s.suspects > 0 {
			inUse++
			continue
		}
		if !s.resourcesValid {
			c.updateResources(s)
		}
		sessions = append(sessions, s)
		workers = append(workers, placement.IsolationWorker{Capacity: &s.resources, Runs: len(s.attempts)})
	}
	free := placement.MaxIsolated(len(sessions)+inUse) - inUse
	p := &pool{now: now, sessions: sessions, reducedRates: true}
	for i := range workers {
		p.allWorkers = append(p.allWorkers, workers[i].Capacity)
	}
	for _, t := range tasks {
		if free <= 0 || c.journal.full() {
			return
		}
		if !c.capAllows(t) {
			continue
		}
		if t.phase == taskReady && t.mayStart() {
			t.expireRefusals(now)
			request := c.placementRequest(t, p, t.avoid)
			if i := placement.ChooseIsolated(workers, request, (now - t.waitingSince).Milliseconds()); i >= 0 {
				c.place(t, sessions[i], t.run+1).runStats.startAt(placement.StartRate(workers[i].Capacity, request))
				workers[i].Capacity = nil
				free--
				continue
			}
		}
		for i, s := range sessions {
			if workers[i].Capacity != nil && len(s.attempts) == 0 && now-s.openedAt < isolationHold {
				s.held, workers[i].Capacity = true, nil
				c.held = append(c.held, s)
				free--
				break
			}
		}
	}
}
