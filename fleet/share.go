package fleet

import (
	"apricotrouter/placement"
	"apricotrouter/state"
)

// asked is what the workflows of a pool ask for.
type asked struct {
	serving int64 // thousandths of a processor of all serving tasks
	batch   placement.BatchDemand
	idle    placement.IdleRoom
}

func (c *Controller) askedOf(pool string) *asked {
	a := c.asked[pool]
	if a == nil {
		a = &asked{}
		c.asked[pool] = a
	}
	return a
}

// noteDemand counts the batch tasks of a workflow, or of an occurrence of it,
// that begin to ask for room.
func (c *Controller) noteDemand(spec *state.WorkflowSpec, at int64) {
	a := placement.Arrival{At: at, Priority: spec.Priority}
	for i := range spec.Steps {
		s := &spec.Steps[i]
		if kindOf(s) == kindBatch {
			a.Work += int64(s.Count) * s.Size.MilliCPU * s.EstimateMillis
			a.Largest = max(a.Largest, s.Size.MilliCPU)
		}
	}
	if a.Work > 0 {
		c.askedOf(spec.Pool).batch.Add(a)
	}
}

// countServing adds what the serving tasks of a workflow ask for, as it is
// opened (1) or closed (-1).
func (c *Controller) countServing(spec *state.WorkflowSpec, sign int64) {
	for i := range spec.Steps {
		if s := &spec.Steps[i]; s.LongRunning {
			c.askedOf(spec.Pool).serving += sign * int64(s.Count) * s.Size.MilliCPU
		}
	}
}

// setShare bounds what serving tasks of a priority may reserve of a pool in
// this round.
func (c *Controller) setShare(name string, p *pool, priority int) {
	if p.shares[priority] != nil {
		return
	}
	capacity, largest := int64(0), int64(0)
	for _, r := range p.rooms {
		capacity += r.Capacity.MilliCPU
		largest = max(largest, r.Capacity.MilliCPU)
	}
	a := c.askedOf(name)
	wall := c.opts.Clock.Now().UnixMilli()
	batch, unit := a.batch.Of(wall, wall-(c.now()-c.takeover).Milliseconds(), priority, largest)
	p.shares[priority] = placement.NewShare(p.rooms, placement.BatchShare(capacity, batch, a.serving), unit)
}

// withinShare excludes rooms that a serving task must leave to batch tasks.
func (p *pool) withinShare(t *task, excluded func(int) bool) func(int) bool {
	share := p.shares[t.flow.spec.Priority]
	if !t.step.LongRunning || share == nil {
		return excluded
	}
	return func(i int) bool {
		return !share.Admits(p.allRooms[i], t.step.Size.MilliCPU) || excluded != nil && excluded(i)
	}
}

// take books a task on a room.
func (p *pool) take(room int, t placement.PoolTask) {
	if t.Step.LongRunning {
		for _, s := range p.shares {
			s.Take(p.allRooms[room], t.Step.Size.MilliCPU)
		}
	}
	p.allRooms[room].Take(t)
}

// observeIdle notes, once in a round, the room that batch tasks which can still
// be of use have left, for the smallest serving task that waits.
func (c *Controller) observeIdle(name string, p *pool) {
	if p.idleObserved {
		return
	}
	p.idleObserved = true
	var smallest *state.WorkflowStep
	for _, f := range c.flows {
		if f.spec.Pool != name || f.ready == 0 {
			continue
		}
		for _, t := range f.tasks {
			if t.phase == taskReady && t.step.LongRunning && (smallest == nil || t.step.Size.MilliCPU < smallest.Size.MilliCPU) {
				smallest = t.step
			}
		}
	}
	if smallest != nil {
		p.idle = c.askedOf(name).idle.Observe(c.opts.Clock.Now().UnixMilli(), p.rooms, placement.PoolTask{Step: smallest})
	}
}
