package fleet

import (
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"

	"apricotrouter/replica"
	"apricotrouter/state"
)

// BenchmarkPassWithTenants measures a placement pass over 890 full workers and
// 10,000 waiting tasks of 500 workflows, with shares, and with caps that hold
// everything back. The pass must stay within a third of the leader's time.
func BenchmarkPassWithTenants(b *testing.B) {
	const workers, workflows, width = 890, 500, 20
	for name, cfg := range map[string]struct {
		tenants int
		limit   int64
	}{"none": {}, "shares of 50": {tenants: 50}, "shares of 10000": {tenants: 10_000}, "caps of 50": {tenants: 50, limit: 1}} {
		b.Run(name, func(b *testing.B) {
			log := replica.NewFakeLog(clockwork.NewRealClock())
			apply := func(body state.Body) {
				if _, err := log.Propose(b.Context(), state.NewCommand(body)); err != nil {
					b.Fatal(err)
				}
			}
			queues := state.QueueConfig{Version: 1, Pools: []state.Pool{{Name: "p"}}}
			for i := range cfg.tenants {
				queues.Tenants = append(queues.Tenants, state.Tenant{Name: fmt.Sprint("t", i), Weight: 20, Cap: state.Resources{MilliCPU: cfg.limit}})
			}
			apply(state.SetQueues{Config: queues})
			var pool state.SetPoolWorkers
			for i := range workers {
				pool.Updated = append(pool.Updated, state.PoolWorker{
					ID: fmt.Sprintf("w%03d", i), StartedAt: 1, Pool: "p", Address: "a", Capacity: state.Resources{MilliCPU: 500, MemoryMiB: 50},
				})
			}
			apply(pool)
			for i := range workflows {
				spec := state.WorkflowSpec{ID: fmt.Sprintf("%016x", i), Queue: "q", Pool: "p", MaxSlowdown: 100, Steps: []state.WorkflowStep{
					{Count: width, Size: state.Resources{MilliCPU: 1000, MemoryMiB: 100}, EstimateMillis: 1000, BestEffort: i%2 == 0},
				}}
				if cfg.tenants > 0 {
					spec.Tenant = fmt.Sprint("t", i%cfg.tenants)
				}
				apply(state.SubmitWorkflow{Spec: spec})
			}
			c := New(Options{Log: log, Dial: func(state.PoolWorker) Worker { return unreachableWorker{} }, Limits: Limits{Heartbeat: 1 << 40}})
			defer c.callPool.close()
			c.activate(log.Leadership())
			for _, s := range c.sessions {
				s.polled = true
			}
			b.ResetTimer()
			for b.Loop() {
				c.schedule()
				if len(c.journal.starts) > 0 {
					b.Fatal("a task fitted")
				}
			}
		})
	}
}
