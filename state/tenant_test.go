package state_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"apricotrouter/state"
)

func setTenants(w *harness, version uint64, names ...string) []state.Tenant {
	cfg := state.QueueConfig{Version: version}
	for _, n := range names {
		cfg.Tenants = append(cfg.Tenants, state.Tenant{Name: n, Keys: [][]byte{{1}}, Weight: 1, Cap: state.Resources{MilliCPU: 5}})
	}
	w.Expect(w.apply(state.SetQueues{Config: cfg}).Code).To(Equal(state.CodeOK))
	return w.s.Queues.FormerTenants
}

// Guards against the cap of a removed tenant that is lost while its work is open,
// or kept for ever.
func TestRemovedTenantsAreKeptWhileTheyHaveWork(t *testing.T) {
	w := newHarness(t)
	w.Expect(setTenants(w, 1, "a", "b", "c")).To(BeEmpty())
	w.apply(state.SubmitWorkflow{Spec: state.WorkflowSpec{ID: "w", Tenant: "a", Steps: []state.WorkflowStep{{Count: 1}}}})
	former := []state.Tenant{{Name: "a", Weight: 1, Cap: state.Resources{MilliCPU: 5}}}
	w.Expect(setTenants(w, 2, "c")).To(Equal(former))
	w.Expect(setTenants(w, 3, "c")).To(Equal(former))
	data, err := w.s.EncodeSnapshot()
	w.Expect(err).NotTo(HaveOccurred())
	w.s, err = state.DecodeSnapshot(data)
	w.Expect(err).NotTo(HaveOccurred())
	w.Expect(w.s.Queues.FormerTenants).To(Equal(former))
	w.Expect(setTenants(w, 4, "a", "c")).To(BeEmpty())
	w.Expect(setTenants(w, 5, "c")).To(Equal(former))
	w.apply(state.CancelWorkflow{ID: "w"})
	w.Expect(setTenants(w, 6, "c")).To(BeEmpty())
}

// Guards against runs of an ended workflow that a new leader can't count.
func TestEndedWorkflowKeepsTheSizeOfItsRuns(t *testing.T) {
	for tenant, want := range map[string]state.Resources{"a": {MilliCPU: 30, MemoryMiB: 3}, "": {}} {
		w := newHarness(t)
		w.apply(state.SubmitWorkflow{Spec: state.WorkflowSpec{ID: "w", Tenant: tenant, Steps: []state.WorkflowStep{
			{Count: 2, Size: state.Resources{MilliCPU: 10, MemoryMiB: 1}}, {Count: 2, Size: state.Resources{MilliCPU: 20, MemoryMiB: 2}, BestEffort: true},
		}}})
		for _, task := range []int{0, 1, 2} {
			w.start(task, 1, "a")
		}
		w.end(1, 1, state.OutcomeDone, "")
		w.apply(state.CancelWorkflow{ID: "w"})
		w.Expect(w.get().RunningAtEnd).To(Equal(want))
		w.Expect(w.get().Spec.Tenant).To(Equal(tenant))
	}
}

// Guards against log entries without tenants that differ from those of earlier
// versions.
func TestFieldsOfTenantsAreOptional(t *testing.T) {
	g := NewWithT(t)
	keys := func(v any) []uint64 {
		data, err := cbor.Marshal(v)
		g.Expect(err).NotTo(HaveOccurred())
		var fields map[uint64]cbor.RawMessage
		g.Expect(cbor.Unmarshal(data, &fields)).To(Succeed())
		var all []uint64
		for k := range fields {
			all = append(all, k)
		}
		return all
	}
	g.Expect(keys(state.QueueConfig{})).To(HaveLen(4))
	g.Expect(keys(state.WorkflowQueue{})).To(HaveLen(10))
	g.Expect(keys(state.WorkflowSpec{})).To(HaveLen(9))
	g.Expect(keys(state.Workflow{})).To(HaveLen(3))
}
