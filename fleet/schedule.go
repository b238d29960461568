package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"apricotrouter/placement"
	"apricotrouter/state"
)

// servingUsePercent is the assumed CPU use of a serving task, in percent of its
// reservation.
const servingUsePercent = 60

// pool is the state of one pool during one placement pass.
type pool struct {
	sessions []*session
	workers  []*placement.WorkerCapacity
	// allWorkers includes the reserved workers, which are nil in workers.
	allWorkers []*placement.WorkerCapacity
	// smallestUnplaced has, by class, the smallest task that could not be
	// placed in this pass. Larger tasks of the class can't be placed either.
	smallestUnplaced map[placementClass]state.Resources
	// reserved are the workers, by index, that overdue serving tasks have
	// reserved in this pass.
	reserved map[int]bool
	// reservedInPass are all workers, by index, that were reserved in this
	// pass.
	reservedInPass map[int]bool
	// shares are the batch reservations by priority.
	shares map[int]*placement.BatchReservation
	// idleCapacity is the number of serving tasks that may exceed their share
	// in this pass, because batch tasks leave the CPU idle.
	idleCapacity int
	idleObserved bool
	// aside are the waiting tasks whose capacity has been set aside in this pass.
	aside map[*task]bool
	// asideFromServing is capacity that only batch tasks may use in this pass.
	asideFromServing []asideCapacity
}

func newPool(size int) *pool {
	return &pool{
		sessions: make([]*session, 0, size), workers: make([]*placement.WorkerCapacity, 0, size),
		smallestUnplaced: make(map[placementClass]state.Resources), reserved: make(map[int]bool), reservedInPass: make(map[int]bool),
		shares: make(map[int]*placement.BatchReservation), aside: make(map[*task]bool),
	}
}

// placementClass is everything that decides whether a task fits, except its
// size.
type placementClass struct {
	kind       taskKind
	bestEffort bool
	image      string // of a best-effort task; decides which serving tasks it interferes with
	// priority and overShare of a serving task decide about its share.
	priority                int
	overShare, usesReserved bool
}

func classOf(s *state.WorkflowStep, j placement.WaitingJob) placementClass {
	class := placementClass{kind: kindOf(s), bestEffort: s.BestEffort}
	if s.BestEffort {
		class.image = s.Image
	}
	if s.LongRunning {
		class.priority, class.overShare = j.Priority, j.ExceedsShare
	}
	return class
}

// unplaceable reports whether a smaller task of the same class could not be
// placed in this pass. With a long queue, a full pool then costs one search of
// the workers for each class, not for each workflow.
func (p *pool) unplaceable(s *state.WorkflowStep, class placementClass) bool {
	smallest, ok := p.smallestUnplaced[class]
	return ok && smallest.FitsIn(s.Size)
}

// reserve reserves a worker for a serving task that has waited too long. It
// selects the worker with the most free CPU among those on which the task fits
// once batch tasks end. Other overdue tasks may still use the worker if they
// fit.
func (p *pool) reserve(t placement.PoolTask) {
	excluded := t.Excluded
	t.Excluded = func(i int) bool { return p.reserved[i] || excluded != nil && excluded(i) }
	if best := placement.ChooseReserved(p.workers, t); best >= 0 {
		p.reserved[best] = true
	}
}

// applyReservations removes the reserved workers from the rest of the pass.
func (p *pool) applyReservations() {
	for i := range p.reserved {
		p.workers[i] = nil
		p.reservedInPass[i] = true
	}
	clear(p.reserved)
}

// recordUnplaceable records that a task could not be placed. A task that is
// restricted to some workers is skipped, because other tasks may fit elsewhere.
func (p *pool) recordUnplaceable(t *task, class placementClass) {
	s := t.step
	if s.Label != "" || s.DataRack != "" || s.MaxPerWorker > 0 || len(t.avoid) > 0 || len(t.refusedUntil) > 0 {
		return
	}
	if smallest, ok := p.smallestUnplaced[class]; !ok || s.Size.FitsIn(smallest) {
		p.smallestUnplaced[class] = s.Size
	}
}

