package state_test

import (
	"strconv"
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/state"
)

func submission(tenant, id string) state.SubmitWorkflow {
	return state.SubmitWorkflow{Spec: state.WorkflowSpec{ID: id, Tenant: tenant, Steps: []state.WorkflowStep{{Count: 1}}}}
}

// Guards against a submission that is stored after its cancellation was
// acknowledged, because a copy arrives late, also by a replica that restored a
// snapshot; and against a cancellation that lasts for ever or applies to others.
func TestCancelledSubmissionIsNotStoredWhenItArrives(t *testing.T) {
	w := newHarness(t)
	cancel := state.CancelWorkflow{ID: "w", ForMillis: 20, Tenant: "a", OnlyOwn: true}
	w.Expect(w.apply(cancel).Code).To(Equal(state.CodeNotFound))
	w.Expect(w.apply(cancel).Code).To(Equal(state.CodeNotFound))
	until := w.s.Time + cancel.ForMillis // the second one extends the first
	data, err := w.s.EncodeSnapshot()
	w.Expect(err).NotTo(HaveOccurred())
	w.s, err = state.DecodeSnapshot(data)
	w.Expect(err).NotTo(HaveOccurred())
	for w.s.Time+1 < until {
		r := w.apply(submission("a", "w"))
		w.Expect(r.Code).To(Equal(state.CodeRefused))
		w.Expect(r.ObjectVersion).To(BeEquivalentTo(until))
	}
	w.Expect(w.s.Workflows.Len()).To(BeZero())
	w.Expect(w.apply(submission("b", "w")).Code).To(Equal(state.CodeOK), "the submission of another tenant")
	w.Expect(w.apply(cancel).Code).To(Equal(state.CodeNotFound))
	w.Expect(w.get().Phase).To(Equal(state.WorkflowQueued), "the workflow of another tenant")
	w.Expect(w.apply(state.CancelWorkflow{ID: "x", ForMillis: 2}).Code).To(Equal(state.CodeNotFound))
	w.apply(state.CancelWorkflow{ID: "none"})
	w.Expect(w.apply(submission("", "x")).Code).To(Equal(state.CodeOK), "the cancellation has ended")
}

// Guards against clients whose cancellations of unknown workflows use up the
// memory of the replicas, push out those of other clients, or keep stored
// workflows from being cancelled.
func TestCancellationsOfUnknownWorkflowsAreBounded(t *testing.T) {
	w := newHarness(t)
	w.Expect(w.apply(submission("", "stored")).Code).To(Equal(state.CodeOK))
	const duration = state.MaxCancelledSubmissions + 1000
	for i := range state.MaxCancelledSubmissions {
		w.Expect(w.apply(state.CancelWorkflow{ID: strconv.Itoa(i), ForMillis: duration}).Code).To(Equal(state.CodeNotFound))
	}
	w.Expect(w.apply(state.CancelWorkflow{ID: "x", ForMillis: duration}).Code).To(Equal(state.CodeConflict))
	w.Expect(w.apply(state.CancelWorkflow{ID: "0", ForMillis: duration}).Code).To(Equal(state.CodeNotFound), "it is remembered already")
	w.Expect(w.apply(submission("", "0")).Code).To(Equal(state.CodeRefused))
	w.Expect(w.apply(state.CancelWorkflow{ID: "stored", ForMillis: duration}).Code).To(Equal(state.CodeOK))
	w.s.Time += duration
	w.Expect(w.apply(state.CancelWorkflow{ID: "x", ForMillis: duration}).Code).To(Equal(state.CodeNotFound))
	w.Expect(w.s.CancelledSubmissions.Len()).To(Equal(1), "those that have ended are removed")
}
