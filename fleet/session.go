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
	// lookWait is how long an answer to a look waits for an end. It leaves
	// several looks within one lease.
	lookWait = time.Second
	// looksPerLease is how many looks go into one lease at least, so that one
	// that fails does not let it end.
	looksPerLease = 4
	// paceWait is the same where tasks on leftover processors may disturb
	// serving ones: about as long as the measures look back.
	paceWait = 700 * time.Millisecond
	// lookRetry is the pause before a look without an answer is repeated.
	lookRetry = 200 * time.Millisecond
	// lookGap keeps the looks at one worker apart, so that ends that come
	// close together are taken note of together.
	lookGap = 20 * time.Millisecond
	// roomPause keeps tasks off a worker that had no room although it should.
	roomPause = 300 * time.Millisecond
	// unhealthyPause keeps tasks off a worker that takes nothing.
	unhealthyPause = 2 * time.Second
	// leaseSlack covers workers' clocks that are 2% slow, and the way of the
	// last extension to the worker.
	leaseSlack     = 1.05
	leaseAllowance = 500 * time.Millisecond
	// leaveDelay is how long a worker that said that it leaves may take to end.
	leaveDelay = 500 * time.Millisecond
	// missedHeartbeats is after how many intervals without a heartbeat nothing
	// is placed on a worker.
	missedHeartbeats = 4
	// forgetHeartbeats is after how many a silent worker without runs is forgotten.
	forgetHeartbeats = 15
	// maxReportedEnds is how many ends one answer to a look holds.
	maxReportedEnds = 500
)

// runKey identifies a run on a worker.
type runKey struct {
	TaskPosition
	number uint64
}

// session is the leader's view of one life of a worker.
type session struct {
	worker    state.PoolWorker
	api       Worker
	attempts  map[runKey]*attempt
	used      state.Resources
	room      placement.PoolRoom       // as of the last round of placement
	roomKnown bool                     // room is not out of date
	strays    map[runKey]time.Duration // runs that nobody should have, by the time of their last stop

	contacted bool // looked at in this term, so that all its runs are known
	gone      bool
	looking   bool
	ackWaits  bool // ends are being committed
	nextLook  time.Duration
	lastLook  time.Duration // when the last answered look began
	silent    bool
	leaseEnd  time.Duration // when its lease has ended if it is not extended

	clock   int64         // reading of its clock
	clockAt time.Duration // when the reading arrived

	acked     uint64 // last end that it may forget
	reported  uint64 // last end that is committed or being committed
	unacked   bool   // acked is not known to the worker yet
	sequence  uint64 // of the last heartbeat
	lastBeat  time.Duration
	drainEnd  time.Duration // when a draining worker may end
	leftAt    time.Duration // when it said that it leaves
	leaveAt   time.Duration // when a worker that left is given up; 0 if it did not
	fullUntil time.Duration
	// pauseUntil keeps tasks off a worker for another reason than room.
	pauseUntil time.Duration
	failures   failureWindow
	departed   []departure
}

func newSession(w state.PoolWorker, api Worker) *session {
	return &session{
		worker: w, api: api, attempts: make(map[runKey]*attempt), strays: make(map[runKey]time.Duration),
	}
}

// openSession begins to hold a worker. A fresh worker is one that no earlier
// leader knew, so that nothing runs there.
func (c *Controller) openSession(w state.PoolWorker, fresh bool) *session {
	s := newSession(w, c.opts.Dial(w))
	now := c.now()
	s.contacted, s.lastBeat = fresh, now
	s.leaseEnd = now + c.fullLease()
	c.sessions[w.ID], c.sorted = s, nil
	c.dirty = true
	return s
}

// openForgotten stands for a worker that is no longer known and may still have
// runs until its lease has ended.
func (c *Controller) openForgotten(id string) *session {
	s := newSession(state.PoolWorker{ID: id}, unreachable{})
	s.silent = true
	s.leaseEnd = c.now() + c.fullLease()
	c.sessions[id], c.sorted = s, nil
	return s
}

// fullLease is how long after its last extension a lease has surely ended.
func (c *Controller) fullLease() time.Duration {
	return time.Duration(float64(c.opts.Limits.HoldMax)*leaseSlack) + leaseAllowance
}

func (s *session) key(a *attempt) runKey { return runKey{a.position(), a.run.Number} }

func (s *session) add(a *attempt) {
	a.session = s
	s.attempts[s.key(a)] = a
	s.used = s.used.Add(a.reserves())
	s.roomKnown = false
}

func (s *session) remove(a *attempt) {
	if s.attempts[s.key(a)] == a {
		delete(s.attempts, s.key(a))
		s.used = s.used.Sub(a.reserves())
		s.roomKnown = false
	}
}

