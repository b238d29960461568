package fleet

import (
	"errors"
	"io"
	"slices"
	"syscall"
	"time"
)

const (
	// lossWindow is the interval within which workers are lost at the same
	// moment. The connections of a crashed worker end within 50 ms.
	lossWindow = 100 * time.Millisecond
	// lossRetention is how long a loss is remembered. It is longer than a
	// lease, after which the runs of a lost worker are given up.
	lossRetention = 30 * time.Second
)

// workerLoss is the loss of a worker that stopped responding.
type workerLoss struct {
	session *session
	// at is when the loss was noticed. The worker was lost between since and at.
	since, at time.Duration
	runs      int // runs on the worker that may have started
	// closed is set if the worker closed a connection, so that at is when it
	// ended, rather than when a call timed out.
	closed bool
	// suspect is set if a task that has to run alone was on the worker, however
	// long it had been at work there.
	suspect bool
	// poolWorkers is the number of workers of the pool, including this one.
	poolWorkers int
	// restarted is the number of runs, by worker id, of tasks that were lost
	// with the worker.
	restarted map[string]int
}

// recordLoss records that a worker has stopped responding. cause is the error
// of the first call without a response, if there is one.
func (c *Controller) recordLoss(s *session, now time.Duration, cause error) {
	c.losses = slices.DeleteFunc(c.losses, func(l *workerLoss) bool { return now-l.at > lossRetention })
	closed := errors.Is(cause, io.EOF) || errors.Is(cause, syscall.ECONNRESET)
	since := now
	if !closed {
		since = s.lastContact()
	}
	s.loss = &workerLoss{session: s, since: since, at: now, closed: closed, runs: s.startedRuns(), suspect: s.hasSuspectTask(), restarted: make(map[string]int)}
	for _, other := range c.sessions {
		if other.worker.Pool == s.worker.Pool {
			s.loss.poolWorkers++
		}
	}
	for _, a := range s.attempts {
		if a.loss != nil && a.phase == attemptUnknown {
			continue // taken over from an incarnation that was lost before
		}
		a.loss, a.beside, a.younger = s.loss, max(0, s.loss.runs-1), s.youngerRuns(a)
		a.besideSuspect = s.suspects > 0 && !a.suspect // suspects do not explain each other's crashes
	}
	c.losses = append(c.losses, s.loss)
}

// forgetLoss discards the loss of a worker that responds again.
func (c *Controller) forgetLoss(s *session) {
	c.losses = slices.DeleteFunc(c.losses, func(l *workerLoss) bool { return l == s.loss })
	for _, a := range s.attempts {
		if a.loss == s.loss {
			a.loss = nil
		}
	}
	s.loss = nil
}

// mayHaveBeenLost reports whether an incarnation of the worker may have been lost
// within lossRetention. Losses under an earlier leader are not known.
func (c *Controller) mayHaveBeenLost(id string) bool {
	return c.adopted && c.now()-c.activatedAt < lossRetention || slices.ContainsFunc(c.losses, func(l *workerLoss) bool { return l.session.worker.ID == id })
}

// startedRuns returns the number of runs on the worker that may have started.
func (s *session) startedRuns() int {
	n := 0
	for _, a := range s.attempts {
		if a.phase != attemptRecording {
			n++
		}
	}
	return n
}

// hasSuspectTask reports whether a task that has to run alone is on the worker.
func (s *session) hasSuspectTask() bool {
	for _, a := range s.attempts {
		if a.phase != attemptRecording && a.task.evidence.NeedsIsolation() {
			return true
		}
	}
	return false
}

// lastContact returns when the worker last carried out a call or sent a
// heartbeat.
func (s *session) lastContact() time.Duration { return max(s.respondedAt, s.lastHeartbeat) }

// coincides reports whether two workers may have been lost at the same moment.
// Workers that a partition or a loss of power silences together are noticed one
// after the other, as calls to them time out.
func (l *workerLoss) coincides(other *workerLoss) bool {
	return l.since <= other.at+lossWindow && other.since <= l.at+lossWindow
}

// lostTogether returns the number of other workers of the pool that may have
// been lost at the same moment. Workers of tasks that have to run alone do not
// count, because these tasks may have crashed them.
func (c *Controller) lostTogether(l *workerLoss) int {
	workers := make(map[string]bool) // several incarnations of a worker may be lost within the window
	for _, other := range c.losses {
		w := &other.session.worker
		if w.ID != l.session.worker.ID && w.Pool == l.session.worker.Pool && !other.suspect && l.coincides(other) {
			workers[w.ID] = true
		}
	}
	return len(workers)
}

// sinceLoss returns how long the worker has not responded.
func (s *session) sinceLoss(now time.Duration) time.Duration {
	if s.loss == nil {
		return 0
	}
	return now - s.loss.at
}

// youngerRuns returns the number of other runs on the worker that were sent
// after the run.
func (s *session) youngerRuns(a *attempt) int {
	n := 0
	for _, other := range s.attempts {
		if other != a && other.phase != attemptRecording && other.startedAt > a.startedAt {
			n++
		}
	}
	return n
}
