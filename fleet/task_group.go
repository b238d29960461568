package fleet

import (
	"maps"

	"apricotrouter/placement"
)

// unplaceableStep is a step with a task that could not be placed in this pass.
// Tasks of the step that exclude at least the same workers can't be placed
// either.
type unplaceableStep struct {
	step, occurrence int
	usesReserved     bool // reserved workers were considered
	minRate          int  // lowest execution rate at which the task would have started
	excludedWorkers  map[string]bool
	releases         int // of the pool at that time
}

func (f *unplaceableStep) includes(t *task, p *pool, usesReserved bool, minRate int, excludedWorkers map[string]bool) bool {
	if minRate < f.minRate || t.pos.Step != f.step || t.pos.Occurrence != f.occurrence || usesReserved && !f.usesReserved || f.releases != p.releases {
		return false
	}
	for worker := range f.excludedWorkers {
		if !excludedWorkers[worker] {
			return false
		}
	}
	return true
}

// taskGroup is the tasks of a step that can be placed interchangeably in one
// pass.
type taskGroup struct {
	first        *task
	pool         *pool
	usesReserved bool // the tasks have waited so long that they may use reserved workers
	workers      []*placement.WorkerCapacity
	request      placement.PoolTask
	ranking      *placement.Ranking // nil until it is needed
	changes      int                // of the pool when the ranking was made
}

func (c *Controller) taskGroup(t *task, p *pool, j placement.WaitingJob, usesReserved bool, avoid map[string]bool) *taskGroup {
	e := &taskGroup{first: t, pool: p, usesReserved: usesReserved, workers: p.workers}
	// A task that starts at the lowest rate reserves no CPU, which is what workers are
	// reserved for.
	if usesReserved || placement.StartedAtLowestRate(c.minStartRate(t, p)) {
		e.workers = p.allWorkers
	}
	e.request = c.placementRequest(t, p, avoid)
	if !j.ExceedsShare {
		e.request.Excluded = p.excludeOverShare(t, e.request.Excluded)
	}
	return e
}

// includes reports whether a task may run on the same workers as the first.
func (e *taskGroup) includes(t *task) bool {
	return e != nil && e.first.pos.Step == t.pos.Step && e.first.pos.Occurrence == t.pos.Occurrence &&
		len(e.first.avoid) == 0 && len(t.avoid) == 0 && e.first.lostWith == nil && t.lostWith == nil && len(e.first.refusedUntil) == 0 && len(t.refusedUntil) == 0
}

// mayExceedShare reports whether the next task of the group may exceed the
// share of serving tasks.
func (e *taskGroup) mayExceedShare(waitedMillis int64, ranBefore bool) bool {
	fitting := 0
	if e.usesReserved {
		fitting = placement.CountFitting(e.workers, e.request)
	}
	return placement.MayExceedShare(waitedMillis, ranBefore, e.pool.idleCapacity, fitting)
}

// bestWorker returns the index of the best worker for the next task of the
// group, or -1.
func (e *taskGroup) bestWorker(j placement.WaitingJob, waitedMillis int64, ranBefore bool) int {
	if j.ExceedsShare && !e.mayExceedShare(waitedMillis, ranBefore) {
		return -1
	}
	if e.ranking == nil || e.changes != e.pool.changes {
		e.ranking, e.changes = placement.Rank(e.workers, e.request), e.pool.changes
	}
	return e.ranking.Best()
}

// recordPlaced records that a task was placed on the best worker. If that was
// not the only change since the workers were ranked, they are ranked again.
func (e *taskGroup) recordPlaced() {
	if e.changes+1 == e.pool.changes {
		e.ranking.Update()
		e.changes++
	}
}

// excludedWorkers returns the workers on which the task may not run even if no
// other worker has free capacity. These are the workers that it avoids. There
// are none if the task failed on nearly all workers of the pool, because the
// task itself is then at fault, or if it is a serving task that has waited too
// long.
func (c *Controller) excludedWorkers(t *task, p *pool) map[string]bool {
	if len(t.avoid)*2 >= len(p.sessions) || t.step.LongRunning && placement.IsStarved((p.now-t.waitingSince).Milliseconds()) {
		return nil
	}
	return t.avoid
}

