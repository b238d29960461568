package fleet

import (
	"context"
	"log/slog"
	"time"

	"apricotrouter/event"
	"apricotrouter/state"
)

const (
	// startTimeout bounds a worker call whose response does not wait for
	// anything. It covers one lost packet on a link between availability zones.
	startTimeout = time.Second
	// stopRetry is the delay before an unanswered stop is sent again.
	stopRetry = 250 * time.Millisecond
)

// attemptPhase is the phase of a run as seen by the leader.
type attemptPhase uint8

const (
	attemptRecording attemptPhase = iota // start is being committed
	attemptStarting                      // start was sent to the worker
	attemptRunning
	attemptUnknown  // outcome of the start is unknown, or the run was found in the state after an election
	attemptStopping // stop was requested
	attemptEnded    // end is being committed, or the run never started
)

// attempt is one run of a task on a worker. It reserves resources there until
// it is known to have ended.
type attempt struct {
	task    *task
	run     Run
	session *session
	phase   attemptPhase
	// startDecidedAt is when the worker was last known to have decided on the
	// start. If a poll that began later does not list the run, the run has
	// ended.
	startDecidedAt time.Duration
	stopping       bool // stop was requested
	stopAcked      bool // worker has acknowledged the stop
	stopPending    bool // stop call is in flight
	nextStop       time.Duration
	startedAt      time.Duration
	fence          uint64        // of the start; 0 if an earlier leader sent it
	seenAt         time.Duration // last report that lists the run
	report         uint64        // number of the last report that lists the run or its end
	// beside and younger are the numbers of other runs on the worker, and of
	// those that started later, when the worker was lost.
	beside, younger int
	loss            *workerLoss // of the worker, with this run on it
	incarnation     int64       // of the worker, see state.PoolWorker.StartedAt
	crashed         bool        // the worker has crashed
	presumedCrashed bool        // as crashed, but the worker may only have been unreachable
	leaseExpired    bool        // the lease of the worker expired
	suspect         bool        // has to run alone
	besideSuspect   bool        // another run on the worker had to run alone when it was lost
	// separatedFrom is the loss whose other tasks avoid the worker.
	separatedFrom  *workerLoss
	adopted        bool // started by an earlier leader
	mayHaveStarted bool // the run may have started
	startInFlight  bool // the start call has not ended yet
	// startKnown is set if no incarnation can carry the start out any more: it was
	// answered or refused, was never sent, or a report has listed the run.
	startKnown   bool
	sentTo       string        // address of the start; empty if an earlier leader sent it
	startEndedAt time.Duration // when the start call ended
	ticket       string
	runStats     runStats
	// noCopyUntil is the time until which the run is not considered for a copy,
	// because no worker was idle.
	noCopyUntil time.Duration
}

// counted is the size with which the run counts towards the cap of its tenant. A
// best-effort task counts with its declared CPU.
func (t *task) counted() state.Resources { return t.step.Size }

func (a *attempt) reservation() state.Resources { return a.task.step.Reservation() }

// confirmed reports whether the worker is known to have run the attempt.
func (a *attempt) confirmed() bool { return a.mayHaveStarted && !a.adopted || a.seenAt > 0 }

func (a *attempt) position() TaskPosition { return a.task.position() }

func (t *task) position() TaskPosition {
	return TaskPosition{Workflow: t.workflow.spec.ID, Occurrence: t.pos.Occurrence, Step: t.pos.Step, Index: t.pos.Index}
}

// place reserves resources for the next run of a task and records its start.
func (c *Controller) place(t *task, s *session, number uint64) *attempt {
	a := &attempt{
		task: t, session: s, phase: attemptRecording,
		run:         Run{Workflow: t.workflow.spec.ID, Task: t.number, Number: number},
		incarnation: s.worker.StartedAt, runStats: runStats{rate: fullRate, startRate: fullRate},
	}
	if t.phase == taskReady {
		t.workflow.readyTasks--
	}
	t.phase, t.attempt = taskOnWorker, a
	c.recordBegun(t.workflow)
	s.add(a)
	c.usage.Add(t.workflow.spec.Tenant, t.counted())
	c.journal.starts = append(c.journal.starts, startRecord{a, state.TaskStart{
		Workflow: a.run.Workflow, Task: t.number, Run: number, Worker: s.worker.ID, WorkerStartedAt: s.worker.StartedAt,
	}})
	return a
}

