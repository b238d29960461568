package placement_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"apricotrouter/state"
)

// TestMain fixes the seed of the random histories, so that every run tests the
// same ones.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261204")
	}
	os.Exit(m.Run())
}

// injectEvent applies a random event to the cluster.
func (c *cluster) injectEvent(t *rapid.T, jobs *int) {
	zone := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")
	worker := fmt.Sprintf("%s%d", zone, rapid.IntRange(0, 1).Draw(t, "worker"))
	w, _ := c.Workers.Get(worker)
	fence := c.Assignment(state.AssignWorker, worker).Fence
	switch rapid.IntRange(0, 7).Draw(t, "event") {
	case 0, 1:
		*jobs++
		p := rapid.SampledFrom([]state.Priority{state.PriorityUrgent, state.PriorityNormal, state.PriorityLow}).Draw(t, "priority")
		c.job(fmt.Sprint("j", *jobs), "", p, rapid.Int64Range(1, 12).Draw(t, "tasks"), cores(rapid.Int64Range(1, 8).Draw(t, "cores")), rapid.Int64Range(0, 60).Draw(t, "seconds"))
	case 2:
		c.zone(zone, !c.IsZoneDrained(zone))
	case 3:
		c.apply(state.MarkWorkerLost{Worker: worker, Fence: fence})
	case 4:
		c.apply(state.MarkWorkerReturned{Worker: worker, Fence: fence})
	case 5:
		c.apply(state.MarkWorkerLeaseExpired{Worker: worker, LostFence: w.LostFence, LostIndex: w.LostIndex})
	case 6:
		for task := range c.TasksOnWorker(worker) {
			c.report(task, rapid.SampledFrom([]state.TaskEvent{state.EventNotStarted, state.EventExited, state.EventStarted}).Draw(t, "report"))
		}
	case 7:
		c.now += rapid.Int64Range(0, 90_000).Draw(t, "pause")
	}
}

// completeBatch completes all running batch tasks.
func (c *cluster) completeBatch() {
	for _, task := range c.tasks(state.PhaseRunning) {
		if task.Kind == state.KindBatch {
			c.report(task, state.EventExited)
		}
	}
}

// Guards against work that is lost or waits forever after any sequence of
// drained and returned zones, lost workers and starts that did not happen. Also
// guards against plans with commands that the state machine rejects.
func TestRandomDisturbancesLoseNoWork(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		c := newCluster(g)
		for _, id := range []string{"a0", "a1", "b0", "b1", "c0", "c1"} {
			c.worker(id, id[:1], cores(8))
		}
		c.ok(state.ApplyService{Spec: state.ServiceSpec{Name: "s", Replicas: 3, Resources: cores(2)}})
		jobs := 0
		for range rapid.IntRange(5, 60).Draw(rt, "steps") {
			c.injectEvent(rt, &jobs)
			if rapid.Bool().Draw(rt, "plan") {
				c.plan()
			}
			if rapid.Bool().Draw(rt, "report transitions") {
				c.reportTransitions()
			}
			c.now += 500
		}
		for id, w := range c.Workers.All() {
			c.apply(state.MarkWorkerReturned{Worker: id, Fence: c.Assignment(state.AssignWorker, id).Fence})
			if c.IsZoneDrained(w.Zone) {
				c.zone(w.Zone, false)
			}
		}
		const passes = 200
		for i := 0; i < passes && (i < 10 || c.PendingCount() > 0 || len(c.tasks(state.PhaseRunning)) > 3); i++ {
			c.passes(1)
			c.completeBatch()
		}
		for id, j := range c.Jobs.All() {
			g.Expect(j.Phase).To(Equal(state.JobCompleted), id)
			g.Expect(j.Completed).To(Equal(j.Spec.Tasks), id)
		}
		g.Expect(c.tasks(state.PhaseRunning)).To(HaveLen(3))
		g.Expect(c.PendingCount()).To(BeZero())
	})
}
