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

func withCPU(milliCPU int64) func(*state.WorkflowStep) {
	return func(s *state.WorkflowStep) { s.Size = state.Resources{MilliCPU: milliCPU, MemoryMiB: 100} }
}

func withEstimate(d time.Duration) func(*state.WorkflowStep) {
	return func(s *state.WorkflowStep) { s.EstimateMillis = d.Milliseconds() }
}

// shortBatch makes tasks of workflows with an id that begins with "a" end soon.
// All other tasks run indefinitely.
func shortBatch(p fleet.TaskPosition, _ uint64) time.Duration {
	if p.Workflow[0] == 'a' {
		return 20 * time.Millisecond
	}
	return 0
}

// Guards against starvation of large batch workflows: after the loss of a
// worker, serving tasks reserve all but fragments of the CPU that are too small
// for the larger batch tasks, while small ones still run.
func TestBatchReservationFitsLargerTasks(t *testing.T) {
	expectLargerJobsServed(t, 0, 12, func(*harness, int) {})
}

// Guards against the same when some submissions fit on no worker.
func TestJobsThatFitNoWorkerDoNotUndoTheShare(t *testing.T) {
	expectLargerJobsServed(t, 0, 12, func(h *harness, i int) {
		if i%10 == 0 {
			h.submitAs(fmt.Sprintf("c%015x", i), step(1, withCPU(100_000)))
		}
	})
}

// Guards against capacity that is reserved for a workflow of which one task has
// no estimate and fits on no worker, so that it never ends.
func TestJobThatFitsNoWorkerReservesNothing(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", pool.Options{RunTime: runForever})
	h.submitAs("c000000000000001", step(1, withCPU(100_000), withEstimate(0)), step(1, withCPU(500), withEstimate(time.Hour)))
	h.submitAs("0000000000000002", step(1, untilStopped, withCPU(3500)))
	h.Eventually(func() int { return running(a) }, waitTimeout).Should(Equal(2))
}

// Guards against the same when a few batch tasks are nearly as large as a
// worker, so that no worker with serving tasks has free capacity for one.
func TestTasksAsLargeAsAWorkerDoNotUndoTheBatchReservation(t *testing.T) {
	expectLargerJobsServed(t, 4, 9, func(h *harness, i int) {
		if i%30 == 0 {
			h.submitAs(fmt.Sprintf("af%014x", i), step(1, withCPU(3800), withEstimate(100*time.Millisecond)))
		}
	})
}

// expectLargerJobsServed simulates the loss of a worker during a stream of
// batch workflows, a quarter of them large. spread serving tasks run on
// different workers, and packed ones where they fit. submitMore is called before
// each submission.
func expectLargerJobsServed(t *testing.T, spread, packed int, submitMore func(h *harness, i int)) {
	t.Helper()
	h := newHarness(t)
	const smallWork, largeWork = 100 * time.Millisecond, 200 * time.Millisecond
	work := func(p fleet.TaskPosition, _ uint64) time.Duration {
		switch p.Workflow[0] {
		case 'a':
			return smallWork
		case 'b':
			return largeWork
		}
		return 0
	}
	workers := make([]*pool.Worker, 4)
	for i := range workers {
		workers[i] = h.addWorker(fmt.Sprintf("w%d", i), pool.Options{RunTime: work})
	}
	servingTasks := 0
	submitServing := func(id string, count int, options ...func(*state.WorkflowStep)) {
		h.submitAs(id, step(count, append(options, untilStopped, withCPU(900))...))
		servingTasks += count
		h.Eventually(func() int {
			n := 0
			for _, w := range workers {
				n += running(w)
			}
			return n
		}, waitTimeout).Should(Equal(servingTasks))
	}
	if spread > 0 {
		submitServing("0000000000000002", spread, func(s *state.WorkflowStep) { s.MaxPerWorker = 1 })
	}
	submitServing("0000000000000001", packed)
	const interval, lossAt, countFrom, jobs = 100 * time.Millisecond, 20, 40, 90
	id := func(i int) string {
		if i%4 == 0 {
			return fmt.Sprintf("b%015x", i)
		}
		return fmt.Sprintf("a%015x", i)
	}
	for i := range jobs {
		if i == lossAt {
			workers[0].SetUnreachable(true)
		}
		submitMore(h, i)
		if i%4 == 0 {
			h.submitAs(id(i), step(2, withCPU(800), withEstimate(largeWork)))
		} else {
			h.submitAs(id(i), step(1, withCPU(300), withEstimate(smallWork)))
		}
		time.Sleep(interval)
	}
	time.Sleep(time.Second)
	served, submitted := map[bool]float64{}, map[bool]float64{}
	for i := countFrom; i < jobs; i++ {
		large := i%4 == 0
		submitted[large]++
		if h.phaseOf(id(i)) == state.WorkflowCompleted {
			served[large]++
		}
	}
	all := (served[true] + served[false]) / (submitted[true] + submitted[false])
	h.Expect(served[true]/submitted[true]).To(BeNumerically(">=", all/2), "served large %v of %v, small %v of %v",
		served[true], submitted[true], served[false], submitted[false])
	h.Expect(all).To(BeNumerically(">=", 0.5))
}

