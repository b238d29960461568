package fleet_test

import (
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/fleet"
	"apricotrouter/standin/pool"
	"apricotrouter/state"
)

// Guards against a panic in the controller's loop that ends the process, and
// against runs that are lost or duplicated when the controller reloads the
// state.
func TestControllerOutlivesAFault(t *testing.T) {
	var faults atomic.Int64
	h := newHarness(t, func(o *fleet.Options) {
		dial := o.Dial
		o.Dial = func(w state.PoolWorker) fleet.Worker {
			if w.ID == "b" && faults.Add(-1) == 0 {
				panic("injected fault")
			}
			return dial(w)
		}
	})
	faults.Store(1)
	a := h.addWorker("a", pool.Options{RunTime: runFor60ms})
	h.Expect(h.submit(step(2), step(2, afterFirst))).To(Equal(fleet.OutcomeDone))
	b := pool.New(pool.Options{ID: "b", StartedAt: 1, RunTime: runFor60ms, MaxLease: holdMax})
	h.mu.Lock()
	h.workers[address("b", 1)] = b
	h.mu.Unlock()
	h.Expect(h.heartbeat("b", 1, b, false)).To(Equal(fleet.OutcomeUnknown), "the panic precedes the response")
	h.Eventually(func() fleet.Outcome { return h.heartbeat("b", 1, b, false) }, waitTimeout).Should(Equal(fleet.OutcomeDone))
	h.Expect(faults.Load()).To(BeNumerically("<", 1))
	h.expectPhase(state.WorkflowCompleted)
	h.submitAs("00000000000000bb", step(8))
	h.Eventually(func() state.WorkflowPhase { return h.phaseOf("00000000000000bb") }, waitTimeout, "5ms").Should(Equal(state.WorkflowCompleted))
	h.expectNoDuplicateRuns(a, b)
	h.Expect(b.Records()).NotTo(BeEmpty())
}
