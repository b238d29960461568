package worker_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	workerstandin "apricotrouter/standin/worker"
	"apricotrouter/state"
)

// Guards against an eviction that hangs because the checkpoint fails.
func TestFailedCheckpointResumesFromLastOne(t *testing.T) {
	f := newFixture(t)
	f.runTask()
	f.evict()
	f.rounds(2*time.Second, f.s1)
	first := f.task().Checkpoint
	f.Expect(first).NotTo(BeEmpty())
	f.place("w1")
	f.rounds(3*time.Second, f.s1)
	f.w1.FailCheckpoints(true)
	f.evict()
	f.rounds(5*time.Second, f.s1)
	f.Expect(f.task().Phase).To(Equal(state.PhasePending))
	f.Expect(f.task().Checkpoint).To(Equal(first))
	f.place("w2")
	f.rounds(2*time.Second, f.s1, f.s2)
	f.Expect(f.records()).To(HaveLen(3))
	f.Expect(f.records()[2].Checkpoint).To(Equal(first))
}

// Guards against work that is lost or resumed twice when a stop was carried
// out but not answered.
func TestLostStopAnswerResumesOnceFromCheckpoint(t *testing.T) {
	f := newFixture(t)
	f.runTask()
	f.w1.loseStop = true
	f.evict()
	f.rounds(3*time.Second, f.s1)
	f.Expect(f.task().Phase).To(Equal(state.PhasePending))
	f.place("w2")
	f.rounds(2*time.Second, f.s1, f.s2)
	all := f.records()
	f.Expect(all).To(HaveLen(2))
	f.Expect(all[1].From).To(BeNumerically("~", all[0].To, time.Millisecond))
}

// Guards against a second resume when the report of a stop is committed but
// not confirmed, repeated, and arrives once more after the next placement.
func TestResentEvictionResumesOnce(t *testing.T) {
	f := newFixture(t)
	f.runTask()
	f.log.lose = state.KindReportTasks
	f.evict()
	f.rounds(2*time.Second, f.s1)
	f.Expect(f.task().Phase).To(Equal(state.PhasePending))
	f.log.lose = 0
	f.log.SetLeadership(f.log.Leadership()) // wakes users as a leader change does
	f.place("w1")
	f.rounds(time.Second, f.s1)
	f.log.repeat(f, state.KindReportTasks)
	f.rounds(3*time.Second, f.s1)
	f.Expect(f.task().Phase).To(Equal(state.PhaseRunning))
	f.Expect(f.task().Incarnation).To(BeEquivalentTo(2))
	f.Expect(f.records()).To(HaveLen(2))
}

// Guards against a task that completes while it is being evicted and is then
// run again.
func TestTaskThatCompletesDuringEvictionIsNotResumed(t *testing.T) {
	f := newFixture(t)
	f.runTask()
	f.rounds(56500*time.Millisecond, f.s1)
	f.evict()
	f.w1.onList = func() { f.clock.Advance(2 * time.Second) }
	f.rounds(3*time.Second, f.s1)
	f.Expect(f.task().Phase).To(Equal(state.PhaseCompleted))
	f.Expect(f.records()).To(HaveExactElements(HaveField("End", workerstandin.EndExited)))
}

// Guards against a run that goes on after the log has given its incarnation up.
func TestSupersededRunIsStopped(t *testing.T) {
	f := newFixture(t)
	f.runTask()
	a := f.log.State().Assignment(state.AssignWorker, "w1")
	f.propose(state.ReportTasks{Worker: "w1", Fence: a.Fence, Reports: []state.TaskReport{
		{Task: task, Incarnation: 1, Event: state.EventStopped},
	}})
	f.rounds(time.Second, f.s1)
	f.Expect(f.records()).To(HaveExactElements(HaveField("End", workerstandin.EndStopped)))
}

// Guards against a throttle that does not reach the worker.
func TestThrottleIsApplied(t *testing.T) {
	f := newFixture(t)
	f.runTask()
	f.propose(state.ThrottleTask{Task: task, Incarnation: 1, Percent: 50})
	f.rounds(time.Second, f.s1)
	f.Expect(f.records()[0].Throttle).To(BeEquivalentTo(50))
}
