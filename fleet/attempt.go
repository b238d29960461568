package fleet

import (
	"context"
	"log/slog"
	"time"

	"apricotrouter/event"
	"apricotrouter/state"
)

const (
	// startTimeout bounds one call to a worker that answers at once. It covers
	// a lost packet on a link between availability zones.
	startTimeout = time.Second
	// stopRetry is the pause before a stop without an answer is sent again.
	stopRetry = 250 * time.Millisecond
)

// attemptPhase is where a run is, as the leader sees it.
type attemptPhase uint8

const (
	attemptRecording attemptPhase = iota // its start is being committed
	attemptStarting                      // sent to the worker
	attemptRunning
	attemptUnknown  // the outcome of the start is unknown, or found in the state after an election
	attemptStopping // a stop was asked for
	attemptEnded    // its end is being committed, or it is void
)

// attempt is one run of a task on a worker. It holds its room there until it
// is known to have ended.
type attempt struct {
	task    *task
	run     Run
	session *session
	phase   attemptPhase
	// since is when the worker was last known to have decided on the start:
	// a look that began later and does not list the run proves its end.
	since     time.Duration
	stopping  bool // a stop was asked for
	stopped   bool // the worker has answered the stop
	calling   bool // a stop is in flight
	nextStop  time.Duration
	startedAt time.Duration
	adopted   bool // an earlier leader started it
	began     bool // it may have been at work, as far as is known
	ticket    string
	measures  measures
}

func (a *attempt) reserves() state.Resources { return a.task.step.Reserves() }

func (a *attempt) position() TaskPosition { return a.task.position() }

func (t *task) position() TaskPosition {
	return TaskPosition{Workflow: t.flow.spec.ID, Occurrence: t.pos.Occurrence, Step: t.pos.Step, Index: t.pos.Index}
}

// place reserves room for the next run of a task, and records its start.
func (c *Controller) place(t *task, s *session, number uint64) *attempt {
	a := &attempt{
		task: t, session: s, phase: attemptRecording,
		run:      Run{Workflow: t.flow.spec.ID, Task: t.number, Number: number},
		measures: measures{pace: full},
	}
	if t.phase == taskReady {
		t.flow.ready--
	}
	t.phase, t.attempt = taskOnWorker, a
	s.add(a)
	c.journal.starts = append(c.journal.starts, startRecord{a, state.TaskStart{
		Workflow: a.run.Workflow, Task: t.number, Run: number, Worker: s.worker.ID,
	}})
	return a
}

// adopt takes over a started run that an earlier leader recorded.
func (c *Controller) adopt(t *task, worker string) {
	// An earlier leader may have slowed it, which reports don't tell.
	a := &attempt{
		task: t, phase: attemptUnknown, since: c.now(), startedAt: c.now(), adopted: true, began: true,
		run:      Run{Workflow: t.flow.spec.ID, Task: t.number, Number: t.run},
		measures: measures{pace: full, paceUnknown: true},
	}
	t.phase, t.attempt = taskOnWorker, a
	s := c.sessions[worker]
	if s == nil {
		s = c.openForgotten(worker)
	}
	s.add(a)
}

// send starts a recorded run.
func (c *Controller) send(a *attempt) {
	c.call(callStart, func() *workerCall { return c.prepareStart(a) })
}

func (c *Controller) prepareStart(a *attempt) *workerCall {
	if a.phase != attemptRecording {
		return nil
	}
	s := a.session
	if a.stopping || s.gone || a.task.phase != taskOnWorker {
		c.void(a, "stopped before it was sent")
		return nil
	}
	if s.silent && !a.task.step.Gang { // whose other members would wait for this one
		// Its lease is left to end, which a start would extend.
		c.void(a, "its worker was silent before it was sent")
		return nil
	}
	a.phase, a.startedAt = attemptStarting, c.now()
	c.touched[s] = true
	call := StartCall{
		Run: a.run, Position: a.position(), Payload: a.task.flow.spec.Payload, Fence: c.fence,
		Lease: s.extendLease(c), Checkpoint: a.task.checkpoint, Ticket: a.ticket,
	}
	event.Log(c.opts.Logger, event.TaskPlaced, slog.String("workflow", a.run.Workflow), slog.Int("task", a.run.Task),
		slog.Uint64("run", a.run.Number), slog.String("worker", s.worker.ID), slog.Uint64("fence", c.fence),
		slog.String("queue", a.task.flow.queue), slog.String("image", a.task.step.Image), slog.Int64("late_in_ms", a.task.flow.deadline-c.opts.Clock.Now().UnixMilli()),
		slog.Int64("waited_ms", (a.startedAt-a.task.readyAt).Milliseconds()))
	var err error
	return &workerCall{
		timeout: c.starts.timeout(),
		send:    func(ctx context.Context) { err = s.api.Start(ctx, call) },
		done:    func() { c.startAnswered(a, a.startedAt, err) },
	}
}

