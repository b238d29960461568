package fleet_test

import (
	"crypto/sha256"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/fleet"
	"apricotrouter/replica"
	"apricotrouter/standin/pool"
	"apricotrouter/state"
)

func keyHash(key string) []byte {
	h := sha256.Sum256([]byte(key))
	return h[:]
}

const openPath = "/open/"

// tenantConfig is a configuration with one queue that requires a key, one that
// does not, and tenants with a key of their name.
func tenantConfig(version uint64, names ...string) *state.QueueConfig {
	cfg := &state.QueueConfig{Version: version, Source: []byte("{}"), Pools: []state.Pool{{Name: "pool", EnforcesCapacity: true}}}
	for prefix, anonymous := range map[string]bool{"/jobs/": false, openPath: true} {
		cfg.Queues = append(cfg.Queues, state.WorkflowQueue{
			Name: strings.Trim(prefix, "/"), Host: host, PathPrefix: prefix, Pool: "pool", MaxAttempts: 2, MaxSlowdown: 2,
			ObjectiveMillis: 1000, TimeoutMillis: 3000, Anonymous: anonymous,
		})
	}
	for _, n := range names {
		cfg.Tenants = append(cfg.Tenants, state.Tenant{Name: n, Keys: [][]byte{keyHash(n)}, Weight: 1})
	}
	return cfg
}

func (h *harness) setConfig(cfg *state.QueueConfig) {
	h.t.Helper()
	h.Expect(h.call(&fleet.Request{Op: fleet.OpSetQueues, Queues: cfg}).Outcome).To(Equal(fleet.OutcomeDone))
}

// callAs makes a client call with a key; "" means none.
func (h *harness) callAs(key string, op fleet.Op, path string) fleet.Outcome {
	req := &fleet.Request{Op: op, Host: host, Path: path, Workflow: &state.WorkflowSpec{Tenant: "forged", Steps: []state.WorkflowStep{step(1)}}}
	if key != "" {
		req.Key = keyHash(key)
	}
	return h.call(req).Outcome
}

// Guards against calls without a valid key that are carried out, and against
// valid calls that are refused.
func TestCallsNeedTheKeyOfATenant(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w", pool.Options{RunTime: runForever})
	const id, path = "00000000000000a1", "/jobs/00000000000000a1"
	h.Expect(h.callAs("x", fleet.OpSubmit, "/jobs/00000000000000a0")).To(Equal(fleet.OutcomeDone), "keys are ignored without tenants")
	h.setConfig(tenantConfig(2, "a", "b"))
	for _, op := range []fleet.Op{fleet.OpSubmit, fleet.OpStatus, fleet.OpCancel} {
		for _, key := range []string{"", "x"} {
			h.Expect(h.callAs(key, op, path)).To(Equal(fleet.OutcomeUnauthorized), "%s with %q", op, key)
			h.Expect(h.callAs(key, op, "/none/"+id)).To(Equal(fleet.OutcomeUnauthorized), "%s with %q", op, key)
		}
	}
	h.Expect(h.callAs("", fleet.OpStatus, "/jobs/")).To(Equal(fleet.OutcomeUnauthorized))
	_, stored := h.log.State().Workflows.Get(id)
	h.Expect(stored).To(BeFalse())
	h.Expect(h.callAs("a", fleet.OpStatus, "/none/"+id)).To(Equal(fleet.OutcomeNotFound))
	h.Expect(h.callAs("a", fleet.OpSubmit, path)).To(Equal(fleet.OutcomeDone))
	w, _ := h.log.State().Workflows.Get(id)
	h.Expect(w.Spec.Tenant).To(Equal("a"))
	h.Expect(h.callAs("b", fleet.OpStatus, "/jobs/")).To(Equal(fleet.OutcomeDone))
	// Work that was submitted before there were tenants has no owner.
	h.Expect(h.callAs("b", fleet.OpCancel, "/jobs/00000000000000a0")).To(Equal(fleet.OutcomeDone))
}

