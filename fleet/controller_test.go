package fleet_test

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"apricotrouter/fleet"
	"apricotrouter/replica"
	"apricotrouter/standin/pool"
	"apricotrouter/state"
)

func runForever(fleet.TaskPosition, uint64) time.Duration { return 0 }

func untilStopped(s *state.WorkflowStep) { s.LongRunning = true }

// Guards against a step that starts before its dependencies are done, and
// against a task that runs twice.
func TestStepsRunInOrderAndOnce(t *testing.T) {
	h := newHarness(t)
	a, b := h.addWorker("a", pool.Options{}), h.addWorker("b", pool.Options{})
	after := func(s *state.WorkflowStep) { s.DependsOn = []int{0} }
	h.Expect(h.submit(step(5), step(3, after))).To(Equal(fleet.OutcomeDone))
	h.expectPhase(state.WorkflowCompleted)
	h.expectNoDuplicateRuns(a, b)
	records := append(a.Records(), b.Records()...)
	h.Expect(records).To(HaveLen(8))
	for _, first := range records {
		for _, second := range records {
			if first.Position.Step == 0 && second.Position.Step == 1 {
				h.Expect(second.Started.Before(first.Ended)).To(BeFalse())
			}
		}
	}
}

// Guards against a second workflow, or a refusal, when a submission is
// repeated.
func TestResentSubmissionIsOneWorkflow(t *testing.T) {
	h := newHarness(t)
	w := h.addWorker("a", pool.Options{})
	for range 3 {
		h.Expect(h.submit(step(1))).To(Equal(fleet.OutcomeDone))
	}
	h.expectPhase(state.WorkflowCompleted)
	h.Expect(h.submit(step(1))).To(Equal(fleet.OutcomeDone))
	h.Consistently(func() int { return len(w.Records()) }, "200ms").Should(Equal(1))
}

// Guards against a second run of a task whose start was carried out although
// the response was lost.
func TestLostAnswerOfAStartIsNotASecondRun(t *testing.T) {
	h := newHarness(t)
	a, b := h.addWorker("a", pool.Options{RunTime: runFor60ms}), h.addWorker("b", pool.Options{RunTime: runFor60ms})
	a.DropStartResponses(1)
	b.DropStartResponses(1)
	h.Expect(h.submit(step(4))).To(Equal(fleet.OutcomeDone))
	h.expectPhase(state.WorkflowCompleted)
	h.expectNoDuplicateRuns(a, b)
}

func runFor60ms(fleet.TaskPosition, uint64) time.Duration { return 60 * time.Millisecond }

// Guards against a delayed start that is carried out seconds after its run was
// given up. The stop must have canceled it.
func TestLateStartIsVoid(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", pool.Options{})
	a.DelayStarts(1)
	h.Expect(h.submit(step(1))).To(Equal(fleet.OutcomeDone))
	h.expectPhase(state.WorkflowCompleted)
	a.DeliverDelayedStarts()
	time.Sleep(50 * time.Millisecond)
	h.Expect(a.Records()).To(HaveLen(1))
	h.Expect(a.Records()[0].Number).To(BeNumerically(">", 1))
}

// Guards against a second run while an unreachable worker may still run the
// first, and against a task that is not restarted after the lease has expired.
func TestSilentWorkerKeepsItsTasksUntilItsLeaseEnds(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", pool.Options{RunTime: runForever})
	h.Expect(h.submit(step(2, untilStopped))).To(Equal(fleet.OutcomeDone))
	h.Eventually(func() int { return running(a) }, waitTimeout).Should(Equal(2))
	b := h.addWorker("b", pool.Options{RunTime: runForever})
	a.SetUnreachable(true)
	h.Eventually(func() int { return running(b) }, waitTimeout, "5ms").Should(Equal(2))
	h.expectNoDuplicateRuns(a, b)
}

