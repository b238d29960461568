package fleet

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"apricotrouter/event"
	"apricotrouter/placement"
	"apricotrouter/state"
)

const (
	// pollWait is how long the response to a poll waits for a run to end. It
	// allows several polls within one lease.
	pollWait = time.Second
	// pollsPerLease is the minimum number of polls within one lease, so that
	// the lease survives a failed poll.
	pollsPerLease = 4
	// ratePollWait replaces pollWait where best-effort tasks may interfere with
	// serving tasks. It is about as long as the window of the measurements.
	ratePollWait = 700 * time.Millisecond
	// pollRetry is the delay before an unanswered poll is repeated.
	pollRetry = 200 * time.Millisecond
	// minPollGap is the minimum delay between polls of one worker, so that runs
	// that end at nearly the same time are reported together.
	minPollGap = 20 * time.Millisecond
	// heldPollGap replaces minPollGap while ends are held: a worker answers a poll
	// at once if it has ends that are not acknowledged.
	heldPollGap = 100 * time.Millisecond
	// maxReportedEnds is the maximum number of ended runs in one response to a
	// poll.
	maxReportedEnds = 500
)

// poll sends a poll if one is needed and due.
func (c *Controller) poll(s *session) {
	now := c.now()
	needed := !s.polled || s.unresponsive || len(s.attempts) > 0 || len(s.unknownRuns) > 0 || s.ackUnsent || len(s.heldEnds) > 0
	if s.closed || s.polling || s.endsPending || !needed || now < s.nextPoll {
		return
	}
	s.polling = true
	c.call(callPoll, func() *workerCall { return c.preparePoll(s) })
}

func (c *Controller) preparePoll(s *session) *workerCall {
	if s.closed {
		return nil
	}
	begin := c.now()
	call := PollCall{Fence: s.fence, Acknowledged: s.ackedEnd, WaitMillis: c.pollWait(s).Milliseconds()}
	// The lease of an unresponsive worker must expire so that its runs can be
	// given up. A poll whose response is lost must not extend it.
	if s.polled && !s.unresponsive {
		call.Lease = s.extendLease(c)
	}
	var report *Report
	var err error
	return &workerCall{
		timeout: startTimeout + time.Duration(call.WaitMillis)*time.Millisecond,
		send:    func(ctx context.Context) { report, err = s.api.Poll(ctx, call) },
		done:    func() { c.handlePollResponse(s, begin, call, report, err) },
	}
}

// pollWait returns how long the response may wait for a run to end. It is 0 if
// the response itself decides about a run. If there are more workers than polls
// may be in flight, the wait of each is shorter, so that every worker is polled
// in time.
func (c *Controller) pollWait(s *session) time.Duration {
	if !s.polled || len(s.attempts) == 0 {
		return 0
	}
	serving, bestEffort := false, false
	for _, a := range s.attempts {
		if a.phase == attemptUnknown || a.stopAcked && a.startDecidedAt > s.lastPoll {
			return 0
		}
		serving = serving || a.task.step.LongRunning && a.task.step.TailMillis > 0
		bestEffort = bestEffort || a.task.step.BestEffort
	}
	wait := pollWait
	if serving && bestEffort {
		wait = ratePollWait
	}
	wait = min(wait, c.opts.Limits.MaxLease/pollsPerLease)
	if maxInFlight := c.calls.maxInFlight(callPoll); c.calls.limit > 0 && len(c.sessions) > maxInFlight {
		wait = wait * time.Duration(maxInFlight) / time.Duration(len(c.sessions))
	}
	return wait
}

