package worker_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	workerstandin "apricotrouter/standin/worker"
	"apricotrouter/state"
)

// Guards against an eviction that never completes because the checkpoint fails.
func TestFailedCheckpointResumesFromLastOne(t *testing.T) {
	f := newFixture(t)
	f.runTask()
	f.evict()
	f.poll(2*time.Second, f.s1)
	first := f.task().Checkpoint
	f.Expect(first).NotTo(BeEmpty())
	f.place("w1")
	f.poll(3*time.Second, f.s1)
	f.w1.FailCheckpoints(true)
	f.evict()
	f.poll(5*time.Second, f.s1)
	f.Expect(f.task().Phase).To(Equal(state.PhasePending))
	f.Expect(f.task().Checkpoint).To(Equal(first))
	f.place("w2")
	f.poll(2*time.Second, f.s1, f.s2)
	f.Expect(f.checkedRecords()).To(HaveLen(3))
	f.Expect(f.checkedRecords()[2].Checkpoint).To(Equal(first))
}

// Guards against losing work or resuming it twice when a stop was executed but its
// response was lost.
func TestLostStopAnswerResumesOnceFromCheckpoint(t *testing.T) {
	f := newFixture(t)
	f.runTask()
	f.w1.dropStopResponses = true
	f.evict()
	f.poll(3*time.Second, f.s1)
	f.Expect(f.task().Phase).To(Equal(state.PhasePending))
	f.place("w2")
	f.poll(2*time.Second, f.s1, f.s2)
	all := f.checkedRecords()
	f.Expect(all).To(HaveLen(2))
	f.Expect(all[1].From).To(BeNumerically("~", all[0].To, time.Millisecond))
}

// Guards against resuming a task twice when the report of its stop is committed
// but not confirmed, is repeated, and arrives again after the next placement.
func TestResentEvictionResumesOnce(t *testing.T) {
	f := newFixture(t)
	f.runTask()
	f.log.dropResultsOf = state.KindReportTasks
	f.evict()
	f.poll(2*time.Second, f.s1)
	f.Expect(f.task().Phase).To(Equal(state.PhasePending))
	f.log.dropResultsOf = 0
	f.log.SetLeadership(f.log.Leadership()) // Notifies the waiting sessions, as a leader change does.
	f.place("w1")
	f.poll(time.Second, f.s1)
	f.log.proposeAgain(f, state.KindReportTasks)
	f.poll(3*time.Second, f.s1)
	f.Expect(f.task().Phase).To(Equal(state.PhaseRunning))
	f.Expect(f.task().Incarnation).To(BeEquivalentTo(2))
	f.Expect(f.checkedRecords()).To(HaveLen(2))
}

// Guards against running a task again that completed while it was being evicted.
func TestTaskThatCompletesDuringEvictionIsNotResumed(t *testing.T) {
	f := newFixture(t)
	f.runTask()
	f.poll(56500*time.Millisecond, f.s1)
	f.evict()
	f.w1.onList = func() { f.clock.Advance(2 * time.Second) }
	f.poll(3*time.Second, f.s1)
	f.Expect(f.task().Phase).To(Equal(state.PhaseCompleted))
	f.Expect(f.checkedRecords()).To(HaveExactElements(HaveField("End", workerstandin.EndExited)))
}

// Guards against a run that continues after its incarnation was superseded in the
// log.
func TestSupersededRunIsStopped(t *testing.T) {
	f := newFixture(t)
	f.runTask()
	a := f.log.State().Assignment(state.AssignWorker, "w1")
	f.propose(state.ReportTasks{Worker: "w1", Fence: a.Fence, Reports: []state.TaskReport{
		{Task: task, Incarnation: 1, Event: state.EventStopped},
	}})
	f.poll(time.Second, f.s1)
	f.Expect(f.checkedRecords()).To(HaveExactElements(HaveField("End", workerstandin.EndStopped)))
}

// Guards against a throttle that is not applied on the worker.
func TestThrottleIsApplied(t *testing.T) {
	f := newFixture(t)
	f.runTask()
	f.propose(state.ThrottleTask{Task: task, Incarnation: 1, Percent: 50})
	f.poll(time.Second, f.s1)
	f.Expect(f.checkedRecords()[0].Throttle).To(BeEquivalentTo(50))
}
