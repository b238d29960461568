package placement_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/placement"
	"apricotrouter/state"
)

// Planned size of a cluster: 1,600 latency-critical and 6,800 batch tasks on
// 740 workers.
const (
	plannedWorkers  = 740
	plannedReplicas = 1600
	plannedBatch    = 6800
)

// newLoadedCluster returns a cluster with the given number of workers that runs
// a proportional part of the planned tasks, and a queue of pending tasks of
// several teams and priorities.
func newLoadedCluster(b *testing.B, workers, queue int) *cluster {
	c := newCluster(NewWithT(b))
	for i := range workers {
		c.worker(fmt.Sprintf("w%03d", i), fmt.Sprintf("z%d", i%6), cores(128))
	}
	const replicas = 50
	for i := range max(1, plannedReplicas*workers/plannedWorkers/replicas) {
		c.ok(state.ApplyService{Spec: state.ServiceSpec{Name: fmt.Sprintf("s%d", i), Replicas: replicas, Resources: cores(4)}})
	}
	c.job("running", "", state.PriorityNormal, int64(plannedBatch*workers/plannedWorkers), cores(4), 3600)
	for c.PendingCount() > 0 || c.Index < 100 && len(c.tasks(state.PhaseRunning)) == 0 {
		c.passes(1)
	}
	c.passes(2)
	const jobTasks = 50
	priorities := []state.Priority{state.PriorityUrgent, state.PriorityNormal, state.PriorityLow}
	for i := range queue / jobTasks {
		team := fmt.Sprintf("team%d", i%16)
		if _, ok := c.Teams.Get(team); !ok {
			c.ok(state.ApplyTeam{Name: team, Weight: int64(1 + i%3)})
		}
		c.job(fmt.Sprintf("j%d", i), team, priorities[i%3], jobTasks, cores(int64(1+i%4)), 60)
	}
	return c
}

// BenchmarkPlan measures one plan and reports the placements per second of
// planning.
func BenchmarkPlan(b *testing.B) {
	for _, workers := range []int{50, 100, 200, 400, 740} {
		for _, queue := range []int{400, 4000, 40000} {
			b.Run(fmt.Sprintf("workers=%d/queue=%d", workers, queue), func(b *testing.B) {
				c := newLoadedCluster(b, workers, queue)
				placed := 0
				for b.Loop() {
					placed += countPlacements(placement.Plan(c.State, c.obs, c.now))
				}
				b.ReportMetric(float64(placed)/b.Elapsed().Seconds(), "placements/s")
			})
		}
	}
}

func countPlacements(bodies []state.Body) int {
	n := 0
	for _, b := range bodies {
		if p, ok := b.(state.PlaceTasks); ok {
			n += len(p.Placements)
		}
	}
	return n
}

// BenchmarkPlanIdle measures a plan without any decision.
func BenchmarkPlanIdle(b *testing.B) {
	c := newLoadedCluster(b, plannedWorkers, 0)
	for b.Loop() {
		placement.Plan(c.State, c.obs, c.now)
	}
}

// BenchmarkPlanBlocked measures a plan for a queue whose first tasks fit on no
// worker.
func BenchmarkPlanBlocked(b *testing.B) {
	c := newLoadedCluster(b, plannedWorkers, 0)
	c.job("large", "", state.PriorityNormal, 500, cores(126), 60)
	c.now += 10_000
	for b.Loop() {
		placement.Plan(c.State, c.obs, c.now)
	}
}

// BenchmarkPlanAndApply measures 320 starts, their reports and the ends of as
// many tasks: one second at the planned peak.
func BenchmarkPlanAndApply(b *testing.B) {
	const startsPerSecond = 320
	c := newLoadedCluster(b, plannedWorkers, 0)
	c.planner = placement.New(placement.Options{MaxPlacements: startsPerSecond})
	for i := 0; b.Loop(); i++ {
		b.StopTimer()
		c.job(fmt.Sprintf("peak%d", i), "", state.PriorityUrgent, startsPerSecond, cores(1), 10)
		c.now += 1000
		b.StartTimer()
		c.plan()
		started := c.tasks(state.PhaseStarting)
		if len(started) != startsPerSecond {
			b.Fatalf("%d of %d tasks were placed", len(started), startsPerSecond)
		}
		for _, t := range started {
			c.report(t, state.EventStarted)
		}
		for _, t := range started {
			c.report(t, state.EventExited)
		}
	}
	b.ReportMetric(float64(b.N)*startsPerSecond/b.Elapsed().Seconds(), "starts/s")
}
