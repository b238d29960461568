package placement_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/state"
)

// zoneCluster returns a cluster with two workers in each of two zones, a
// service and batch tasks.
func zoneCluster(g Gomega) *cluster {
	c := newCluster(g)
	for _, w := range []string{"a1", "a2", "b1", "b2"} {
		c.worker(w, w[:1], cores(10))
	}
	c.ok(state.ApplyService{Spec: state.ServiceSpec{Name: "s", Replicas: 4, Resources: cores(2)}})
	c.passes(2)
	c.job("j", "", state.PriorityNormal, 8, cores(3), 100)
	c.passes(1)
	g.Expect(c.runningIn("a", state.KindLatencyCritical)).To(Equal(2))
	return c
}

// Guards against a service that loses replicas while a zone is drained, and
// against tasks that start or remain there.
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
		c.reportTransitions()
		running := c.runningIn("a", state.KindLatencyCritical) + c.runningIn("b", state.KindLatencyCritical)
		g.Expect(running).To(BeNumerically(">=", 4))
		c.now += 1000
	}
	g.Expect(c.runningIn("a", state.KindLatencyCritical)).To(Equal(0))
	g.Expect(c.runningIn("a", state.KindBatch)).To(Equal(0))
	g.Expect(c.runningIn("b", state.KindLatencyCritical)).To(Equal(4))
	g.Expect(c.Tasks.Len()).To(Equal(12))
}

// Guards against duplicate or lost replicas when a zone is drained again while
// the first change is still in progress.
func TestZoneOutTwiceKeepsReplicas(t *testing.T) {
	g := NewWithT(t)
	c := zoneCluster(g)
	for range 3 {
		c.zone("a", true)
		c.plan()
		c.plan()
		c.zone("a", false)
		c.plan()
		c.reportTransitions()
	}
	c.zone("b", true)
	c.passes(8)
	c.zone("b", false)
	c.passes(200)
	g.Expect(c.runningIn("a", state.KindLatencyCritical) + c.runningIn("b", state.KindLatencyCritical)).To(Equal(4))
	g.Expect(c.tasks(state.PhasePending)).To(BeEmpty())
	g.Expect(c.Tasks.Len()).To(Equal(12))
}

// Guards against replacements that remain pending when a zone returns to
// service before there was free capacity for them.
func TestReturnOfZoneEndsWaitingReplacements(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(g)
	c.worker("a1", "a", cores(8))
	c.ok(state.ApplyService{Spec: state.ServiceSpec{Name: "s", Replicas: 4, Resources: cores(2)}})
	c.passes(2)
	c.zone("a", true)
	c.passes(3)
	g.Expect(c.tasks(state.PhasePending)).To(HaveLen(4))
	c.zone("a", false)
	c.passes(30)
	g.Expect(c.tasks(state.PhaseRunning)).To(HaveLen(4))
	g.Expect(c.Tasks.Len()).To(Equal(4))
	for _, task := range c.tasks(state.PhaseRunning) {
		g.Expect(task.Incarnation).To(BeEquivalentTo(1))
	}
}

// Guards against a replica that starts in a zone after the zone was drained,
// and against replicas that are not removed when the replica count of a service
// is reduced.
func TestStartsInDrainedZoneAreStoppedAndExcessIsRemoved(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(g)
	c.worker("a1", "a", cores(8))
	spec := state.ServiceSpec{Name: "s", Replicas: 3, Resources: cores(2)}
	c.ok(state.ApplyService{Spec: spec})
	c.plan()
	c.plan()
	g.Expect(c.tasks(state.PhaseStarting)).To(HaveLen(3))
	c.zone("a", true)
	c.worker("b1", "b", cores(8))
	c.plan()
	g.Expect(c.tasks(state.PhaseStopping)).To(HaveLen(3))
	for _, task := range c.tasks(state.PhaseStopping) {
		c.report(task, state.EventNotStarted)
	}
	c.passes(2)
	g.Expect(c.runningIn("b", state.KindLatencyCritical)).To(Equal(3))
	s, _ := c.Services.Get("s")
	spec.Replicas = 1
	c.ok(state.ApplyService{Spec: spec, ExpectedVersion: s.Version})
	c.passes(2)
	g.Expect(c.Tasks.Len()).To(Equal(1))
}

// Guards against replicas that keep their previous size, and against a change
// of size that interrupts the service.
func TestChangedSizeReplacesReplicasOneAtATime(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(g)
	c.worker("a1", "a", cores(16))
	spec := state.ServiceSpec{Name: "s", Replicas: 3, Resources: cores(2)}
	c.ok(state.ApplyService{Spec: spec})
	c.passes(2)
	s, _ := c.Services.Get("s")
	spec.Resources = cores(3)
	c.ok(state.ApplyService{Spec: spec, ExpectedVersion: s.Version})
	for range 20 {
		c.passes(1)
		g.Expect(len(c.tasks(state.PhaseRunning))).To(BeNumerically(">=", 3))
		g.Expect(c.Tasks.Len()).To(BeNumerically("<=", 4))
	}
	for _, task := range c.tasks(state.PhaseRunning) {
		g.Expect(task.Resources).To(Equal(cores(3)))
	}
	g.Expect(c.Tasks.Len()).To(Equal(3))
}
