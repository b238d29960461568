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

func forever(fleet.TaskPosition, uint64) time.Duration { return 0 }

func serving(s *state.WorkflowStep) { s.LongRunning = true }

// Guards against a step that starts before the steps that it depends on are
// done, and against a task that runs twice.
func TestStepsRunInOrderAndOnce(t *testing.T) {
	h := newHarness(t)
	a, b := h.worker("a", pool.Options{}), h.worker("b", pool.Options{})
	after := func(s *state.WorkflowStep) { s.DependsOn = []int{0} }
	h.Expect(h.submit(step(5), step(3, after))).To(Equal(fleet.Done))
	h.eventually(state.WorkflowCompleted)
	h.expectOnce(a, b)
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

// Guards against a second workflow, or a refusal, when a submission is sent
// again.
func TestResentSubmissionIsOneWorkflow(t *testing.T) {
	h := newHarness(t)
	w := h.worker("a", pool.Options{})
	for range 3 {
		h.Expect(h.submit(step(1))).To(Equal(fleet.Done))
	}
	h.eventually(state.WorkflowCompleted)
	h.Expect(h.submit(step(1))).To(Equal(fleet.Done))
	h.Consistently(func() int { return len(w.Records()) }, "200ms").Should(Equal(1))
}

// Guards against a second run of a task whose start was carried out although
// its answer was lost.
func TestLostAnswerOfAStartIsNotASecondRun(t *testing.T) {
	h := newHarness(t)
	a, b := h.worker("a", pool.Options{Work: slowly}), h.worker("b", pool.Options{Work: slowly})
	a.LoseStarts(1)
	b.LoseStarts(1)
	h.Expect(h.submit(step(4))).To(Equal(fleet.Done))
	h.eventually(state.WorkflowCompleted)
	h.expectOnce(a, b)
}

func slowly(fleet.TaskPosition, uint64) time.Duration { return 60 * time.Millisecond }

// Guards against a start that is carried out seconds later, after its run was
// given up: the stop has voided it.
func TestLateStartIsVoid(t *testing.T) {
	h := newHarness(t)
	a := h.worker("a", pool.Options{})
	a.DelayStarts(1)
	h.Expect(h.submit(step(1))).To(Equal(fleet.Done))
	h.eventually(state.WorkflowCompleted)
	a.RunLate()
	time.Sleep(50 * time.Millisecond)
	h.Expect(a.Records()).To(HaveLen(1))
	h.Expect(a.Records()[0].Number).To(BeNumerically(">", 1))
}

// Guards against a second run while a worker that can't be reached may still
// run the first, and against a task that stays lost afterwards.
func TestSilentWorkerKeepsItsTasksUntilItsLeaseEnds(t *testing.T) {
	h := newHarness(t)
	a := h.worker("a", pool.Options{Work: forever})
	h.Expect(h.submit(step(2, serving))).To(Equal(fleet.Done))
	h.Eventually(func() int { return running(a) }, patience).Should(Equal(2))
	b := h.worker("b", pool.Options{Work: forever})
	a.SetDown(true)
	h.Eventually(func() int { return running(b) }, patience, "5ms").Should(Equal(2))
	h.expectOnce(a, b)
}

// Guards against runs that a new leader starts a second time, or forgets.
func TestNewLeaderTakesOverWhatRuns(t *testing.T) {
	h := newHarness(t)
	a := h.worker("a", pool.Options{Work: forever})
	h.Expect(h.submit(step(3, serving))).To(Equal(fleet.Done))
	h.Eventually(func() int { return running(a) }, patience).Should(Equal(3))
	h.log.SetLeadership(replica.Leadership{Leader: "other", Term: 1})
	time.Sleep(100 * time.Millisecond)
	h.log.SetLeadership(replica.Leadership{Leader: "memory", Term: 2, Self: true, Epoch: 2})
	h.Consistently(func() int { return running(a) }, 2*holdMax).Should(Equal(3), "the lease is extended in time")
	h.Expect(a.Records()).To(HaveLen(3))
}

// Guards against a leader that goes on although a worker has seen a higher
// fence.
func TestEarlierLeaderIsRefusedByItsFence(t *testing.T) {
	h := newHarness(t)
	a := h.worker("a", pool.Options{})
	_, err := a.Look(t.Context(), fleet.LookCall{Fence: 1 << 40})
	h.Expect(err).NotTo(HaveOccurred())
	h.Expect(h.submit(step(1))).To(Equal(fleet.Done))
	h.Consistently(func() int { return len(a.Records()) }, "300ms").Should(BeZero())
}

// Guards against a start that an earlier activation in the same term sent and
// that arrives after a later one has found its task not running.
func TestCommitWithUnknownOutcomeRaisesTheFence(t *testing.T) {
	h := newHarness(t)
	a := h.worker("a", pool.Options{Work: forever})
	h.Expect(h.submit(step(1, serving))).To(Equal(fleet.Done))
	h.Eventually(func() int { return running(a) }, patience).Should(Equal(1))
	before := a.Fence()
	h.log.SetError(errors.New("no answer"))
	stray := fleet.TaskPosition{Workflow: jobID, Index: 0}
	h.Expect(a.Stop(t.Context(), fleet.StopCall{Run: fleet.Run{Number: 1}, Position: stray, Fence: before})).To(Succeed())
	time.Sleep(100 * time.Millisecond) // the end can't be committed
	h.log.SetError(nil)
	h.Eventually(func() int { return running(a) }, patience).Should(Equal(1))
	err := a.Start(t.Context(), fleet.StartCall{
		Run: fleet.Run{Workflow: jobID, Number: 9}, Position: stray, Fence: before, Lease: a.Clock() + 500,
	})
	h.Expect(err).To(MatchError(&fleet.RefusedError{Reason: fleet.RefusedFence}))
}

// Guards against runs that go on after their workflow was cancelled, and
// against a cancelled workflow that is shown as anything else.
func TestCancelStopsAllRuns(t *testing.T) {
	h := newHarness(t)
	a := h.worker("a", pool.Options{Work: forever})
	h.Expect(h.submit(step(3, serving))).To(Equal(fleet.Done))
	h.Eventually(func() int { return running(a) }, patience).Should(Equal(3))
	h.Expect(h.call(&fleet.Request{Op: fleet.OpCancel, Host: host, Path: "/jobs/" + jobID}).Outcome).To(Equal(fleet.Done))
	h.Eventually(func() int { return running(a) }, patience).Should(BeZero())
	h.Expect(h.phase()).To(Equal(state.WorkflowCancelled))
}

// Guards against a hopeless task that is tried more often than its queue
// allows.
func TestTaskFailsAfterItsAttempts(t *testing.T) {
	h := newHarness(t)
	fails := func(fleet.TaskPosition, uint64) bool { return true }
	a, b := h.worker("a", pool.Options{Fails: fails}), h.worker("b", pool.Options{Fails: fails})
	h.Expect(h.submit(step(1))).To(Equal(fleet.Done))
	h.eventually(state.WorkflowFailed)
	h.Consistently(func() int { return len(a.Records()) + len(b.Records()) }, "200ms").Should(Equal(2))
}

// Guards against a start on a worker that said that it drains, and against
// serving tasks that stay there.
func TestDrainingWorkerIsLeft(t *testing.T) {
	h := newHarness(t)
	born := time.Now().UnixMilli()
	a := h.worker("a", pool.Options{Work: forever, Born: born})
	h.Expect(h.submit(step(2, serving))).To(Equal(fleet.Done))
	h.Eventually(func() int { return running(a) }, patience).Should(Equal(2))
	h.Expect(h.beat("a", born, a, true)).To(Equal(fleet.Done))
	h.Eventually(func() int { return running(a) }, patience).Should(BeZero())
	h.Consistently(func() int { return len(a.Records()) }, "200ms").Should(Equal(2))
	b := h.worker("b", pool.Options{Work: forever})
	h.Eventually(func() int { return running(b) }, patience).Should(Equal(2))
}

// Guards against a late heartbeat of an earlier life that is taken for a new
// one, which would give up the runs of the life that is there.
func TestLateHeartbeatOfAnEarlierLifeChangesNothing(t *testing.T) {
	h := newHarness(t)
	born := time.Now().UnixMilli()
	a := h.worker("a", pool.Options{Work: forever, Born: born})
	h.Expect(h.submit(step(1, serving))).To(Equal(fleet.Done))
	h.Eventually(func() int { return running(a) }, patience).Should(Equal(1))
	h.Expect(h.beat("a", born-5000, a, false)).To(Equal(fleet.Done))
	h.Consistently(func() int { return len(a.Records()) }, "300ms").Should(Equal(1))
}

// Guards against tasks that stay lost when a worker starts again under its id.
func TestLaterLifeEndsTheRunsOfTheEarlier(t *testing.T) {
	h := newHarness(t)
	born := time.Now().UnixMilli()
	a := h.worker("a", pool.Options{Work: forever, Born: born})
	h.Expect(h.submit(step(1, serving))).To(Equal(fleet.Done))
	h.Eventually(func() int { return running(a) }, patience).Should(Equal(1))
	again := h.worker("a", pool.Options{Work: forever, Born: born + 10})
	h.Eventually(func() int { return running(again) }, patience).Should(Equal(1))
	h.Expect(again.Records()[0].Number).To(BeNumerically(">", 1))
}

// Guards against members of a gang that start while others find no room.
func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	h := newHarness(t)
	gang := func(s *state.WorkflowStep) { s.Gang = true }
	a := h.worker("a", pool.Options{})
	h.Expect(h.submit(step(6, gang))).To(Equal(fleet.Done))
	h.Consistently(func() int { return len(a.Records()) }, "200ms").Should(BeZero())
	b := h.worker("b", pool.Options{})
	h.Eventually(func() int { return len(a.Records()) + len(b.Records()) }, patience).Should(Equal(6))
	for _, r := range append(a.Records(), b.Records()...) {
		h.Expect(r.Number).To(Equal(uint64(1)))
	}
	h.eventually(state.WorkflowCompleted)
}

