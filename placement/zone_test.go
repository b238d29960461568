package placement_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/state"
)

// zoneCluster has two workers in each of two zones, a service and batch work.
func zoneCluster(g Gomega) *cluster {
	c := newCluster(g)
	for _, w := range []string{"a1", "a2", "b1", "b2"} {
		c.worker(w, w[:1], cores(10))
	}
	c.ok(state.ApplyService{Spec: state.ServiceSpec{Name: "s", Replicas: 4, Resources: cores(2)}})
	c.rounds(2)
	c.job("j", "", state.PriorityNormal, 8, cores(3), 100)
	c.rounds(1)
	g.Expect(c.runningIn("a", state.KindLatencyCritical)).To(Equal(2))
	return c
}

// Guards against a service that loses replicas while a zone is taken out, and
// against anything that starts or stays there.
func TestZoneOutReplacesReplicasBeforeStops(t *testing.T) {
	g := NewWithT(t)
	c := zoneCluster(g)
	c.zone("a", true)
	for range 6 {
		c.plan()
		for _, task := range c.tasks(state.PhaseStarting) {
			w, _ := c.Workers.Get(task.Worker)
			g.Expect(w.Zone).To(Equal("b"))
		}
		c.settle()
		running := c.runningIn("a", state.KindLatencyCritical) + c.runningIn("b", state.KindLatencyCritical)
		g.Expect(running).To(BeNumerically(">=", 4))
		c.now += 1000
	}
	g.Expect(c.runningIn("a", state.KindLatencyCritical)).To(Equal(0))
	g.Expect(c.runningIn("a", state.KindBatch)).To(Equal(0))
	g.Expect(c.runningIn("b", state.KindLatencyCritical)).To(Equal(4))
	g.Expect(c.Tasks.Len()).To(Equal(12))
}

// Guards against doubled or lost replicas when a zone goes out again while the
// first change is still being carried out.
func TestZoneOutTwiceKeepsReplicas(t *testing.T) {
	g := NewWithT(t)
	c := zoneCluster(g)
	for range 3 {
		c.zone("a", true)
		c.plan()
		c.plan()
		c.zone("a", false)
		c.plan()
		c.settle()
	}
	c.zone("b", true)
	c.rounds(8)
	c.zone("b", false)
	c.rounds(200)
	g.Expect(c.runningIn("a", state.KindLatencyCritical) + c.runningIn("b", state.KindLatencyCritical)).To(Equal(4))
	g.Expect(c.tasks(state.PhasePending)).To(BeEmpty())
	g.Expect(c.Tasks.Len()).To(Equal(12))
}