// free returns the room that no run holds.
func (s *session) free() state.Resources { return s.worker.Capacity.Sub(s.used) }

// clockNow returns an estimate of the reading of the worker's clock.
func (s *session) clockNow(now time.Duration) int64 {
	return s.clock + (now - s.clockAt).Milliseconds()
}

// extendLease returns the lease to name in a call that is sent now.
func (s *session) extendLease(c *Controller) int64 {
	now := c.now()
	s.leaseEnd = now + c.fullLease()
	return s.clockNow(now) + c.opts.Limits.HoldMax.Milliseconds()
}

// answered notes that the worker answers.
func (s *session) answered(time.Duration) { s.silent = false }

// failedCall notes a call without an answer. A call that failed here says
// nothing of the worker.
func (s *session) failedCall(c *Controller, now time.Duration, err error) {
	s.nextLook = now + lookRetry
	if _, local := unsent(err); local {
		c.metrics.unsent.Inc()
		c.reportUnsent(s, now, err)
		return
	}
	if s.silent {
		return
	}
	s.silent = true
	event.Log(c.opts.Logger, event.WorkerSilent, slog.String("worker", s.worker.ID),
		slog.Int("runs", len(s.attempts)), slog.Int64("lease_left_ms", (s.leaseEnd-now).Milliseconds()), slog.Any("error", err))
}

// unsentInterval bounds how often calls that failed locally are logged: a lack
// of descriptors fails thousands of them in a second.
const unsentInterval = time.Second

// reportUnsent logs that calls to workers fail on this side.
func (c *Controller) reportUnsent(s *session, now time.Duration, err error) {
	c.unsent++
	if now < c.nextUnsent {
		return
	}
	event.Log(c.opts.Logger, event.WorkerCallNotSent, slog.String("worker", s.worker.ID), slog.Int("calls", c.unsent), slog.Any("error", err))
	c.unsent, c.nextUnsent = 0, now+unsentInterval
}

// usable reports whether tasks may be placed on the worker.
func (s *session) usable(c *Controller, now time.Duration) bool {
	late := now-s.lastBeat > missedHeartbeats*c.opts.Limits.Heartbeat
	return s.contacted && !s.gone && !s.silent && !s.worker.Draining && s.leaveAt == 0 && !late &&
		now >= s.pauseUntil && now >= s.fullUntil && len(s.strays) == 0
}

// look sends a look if the worker has anything to tell.
func (c *Controller) look(s *session) {
	now := c.now()
	needed := !s.contacted || s.silent || len(s.attempts) > 0 || len(s.strays) > 0 || s.unacked
	if s.gone || s.looking || s.ackWaits || !needed || now < s.nextLook {
		return
	}
	s.looking = true
	c.call(callLook, func() *workerCall { return c.prepareLook(s) })
}

func (c *Controller) prepareLook(s *session) *workerCall {
	if s.gone {
		return nil
	}
	begin := c.now()
	call := LookCall{Fence: c.fence, Acknowledged: s.acked, WaitMillis: c.lookWait(s).Milliseconds()}
	// A silent worker's lease is left to end: its runs are given up then, and a
	// look whose answer is lost must not extend it.
	if s.contacted && !s.silent {
		call.Lease = s.extendLease(c)
	}
	var report *Report
	var err error
	return &workerCall{
		timeout: startTimeout + time.Duration(call.WaitMillis)*time.Millisecond,
		send:    func(ctx context.Context) { report, err = s.api.Look(ctx, call) },
		done:    func() { c.looked(s, begin, call, report, err) },
	}
}

// lookWait returns how long the answer may wait for an end. It doesn't wait if
// the answer itself decides about a run. With more workers than looks that may
// be in flight, all of them wait less, so that each has its turn.
func (c *Controller) lookWait(s *session) time.Duration {
	if !s.contacted || len(s.attempts) == 0 {
		return 0
	}
	serving, leftover := false, false
	for _, a := range s.attempts {
		if a.phase == attemptUnknown || a.stopped && a.since > s.lastLook {
			return 0
		}
		serving = serving || a.task.step.LongRunning && a.task.step.TailMillis > 0
		leftover = leftover || a.task.step.Leftover
	}
	wait := lookWait
	if serving && leftover {
		wait = paceWait
	}
	wait = min(wait, c.opts.Limits.HoldMax/looksPerLease)
	if most := c.calls.most(callLook); c.calls.limit > 0 && len(c.sessions) > most {
		wait = wait * time.Duration(most) / time.Duration(len(c.sessions))
	}
	return wait
}

