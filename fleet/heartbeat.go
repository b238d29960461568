package fleet

import (
	"log/slog"
	"time"

	"apricotrouter/event"
	"apricotrouter/state"
)

// heartbeat takes a worker's report. reply is called once what it says is
// committed.
func (c *Controller) heartbeat(b *Heartbeat, reply func(Outcome)) {
	s := c.sessions[b.Worker.ID]
	if s != nil && s.worker.Address == "" {
		s = nil // stands for a worker that was forgotten
	}
	if s != nil && s.worker.Born == b.Worker.Born {
		c.beatOfKnown(s, b, reply)
		return
	}
	if c.opts.Log.State().HasDeparted(&b.Worker) {
		reply(Done) // a late report of a life that has left
		return
	}
	var gone []state.PoolWorker
	for _, old := range c.sessions {
		if old.worker.ID != b.Worker.ID && old.worker.Address != b.Worker.Address || old.worker.Address == "" {
			continue
		}
		if old.worker.Born > b.Worker.Born {
			reply(Done) // a late report of an earlier life
			return
		}
		gone = append(gone, old.worker)
	}
	c.change(state.SetPoolWorkers{Gone: gone, Workers: []state.PoolWorker{b.Worker}}, func(err error) {
		if err != nil {
			reply(Unknown)
			return
		}
		c.workerKnown(b)
		reply(Done)
	})
}

// workerKnown opens a session with a new life of a worker, unless a later one
// was registered meanwhile.
func (c *Controller) workerKnown(b *Heartbeat) {
	var late []*attempt
	known := false
	for _, old := range c.sessions {
		same := old.worker.ID == b.Worker.ID || old.worker.Address == b.Worker.Address
		if !same || old.worker.Address == "" {
			continue
		}
		if old.worker.Born >= b.Worker.Born {
			return
		}
		known = true
		if old.worker.ID == b.Worker.ID {
			late = append(late, c.takeLate(old, b.Worker.Born)...)
		}
		c.loseSession(old, "a later life has reported")
	}
	w, ok := c.opts.Log.State().PoolWorkers.Get(b.Worker.ID)
	if !ok || w.Born != b.Worker.Born {
		return
	}
	forgotten := c.sessions[b.Worker.ID]
	s := c.openSession(*w, forgotten == nil && !known)
	if forgotten != nil {
		for _, a := range forgotten.attempts {
			s.add(a)
		}
	}
	for _, a := range late {
		s.add(a)
		a.phase, a.stopped, a.since = attemptUnknown, false, c.now()
	}
	s.sequence, s.clock, s.clockAt = b.Sequence, b.Clock, c.now()
	if w.Draining {
		s.drainEnd = c.now() + time.Duration(b.RemainingMillis)*time.Millisecond
	}
	event.Log(c.opts.Logger, event.WorkerKnown, slog.String("worker", w.ID), slog.Int64("born", w.Born),
		slog.String("zone", w.Zone), slog.String("pool", w.Pool), slog.Bool("draining", w.Draining))
}

// bornSlack covers times of day that differ between machines: a start that was
// sent so long before a worker's later life began may still have reached it.
const bornSlack = 3 * time.Second

// takeLate takes the attempts from an earlier life whose start may have reached
// the later one, which answers at the same address under the same id. A look
// at the later life tells.
func (c *Controller) takeLate(old *session, born int64) []*attempt {
	age := time.Duration(c.opts.Clock.Now().UnixMilli()-born)*time.Millisecond + bornSlack
	var late []*attempt
	for _, a := range old.attempts {
		if a.phase != attemptRecording && c.now()-a.startedAt <= age {
			late = append(late, a)
		}
	}
	for _, a := range late {
		old.remove(a)
	}
	return late
}

// beatOfKnown takes a report of a life that has a session.
func (c *Controller) beatOfKnown(s *session, b *Heartbeat, reply func(Outcome)) {
	if b.Sequence <= s.sequence {
		reply(Done)
		return
	}
	if s.worker.Draining && !b.Worker.Draining && b.Worker.Born != 0 {
		reply(Done) // it was sent before the drain, which nothing takes back
		return
	}
	now := c.now()
	s.sequence, s.lastBeat = b.Sequence, now
	if s.clockAt == 0 {
		s.clock, s.clockAt = b.Clock, now
	}
	if b.Worker.Draining {
		s.drainEnd = now + time.Duration(b.RemainingMillis)*time.Millisecond
	}
	if sameReport(&s.worker, &b.Worker) {
		reply(Done)
		return
	}
	drained := s.worker.Draining
	s.worker.Draining = drained || b.Worker.Draining
	c.dirty = true
	c.change(state.SetPoolWorkers{Workers: []state.PoolWorker{b.Worker}}, func(err error) {
		if err != nil {
			s.worker.Draining = drained // the next report commits it again
			reply(Unknown)
			return
		}
		s.worker, s.roomKnown = b.Worker, false
		event.Log(c.opts.Logger, event.WorkerKnown, slog.String("worker", s.worker.ID),
			slog.Int64("born", s.worker.Born), slog.Uint64("sequence", b.Sequence), slog.Bool("draining", s.worker.Draining))
		reply(Done)
	})
}

func sameReport(a, b *state.PoolWorker) bool {
	return a.Draining == b.Draining && a.Pool == b.Pool && a.Capacity == b.Capacity && a.Address == b.Address &&
		a.Zone == b.Zone
}

// workerLeft takes a worker's notice that it ends. It names no life: a notice
// of one that did not drain, or that answers later, is of another life, and the
// lease decides.
func (c *Controller) workerLeft(id string) {
	s := c.sessions[id]
	if s == nil || !s.worker.Draining || s.leaveAt != 0 {
		return
	}
	s.leftAt = c.now()
	s.leaveAt = s.leftAt + leaveDelay
	event.Log(c.opts.Logger, event.WorkerLeaves, slog.String("worker", id), slog.Int64("born", s.worker.Born),
		slog.Int("runs", len(s.attempts)))
}

// failureWindow counts the failed runs of a worker since its last good one.
type failureWindow struct {
	workflows map[string]bool
	blamedAt  time.Duration // when the worker was last quarantined
}

const (
	// quarantineWorkflows is from how many workflows in a row, without a good
	// run between, failures are taken for the worker's own.
	quarantineWorkflows = 3
	// quarantineTime is how long such a worker is not used. The next run there
	// decides anew.
	quarantineTime = 3 * time.Second
)

// note counts the end of a run and keeps tasks off a worker that fails those
// of several workflows in a row.
func (w *failureWindow) note(c *Controller, s *session, a *attempt, failed bool) {
	if !failed {
		w.workflows = nil
		return
	}
	if a.startedAt < w.blamedAt {
		return // the worker was blamed for what went wrong then
	}
	if w.workflows == nil {
		w.workflows = make(map[string]bool)
	}
	w.workflows[a.run.Workflow] = true
	if len(w.workflows) < quarantineWorkflows {
		return
	}
	w.blamedAt = c.now()
	s.pauseUntil = w.blamedAt + quarantineTime
	event.Log(c.opts.Logger, event.WorkerQuarantined, slog.String("worker", s.worker.ID),
		slog.Int("workflows", len(w.workflows)), slog.Duration("for", quarantineTime))
}
