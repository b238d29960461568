package fleet

import (
	"apricotrouter/placement"
	"apricotrouter/state"
	"apricotrouter/tenant"
)

// defaultWeight is the weight of callers without a tenant.
const defaultWeight = 1

// weightOf returns the weight of a tenant.
func (c *Controller) weightOf(name string) float64 {
	if t := c.tenants.table.ByName(name); t != nil {
		return t.Weight
	}
	return defaultWeight
}

// exceedsRate counts a submission and reports whether its tenant has submitted
// more workflows per second than its weight.
func (c *Controller) exceedsRate(name string, submittedAt int64) bool {
	t := c.tenants.table.ByName(name)
	if t == nil {
		return false
	}
	m := c.submissions[name]
	if m == nil {
		m = new(tenant.RateMeter)
		c.submissions[name] = m
	}
	return !m.Admit(t.Weight, submittedAt)
}

// applyShares sets what orders the waiting jobs of tenants in the pools in which
// more waits than fits, and reports whether jobs of several tenants wait there. The jobs are in the
// order without shares, which remains the order within each tenant.
func (c *Controller) applyShares(waiting []placement.WaitingJob, pools map[string]*pool) bool {
	if c.tenants.table.Len() == 0 {
		return false
	}
	ready := make([]state.Resources, len(waiting)) // ready tasks of the job that its cap permits
	demand := make(map[poolTenant]*poolNeed)
	for i := range waiting {
		f := c.workflows[waiting[i].ID]
		if waiting[i].Restart || waiting[i].ExceedsShare || !c.usage.Allows(f.spec.Tenant, f.smallest) {
			continue // the job occurs twice, or its cap holds it back
		}
		key := poolTenant{f.spec.Pool, f.spec.Tenant}
		need := demand[key]
		if need == nil {
			need = new(poolNeed)
			demand[key] = need
		}
		for _, t := range f.tasks {
			if t.phase == taskReady {
				ready[i] = ready[i].Add(t.counted())
				need.reserved = need.reserved.Add(t.step.Reservation())
				need.milliCPU += t.step.Size.MilliCPU
			}
		}
	}
	scarce := c.scarcePools(demand, pools)
	var jobs []tenant.Waiting
	var indexes []int
	accounts := make(map[string]tenant.Account)
	for i := range waiting {
		f := c.workflows[waiting[i].ID]
		if !scarce[f.spec.Pool] {
			continue
		}
		name := f.spec.Tenant
		accounts[name] = tenant.Account{Used: c.usage.Of(name), Weight: c.weightOf(name)}
		jobs, indexes = append(jobs, tenant.Waiting{Tenant: name, Size: ready[i]}), append(indexes, i)
	}
	if len(accounts) < 2 {
		return false // nobody to share with
	}
	for n, key := range tenant.Keys(c.capacity(), accounts, jobs) {
		j := &waiting[indexes[n]]
		j.Share, j.Excess = key, c.workflows[j.ID].excess
	}
	return true
}

// poolTenant is a tenant in one of its pools.
type poolTenant struct{ pool, tenant string }

// scarcePools returns the pools in which more waits than fits, without what the
// caps hold back.
func (c *Controller) scarcePools(demand map[poolTenant]*poolNeed, pools map[string]*pool) map[string]bool {
	total := make(map[string]*poolNeed)
	for key, need := range demand {
		n := total[key.pool]
		if n == nil {
			n = new(poolNeed)
			total[key.pool] = n
		}
		permitted := need.within(c.usage.Cap(key.tenant), c.usage.Of(key.tenant))
		n.reserved, n.milliCPU = n.reserved.Add(permitted.reserved), n.milliCPU+permitted.milliCPU
	}
	scarce := make(map[string]bool)
	for name, need := range total {
		scarce[name] = pools[name] != nil && need.exceeds(pools[name])
	}
	return scarce
}

// within returns the part of the need that a cap permits in addition to what is
// used.
func (n *poolNeed) within(limit, used state.Resources) poolNeed {
	left := limit.Sub(used).ClampToZero()
	p := *n
	if limit.MilliCPU > 0 {
		p.milliCPU, p.reserved.MilliCPU = min(p.milliCPU, left.MilliCPU), min(p.reserved.MilliCPU, left.MilliCPU)
	}
	if limit.MemoryMiB > 0 {
		p.reserved.MemoryMiB = min(p.reserved.MemoryMiB, left.MemoryMiB)
	}
	if limit.Accelerators > 0 {
		p.reserved.Accelerators = min(p.reserved.Accelerators, left.Accelerators)
	}
	return p
}

// capacity returns the capacity of all workers.
func (c *Controller) capacity() state.Resources {
	var total state.Resources
	for _, s := range c.sessions {
		total = total.Add(s.worker.Capacity)
	}
	return total
}

// poolNeed is what the waiting tasks of a pool ask for: what they reserve, and
// the CPU of all tasks, also of best-effort ones.
type poolNeed struct {
	reserved state.Resources
	milliCPU int64
}

// exceeds reports whether more waits than fits.
func (n *poolNeed) exceeds(p *pool) bool {
	var free state.Resources
	idle := int64(0)
	for _, r := range p.allWorkers {
		free = free.Add(r.Free.ClampToZero())
		idle += max(0, r.IdleCPU)
	}
	return !n.reserved.FitsIn(free) || n.milliCPU > idle
}
