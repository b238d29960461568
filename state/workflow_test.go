package state_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"apricotrouter/state"
)

// harness applies commands to a state and checks its workflow "w".
type harness struct {
	*WithT
	s *state.State
}

func newHarness(t *testing.T) *harness { return &harness{NewWithT(t), state.New()} }

func (w *harness) apply(b state.Body) state.Result {
	c := state.NewCommand(b)
	c.Time = w.s.Time + 1
	next, r := w.s.Apply(w.s.Index+1, c)
	w.s = next
	return r
}

func (w *harness) submit(steps ...state.WorkflowStep) {
	w.Expect(w.apply(state.SubmitWorkflow{Spec: state.WorkflowSpec{ID: "w", MaxAttempts: 2, Steps: steps}}).Code).To(Equal(state.CodeOK))
}

func (w *harness) start(task int, run uint64, worker string) {
	w.apply(state.RecordTasks{Starts: []state.TaskStart{{Workflow: "w", Task: task, Run: run, Worker: worker}}})
}

func (w *harness) end(task int, run uint64, o state.TaskOutcome, checkpoint string) {
	w.apply(state.RecordTasks{Ends: []state.TaskEnd{{Workflow: "w", Task: task, Run: run, Outcome: o, Checkpoint: checkpoint}}})
}

func (w *harness) get() *state.Workflow {
	one, ok := w.s.Workflows.Get("w")
	w.Expect(ok).To(BeTrue())
	return one
}

// Guards against a run number that is used twice, and against starting a task
// that has a current run.
func TestRunNumbersOnlyRise(t *testing.T) {
	w := newHarness(t)
	w.submit(state.WorkflowStep{Count: 1})
	w.start(0, 1, "a")
	w.start(0, 2, "b")
	w.Expect(w.get().Tasks[0]).To(Equal(state.WorkflowTask{Phase: state.TaskStarted, Run: 1, Worker: "a"}))
	w.end(0, 1, state.OutcomeLost, "half")
	w.start(0, 1, "b")
	w.Expect(w.get().Tasks[0]).To(Equal(state.WorkflowTask{Run: 1, Checkpoint: "half"}))
	w.start(0, 2, "b")
	w.Expect(w.get().Tasks[0].Worker).To(Equal("b"))
}

// Guards against repeating a task although an earlier run, which was
// abandoned, turns out to have completed.
func TestDoneRunCountsAfterALaterOneWasStarted(t *testing.T) {
	w := newHarness(t)
	w.submit(state.WorkflowStep{Count: 1})
	w.start(0, 1, "a")
	w.end(0, 1, state.OutcomeLost, "")
	w.start(0, 2, "b")
	w.end(0, 1, state.OutcomeDone, "")
	w.Expect(w.get().Phase).To(Equal(state.WorkflowCompleted))
}

// Guards against counting lost runs as failed attempts, and against not counting
// failed runs.
func TestWorkflowFailsAfterItsAttempts(t *testing.T) {
	w := newHarness(t)
	w.submit(state.WorkflowStep{Count: 2})
	for run, o := range []state.TaskOutcome{state.OutcomeLost, state.OutcomeFailed, state.OutcomeLost, state.OutcomeFailed} {
		w.Expect(w.get().Phase.Ended()).To(BeFalse())
		w.start(1, uint64(run+1), "a")
		w.end(1, uint64(run+1), o, "")
	}
	w.Expect(w.get().Phase).To(Equal(state.WorkflowFailed))
	w.Expect(w.get().Tasks).To(BeEmpty())
}

// Guards against not counting a failed run that was abandoned before its end was
// reported, and against counting a failed run twice.
func TestFailedRunCountsOnceAlsoIfGivenUp(t *testing.T) {
	w := newHarness(t)
	w.submit(state.WorkflowStep{Count: 1})
	w.start(0, 1, "a")
	w.end(0, 1, state.OutcomeLost, "")
	w.start(0, 2, "b")
	w.end(0, 1, state.OutcomeFailed, "")
	w.end(0, 1, state.OutcomeFailed, "")
	w.Expect(w.get().Tasks[0].Failures).To(Equal(1))
	w.Expect(w.get().Tasks[0].Phase).To(Equal(state.TaskStarted))
	w.end(0, 2, state.OutcomeFailed, "")
	w.Expect(w.get().Phase).To(Equal(state.WorkflowFailed))
}

