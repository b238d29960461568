package fleet

import (
	"log/slog"
	"time"

	"apricotrouter/event"
)

const (
	// leaseClockFactor covers worker clocks that are 2% slow.
	// leaseDeliveryAllowance covers the delivery of the last extension to the
	// worker.
	leaseClockFactor       = 1.05
	leaseDeliveryAllowance = 500 * time.Millisecond
	// leaveGrace is how long a worker may take to shut down after its leave
	// notice.
	leaveGrace = 500 * time.Millisecond
	// removeAfterHeartbeats is the number of heartbeat intervals without a
	// heartbeat after which an unresponsive worker without runs is removed.
	removeAfterHeartbeats = 15
)

// leaseBound returns the time after its last extension when a lease has expired
// for certain.
func (c *Controller) leaseBound() time.Duration {
	return time.Duration(float64(c.opts.Limits.MaxLease)*leaseClockFactor) + leaseDeliveryAllowance
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
	s.respondedAt = c.now()
	if !s.unresponsive {
		return
	}
	s.unresponsive, s.silentUntil = false, s.respondedAt
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
		event.Log(c.opts.Logger, event.WorkerResponsive, slog.String("worker", s.worker.ID), slog.String("reason", "the notice was of an earlier incarnation"))
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
		for _, a := range s.expired {
			a.presumeCrash(c, s)
		}
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
// commit. The response to a start in flight of a closed session ends its run.
func (c *Controller) endAllAttempts(s *session, reason string) {
	for _, a := range s.attempts {
		if a.phase == attemptRecording {
			a.stopping = true
			continue
		}
		if a.phase == attemptStarting && s.closed {
			continue
		}
		c.endAsLost(a, reason)
	}
}
