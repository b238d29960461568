package state_test

import (
	"strconv"
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/state"
)

// Guards against a refused submission that is stored later, also by a replica that
// restored a snapshot, against the refusal of one that is stored, and against a
// refusal that lasts for ever.
func TestRefusedSubmissionIsNotStoredUntilTheRefusalEnds(t *testing.T) {
	w := newHarness(t)
	spec := state.SubmitWorkflow{Spec: state.WorkflowSpec{ID: "w", Steps: []state.WorkflowStep{{Count: 1}}}}
	first := w.apply(state.RefuseWorkflow{ID: "w", ForMillis: 10})
	w.Expect(first.Code).To(Equal(state.CodeRefused))
	again := w.apply(state.RefuseWorkflow{ID: "w", ForMillis: 1000})
	w.Expect(again.ObjectVersion).To(Equal(first.ObjectVersion), "a second refusal does not extend the first")
	data, err := w.s.EncodeSnapshot()
	w.Expect(err).NotTo(HaveOccurred())
	w.s, err = state.DecodeSnapshot(data)
	w.Expect(err).NotTo(HaveOccurred())
	for w.s.Time+1 < int64(first.ObjectVersion) {
		w.Expect(w.apply(spec).Code).To(Equal(state.CodeRefused))
		w.Expect(w.s.Workflows.Len()).To(BeZero())
	}
	w.Expect(w.apply(spec).Code).To(Equal(state.CodeOK))
	w.Expect(w.apply(state.RefuseWorkflow{ID: "w", ForMillis: 10}).Code).To(Equal(state.CodeConflict))
	w.Expect(w.s.RefusedWorkflows.Len()).To(BeZero())
}

// Guards against refusals that use up the memory of the replicas.
func TestRefusalsAreBounded(t *testing.T) {
	w := newHarness(t)
	for i := range state.MaxRefusedWorkflows {
		w.Expect(w.apply(state.RefuseWorkflow{ID: strconv.Itoa(i), ForMillis: state.MaxRefusedWorkflows + 1}).Code).To(Equal(state.CodeRefused))
	}
	w.Expect(w.apply(state.RefuseWorkflow{ID: "x", ForMillis: 10}).Code).To(Equal(state.CodeConflict))
	w.apply(state.CancelWorkflow{ID: "none"})
	w.Expect(w.apply(state.RefuseWorkflow{ID: "x", ForMillis: 10}).Code).To(Equal(state.CodeRefused), "the first refusal has ended")
}