// Guards against a run that nobody asked for and that goes on.
func TestStrayRunIsStopped(t *testing.T) {
	h := newHarness(t)
	a := h.worker("a", pool.Options{Work: forever})
	stray := fleet.TaskPosition{Workflow: "00000000000000ff"}
	h.Expect(a.Start(t.Context(), fleet.StartCall{
		Run: fleet.Run{Workflow: stray.Workflow, Number: 1}, Position: stray, Fence: 1, Lease: a.Clock() + 500,
	})).To(Succeed())
	h.Expect(h.submit(step(1, serving))).To(Equal(fleet.Done))
	h.Eventually(func() bool {
		for _, r := range a.Records() {
			if r.Position == stray && !r.Ended.IsZero() && r.How == fleet.EndStopped {
				return true
			}
		}
		return false
	}, patience).Should(BeTrue())
}

// Guards against starts on the workers of an evacuated availability zone.
func TestEvacuatedZoneGetsNoStarts(t *testing.T) {
	h := newHarness(t)
	a := h.worker("a", pool.Options{})
	out := func(out bool) {
		h.Expect(h.call(&fleet.Request{Op: fleet.OpSetZone, Zone: "zone-a", Out: out}).Outcome).To(Equal(fleet.Done))
	}
	out(true)
	h.Expect(h.submit(step(1))).To(Equal(fleet.Done))
	h.Consistently(func() int { return len(a.Records()) }, "300ms").Should(BeZero())
	h.Expect(h.phase()).To(Equal(state.WorkflowQueued))
	out(false)
	h.eventually(state.WorkflowCompleted)
}