// Guards against a gang that uses up its attempts in one run because the failure
// of every member is counted.
func TestGangFailsOncePerRun(t *testing.T) {
	w := newHarness(t)
	w.submit(state.WorkflowStep{Count: 3, Gang: true})
	for i := range 3 {
		w.start(i, 1, "a")
	}
	for i := range 3 {
		w.end(i, 1, state.OutcomeFailed, "")
	}
	w.Expect(w.get().Phase).To(Equal(state.WorkflowActive))
	w.Expect(w.get().Tasks[0].Failures).To(Equal(1))
}

// Guards against a long-running task that fails permanently or counts as
// completed.
func TestLongRunningTaskStartsAgainHoweverItEnds(t *testing.T) {
	w := newHarness(t)
	w.submit(state.WorkflowStep{Count: 1, LongRunning: true})
	for run, o := range []state.TaskOutcome{state.OutcomeFailed, state.OutcomeFailed, state.OutcomeDone, state.OutcomeLost} {
		w.start(0, uint64(run+1), "a")
		w.end(0, uint64(run+1), o, "")
		w.Expect(w.get().Phase).To(Equal(state.WorkflowActive))
		w.Expect(w.get().Tasks[0].Phase).To(Equal(state.TaskWaiting))
	}
}

// Guards against a gang of which only some members are done.
func TestGangIsDoneTogether(t *testing.T) {
	w := newHarness(t)
	w.submit(state.WorkflowStep{Count: 3, Gang: true}, state.WorkflowStep{Count: 1})
	for i := range 3 {
		w.start(i, 1, "a")
	}
	w.end(1, 1, state.OutcomeDone, "")
	for i := range 3 {
		w.Expect(w.get().Tasks[i].Phase).To(Equal(state.TaskDone))
	}
	w.Expect(w.get().Phase).To(Equal(state.WorkflowActive))
}

// Guards against an older configuration that replaces a newer one, and against
// different content under the current version.
func TestQueuesTakeOnlyHigherVersions(t *testing.T) {
	w := newHarness(t)
	set := func(version uint64, source string) state.Code {
		return w.apply(state.SetQueues{Config: state.QueueConfig{Version: version, Source: []byte(source)}}).Code
	}
	w.Expect(set(3, "three")).To(Equal(state.CodeOK))
	w.Expect(set(3, "other")).To(Equal(state.CodeStale))
	w.Expect(set(2, "two")).To(Equal(state.CodeStale))
	w.Expect(string(w.s.Queues.Source)).To(Equal("three"))
	w.Expect(set(9, "nine")).To(Equal(state.CodeOK))
	w.Expect(string(w.s.Queues.Source)).To(Equal("nine"))
}

// Guards against a delayed report of an earlier worker incarnation that replaces
// or removes the later incarnation.
func TestReportOfEarlierWorkerIncarnationIsIgnored(t *testing.T) {
	w := newHarness(t)
	incarnation := func(startedAt int64) state.PoolWorker { return state.PoolWorker{ID: "a", StartedAt: startedAt} }
	w.apply(state.SetPoolWorkers{Updated: []state.PoolWorker{incarnation(20)}})
	w.apply(state.SetPoolWorkers{Updated: []state.PoolWorker{incarnation(10)}})
	w.apply(state.SetPoolWorkers{Removed: []state.PoolWorker{incarnation(10)}})
	got, ok := w.s.PoolWorkers.Get("a")
	w.Expect(ok).To(BeTrue())
	w.Expect(got.StartedAt).To(Equal(int64(20)))
}