// looked takes over what a worker reported. begin is when the look was sent.
func (c *Controller) looked(s *session, begin time.Duration, call LookCall, r *Report, err error) {
	s.looking = false
	c.touched[s] = true
	if s.gone {
		return
	}
	now := c.now()
	c.metrics.looks.Inc()
	if err != nil {
		switch refusal(err) {
		case RefusedOtherLife:
			c.loseSession(s, "another life has its address")
		case RefusedFence:
			c.deactivate("a worker has seen a higher fence")
		default:
			s.failedCall(c, now, err)
		}
		return
	}
	if r.Born != 0 && r.Born != s.worker.Born {
		// What runs there is told apart once the later life has reported.
		s.failedCall(c, now, errOtherLife)
		return
	}
	if s.silent {
		event.Log(c.opts.Logger, event.WorkerAnswers, slog.String("worker", s.worker.ID))
	}
	s.answered(now)
	s.nextLook = now + lookGap
	s.lastLook = begin
	s.clock, s.clockAt = r.Clock, now
	if call.Acknowledged == s.acked {
		s.unacked = false
	}
	c.takeReport(s, begin, r)
	c.observe(s)
	c.moveStragglers(s)
	s.roomKnown = false
	if !s.contacted {
		s.contacted = true
		c.dirty = true
	}
}

// takeReport compares a report with the attempts on the worker.
func (c *Controller) takeReport(s *session, begin time.Duration, r *Report) {
	seen := make(map[runKey]bool, len(r.Running)+len(r.Ended))
	for _, e := range r.Ended {
		seen[runKey{e.Position, e.Number}] = true
		c.takeEnd(s, e)
	}
	for i := range r.Running {
		seen[runKey{r.Running[i].Position, r.Running[i].Number}] = true
		c.takeRunning(s, &r.Running[i])
	}
	if s.reported > s.acked {
		s.ackWaits = true
		reported := s.reported
		c.journal.after = append(c.journal.after, func() {
			s.acked, s.ackWaits, s.unacked = max(s.acked, reported), false, true
			c.touched[s] = true
		})
	}
	for k := range s.strays {
		if !seen[k] {
			delete(s.strays, k)
			c.dirty = true
		}
	}
	if len(r.Ended) >= maxReportedEnds {
		return
	}
	for k, a := range s.attempts {
		decided := a.phase == attemptRunning || a.phase == attemptUnknown && !a.stopping || a.stopped
		if !seen[k] && decided && a.since < begin {
			c.void(a, "not on the worker")
		}
	}
}

// takeEnd records an end that the worker lists.
func (c *Controller) takeEnd(s *session, e RunEnd) {
	if e.Sequence <= s.reported {
		return
	}
	s.reported = e.Sequence
	outcome := state.OutcomeLost
	switch e.How {
	case EndDone:
		outcome = state.OutcomeDone
	case EndFailed:
		outcome = state.OutcomeFailed
	}
	if a := s.attempts[runKey{e.Position, e.Number}]; a != nil {
		if outcome != state.OutcomeLost {
			s.failures.note(c, s, a, outcome == state.OutcomeFailed)
		}
		a.began = true
		c.end(a, outcome, e.Checkpoint, e.How.String())
		return
	}
	f := c.flows[e.Position.Workflow]
	if f == nil || !f.has(e.Position) {
		return
	}
	c.journal.ends = append(c.journal.ends, state.TaskEnd{
		Workflow: e.Position.Workflow, Task: f.number(e.Position), Run: e.Number,
		Outcome: outcome, Checkpoint: e.Checkpoint,
	})
}

var endNames = [...]string{"", "done", "failed", "stopped", "lease ended", "gang broken", "gang alone"}

// String returns the kind of end as in logs.
func (k EndKind) String() string { return endNames[k] }

// has reports whether the workflow has a task at the position.
func (f *flow) has(p TaskPosition) bool {
	return p.Occurrence >= 0 && p.Occurrence < len(f.open) && p.Step >= 0 && p.Step < len(f.spec.Steps) &&
		p.Index >= 0 && p.Index < f.spec.Steps[p.Step].Count
}

// number returns the flat number of the task at the position.
func (f *flow) number(p TaskPosition) int { return f.spec.FirstTask(p.Occurrence, p.Step) + p.Index }

// takeRunning matches a run on the worker with its attempt. A run without one
// is stopped.
func (c *Controller) takeRunning(s *session, r *RunStatus) {
	k := runKey{r.Position, r.Number}
	if a := s.attempts[k]; a != nil {
		a.began = true
		if a.phase == attemptUnknown && !a.stopping || a.phase == attemptStarting {
			a.phase = attemptRunning
		}
		if a.stopping && a.phase != attemptStarting {
			c.sendStop(a)
		}
		c.measured(a, r)
		return
	}
	if last, ok := s.strays[k]; ok && c.now()-last < stopRetry {
		return
	}
	s.strays[k] = c.now()
	event.Log(c.opts.Logger, event.TaskStopping, slog.String("workflow", r.Position.Workflow),
		slog.Int("step", r.Position.Step), slog.Int("index", r.Position.Index), slog.Uint64("run", r.Number),
		slog.String("worker", s.worker.ID), slog.String("reason", "no record of this run"))
	call := StopCall{Run: Run{Workflow: r.Position.Workflow, Number: r.Number}, Position: r.Position, Fence: c.fence}
	c.call(callStart, func() *workerCall {
		return &workerCall{
			timeout: startTimeout,
			// The next look shows whether the run has ended, and repeats the stop.
			send: func(ctx context.Context) { _ = s.api.Stop(ctx, call) },
			done: func() {},
		}
	})
}

