package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"apricotrouter/placement"
	"apricotrouter/replica"
	"apricotrouter/state"
)

// BenchmarkPassWithLongQueue measures a placement pass with 890 workers, each
// with serving tasks that are over their target, and 10,000 best-effort tasks of
// 18 images that wait and fit nowhere.
func BenchmarkPassWithLongQueue(b *testing.B) {
	const workers, workflows, width, images = 890, 500, 20, 18
	clock := clockwork.NewFakeClock()
	log := replica.NewFakeLog(clock)
	c := New(Options{Log: memoryLog{log}, Clock: clock, Limits: Limits{Heartbeat: 10 * time.Second}, Dial: func(state.PoolWorker) Worker { return unreachableWorker{} }})
	c.ctx = b.Context()
	c.workflows, c.sessions = make(map[string]*workflow), make(map[string]*session)
	c.poolDemand, c.pollDue = make(map[string]*poolDemand), make(map[*session]bool)
	c.suspects, c.reserved = make(map[*task]bool), make(map[*task]bool)
	saved := state.ServingImage{Image: "s", MinTailMillis: 10, Load: 0.5}
	for i := range images {
		saved.Interference = append(saved.Interference, state.ImageInterference{BestEffort: fmt.Sprint("l", i), Value: 100})
	}
	c.interference = placement.RestoreInterferenceModel(&state.SetInterference{Images: []state.ServingImage{saved}})
	submit := func(id string, steps ...state.WorkflowStep) *workflow {
		spec := state.WorkflowSpec{ID: id, Pool: "pool", Steps: steps}
		if _, err := log.Propose(b.Context(), state.NewCommand(state.SubmitWorkflow{Spec: spec})); err != nil {
			b.Fatal(err)
		}
		w, _ := log.State().Workflows.Get(id)
		c.openWorkflow(w)
		return c.workflows[id]
	}
	serving := submit("serving", state.WorkflowStep{Count: workers, LongRunning: true, TailMillis: 50, Image: "s", Size: state.Resources{MilliCPU: 5000, MemoryMiB: 1000}})
	for i := range workers {
		s := c.openSession(state.PoolWorker{ID: fmt.Sprintf("w%03d", i), Pool: "pool", Capacity: state.Resources{MilliCPU: 16_000, MemoryMiB: 64_000}}, true)
		s.polled, s.lastHeartbeat = true, c.now()
		a := c.place(serving.tasks[i], s, 1)
		a.phase, a.runStats.overTarget = attemptRunning, true
	}
	c.journal = journal{}
	for i := range workflows {
		submit(fmt.Sprintf("%016x", i), state.WorkflowStep{
			Count: width, BestEffort: true, Image: fmt.Sprint("l", i%images), EstimateMillis: 1400, Size: state.Resources{MilliCPU: 1800, MemoryMiB: 1000},
		})
	}
	clock.Advance(time.Second)
	if p := c.pools(c.now())["pool"]; p == nil || len(p.workers) != workers || len(c.waitingJobs()) != workflows {
		b.Fatal("the workers are not usable, or no task waits")
	}
	b.ResetTimer()
	for b.Loop() {
		c.schedule()
	}
	if len(c.journal.starts) > 0 {
		b.Fatalf("%d tasks were placed", len(c.journal.starts))
	}
}
