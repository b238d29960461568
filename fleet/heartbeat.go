package fleet

import (
	"log/slog"
	"time"

	"apricotrouter/event"
	"apricotrouter/state"
)

// heartbeat handles the heartbeat of a worker. It calls reply once the changes
// are committed.
func (c *Controller) heartbeat(b *Heartbeat, reply func(Outcome)) {
	s := c.sessions[b.Worker.ID]
	if s != nil && s.worker.Address == "" {
		s = nil // placeholder of a removed worker
	}
	if s != nil && s.worker.StartedAt == b.Worker.StartedAt {
		c.updateWorker(s, b, reply)
		return
	}
	if c.opts.Log.State().WasRemoved(&b.Worker) {
		reply(OutcomeDone) // delayed heartbeat of a removed incarnation
		return
	}
	var removed []state.PoolWorker
	for _, old := range c.sessions {
		if old.worker.ID != b.Worker.ID && old.worker.Address != b.Worker.Address || old.worker.Address == "" {
			continue
		}
		if old.worker.StartedAt > b.Worker.StartedAt {
			reply(OutcomeDone) // delayed heartbeat of an earlier incarnation
			return
		}
		removed = append(removed, old.worker)
	}
	c.proposeChange(state.SetPoolWorkers{Removed: removed, Updated: []state.PoolWorker{b.Worker}}, func(err error) {
		if err != nil {
			reply(OutcomeUnknown)
			return
		}
		c.workerRegistered(b)
		reply(OutcomeDone)
	})
}

// workerRegistered opens a session with a new incarnation of a worker, unless a
// later one has been registered since.
func (c *Controller) workerRegistered(b *Heartbeat) {
	w, ok := c.opts.Log.State().PoolWorkers.Get(b.Worker.ID)
	if !ok || w.StartedAt != b.Worker.StartedAt {
		return
	}
	var replaced []*session
	for _, old := range c.sessions {
		same := old.worker.ID == b.Worker.ID || old.worker.Address == b.Worker.Address
		if !same || old.worker.Address == "" {
			continue
		}
		if old.worker.StartedAt >= b.Worker.StartedAt {
			return
		}
		replaced = append(replaced, old)
	}
	var undecided []*attempt
	for _, old := range replaced {
		if old.worker.ID == b.Worker.ID {
			undecided = append(undecided, c.takeUndecidedAttempts(old)...)
		} else {
			c.addressTaken(old)
		}
		c.crashed(old, "a later life has reported")
	}
	placeholder := c.sessions[b.Worker.ID]
	s := c.openSession(*w, placeholder == nil && len(replaced) == 0 && !c.mayHaveBeenLost(w.ID))
	s.fence = c.nextFence() // earlier incarnations may have got calls with all lower ones
	// An older incarnation may have been removed and return with ends that were
	// acknowledged before.
	s.unread = c.opts.Clock.Now().UnixMilli()-w.StartedAt < (removeAfterHeartbeats * c.opts.Limits.Heartbeat).Milliseconds()
	if placeholder != nil {
		for _, a := range placeholder.attempts {
			placeholder.remove(a)
			s.add(a)
		}
	}
	for _, a := range undecided {
		s.add(a)
		a.phase, a.stopAcked, a.startDecidedAt = attemptUnknown, false, c.now()
		// A start that this incarnation carries out late takes a whole lease.
		s.leaseEnd = max(s.leaseEnd, a.startedAt+c.callDelay()+c.leaseBound())
	}
	c.pollDue[s] = true
	s.heartbeatSequence, s.clock, s.clockReadAt = b.Sequence, b.Clock, c.now()
	if w.Draining {
		s.drainDeadline = c.now() + time.Duration(b.RemainingMillis)*time.Millisecond
	}
	event.Log(c.opts.Logger, event.WorkerRegistered, slog.String("worker", w.ID), slog.Int64("born", w.StartedAt),
		slog.String("zone", w.Zone), slog.String("pool", w.Pool), slog.Bool("draining", w.Draining))
}

// takeUndecidedAttempts removes and returns the attempts of an earlier
// incarnation that may run on the later one, which has the same id. A poll of
// the later incarnation decides about them. Those that it does not list were lost
// with the earlier one.
func (c *Controller) takeUndecidedAttempts(old *session) []*attempt {
	if old.loss == nil {
		c.recordLoss(old, c.now(), nil)
	}
	var undecided []*attempt
	for _, a := range old.attempts {
		if a.mayRunLater() {
			undecided = append(undecided, a)
		}
	}
	for _, a := range undecided {
		old.remove(a)
		a.crashed = a.crashed || !old.worker.Draining
	}
	return undecided
}

