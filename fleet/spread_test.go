package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"apricotrouter/fleet"
	"apricotrouter/standin/pool"
	"apricotrouter/state"
)

// replicas are the two tasks of a step with one task per worker. Worker a has
// room for one of them, worker b for two, and no other worker for any.
type replicas struct {
	*harness
	a, b      *pool.Worker
	startedAt int64 // of both workers
}

// failReplicasTogether starts the replicas and makes both fail in one log
// entry.
func failReplicasTogether(t *testing.T, beforeCommit func(*replicas)) *replicas {
	t.Helper()
	h := newHarness(t)
	for id := 'c'; id < 'q'; id++ { // so many that both may have capacity set aside
		h.fillWorker(string(id))
	}
	firstRun := func(p fleet.TaskPosition, number uint64) bool { return p.Workflow == jobID && number == 1 }
	startedAt := time.Now().UnixMilli()
	options := pool.Options{StartedAt: startedAt, Fails: firstRun, RunTime: func(p fleet.TaskPosition, number uint64) time.Duration {
		if firstRun(p, number) {
			return time.Second
		}
		return 0
	}}
	r := &replicas{h, h.addWorker("a", options), h.addWorker("b", options), startedAt}
	h.Expect(h.heartbeatWith("b", startedAt, r.b, false, state.Resources{MilliCPU: 6000, MemoryMiB: 6000})).To(Equal(fleet.OutcomeDone))
	h.Expect(h.submit(step(2, untilStopped, withCPU(3000), func(s *state.WorkflowStep) { s.MaxPerWorker = 1 }))).To(Equal(fleet.OutcomeDone))
	h.Eventually(func() int { return running(r.a) + running(r.b) }, waitTimeout, "5ms").Should(Equal(2))
	h.commitGate.Lock()
	h.submitAs("0000000000000002", step(1, withCPU(100))) // the entry with its start waits for the commit gate
	h.Eventually(func() int { return running(r.a) + running(r.b) }, waitTimeout, "5ms").Should(BeZero())
	time.Sleep(200 * time.Millisecond) // until the leader knows both ends
	if beforeCommit != nil {
		beforeCommit(r)
	}
	h.commitGate.Unlock()
	return r
}

// secondRuns returns the number of second runs of the replicas on a worker.
func secondRuns(w *pool.Worker) int {
	n := 0
	for _, r := range w.Records() {
		if r.Position.Workflow == jobID && r.Number == 2 {
			n++
		}
	}
	return n
}

// Guards against replicas of a step with a limit per worker that run on one
// worker, because both failed at the same moment.
func TestReplicasThatFailTogetherDoNotShareAWorker(t *testing.T) {
	r := failReplicasTogether(t, nil)
	r.Eventually(func() int { return secondRuns(r.a) + secondRuns(r.b) }, servingWait, "5ms").Should(Equal(2))
	r.Expect(secondRuns(r.a)).To(Equal(1))
	r.Expect(secondRuns(r.b)).To(Equal(1))
}

// Guards against the same if no other worker can take the second replica.
func TestReplicaDoesNotReturnToAWorkerThatAnotherTook(t *testing.T) {
	r := failReplicasTogether(t, func(r *replicas) {
		r.Expect(r.heartbeat("a", r.startedAt, r.a, true)).To(Equal(fleet.OutcomeDone)) // drains
	})
	r.Eventually(func() int { return secondRuns(r.b) }, servingWait, "5ms").Should(Equal(1))
	r.Consistently(func() int { return secondRuns(r.b) }, time.Second, "5ms").Should(Equal(1))
}