// Guards against a new leader that starts running tasks again or loses them.
func TestNewLeaderTakesOverWhatRuns(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", pool.Options{RunTime: runForever})
	h.Expect(h.submit(step(3, untilStopped))).To(Equal(fleet.OutcomeDone))
	h.Eventually(func() int { return running(a) }, waitTimeout).Should(Equal(3))
	h.log.SetLeadership(replica.Leadership{Leader: "other", Term: 1})
	time.Sleep(100 * time.Millisecond)
	h.log.SetLeadership(replica.Leadership{Leader: "memory", Term: 2, Self: true, Epoch: 2})
	h.Consistently(func() int { return running(a) }, 2*holdMax).Should(Equal(3), "the lease is extended in time")
	h.Expect(a.Records()).To(HaveLen(3))
}

// Guards against a leader that continues although a worker has seen a higher
// fence.
func TestEarlierLeaderIsRefusedByItsFence(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", pool.Options{})
	_, err := a.Poll(t.Context(), fleet.PollCall{Fence: 1 << 40})
	h.Expect(err).NotTo(HaveOccurred())
	h.Expect(h.submit(step(1))).To(Equal(fleet.OutcomeDone))
	h.Consistently(func() int { return len(a.Records()) }, "300ms").Should(BeZero())
}

// Guards against a start of an earlier activation in the same term that arrives
// after a later activation has found that its task is not running.
func TestCommitWithUnknownOutcomeRaisesTheFence(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", pool.Options{RunTime: runForever})
	h.Expect(h.submit(step(1, untilStopped))).To(Equal(fleet.OutcomeDone))
	h.Eventually(func() int { return running(a) }, waitTimeout).Should(Equal(1))
	before := a.Fence()
	h.log.SetError(errors.New("no response"))
	position := fleet.TaskPosition{Workflow: jobID, Index: 0}
	h.Expect(a.Stop(t.Context(), fleet.StopCall{Run: fleet.Run{Number: 1}, Position: position, Fence: before})).To(Succeed())
	time.Sleep(100 * time.Millisecond) // the end can't be committed
	h.log.SetError(nil)
	h.Eventually(func() int { return running(a) }, waitTimeout).Should(Equal(1))
	err := a.Start(t.Context(), fleet.StartCall{
		Run: fleet.Run{Workflow: jobID, Number: 9}, Position: position, Fence: before, Lease: a.Clock() + 500,
	})
	h.Expect(err).To(MatchError(&fleet.RefusedError{Reason: fleet.RefusedFence}))
}

// Guards against runs that continue after their workflow was canceled, and
// against a wrong phase of the canceled workflow.
func TestCancelStopsAllRuns(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", pool.Options{RunTime: runForever})
	h.Expect(h.submit(step(3, untilStopped))).To(Equal(fleet.OutcomeDone))
	h.Eventually(func() int { return running(a) }, waitTimeout).Should(Equal(3))
	h.Expect(h.call(&fleet.Request{Op: fleet.OpCancel, Host: host, Path: "/jobs/" + jobID}).Outcome).To(Equal(fleet.OutcomeDone))
	h.Eventually(func() int { return running(a) }, waitTimeout).Should(BeZero())
	h.Expect(h.phase()).To(Equal(state.WorkflowCancelled))
}

// Guards against more attempts of a failing task than its queue allows.
func TestTaskFailsAfterItsAttempts(t *testing.T) {
	h := newHarness(t)
	fails := func(fleet.TaskPosition, uint64) bool { return true }
	a, b := h.addWorker("a", pool.Options{Fails: fails}), h.addWorker("b", pool.Options{Fails: fails})
	h.Expect(h.submit(step(1))).To(Equal(fleet.OutcomeDone))
	h.expectPhase(state.WorkflowFailed)
	h.Consistently(func() int { return len(a.Records()) + len(b.Records()) }, "200ms").Should(Equal(2))
}

