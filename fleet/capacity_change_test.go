package fleet_test

import (
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"apricotrouter/fleet"
	"apricotrouter/standin/pool"
	"apricotrouter/state"
)

// Guards against starts beyond the capacity of a worker that has shrunk, and
// against capacity that stays unused after it has grown again.
func TestChangedCapacityBoundsStarts(t *testing.T) {
	h := newHarness(t)
	startedAt := time.Now().UnixMilli()
	a := h.addWorker("a", pool.Options{RunTime: runForever, StartedAt: startedAt})
	report := func(milliCPU int64) {
		capacity := state.Resources{MilliCPU: milliCPU, MemoryMiB: 4000}
		h.Expect(h.heartbeatWith("a", startedAt, a, false, capacity)).To(Equal(fleet.OutcomeDone))
	}
	h.submitAs(otherID(1), step(2, untilStopped))
	h.Eventually(func() int { return running(a) }, waitTimeout).Should(Equal(2))
	report(1500) // less than what runs
	h.submitAs(otherID(2), step(1, untilStopped))
	h.submitAs(otherID(3), step(1, func(s *state.WorkflowStep) { s.Size.MilliCPU = 0 }))
	h.Consistently(func() int { return running(a) }, 2*holdMax).Should(Equal(2))
	report(3000)
	h.Eventually(func() int { return running(a) }, waitTimeout).Should(Equal(4))
	h.Expect(a.Records()).NotTo(ContainElement(HaveField("Kind", fleet.EndStopped)))
}

// Guards against a start that was decided before the capacity of its worker
// shrank and is sent after it.
func TestStartDecidedBeforeCapacityShrankIsNotSent(t *testing.T) {
	h := newHarness(t)
	startedAt := time.Now().UnixMilli()
	a := h.addWorker("a", pool.Options{RunTime: runForever, StartedAt: startedAt})
	h.commitGate.Lock()
	h.Expect(h.submit(step(2, untilStopped))).To(Equal(fleet.OutcomeDone)) // its starts wait for the commit gate
	time.Sleep(100 * time.Millisecond)
	capacity := state.Resources{MilliCPU: 500, MemoryMiB: 4000}
	h.Expect(h.heartbeatWith("a", startedAt, a, false, capacity)).To(Equal(fleet.OutcomeDone))
	h.commitGate.Unlock()
	h.Consistently(func() int { return len(a.Records()) }, holdMax).Should(BeZero())
	b := h.addWorker("b", pool.Options{RunTime: runForever})
	h.Eventually(func() int { return running(b) }, waitTimeout).Should(Equal(2))
	h.Expect(a.Records()).To(BeEmpty())
}

// Guards against a change of capacity that is lost because its commit failed.
func TestCapacityWhoseCommitFailedIsSavedLater(t *testing.T) {
	h := newHarness(t)
	startedAt := time.Now().UnixMilli()
	a := h.addWorker("a", pool.Options{RunTime: runForever, StartedAt: startedAt})
	capacity := state.Resources{MilliCPU: 500, MemoryMiB: 4000}
	h.log.SetError(errors.New("no response"))
	h.Expect(h.heartbeatWith("a", startedAt, a, false, capacity)).To(Equal(fleet.OutcomeUnknown))
	h.log.SetError(nil)
	h.Expect(h.submit(step(1, untilStopped))).To(Equal(fleet.OutcomeDone))
	h.Consistently(func() int { return len(a.Records()) }, "300ms").Should(BeZero(), "the change holds at once")
	h.Expect(h.heartbeatWith("a", startedAt, a, false, capacity)).To(Equal(fleet.OutcomeDone))
	w, ok := h.log.State().PoolWorkers.Get("a")
	h.Expect(ok).To(BeTrue())
	h.Expect(w.Capacity).To(Equal(capacity))
}
