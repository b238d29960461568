package fleet

import (
	"apricotrouter/placement"
	"apricotrouter/state"
)

// poolDemand is the demand of the workflows of a pool.
type poolDemand struct {
	// serving is the CPU of all serving tasks, in thousandths of a processor, by
	// tenant.
	serving      map[string]int64
	batch        placement.BatchDemand
	idleCapacity placement.IdleCapacity
	present      placement.PresentDemand
}

func (c *Controller) demandOf(pool string) *poolDemand {
	a := c.poolDemand[pool]
	if a == nil {
		a = &poolDemand{serving: make(map[string]int64)}
		a.batch.GroupLimit = func(name string) int64 { return c.usage.Cap(name).MilliCPU }
		c.poolDemand[pool] = a
	}
	return a
}

// addBatchDemand adds the demand of the batch tasks of a workflow, or of one
// occurrence of it, that begins at atMillis (Unix milliseconds).
func (c *Controller) addBatchDemand(spec *state.WorkflowSpec, atMillis int64) {
	a := placement.Arrival{At: atMillis, Priority: spec.Priority, Group: spec.Tenant}
	work := int64(0)
	for i := range spec.Steps {
		s := &spec.Steps[i]
		if kindOf(s) == kindBatch {
			t := placement.ArrivalTasks{MilliCPU: s.Size.MilliCPU, Work: int64(s.Count) * s.Size.MilliCPU * c.learned.model.Estimate(runTimeKey(spec.Queue, s), s.EstimateMillis).Mean()}
			a.Tasks = append(a.Tasks, t)
			work += t.Work
		}
	}
	if work > 0 {
		c.demandOf(spec.Pool).batch.Add(a)
	}
}

// addServingDemand adds the demand of the serving tasks of a workflow when it
// is opened (sign 1), and subtracts it when it is closed (sign -1).
func (c *Controller) addServingDemand(spec *state.WorkflowSpec, sign int64) {
	for i := range spec.Steps {
		if s := &spec.Steps[i]; s.LongRunning {
			c.demandOf(spec.Pool).serving[spec.Tenant] += sign * int64(s.Count) * s.Size.MilliCPU
		}
	}
}

// servingDemand returns the CPU of all serving tasks, of each tenant at most what
// its cap permits.
func (c *Controller) servingDemand(d *poolDemand) int64 {
	total := int64(0)
	for name, cpu := range d.serving {
		if limit := c.usage.Cap(name).MilliCPU; limit > 0 {
			cpu = min(cpu, limit)
		}
		total += cpu
	}
	return total
}

// observeDemand records the CPU of the batch tasks of each pool that run or wait
// and can still be of use.
func (c *Controller) observeDemand(pools map[string]*pool, waiting []placement.WaitingJob) {
	wall := c.opts.Clock.Now().UnixMilli()
	present := make(map[string]int64, len(pools))
	for i := range waiting {
		j := &waiting[i]
		f := c.workflows[j.ID]
		p := pools[f.spec.Pool]
		if p == nil || j.Restart || j.ExceedsShare || j.Expired(wall) {
			continue
		}
		for _, t := range f.tasks {
			if t.phase == taskReady && kindOf(t.step) == kindBatch && c.capAllows(t) && t.step.Size.MilliCPU <= p.largestCPU {
				present[f.spec.Pool] += t.step.Size.MilliCPU
			}
		}
	}
	for name, p := range pools {
		for _, w := range p.allWorkers {
			present[name] += w.Batch.MilliCPU
		}
		c.demandOf(name).present.Observe(wall, present[name])
	}
}

// shareKey identifies the batch reservation that bounds a serving task.
type shareKey struct {
	priority int
	restart  bool // the task ran before
}

func (t *task) shareKey() shareKey { return shareKey{t.workflow.spec.Priority, t.restarts()} }

// ensureShare computes, once per placement pass, how much of a pool serving
// tasks of a priority may reserve.
func (c *Controller) ensureShare(name string, p *pool, priority int) {
	if p.shares[shareKey{priority, false}] != nil {
		return
	}
	capacity := int64(0)
	for _, r := range p.workers {
		capacity += r.Capacity.MilliCPU
	}
	a := c.demandOf(name)
	wall := c.opts.Clock.Now().UnixMilli()
	demand := a.batch.Of(wall, wall-(c.now()-c.activatedAt).Milliseconds(), priority, p.largestCPU)
	batch := int64(0)
	if len(demand) > 0 {
		batch = demand[0].Mean
	}
	reserved := placement.BatchReservationSize(capacity, batch, c.servingDemand(a))
	p.shares[shareKey{priority, false}] = placement.NewBatchReservation(p.workers, a.present.Reservation(wall, reserved), demand)
	p.shares[shareKey{priority, true}] = placement.NewBatchReservation(p.workers, a.present.RestartReservation(wall, reserved), demand)
}

// excludeOverShare also excludes workers on which a serving task would use CPU
// reserved for batch tasks.
func (p *pool) excludeOverShare(t *task, excluded func(int) bool) func(int) bool {
	share := p.shares[t.shareKey()]
	if !t.step.LongRunning || share == nil {
		return excluded
	}
	return func(i int) bool {
		return !share.Admits(p.allWorkers[i], t.step.Size.MilliCPU) || excluded != nil && excluded(i)
	}
}

// book reserves resources of a worker for a task and returns the execution rate
// at which the task starts there.
func (p *pool) book(worker int, t placement.PoolTask) int {
	if t.Step.LongRunning {
		for _, s := range p.shares {
			s.Reserve(p.allWorkers[worker], t.Step.Size.MilliCPU)
		}
	}
	rate := placement.StartRate(p.allWorkers[worker], t)
	p.allWorkers[worker].Reserve(t)
	p.changes++
	return rate
}

// observeIdle records, once per placement pass, the capacity that useful batch
// tasks leave free, in units of the smallest waiting serving task.
func (c *Controller) observeIdle(name string, p *pool) {
	if p.idleObserved {
		return
	}
	p.idleObserved = true
	var smallest *state.WorkflowStep
	burstCPU := int64(0)
	for _, f := range c.workflows {
		if f.spec.Pool != name || f.readyTasks == 0 {
			continue
		}
		for _, t := range f.tasks {
			if t.phase == taskReady && t.step.LongRunning && c.capAllows(t) && (smallest == nil || t.step.Size.MilliCPU < smallest.Size.MilliCPU) {
				smallest = t.step
				if share := p.shares[shareKey{f.spec.Priority, false}]; share != nil {
					burstCPU = share.BurstCPU()
				}
			}
		}
	}
	if smallest != nil {
		p.idleCapacity = c.demandOf(name).idleCapacity.Observe(c.opts.Clock.Now().UnixMilli(), p.workers, placement.PoolTask{Step: smallest}, burstCPU)
	}
}