// Guards against a refusal that says that a submission never runs, from an
// instance that can't know whether a copy of it was accepted.
func TestSubmissionWithoutALeaderIsNotRefused(t *testing.T) {
	h := newHarness(t)
	h.log.SetLeadership(replica.Leadership{Leader: "other", Term: 1})
	call := func(op fleet.Op) fleet.Outcome {
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		return h.client.Call(ctx, &fleet.Request{Op: op, Host: host, Path: "/jobs/" + jobID, Workflow: &state.WorkflowSpec{}}).Outcome
	}
	h.Expect(call(fleet.OpSubmit)).To(Equal(fleet.Unknown))
	h.Expect(call(fleet.OpStatus)).To(Equal(fleet.Unavailable))
}

// Guards against a large serving task that finds no room and keeps a worker
// from a smaller one that would fit there, after workers have left.
func TestServingTaskWithoutRoomDoesNotKeepOthersOut(t *testing.T) {
	h := newHarness(t)
	sized := func(cpu int64) func(*state.WorkflowStep) {
		return func(s *state.WorkflowStep) { s.LongRunning, s.Size.MilliCPU = true, cpu }
	}
	a := h.worker("a", pool.Options{Work: forever})
	h.Expect(h.submit(step(1, sized(2500)))).To(Equal(fleet.Done)) // leaves room for 1500
	h.Eventually(func() int { return running(a) }, patience).Should(Equal(1))
	submit := func(id string, s state.WorkflowStep) {
		h.Expect(h.call(&fleet.Request{
			Op: fleet.OpSubmit, Host: host, Path: "/jobs/" + id, Workflow: &state.WorkflowSpec{Steps: []state.WorkflowStep{s}},
		}).Outcome).To(Equal(fleet.Done))
	}
	submit("00000000000000b1", step(1, sized(3000)))
	time.Sleep(1500 * time.Millisecond) // until it is pressing and keeps the worker
	submit("00000000000000c1", step(1, sized(1200)))
	h.Eventually(func() int { return running(a) }, patience).Should(Equal(2))
}

