package state_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/state"
)

// Guards against a snapshot or a later record that loses where an unanswered start
// may still be carried out, and against a record that outlives its end.
func TestUnansweredStartIsRecordedUntilItIsSettled(t *testing.T) {
	w := newHarness(t)
	w.apply(state.SubmitWorkflow{Spec: state.WorkflowSpec{ID: "w", Steps: []state.WorkflowStep{{Count: 2, LongRunning: true}}}})
	w.apply(state.RecordTasks{Starts: []state.TaskStart{{Workflow: "w", Run: 1, Worker: "a"}, {Workflow: "w", Task: 1, Run: 1, Worker: "b"}}})
	w.apply(state.RecordTasks{Answered: []state.TaskRun{{Workflow: "w", Task: 1, Run: 1}, {Workflow: "w", Run: 2}, {Workflow: "w", Task: 7, Run: 1}, {Workflow: "none"}}})
	task := func(i int) state.WorkflowTask {
		f, ok := w.s.Workflows.Get("w")
		w.Expect(ok).To(BeTrue())
		return f.Tasks[i]
	}
	w.Expect(task(0).StartAnswered).To(BeFalse(), "the answer is to another run")
	w.Expect(task(1).StartAnswered).To(BeTrue())
	lost := func(task int, unanswered bool) state.TaskEnd {
		return state.TaskEnd{Workflow: "w", Task: task, Run: 1, Outcome: state.OutcomeLost, Unanswered: unanswered}
	}
	w.apply(state.RecordTasks{Ends: []state.TaskEnd{lost(0, true), lost(1, false)}})
	w.apply(state.RecordTasks{Starts: []state.TaskStart{{Workflow: "w", Run: 2, Worker: "a"}}})
	data, err := w.s.EncodeSnapshot()
	w.Expect(err).NotTo(HaveOccurred())
	w.s, err = state.DecodeSnapshot(data)
	w.Expect(err).NotTo(HaveOccurred())
	w.Expect(task(0).UnansweredOn).To(Equal("a"))
	w.Expect(task(1).UnansweredOn).To(BeEmpty())
	w.Expect(task(1).StartAnswered).To(BeFalse(), "the run has ended")
	w.apply(state.RecordTasks{
		Settled: []state.TaskRun{{Workflow: "w", Run: 1}, {Workflow: "w", Task: 7}, {Workflow: "none"}},
		Ends:    []state.TaskEnd{{Workflow: "w", Run: 2, Outcome: state.OutcomeLost, Unanswered: true}},
	})
	w.Expect(task(0).UnansweredOn).To(Equal("a"), "the record of an earlier start does not settle a later one")
	w.apply(state.RecordTasks{Settled: []state.TaskRun{{Workflow: "w", Run: 2}}})
	w.Expect(task(0).UnansweredOn).To(BeEmpty())
}
