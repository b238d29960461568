package fleet

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"

	"apricotrouter/event"
	"apricotrouter/placement"
	"apricotrouter/state"
)

// reserveCapacity sets capacity aside for a serving task that has lost its run,
// has waited too long and fits on no worker. The share of serving tasks does not
// bound it, because the task had this capacity before. It stays on one worker
// until the task starts or can no longer start there.
func (c *Controller) reserveCapacity(t *task, p *pool, waitedMillis int64) {
	if t.step.Gang || t.reservedOn != nil || !placement.RestartOverdue(waitedMillis, true) || !c.mayReserve(t) {
		return
	}
	i := placement.ChooseReserved(p.workers, c.placementRequest(t, p, nil))
	if i < 0 {
		return
	}
	c.reserveOn(t, p.sessions[i], waitedMillis)
	p.setAside(i, t)
}

// reserveAfterFailure keeps the capacity of a failed run for the next run of its
// serving task, which can't start before the end is committed. Otherwise tasks
// that never ran would take it, and keep it, where serving tasks fill the pool.
func (c *Controller) reserveAfterFailure(a *attempt) {
	t := a.task
	if t.step.LongRunning && !t.step.Gang && t.attempt == a && t.reservedOn == nil && !a.session.closed && c.capAllows(t) && c.mayReserve(t) {
		c.reserveOn(t, a.session, 0)
	}
}

// mayReserve reports whether capacity may be set aside for one more task of the pool
// of a task.
func (c *Controller) mayReserve(t *task) bool {
	name := t.workflow.spec.Pool
	workers, reserved := 0, 0
	for _, s := range c.sessions {
		if s.worker.Pool == name {
			workers++
		}
	}
	for other := range c.reserved {
		if other.workflow.spec.Pool == name {
			reserved++
		}
	}
	return reserved < placement.MaxReserved(workers)
}

func (c *Controller) reserveOn(t *task, s *session, waitedMillis int64) {
	event.Log(c.opts.Logger, event.CapacityReserved, slog.String("workflow", t.workflow.spec.ID), slog.Int("task", t.number),
		slog.String("worker", s.worker.ID), slog.Int64("waited_ms", waitedMillis), slog.Int64("milli_cpu", t.step.Size.MilliCPU),
		slog.Int64("free_milli_cpu", s.free().MilliCPU), slog.Int("runs", len(s.attempts)), slog.Int("reserved", len(c.reserved)+1))
	t.reservedOn, t.reservedAt = s, c.now()
	c.reserved[t] = true
}

// dropReservation releases the capacity that is set aside for a task, if there is
// any.
func (c *Controller) dropReservation(t *task, reason string) {
	if t.reservedOn == nil {
		return
	}
	event.Log(c.opts.Logger, event.CapacityReleased, slog.String("workflow", t.workflow.spec.ID), slog.Int("task", t.number),
		slog.String("worker", t.reservedOn.worker.ID), slog.String("reason", reason), slog.Int64("for_ms", (c.now()-t.reservedAt).Milliseconds()),
		slog.Int64("free_milli_cpu", t.reservedOn.free().MilliCPU), slog.Int("reserved", len(c.reserved)-1))
	t.reservedOn = nil
	delete(c.reserved, t)
}

// setAside removes the resources of a waiting task from the free capacity of a
// worker until it is released, at the latest for the rest of the pass.
func (p *pool) setAside(worker int, t *task) {
	r := p.allWorkers[worker]
	r.Free = r.Free.Sub(t.step.Reservation())
	p.sessions[worker].resourcesValid = false
	p.aside[t] = worker
	p.changes++
}

// release returns the capacity that was set aside for a task in this pass.
func (p *pool) release(t *task) {
	r := p.allWorkers[p.aside[t]]
	r.Free = r.Free.Add(t.step.Reservation())
	delete(p.aside, t)
	p.changes++
}