// Guards against a second run beside one that a later life of the worker, at
// the same address and under the same id, has begun before it reported.
func TestStartThatReachesALaterLifeIsNotASecondRun(t *testing.T) {
	h := newHarness(t)
	born := time.Now().UnixMilli()
	a := h.worker("a", pool.Options{Work: forever, Born: born})
	later := pool.New(pool.Options{ID: "a", Born: born + 10, Work: forever, HoldMax: holdMax})
	h.mu.Lock()
	h.workers[address("a", born)] = later
	h.workers[address("a", born+10)] = later
	h.mu.Unlock()
	h.Expect(h.submit(step(1, serving))).To(Equal(fleet.Done))
	h.Eventually(func() int { return running(later) }, patience).Should(Equal(1))
	h.Expect(h.beat("a", born+10, later, false)).To(Equal(fleet.Done))
	h.Consistently(func() int { return running(later) }, 2*holdMax).Should(BeNumerically("<=", 1))
	h.Eventually(func() int { return running(later) }, patience).Should(Equal(1))
	h.expectOnce(a, later)
}

// Guards against a task that stays recorded as started and is never sent,
// because its worker was lost before its start was committed.
func TestWorkerLostBeforeAStartIsCommitted(t *testing.T) {
	h := newHarness(t)
	born := time.Now().UnixMilli()
	h.worker("a", pool.Options{Work: forever, Born: born})
	h.gate.Lock()
	h.Expect(h.submit(step(1, serving))).To(Equal(fleet.Done)) // its start waits in the gate
	time.Sleep(100 * time.Millisecond)
	h.Expect(h.call(&fleet.Request{
		Op: fleet.OpSubmit, Host: host, Path: "/jobs/00000000000000bb",
		Workflow: &state.WorkflowSpec{Steps: []state.WorkflowStep{step(1, serving)}},
	}).Outcome).To(Equal(fleet.Done)) // its start waits behind it
	time.Sleep(100 * time.Millisecond)
	again := h.worker("a", pool.Options{Work: forever, Born: born + 10})
	h.gate.Unlock()
	h.Eventually(func() int { return running(again) }, patience).Should(Equal(2))
}

// Guards against a run that an earlier leader slowed and that a new one, which
// doesn't know, leaves slow and takes for one that stands still.
func TestNewLeaderSetsThePaceOfRunsThatItTakesOver(t *testing.T) {
	h := newHarness(t)
	a := h.worker("a", pool.Options{Work: forever})
	leftover := func(s *state.WorkflowStep) { s.Leftover, s.Image = true, "l" }
	h.Expect(h.submit(step(1, leftover))).To(Equal(fleet.Done))
	h.Eventually(func() int { return running(a) }, patience).Should(Equal(1))
	h.Expect(a.Pace(t.Context(), fleet.PaceCall{
		Run: fleet.Run{Workflow: jobID, Number: 1}, Position: fleet.TaskPosition{Workflow: jobID}, Fence: a.Fence(),
	})).To(Succeed())
	h.Expect(a.Paces()).To(Equal([]int{0}))
	h.log.SetLeadership(replica.Leadership{Leader: "memory", Term: 2, Self: true, Epoch: 2})
	h.Eventually(a.Paces, patience).Should(Equal([]int{100}))
}

// Guards against a new leader that lets all neighbours of a serving task work
// at full speed until it has learned anew which of them disturb it.
func TestNewLeaderKnowsWhatDisturbs(t *testing.T) {
	h := newHarness(t)
	var tail, used atomic.Int64
	tail.Store(500)
	used.Store(1000)
	a := h.worker("a", pool.Options{Work: forever, Measure: func(p fleet.TaskPosition) int64 {
		if p.Step == 0 {
			return tail.Load()
		}
		return used.Load()
	}})
	serving := func(s *state.WorkflowStep) { s.LongRunning, s.TailMillis, s.Image = true, 50, "s" }
	leftover := func(s *state.WorkflowStep) { s.Leftover, s.Image = true, "l" }
	h.Expect(h.submit(step(1, serving), step(1, leftover))).To(Equal(fleet.Done))
	slowed := func() bool { return slices.Min(a.Paces()) < 100 }
	h.Eventually(func() []int { return a.Paces() }, patience).Should(HaveLen(2))
	h.Eventually(slowed, patience).Should(BeTrue())
	h.Eventually(func() bool { return h.log.State().Pressures != nil }, patience).Should(BeTrue())
	// The serving task bears a neighbour of average pressure, but not this one.
	tail.Store(31)
	used.Store(0)
	h.log.SetLeadership(replica.Leadership{Leader: "memory", Term: 2, Self: true, Epoch: 2})
	h.Eventually(func() uint64 { return a.Fence() >> 16 }, patience).Should(BeNumerically("==", 2))
	h.Consistently(slowed, time.Second).Should(BeTrue())
}
