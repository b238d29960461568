package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"apricotrouter/placement"
	"apricotrouter/replica"
	"apricotrouter/runtimes"
	"apricotrouter/state"
)

// newLoadedController returns a controller with 890 workers, each with two
// serving tasks and best-effort tasks on all its processors, and 10,000 waiting
// best-effort tasks in workflows of two steps with the given number of tasks.
func newLoadedController(tasks int) (*Controller, *clockwork.FakeClock) {
	const workers, waiting = 890, 10_000
	clock := clockwork.NewFakeClock()
	c := New(Options{Clock: clock, Log: replica.NewFakeLog(clock), Dial: func(state.PoolWorker) Worker { return unreachableWorker{} }, Limits: Limits{Heartbeat: time.Second}})
	c.ctx = context.Background()
	c.activate(c.opts.Log.Leadership())
	step := func(milliCPU int64, image string, serving bool) *state.WorkflowStep {
		s := &state.WorkflowStep{Count: 1, Size: state.Resources{MilliCPU: milliCPU, MemoryMiB: 500}, EstimateMillis: 1700, Image: image}
		s.LongRunning, s.BestEffort = serving, !serving
		if serving {
			s.TailMillis = 50
		}
		return s
	}
	for i := range workers {
		s := c.openSession(state.PoolWorker{
			ID: fmt.Sprintf("w%03d", i), Pool: "pool", Zone: fmt.Sprintf("z%d", i%3),
			Capacity: state.Resources{MilliCPU: 16_000, MemoryMiB: 62_500},
		}, true)
		for n := range 10 {
			st := step(2000, "filler", false)
			if n < 2 {
				st = step(1000, fmt.Sprintf("server-%d", n), true)
			}
			f := &workflow{spec: &state.WorkflowSpec{ID: fmt.Sprintf("%s-%d", s.worker.ID, n)}, loads: make([]placement.Load, 1)}
			s.add(&attempt{phase: attemptRunning, run: Run{Workflow: f.spec.ID, Number: 1}, runStats: runStats{rate: fullRate}, task: &task{workflow: f, step: st, phase: taskOnWorker}})
		}
	}
	r := rand.New(rand.NewPCG(1, 1))
	now := clock.Now().UnixMilli()
	for i := range waiting / tasks {
		w := &state.Workflow{SubmittedAt: now - r.Int64N(20_000), Tasks: make([]state.WorkflowTask, 2*tasks), Phase: state.WorkflowQueued, Spec: state.WorkflowSpec{
			ID: fmt.Sprintf("%016x", i), Pool: "pool", Queue: "queue", Priority: 2, MaxSlowdown: 2, ObjectiveMillis: 1000,
		}}
		size := state.Resources{MilliCPU: 1000 + r.Int64N(2000), MemoryMiB: 500}
		for s := range 2 {
			st := state.WorkflowStep{Count: tasks, Size: size, EstimateMillis: 500 + r.Int64N(2400), Image: fmt.Sprintf("image-%d", i%8), BestEffort: true}
			if s > 0 {
				st.DependsOn = []int{s - 1}
			}
			w.Spec.Steps = append(w.Spec.Steps, st)
		}
		c.openWorkflow(w)
		if i%10 == 0 {
			c.recordBegun(c.workflows[w.Spec.ID])
		}
	}
	return c, clock
}

// learnRunTimes makes the run times of all waiting tasks known, as they are after
// a few seconds of load.
func learnRunTimes(c *Controller) {
	const runs = 200
	r := rand.New(rand.NewPCG(2, 1))
	seen := make(map[runtimes.Key]bool)
	for _, f := range c.workflows {
		for i := range f.spec.Steps {
			step := &f.spec.Steps[i]
			key := runTimeKey(f.queue, step)
			if seen[key] {
				continue
			}
			seen[key] = true
			for n := range uint64(runs) {
				c.learned.model.Observe(key, n/10, step.EstimateMillis, int64(float64(step.EstimateMillis)*(0.5+1.5*r.Float64())), c.now().Milliseconds())
			}
		}
	}
}

// BenchmarkPass measures a placement pass over a full pool with the largest
// planned number of workers and 10,000 waiting tasks. Passes take at most a
// third of the leader's time, so a waiting task is considered every three times
// this duration.
func BenchmarkPass(b *testing.B) {
	for _, tasks := range []int{20, 1} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			c, clock := newLoadedController(tasks)
			learnRunTimes(c)
			for range 10 { // until the rate of the pool is known
				clock.Advance(time.Second)
				c.recordCompleted(c.workflows["0000000000000000"].tasks[0])
				for _, s := range c.sessions {
					s.lastHeartbeat = c.now()
				}
				c.schedule()
			}
			for b.Loop() {
				c.nextBacklog, c.nextReport = 0, 0 // at most every 200 ms and every second
				c.schedule()
			}
			if n := len(c.journal.starts); n > 0 {
				b.Fatalf("%d tasks were placed in a full pool", n)
			}
			if (*c.backlogs.Load())["pool"] == nil {
				b.Fatal("the pool has no backlog")
			}
		})
	}
}