// startOn starts the next run of a task on a worker, by index, that can take it
// now. What was set aside for the task is free for others, also in this pass.
func (c *Controller) startOn(t *task, p *pool, worker int, request placement.PoolTask, number uint64) {
	if aside, ok := p.aside[t]; ok {
		p.release(t)
		if aside != worker {
			p.releases++
		}
	}
	reason := "started"
	if t.reservedOn != p.sessions[worker] {
		reason = "started-elsewhere"
	}
	c.dropReservation(t, reason)
	rate := p.book(worker, request)
	c.place(t, p.sessions[worker], number).runStats.startAt(rate)
	t.workflow.sustained = placement.StartedAtLowestRate(rate)
	if p.images != nil {
		p.images[t.step.Image] = true
	}
}

// placeReserved starts the tasks for which enough of their capacity has become
// free, those that have waited longest first, and sets the capacity of the
// others aside. A task whose capacity is on a worker where it failed looks for
// another one first. Until it is overdue, the share of serving tasks bounds it;
// batch tasks may then use its capacity, but no serving task that exceeds the
// share.
func (c *Controller) placeReserved(pools map[string]*pool) {
	tasks := slices.SortedFunc(maps.Keys(c.reserved), comparePlaces)
	for _, t := range tasks {
		p := pools[t.workflow.spec.Pool]
		i, reason := c.reservedWorker(t, p)
		if i < 0 {
			c.dropReservation(t, reason)
			continue
		}
		if c.exceedsShare(t, p, i) {
			p.asideFromServing = append(p.asideFromServing, asideCapacity{i, t})
			continue
		}
		if t.phase != taskReady || t.avoid[t.reservedOn.worker.ID] || !c.startOnReserved(t, p, i) {
			p.setAside(i, t)
		}
	}
}

// returnToReserved starts a task that found no other worker where its last run
// failed, if its capacity was set aside there and it may still start there:
// other tasks were placed since. The capacity must not stay idle while others
// wait for some.
func (c *Controller) returnToReserved(t *task, p *pool) bool {
	aside, ok := p.aside[t]
	if !ok || p.workers[aside] == nil || !t.avoid[t.reservedOn.worker.ID] {
		return false
	}
	p.release(t)
	i, reason := c.reservedWorker(t, p)
	if i < 0 {
		c.dropReservation(t, reason)
		p.releases++
		return false
	}
	if !c.exceedsShare(t, p, i) && c.startOnReserved(t, p, i) {
		return true
	}
	p.setAside(i, t)
	return false
}

// startOnReserved starts a task on its reservedWorker if enough is free there.
// What is set aside on the worker for tasks that have waited less does not keep it
// out: otherwise, several tasks that failed there would wait until all of them fit.
func (c *Controller) startOnReserved(t *task, p *pool, worker int) bool {
	if c.journal.full() || !t.step.Reservation().FitsIn(p.workers[worker].Free.Add(c.setAsideAfter(t, p, worker))) {
		return false
	}
	c.startOn(t, p, worker, c.placementRequest(t, p, nil), t.run+1)
	return true
}

// setAsideAfter returns what is set aside on a worker for tasks that have waited
// less than the task.
func (c *Controller) setAsideAfter(t *task, p *pool, worker int) state.Resources {
	var total state.Resources
	for other, on := range p.aside {
		if on == worker && other != t && c.reserved[other] && comparePlaces(t, other) < 0 {
			total = total.Add(other.step.Reservation())
		}
	}
	return total
}

// comparePlaces orders tasks for which capacity is set aside: those that have waited
// longest come first.
func comparePlaces(a, b *task) int {
	return cmp.Or(cmp.Compare(a.waitingSince, b.waitingSince), cmp.Compare(a.workflow.spec.ID, b.workflow.spec.ID), a.number-b.number)
}

