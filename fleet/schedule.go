package fleet

import (
	"slices"

	"apricotrouter/placement"
)

// schedule places ready tasks: queues by priority, then workflows by deadline or,
// where more work waits than fits, by value.
func (c *Controller) schedule() {
	now := c.now()
	c.followTenants(c.opts.Log.State())
	waiting := c.waitingJobs()
	if len(waiting) == 0 {
		c.clearBacklogs()
		c.recordPressure(now, nil)
	}
	if len(waiting) == 0 && now < c.nextReport {
		return
	}
	c.placeSuspects(now)
	pools := c.pools(now)
	defer c.reportOccupancy(pools)
	c.observeDemand(pools, waiting)
	if len(waiting) == 0 {
		return
	}
	c.placeConfined(pools)
	c.placeReserved(pools)
	wall := c.opts.Clock.Now().UnixMilli()
	for i := range waiting {
		c.workflows[waiting[i].ID].missesObjective = waiting[i].MissesObjective(wall)
	}
	jobs := c.rankJobs(now, waiting, pools)
	placement.OrderJobs(c.opts.Clock.Now().UnixMilli(), waiting)
	if c.sharesApply = c.applyShares(waiting, pools); c.sharesApply {
		placement.OrderJobs(c.opts.Clock.Now().UnixMilli(), waiting)
	}
	for _, j := range waiting {
		pool := c.workflows[j.ID].spec.Pool
		if p := pools[pool]; p != nil && j.Serving {
			c.ensureShare(pool, p, j.Priority)
		}
	}
	if !c.placeJobs(pools, waiting) {
		c.backlogs.Store(nil) // capacity may be free for the rest
		return
	}
	if !c.placeReduced(pools, waiting) {
		c.backlogs.Store(nil)
		return
	}
	c.publishBacklogs(now, pools, jobs)
}

// placeReduced offers lower execution rates to best-effort tasks that found no
// worker for the full rate, where they may start below it.
func (c *Controller) placeReduced(pools map[string]*pool, waiting []placement.WaitingJob) bool {
	candidates := slices.DeleteFunc(waiting, func(j placement.WaitingJob) bool {
		f := c.workflows[j.ID]
		p := pools[f.spec.Pool]
		return j.Restart || j.ExceedsShare || p == nil || !slices.ContainsFunc(f.tasks, func(t *task) bool {
			return t.phase == taskReady && t.step.BestEffort && placement.MayStartReduced(p.startWait(t))
		})
	})
	if len(candidates) == 0 {
		return true
	}
	for _, p := range pools {
		p.offerReducedRates()
	}
	return c.placeJobs(pools, candidates)
}

// placeJobs places the ready tasks of jobs in their order. It returns false if
// the journal was full before the last job.
func (c *Controller) placeJobs(pools map[string]*pool, jobs []placement.WaitingJob) bool {
	for _, j := range jobs {
		f := c.workflows[j.ID]
		if p := pools[f.spec.Pool]; p != nil && !j.Starved() && !j.Restart {
			p.applyReservations()
		}
		if c.journal.full() {
			c.dirty = true
			return false
		}
		if p := pools[f.spec.Pool]; p != nil {
			if j.ExceedsShare {
				p.setAsideFromServing()
				c.observeIdle(f.spec.Pool, p)
			}
			c.placeWorkflow(f, p, j)
		}
	}
	return true
}

// placeWorkflow places the ready tasks of a workflow. Tasks of a step differ
// only in the workers that they avoid: if one does not fit, others that avoid
// the same workers don't fit either. A serving task that has waited too long
// and does not fit reserves a worker until enough of it is free.
func (c *Controller) placeWorkflow(f *workflow, p *pool, j placement.WaitingJob) {
	if !c.usage.Allows(f.spec.Tenant, f.smallest) {
		return
	}
	unplaceable := unplaceableStep{step: -1}
	var group *taskGroup
	for _, t := range f.tasks {
		if t.phase != taskReady || t.waitsAlone() || !t.mayStart() || j.Restart != t.restarts() && !j.ExceedsShare || p.reducedRates && !t.step.BestEffort {
			continue
		}
		if t.confinedTo() != "" && !t.step.Gang {
			continue // placeConfined starts it
		}
		if !c.capAllows(t) {
			continue // other tasks of the class may start; nothing is reserved for this one
		}
		t.expireRefusals(p.now)
		excludedWorkers, avoided := c.excludedWorkers(t, p), t.avoidedWorkers()
		waited := (p.now - t.waitingSince).Milliseconds()
		usesReserved := j.ExceedsShare && placement.RestartOverdue(waited, t.ranBefore()) ||
			j.Starved() && t.step.LongRunning && placement.Overdue(waited)
		minRate := c.minStartRate(t, p)
		if unplaceable.includes(t, p, usesReserved, minRate, excludedWorkers) {
			if j.Restart && !c.returnToReserved(t, p) && placement.RestartOverdue(waited, true) {
				c.startBesideSetAside(t, p)
			}
			continue
		}
		if j.ExceedsShare && (!t.step.LongRunning || !placement.Overdue(waited)) {
			continue
		}
		if t.step.Gang {
			c.placeGang(t, p, usesReserved)
			group, unplaceable = nil, unplaceableStep{step: t.pos.Step, occurrence: t.pos.Occurrence, usesReserved: true, releases: p.releases}
			continue
		}
		class := classOf(t.step, j)
		class.usesReserved, class.minRate = usesReserved, minRate
		if !group.includes(t) || group.usesReserved != usesReserved || group.request.MinStartRate != minRate {
			group = c.taskGroup(t, p, j, usesReserved, avoided)
		}
		i := -1
		if !p.unplaceable(t.step, class) && !c.exceedsLargest(p, t.step, minRate) {
			i = group.bestWorker(j, waited, t.ranBefore())
			if i < 0 && len(avoided) > len(excludedWorkers) {
				group = c.taskGroup(t, p, j, usesReserved, excludedWorkers)
				i = group.bestWorker(j, waited, t.ranBefore())
			}
		}
		if i < 0 && j.Restart && (c.returnToReserved(t, p) || placement.RestartOverdue(waited, true) && c.startBesideSetAside(t, p)) {
			continue
		}
		if i < 0 {
			p.recordUnplaceable(t, class)
			if j.Restart {
				c.reserveCapacity(t, p, waited)
			}
			if j.Starved() && t.step.LongRunning && len(excludedWorkers) == 0 && len(t.refusedUntil) == 0 {
				p.reserve(group.request)
			}
			if !j.ExceedsShare && len(t.refusedUntil) == 0 { // other tasks of the step may still fit
				unplaceable = unplaceableStep{t.pos.Step, t.pos.Occurrence, usesReserved, minRate, excludedWorkers, p.releases}
			}
			continue
		}
		if j.ExceedsShare {
			p.idleCapacity = max(0, p.idleCapacity-1)
		}
		c.startOn(t, p, i, group.request, t.run+1)
		group.recordPlaced()
	}
}
