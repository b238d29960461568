package state_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/state"
)

func (w *harness) crash(run uint64, kind state.CrashKind, mod ...func(*state.TaskEnd)) {
	end := state.TaskEnd{Workflow: "w", Run: run, Outcome: state.OutcomeLost, Crash: kind}
	for _, m := range mod {
		m(&end)
	}
	w.apply(state.RecordTasks{Ends: []state.TaskEnd{end}})
}

// Guards against evidence that is counted twice or lost in a snapshot.
func TestEvidenceOfCrashesIsRecordedOncePerRun(t *testing.T) {
	w := newHarness(t)
	w.submit(state.WorkflowStep{Count: 1})
	for run, kind := range []state.CrashKind{state.CrashUnexplained, state.CrashMassLoss, state.CrashIsolated, state.CrashNone} {
		w.start(0, uint64(run+1), "a")
		w.crash(uint64(run+1), kind)
		w.crash(uint64(run+1), kind)
	}
	data, err := w.s.EncodeSnapshot()
	w.Expect(err).NotTo(HaveOccurred())
	w.s, err = state.DecodeSnapshot(data)
	w.Expect(err).NotTo(HaveOccurred())
	task := w.get().Tasks[0]
	w.Expect(task.CrashedRuns).To(Equal([]uint64{1, 2, 3}))
	w.Expect(task.UnexplainedCrashes).To(Equal(2))
	w.Expect(task.IsolatedCrashes).To(Equal(1))
}

// Guards against crashes that are forgotten because something else explains
// them, each time.
func TestExplainedCrashesAreRecorded(t *testing.T) {
	w := newHarness(t)
	w.submit(state.WorkflowStep{Count: 1, LongRunning: true})
	for run := uint64(1); run <= 3; run++ {
		w.start(0, run, "a")
		for range 2 {
			w.crash(run, state.CrashNone, func(e *state.TaskEnd) { e.Explained, e.WorkedMillis = true, int64(100*(4-run)) })
		}
	}
	task := w.get().Tasks[0]
	w.Expect(task.ExplainedRuns).To(Equal([]uint64{1, 2, 3}))
	w.Expect(task.CrashedRuns).To(BeEmpty())
	w.Expect(task.LongestCrash).To(Equal(int64(300)))
	w.start(0, 4, "a")
	w.crash(4, state.CrashUnexplained, func(e *state.TaskEnd) { e.Cleared = true })
	w.Expect(w.get().Tasks[0].ExplainedRuns).To(BeEmpty())
	w.Expect(w.get().Tasks[0].LongestCrash).To(Equal(int64(300)))
}

// Guards against losing the evidence of a run that was given up before its
// worker was known to have crashed.
func TestCrashOfEarlierRunIsRecorded(t *testing.T) {
	w := newHarness(t)
	w.submit(state.WorkflowStep{Count: 1})
	w.start(0, 1, "a")
	w.end(0, 1, state.OutcomeLost, "")
	w.start(0, 2, "b")
	w.crash(1, state.CrashUnexplained)
	w.Expect(w.get().Tasks[0].CrashedRuns).To(Equal([]uint64{1}))
	w.Expect(w.get().Tasks[0].Phase).To(Equal(state.TaskStarted))
}

// Guards against evidence that is kept although a later run was at work for
// long.
func TestEvidenceOfCrashesCanBeCleared(t *testing.T) {
	w := newHarness(t)
	w.submit(state.WorkflowStep{Count: 1, LongRunning: true})
	for run := uint64(1); run <= 3; run++ {
		w.start(0, run, "a")
		w.crash(run, state.CrashUnexplained, func(e *state.TaskEnd) { e.Cleared = run == 3 })
	}
	w.Expect(w.get().Tasks[0].CrashedRuns).To(Equal([]uint64{3}))
	w.Expect(w.get().Tasks[0].UnexplainedCrashes).To(Equal(1))
}

// Guards against a workflow that continues after one of its tasks was given up,
// and against a client that can't learn why.
func TestWorkflowOfTaskThatWasGivenUpFails(t *testing.T) {
	for _, serving := range []bool{false, true} {
		w := newHarness(t)
		w.submit(state.WorkflowStep{Count: 2, LongRunning: serving})
		w.start(0, 1, "a")
		w.crash(1, state.CrashIsolated, func(e *state.TaskEnd) { e.GiveUp = "workers crashed" })
		w.Expect(w.get().Phase).To(Equal(state.WorkflowFailed))
		w.Expect(w.get().Reason).To(Equal("workers crashed"))
	}
}

// Guards against giving up a task that another run has completed.
func TestCompletedTaskIsNotGivenUp(t *testing.T) {
	w := newHarness(t)
	w.submit(state.WorkflowStep{Count: 2})
	w.start(0, 1, "a")
	w.end(0, 1, state.OutcomeDone, "")
	w.crash(1, state.CrashIsolated, func(e *state.TaskEnd) { e.GiveUp = "workers crashed" })
	w.Expect(w.get().Phase.Ended()).To(BeFalse())
}

// Guards against forgetting that the worker of a run that was given up may have
// crashed, and against remembering it for ever.
func TestLostRunsAreKeptUntilTheyAreResolved(t *testing.T) {
	for name, resolve := range map[string]func(*state.TaskEnd){
		"crashed":  func(e *state.TaskEnd) { e.Crash = state.CrashUnexplained },
		"resolved": func(e *state.TaskEnd) { e.Resolved = true },
	} {
		w := newHarness(t)
		w.submit(state.WorkflowStep{Count: 1})
		w.apply(state.RecordTasks{Starts: []state.TaskStart{{Workflow: "w", Run: 1, Worker: "a", WorkerStartedAt: 7}}})
		w.crash(1, state.CrashNone, func(e *state.TaskEnd) { e.LeaseExpired = true })
		w.start(0, 2, "b")
		w.Expect(w.get().Tasks[0].LostRuns).To(Equal([]state.LostRun{{Run: 1, Worker: "a", WorkerStartedAt: 7}}), name)
		w.crash(1, state.CrashNone, resolve)
		w.Expect(w.get().Tasks[0].LostRuns).To(BeEmpty(), name)
		w.Expect(w.get().Tasks[0].Phase).To(Equal(state.TaskStarted), name)
	}
}
