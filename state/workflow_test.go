package state_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"apricotrouter/state"
)

// workflows applies commands to a state of its own.
type workflows struct {
	*WithT
	s *state.State
}

func newWorkflows(t *testing.T) *workflows { return &workflows{NewWithT(t), state.New()} }

func (w *workflows) apply(b state.Body) state.Result {
	c := state.NewCommand(b)
	c.Time = w.s.Time + 1
	next, r := w.s.Apply(w.s.Index+1, c)
	w.s = next
	return r
}

func (w *workflows) submit(steps ...state.WorkflowStep) {
	w.Expect(w.apply(state.SubmitWorkflow{Spec: state.WorkflowSpec{ID: "w", MaxAttempts: 2, Steps: steps}}).Code).To(Equal(state.CodeOK))
}

func (w *workflows) start(task int, run uint64, worker string) {
	w.apply(state.RecordTasks{Starts: []state.TaskStart{{Workflow: "w", Task: task, Run: run, Worker: worker}}})
}

func (w *workflows) end(task int, run uint64, o state.TaskOutcome, checkpoint string) {
	w.apply(state.RecordTasks{Ends: []state.TaskEnd{{Workflow: "w", Task: task, Run: run, Outcome: o, Checkpoint: checkpoint}}})
}

func (w *workflows) get() *state.Workflow {
	one, ok := w.s.Workflows.Get("w")
	w.Expect(ok).To(BeTrue())
	return one
}

