package fleet_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/fleet"
	"apricotrouter/standin/pool"
	"apricotrouter/state"
)

// Guards against a submission that is stored and runs after its cancellation was
// acknowledged, because a copy reaches the leader, or the next one, late.
func TestSubmissionCancelledBeforeItArrivesDoesNotRun(t *testing.T) {
	for name, between := range map[string]func(h *harness){"same leader": func(*harness) {}, "next leader": changeLeader} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			a := h.addWorker("a", pool.Options{RunTime: runForever})
			cancel := &fleet.Request{Op: fleet.OpCancel, Host: host, Path: "/jobs/" + jobID}
			h.Expect(h.call(cancel).Outcome).To(Equal(fleet.OutcomeGone))
			between(h)
			late := h.call(&fleet.Request{
				Op: fleet.OpSubmit, Host: host, Path: "/jobs/" + jobID, Workflow: &state.WorkflowSpec{Steps: []state.WorkflowStep{step(1)}},
			})
			h.Expect(late.Outcome).To(Equal(fleet.OutcomeRefused))
			h.Expect(late.RetryAfterMillis).To(BeNumerically(">", 0))
			h.Expect(h.call(&fleet.Request{Op: fleet.OpStatus, Host: host, Path: "/jobs/" + jobID}).Outcome).To(Equal(fleet.OutcomeGone), "nobody submitted it")
			h.Consistently(func() int { return len(a.Records()) }, "100ms", "5ms").Should(BeZero())
			h.submitAs(otherID(0), step(1))
			h.Eventually(func() int { return len(a.Records()) }, waitTimeout, "5ms").Should(Equal(1))
		})
	}
}

// Guards against a tenant whose cancelled submission is stored when it arrives,
// and against one that keeps the submissions of another out.
func TestCancellationOfAnUnknownWorkflowAppliesToItsTenant(t *testing.T) {
	h := newHarness(t)
	h.setConfig(tenantConfig(2, "a", "b"))
	const path = "/jobs/00000000000000c1"
	h.Expect(h.callAs("a", fleet.OpCancel, path)).To(Equal(fleet.OutcomeGone))
	h.Expect(h.callAs("a", fleet.OpSubmit, path)).To(Equal(fleet.OutcomeRefused))
	h.Expect(h.callAs("b", fleet.OpSubmit, path)).To(Equal(fleet.OutcomeDone))
	h.Expect(h.callAs("a", fleet.OpCancel, path)).To(Equal(fleet.OutcomeGone))
	h.Expect(h.callAs("b", fleet.OpStatus, path)).To(Equal(fleet.OutcomeDone))
}