// handlePollResponse applies the response to a poll. begin is when the poll was
// sent.
func (c *Controller) handlePollResponse(s *session, begin time.Duration, call PollCall, r *Report, err error) {
	s.polling = false
	c.pollDue[s] = true
	if s.closed {
		return
	}
	now := c.now()
	c.metrics.polls.Inc()
	if err != nil {
		switch refusal(err) {
		case RefusedOtherIncarnation:
			c.replaced(s)
		case RefusedFence:
			c.deactivate("a worker has seen a higher fence")
		default:
			s.recordCallFailure(c, now, err)
		}
		return
	}
	if r.StartedAt != 0 && r.StartedAt != s.worker.StartedAt {
		// The session of the later incarnation, opened by its heartbeat,
		// resolves the runs.
		s.recordCallFailure(c, now, errOtherIncarnation)
		return
	}
	s.markResponsive(c)
	c.resolveExpired(s.expired)
	s.expired = nil
	s.nextPoll = now + minPollGap
	s.lastPoll = begin
	s.clock, s.clockReadAt = r.Clock, now
	if call.Acknowledged == s.ackedEnd {
		s.ackUnsent = false
	}
	c.applyReport(s, begin, r)
	if len(s.heldEnds) > 0 {
		s.nextPoll = now + heldPollGap
	}
	c.observeWorker(s)
	c.moveStragglers(s)
	s.resourcesValid = false
	if !s.polled {
		s.polled = true
		c.dirty = true
	}
}

// errOtherIncarnation is the cause of a failed poll whose response came from a
// later incarnation of the worker.
var errOtherIncarnation = errors.New("a later incarnation of the worker answered")

// applyReport reconciles the attempts on the worker with a report.
func (c *Controller) applyReport(s *session, begin time.Duration, r *Report) {
	c.checkEnds(s, r)
	c.reports++
	s.report = c.reports
	for _, e := range r.Ended {
		c.applyEnd(s, e)
	}
	for i := range r.Running {
		c.applyRunning(s, &r.Running[i])
	}
	if lastEnd := s.acknowledgeable(c.now()); lastEnd > s.ackedEnd {
		s.endsPending = true
		c.journal.onCommit = append(c.journal.onCommit, func() {
			s.ackedEnd, s.endsPending, s.ackUnsent = max(s.ackedEnd, lastEnd), false, true
			c.pollDue[s] = true
		})
	}
	c.forgetUnknownRuns(s, r.unknown(s))
	if len(r.Ended) >= maxReportedEnds {
		return
	}
	for _, a := range s.attempts {
		if a.report != s.report && a.startDecided() && a.startDecidedAt < begin {
			// The worker of an adopted run was replaced under an earlier leader.
			a.crashed = a.crashed || a.adopted && a.incarnation != 0 && s.worker.StartedAt > a.incarnation
			c.endAsLost(a, "not on the worker")
		}
	}
}

// unknown returns the runs of a report that may be unknown; nil if no run of the
// worker is.
func (r *Report) unknown(s *session) map[runKey]bool {
	if len(s.unknownRuns) == 0 {
		return nil
	}
	runs := make(map[runKey]bool, len(r.Running)+len(r.Ended))
	for _, e := range r.Ended {
		runs[runKey{e.Position, e.Number}] = true
	}
	for i := range r.Running {
		runs[runKey{r.Running[i].Position, r.Running[i].Number}] = true
	}
	return runs
}

// startDecided reports whether the worker has carried out the start or never
// will.
func (a *attempt) startDecided() bool {
	if a.phase == attemptRunning || a.stopAcked {
		return true
	}
	// A worker that has seen the fence of its session refuses starts with a lower
	// one. The outcome of a call that is still in flight tells whether it was
	// sent.
	return a.phase == attemptUnknown && a.fence < a.session.fence && !a.startInFlight
}

// checkEnds logs if an incarnation has discarded ends before they were read. The
// numbers of its ends begin at 1.
func (c *Controller) checkEnds(s *session, r *Report) {
	if !s.unread || s.lastEnd > 0 || len(r.Ended) == 0 {
		return
	}
	s.unread = false
	if first := r.Ended[0].Sequence; first > 1 {
		c.metrics.missingEnds.Add(float64(first - 1))
		event.Log(c.opts.Logger, event.WorkerEndsMissing, slog.String("worker", s.worker.ID), slog.Int64("born", s.worker.StartedAt),
			slog.Uint64("first", first))
	}
}