// Guards against a serving task that reserves a worker on which it can never
// fit, because only other serving tasks run there. The reservation would keep
// batch tasks off the worker.
func TestServingTaskReservesNoWorkerThatStaysTooSmall(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", pool.Options{RunTime: shortBatch})
	h.submitAs("0000000000000001", step(1, untilStopped, withCPU(2500))) // leaves 1500 free
	h.Eventually(func() int { return running(a) }, waitTimeout).Should(Equal(1))
	h.submitAs("0000000000000002", step(1, untilStopped, withCPU(3000)))
	time.Sleep(1500 * time.Millisecond) // until it has waited long enough to reserve a worker
	h.submitAs("a000000000000003", step(1, withCPU(1200)))
	h.Eventually(func() state.WorkflowPhase { return h.phaseOf("a000000000000003") }, "2s", "10ms").
		Should(Equal(state.WorkflowCompleted))
}

// Guards against serving tasks that keep waiting because of a batch reservation
// that batch tasks no longer use.
func TestServingTasksGetRoomThatBatchTasksLeaveUnused(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", pool.Options{RunTime: shortBatch})
	// For ten seconds the batch demand leaves CPU for one serving task,
	// although no more batch tasks arrive.
	h.submitAs("a000000000000001", step(4, withCPU(1500), withEstimate(2*time.Second)))
	h.Eventually(func() state.WorkflowPhase { return h.phaseOf("a000000000000001") }, waitTimeout).Should(Equal(state.WorkflowCompleted))
	h.submitAs("0000000000000002", step(3, untilStopped, withCPU(1000)))
	h.Eventually(func() int { return running(a) }, waitTimeout).Should(BeNumerically(">=", 1))
	h.Consistently(func() int { return running(a) }, "2s").Should(Equal(1))
	h.Eventually(func() int { return running(a) }, "4s").Should(Equal(3))
}

