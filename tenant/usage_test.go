package tenant_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/state"
	"apricotrouter/tenant"
)

func cpu(milliCPU int64) state.Resources { return state.Resources{MilliCPU: milliCPU} }

func capped(limit state.Resources) *tenant.Table {
	return tenant.NewTable(&state.QueueConfig{Tenants: []state.Tenant{{Name: "a", Weight: 1, Cap: limit}, {Name: "b", Weight: 1}}})
}

// Guards against a start above a cap, and against a cap that holds back other
// tenants or callers without one.
func TestUsageAllowsStartsUpToTheCap(t *testing.T) {
	g := NewWithT(t)
	u := tenant.NewUsage()
	g.Expect(u.Allows("a", cpu(1<<40))).To(BeTrue(), "no configuration")
	u.SetTable(capped(state.Resources{MilliCPU: 1000, MemoryMiB: 50}))
	g.Expect(u.Allows("a", cpu(1000))).To(BeTrue())
	g.Expect(u.Allows("a", cpu(1001))).To(BeFalse())
	u.Add("a", state.Resources{MilliCPU: 600, MemoryMiB: 50})
	g.Expect(u.Allows("a", cpu(400))).To(BeTrue())
	g.Expect(u.Allows("a", cpu(401))).To(BeFalse())
	g.Expect(u.Allows("a", state.Resources{MilliCPU: 1, MemoryMiB: 1})).To(BeFalse())
	g.Expect(u.Allows("a", state.Resources{Accelerators: 1 << 30})).To(BeTrue(), "a resource without a cap")
	for _, other := range []string{"", "b", "unknown"} {
		u.Add(other, cpu(1<<40))
		g.Expect(u.Allows(other, cpu(1<<40))).To(BeTrue(), other)
	}
	u.SetTable(capped(state.Resources{MilliCPU: 2000, MemoryMiB: 49}))
	g.Expect(u.Exceeded("a")).To(BeTrue())
	g.Expect(u.Allows("a", cpu(1))).To(BeFalse(), "a task without memory must wait until the tenant is under its memory cap")
	u.Remove("a", state.Resources{MilliCPU: 600, MemoryMiB: 50})
	g.Expect(u.Of("a")).To(BeZero())
	g.Expect(u.Allows("a", cpu(2000))).To(BeTrue())
}

// modelRun is a run of the model with the sides that know of it.
type modelRun struct {
	tenant    string
	size      state.Resources
	onWorker  bool
	delivered bool // the start has arrived or is lost
}

// Guards against a sequence of starts, ends, caps and changes of the leader
// after which a start brings a tenant above its cap. A start counts from the
// decision; a new leader counts what is recorded. Runs end on their worker
// before their end is recorded.
func TestUsageModelNeverStartsAboveTheCap(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			g := NewWithT(t)
			rng := rand.New(rand.NewPCG(seed, 7))
			caps := map[string]state.Resources{"a": {MilliCPU: 5000}, "b": {MilliCPU: 3000, MemoryMiB: 900}}
			table := func() *tenant.Table {
				return tenant.NewTable(&state.QueueConfig{Tenants: []state.Tenant{
					{Name: "a", Weight: 1, Cap: caps["a"]}, {Name: "b", Weight: 1, Cap: caps["b"]},
				}})
			}
			u := tenant.NewUsage()
			u.SetTable(table())
			var runs []*modelRun
			onWorkers := func(name string) (total state.Resources) {
				for _, r := range runs {
					if r.tenant == name && r.onWorker {
						total = total.Add(r.size)
					}
				}
				return total
			}
			starts := 0
			for range 400 {
				name := []string{"a", "b"}[rng.IntN(2)]
				switch rng.IntN(7) {
				case 0, 1, 2: // decide and record a start
					size := state.Resources{MilliCPU: 1 + rng.Int64N(1500), MemoryMiB: rng.Int64N(300)}
					if u.Allows(name, size) {
						u.Add(name, size)
						runs = append(runs, &modelRun{tenant: name, size: size})
					}
				case 3: // a start arrives, possibly late
					for _, r := range runs {
						if !r.delivered && rng.IntN(2) == 0 {
							before := onWorkers(r.tenant)
							r.delivered, r.onWorker = true, rng.IntN(8) > 0
							starts++
							if r.onWorker && !u.Exceeded(r.tenant) {
								g.Expect(before.Add(r.size).WithinQuota(caps[r.tenant])).To(BeTrue(), "seed %d", seed)
							}
						}
					}
				case 4: // runs end, and their ends are recorded
					for i := range runs {
						if r := runs[i]; r.delivered && rng.IntN(3) == 0 {
							r.onWorker = false
						}
					}
					kept := runs[:0]
					for _, r := range runs {
						if r.delivered && !r.onWorker && rng.IntN(2) == 0 {
							u.Remove(r.tenant, r.size)
							continue
						}
						kept = append(kept, r)
					}
					runs = kept
				case 5: // another leader counts what is recorded
					u = tenant.NewUsage()
					u.SetTable(table())
					for _, r := range runs {
						u.Add(r.tenant, r.size)
					}
				case 6: // another cap, often below what runs
					caps[name] = state.Resources{MilliCPU: rng.Int64N(6000)}
					u.SetTable(table())
				}
				for _, name := range []string{"a", "b"} {
					g.Expect(onWorkers(name).FitsIn(u.Of(name))).To(BeTrue(), "seed %d: a run that is not counted", seed)
				}
			}
			g.Expect(starts).To(BeNumerically(">", 10))
		})
	}
}