// schedule places ready tasks: queues by priority, then workflows by deadline.
func (c *Controller) schedule() {
	now := c.now()
	waiting := c.waitingJobs()
	if len(waiting) == 0 && now < c.nextReport {
		return
	}
	c.placeSuspects(now)
	pools := c.pools(now)
	defer c.reportOccupancy(pools)
	if len(waiting) == 0 {
		return
	}
	c.placeReserved(pools)
	placement.OrderJobs(c.opts.Clock.Now().UnixMilli(), waiting)
	for _, j := range waiting {
		pool := c.workflows[j.ID].spec.Pool
		if p := pools[pool]; p != nil && j.Serving {
			c.ensureShare(pool, p, j.Priority)
		}
	}
	for _, j := range waiting {
		f := c.workflows[j.ID]
		if p := pools[f.spec.Pool]; p != nil && !j.Starved() && !j.Restart {
			p.applyReservations()
		}
		if c.journal.full() {
			c.dirty = true
			return
		}
		if p := pools[f.spec.Pool]; p != nil {
			if j.ExceedsShare {
				p.setAsideFromServing()
				c.observeIdle(f.spec.Pool, p)
			}
			c.placeWorkflow(f, p, j)
		}
	}
}

// lateFactor is the multiple of its objective after which the result of a
// workflow has no value, from the service terms.
const lateFactor = 3

func (c *Controller) waitingJobs() []placement.WaitingJob {
	now := c.now()
	var waiting []placement.WaitingJob
	for _, f := range c.workflows {
		c.unblockTasks(f)
		if f.readyTasks > 0 {
			j := waitingJob(f, now)
			waiting = append(waiting, j)
			if restart := j; f.restartWaits() {
				restart.Restart = true
				waiting = append(waiting, restart)
			}
			if j.Serving && placement.NearlyOverdue(j.WaitedMillis) {
				j.ExceedsShare = true
				waiting = append(waiting, j)
			}
		}
	}
	return waiting
}

// waitingJob returns what decides about the order of a workflow with ready
// tasks.
func waitingJob(f *workflow, now time.Duration) placement.WaitingJob {
	serving, waited := f.servingWait(now)
	return placement.WaitingJob{
		Serving: serving, WaitedMillis: waited.Milliseconds(),
		ID: f.spec.ID, Priority: f.spec.Priority, Deadline: f.deadline,
		LateDeadline: f.submittedAt + lateFactor*(f.deadline-f.submittedAt), RemainingMillis: f.remainingMillis(),
	}
}

// servingWait reports whether serving tasks of the workflow wait, and the
// longest wait of them.
func (f *workflow) servingWait(now time.Duration) (bool, time.Duration) {
	serving, waited := false, time.Duration(0)
	for _, t := range f.tasks {
		if t.phase == taskReady && t.step.LongRunning {
			serving, waited = true, max(waited, now-t.waitingSince)
		}
	}
	return serving, waited
}

// restartWaits reports whether a serving task of the workflow waits that ran
// before.
func (f *workflow) restartWaits() bool {
	return slices.ContainsFunc(f.tasks, func(t *task) bool { return t.phase == taskReady && t.restarts() })
}

// restarts reports whether the next run of the task replaces one that a serving
// task has lost.
func (t *task) restarts() bool { return t.step.LongRunning && t.ranBefore() }

// remainingMillis returns the estimated remaining duration of the critical
// path.
func (f *workflow) remainingMillis() int64 {
	remaining := make([]int64, len(f.spec.Steps))
	for _, t := range f.tasks {
		if t.phase == taskDone {
			continue
		}
		left := t.step.EstimateMillis
		if t.attempt != nil && !t.step.LongRunning {
			left = left * int64(fullRate-t.attempt.runStats.progress) / fullRate
		}
		remaining[t.pos.Step] = max(remaining[t.pos.Step], left)
	}
	return criticalPath(f.spec, func(step int) int64 { return remaining[step] })
}

