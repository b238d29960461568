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
			t := placement.ArrivalTasks{MilliCPU: s.Size.MilliCPU, Work: int64(s.Count) * s.Size.MilliCPU * s.EstimateMillis}
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

// ensureShare computes, once per placement pass, how much of a pool serving
// tasks of a priority may reserve.
func (c *Controller) ensureShare(name string, p *pool, priority int) {
	if p.shares[priority] != nil {
		return
	}
	capacity, largest := int64(0), int64(0)
	for _, r := range p.workers {
		capacity += r.Capacity.MilliCPU
		largest = max(largest, r.Capacity.MilliCPU)
	}
	a := c.demandOf(name)
	wall := c.opts.Clock.Now().UnixMilli()
	demand := a.batch.Of(wall, wall-(c.now()-c.activatedAt).Milliseconds(), priority, largest)
	batch := int64(0)
	if len(demand) > 0 {
		batch = demand[0].Mean
	}
	p.shares[priority] = placement.NewBatchReservation(p.workers, placement.BatchReservationSize(capacity, batch, c.servingDemand(a)), demand)
}

// excludeOverShare also excludes workers on which a serving task would use CPU
// reserved for batch tasks.
func (p *pool) excludeOverShare(t *task, excluded func(int) bool) func(int) bool {
	share := p.shares[t.workflow.spec.Priority]
	if !t.step.LongRunning || share == nil {
		return excluded
	}
	return func(i int) bool {
		return !share.Admits(p.allWorkers[i], t.step.Size.MilliCPU) || excluded != nil && excluded(i)
	}
}

// book reserves resources of a worker for a task.
func (p *pool) book(worker int, t placement.PoolTask) {
	if t.Step.LongRunning {
		for _, s := range p.shares {
			s.Reserve(p.allWorkers[worker], t.Step.Size.MilliCPU)
		}
	}
	p.allWorkers[worker].Reserve(t)
	p.changes++
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
				if share := p.shares[f.spec.Priority]; share != nil {
					burstCPU = share.BurstCPU()
				}
			}
		}
	}
	if smallest != nil {
		p.idleCapacity = c.demandOf(name).idleCapacity.Observe(c.opts.Clock.Now().UnixMilli(), p.workers, placement.PoolTask{Step: smallest}, burstCPU)
	}
}
