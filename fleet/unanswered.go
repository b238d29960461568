package fleet

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"time"

	"apricotrouter/event"
	"apricotrouter/placement"
	"apricotrouter/state"
)

// A start without an answer is carried out by whichever incarnation of its worker
// it reaches. A stop that is acknowledged, a report and a lease that has expired
// settle it for one incarnation only. Until the call can no longer arrive, the next
// run of the task starts on the same worker: an incarnation that has answered a
// later call refuses the earlier start, and the run ends with the incarnation.

// defaultCallDelay is how late a worker may carry out a call without a response.
const defaultCallDelay = 12 * time.Second

// callDelay returns how late a worker may carry out a call without a response.
func (c *Controller) callDelay() time.Duration {
	return cmp.Or(c.opts.Limits.CallDelay, defaultCallDelay)
}

// unansweredStarts are the starts of a task without an answer that may still
// arrive. All of them were sent to the same worker.
type unansweredStarts struct {
	worker string // id; empty if there are none
	// address is where they were sent; empty if it is not known or not the same.
	address string
	until   map[uint64]time.Duration // when each can no longer arrive, by run number
}

// confinedTo returns the id of the only worker on which the task may start; empty
// if it may start on any.
func (t *task) confinedTo() string { return t.unanswered.worker }

// startAnswered records that the start of a run was carried out, so that it can't
// arrive again. A later leader needs to know this of a serving task, which must
// not wait long after its worker is lost.
func (c *Controller) startAnswered(a *attempt) {
	if a.startKnown {
		return
	}
	a.startKnown = true
	if a.task.step.LongRunning && !a.task.step.Duplicates {
		c.journal.answered = append(c.journal.answered, state.TaskRun{Workflow: a.run.Workflow, Task: a.run.Task, Run: a.run.Number})
	}
}

// confineUnanswered confines the task of a run that has ended to its worker, if
// its start was sent and may still arrive, and reports whether it did. Copies of a
// task may run beside each other.
func (c *Controller) confineUnanswered(a *attempt) bool {
	t, s := a.task, a.session
	if s.addressTaken && s.worker.Address == a.sentTo {
		return false
	}
	if a.startKnown || t.step.Duplicates || c.workflows[t.workflow.spec.ID] != t.workflow {
		return false
	}
	sentBy := a.startedAt // of an adopted run: an earlier leader sent it before
	switch {
	case a.startInFlight:
		sentBy = c.now() + startTimeout
	case a.startEndedAt > 0:
		sentBy = a.startEndedAt
	}
	until := sentBy + c.callDelay()
	if until <= c.now() {
		return false
	}
	c.confine(t, unansweredStarts{worker: s.worker.ID, address: a.sentTo}, a.run.Number, until)
	c.metrics.unansweredStarts.Inc()
	event.Log(c.opts.Logger, event.TaskConfined, slog.String("workflow", a.run.Workflow), slog.Int("task", a.run.Task),
		slog.Uint64("run", a.run.Number), slog.String("worker", s.worker.ID), slog.Int64("for_ms", (until-c.now()).Milliseconds()),
		slog.Bool("adopted", a.adopted), slog.Bool("in_flight", a.startInFlight))
	return true
}

// confine confines a task to the worker of an unanswered start.
func (c *Controller) confine(t *task, where unansweredStarts, run uint64, until time.Duration) {
	u := &t.unanswered
	switch {
	case u.worker != where.worker:
		*u = where
		u.until = make(map[uint64]time.Duration)
	case u.address != where.address:
		u.address = ""
	}
	u.until[run] = until
	c.confined[t] = true
}

// followConfinement confines a task as the replicated state says. An earlier
// leader may have sent the start until the activation.
func (c *Controller) followConfinement(t *task, r *state.WorkflowTask) {
	if r.UnansweredOn == "" {
		t.releasing = false
		return
	}
	if t.confinedTo() == "" && !t.releasing && t.phase != taskDone {
		c.confine(t, unansweredStarts{worker: r.UnansweredOn}, r.Run, c.now()+c.callDelay())
	}
}

// heldEnd is an end that is not acknowledged to the worker before a time.
type heldEnd struct {
	sequence uint64
	until    time.Duration
}

// maxUnacknowledged bounds the ends that wait behind a held one. A report lists at
// most maxReportedEnds, which must include those of the running tasks.
const maxUnacknowledged = maxReportedEnds / 2

// holdEnd delays the acknowledgement of the end of a task while a start of it may
// arrive, or one of another member of its gang, which ends with it. If an
// incarnation ends before it was acknowledged, the task may run again; a start that
// arrives after the acknowledgement would repeat work that is done for good.
func (c *Controller) holdEnd(s *session, t *task, sequence uint64) {
	until := time.Duration(0)
	for _, m := range t.gang() {
		for _, u := range m.unanswered.until {
			until = max(until, u)
		}
	}
	if until == 0 {
		return
	}
	s.heldEnds = append(s.heldEnds, heldEnd{sequence, until})
	event.Log(c.opts.Logger, event.EndHeld, slog.String("workflow", t.workflow.spec.ID), slog.Int("task", t.number),
		slog.String("worker", s.worker.ID), slog.Uint64("sequence", sequence), slog.Int64("for_ms", (until-c.now()).Milliseconds()))
}