// pools returns the usable workers by pool, ordered by id.
func (c *Controller) pools(now time.Duration) map[string]*pool {
	s := c.opts.Log.State()
	all := make(map[string]*pool)
	evacuated := make(map[string]bool)
	var p *pool // of the previous worker
	name := ""
	for _, w := range c.sortedSessions() {
		if !w.usable(c, now) {
			continue
		}
		zoneEvacuated, known := evacuated[w.worker.Zone]
		if !known {
			zoneEvacuated = s.IsZoneEvacuated(w.worker.Zone)
			evacuated[w.worker.Zone] = zoneEvacuated
		}
		if zoneEvacuated {
			continue
		}
		if !w.resourcesValid {
			c.updateResources(w)
		}
		if p == nil || name != w.worker.Pool {
			name = w.worker.Pool
			if p = all[name]; p == nil {
				p = newPool(len(c.sorted))
				all[name] = p
			}
		}
		p.sessions = append(p.sessions, w)
		p.workers = append(p.workers, &w.resources)
		p.allWorkers = append(p.allWorkers, &w.resources)
	}
	return all
}

// sortedSessions returns all sessions ordered by worker id.
func (c *Controller) sortedSessions() []*session {
	if c.sorted == nil {
		for _, s := range c.sessions {
			c.sorted = append(c.sorted, s)
		}
		slices.SortFunc(c.sorted, func(a, b *session) int { return cmp.Compare(a.worker.ID, b.worker.ID) })
	}
	return c.sorted
}

// updateResources computes the free capacity of the worker.
func (c *Controller) updateResources(s *session) {
	s.resourcesValid = true
	r := &s.resources
	*r = placement.WorkerCapacity{
		Zone: s.worker.Zone, Labels: s.worker.Labels, Capacity: s.worker.Capacity, Free: s.free(),
		IdleCPU: s.worker.Capacity.MilliCPU, ServingGroups: r.ServingGroups[:0],
	}
	clear(c.imageUse)
	servingTasks := 0
	for _, a := range s.attempts {
		step := a.task.step
		use := step.Size.MilliCPU
		if step.LongRunning {
			use = use * servingUsePercent / 100
			if step.TailMillis > 0 {
				servingTasks++
			}
		}
		if step.BestEffort {
			r.BestEffort++
			c.imageUse[step.Image] += s.cpuShare(step.Size.MilliCPU)
		}
		r.IdleCPU -= use
		if !step.LongRunning {
			r.Batch = r.Batch.Add(step.Reservation())
		}
	}
	if servingTasks == 0 {
		return
	}
	for _, a := range s.attempts {
		if a.task.step.LongRunning && a.task.step.TailMillis > 0 {
			r.AddServingTask(a.task.step.Image, c.headroom(a, c.imageUse))
		}
	}
}

// headroom returns how much more load from co-located tasks a serving task
// tolerates at its expected load.
func (c *Controller) headroom(a *attempt, uses map[string]float64) float64 {
	step := a.task.step
	headroom := c.interference.Limit(step.Image, step.TailMillis) - c.expectedLoad(a, c.now(), placementHorizon)
	for image, use := range uses {
		headroom -= c.interference.Coefficient(step.Image, image) * use
	}
	return headroom
}

