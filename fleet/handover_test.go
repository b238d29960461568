package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"apricotrouter/fleet"
	"apricotrouter/replica"
	"apricotrouter/standin/pool"
	"apricotrouter/state"
)

// Guards against a start that is sent twice around a hand-over. Its commit is
// delayed until another instance leads and then until this instance leads
// again.
func TestStartHeldUpOverAHandOverIsSentOnce(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", pool.Options{RunTime: runFor60ms})
	b := h.addWorker("b", pool.Options{RunTime: runFor60ms})
	h.commitGate.Lock()
	h.Expect(h.submit(step(3))).To(Equal(fleet.OutcomeDone))
	time.Sleep(60 * time.Millisecond) // until the starts wait for their commit
	h.log.SetLeadership(replica.Leadership{Leader: "other", Term: 2})
	time.Sleep(60 * time.Millisecond)
	h.commitGate.Unlock()
	h.Consistently(func() int { return len(a.Records()) + len(b.Records()) }, 200*time.Millisecond).Should(BeZero())
	h.log.SetLeadership(replica.Leadership{Leader: "memory", Term: 3, Self: true, Epoch: 3})
	h.expectPhase(state.WorkflowCompleted)
	h.expectNoDuplicateRuns(a, b)
}