// acknowledgeable returns the last end that may be acknowledged to the worker.
func (s *session) acknowledgeable(now time.Duration) uint64 {
	s.heldEnds = slices.DeleteFunc(s.heldEnds, func(h heldEnd) bool { return now >= h.until })
	if len(s.heldEnds) == 0 {
		return s.lastEnd
	}
	first := s.heldEnds[0].sequence // ends are held in their order
	if s.lastEnd-first >= maxUnacknowledged {
		s.heldEnds = nil
		return s.lastEnd
	}
	return first - 1
}

// startResolved ends the confinement by the start of a run that has ended, whose
// call turns out to have had no effect.
func (c *Controller) startResolved(a *attempt) {
	a.startKnown = true
	if t := a.task; t.unanswered.until[a.run.Number] > 0 {
		delete(t.unanswered.until, a.run.Number)
		c.releaseSettled(t)
	}
}

// releaseSettled lets a task start on any worker once none of its starts can
// arrive any more.
func (c *Controller) releaseSettled(t *task) {
	now := c.now()
	maps.DeleteFunc(t.unanswered.until, func(_ uint64, until time.Duration) bool { return now >= until })
	if len(t.unanswered.until) > 0 {
		return
	}
	worker := t.unanswered.worker
	t.unanswered, t.releasing = unansweredStarts{}, true
	delete(c.confined, t)
	if c.workflows[t.workflow.spec.ID] != t.workflow {
		return
	}
	c.dirty = true
	c.journal.settle(state.TaskRun{Workflow: t.workflow.spec.ID, Task: t.number, Run: t.run})
	if t.phase == taskReady {
		c.metrics.confinedWaits.Observe((now - t.waitingSince).Seconds())
		event.Log(c.opts.Logger, event.TaskReleased, slog.String("workflow", t.workflow.spec.ID), slog.Int("task", t.number),
			slog.Uint64("run", t.run), slog.String("worker", worker), slog.Int64("waited_ms", (now-t.waitingSince).Milliseconds()))
	}
}

// addressTaken handles that another worker has the address of a worker. It refuses
// calls that name the worker, also those that are still on their way.
func (c *Controller) addressTaken(s *session) {
	s.addressTaken = true
	for t := range c.confined {
		if t.confinedTo() == s.worker.ID && t.unanswered.address == s.worker.Address {
			clear(t.unanswered.until)
			c.releaseSettled(t)
		}
	}
}

// releaseConfined releases the tasks whose unanswered starts can no longer arrive.
func (c *Controller) releaseConfined() {
	for t := range c.confined {
		c.releaseSettled(t)
	}
}

// Load pattern: a worker leaves one start in twenty without an answer and carries
// it out seconds later, and others wait for the capacity that its run had
// reserved. The task starts there again at once, before them.

// placeConfined starts the tasks that are confined to a worker, and sets the
// capacity of those that can't start yet, and of members of gangs, aside, those that
// have waited longest first.
func (c *Controller) placeConfined(pools map[string]*pool) {
	tasks := slices.SortedFunc(maps.Keys(c.confined), comparePlaces)
	for _, t := range tasks {
		p, s := pools[t.workflow.spec.Pool], c.sessions[t.confinedTo()]
		if p == nil || s == nil || c.workflows[t.workflow.spec.ID] != t.workflow || !t.awaitsRun() || t.waitsAlone() || !t.mayStart() || !c.capAllows(t) {
			continue
		}
		i, usable := p.indexOf(s)
		if !usable || p.workers[i] == nil {
			continue
		}
		t.expireRefusals(p.now)
		request := c.confinedRequest(t, p)
		if t.phase == taskReady && !t.step.Gang && !c.journal.full() && placement.ChooseWorker(p.workers, request) == i {
			c.metrics.confinedWaits.Observe((p.now - t.waitingSince).Seconds())
			c.startOn(t, p, i, request, t.run+1)
			continue
		}
		switch {
		case request.Excluded(i):
		case t.step.BestEffort && !t.step.Gang: // its processors are not reserved, but others must not take the idle ones
			p.book(i, request)
			s.resourcesValid = false
		default:
			p.setAside(i, t)
		}
	}
}

// confinedRequest returns the placement request of a confined task, which may start
// at a reduced rate: it can't run at the full rate elsewhere.
func (c *Controller) confinedRequest(t *task, p *pool) placement.PoolTask {
	defer func(reduced bool) { p.reducedRates = reduced }(p.reducedRates)
	p.reducedRates = true
	return c.placementRequest(t, p, nil)
}

// releaseAside returns the capacity that was set aside for confined members of a
// gang, by index of the worker, and returns a function that sets it aside again
// for those that were not started.
func (p *pool) releaseAside(members []*task, confined map[int]int) (restore func()) {
	var released []int
	for m := range confined {
		if _, ok := p.aside[members[m]]; ok {
			p.release(members[m])
			released = append(released, m)
		}
	}
	return func() {
		for _, m := range released {
			if members[m].phase == taskReady {
				p.setAside(confined[m], members[m])
			}
		}
	}
}

// confinedMembers returns the indexes of the workers to which members of a gang
// are confined, by member, and false if one of them is not usable.
func confinedMembers(members []*task, p *pool, sessions map[string]*session) (map[int]int, bool) {
	confined := make(map[int]int)
	for m, t := range members {
		worker := t.confinedTo()
		if worker == "" {
			continue
		}
		s := sessions[worker]
		if s == nil {
			return nil, false
		}
		i, usable := p.indexOf(s)
		if !usable {
			return nil, false
		}
		confined[m] = i
	}
	return confined, true
}
