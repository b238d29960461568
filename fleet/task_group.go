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
	excludedWorkers  map[string]bool
}

func (f *unplaceableStep) includes(t *task, usesReserved bool, excludedWorkers map[string]bool) bool {
	if t.pos.Step != f.step || t.pos.Occurrence != f.occurrence || usesReserved && !f.usesReserved {
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
	// onWorker is the number of tasks of the step on each worker, if it is
	// limited.
	onWorker map[*session]int
	ranking  *placement.Ranking // nil until it is needed
}

func (c *Controller) taskGroup(t *task, p *pool, j placement.WaitingJob, usesReserved bool, avoid map[string]bool) *taskGroup {
	e := &taskGroup{first: t, pool: p, usesReserved: usesReserved, workers: p.workers}
	if usesReserved {
		e.workers = p.allWorkers
	}
	e.request, e.onWorker = c.placementRequest(t, p, avoid)
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
	if e.ranking == nil {
		e.ranking = placement.Rank(e.workers, e.request)
	}
	return e.ranking.Best()
}

// recordPlaced records that a task was placed on the best worker.
func (e *taskGroup) recordPlaced(worker int) {
	if e.onWorker != nil {
		e.onWorker[e.pool.sessions[worker]]++
	}
	e.ranking.Update()
}

// excludedWorkers returns the workers on which the task may not run even if no
// other worker has free capacity. These are the workers that it avoids. There
// are none if the task failed on nearly all workers of the pool, because the
// task itself is then at fault, or if it is a serving task that has waited too
// long.
func (c *Controller) excludedWorkers(t *task, p *pool) map[string]bool {
	if len(t.avoid)*2 >= len(p.sessions) || t.step.LongRunning && placement.IsStarved((c.now()-t.waitingSince).Milliseconds()) {
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

// placementRequest returns the placement request of a task that avoids workers,
// and the number of tasks of its step on each worker if that is limited.
func (c *Controller) placementRequest(t *task, p *pool, avoid map[string]bool) (placement.PoolTask, map[*session]int) {
	limit := t.step.MaxPerWorker
	if limit == 0 && len(avoid) == 0 && len(t.refusedUntil) == 0 {
		return placement.PoolTask{Step: t.step, InterferenceModel: c.interference}, nil
	}
	onWorker := make(map[*session]int)
	first := t.workflow.spec.FirstTask(t.pos.Occurrence, t.pos.Step)
	for _, other := range t.workflow.tasks[first : first+t.step.Count] {
		if other.attempt != nil && other.attempt.phase != attemptEnded {
			onWorker[other.attempt.session]++
		}
	}
	return placement.PoolTask{Step: t.step, InterferenceModel: c.interference, Excluded: func(i int) bool {
		s := p.sessions[i]
		_, refused := t.refusedUntil[s.worker.ID]
		return limit > 0 && onWorker[s] >= limit || avoid[s.worker.ID] || refused
	}}, onWorker
}