// Guards against a snapshot that omits state of workflows, queues, pool workers
// or evacuations.
func TestSnapshotKeepsWorkflows(t *testing.T) {
	w := newHarness(t)
	w.submit(state.WorkflowStep{Count: 2, Image: "x", DependsOn: nil})
	w.start(0, 1, "a")
	w.apply(state.SubmitWorkflow{Spec: state.WorkflowSpec{ID: "v", Steps: []state.WorkflowStep{{Count: 1}}}})
	w.apply(state.CancelWorkflow{ID: "v"})
	w.apply(state.SetQueues{Config: state.QueueConfig{Version: 7, Source: []byte("{}")}})
	w.apply(state.SetPoolWorkers{Updated: []state.PoolWorker{{ID: "a", StartedAt: 1, Zone: "z"}}})
	w.apply(state.SetEvacuation{Zone: "z", Evacuate: true})
	data, err := w.s.EncodeSnapshot()
	w.Expect(err).NotTo(HaveOccurred())
	got, err := state.DecodeSnapshot(data)
	w.Expect(err).NotTo(HaveOccurred())
	again, err := got.EncodeSnapshot()
	w.Expect(err).NotTo(HaveOccurred())
	w.Expect(again).To(Equal(data))
	open := 0
	for id := range got.OpenWorkflows() {
		w.Expect(id).To(Equal("w"))
		open++
	}
	w.Expect(open).To(Equal(1))
	w.Expect(got.IsZoneEvacuated("z")).To(BeTrue())
}

// Guards against delayed, repeated or reordered starts and ends that decrease a
// run number or a failure count, repeat a completed task or give a task a worker
// without a current run.
func TestRandomRecordsKeepTheirInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := &harness{NewWithT(rt), state.New()}
		w.submit(state.WorkflowStep{Count: 2}, state.WorkflowStep{Count: 2, Gang: true})
		before := make([]state.WorkflowTask, 4)
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			task, run := rapid.IntRange(-1, 4).Draw(rt, "task"), rapid.Uint64Range(0, 4).Draw(rt, "run")
			if rapid.Bool().Draw(rt, "start") {
				w.start(task, run, "a")
			} else {
				w.end(task, run, state.TaskOutcome(rapid.IntRange(1, 3).Draw(rt, "outcome")), "")
			}
			one := w.get()
			if one.Phase.Ended() {
				return
			}
			for i, now := range one.Tasks {
				w.Expect(now.Run).To(BeNumerically(">=", before[i].Run))
				w.Expect(now.Failures).To(BeNumerically(">=", before[i].Failures))
				if before[i].Phase == state.TaskDone {
					w.Expect(now.Phase).To(Equal(state.TaskDone))
				}
				w.Expect(now.Phase == state.TaskStarted).To(Equal(now.Worker != ""))
			}
			copy(before, one.Tasks)
		}
	})
}

// Guards against losing the interference estimates in a snapshot, from which a
// new leader or a replica restores them.
func TestPressuresAreInSnapshots(t *testing.T) {
	w := newHarness(t)
	saved := state.SetInterference{
		Images: []state.ServingImage{{
			Image: "s", MinTailMillis: 12, Load: 0.4, Interference: []state.ImageInterference{{BestEffort: "l", Value: 1.5}},
		}},
	}
	w.apply(saved)
	snapshot, err := w.s.EncodeSnapshot()
	w.Expect(err).NotTo(HaveOccurred())
	got, err := state.DecodeSnapshot(snapshot)
	w.Expect(err).NotTo(HaveOccurred())
	w.Expect(got.Interference).To(Equal(&saved))
}

