package fleet

import (
	"testing"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"apricotrouter/replica"
	"apricotrouter/state"
)

// memoryLog is a log with one replica.
type memoryLog struct{ *replica.FakeLog }

// Guards against a second run of a task. An entry of an earlier activation,
// whose commit had an unknown outcome, is applied after the state was reloaded
// and records the same run for another worker.
func TestStartRecordedForAnotherWorkerIsNotSent(t *testing.T) {
	g := NewWithT(t)
	log := replica.NewFakeLog(clockwork.NewRealClock())
	apply := func(b state.Body) {
		_, err := log.Propose(t.Context(), state.NewCommand(b))
		g.Expect(err).NotTo(HaveOccurred())
	}
	c := New(Options{Log: memoryLog{log}, Dial: func(state.PoolWorker) Worker { return unreachableWorker{} }})
	c.ctx = t.Context()
	c.workflows, c.sessions = make(map[string]*workflow), make(map[string]*session)
	c.pollDue = make(map[*session]bool)
	size := state.Resources{MilliCPU: 1000}
	earlier := c.openSession(state.PoolWorker{ID: "earlier", Capacity: size}, true)
	later := c.openSession(state.PoolWorker{ID: "later", Capacity: size}, true)
	apply(state.SubmitWorkflow{Spec: state.WorkflowSpec{ID: "w", Steps: []state.WorkflowStep{{Count: 1, Size: size}}}})
	w, _ := log.State().Workflows.Get("w")
	c.openWorkflow(w)

	a := c.place(c.workflows["w"].tasks[0], later, 1)
	earlierStart := state.TaskStart{Workflow: "w", Run: 1, Worker: "earlier"}
	apply(state.RecordTasks{Starts: []state.TaskStart{earlierStart}})
	apply(state.RecordTasks{Starts: []state.TaskStart{c.journal.starts[0].start}})
	c.startCommitted(log.State(), c.journal.starts[0])

	g.Expect(a.phase).To(Equal(attemptEnded), "the start must not be sent")
	g.Expect(later.attempts).To(BeEmpty())
	g.Expect(earlier.attempts).To(HaveLen(1), "the run is adopted on the worker for which it was recorded")
	g.Expect(c.workflows["w"].tasks[0].attempt.session).To(BeIdenticalTo(earlier))
}