// mayRunLater reports whether a later incarnation of the worker may run the
// attempt. One that no report has listed may be carried out by any of them, or
// has been: an earlier one can't acknowledge that for a later one, and the answer
// to a start does not tell the incarnation.
func (a *attempt) mayRunLater() bool { return a.phase != attemptRecording && a.seenAt == 0 }

// updateWorker handles the heartbeat of an incarnation that has a session.
func (c *Controller) updateWorker(s *session, b *Heartbeat, reply func(Outcome)) {
	if b.Sequence <= s.heartbeatSequence {
		reply(OutcomeDone)
		return
	}
	if s.worker.Draining && !b.Worker.Draining && b.Worker.StartedAt != 0 {
		reply(OutcomeDone) // sent before the drain began; draining is never undone
		return
	}
	now := c.now()
	s.heartbeatSequence, s.lastHeartbeat = b.Sequence, now
	if s.clockReadAt == 0 {
		s.clock, s.clockReadAt = b.Clock, now
	}
	if b.Worker.Draining {
		s.drainDeadline = now + time.Duration(b.RemainingMillis)*time.Millisecond
	}
	if sameRegistration(&s.worker, &b.Worker) && !s.unsaved {
		reply(OutcomeDone)
		return
	}
	drained := s.worker.Draining
	s.worker.Draining = drained || b.Worker.Draining
	// Less capacity takes effect at once, more once it is committed.
	s.worker.Capacity, s.resourcesValid = s.worker.Capacity.Min(b.Worker.Capacity), false
	c.dirty = true
	c.proposeChange(state.SetPoolWorkers{Updated: []state.PoolWorker{b.Worker}}, func(err error) {
		if err != nil {
			s.worker.Draining, s.unsaved = drained, true // the next heartbeat retries the commit
			reply(OutcomeUnknown)
			return
		}
		capacity := b.Worker.Capacity
		if b.Sequence < s.heartbeatSequence {
			capacity = capacity.Min(s.worker.Capacity) // a later heartbeat may have less
		}
		s.worker, s.resourcesValid, s.unsaved = b.Worker, false, false
		s.worker.Capacity = capacity
		event.Log(c.opts.Logger, event.WorkerRegistered, slog.String("worker", s.worker.ID),
			slog.Int64("born", s.worker.StartedAt), slog.Uint64("sequence", b.Sequence), slog.Bool("draining", s.worker.Draining),
			slog.String("capacity", s.worker.Capacity.String()))
		c.dirty = true
		reply(OutcomeDone)
	})
}

func sameRegistration(a, b *state.PoolWorker) bool {
	return a.Draining == b.Draining && a.Pool == b.Pool && a.Capacity == b.Capacity && a.Address == b.Address &&
		a.Zone == b.Zone
}

// workerLeft handles a worker's notice that it shuts down. The notice does not
// identify the incarnation. If the worker was not draining, or responds to a
// later poll, the notice came from an earlier incarnation and is ignored; the
// lease then decides.
func (c *Controller) workerLeft(id string) {
	s := c.sessions[id]
	if s == nil || !s.worker.Draining || s.removeAt != 0 {
		return
	}
	s.leaveNoticeAt = c.now()
	s.removeAt = s.leaveNoticeAt + leaveGrace
	event.Log(c.opts.Logger, event.WorkerLeaving, slog.String("worker", id), slog.Int64("born", s.worker.StartedAt),
		slog.Int("runs", len(s.attempts)))
}

// failureStreak counts the workflows with failed runs on a worker since its
// last successful run.
type failureStreak struct {
	workflows     map[string]bool
	quarantinedAt time.Duration // time of the last quarantine
}

const (
	// quarantineWorkflows is the number of workflows with failed runs in a row,
	// without a successful run between them, after which the failures are
	// attributed to the worker.
	quarantineWorkflows = 3
	// quarantineDuration is how long such a worker is excluded from placement.
	// The next run on it decides whether it is quarantined again.
	quarantineDuration = 3 * time.Second
)

// record counts the end of a run and quarantines a worker on which runs of
// several workflows fail in a row.
func (w *failureStreak) record(c *Controller, s *session, a *attempt, failed bool) {
	if !failed {
		w.workflows = nil
		return
	}
	if a.startedAt < w.quarantinedAt {
		return // the quarantine already accounts for runs that started before it
	}
	if w.workflows == nil {
		w.workflows = make(map[string]bool)
	}
	w.workflows[a.run.Workflow] = true
	if len(w.workflows) < quarantineWorkflows {
		return
	}
	w.quarantinedAt = c.now()
	s.pausedUntil = w.quarantinedAt + quarantineDuration
	event.Log(c.opts.Logger, event.WorkerQuarantined, slog.String("worker", s.worker.ID),
		slog.Int("workflows", len(w.workflows)), slog.Duration("for", quarantineDuration))
}