// watchSession does what depends on time alone.
func (c *Controller) watchSession(s *session, now time.Duration) {
	switch {
	case s.gone:
		return
	case s.leaveAt != 0 && now >= s.leaveAt:
		c.leave(s)
		return
	case s.silent && now >= s.leaseEnd:
		c.leaseEnded(s, now)
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

// leave gives up a worker that said that it leaves, once it has no runs or no
// longer answers. One that answered a later look has not left.
func (c *Controller) leave(s *session) {
	switch {
	case len(s.attempts) == 0 || s.silent:
		c.loseSession(s, "it left")
	case s.lastLook > s.leftAt:
		s.leaveAt = 0
		event.Log(c.opts.Logger, event.WorkerAnswers, slog.String("worker", s.worker.ID), slog.String("reason", "the notice was of an earlier life"))
	}
}

// leaseEnded gives up the runs of a worker that was silent for a whole lease.
func (c *Controller) leaseEnded(s *session, now time.Duration) {
	c.voidAll(s, "the worker's lease ended")
	s.contacted = false
	if now-s.lastBeat > forgetHeartbeats*c.opts.Limits.Heartbeat {
		c.loseSession(s, "it was silent and its lease ended")
	}
}

// drain moves runs off a draining worker: serving tasks at once, others that
// keep checkpoints when the worker's time is nearly over.
func (c *Controller) drain(s *session, now time.Duration) {
	if !s.worker.Draining {
		return
	}
	last := now+2*c.opts.Limits.StopGrace+drainReserve >= s.drainEnd
	for _, a := range s.attempts {
		if a.task.step.LongRunning || last && a.task.step.Checkpoints {
			c.stop(a, "the worker is draining")
		}
	}
}

// drainReserve is the time for the stop to reach a draining worker, and for
// its checkpoint to come back, before the worker ends.
const drainReserve = 400 * time.Millisecond

// voidAll ends all runs on a worker. One whose start is not committed yet has
// no run that could end; it is not sent once it is.
func (c *Controller) voidAll(s *session, reason string) {
	for _, a := range s.attempts {
		if a.phase == attemptRecording {
			a.stopping = true
			continue
		}
		c.void(a, reason)
	}
}

// loseSession ends a life of a worker, and with it all its runs.
func (c *Controller) loseSession(s *session, reason string) {
	if s.gone {
		return
	}
	s.gone = true
	c.voidAll(s, reason)
	s.api.Close()
	if c.sessions[s.worker.ID] == s {
		delete(c.sessions, s.worker.ID)
		c.sorted = nil
	}
	c.dirty = true
	event.Log(c.opts.Logger, event.WorkerGone, slog.String("worker", s.worker.ID), slog.Int64("born", s.worker.Born),
		slog.String("reason", reason))
	c.change(state.SetPoolWorkers{Gone: []state.PoolWorker{s.worker}}, func(err error) {
		if err != nil {
			// A later leader finds it in the state, and that it doesn't answer.
			event.Log(c.opts.Logger, event.WorkerGoneNotSaved, slog.String("worker", s.worker.ID), slog.Any("error", err))
		}
	})
}

// change commits a change beside the journal and reports to the loop.
func (c *Controller) change(body state.Body, then func(err error)) {
	var err error
	done := c.later(func() { then(err) })
	go func() {
		err = c.propose(state.NewCommand(body))
		done()
	}()
}

// errOtherLife is the cause of a look that a later life of the worker answered.
var errOtherLife = errors.New("a later life of the worker answered")

// unreachable is the interface of a worker whose address is not known.
type unreachable struct{}

var errUnreachable = &RefusedError{Reason: RefusedInvalid}

// Start implements Worker.
func (unreachable) Start(context.Context, StartCall) error { return errUnreachable }

// Stop implements Worker.
func (unreachable) Stop(context.Context, StopCall) error { return errUnreachable }

// Pace implements Worker.
func (unreachable) Pace(context.Context, PaceCall) error { return errUnreachable }

// Look implements Worker.
func (unreachable) Look(context.Context, LookCall) (*Report, error) { return nil, errUnreachable }

// Close implements Worker.
func (unreachable) Close() {}
