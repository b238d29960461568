package fleet

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"time"

	"apricotrouter/event"
	"apricotrouter/state"
	"apricotrouter/tenant"
)

const (
	// quotaLogInterval is the minimum interval between log entries about one
	// tenant that waits for its quota, which may last for hours.
	quotaLogInterval = 10 * time.Second
	// maxQuotaLogs is the maximum number of such entries in one report.
	maxQuotaLogs = 10
	// maxTenantLabels is the number of tenants with metrics of their own. The
	// others are added up, because each label is kept in memory and sent with
	// each scrape.
	maxTenantLabels = 50
	otherTenants    = "other tenants"
	noTenant        = "no tenant"
)

// heldTasks are the tasks of a tenant that its cap holds back.
type heldTasks struct {
	tasks       int
	longestWait time.Duration
}

// reportTenants sets the gauges of the tenants and logs which of them wait for
// their quota or lack a share.
func (c *Controller) reportTenants(now time.Duration) {
	c.metrics.tenantUse.Reset()
	c.metrics.tenantHeld.Reset()
	c.metrics.tenantShare.Reset()
	if c.tenants.table.Len() == 0 {
		return
	}
	held, claims := c.tenantDemand(now)
	deficits := tenant.Deficits(c.capacity(), claims)
	labels := c.tenants.labels
	const milli = 1000
	for _, cl := range claims {
		label := labelOf(labels, cl.Name)
		c.metrics.tenantUse.WithLabelValues(label, "used").Add(float64(cl.Used.MilliCPU) / milli)
		c.metrics.tenantUse.WithLabelValues(label, "cap").Add(float64(c.usage.Cap(cl.Name).MilliCPU) / milli)
		c.metrics.tenantHeld.WithLabelValues(label).Add(float64(held[cl.Name].tasks))
	}
	for _, d := range deficits {
		c.metrics.tenantShare.WithLabelValues(labelOf(labels, d.Name)).Add(d.Missing())
	}
	c.logHeldTenants(now, held)
	c.logShares(deficits)
}

// tenantDemand returns what the caps hold back, and what each tenant uses and
// asks for, ordered by name.
func (c *Controller) tenantDemand(now time.Duration) (map[string]heldTasks, []tenant.Claim) {
	held := make(map[string]heldTasks)
	waiting := make(map[string]state.Resources)
	for _, f := range c.workflows {
		name := f.spec.Tenant
		if f.readyTasks == 0 {
			continue
		}
		for _, t := range f.tasks {
			if t.phase != taskReady {
				continue
			}
			if c.capAllows(t) {
				waiting[name] = waiting[name].Add(t.counted())
				continue
			}
			h := held[name]
			h.tasks, h.longestWait = h.tasks+1, max(h.longestWait, now-t.waitingSince)
			held[name] = h
		}
	}
	names := make(map[string]bool)
	for name := range c.usage.All() {
		names[name] = true
	}
	for name := range waiting {
		names[name] = true
	}
	for name := range held {
		names[name] = true
	}
	var claims []tenant.Claim
	for _, name := range slices.Sorted(maps.Keys(names)) {
		used := c.usage.Of(name)
		claims = append(claims, tenant.Claim{Name: name, Weight: c.weightOf(name), Used: used, Demand: used.Add(waiting[name])})
	}
	return held, claims
}

// logHeldTenants logs the tenants with the most tasks that wait for their quota.
func (c *Controller) logHeldTenants(now time.Duration, held map[string]heldTasks) {
	maps.DeleteFunc(c.quotaLogged, func(_ string, at time.Duration) bool { return now-at >= quotaLogInterval })
	names := slices.DeleteFunc(slices.Collect(maps.Keys(held)), func(name string) bool { _, logged := c.quotaLogged[name]; return logged })
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(held[b].tasks, held[a].tasks), cmp.Compare(a, b)) })
	for _, name := range names[:min(len(names), maxQuotaLogs)] {
		c.quotaLogged[name] = now
		used, limit := c.usage.Of(name), c.usage.Cap(name)
		event.Log(c.opts.Logger, event.TenantHeldBack, slog.String("tenant", name), slog.Int("tasks", held[name].tasks),
			slog.Int64("longest_ms", held[name].longestWait.Milliseconds()), slog.Uint64("config_version", c.tenants.config.Version),
			slog.Int64("milli_cpu", used.MilliCPU), slog.Int64("cap_milli_cpu", limit.MilliCPU),
			slog.Int64("memory_mib", used.MemoryMiB), slog.Int64("cap_memory_mib", limit.MemoryMiB),
			slog.Int64("accelerators", used.Accelerators), slog.Int64("cap_accelerators", limit.Accelerators))
	}
}

// logShares logs the largest deficit and the largest surplus while shares decide
// the order.
func (c *Controller) logShares(deficits []tenant.Deficit) {
	if !c.sharesApply || len(deficits) == 0 {
		return
	}
	compare := func(a, b tenant.Deficit) int { return cmp.Compare(a.Missing(), b.Missing()) }
	most, least := slices.MaxFunc(deficits, compare), slices.MinFunc(deficits, compare)
	event.Log(c.opts.Logger, event.TenantShares, slog.Int("tenants", len(deficits)), slog.Uint64("config_version", c.tenants.config.Version),
		slog.Group("lacks", slog.String("tenant", most.Name), slog.Float64("used", most.Used), slog.Float64("entitled", most.Entitled)),
		slog.Group("exceeds", slog.String("tenant", least.Name), slog.Float64("used", least.Used), slog.Float64("entitled", least.Entitled)))
}

// tenantLabels returns the tenants with metrics of their own: those with the
// highest weights.
func tenantLabels(c *state.QueueConfig) map[string]bool {
	tenants := slices.Clone(c.Tenants)
	slices.SortFunc(tenants, func(a, b state.Tenant) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Name, b.Name))
	})
	labels := make(map[string]bool)
	for _, t := range tenants[:min(len(tenants), maxTenantLabels)] {
		labels[t.Name] = true
	}
	return labels
}

func labelOf(labels map[string]bool, name string) string {
	switch {
	case name == "":
		return noTenant
	case labels[name]:
		return name
	}
	return otherTenants
}
