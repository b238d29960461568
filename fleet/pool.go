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
	// now is the time of the pass. Tasks are placed by the thousand, and a reading
	// of the clock for each took a fifth of the pass.
	now      time.Duration
	sessions []*session
	workers  []*placement.WorkerCapacity
	// allWorkers includes the reserved workers, which are nil in workers.
	allWorkers []*placement.WorkerCapacity
	largestCPU int64 // CPU of the largest worker, in thousandths of a processor
	// smallestUnplaced has, by class, the smallest task that could not be
	// placed in this pass. Larger tasks of the class can't be placed either.
	smallestUnplaced map[placementClass]state.Resources
	// reserved are the workers, by index, that overdue serving tasks have
	// reserved in this pass.
	reserved map[int]bool
	// reservedInPass are all workers, by index, that were reserved in this
	// pass.
	reservedInPass map[int]bool
	// shares are the batch reservations that bound the serving tasks.
	shares map[shareKey]*placement.BatchReservation
	// idleCapacity is the number of serving tasks that may exceed their share
	// in this pass, because batch tasks leave the CPU idle.
	idleCapacity int
	idleObserved bool
	// waitingImages are the images of the best-effort tasks that do not fit; nil
	// until they are needed.
	waitingImages []placement.WaitingImage
	// largestBestEffort has, by image, the largest CPU of a best-effort task that
	// starts at the full rate.
	largestBestEffort map[string]cpuBound
	// reducedRates is set while best-effort tasks may start below the full rate.
	reducedRates bool
	// halfIdleState and unreservedState cache halfIdle and mostlyUnreserved: 0 if it
	// is not known, 1 if false, 2 if true.
	halfIdleState, unreservedState int8
	// images caches runsImage; nil if it is not known.
	images map[string]bool
	// aside has the worker, by index, of each waiting task whose capacity has
	// been set aside in this pass.
	aside map[*task]int
	// asideFromServing is capacity that only batch tasks may use in this pass.
	asideFromServing []asideCapacity
	// changes counts the changes of the workers' free capacity in this pass, and
	// releases those that left a worker with more of it.
	changes, releases int
}

func newPool(size int, now time.Duration) *pool {
	return &pool{
		now:      now,
		sessions: make([]*session, 0, size), workers: make([]*placement.WorkerCapacity, 0, size),
		smallestUnplaced: make(map[placementClass]state.Resources), reserved: make(map[int]bool), reservedInPass: make(map[int]bool),
		shares: make(map[shareKey]*placement.BatchReservation), aside: make(map[*task]int), largestBestEffort: make(map[string]cpuBound),
	}
}

// cpuBound is an upper bound of the CPU of a task, in thousandths of a processor,
// after a number of changes and of releases of the workers' free capacity.
type cpuBound struct {
	milliCPU          int64
	changes, releases int
}

// exceedsLargest reports whether a best-effort task asks for more CPU than any
// worker takes at the full rate. A bound remains valid until capacity is released.
// If the task is below it, and the free capacity has changed since, a new one may
// reject it.
func (c *Controller) exceedsLargest(p *pool, s *state.WorkflowStep, minRate int) bool {
	if !s.BestEffort || minRate > 0 && minRate < fullRate {
		return false
	}
	b, ok := p.largestBestEffort[s.Image]
	if ok && b.releases == p.releases && (s.Size.MilliCPU > b.milliCPU || b.changes == p.changes) {
		return s.Size.MilliCPU > b.milliCPU
	}
	b = cpuBound{placement.LargestBestEffort(p.allWorkers, c.interference, s.Image), p.changes, p.releases}
	p.largestBestEffort[s.Image] = b
	return s.Size.MilliCPU > b.milliCPU
}

// placementClass is everything that decides whether a task fits, except its
// size.
type placementClass struct {
	kind       taskKind
	bestEffort bool
	image      string // of a best-effort task; decides which serving tasks it interferes with
	// share and overShare of a serving task decide about its share.
	share                   shareKey
	overShare, usesReserved bool
	minRate                 int // lowest execution rate at which the task starts
}

func classOf(s *state.WorkflowStep, j placement.WaitingJob) placementClass {
	class := placementClass{kind: kindOf(s), bestEffort: s.BestEffort}
	if s.BestEffort {
		class.image = s.Image
	}
	if s.LongRunning {
		class.share, class.overShare = shareKey{j.Priority, j.Restart}, j.ExceedsShare
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

// runsImage reports whether tasks of an image are running in the pool.
func (p *pool) runsImage(image string) bool {
	if p.images == nil {
		p.images = make(map[string]bool)
		for _, s := range p.sessions {
			for _, a := range s.attempts {
				p.images[a.task.step.Image] = true
			}
		}
	}
	return p.images[image]
}

// offerReducedRates permits best-effort tasks to start below the full rate. Those
// that fitted nowhere at the full rate are tried again.
func (p *pool) offerReducedRates() {
	p.reducedRates = true
	maps.DeleteFunc(p.smallestUnplaced, func(class placementClass, _ state.Resources) bool { return class.bestEffort })
}

// waited returns how long a task has waited for a worker, in milliseconds; 0 if
// the end of its run is not committed yet.
func (p *pool) waited(t *task) int64 {
	if t.phase != taskReady {
		return 0
	}
	return (p.now - t.waitingSince).Milliseconds()
}

// halfIdle reports whether at most half of the CPU of the pool is in use.
func (p *pool) halfIdle() bool {
	if p.halfIdleState == 0 {
		capacity, used := int64(0), int64(0)
		for _, r := range p.allWorkers {
			capacity, used = capacity+r.Capacity.MilliCPU, used+r.Capacity.MilliCPU-r.Free.MilliCPU+r.BestEffortCPU
		}
		p.halfIdleState = 1
		if 2*used <= capacity && capacity > 0 {
			p.halfIdleState = 2
		}
	}
	return p.halfIdleState == 2
}

// mostlyUnreserved reports whether most of the pool's CPU is not reserved.
func (p *pool) mostlyUnreserved() bool {
	if p.unreservedState == 0 {
		capacity, reserved := int64(0), int64(0)
		for i, r := range p.allWorkers {
			capacity, reserved = capacity+r.Capacity.MilliCPU, reserved+p.sessions[i].reserved.MilliCPU
		}
		p.unreservedState = 1
		if placement.MostlyUnreserved(reserved, capacity) {
			p.unreservedState = 2
		}
	}
	return p.unreservedState == 2
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
				p = newPool(len(c.sorted), now)
				all[name] = p
			}
		}
		p.sessions = append(p.sessions, w)
		p.workers = append(p.workers, &w.resources)
		p.allWorkers = append(p.allWorkers, &w.resources)
		p.largestCPU = max(p.largestCPU, w.worker.Capacity.MilliCPU)
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
		Slowdown: c.learned.workers.Factor(s.worker.ID, c.now().Milliseconds()),
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
			use = placement.CPUAtRate(use, a.runStats.startRate, a.runStats.rate)
			r.BestEffort, r.BestEffortCPU = r.BestEffort+1, r.BestEffortCPU+use
			c.imageUse[step.Image] += s.cpuShare(use)
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
			r.OverTarget = r.OverTarget || a.runStats.overTarget
		}
	}
	for i := range r.ServingGroups {
		for image, use := range c.imageUse {
			r.ServingGroups[i].CoLocated += c.interference.Coefficient(r.ServingGroups[i].Image, image) * use
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