// avoidedWorkers returns the workers on which the task runs only if no other
// worker has free capacity: those that it avoids, and those with other tasks
// that were lost in the same crash. Apart from each other, the one at fault is
// the only one of them that is lost again.
func (t *task) avoidedWorkers() map[string]bool {
	if t.lostWith == nil {
		return t.avoid
	}
	avoided := maps.Clone(t.avoid)
	for worker, runs := range t.lostWith.restarted {
		if runs > 0 {
			if avoided == nil {
				avoided = make(map[string]bool)
			}
			avoided[worker] = true
		}
	}
	return avoided
}

// placementRequest returns the placement request of a task that avoids workers.
// Its exclusions follow the runs on the workers, so they hold for as long as the
// pool is in use.
func (c *Controller) placementRequest(t *task, p *pool, avoid map[string]bool) placement.PoolTask {
	request := placement.PoolTask{Step: t.step, InterferenceModel: c.interference, MinStartRate: c.minStartRate(t, p)}
	if t.step.LongRunning && t.step.TailMillis > 0 {
		request.WaitingImages = c.waitingImages(t.workflow.spec.Pool, p)
	}
	confinedTo := t.confinedTo()
	if t.step.MaxPerWorker > 0 || len(avoid) > 0 || len(t.refusedUntil) > 0 || confinedTo != "" {
		request.Excluded = func(i int) bool {
			s := p.sessions[i]
			_, refused := t.refusedUntil[s.worker.ID]
			return s.stepRuns.exceedLimit(t, 1) || avoid[s.worker.ID] || refused ||
				confinedTo != "" && s.worker.ID != confinedTo
		}
	}
	return request
}

// excessWait is the wait of a best-effort task, in milliseconds, from which it
// counts as work that does not fit: a placement pass has tried to place it.
const excessWait = 1000

// waitingImages returns, once per placement pass, the images of the best-effort
// tasks of a pool that do not fit.
func (c *Controller) waitingImages(name string, p *pool) []placement.WaitingImage {
	if p.waitingImages != nil {
		return p.waitingImages
	}
	demand := make(map[string]placement.WaitingCPU)
	for _, f := range c.workflows {
		if f.spec.Pool != name || f.readyTasks == 0 {
			continue
		}
		for _, t := range f.tasks {
			if t.phase == taskReady && t.step.BestEffort && p.waited(t) >= excessWait {
				d := demand[t.step.Image]
				demand[t.step.Image] = placement.WaitingCPU{Tasks: d.Tasks + 1, MilliCPU: d.MilliCPU + t.step.Size.MilliCPU}
			}
		}
	}
	p.waitingImages = placement.NewWaitingImages(demand)
	return p.waitingImages
}

// minStartRate returns the lowest execution rate at which a task starts rather
// than waits, in percent.
func (c *Controller) minStartRate(t *task, p *pool) int {
	if !t.step.BestEffort || !p.reducedRates {
		return fullRate
	}
	wait := p.startWait(t)
	wait.EstimateMillis, wait.ImageRuns = c.estimate(t.workflow, t.pos.Step).Mean(), p.runsImage(t.step.Image)
	return placement.MinStartRate(wait)
}

// startWait describes the wait of a best-effort task, without its estimate and its
// image.
func (p *pool) startWait(t *task) placement.StartWait {
	return placement.StartWait{
		WaitedMillis: p.waited(t), HalfIdle: p.halfIdle(), IdleMillis: t.idleFor(p.now),
		Late: t.workflow.missesObjective, Unreserved: p.mostlyUnreserved(),
	}
}

// stepKey identifies a step of one occurrence of a workflow.
type stepKey struct {
	workflow         string
	occurrence, step int
}

// stepCounts are the numbers of runs on a worker by step, of the steps that
// limit them.
type stepCounts map[stepKey]int

func (t *task) stepKey() stepKey {
	return stepKey{t.workflow.spec.ID, t.pos.Occurrence, t.pos.Step}
}

func (n stepCounts) add(t *task, runs int) {
	if t.step.MaxPerWorker == 0 {
		return
	}
	k := t.stepKey()
	if n[k] += runs; n[k] == 0 {
		delete(n, k)
	}
}

// exceedLimit reports whether further runs of the step of a task would exceed
// its limit per worker.
func (n stepCounts) exceedLimit(t *task, runs int) bool {
	return t.step.MaxPerWorker > 0 && n[t.stepKey()]+runs > t.step.MaxPerWorker
}