// applyEnd records an ended run from a report.
func (c *Controller) applyEnd(s *session, e RunEnd) {
	a := s.attempts[runKey{e.Position, e.Number}]
	if a != nil {
		a.report = s.report
	}
	if e.Sequence <= s.lastEnd {
		return
	}
	s.lastEnd = e.Sequence
	outcome := state.OutcomeLost
	switch e.Kind {
	case EndDone:
		outcome = state.OutcomeDone
	case EndFailed:
		outcome = state.OutcomeFailed
	}
	if a != nil {
		if outcome != state.OutcomeLost {
			s.failures.record(c, s, a, outcome == state.OutcomeFailed)
		}
		c.listed(a)
		c.endAttempt(a, outcome, e.Checkpoint, e.Kind.String())
		if outcome != state.OutcomeLost {
			c.holdEnd(s, a.task, e.Sequence)
		}
		return
	}
	f := c.workflows[e.Position.Workflow]
	if f == nil || !f.hasTask(e.Position) {
		return
	}
	if outcome != state.OutcomeLost {
		c.holdEnd(s, f.tasks[f.index(e.Position)], e.Sequence)
	}
	c.journal.ends = append(c.journal.ends, state.TaskEnd{
		Workflow: e.Position.Workflow, Task: f.index(e.Position), Run: e.Number,
		Outcome: outcome, Checkpoint: e.Checkpoint,
	})
}

var endNames = [...]string{"", "done", "failed", "stopped", "lease ended", "gang broken", "gang alone"}

// String returns the kind of end as in logs.
func (k EndKind) String() string { return endNames[k] }

// hasTask reports whether the workflow has a task at the position.
func (f *workflow) hasTask(p TaskPosition) bool {
	return p.Occurrence >= 0 && p.Occurrence < len(f.openTasks) && p.Step >= 0 && p.Step < len(f.spec.Steps) &&
		p.Index >= 0 && p.Index < f.spec.Steps[p.Step].Count
}

// index returns the index in tasks of the task at the position.
func (f *workflow) index(p TaskPosition) int { return f.spec.FirstTask(p.Occurrence, p.Step) + p.Index }

// listed records that a report of the worker lists the run or its end, so that it
// was not lost with an earlier incarnation.
func (c *Controller) listed(a *attempt) {
	s := a.session
	c.startAnswered(a)
	a.mayHaveStarted, a.task.workflow.begun = true, true
	a.incarnation, a.crashed = s.worker.StartedAt, false
	if a.loss != nil && a.loss.session != s {
		a.loss = nil
	}
}

// applyRunning matches a reported run with its attempt. An unknown run is
// stopped.
func (c *Controller) applyRunning(s *session, r *RunStatus) {
	k := runKey{r.Position, r.Number}
	if a := s.attempts[k]; a != nil {
		a.seenAt, a.report = c.now(), s.report
		c.listed(a)
		if a.suspect && placement.Settled(a.workedFor().Milliseconds()) {
			s.markSuspect(a, false)
			c.dirty = true
		}
		if a.phase == attemptUnknown && !a.stopping || a.phase == attemptStarting {
			a.phase = attemptRunning
			c.sendStartRate(a)
		}
		if a.stopping && a.phase != attemptStarting {
			c.sendStop(a)
		}
		c.recordStatus(a, r)
		return
	}
	u, known := s.unknownRuns[k]
	if known && c.now()-u.stoppedAt < stopRetry {
		return
	}
	if !known {
		u = c.countUnknownRun(r.Position)
	}
	u.stoppedAt = c.now()
	s.unknownRuns[k] = u
	event.Log(c.opts.Logger, event.TaskStopping, slog.String("workflow", r.Position.Workflow),
		slog.Int("step", r.Position.Step), slog.Int("index", r.Position.Index), slog.Uint64("run", r.Number),
		slog.String("worker", s.worker.ID), slog.String("reason", "no record of this run"))
	call := StopCall{Run: Run{Workflow: r.Position.Workflow, Number: r.Number}, Position: r.Position, Fence: s.fence}
	c.call(callStart, func() *workerCall {
		return &workerCall{
			timeout: startTimeout,
			// The next poll shows whether the run has ended; if not, the stop
			// is repeated.
			send: func(ctx context.Context) { _ = s.api.Stop(ctx, call) },
			done: func() {},
		}
	})
}
