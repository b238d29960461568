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
	// fullPause is how long a worker that refused a start for lack of capacity,
	// although it should have had enough, gets no more tasks.
	fullPause = 300 * time.Millisecond
	// unhealthyPause is how long a worker that refuses all starts gets no more
	// tasks.
	unhealthyPause = 2 * time.Second
	// leaseClockFactor covers worker clocks that are 2% slow.
	// leaseDeliveryAllowance covers the delivery of the last extension to the
	// worker.
	leaseClockFactor       = 1.05
	leaseDeliveryAllowance = 500 * time.Millisecond
	// leaveGrace is how long a worker may take to shut down after its leave
	// notice.
	leaveGrace = 500 * time.Millisecond
	// maxMissedHeartbeats is the number of heartbeat intervals without a
	// heartbeat after which a worker gets no more tasks.
	maxMissedHeartbeats = 4
	// removeAfterHeartbeats is the number of heartbeat intervals without a
	// heartbeat after which an unresponsive worker without runs is removed.
	removeAfterHeartbeats = 15
	// maxReportedEnds is the maximum number of ended runs in one response to a
	// poll.
	maxReportedEnds = 500
)

// runKey identifies a run on a worker.
type runKey struct {
	TaskPosition
	number uint64
}

// session is the leader's view of one incarnation of a worker.
type session struct {
	worker         state.PoolWorker
	api            Worker
	attempts       map[runKey]*attempt
	reserved       state.Resources
	resources      placement.WorkerCapacity // as of the last placement pass
	resourcesValid bool                     // resources is up to date
	unknownRuns    map[runKey]time.Duration // runs without a record, with the time of the last stop sent

	polled       bool // polled in this term, so that all its runs are known
	closed       bool
	polling      bool
	endsPending  bool // ended runs are being committed
	nextPoll     time.Duration
	lastPoll     time.Duration // when the last poll with a response began
	unresponsive bool
	loss         *workerLoss   // set while the worker is unresponsive
	expired      []*attempt    // runs that were given up when the lease expired
	openedAt     time.Duration // when the session was opened
	suspects     int           // runs of tasks that have to run alone
	held         bool          // kept for a task that has to run alone
	unsaved      bool          // the last change of the worker's registration was not committed
	leaseEnd     time.Duration // when its lease has expired unless it is extended

	clock       int64         // last reading of the worker's clock, in milliseconds
	clockReadAt time.Duration // when the reading arrived

	ackedEnd          uint64 // last end that the worker may discard
	lastEnd           uint64 // last end that is committed or being committed
	ackUnsent         bool   // the worker does not have the current ackedEnd yet
	heartbeatSequence uint64 // of the last heartbeat
	lastHeartbeat     time.Duration
	drainDeadline     time.Duration // when a draining worker may shut down
	leaveNoticeAt     time.Duration // when the worker's leave notice arrived
	removeAt          time.Duration // when a worker that gave a leave notice is removed; 0 without notice
	fullUntil         time.Duration
	// pausedUntil excludes the worker from placement for reasons other than a
	// lack of capacity.
	pausedUntil time.Duration
	failures    failureStreak
	recentExits []recentExit
}

func newSession(w state.PoolWorker, api Worker) *session {
	return &session{
		worker: w, api: api, attempts: make(map[runKey]*attempt), unknownRuns: make(map[runKey]time.Duration),
	}
}

// openSession opens the session of a worker. Fresh means that no earlier leader
// knew the worker, so that nothing runs on it.
func (c *Controller) openSession(w state.PoolWorker, fresh bool) *session {
	s := newSession(w, c.opts.Dial(w))
	now := c.now()
	s.polled, s.lastHeartbeat, s.openedAt = fresh, now, now
	s.leaseEnd = now + c.leaseBound()
	c.sessions[w.ID], c.sorted = s, nil
	c.dirty = true
	return s
}

// openPlaceholder opens a session for a worker that is no longer registered but
// may have runs until its lease has expired.
func (c *Controller) openPlaceholder(id string) *session {
	s := newSession(state.PoolWorker{ID: id}, unreachableWorker{})
	s.unresponsive = true
	s.leaseEnd = c.now() + c.leaseBound()
	c.sessions[id], c.sorted = s, nil
	return s
}

// leaseBound returns the time after its last extension when a lease has expired
// for certain.
func (c *Controller) leaseBound() time.Duration {
	return time.Duration(float64(c.opts.Limits.MaxLease)*leaseClockFactor) + leaseDeliveryAllowance
}

func (s *session) key(a *attempt) runKey { return runKey{a.position(), a.run.Number} }