// placeWorkflow places the ready tasks of a workflow. Tasks of a step differ
// only in the workers that they avoid: if one does not fit, others that avoid
// the same workers don't fit either. A serving task that has waited too long
// and does not fit reserves a worker until enough of it is free.
func (c *Controller) placeWorkflow(f *workflow, p *pool, j placement.WaitingJob) {
	unplaceable := unplaceableStep{step: -1}
	var group *taskGroup
	for _, t := range f.tasks {
		if t.phase != taskReady || t.waitsAlone() || !t.mayStart() || j.Restart != t.restarts() && !j.ExceedsShare {
			continue
		}
		t.expireRefusals(c.now())
		excludedWorkers, avoided := c.excludedWorkers(t, p), t.avoidedWorkers()
		waited := (c.now() - t.waitingSince).Milliseconds()
		usesReserved := j.ExceedsShare && placement.RestartOverdue(waited, t.ranBefore()) ||
			j.Starved() && t.step.LongRunning && placement.Overdue(waited)
		if unplaceable.includes(t, usesReserved, excludedWorkers) {
			if j.Restart && c.returnToReserved(t, p) {
				group = nil // its ranking does not include this worker
			}
			continue
		}
		if j.ExceedsShare && (!t.step.LongRunning || !placement.Overdue(waited)) {
			continue
		}
		if t.step.Gang {
			c.placeGang(t, p, usesReserved)
			group, unplaceable = nil, unplaceableStep{step: t.pos.Step, occurrence: t.pos.Occurrence, usesReserved: true}
			continue
		}
		class := classOf(t.step, j)
		class.usesReserved = usesReserved
		if !group.includes(t) || group.usesReserved != usesReserved {
			group = c.taskGroup(t, p, j, usesReserved, avoided)
		}
		i := -1
		if !p.unplaceable(t.step, class) {
			i = group.bestWorker(j, waited, t.ranBefore())
			if i < 0 && len(avoided) > len(excludedWorkers) {
				group = c.taskGroup(t, p, j, usesReserved, excludedWorkers)
				i = group.bestWorker(j, waited, t.ranBefore())
			}
		}
		if i < 0 && j.Restart && c.returnToReserved(t, p) {
			group = nil
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
				unplaceable = unplaceableStep{t.pos.Step, t.pos.Occurrence, usesReserved, excludedWorkers}
			}
			continue
		}
		p.book(i, group.request)
		if j.ExceedsShare {
			p.idleCapacity = max(0, p.idleCapacity-1)
		}
		c.place(t, p.sessions[i], t.run+1)
		group.recordPlaced(i)
	}
}

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

// placeGang places all tasks of a gang, or none. They share the run number.
func (c *Controller) placeGang(t *task, p *pool, usesReserved bool) {
	f := t.workflow
	first := f.spec.FirstTask(t.pos.Occurrence, t.pos.Step)
	members := f.tasks[first : first+t.step.Count]
	var number uint64
	for _, m := range members {
		if m.phase != taskReady || !m.mayStart() {
			return
		}
		m.expireRefusals(c.now())
		number = max(number, m.run+1)
	}
	workers := slices.Clone(p.workers)
	if usesReserved {
		copy(workers, p.allWorkers)
	}
	for i, s := range p.sessions {
		if slices.ContainsFunc(members, func(m *task) bool { _, refused := m.refusedUntil[s.worker.ID]; return refused }) {
			workers[i] = nil
		}
	}
	request, _ := c.placementRequest(t, p, nil)
	for _, rack := range gangRacks(t.step, p) {
		if chosen := chooseGang(request, len(members), workers, rack); chosen != nil {
			for i, m := range members {
				p.book(chosen[i], request)
				c.place(m, p.sessions[chosen[i]], number)
			}
			return
		}
	}
}

// gangRacks returns the rack labels to which a gang may be confined, in the
// order in which they are tried; "" means any worker.
func gangRacks(s *state.WorkflowStep, p *pool) []string {
	if !s.SameRack {
		return []string{""}
	}
	seen := make(map[string]bool)
	var racks []string
	for _, r := range p.workers {
		if r == nil {
			continue
		}
		for _, l := range r.Labels {
			if !seen[l] && l != s.Label {
				seen[l] = true
				racks = append(racks, l)
			}
		}
	}
	slices.Sort(racks)
	return append(racks, "")
}

// chooseGang returns the index of a worker for each member of a gang, or nil.
func chooseGang(task placement.PoolTask, members int, workers []*placement.WorkerCapacity, label string) []int {
	trial := make([]*placement.WorkerCapacity, len(workers))
	for i, r := range workers {
		if r != nil && (label == "" || slices.Contains(r.Labels, label)) {
			worker := *r
			worker.ServingGroups = slices.Clone(r.ServingGroups)
			trial[i] = &worker
		}
	}
	onWorker := make(map[int]int)
	limit := task.Step.MaxPerWorker
	task.Excluded = func(i int) bool { return limit > 0 && onWorker[i] >= limit }
	chosen := make([]int, 0, members)
	for range members {
		i := placement.ChooseWorker(trial, task)
		if i < 0 {
			return nil
		}
		trial[i].Reserve(task)
		onWorker[i]++
		chosen = append(chosen, i)
	}
	return chosen
}