// adopt takes over a running task whose start an earlier leader recorded.
func (c *Controller) adopt(t *task, worker string, incarnation int64) {
	// Reports do not include the execution rate, which an earlier leader may
	// have lowered.
	a := &attempt{
		task: t, phase: attemptUnknown, startDecidedAt: c.now(), startedAt: c.now(), adopted: true, mayHaveStarted: true,
		run:         Run{Workflow: t.workflow.spec.ID, Task: t.number, Number: t.run},
		incarnation: incarnation, runStats: runStats{rate: fullRate, startRate: fullRate, rateUnknown: true},
	}
	t.phase, t.attempt = taskOnWorker, a
	s := c.sessions[worker]
	if s == nil {
		s = c.openPlaceholder(worker)
	}
	if s.isPlaceholder() {
		// An earlier leader removed the worker before it could record the end of
		// the run.
		a.presumeCrash(c, s)
	}
	s.add(a)
	c.usage.Add(t.workflow.spec.Tenant, t.counted())
}

// sendStart sends the start of a recorded run.
func (c *Controller) sendStart(a *attempt) {
	c.call(callStart, func() *workerCall { return c.prepareStart(a) })
}

func (c *Controller) prepareStart(a *attempt) *workerCall {
	if a.phase != attemptRecording {
		return nil
	}
	s := a.session
	if a.stopping || s.closed || a.task.phase != taskOnWorker {
		c.endAsLost(a, "stopped before it was sent")
		return nil
	}
	if s.unresponsive && !a.task.step.Gang { // the other members of a gang would wait for this one
		// The lease of an unresponsive worker must expire; a start would extend
		// it.
		c.endAsLost(a, "its worker was silent before it was sent")
		return nil
	}
	if s.overcommittedBy(a) && !a.task.step.Gang {
		c.endAsLost(a, "the capacity of its worker shrank before it was sent")
		return nil
	}
	if c.usage.Exceeded(a.task.workflow.spec.Tenant) && !a.task.step.Gang {
		c.endAsLost(a, "the cap of its tenant was lowered before it was sent")
		return nil
	}
	a.phase, a.startedAt, a.fence, a.startInFlight = attemptStarting, c.now(), s.fence, true
	a.sentTo = s.worker.Address
	c.pollDue[s] = true
	call := StartCall{
		Run: a.run, Position: a.position(), Payload: a.task.workflow.spec.Payload, Fence: a.fence,
		Lease: s.extendLease(c), Checkpoint: a.task.checkpoint, Ticket: a.ticket,
	}
	event.Log(c.opts.Logger, event.TaskPlaced, slog.String("workflow", a.run.Workflow), slog.Int("task", a.run.Task),
		slog.Uint64("run", a.run.Number), slog.String("worker", s.worker.ID), slog.Uint64("fence", a.fence),
		slog.String("queue", a.task.workflow.queue), slog.String("image", a.task.step.Image), slog.Int64("late_in_ms", a.task.workflow.deadline-c.opts.Clock.Now().UnixMilli()),
		slog.Int64("waited_ms", (a.startedAt-a.task.waitingSince).Milliseconds()), slog.Int("pace", a.runStats.rate))
	var err error
	return &workerCall{
		timeout: c.startRoundTrip.timeout(),
		send:    func(ctx context.Context) { err = s.api.Start(ctx, call) },
		done:    func() { c.handleStartResponse(a, a.startedAt, err) },
	}
}

