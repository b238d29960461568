package fleet

import (
	"context"
	"log/slog"
	"time"

	"apricotrouter/event"
	"apricotrouter/placement"
	"apricotrouter/state"
)

const (
	// fullPause is how long a worker that refused a start for lack of capacity,
	// although it should have had enough, gets no more tasks.
	fullPause = 300 * time.Millisecond
	// unhealthyPause is how long a worker that refuses all starts gets no more
	// tasks.
	unhealthyPause = 2 * time.Second
	// maxMissedHeartbeats is the number of heartbeat intervals without a
	// heartbeat after which a worker gets no more tasks.
	maxMissedHeartbeats = 4
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
	stepRuns       stepCounts // of the attempts
	reserved       state.Resources
	resources      placement.WorkerCapacity // as of the last placement pass
	resourcesValid bool                     // resources is up to date
	unknownRuns    map[runKey]unknownRun    // runs without a record

	fence        uint64 // of all calls; higher than that of any call to an earlier incarnation
	polled       bool   // polled in this term, so that all its runs are known
	closed       bool
	addressTaken bool // another worker has its address
	polling      bool
	endsPending  bool // ended runs are being committed
	nextPoll     time.Duration
	lastPoll     time.Duration // when the last poll with a response began
	respondedAt  time.Duration // when the worker last carried out a call
	report       uint64        // number of the last applied report
	unresponsive bool
	silentUntil  time.Duration // when the worker last responded again after it had not
	loss         *workerLoss   // set while the worker is unresponsive
	expired      []*attempt    // runs that were given up when the lease expired
	openedAt     time.Duration // when the session was opened
	suspects     int           // runs of tasks that have to run alone
	held         bool          // kept for a task that has to run alone
	unsaved      bool          // the last change of the worker's registration was not committed
	leaseEnd     time.Duration // when its lease has expired unless it is extended

	clock       int64         // last reading of the worker's clock, in milliseconds
	clockReadAt time.Duration // when the reading arrived

	unread            bool   // no end of the incarnation has been acknowledged to it
	ackedEnd          uint64 // last end that the worker may discard
	lastEnd           uint64 // last end that is committed or being committed
	heldEnds          []heldEnd
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
		worker: w, api: api, attempts: make(map[runKey]*attempt), stepRuns: make(stepCounts), unknownRuns: make(map[runKey]unknownRun),
	}
}

// openSession opens the session of a worker. Fresh means that no start was sent
// to an earlier incarnation of it, so that nothing runs on it.
func (c *Controller) openSession(w state.PoolWorker, fresh bool) *session {
	s := newSession(w, c.opts.Dial(w))
	s.fence = c.fence
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

// isPlaceholder reports whether the worker was no longer registered when the
// session was opened.
func (s *session) isPlaceholder() bool { return s.worker.Address == "" }

func (s *session) key(a *attempt) runKey { return runKey{a.position(), a.run.Number} }

func (s *session) add(a *attempt) {
	a.session = s
	s.attempts[s.key(a)] = a
	a.task.workflow.runs++
	s.stepRuns.add(a.task, 1)
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
		a.task.workflow.runs--
		s.stepRuns.add(a.task, -1)
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

// usable reports whether any task may be placed on the worker.
func (s *session) usable(c *Controller, now time.Duration) bool {
	return s.suspects == 0 && !s.held && s.accepts(c, now)
}

// accepts reports whether the worker is in a condition to run further tasks.
func (s *session) accepts(c *Controller, now time.Duration) bool {
	return s.unacceptableReason(c, now) == ""
}

// unacceptableReason returns why the worker is in no condition to run further
// tasks, or an empty string.
func (s *session) unacceptableReason(c *Controller, now time.Duration) string {
	switch {
	case s.closed:
		return "closed"
	case s.worker.Draining || s.removeAt != 0:
		return "draining"
	case s.unresponsive:
		return "silent"
	case now-s.lastHeartbeat > maxMissedHeartbeats*c.opts.Limits.Heartbeat:
		return "heartbeats"
	case !s.polled:
		return "unpolled"
	case len(s.unknownRuns) > 0:
		return "unknown-runs"
	case now < s.pausedUntil:
		return "paused"
	case now < s.fullUntil:
		return "full"
	}
	return ""
}

// unusableReason returns why no task may be placed on the worker, or an empty
// string.
func (s *session) unusableReason(c *Controller, now time.Duration) string {
	reason := s.unacceptableReason(c, now)
	switch {
	case reason != "":
	case s.suspects > 0:
		return "suspect"
	case s.held:
		return "held-for-suspect"
	case c.opts.Log.State().IsZoneEvacuated(s.worker.Zone):
		return "evacuated"
	}
	return reason
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
	c.forgetUnknownRuns(s, nil)
	c.closing[s] = true
	c.closeCalls(s)
	c.learned.workers.Forget(s.worker.ID)
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

// closeCalls closes the client of a closed session once no start is in flight
// there. The response to a start shows whether the worker ran it.
func (c *Controller) closeCalls(s *session) {
	for _, a := range s.attempts {
		if a.phase == attemptStarting {
			return
		}
	}
	delete(c.closing, s)
	s.api.Close()
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