// Guards against starts on a draining worker, and against serving tasks that
// stay on it.
func TestDrainingWorkerIsLeft(t *testing.T) {
	h := newHarness(t)
	startedAt := time.Now().UnixMilli()
	a := h.addWorker("a", pool.Options{RunTime: runForever, StartedAt: startedAt})
	h.Expect(h.submit(step(2, untilStopped))).To(Equal(fleet.OutcomeDone))
	h.Eventually(func() int { return running(a) }, waitTimeout).Should(Equal(2))
	h.Expect(h.heartbeat("a", startedAt, a, true)).To(Equal(fleet.OutcomeDone))
	h.Eventually(func() int { return running(a) }, waitTimeout).Should(BeZero())
	h.Consistently(func() int { return len(a.Records()) }, "200ms").Should(Equal(2))
	b := h.addWorker("b", pool.Options{RunTime: runForever})
	h.Eventually(func() int { return running(b) }, waitTimeout).Should(Equal(2))
}

// Guards against a delayed heartbeat of an earlier incarnation that is taken
// for a new incarnation. The runs of the current incarnation would be given up.
func TestDelayedHeartbeatOfEarlierIncarnationIsIgnored(t *testing.T) {
	h := newHarness(t)
	startedAt := time.Now().UnixMilli()
	a := h.addWorker("a", pool.Options{RunTime: runForever, StartedAt: startedAt})
	h.Expect(h.submit(step(1, untilStopped))).To(Equal(fleet.OutcomeDone))
	h.Eventually(func() int { return running(a) }, waitTimeout).Should(Equal(1))
	h.Expect(h.heartbeat("a", startedAt-5000, a, false)).To(Equal(fleet.OutcomeDone))
	h.Consistently(func() int { return len(a.Records()) }, "300ms").Should(Equal(1))
}

// Guards against tasks that are not restarted after a worker restarts under the
// same id.
func TestLaterIncarnationEndsEarlierRuns(t *testing.T) {
	h := newHarness(t)
	startedAt := time.Now().UnixMilli()
	a := h.addWorker("a", pool.Options{RunTime: runForever, StartedAt: startedAt})
	h.Expect(h.submit(step(1, untilStopped))).To(Equal(fleet.OutcomeDone))
	h.Eventually(func() int { return running(a) }, waitTimeout).Should(Equal(1))
	restarted := h.addWorker("a", pool.Options{RunTime: runForever, StartedAt: startedAt + 10})
	h.Eventually(func() int { return running(restarted) }, waitTimeout).Should(Equal(1))
	h.Expect(restarted.Records()[0].Number).To(BeNumerically(">", 1))
}

// Guards against a gang of which only some members start, because the others do
// not fit.
func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	h := newHarness(t)
	gang := func(s *state.WorkflowStep) { s.Gang = true }
	a := h.addWorker("a", pool.Options{})
	h.Expect(h.submit(step(6, gang))).To(Equal(fleet.OutcomeDone))
	h.Consistently(func() int { return len(a.Records()) }, "200ms").Should(BeZero())
	b := h.addWorker("b", pool.Options{})
	h.Eventually(func() int { return len(a.Records()) + len(b.Records()) }, waitTimeout).Should(Equal(6))
	for _, r := range append(a.Records(), b.Records()...) {
		h.Expect(r.Number).To(Equal(uint64(1)))
	}
	h.expectPhase(state.WorkflowCompleted)
}

// Guards against a run without a record that is not stopped.
func TestUnknownRunIsStopped(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", pool.Options{RunTime: runForever})
	unknown := fleet.TaskPosition{Workflow: "00000000000000ff"}
	h.Expect(a.Start(t.Context(), fleet.StartCall{
		Run: fleet.Run{Workflow: unknown.Workflow, Number: 1}, Position: unknown, Fence: 1, Lease: a.Clock() + 500,
	})).To(Succeed())
	h.Expect(h.submit(step(1, untilStopped))).To(Equal(fleet.OutcomeDone))
	h.Eventually(func() bool {
		for _, r := range a.Records() {
			if r.Position == unknown && !r.Ended.IsZero() && r.Kind == fleet.EndStopped {
				return true
			}
		}
		return false
	}, waitTimeout).Should(BeTrue())
}

