package fleet

import (
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"apricotrouter/state"
	"apricotrouter/transport"
)

// newStoringService returns a service of a leader with memory for a number of
// workflows of submitLarge, and a function that submits one.
func newStoringService(t *testing.T, workflows int64) (s *Service, group *racingGroup, advance func(time.Duration), submitLarge func(id string) *Response) {
	_, group, clock := newRefusingService(t)
	large := func(w *state.WorkflowSpec) { w.Steps[0].Count, w.Steps[0].LongRunning = 1000, true }
	spec := &state.WorkflowSpec{Payload: "p", Steps: make([]state.WorkflowStep, 1)}
	large(spec)
	capacity := 2*workflows*storedBytes(spec) + 2*endedWorkflowBytes*10
	s = NewService(group, New(Options{Clock: clock, Log: group, Limits: Limits{WorkflowBytes: capacity}}), transport.NewMux(), nil)
	s.controller.activate(group.Leadership())
	return s, group, clock.Advance, func(id string) *Response {
		resp := s.submitTest(t.Context(), id, large)
		s.controller.drainInbox()
		return resp
	}
}

// Guards against an instance that stores more than its memory holds, against a
// refusal that is not in the log or while there is memory, and against large
// workflows that keep small ones out.
func TestSubmissionsBeyondTheMemoryAreRefused(t *testing.T) {
	g := NewWithT(t)
	s, group, advance, submitLarge := newStoringService(t, 2)
	const first, second, third = "00000000000000d1", "00000000000000d2", "00000000000000d3"
	g.Expect(submitLarge(first).Outcome).To(Equal(OutcomeDone))
	g.Expect(submitLarge(second).Outcome).To(Equal(OutcomeDone))
	refused := submitLarge(third)
	g.Expect(refused.Outcome).To(Equal(OutcomeRefused))
	g.Expect(refused.RetryAfterMillis).To(BeNumerically(">=", 10_000))
	g.Expect(submitLarge(second).Outcome).To(Equal(OutcomeDone), "it is stored")
	_, ok := group.State().RefusedWorkflows.Get(third)
	g.Expect(ok).To(BeTrue(), "copies that reach the next leader are refused")
	g.Expect(s.submitTest(t.Context(), "00000000000000d4", unchanged).Outcome).To(Equal(OutcomeDone), "it is small")
	g.Expect(s.submitTest(t.Context(), "00000000000000d5", func(w *state.WorkflowSpec) { w.Steps[0].Count = 60_000 }).Outcome).
		To(Equal(OutcomeInvalid), "it never fits")

	g.Expect(s.cancel(t.Context(), caller{}, first).Outcome).To(Equal(OutcomeDone))
	s.controller.drainInbox()
	advance(time.Duration(refused.RetryAfterMillis) * time.Millisecond)
	g.Expect(submitLarge(third).Outcome).To(Equal(OutcomeDone))
}

// Guards against memory that stays reserved after a commit failed, or that is not
// reserved while its outcome is unknown.
func TestMemoryOfAFailedSubmissionIsReleased(t *testing.T) {
	g := NewWithT(t)
	s, group, advance, submitLarge := newStoringService(t, 1)
	group.err = errors.New("no quorum")
	g.Expect(submitLarge("00000000000000e1").Outcome).To(Equal(OutcomeUnknown))
	group.err = nil
	g.Expect(submitLarge("00000000000000e2").Outcome).To(Equal(OutcomeRefused), "the first one may be stored")
	advance(proposeTimeout + resyncInterval)
	g.Eventually(func() int64 {
		s.controller.storage.mu.Lock()
		defer s.controller.storage.mu.Unlock()
		return s.controller.storage.reserved
	}).Should(BeZero())
	g.Expect(submitLarge("00000000000000e3").Outcome).To(Equal(OutcomeDone))
}

// Guards against a leader that has not counted what an earlier one stored, or that
// counts it twice after it was interrupted.
func TestNewLeaderCountsStoredWorkflows(t *testing.T) {
	g := NewWithT(t)
	s, group, _, submitLarge := newStoringService(t, 1)
	g.Expect(submitLarge("00000000000000f1").Outcome).To(Equal(OutcomeDone))
	counted := s.controller.storage.open
	g.Expect(counted).To(BeNumerically(">", 0))
	s.controller.reactivate("test")
	g.Expect(s.controller.storage.open).To(Equal(counted))
	next := NewService(group, New(Options{Clock: s.controller.opts.Clock, Log: group, Limits: s.controller.opts.Limits}), transport.NewMux(), nil)
	next.controller.activate(group.Leadership())
	g.Expect(next.controller.storage.open).To(Equal(counted))
}
