package fleet

import (
	"time"

	"apricotrouter/state"
	"apricotrouter/tenant"
)

// leftoverWindow is how long before the activation a workflow ended whose runs
// may still have to stop. A stop whose worker responds takes seconds at most,
// and the lease of a worker that does not respond expires.
const leftoverWindow = 30 * time.Second

// unknownRun is a run that a worker reports and that has no record.
type unknownRun struct {
	stoppedAt time.Duration // when the last stop was sent
	tenant    string
	size      state.Resources
}

// leftoverRuns are what runs of workflows that ended under an earlier leader may
// still use, by tenant. Ended workflows have no tasks any more, so which of their
// runs have stopped is only known once each worker has been polled or its lease
// has expired.
type leftoverRuns struct {
	used map[string]state.Resources
	// unsettled are the workers that may have such runs.
	unsettled map[*session]bool
}

// followTenants applies the caps of the current configuration.
func (c *Controller) followTenants(s *state.State) {
	if c.tenants.config == s.Queues {
		return
	}
	c.tenants = tenantTable{config: s.Queues, table: tenant.NewTable(s.Queues)}
	if s.Queues != nil {
		c.tenants.labels = tenantLabels(s.Queues)
	}
	c.usage.SetTable(c.tenants.table)
	c.dirty = true
}

// capAllows reports whether the cap of its tenant permits that a task starts,
// with all tasks of its gang.
func (c *Controller) capAllows(t *task) bool {
	name := t.workflow.spec.Tenant
	if name == "" {
		return true
	}
	size := t.counted()
	if t.step.Gang {
		n := int64(t.step.Count)
		size = state.Resources{MilliCPU: n * size.MilliCPU, MemoryMiB: n * size.MemoryMiB, Accelerators: n * size.Accelerators}
	}
	return c.usage.Allows(name, size)
}

// countLeftover counts what may still run of workflows that ended before the
// activation.
func (c *Controller) countLeftover(s *state.State) {
	c.leftover = leftoverRuns{used: make(map[string]state.Resources)}
	since := c.opts.Clock.Now().Add(-leftoverWindow).UnixMilli()
	for _, id := range s.EndedWorkflows() {
		w, ok := s.Workflows.Get(id)
		if !ok || w.EndedAt < since || w.RunningAtEnd.IsZero() {
			continue
		}
		c.leftover.used[w.Spec.Tenant] = c.leftover.used[w.Spec.Tenant].Add(w.RunningAtEnd)
	}
	if len(c.leftover.used) == 0 {
		return
	}
	for name, size := range c.leftover.used {
		c.usage.Add(name, size)
	}
	c.leftover.unsettled = make(map[*session]bool)
	for _, s := range c.sessions {
		c.leftover.unsettled[s] = true
	}
}

// settleLeftover stops counting the leftover runs once none can be running.
func (c *Controller) settleLeftover(now time.Duration) {
	if len(c.leftover.used) == 0 {
		return
	}
	for s := range c.leftover.unsettled {
		// A worker that has not been polled gets no extension of its lease.
		if s.closed || s.polled && len(s.unknownRuns) == 0 || !s.polled && now >= s.openedAt+c.leaseBound() {
			delete(c.leftover.unsettled, s)
		}
	}
	if len(c.leftover.unsettled) > 0 {
		return
	}
	for name, size := range c.leftover.used {
		c.usage.Remove(name, size)
	}
	c.leftover, c.dirty = leftoverRuns{}, true
}

// countUnknownRun counts a run without a record that a worker reports, if its
// workflow is open. Those of ended workflows are leftover runs.
func (c *Controller) countUnknownRun(p TaskPosition) unknownRun {
	f := c.workflows[p.Workflow]
	if f == nil || !f.hasTask(p) {
		return unknownRun{}
	}
	u := unknownRun{tenant: f.spec.Tenant, size: f.tasks[f.index(p)].counted()}
	c.usage.Add(u.tenant, u.size)
	return u
}

// forgetUnknownRuns removes the runs without a record that a worker no longer
// reports; all of them if reported is nil.
func (c *Controller) forgetUnknownRuns(s *session, reported map[runKey]bool) {
	for k, u := range s.unknownRuns {
		if !reported[k] {
			c.usage.Remove(u.tenant, u.size)
			delete(s.unknownRuns, k)
			c.dirty = true
		}
	}
}