// Guards against starts on the workers of an evacuated availability zone.
func TestEvacuatedZoneGetsNoStarts(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", pool.Options{})
	setEvacuated := func(setEvacuated bool) {
		h.Expect(h.call(&fleet.Request{Op: fleet.OpSetZone, Zone: "zone-a", Evacuated: setEvacuated}).Outcome).To(Equal(fleet.OutcomeDone))
	}
	setEvacuated(true)
	h.Expect(h.submit(step(1))).To(Equal(fleet.OutcomeDone))
	h.Consistently(func() int { return len(a.Records()) }, "300ms").Should(BeZero())
	h.Expect(h.phase()).To(Equal(state.WorkflowQueued))
	setEvacuated(false)
	h.expectPhase(state.WorkflowCompleted)
}

// Guards against an instance without a leader that refuses a submission for
// good. It can't know whether a copy of the submission was accepted.
func TestSubmissionWithoutALeaderIsNotRefused(t *testing.T) {
	h := newHarness(t)
	h.log.SetLeadership(replica.Leadership{Leader: "other", Term: 1})
	call := func(op fleet.Op) fleet.Outcome {
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		return h.client.Call(ctx, &fleet.Request{Op: op, Host: host, Path: "/jobs/" + jobID, Workflow: &state.WorkflowSpec{}}).Outcome
	}
	h.Expect(call(fleet.OpSubmit)).To(Equal(fleet.OutcomeUnknown))
	h.Expect(call(fleet.OpStatus)).To(Equal(fleet.OutcomeUnavailable))
}

// Guards against a large serving task that does not fit and reserves a worker
// on which a smaller serving task would fit, after workers were lost.
func TestServingTaskWithoutRoomDoesNotKeepOthersOut(t *testing.T) {
	h := newHarness(t)
	servingWithCPU := func(cpu int64) func(*state.WorkflowStep) {
		return func(s *state.WorkflowStep) { s.LongRunning, s.Size.MilliCPU = true, cpu }
	}
	a := h.addWorker("a", pool.Options{RunTime: runForever})
	h.Expect(h.submit(step(1, servingWithCPU(2500)))).To(Equal(fleet.OutcomeDone)) // leaves 1500 free
	h.Eventually(func() int { return running(a) }, waitTimeout).Should(Equal(1))
	submit := func(id string, s state.WorkflowStep) {
		h.Expect(h.call(&fleet.Request{
			Op: fleet.OpSubmit, Host: host, Path: "/jobs/" + id, Workflow: &state.WorkflowSpec{Steps: []state.WorkflowStep{s}},
		}).Outcome).To(Equal(fleet.OutcomeDone))
	}
	submit("00000000000000b1", step(1, servingWithCPU(3000)))
	time.Sleep(1500 * time.Millisecond) // until it has waited long enough to reserve the worker
	submit("00000000000000c1", step(1, servingWithCPU(1200)))
	h.Eventually(func() int { return running(a) }, waitTimeout).Should(Equal(2))
}

// Guards against a second run of a task whose start reached a later incarnation
// of the worker, at the same address and under the same id, before that
// incarnation sent a heartbeat.
func TestStartReachingLaterIncarnationIsNotDuplicated(t *testing.T) {
	for name, difference := range map[string]time.Duration{
		"clocks agree": 10 * time.Millisecond, "clock of the worker ahead": time.Minute,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			startedAt := time.Now().UnixMilli()
			laterStartedAt := startedAt + difference.Milliseconds()
			a := h.addWorker("a", pool.Options{RunTime: runForever, StartedAt: startedAt})
			later := pool.New(pool.Options{ID: "a", StartedAt: laterStartedAt, RunTime: runForever, MaxLease: holdMax})
			h.mu.Lock()
			h.workers[address("a", startedAt)] = later
			h.workers[address("a", laterStartedAt)] = later
			h.mu.Unlock()
			h.Expect(h.submit(step(1, untilStopped))).To(Equal(fleet.OutcomeDone))
			h.Eventually(func() int { return running(later) }, waitTimeout).Should(Equal(1))
			b := h.addWorker("b", pool.Options{RunTime: runForever})
			total := func() int { return running(later) + running(b) }
			h.Expect(h.heartbeat("a", laterStartedAt, later, false)).To(Equal(fleet.OutcomeDone))
			h.Consistently(total, 2*holdMax).Should(BeNumerically("<=", 1))
			h.Eventually(total, waitTimeout).Should(Equal(1))
			h.expectNoDuplicateRuns(a, b, later)
		})
	}
}