func (s *session) add(a *attempt) {
	a.session = s
	s.attempts[s.key(a)] = a
	s.reserved = s.reserved.Add(a.reservation())
	s.resourcesValid = false
	s.markSuspect(a, a.task.evidence.NeedsIsolation())
	if l := a.task.lostWith; l != nil {
		a.separatedFrom = l
		l.restarted[s.worker.ID]++
	}
}

func (s *session) remove(a *attempt) {
	if s.attempts[s.key(a)] == a {
		delete(s.attempts, s.key(a))
		s.reserved = s.reserved.Sub(a.reservation())
		s.resourcesValid = false
		s.markSuspect(a, false)
		if l := a.separatedFrom; l != nil {
			a.separatedFrom = nil
			l.restarted[s.worker.ID]--
		}
	}
}

// free returns the unreserved resources.
func (s *session) free() state.Resources { return s.worker.Capacity.Sub(s.reserved) }

// overcommittedBy reports whether more than the worker's capacity is reserved
// of a resource that the run uses.
func (s *session) overcommittedBy(a *attempt) bool {
	free, size := s.free(), a.reservation()
	return free.MilliCPU < 0 && size.MilliCPU > 0 || free.MemoryMiB < 0 && size.MemoryMiB > 0 ||
		free.Accelerators < 0 && size.Accelerators > 0
}

// clockNow returns an estimate of the current reading of the worker's clock.
func (s *session) clockNow(now time.Duration) int64 {
	return s.clock + (now - s.clockReadAt).Milliseconds()
}

// extendLease returns the lease for a call that is sent now, and updates
// leaseEnd.
func (s *session) extendLease(c *Controller) int64 {
	now := c.now()
	s.leaseEnd = now + c.leaseBound()
	return s.clockNow(now) + c.opts.Limits.MaxLease.Milliseconds()
}

// markResponsive records that the worker responds. Waiting tasks may be placed
// on a worker that responds again.
func (s *session) markResponsive(c *Controller) {
	if !s.unresponsive {
		return
	}
	s.unresponsive = false
	c.forgetLoss(s)
	c.dirty = true
	event.Log(c.opts.Logger, event.WorkerResponsive, slog.String("worker", s.worker.ID))
}

// recordCallFailure records a call without a response. A call that failed
// locally does not indicate a fault of the worker.
func (s *session) recordCallFailure(c *Controller, now time.Duration, err error) {
	s.nextPoll = now + pollRetry
	if _, local := unsent(err); local {
		c.metrics.unsent.Inc()
		c.logUnsent(s, now, err)
		return
	}
	if s.unresponsive {
		return
	}
	s.unresponsive = true
	c.recordLoss(s, now, err)
	event.Log(c.opts.Logger, event.WorkerUnresponsive, slog.String("worker", s.worker.ID),
		slog.Int("runs", len(s.attempts)), slog.Int64("lease_left_ms", (s.leaseEnd-now).Milliseconds()), slog.Any("error", err))
}

// unsentLogInterval is the minimum interval between log entries about calls
// that failed locally. A lack of file descriptors makes thousands of calls fail
// per second.
const unsentLogInterval = time.Second

// logUnsent logs that calls to workers fail locally.
func (c *Controller) logUnsent(s *session, now time.Duration, err error) {
	c.unsentCalls++
	if now < c.nextUnsentLog {
		return
	}
	event.Log(c.opts.Logger, event.WorkerCallNotSent, slog.String("worker", s.worker.ID), slog.Int("calls", c.unsentCalls), slog.Any("error", err))
	c.unsentCalls, c.nextUnsentLog = 0, now+unsentLogInterval
}

// usable reports whether any task may be placed on the worker.
func (s *session) usable(c *Controller, now time.Duration) bool {
	return s.suspects == 0 && !s.held && s.accepts(c, now)
}

// accepts reports whether the worker is in a condition to run further tasks.
func (s *session) accepts(c *Controller, now time.Duration) bool {
	late := now-s.lastHeartbeat > maxMissedHeartbeats*c.opts.Limits.Heartbeat
	return s.polled && !s.closed && !s.unresponsive && !s.worker.Draining && s.removeAt == 0 && !late &&
		now >= s.pausedUntil && now >= s.fullUntil && len(s.unknownRuns) == 0
}

// poll sends a poll if one is needed and due.
func (c *Controller) poll(s *session) {
	now := c.now()
	needed := !s.polled || s.unresponsive || len(s.attempts) > 0 || len(s.unknownRuns) > 0 || s.ackUnsent
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
	call := PollCall{Fence: c.fence, Acknowledged: s.ackedEnd, WaitMillis: c.pollWait(s).Milliseconds()}
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
			c.crashed(s, "another life has its address")
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
	c.observeWorker(s)
	c.moveStragglers(s)
	s.resourcesValid = false
	if !s.polled {
		s.polled = true
		c.dirty = true
	}
}