func (c *Controller) handleStartResponse(a *attempt, begin time.Duration, err error) {
	s := a.session
	now := c.now()
	a.startInFlight, a.startEndedAt = false, now
	c.metrics.start.Observe((now - begin).Seconds())
	if a.phase != attemptStarting {
		c.handleLateStartResponse(a, now-begin, err)
		return
	}
	if s.closed {
		c.logLateStart(a, now-begin, err)
		c.endAfterLoss(a, err)
		return
	}
	if err == nil {
		c.startRoundTrip.observe(now - begin)
		s.markResponsive(c)
		c.startAnswered(a)
		a.startDecidedAt, a.mayHaveStarted, a.task.workflow.begun = now, true, true
		a.phase = attemptRunning
		if a.stopping {
			a.phase = attemptStopping
		}
		c.sendStartRate(a)
		return
	}
	if neverSent, _ := unsent(err); neverSent {
		event.Log(c.opts.Logger, event.FleetStartRefused, slog.String("workflow", a.run.Workflow),
			slog.Int("task", a.run.Task), slog.Uint64("run", a.run.Number), slog.String("worker", s.worker.ID),
			slog.String("reason", "not-sent"), slog.Any("error", err))
		s.recordCallFailure(c, now, err)
		a.startKnown = true
		c.endAsLost(a, "its start was not sent")
		return
	}
	reason := refusal(err)
	if reason == 0 {
		c.startRoundTrip.observe(now - begin) // lower bound of the round trip
		event.Log(c.opts.Logger, event.TaskStartUnknown, slog.String("workflow", a.run.Workflow),
			slog.Int("task", a.run.Task), slog.Uint64("run", a.run.Number), slog.String("worker", s.worker.ID),
			slog.Any("error", err))
		a.phase = attemptUnknown
		s.recordCallFailure(c, now, err)
		c.stop(a, "the outcome of its start is unknown")
		return
	}
	event.Log(c.opts.Logger, event.FleetStartRefused, slog.String("workflow", a.run.Workflow),
		slog.Int("task", a.run.Task), slog.Uint64("run", a.run.Number), slog.String("worker", s.worker.ID),
		slog.String("reason", reason.String()))
	c.metrics.countRefusal(reason)
	a.startKnown = true
	c.endAsLost(a, reason.String()) // before its worker is known to have crashed
	switch reason {
	case RefusedCapacity:
		s.fullUntil = now + fullPause
	case RefusedUnhealthy:
		s.pausedUntil = now + unhealthyPause
	case RefusedTicket, RefusedInvalid:
		a.task.recordRefusal(s.worker.ID, now) // an immediate retry would be refused again
	case RefusedOtherIncarnation:
		c.replaced(s)
	}
}

// handleLateStartResponse handles the response to a start whose run was resolved,
// or taken over by a later incarnation of the worker, while the call was in
// flight. A call that was not sent or was refused ends the run without a crash.
func (c *Controller) handleLateStartResponse(a *attempt, inFlight time.Duration, err error) {
	if err == nil && a.mayHaveStarted {
		return // a report has listed the run before the response arrived
	}
	c.logLateStart(a, inFlight, err)
	neverSent, _ := unsent(err)
	noEffect := neverSent || refusal(err) != 0
	if noEffect {
		c.startResolved(a)
	}
	if a.phase != attemptUnknown {
		return
	}
	c.pollDue[a.session] = true
	switch {
	case err == nil:
		c.startAnswered(a)
		a.mayHaveStarted, a.task.workflow.begun = true, true
	case noEffect:
		a.crashed = false
		c.endAsLost(a, "its start had no effect: "+startOutcome(err))
	}
}

// endAfterLoss ends a run whose worker was lost while its start was in flight.
func (c *Controller) endAfterLoss(a *attempt, err error) {
	neverSent, _ := unsent(err)
	switch {
	case err == nil:
		c.startAnswered(a)
		a.mayHaveStarted, a.task.workflow.begun = true, true
	case neverSent || refusal(err) != 0:
		a.startKnown, a.crashed = true, false
	}
	c.endAsLost(a, "its worker was lost while its start was in flight: "+startOutcome(err))
	c.closeCalls(a.session)
}

func (c *Controller) logLateStart(a *attempt, inFlight time.Duration, err error) {
	outcome := startOutcome(err)
	c.metrics.lateStarts.WithLabelValues(outcome).Inc()
	event.Log(c.opts.Logger, event.TaskStartAnsweredLate, slog.String("workflow", a.run.Workflow), slog.Int("task", a.run.Task),
		slog.Uint64("run", a.run.Number), slog.String("worker", a.session.worker.ID), slog.String("outcome", outcome),
		slog.Bool("ended", a.phase == attemptEnded), slog.Int64("in_flight_ms", inFlight.Milliseconds()), slog.Any("error", err))
}

// startOutcome returns what became of a start, as in logs.
func startOutcome(err error) string {
	if err == nil {
		return "started"
	}
	if neverSent, _ := unsent(err); neverSent {
		return "not-sent"
	}
	if reason := refusal(err); reason != 0 {
		return reason.String()
	}
	return "unknown"
}

// endAsLost ends a run that never started or is no longer on its worker.
func (c *Controller) endAsLost(a *attempt, reason string) {
	c.endAttempt(a, state.OutcomeLost, "", reason)
}