// Guards against a task that stays recorded as started but is never sent,
// because its worker was lost before the start was committed.
func TestWorkerLostBeforeAStartIsCommitted(t *testing.T) {
	h := newHarness(t)
	startedAt := time.Now().UnixMilli()
	h.addWorker("a", pool.Options{RunTime: runForever, StartedAt: startedAt})
	h.commitGate.Lock()
	h.Expect(h.submit(step(1, untilStopped))).To(Equal(fleet.OutcomeDone)) // its start waits for the commit gate
	time.Sleep(100 * time.Millisecond)
	h.Expect(h.call(&fleet.Request{
		Op: fleet.OpSubmit, Host: host, Path: "/jobs/00000000000000bb",
		Workflow: &state.WorkflowSpec{Steps: []state.WorkflowStep{step(1, untilStopped)}},
	}).Outcome).To(Equal(fleet.OutcomeDone)) // its start waits for the next commit
	time.Sleep(100 * time.Millisecond)
	restarted := h.addWorker("a", pool.Options{RunTime: runForever, StartedAt: startedAt + 10})
	h.commitGate.Unlock()
	h.Eventually(func() int { return running(restarted) }, waitTimeout).Should(Equal(2))
}

// Guards against a new leader that leaves a run at the low execution rate set
// by an earlier leader, and then treats the run as stalled.
func TestNewLeaderSetsRateOfAdoptedRuns(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", pool.Options{RunTime: runForever})
	bestEffort := func(s *state.WorkflowStep) { s.BestEffort, s.Image = true, "l" }
	h.Expect(h.submit(step(1, bestEffort))).To(Equal(fleet.OutcomeDone))
	h.Eventually(func() int { return running(a) }, waitTimeout).Should(Equal(1))
	h.Expect(a.SetRate(t.Context(), fleet.SetRateCall{
		Run: fleet.Run{Workflow: jobID, Number: 1}, Position: fleet.TaskPosition{Workflow: jobID}, Fence: a.Fence(),
	})).To(Succeed())
	h.Expect(a.ExecutionRates()).To(Equal([]int{0}))
	h.log.SetLeadership(replica.Leadership{Leader: "memory", Term: 2, Self: true, Epoch: 2})
	h.Eventually(a.ExecutionRates, waitTimeout).Should(Equal([]int{100}))
}

// Guards against a new leader that runs all co-located tasks at the full rate
// until it has learned their interference again.
func TestNewLeaderRestoresInterferenceModel(t *testing.T) {
	h := newHarness(t)
	var tail, used atomic.Int64
	tail.Store(500)
	used.Store(1000)
	a := h.addWorker("a", pool.Options{RunTime: runForever, Measure: func(p fleet.TaskPosition) int64 {
		if p.Step == 0 {
			return tail.Load()
		}
		return used.Load()
	}})
	servingTask := func(s *state.WorkflowStep) { s.LongRunning, s.TailMillis, s.Image = true, 50, "s" }
	bestEffort := func(s *state.WorkflowStep) { s.BestEffort, s.Image = true, "l" }
	h.Expect(h.submit(step(1, servingTask), step(1, bestEffort))).To(Equal(fleet.OutcomeDone))
	slowed := func() bool { return slices.Min(a.ExecutionRates()) < 100 }
	h.Eventually(func() []int { return a.ExecutionRates() }, waitTimeout).Should(HaveLen(2))
	h.Eventually(slowed, waitTimeout).Should(BeTrue())
	h.Eventually(func() bool { return h.log.State().Interference != nil }, waitTimeout).Should(BeTrue())
	// The serving task tolerates a co-located task with average interference,
	// but not this one.
	tail.Store(31)
	used.Store(0)
	h.log.SetLeadership(replica.Leadership{Leader: "memory", Term: 2, Self: true, Epoch: 2})
	h.Eventually(func() uint64 { return a.Fence() >> 16 }, waitTimeout).Should(BeNumerically("==", 2))
	h.Consistently(slowed, time.Second).Should(BeTrue())
}