// Guards against an integer overflow in the task count of a submission. Such a
// submission passed the limit and crashed every replica that applied it.
func TestTaskCountOverflowIsRefused(t *testing.T) {
	w := newHarness(t)
	const quarter = 1 << 62 // a quarter of the value range of an int
	for name, spec := range map[string]state.WorkflowSpec{
		"steps that add up to 5":  {Steps: []state.WorkflowStep{{Count: quarter}, {Count: quarter}, {Count: quarter}, {Count: quarter}, {Count: 5}}},
		"occurrences of 2 to 4":   {Occurrences: quarter + 1, Steps: []state.WorkflowStep{{Count: 4}}},
		"more than the bound":     {Steps: []state.WorkflowStep{{Count: 1 << 16}, {Count: 1}}},
		"a step without tasks":    {Steps: []state.WorkflowStep{{Count: 3}, {Count: 0}}},
		"occurrences below zero":  {Occurrences: -1, Steps: []state.WorkflowStep{{Count: 3}}},
		"no step":                 {},
		"counts that cancel out":  {Steps: []state.WorkflowStep{{Count: 5}, {Count: -3}}},
		"one step of all numbers": {Steps: []state.WorkflowStep{{Count: 1<<63 - 1}}},
	} {
		spec.ID = "w"
		w.Expect(w.apply(state.SubmitWorkflow{Spec: spec}).Code).To(Equal(state.CodeInvalid), name)
	}
	w.submit(state.WorkflowStep{Count: 1 << 16})
}

// Guards against a delayed report that adds a removed worker incarnation again or
// ends the drain of an incarnation, including after a restore from a snapshot.
func TestRemovedWorkerIncarnationIsNotReadded(t *testing.T) {
	w := newHarness(t)
	report := func(startedAt int64, draining bool) {
		w.apply(state.SetPoolWorkers{Updated: []state.PoolWorker{{ID: "a", StartedAt: startedAt, Draining: draining}}})
	}
	stored := func() *state.PoolWorker {
		one, _ := w.s.PoolWorkers.Get("a")
		return one
	}
	report(5, true)
	report(5, false)
	w.Expect(stored().Draining).To(BeTrue())
	w.apply(state.SetPoolWorkers{Removed: []state.PoolWorker{{ID: "a", StartedAt: 5}}})
	data, err := w.s.EncodeSnapshot()
	w.Expect(err).NotTo(HaveOccurred())
	w.s, err = state.DecodeSnapshot(data)
	w.Expect(err).NotTo(HaveOccurred())
	report(5, false)
	w.Expect(stored()).To(BeNil())
	report(6, false)
	w.Expect(stored().Draining).To(BeFalse())
	// An incarnation removed without a drain may be added again, because it may
	// only have been unreachable.
	w.apply(state.SetPoolWorkers{Removed: []state.PoolWorker{{ID: "a", StartedAt: 6}}})
	report(6, false)
	w.Expect(stored()).NotTo(BeNil())
}

// Guards against updating the end time of a long-running task when a worker
// refused its start, and against losing the end time at a later start.
func TestLastEndOfALongRunningTaskIsKept(t *testing.T) {
	w := newHarness(t)
	w.submit(state.WorkflowStep{Count: 1, LongRunning: true}, state.WorkflowStep{Count: 1})
	notStarted := func(run uint64) {
		w.apply(state.RecordTasks{Ends: []state.TaskEnd{{Workflow: "w", Run: run, Outcome: state.OutcomeLost, NotStarted: true}}})
	}
	w.start(0, 1, "a")
	notStarted(1)
	w.Expect(w.get().Tasks[0]).To(Equal(state.WorkflowTask{Run: 1}))
	for run, o := range []state.TaskOutcome{state.OutcomeLost, state.OutcomeFailed, state.OutcomeDone} {
		w.start(0, uint64(2*run+2), "a")
		w.end(0, uint64(2*run+2), o, "")
		ended := w.s.Time
		w.Expect(w.get().Tasks[0].EndedAt).To(Equal(ended))
		w.start(0, uint64(2*run+3), "b")
		notStarted(uint64(2*run + 3))
		w.Expect(w.get().Tasks[0]).To(Equal(state.WorkflowTask{Run: uint64(2*run + 3), EndedAt: ended}))
	}
	w.start(1, 1, "a")
	w.end(1, 1, state.OutcomeLost, "")
	w.Expect(w.get().Tasks[1]).To(Equal(state.WorkflowTask{Run: 1}), "only long-running tasks record the end time")
}
