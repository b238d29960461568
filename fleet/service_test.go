package fleet_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"apricotrouter/fleet"
	"apricotrouter/standin/pool"
	"apricotrouter/state"
)

// Guards against a call from another instance without the fields of its
// operation that ends the leader's process. Each call must get a response, and
// the leader must continue.
func TestCallsWithoutABodyAreRefused(t *testing.T) {
	h := newHarness(t)
	for op := range fleet.Op(200) {
		outcome := h.call(&fleet.Request{Op: op}).Outcome
		h.Expect(outcome).NotTo(BeZero(), op)
	}
	h.Expect(h.call(&fleet.Request{Op: fleet.OpWorkerLeft}).Outcome).To(Equal(fleet.OutcomeInvalid))
	h.Expect(h.call(&fleet.Request{Op: fleet.OpHeartbeat, WorkerHeartbeat: &fleet.Heartbeat{}}).Outcome).To(Equal(fleet.OutcomeInvalid))
	h.Expect(h.submit(step(1))).To(Equal(fleet.OutcomeDone))
}

// Guards against numbers in a submission that overflow in the controller's sums
// of work, objectives and times.
func TestOverflowingNumbersAreRefused(t *testing.T) {
	g := NewWithT(t)
	valid := func(mod func(*state.WorkflowSpec)) error {
		w := &state.WorkflowSpec{Steps: []state.WorkflowStep{{Count: 1, Size: state.Resources{MilliCPU: 1}, EstimateMillis: 1}}}
		mod(w)
		return fleet.CheckWorkflow(w)
	}
	g.Expect(valid(func(*state.WorkflowSpec) {})).To(Succeed())
	for name, mod := range map[string]func(*state.WorkflowSpec){
		"count":       func(w *state.WorkflowSpec) { w.Steps[0].Count = math.MaxInt },
		"estimate":    func(w *state.WorkflowSpec) { w.Steps[0].EstimateMillis = math.MaxInt64 },
		"processors":  func(w *state.WorkflowSpec) { w.Steps[0].Size.MilliCPU = math.MaxInt64 },
		"memory":      func(w *state.WorkflowSpec) { w.Steps[0].Size.MemoryMiB = math.MaxInt64 },
		"tail":        func(w *state.WorkflowSpec) { w.Steps[0].TailMillis = math.MaxInt64 },
		"first time":  func(w *state.WorkflowSpec) { w.Occurrences, w.FirstAtMillis = 2, math.MaxInt64 },
		"occurrences": func(w *state.WorkflowSpec) { w.Occurrences = math.MaxInt },
	} {
		g.Expect(valid(mod)).NotTo(Succeed(), name)
	}
}

// Guards against a workflow that is not counted as pending because its first
// start was recorded, although the start never reached its worker.
func TestRecordedStartThatReachedNoWorkerIsPending(t *testing.T) {
	h := newHarness(t, func(o *fleet.Options) { o.Limits.MaxLease = 20 * time.Second })
	a := h.addWorker("a", pool.Options{RunTime: runForever})
	pending := func() int {
		p := h.call(&fleet.Request{Op: fleet.OpStatus, Host: host, Path: "/jobs/"}).Pending
		h.Expect(p).NotTo(BeNil())
		return *p
	}
	a.SetUnreachable(true)
	h.Expect(h.submit(step(1))).To(Equal(fleet.OutcomeDone))
	h.expectPhase(state.WorkflowActive)
	const maxAge = 2 * time.Second // of the count, from the service terms
	h.Eventually(pending, maxAge, "20ms").Should(Equal(1))
	a.SetUnreachable(false)
	h.Eventually(func() int { return running(a) }, waitTimeout).Should(Equal(1))
	h.Eventually(pending, maxAge, "20ms").Should(BeZero())
}
