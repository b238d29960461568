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

// noteDemand counts the batch tasks of a workflow that was submitted.
func (c *Controller) noteDemand(f *flow) {
	work, largest := int64(0), int64(0)
	for i := range f.spec.Steps {
		s := &f.spec.Steps[i]
		if kindOf(s) == kindBatch {
			work += int64(s.Count) * s.Size.MilliCPU * s.EstimateMillis
			largest = max(largest, s.Size.MilliCPU)
		}
	}
	if work > 0 {
		c.askedOf(f.spec.Pool).batch.Add(f.submittedAt, work, largest)
	}
}

// countServing counts what the serving tasks of the open workflows ask for.
func (c *Controller) countServing() {
	for _, a := range c.asked {
		a.serving = 0
	}
	for _, f := range c.flows {
		for i := range f.spec.Steps {
			if s := &f.spec.Steps[i]; s.LongRunning {
				c.askedOf(f.spec.Pool).serving += int64(s.Count) * s.Size.MilliCPU
			}
		}
	}
}

// setShares bounds what serving tasks may reserve of each pool in this round.
func (c *Controller) setShares(pools map[string]*pool) {
	wall := c.opts.Clock.Now().UnixMilli()
	since := wall - (c.now() - c.takeover).Milliseconds()
	for name, p := range pools {
		a := c.askedOf(name)
		capacity := int64(0)
		for _, r := range p.rooms {
			capacity += r.Capacity.MilliCPU
		}
		batch, largest := a.batch.MilliCPU(wall, since)
		p.share = placement.NewShare(p.rooms, placement.BatchShare(capacity, batch, a.serving), largest)
	}
}

// withinShare excludes rooms that serving tasks must leave to batch tasks.
func (p *pool) withinShare(s *state.WorkflowStep, excluded func(int) bool) func(int) bool {
	if !s.LongRunning {
		return excluded
	}
	return func(i int) bool {
		return !p.share.Admits(p.rooms[i], s.Size.MilliCPU) || excluded != nil && excluded(i)
	}
}

// take books a task on a room.
func (p *pool) take(room int, t placement.PoolTask) {
	if t.Step.LongRunning {
		p.share.Take(p.rooms[room], t.Step.Size.MilliCPU)
	}
	p.rooms[room].Take(t)
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
		p.idle = c.askedOf(name).idle.Observe(c.opts.Clock.Now().UnixMilli(), p.rooms, smallest.Size)
	}
}