// applyReport reconciles the attempts on the worker with a report.
func (c *Controller) applyReport(s *session, begin time.Duration, r *Report) {
	seen := make(map[runKey]bool, len(r.Running)+len(r.Ended))
	for _, e := range r.Ended {
		seen[runKey{e.Position, e.Number}] = true
		c.applyEnd(s, e)
	}
	for i := range r.Running {
		seen[runKey{r.Running[i].Position, r.Running[i].Number}] = true
		c.applyRunning(s, &r.Running[i])
	}
	if s.lastEnd > s.ackedEnd {
		s.endsPending = true
		lastEnd := s.lastEnd
		c.journal.onCommit = append(c.journal.onCommit, func() {
			s.ackedEnd, s.endsPending, s.ackUnsent = max(s.ackedEnd, lastEnd), false, true
			c.pollDue[s] = true
		})
	}
	for k := range s.unknownRuns {
		if !seen[k] {
			delete(s.unknownRuns, k)
			c.dirty = true
		}
	}
	if len(r.Ended) >= maxReportedEnds {
		return
	}
	for k, a := range s.attempts {
		startDecided := a.phase == attemptRunning || a.phase == attemptUnknown && !a.stopping || a.stopAcked
		if !seen[k] && startDecided && a.startDecidedAt < begin {
			// The run was on an earlier incarnation, which has crashed.
			a.crashed = a.crashed || a.incarnation != 0 && s.worker.StartedAt > a.incarnation
			c.endAsLost(a, "not on the worker")
		}
	}
}

