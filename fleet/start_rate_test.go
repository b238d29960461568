package fleet_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"apricotrouter/fleet"
	"apricotrouter/placement"
	"apricotrouter/standin/pool"
	"apricotrouter/state"
)

// callerLimit is the time after which users count a workflow as lost if nothing
// of it has run while there is capacity.
const callerLimit = 3 * time.Second

// newInterferenceHarness returns a harness whose model has learned a coefficient
// of image "l" on images "r" and "s", and a worker with a serving task of image "s".
func newInterferenceHarness(t *testing.T, coefficient float64) (*harness, *pool.Worker) {
	h := newHarness(t, func(o *fleet.Options) {
		o.Limits.RateDelay, o.Limits.MaxOverTarget = 100*time.Millisecond, 4*time.Second
		interference := []state.ImageInterference{{BestEffort: "l", Value: coefficient}}
		_, err := o.Log.Propose(t.Context(), state.NewCommand(state.SetInterference{Images: []state.ServingImage{
			{Image: "r", MinTailMillis: 10, Load: 0.4, Interference: interference},
			{Image: "s", MinTailMillis: 10, Load: 0.4, Interference: interference},
		}}))
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
	})
	w := h.addWorker("w", pool.Options{RunTime: runForever, Measure: func(p fleet.TaskPosition) int64 {
		if p.Workflow == jobID {
			return 17 // a utilisation of 0.41 at a floor of 10
		}
		return 0
	}})
	h.Expect(h.submit(step(1, untilStopped, func(s *state.WorkflowStep) { s.Image, s.TailMillis = "s", 50 }))).To(Equal(fleet.OutcomeDone))
	h.Eventually(func() int { return running(w) }, waitTimeout, "5ms").Should(Equal(1))
	return h, w
}

func bestEffort(s *state.WorkflowStep) { s.BestEffort, s.Image, s.EstimateMillis = true, "l", 1000 }

// Guards against a best-effort task that never starts while each worker has a
// serving task that its image interferes with at full speed, and against a run
// that stays at the full rate until the first report about it (review/8). At a
// third of full speed the task fits.
func TestTaskStartsAtTheRateThatFits(t *testing.T) {
	h, w := newInterferenceHarness(t, 3)
	h.submitAs("a000000000000001", step(1, bestEffort))
	h.Eventually(func() int { return running(w) }, callerLimit, "5ms").Should(Equal(2))
	h.Eventually(w.LowestRate, 100*time.Millisecond, "5ms").Should(BeNumerically("<=", 50))
}

// Guards against a wait without a bound where the model expects no rate to fit.
func TestTaskStartsAtTheLowestRateAfterABoundedWait(t *testing.T) {
	h, w := newInterferenceHarness(t, 60)
	h.submitAs("a000000000000001", step(3, bestEffort))
	h.Eventually(func() int { return running(w) }, callerLimit, "5ms").Should(Equal(2))
	h.Eventually(w.LowestRate, 100*time.Millisecond, "5ms").Should(BeNumerically("<=", placement.MinStartRate(placement.StartWait{HalfIdle: true, WaitedMillis: callerLimit.Milliseconds()})))
	h.Consistently(func() int { return running(w) }, time.Second, "5ms").Should(Equal(2), "one task of a workflow")
}

// Guards against a serving task that makes a further worker useless for an image
// of which tasks wait, although another worker is useless for it already. The
// tasks of image "l" fit on one worker, which they fill; on the other, a serving
// task tolerates none.
func TestServingTaskLeavesWorkerToWaitingImage(t *testing.T) {
	h, w := newInterferenceHarness(t, 60)
	free := h.addWorker("x", pool.Options{RunTime: runForever})
	h.submitAs("a000000000000001", step(6, bestEffort, func(s *state.WorkflowStep) { s.Size.MilliCPU = 3800 }))
	h.Eventually(func() int { return running(free) }, callerLimit, "5ms").Should(Equal(1))
	time.Sleep(1500 * time.Millisecond) // the others count as waiting after a second
	h.submitAs("0000000000000002", step(1, untilStopped, func(s *state.WorkflowStep) { s.Image, s.TailMillis = "r", 50 }))
	serving := func(w *pool.Worker) (n int) {
		for _, r := range w.Records() {
			if r.Position.Workflow == "0000000000000002" {
				n++
			}
		}
		return n
	}
	h.Eventually(func() int { return serving(w) + serving(free) }, callerLimit, "5ms").Should(Equal(1))
	h.Expect(serving(w)).To(Equal(1))
}

// startedWorkflows counts the workflows with a run on one of the workers.
func startedWorkflows(workers ...*pool.Worker) int {
	started := make(map[string]bool)
	for _, w := range workers {
		for _, r := range w.Records() {
			started[r.Position.Workflow] = true
		}
	}
	return len(started)
}

// Guards against workflows of which nothing runs for as long as another one with
// the same image does, because interference with serving tasks is expected
// (review/14).
func TestEachWorkflowStartsAlthoughItsImageRuns(t *testing.T) {
	h, w := newInterferenceHarness(t, 60)
	const workflows = 3
	for i := range workflows {
		h.submitAs(fmt.Sprintf("a%015x", i), step(2, bestEffort, withCPU(900), withEstimate(100*time.Millisecond)))
	}
	h.Eventually(func() int { return startedWorkflows(w) }, callerLimit, "5ms").Should(Equal(1 + workflows))
	h.Consistently(func() int { return running(w) }, time.Second, "5ms").Should(Equal(1+workflows), "one task of each workflow")
}

// Guards against workflows of which nothing runs for as long as others use all idle
// CPU, although hardly anything is reserved (review/14).
func TestEachWorkflowStartsAlthoughNoCPUIsIdle(t *testing.T) {
	h := newHarness(t)
	w := h.addWorker("w", pool.Options{RunTime: runForever})
	const workflows = 4
	for i := range workflows {
		h.submitAs(fmt.Sprintf("a%015x", i), step(1, bestEffort, withCPU(3800), withEstimate(100*time.Millisecond), func(s *state.WorkflowStep) { s.Size.MemoryMiB = 500 }))
	}
	h.Eventually(func() int { return startedWorkflows(w) }, callerLimit, "5ms").Should(Equal(workflows))
	h.Eventually(w.LowestRate, 100*time.Millisecond, "5ms").Should(BeNumerically("<=", 10))
}

// Guards against a late workflow of which nothing runs while the worker is reserved
// for a serving task that waits for a batch task.
func TestWorkflowStartsOnWorkerReservedForServingTask(t *testing.T) {
	const n = 4
	h := newHarness(t)
	var workers []*pool.Worker
	for i := range n {
		workers = append(workers, h.addWorker(fmt.Sprintf("w%d", i), pool.Options{RunTime: runForever}))
	}
	total := func() (k int) {
		for _, w := range workers {
			k += running(w)
		}
		return k
	}
	h.submitAs("a000000000000001", step(n, withCPU(600), withEstimate(time.Second), func(s *state.WorkflowStep) { s.MaxPerWorker = 1 }))
	h.Eventually(total, waitTimeout, "5ms").Should(Equal(n))
	for i := range n {
		h.submitAs(fmt.Sprintf("0%015x", i), step(1, untilStopped, withCPU(3500)))
	}
	time.Sleep(time.Second)
	h.submitAs("a000000000000002", step(1, bestEffort, withCPU(900), withEstimate(100*time.Millisecond)))
	h.Eventually(func() int { return startedWorkflows(workers...) }, callerLimit, "5ms").Should(Equal(2))
}
