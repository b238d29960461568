package fleet

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"apricotrouter/admission"
	"apricotrouter/placement"
	"apricotrouter/state"
)

// newWaitingWorkflow adds a workflow of one step with ready best-effort tasks.
func newWaitingWorkflow(c *Controller, id string, tasks int, mod func(*state.WorkflowStep)) *workflow {
	step := state.WorkflowStep{Count: tasks, Size: state.Resources{MilliCPU: 1000}, EstimateMillis: 500, BestEffort: true}
	mod(&step)
	spec := &state.WorkflowSpec{ID: id, Pool: "pool", Queue: "queue", MaxSlowdown: 2, ObjectiveMillis: 1000, Steps: []state.WorkflowStep{step}}
	c.openWorkflow(&state.Workflow{Spec: *spec, SubmittedAt: c.opts.Clock.Now().UnixMilli(), Tasks: make([]state.WorkflowTask, tasks)})
	return c.workflows[id]
}

// Guards against ranks where everything fits, against serving workflows with a
// rank, and against a new workflow that precedes one in progress.
func TestRanksFollowThePressure(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{Clock: clockwork.NewFakeClock()})
	c.workflows, c.poolDemand = make(map[string]*workflow), make(map[string]*poolDemand)
	c.queues, c.shortPools = make(map[string]*admission.QueueStats), make(map[string]time.Duration)
	c.sessions, c.suspects = make(map[string]*session), make(map[*task]bool)
	newWaitingWorkflow(c, "new", 4, func(*state.WorkflowStep) {})
	begun := newWaitingWorkflow(c, "begun", 8, func(*state.WorkflowStep) {})
	c.recordBegun(begun)
	newWaitingWorkflow(c, "serving", 1, func(s *state.WorkflowStep) { s.LongRunning, s.BestEffort = true, false })
	ranks := func(idle int64) map[string]int {
		p := newPool(1)
		p.workers = append(p.workers, &placement.WorkerCapacity{IdleCPU: idle, Free: state.Resources{MilliCPU: idle}})
		waiting := c.waitingJobs()
		c.rankJobs(c.now(), waiting, map[string]*pool{"pool": p})
		byID := make(map[string]int)
		for _, j := range waiting {
			byID[j.ID] = j.Rank
		}
		return byID
	}
	g.Expect(ranks(12_000)).To(Equal(map[string]int{"new": 0, "begun": 0, "serving": 0}))
	g.Expect(ranks(11_000)).To(Equal(map[string]int{"begun": 1, "new": 2, "serving": 0}))
	g.Expect(c.shortPools).To(HaveKey("pool"))
}