// Guards against a tenant that sees or cancels the work of another, or that gets
// the work of another as the result of its own submission.
func TestTenantsDoNotAccessEachOthersWork(t *testing.T) {
	h := newHarness(t)
	h.setConfig(tenantConfig(2, "a", "b"))
	const path, open = "/jobs/00000000000000a1", openPath + "00000000000000a2"
	h.Expect(h.callAs("a", fleet.OpSubmit, path)).To(Equal(fleet.OutcomeDone))
	h.Expect(h.callAs("a", fleet.OpSubmit, open)).To(Equal(fleet.OutcomeDone))
	for _, op := range []fleet.Op{fleet.OpStatus, fleet.OpCancel} {
		h.Expect(h.callAs("b", op, path)).To(Equal(fleet.OutcomeGone))
		h.Expect(h.callAs("b", op, open)).To(Equal(fleet.OutcomeGone))
		h.Expect(h.callAs("", op, open)).To(Equal(fleet.OutcomeGone), "a tenant must not get access by a call without its key")
		h.Expect(h.callAs("a", op, "/jobs/00000000000000ff")).To(Equal(fleet.OutcomeGone))
	}
	h.Expect(h.callAs("b", fleet.OpSubmit, path)).To(Equal(fleet.OutcomeInvalid))
	h.Expect(h.callAs("a", fleet.OpSubmit, path)).To(Equal(fleet.OutcomeDone))
	h.Expect(h.callAs("a", fleet.OpStatus, path)).To(Equal(fleet.OutcomeDone))
	h.Expect(h.callAs("a", fleet.OpCancel, open)).To(Equal(fleet.OutcomeDone))
	w, _ := h.log.State().Workflows.Get("00000000000000a2")
	h.Expect(w.Phase).To(Equal(state.WorkflowCancelled))
}

// Guards against anonymous work that its caller can't reach any more, and
// against an unknown key that is refused where keys are optional.
func TestQueuesThatAllowAnonymousCalls(t *testing.T) {
	h := newHarness(t)
	h.setConfig(tenantConfig(2, "a"))
	const path = openPath + "00000000000000a3"
	h.Expect(h.callAs("x", fleet.OpSubmit, path)).To(Equal(fleet.OutcomeDone))
	w, _ := h.log.State().Workflows.Get("00000000000000a3")
	h.Expect(w.Spec.Tenant).To(BeEmpty())
	for _, key := range []string{"", "x", "y", "a"} {
		h.Expect(h.callAs(key, fleet.OpStatus, path)).To(Equal(fleet.OutcomeDone), key)
		h.Expect(h.callAs(key, fleet.OpSubmit, path)).To(Equal(fleet.OutcomeDone), key)
	}
	h.Expect(h.callAs("", fleet.OpCancel, path)).To(Equal(fleet.OutcomeDone))
	h.Expect(h.callAs("a", fleet.OpSubmit, openPath+"00000000000000a4")).To(Equal(fleet.OutcomeDone))
	w, _ = h.log.State().Workflows.Get("00000000000000a4")
	h.Expect(w.Spec.Tenant).To(Equal("a"))
	// After the key of a stored submission was removed, a resend succeeds.
	h.setConfig(tenantConfig(3, "b"))
	h.Expect(h.callAs("a", fleet.OpSubmit, openPath+"00000000000000a4")).To(Equal(fleet.OutcomeDone))
}

// Guards against keys that stay in force after a newer configuration removed
// them, or that an older configuration brings back.
func TestKeysFollowTheConfiguration(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w", pool.Options{RunTime: runForever})
	h.setConfig(tenantConfig(5, "a"))
	const path = "/jobs/00000000000000a5"
	h.Expect(h.callAs("a", fleet.OpSubmit, path)).To(Equal(fleet.OutcomeDone))
	h.setConfig(tenantConfig(6, "b"))
	h.setConfig(tenantConfig(5, "a"))
	h.Expect(h.callAs("a", fleet.OpStatus, path)).To(Equal(fleet.OutcomeUnauthorized))
	h.Expect(h.callAs("a", fleet.OpSubmit, "/jobs/00000000000000a6")).To(Equal(fleet.OutcomeUnauthorized))
	h.Expect(h.callAs("b", fleet.OpStatus, path)).To(Equal(fleet.OutcomeGone))
	bad := tenantConfig(7, "a", "c")
	bad.Tenants[1].Keys = bad.Tenants[0].Keys
	h.Expect(h.call(&fleet.Request{Op: fleet.OpSetQueues, Queues: bad}).Outcome).To(Equal(fleet.OutcomeInvalid))
	h.Expect(h.log.State().Queues.Version).To(BeEquivalentTo(6))
	// The work of a removed tenant continues.
	w, _ := h.log.State().Workflows.Get("00000000000000a5")
	h.Expect(w.Phase.Ended()).To(BeFalse())
	tooLarge := tenantConfig(8, "a")
	tooLarge.Source = make([]byte, replica.MaxCommandBytes+1)
	h.log.SetError(replica.ErrTooLarge)
	h.Expect(h.call(&fleet.Request{Op: fleet.OpSetQueues, Queues: tooLarge}).Outcome).To(Equal(fleet.OutcomeInvalid))
}