// applyEnd records an ended run from a report.
func (c *Controller) applyEnd(s *session, e RunEnd) {
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
	if a := s.attempts[runKey{e.Position, e.Number}]; a != nil {
		if outcome != state.OutcomeLost {
			s.failures.record(c, s, a, outcome == state.OutcomeFailed)
		}
		a.mayHaveStarted, a.task.workflow.begun = true, true
		c.endAttempt(a, outcome, e.Checkpoint, e.Kind.String())
		return
	}
	f := c.workflows[e.Position.Workflow]
	if f == nil || !f.hasTask(e.Position) {
		return
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

// applyRunning matches a reported run with its attempt. An unknown run is
// stopped.
func (c *Controller) applyRunning(s *session, r *RunStatus) {
	k := runKey{r.Position, r.Number}
	if a := s.attempts[k]; a != nil {
		a.mayHaveStarted, a.seenAt, a.incarnation = true, c.now(), s.worker.StartedAt
		a.task.workflow.begun = true
		if a.suspect && placement.Settled(a.workedFor().Milliseconds()) {
			s.markSuspect(a, false)
			c.dirty = true
		}
		if a.phase == attemptUnknown && !a.stopping || a.phase == attemptStarting {
			a.phase = attemptRunning
		}
		if a.stopping && a.phase != attemptStarting {
			c.sendStop(a)
		}
		c.recordStatus(a, r)
		return
	}
	if lastStop, ok := s.unknownRuns[k]; ok && c.now()-lastStop < stopRetry {
		return
	}
	s.unknownRuns[k] = c.now()
	event.Log(c.opts.Logger, event.TaskStopping, slog.String("workflow", r.Position.Workflow),
		slog.Int("step", r.Position.Step), slog.Int("index", r.Position.Index), slog.Uint64("run", r.Number),
		slog.String("worker", s.worker.ID), slog.String("reason", "no record of this run"))
	call := StopCall{Run: Run{Workflow: r.Position.Workflow, Number: r.Number}, Position: r.Position, Fence: c.fence}
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

// checkTimeouts handles the timeouts of a session.
func (c *Controller) checkTimeouts(s *session, now time.Duration) {
	switch {
	case s.closed:
		return
	case s.removeAt != 0 && now >= s.removeAt:
		c.completeLeave(s)
		return
	case s.unresponsive && now >= s.leaseEnd:
		c.leaseExpired(s, now)
		return
	}
	for _, a := range s.attempts {
		if a.stopping && now >= a.nextStop {
			if a.phase == attemptUnknown || a.phase == attemptRunning || a.phase == attemptStopping {
				c.sendStop(a)
			}
		}
	}
	c.drain(s, now)
}

// completeLeave removes a worker that gave a leave notice once it has no runs
// or no longer responds. A worker that responded to a later poll has not left.
func (c *Controller) completeLeave(s *session) {
	switch {
	case len(s.attempts) == 0 || s.unresponsive:
		c.closeSession(s, "it left")
	case s.lastPoll > s.leaveNoticeAt:
		s.removeAt = 0
		event.Log(c.opts.Logger, event.WorkerResponsive, slog.String("worker", s.worker.ID), slog.String("reason", "the notice was of an earlier life"))
	}
}

// leaseExpired gives up the runs of a worker that was unresponsive until its
// lease expired.
func (c *Controller) leaseExpired(s *session, now time.Duration) {
	for _, a := range s.attempts {
		if a.phase != attemptRecording && !a.crashed { // a start without a response may have been carried out
			a.leaseExpired = true
			a.task.unresolved++
			s.expired = append(s.expired, a)
		}
	}
	c.endAllAttempts(s, "the worker's lease ended")
	s.polled = false
	if now-s.lastHeartbeat > removeAfterHeartbeats*c.opts.Limits.Heartbeat {
		c.closeSession(s, "it was silent and its lease ended")
	}
}

// drain moves runs off a draining worker: serving tasks at once, and tasks with
// checkpoints shortly before the worker shuts down.
func (c *Controller) drain(s *session, now time.Duration) {
	if !s.worker.Draining {
		return
	}
	lastChance := now+2*c.opts.Limits.StopGrace+drainReserve >= s.drainDeadline
	for _, a := range s.attempts {
		if a.task.step.LongRunning || lastChance && a.task.step.Checkpoints {
			c.stop(a, "the worker is draining")
		}
	}
}

// drainReserve is the time for a stop to reach a draining worker and for the
// checkpoint to return before the worker shuts down.
const drainReserve = 400 * time.Millisecond

// endAllAttempts ends all runs on a worker. A run whose start is not committed
// yet can't be ended; it is marked so that its start is not sent after the
// commit.
func (c *Controller) endAllAttempts(s *session, reason string) {
	for _, a := range s.attempts {
		if a.phase == attemptRecording {
			a.stopping = true
			continue
		}
		c.endAsLost(a, reason)
	}
}

// closeSession removes an incarnation of a worker and ends all its runs.
func (c *Controller) closeSession(s *session, reason string) {
	if s.closed {
		return
	}
	s.closed = true
	now, runs := c.now(), s.startedRuns()
	if s.loss == nil {
		c.recordLoss(s, now, nil)
	}
	c.endAllAttempts(s, reason)
	c.resolveExpired(s.expired)
	s.expired = nil
	s.api.Close()
	if c.sessions[s.worker.ID] == s {
		delete(c.sessions, s.worker.ID)
		c.sorted = nil
	}
	c.dirty = true
	event.Log(c.opts.Logger, event.WorkerRemoved, slog.String("worker", s.worker.ID), slog.Int64("born", s.worker.StartedAt),
		slog.String("reason", reason), slog.Int("runs", runs), slog.Int64("silent_ms", s.sinceLoss(now).Milliseconds()),
		slog.Int("lost_together", c.lostTogether(s.loss)))
	c.proposeChange(state.SetPoolWorkers{Removed: []state.PoolWorker{s.worker}}, func(err error) {
		if err != nil {
			// A later leader finds the worker in the state and detects that it
			// does not respond.
			event.Log(c.opts.Logger, event.WorkerRemovalNotSaved, slog.String("worker", s.worker.ID), slog.Any("error", err))
		}
	})
}

// proposeChange commits a change independently of the journal and calls
// onResult in the loop.
func (c *Controller) proposeChange(body state.Body, onResult func(err error)) {
	var err error
	done := c.inGeneration(func() { onResult(err) })
	go func() {
		err = c.propose(state.NewCommand(body))
		done()
	}()
}

// errOtherIncarnation is the cause of a failed poll whose response came from a
// later incarnation of the worker.
var errOtherIncarnation = errors.New("a later incarnation of the worker answered")

// unreachableWorker is a Worker whose address is unknown. It refuses all calls.
type unreachableWorker struct{}

var errUnreachable = &RefusedError{Reason: RefusedInvalid}

// Start implements Worker.
func (unreachableWorker) Start(context.Context, StartCall) error { return errUnreachable }

// Stop implements Worker.
func (unreachableWorker) Stop(context.Context, StopCall) error { return errUnreachable }

// SetRate implements Worker.
func (unreachableWorker) SetRate(context.Context, SetRateCall) error { return errUnreachable }

// Poll implements Worker.
func (unreachableWorker) Poll(context.Context, PollCall) (*Report, error) { return nil, errUnreachable }

// Close implements Worker.
func (unreachableWorker) Close() {}