// startBesideSetAside starts an overdue task that fits on no worker where it fits
// but for capacity that is set aside for tasks which can't start yet: for those that
// have waited less, and, if there is room for two tasks of its size, for any. Users
// count it as lost beside such room. Their capacity is set aside again in the next
// pass, there or on another worker.
func (c *Controller) startBesideSetAside(t *task, p *pool) bool {
	if t.step.Gang || c.journal.full() || len(p.aside) == 0 {
		return false
	}
	besideOlder, besideNone := make([]*placement.WorkerCapacity, len(p.workers)), make([]*placement.WorkerCapacity, len(p.workers))
	add := func(workers []*placement.WorkerCapacity, i int, size state.Resources) {
		if workers[i] == nil {
			w := *p.workers[i]
			workers[i] = &w
		}
		workers[i].Free = workers[i].Free.Add(size)
	}
	for other, i := range p.aside {
		if p.workers[i] == nil || other != t && !c.reserved[other] {
			continue
		}
		add(besideNone, i, other.step.Reservation())
		if other == t || comparePlaces(t, other) < 0 {
			add(besideOlder, i, other.step.Reservation())
		}
	}
	request := c.placementRequest(t, p, nil)
	i := placement.ChooseWorker(besideOlder, request)
	if i < 0 && placement.CountFitting(besideNone, request) > 1 {
		i = placement.ChooseWorker(besideNone, request)
	}
	if i < 0 {
		return false
	}
	c.startOn(t, p, i, request, t.run+1)
	return true
}

// indexOf returns the index of a session among the usable workers of the pool.
func (p *pool) indexOf(s *session) (int, bool) {
	i, found := slices.BinarySearchFunc(p.sessions, s, func(a, b *session) int { return cmp.Compare(a.worker.ID, b.worker.ID) })
	return i, found && p.sessions[i] == s
}

// reservedWorker returns the index of the worker on which capacity is set aside
// for the task, or -1 and the reason if the task no longer waits or can't start
// there.
func (c *Controller) reservedWorker(t *task, p *pool) (worker int, reason string) {
	switch {
	case !t.awaitsRun() || c.workflows[t.workflow.spec.ID] != t.workflow:
		return -1, "not-waiting"
	case p == nil:
		return -1, "worker-unusable"
	case t.waitsAlone() || !t.mayStart():
		return -1, "suspect"
	case t.confinedTo() != "":
		return -1, "confined"
	case !c.capAllows(t):
		return -1, "cap"
	}
	i, found := p.indexOf(t.reservedOn)
	if !found {
		return -1, "worker-unusable"
	}
	if !placement.AdmitsWithoutBatch(p.workers[i], t.step) {
		return -1, "processors"
	}
	t.expireRefusals(p.now)
	if request := c.placementRequest(t, p, nil); request.Excluded != nil && request.Excluded(i) {
		return -1, "excluded"
	}
	return i, ""
}

// exceedsShare reports whether the task is not overdue and would exceed the
// share of serving tasks on the worker.
func (c *Controller) exceedsShare(t *task, p *pool, worker int) bool {
	if placement.RestartOverdue(p.waited(t), true) {
		return false
	}
	c.ensureShare(t.workflow.spec.Pool, p, t.workflow.spec.Priority)
	return !p.shares[t.shareKey()].Admits(p.workers[worker], t.step.Size.MilliCPU)
}

// asideCapacity is capacity of a worker, by index, that is set aside for a task.
type asideCapacity struct {
	worker int
	task   *task
}

// setAsideFromServing sets capacity aside that only batch tasks may use.
func (p *pool) setAsideFromServing() {
	for _, a := range p.asideFromServing {
		if p.workers[a.worker] != nil && a.task.phase == taskReady {
			p.setAside(a.worker, a.task)
		}
	}
	p.asideFromServing = nil
}

// awaitsRun reports whether the task waits for a worker, or will as soon as the
// end of its run is committed.
func (t *task) awaitsRun() bool {
	return t.phase == taskReady || t.phase == taskBlocked || t.phase == taskOnWorker && t.attempt != nil && t.attempt.phase == attemptEnded
}