// Guards against an unbounded wait of a serving task for its restart, when
// batch tasks use the CPU only briefly in each burst.
func TestServingTasksWaitBoundedTimeForRoomBetweenBursts(t *testing.T) {
	h := newHarness(t)
	const firstRunTime = time.Second
	firstRun := func(p fleet.TaskPosition, run uint64) bool { return p.Workflow[0] != 'a' && run == 1 }
	a := h.addWorker("a", pool.Options{Fails: firstRun, RunTime: func(p fleet.TaskPosition, run uint64) time.Duration {
		if firstRun(p, run) {
			return firstRunTime
		}
		return shortBatch(p, run)
	}})
	run := func(number uint64) *pool.Record {
		for _, r := range a.Records() {
			if r.Position.Workflow[0] != 'a' && r.Number == number {
				return &r
			}
		}
		return nil
	}
	h.submitAs("0000000000000001", step(1, untilStopped, withCPU(2000)))
	h.Eventually(func() any { return run(1) }, waitTimeout).ShouldNot(BeNil())
	const interval, bursts = 500 * time.Millisecond, 24
	for i := 0; i < bursts && run(2) == nil; i++ {
		// Four tasks that fill the worker for 20 ms but count as 4 s of its
		// CPU.
		h.submitAs(fmt.Sprintf("a%015x", i), step(4, withCPU(1000), withEstimate(time.Second)))
		time.Sleep(interval)
	}
	h.Expect(run(2)).NotTo(BeNil())
	const maxWait = 6 * time.Second // from the service terms
	// A placement pass between two bursts starts it, after the end of run 1 is
	// committed.
	h.Expect(run(2).Started.Sub(run(1).Ended)).To(BeNumerically("<", maxWait+2*interval))
}

// Guards against a serving task without resource requests that fits nowhere and
// blocks the leader in the count of fitting tasks.
func TestServingTaskThatAsksForNothingDoesNotStopTheLeader(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a", pool.Options{RunTime: shortBatch})
	h.addWorker("b", pool.Options{RunTime: shortBatch})
	h.submitAs("0000000000000001", step(1, untilStopped, func(s *state.WorkflowStep) { s.Size, s.Label = state.Resources{}, "none" }))
	time.Sleep(3 * time.Second) // until the fitting tasks are counted
	h.submitAs("a000000000000002", step(1))
	h.Eventually(func() state.WorkflowPhase { return h.phaseOf("a000000000000002") }, "2s", "10ms").Should(Equal(state.WorkflowCompleted))
}

// Guards against a serving task that reserves a worker without the label that
// it needs.
func TestServingTaskReservesNoWorkerWithoutItsLabel(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a", pool.Options{RunTime: shortBatch})
	h.submitAs("0000000000000001", step(1, untilStopped, func(s *state.WorkflowStep) { s.Label = "none" }))
	time.Sleep(1500 * time.Millisecond) // until it has waited long enough to reserve a worker
	h.submitAs("a000000000000002", step(1))
	h.Eventually(func() state.WorkflowPhase { return h.phaseOf("a000000000000002") }, "2s", "10ms").Should(Equal(state.WorkflowCompleted))
}

// Guards against a serving task that has lost its run and waits for seconds
// beside free capacity, because it is reserved for batch tasks that have ended
// long before their declared time, and none waits.
func TestRestartDoesNotWaitForAbsentBatchTasks(t *testing.T) {
	h := newHarness(t)
	const ranFor, restartGoal = 4 * time.Second, time.Second
	options := pool.Options{
		RunTime: func(p fleet.TaskPosition, number uint64) time.Duration {
			switch {
			case p.Workflow[0] == 'a':
				return 20 * time.Millisecond
			case number == 1:
				return ranFor
			}
			return 0
		},
		Fails: func(p fleet.TaskPosition, number uint64) bool { return p.Workflow[0] != 'a' && number == 1 },
	}
	workers := []*pool.Worker{h.addWorker("w0", options), h.addWorker("w1", options)}
	runs := func() (all []pool.Record) {
		for _, w := range workers {
			for _, r := range w.Records() {
				if r.Position.Workflow == jobID {
					all = append(all, r)
				}
			}
		}
		return all
	}
	h.Expect(h.submit(step(1, untilStopped))).To(Equal(fleet.OutcomeDone))
	h.Eventually(runs, waitTimeout, "5ms").Should(HaveLen(1))
	h.submitAs("a000000000000001", step(2, withCPU(3500), withEstimate(time.Minute)))
	h.Eventually(func() bool { return !runs()[0].Ended.IsZero() }, 2*ranFor, "5ms").Should(BeTrue())
	h.Eventually(runs, restartGoal, "5ms").Should(HaveLen(2))
}