// endAttempt records how a run ended. Its resources are free at once; its task
// can start again once the end is committed.
func (c *Controller) endAttempt(a *attempt, outcome state.TaskOutcome, checkpoint, reason string) {
	if a.phase == attemptEnded {
		return
	}
	sent := a.phase != attemptRecording
	a.phase = attemptEnded
	a.session.remove(a)
	a.task.workflow.lastEndAt = c.now()
	c.usage.Remove(a.task.workflow.spec.Tenant, a.task.counted())
	c.recordExit(a)
	c.dirty = true
	event.Log(c.opts.Logger, event.TaskEnded, slog.String("workflow", a.run.Workflow), slog.Int("task", a.run.Task),
		slog.Uint64("run", a.run.Number), slog.String("worker", a.session.worker.ID), slog.String("reason", reason),
		slog.Int("outcome", int(outcome)), slog.Int64("ran_ms", (c.now()-a.startedAt).Milliseconds()),
		slog.Int64("estimate_ms", a.task.step.EstimateMillis), slog.Int("pace", a.runStats.rate),
		slog.Int64("seen_ms", max(0, a.seenAt-a.startedAt).Milliseconds()), slog.Int64("silent_ms", a.session.sinceLoss(c.now()).Milliseconds()),
		slog.Int("beside", a.beside), slog.Int("younger", a.younger))
	switch outcome {
	case state.OutcomeFailed:
		c.avoid(a)
		c.reserveAfterFailure(a)
	case state.OutcomeDone:
		c.recordRunTime(a)
		c.recordCompleted(a.task)
		c.recordCopyEnd(a)
		if !a.task.step.Gang && !a.task.step.LongRunning && a.task.attempt == a {
			// Starts that depend on this end are recorded in the same log entry
			// or a later one.
			a.task.endPending = true
			c.markDone(a.task)
		}
	}
	end := state.TaskEnd{
		Workflow: a.run.Workflow, Task: a.run.Task, Run: a.run.Number, Outcome: outcome, Checkpoint: checkpoint,
		NotStarted: !a.mayHaveStarted, LeaseExpired: a.leaseExpired && outcome == state.OutcomeLost,
		Unanswered: sent && outcome == state.OutcomeLost && c.confineUnanswered(a),
	}
	if a.crashed && outcome == state.OutcomeLost && (a.task.attempt == a || a.task.original == a) && a.task.phase != taskDone {
		c.judgeCrash(a, &end)
	}
	c.journal.ends = append(c.journal.ends, end)
	if a.task.original == a {
		a.task.original = nil
	}
}

// dropAttempt discards an attempt that is not in the replicated state.
func (c *Controller) dropAttempt(a *attempt) {
	if a == nil {
		return
	}
	if a.phase != attemptEnded {
		a.phase = attemptEnded
		a.session.remove(a)
		c.usage.Remove(a.task.workflow.spec.Tenant, a.task.counted())
	}
	if a.task.attempt == a {
		a.task.attempt = nil
	}
}

// stop requests the end of a run. A later poll reports the end.
func (c *Controller) stop(a *attempt, reason string) {
	if a.stopping || a.phase == attemptEnded {
		return
	}
	a.stopping = true
	event.Log(c.opts.Logger, event.TaskStopping, slog.String("workflow", a.run.Workflow), slog.Int("task", a.run.Task),
		slog.Uint64("run", a.run.Number), slog.String("worker", a.session.worker.ID), slog.String("reason", reason))
	if a.phase == attemptRecording {
		return // sendStart checks stopping
	}
	c.sendStop(a)
}

// sendStop sends a stop unless one is in flight or acknowledged. checkTimeouts
// repeats it until the worker responds or its lease has expired.
func (c *Controller) sendStop(a *attempt) {
	if a.stopPending || a.stopAcked || a.phase == attemptEnded || a.session.closed {
		return
	}
	a.stopPending = true
	s := a.session
	call := StopCall{Run: a.run, Position: a.position(), Fence: s.fence}
	c.call(callStart, func() *workerCall {
		var err error
		return &workerCall{
			timeout: startTimeout,
			send:    func(ctx context.Context) { err = s.api.Stop(ctx, call) },
			done:    func() { c.handleStopResponse(a, s, err) },
		}
	})
}

func (c *Controller) handleStopResponse(a *attempt, s *session, err error) {
	a.stopPending = false
	if a.session != s {
		return // the next incarnation does not know of the stop
	}
	now := c.now()
	if err != nil {
		a.nextStop = now + stopRetry
		if refusal(err) == RefusedOtherIncarnation {
			c.replaced(s)
		}
		return
	}
	s.markResponsive(c)
	c.pollDue[s] = true
	a.stopAcked, a.startDecidedAt = true, now
	if a.phase != attemptEnded {
		a.phase = attemptStopping
	}
}