// Guards against a run number that is used twice, and against a start of a
// task that has a run.
func TestRunNumbersOnlyRise(t *testing.T) {
	w := newWorkflows(t)
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

// Guards against a task that runs again although an earlier run, given up
// meanwhile, turned out to be done.
func TestDoneRunCountsAfterALaterOneWasStarted(t *testing.T) {
	w := newWorkflows(t)
	w.submit(state.WorkflowStep{Count: 1})
	w.start(0, 1, "a")
	w.end(0, 1, state.OutcomeLost, "")
	w.start(0, 2, "b")
	w.end(0, 1, state.OutcomeDone, "")
	w.Expect(w.get().Phase).To(Equal(state.WorkflowCompleted))
}

// Guards against attempts that are counted for lost runs, or not counted.
func TestWorkflowFailsAfterItsAttempts(t *testing.T) {
	w := newWorkflows(t)
	w.submit(state.WorkflowStep{Count: 2})
	for run, o := range []state.TaskOutcome{state.OutcomeLost, state.OutcomeFailed, state.OutcomeLost, state.OutcomeFailed} {
		w.Expect(w.get().Phase.Ended()).To(BeFalse())
		w.start(1, uint64(run+1), "a")
		w.end(1, uint64(run+1), o, "")
	}
	w.Expect(w.get().Phase).To(Equal(state.WorkflowFailed))
	w.Expect(w.get().Tasks).To(BeEmpty())
}

// Guards against a failed run that isn't counted because it was given up
// before its end was seen, and against one that is counted twice.
func TestFailedRunCountsOnceAlsoIfGivenUp(t *testing.T) {
	w := newWorkflows(t)
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

// Guards against a gang that uses up its attempts with one run, because each
// of its members failed.
func TestGangFailsOncePerRun(t *testing.T) {
	w := newWorkflows(t)
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

// Guards against a serving task that is given up or taken for completed.
func TestLongRunningTaskStartsAgainHoweverItEnds(t *testing.T) {
	w := newWorkflows(t)
	w.submit(state.WorkflowStep{Count: 1, LongRunning: true})
	for run, o := range []state.TaskOutcome{state.OutcomeFailed, state.OutcomeFailed, state.OutcomeDone, state.OutcomeLost} {
		w.start(0, uint64(run+1), "a")
		w.end(0, uint64(run+1), o, "")
		w.Expect(w.get().Phase).To(Equal(state.WorkflowActive))
		w.Expect(w.get().Tasks[0].Phase).To(Equal(state.TaskWaiting))
	}
}

// Guards against a gang whose members end at different times.
func TestGangIsDoneTogether(t *testing.T) {
	w := newWorkflows(t)
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
// other content under the version in force.
func TestQueuesTakeOnlyHigherVersions(t *testing.T) {
	w := newWorkflows(t)
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

// Guards against a late report of an earlier life of a worker that replaces
// the later one, or removes it.
func TestEarlierLifeOfAWorkerChangesNothing(t *testing.T) {
	w := newWorkflows(t)
	life := func(born int64) state.PoolWorker { return state.PoolWorker{ID: "a", Born: born} }
	w.apply(state.SetPoolWorkers{Workers: []state.PoolWorker{life(20)}})
	w.apply(state.SetPoolWorkers{Workers: []state.PoolWorker{life(10)}})
	w.apply(state.SetPoolWorkers{Gone: []state.PoolWorker{life(10)}})
	got, ok := w.s.PoolWorkers.Get("a")
	w.Expect(ok).To(BeTrue())
	w.Expect(got.Born).To(Equal(int64(20)))
}

// Guards against a snapshot that loses part of what workflows need.
func TestSnapshotKeepsWorkflows(t *testing.T) {
	w := newWorkflows(t)
	w.submit(state.WorkflowStep{Count: 2, Image: "x", DependsOn: nil})
	w.start(0, 1, "a")
	w.apply(state.SubmitWorkflow{Spec: state.WorkflowSpec{ID: "v", Steps: []state.WorkflowStep{{Count: 1}}}})
	w.apply(state.CancelWorkflow{ID: "v"})
	w.apply(state.SetQueues{Config: state.QueueConfig{Version: 7, Source: []byte("{}")}})
	w.apply(state.SetPoolWorkers{Workers: []state.PoolWorker{{ID: "a", Born: 1, Zone: "z"}}})
	w.apply(state.SetEvacuation{Zone: "z", Out: true})
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
	w.Expect(got.ZoneEvacuated("z")).To(BeTrue())
}

// Guards against any order of starts and ends, late and repeated, that makes
// two runs current or lets a run number or a count of failures go back.
func TestRandomRecordsKeepTheirInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := &workflows{NewWithT(rt), state.New()}
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

// Guards against estimates that a new leader or a replica with a snapshot lacks.
func TestPressuresAreInSnapshots(t *testing.T) {
	w := newWorkflows(t)
	saved := state.SetPressures{
		Images: []state.ServingImage{{
			Image: "s", FloorMillis: 12, Load: 0.4, Pressures: []state.ImagePressure{{Leftover: "l", Value: 1.5}},
		}},
	}
	w.apply(saved)
	snapshot, err := w.s.EncodeSnapshot()
	w.Expect(err).NotTo(HaveOccurred())
	got, err := state.DecodeSnapshot(snapshot)
	w.Expect(err).NotTo(HaveOccurred())
	w.Expect(got.Pressures).To(Equal(&saved))
}

// Guards against a submission whose tasks overflow when they are counted: it
// passed the bound, and every replica that applied it ended.
func TestTasksBeyondAnyCountAreRefused(t *testing.T) {
	w := newWorkflows(t)
	const quarter = 1 << 62 // of the numbers of an int
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

// Guards against a life of a worker that is back after it left, or that no
// longer drains, since a report from before was delayed; also from a snapshot.
func TestLifeThatLeftStaysAway(t *testing.T) {
	w := newWorkflows(t)
	report := func(born int64, draining bool) {
		w.apply(state.SetPoolWorkers{Workers: []state.PoolWorker{{ID: "a", Born: born, Draining: draining}}})
	}
	known := func() *state.PoolWorker {
		one, _ := w.s.PoolWorkers.Get("a")
		return one
	}
	report(5, true)
	report(5, false)
	w.Expect(known().Draining).To(BeTrue())
	w.apply(state.SetPoolWorkers{Gone: []state.PoolWorker{{ID: "a", Born: 5}}})
	data, err := w.s.EncodeSnapshot()
	w.Expect(err).NotTo(HaveOccurred())
	w.s, err = state.DecodeSnapshot(data)
	w.Expect(err).NotTo(HaveOccurred())
	report(5, false)
	w.Expect(known()).To(BeNil())
	report(6, false)
	w.Expect(known().Draining).To(BeFalse())
	// One that did not drain may come back: it was only silent.
	w.apply(state.SetPoolWorkers{Gone: []state.PoolWorker{{ID: "a", Born: 6}}})
	report(6, false)
	w.Expect(known()).NotTo(BeNil())
}

// Guards against a long-running task that counts as ended anew with each start
// that a worker refused, or whose last end is forgotten by a later start.
func TestLastEndOfALongRunningTaskIsKept(t *testing.T) {
	w := newWorkflows(t)
	w.submit(state.WorkflowStep{Count: 1, LongRunning: true}, state.WorkflowStep{Count: 1})
	void := func(run uint64) {
		w.apply(state.RecordTasks{Ends: []state.TaskEnd{{Workflow: "w", Run: run, Outcome: state.OutcomeLost, Void: true}}})
	}
	w.start(0, 1, "a")
	void(1)
	w.Expect(w.get().Tasks[0]).To(Equal(state.WorkflowTask{Run: 1}))
	for run, o := range []state.TaskOutcome{state.OutcomeLost, state.OutcomeFailed, state.OutcomeDone} {
		w.start(0, uint64(2*run+2), "a")
		w.end(0, uint64(2*run+2), o, "")
		ended := w.s.Time
		w.Expect(w.get().Tasks[0].EndedAt).To(Equal(ended))
		w.start(0, uint64(2*run+3), "b")
		void(uint64(2*run + 3))
		w.Expect(w.get().Tasks[0]).To(Equal(state.WorkflowTask{Run: uint64(2*run + 3), EndedAt: ended}))
	}
	w.start(1, 1, "a")
	w.end(1, 1, state.OutcomeLost, "")
	w.Expect(w.get().Tasks[1]).To(Equal(state.WorkflowTask{Run: 1}), "only serving tasks are judged by it")
}
