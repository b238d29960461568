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

// Guards against a start that goes out twice around a hand-over: its commit is
// held up until another instance leads, and again until this one does.
func TestStartHeldUpOverAHandOverIsSentOnce(t *testing.T) {
	h := newHarness(t)
	a := h.worker("a", pool.Options{Work: slowly})
	b := h.worker("b", pool.Options{Work: slowly})
	h.gate.Lock()
	h.Expect(h.submit(step(3))).To(Equal(fleet.Done))
	time.Sleep(60 * time.Millisecond) // until the starts wait for their commit
	h.log.SetLeadership(replica.Leadership{Leader: "other", Term: 2})
	time.Sleep(60 * time.Millisecond)
	h.gate.Unlock()
	h.Consistently(func() int { return len(a.Records()) + len(b.Records()) }, 200*time.Millisecond).Should(BeZero())
	h.log.SetLeadership(replica.Leadership{Leader: "memory", Term: 3, Self: true, Epoch: 3})
	h.eventually(state.WorkflowCompleted)
	h.expectOnce(a, b)
}
