package tenant

import (
	"iter"
	"maps"

	"apricotrouter/state"
)

// Usage is what the runs of each tenant use. It addresses a tenant with more
// work than it may run at the same time: nothing of it starts above its cap,
// whatever the caps and the number of its running tasks were before. Callers
// without a tenant have no cap.
//
// The caller counts every run from the decision to start it until it has
// certainly ended, and rebuilds the usage from the replicated state after a
// change of leader.
type Usage struct {
	table *Table
	used  map[string]state.Resources
}

// NewUsage returns a usage without runs and caps.
func NewUsage() *Usage { return &Usage{used: make(map[string]state.Resources)} }

// SetTable sets the tenants whose caps apply. Runs above a lowered cap continue.
func (u *Usage) SetTable(t *Table) { u.table = t }

// Add counts a run of a tenant; "" stands for callers without one.
func (u *Usage) Add(tenant string, size state.Resources) { u.used[tenant] = u.used[tenant].Add(size) }

// Remove ends a counted run of a tenant.
func (u *Usage) Remove(tenant string, size state.Resources) {
	if left := u.used[tenant].Sub(size); left.IsZero() {
		delete(u.used, tenant)
	} else {
		u.used[tenant] = left
	}
}

// Of returns what the runs of a tenant use.
func (u *Usage) Of(tenant string) state.Resources { return u.used[tenant] }

// All yields the tenants with runs and what these use.
func (u *Usage) All() iter.Seq2[string, state.Resources] { return maps.All(u.used) }

// Cap returns the cap of a tenant. 0 means that a resource is unlimited.
func (u *Usage) Cap(tenant string) state.Resources {
	if t := u.table.ByName(tenant); t != nil {
		return t.Cap
	}
	return state.Resources{}
}

// Allows reports whether runs of the given total size may start. Nothing starts
// while any resource is above its cap, also if the runs do not use that resource.
func (u *Usage) Allows(tenant string, size state.Resources) bool {
	return tenant == "" || u.used[tenant].Add(size).WithinQuota(u.Cap(tenant))
}

// Exceeded reports whether the runs of a tenant use more than its cap.
func (u *Usage) Exceeded(tenant string) bool { return !u.Allows(tenant, state.Resources{}) }
