package fleet_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"apricotrouter/fleet"
	"apricotrouter/standin/pool"
	"apricotrouter/state"
)

// withWeights returns a configuration with tenants "a" and "b".
func withWeights(a, b state.Tenant) *state.QueueConfig {
	cfg := tenantConfig(2)
	a.Name, b.Name = "a", "b"
	a.Keys, b.Keys = [][]byte{keyHash("a")}, [][]byte{keyHash("b")}
	cfg.Tenants = []state.Tenant{a, b}
	for i := range cfg.Queues {
		cfg.Queues[i].ObjectiveMillis = 60_000 // no deadline decides
	}
	return cfg
}

// startOrder submits count workflows of one task for each tenant, those of "a"
// first, while the only worker is busy, and returns the tenants in the order of
// their starts. The worker runs four tasks at a time.
func startOrder(t *testing.T, cfg *state.QueueConfig, count int, mod func(*state.WorkflowStep)) []string {
	h := newHarness(t)
	w := h.addWorker("w", pool.Options{RunTime: func(p fleet.TaskPosition, n uint64) time.Duration {
		if p.Workflow == jobID {
			return runForever(p, n)
		}
		return 20 * time.Millisecond
	}})
	h.submitAs(jobID, step(4))
	h.Eventually(runningOf(jobID, w), waitTimeout, "5ms").Should(Equal(4))
	h.setConfig(cfg)
	for i, name := range []string{"a", "b"} {
		for n := range count {
			h.submitFor(name, fmt.Sprintf("%015x%x", n, i+1), step(1, mod))
		}
	}
	h.Expect(h.callAs("a", fleet.OpCancel, "/jobs/"+jobID)).To(Equal(fleet.OutcomeDone))
	var order []string
	started := func() []string {
		order = nil
		for _, r := range w.Records() {
			switch r.Position.Workflow[15] {
			case '1':
				order = append(order, "a")
			case '2':
				order = append(order, "b")
			}
		}
		return order
	}
	h.Eventually(started, waitTimeout, "5ms").Should(HaveLen(2 * count))
	return order
}

func countOf(name string, order []string) int {
	n := 0
	for _, o := range order {
		if o == name {
			n++
		}
	}
	return n
}

// Guards against a tenant that waits behind all work of another that submitted
// first, and against weights that do not divide the capacity.
func TestWaitingTenantsShareByWeight(t *testing.T) {
	g := NewWithT(t)
	const count = 24
	order := startOrder(t, withWeights(state.Tenant{Weight: 100}, state.Tenant{Weight: 300}), count, func(*state.WorkflowStep) {})
	first := order[:count]
	t.Log(order)
	g.Expect(countOf("b", first)).To(BeNumerically("~", count*3/4, 4))
	g.Expect(countOf("a", first)).To(BeNumerically(">=", 3))
}

// Guards against shares that follow the priority of a tenant, which the terms of
// the users do not name, and against work beyond the rate of a tenant that delays
// others.
func TestWaitingTenantsFollowRateAndNotPriority(t *testing.T) {
	g := NewWithT(t)
	const count = 12
	order := startOrder(t, withWeights(state.Tenant{Weight: 100, Priority: 1}, state.Tenant{Weight: 100}), count, func(*state.WorkflowStep) {})
	g.Expect(countOf("b", order[:count])).To(BeNumerically("~", count/2, 2), "%v", order)
	order = startOrder(t, withWeights(state.Tenant{Weight: 2}, state.Tenant{Weight: 2000}), count, func(*state.WorkflowStep) {})
	// Two workflows of "a" are within its rate.
	g.Expect(countOf("a", order[:count+1])).To(BeNumerically("<=", 3), "%v", order)
}

// Guards against shares that change the order where everything fits, and against
// an excess that is not served from idle capacity.
func TestSharesDecideOnlyIfMoreWaitsThanFits(t *testing.T) {
	h := newHarness(t)
	w := h.addWorker("w", pool.Options{RunTime: runForever})
	h.setConfig(withWeights(state.Tenant{Weight: 0.001}, state.Tenant{Weight: 1}))
	for n := range 4 {
		h.submitFor("a", fmt.Sprintf("%015x1", n), step(1))
	}
	h.Eventually(func() int { return running(w) }, waitTimeout, "5ms").Should(Equal(4))
}

// Guards against an order by rate within the only tenant that waits, which would
// make work with an early deadline wait for work with a late one.
func TestOnlyTenantIsServedByDeadline(t *testing.T) {
	h := newHarness(t)
	w := h.addWorker("w", pool.Options{RunTime: runForever})
	h.submitAs(jobID, step(4))
	h.Eventually(runningOf(jobID, w), waitTimeout, "5ms").Should(Equal(4))
	h.setConfig(withWeights(state.Tenant{Weight: 1}, state.Tenant{Weight: 1}))
	h.submitFor("a", workA, step(4, func(s *state.WorkflowStep) { s.EstimateMillis = 5000 })) // within the rate
	h.submitFor("a", workB, step(4))                                                          // beyond it, with an earlier deadline
	h.Expect(h.callAs("a", fleet.OpCancel, "/jobs/"+jobID)).To(Equal(fleet.OutcomeDone))
	// The starts of one commit reach the worker in any order, so that only what
	// runs at the end tells which tasks came first.
	h.Eventually(runningOf(workB, w), waitTimeout, "5ms").Should(Equal(4))
}