func (c *Controller) startAnswered(a *attempt, begin time.Duration, err error) {
	s := a.session
	now := c.now()
	c.metrics.start.Observe((now - begin).Seconds())
	if a.phase != attemptStarting {
		return
	}
	if err == nil {
		c.starts.observe(now - begin)
		s.answered(now)
		a.since, a.began = now, true
		a.phase = attemptRunning
		if a.stopping {
			a.phase = attemptStopping
		}
		return
	}
	if never, _ := unsent(err); never {
		event.Log(c.opts.Logger, event.FleetStartRefused, slog.String("workflow", a.run.Workflow),
			slog.Int("task", a.run.Task), slog.Uint64("run", a.run.Number), slog.String("worker", s.worker.ID),
			slog.String("reason", "not-sent"), slog.Any("error", err))
		s.failedCall(c, now, err)
		c.void(a, "its start was not sent")
		return
	}
	reason := refusal(err)
	if reason == 0 {
		c.starts.observe(now - begin) // it took at least that long
		event.Log(c.opts.Logger, event.TaskStartUnknown, slog.String("workflow", a.run.Workflow),
			slog.Int("task", a.run.Task), slog.Uint64("run", a.run.Number), slog.String("worker", s.worker.ID),
			slog.Any("error", err))
		a.phase = attemptUnknown
		s.failedCall(c, now, err)
		c.stop(a, "the outcome of its start is unknown")
		return
	}
	event.Log(c.opts.Logger, event.FleetStartRefused, slog.String("workflow", a.run.Workflow),
		slog.Int("task", a.run.Task), slog.Uint64("run", a.run.Number), slog.String("worker", s.worker.ID),
		slog.String("reason", reason.String()))
	c.metrics.refused(reason)
	switch reason {
	case RefusedRoom:
		s.fullUntil = now + roomPause
	case RefusedUnhealthy:
		s.pauseUntil = now + unhealthyPause
	case RefusedTicket, RefusedInvalid:
		a.task.refusedBy(s.worker.ID, now) // and would be again at once
	case RefusedOtherLife:
		c.loseSession(s, "another life has its address")
		return
	}
	c.void(a, reason.String())
}

// void ends a run that never was or no longer is on its worker.
func (c *Controller) void(a *attempt, reason string) {
	c.end(a, state.OutcomeLost, "", reason)
}

// end records how a run ended. Its room is free at once; its task can start
// again once the end is committed.
func (c *Controller) end(a *attempt, outcome state.TaskOutcome, checkpoint, reason string) {
	if a.phase == attemptEnded {
		return
	}
	a.phase = attemptEnded
	a.session.remove(a)
	c.noteDeparture(a)
	c.dirty = true
	event.Log(c.opts.Logger, event.TaskEnded, slog.String("workflow", a.run.Workflow), slog.Int("task", a.run.Task),
		slog.Uint64("run", a.run.Number), slog.String("worker", a.session.worker.ID), slog.String("reason", reason),
		slog.Int("outcome", int(outcome)), slog.Int64("ran_ms", (c.now()-a.startedAt).Milliseconds()),
		slog.Int64("estimate_ms", a.task.step.EstimateMillis), slog.Int("pace", a.measures.pace))
	switch outcome {
	case state.OutcomeFailed:
		c.avoid(a)
	case state.OutcomeDone:
		a.task.flow.noteDuration(a, c.now())
		if !a.task.step.Gang && !a.task.step.LongRunning && a.task.attempt == a {
			// The entry that records the end precedes or holds the starts that
			// depend on it.
			a.task.ending = true
			c.finish(a.task)
		}
	}
	c.journal.ends = append(c.journal.ends, state.TaskEnd{
		Workflow: a.run.Workflow, Task: a.run.Task, Run: a.run.Number, Outcome: outcome, Checkpoint: checkpoint,
		Void: !a.began,
	})
}

// dropAttempt forgets an attempt that the replicated state does not know.
func (c *Controller) dropAttempt(a *attempt) {
	if a == nil {
		return
	}
	if a.phase != attemptEnded {
		a.phase = attemptEnded
		a.session.remove(a)
	}
	if a.task.attempt == a {
		a.task.attempt = nil
	}
}

// stop asks the worker to end a run. The end comes with a look.
func (c *Controller) stop(a *attempt, reason string) {
	if a.stopping || a.phase == attemptEnded {
		return
	}
	a.stopping = true
	event.Log(c.opts.Logger, event.TaskStopping, slog.String("workflow", a.run.Workflow), slog.Int("task", a.run.Task),
		slog.Uint64("run", a.run.Number), slog.String("worker", a.session.worker.ID), slog.String("reason", reason))
	if a.phase == attemptRecording {
		return // send finds it
	}
	c.sendStop(a)
}

// sendStop repeats a stop until the worker answers or its lease has ended.
func (c *Controller) sendStop(a *attempt) {
	if a.calling || a.stopped || a.phase == attemptEnded || a.session.gone {
		return
	}
	a.calling = true
	call := StopCall{Run: a.run, Position: a.position(), Fence: c.fence}
	s := a.session
	c.call(callStart, func() *workerCall {
		var err error
		return &workerCall{
			timeout: startTimeout,
			send:    func(ctx context.Context) { err = s.api.Stop(ctx, call) },
			done:    func() { c.stopAnswered(a, err) },
		}
	})
}

func (c *Controller) stopAnswered(a *attempt, err error) {
	a.calling = false
	now := c.now()
	if err != nil {
		a.nextStop = now + stopRetry
		if refusal(err) == RefusedOtherLife {
			c.loseSession(a.session, "another life has its address")
		}
		return
	}
	a.session.answered(now)
	c.touched[a.session] = true
	a.stopped, a.since = true, now
	if a.phase != attemptEnded {
		a.phase = attemptStopping
	}
}
