package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"apricotrouter/placement"
	"apricotrouter/replica"
	"apricotrouter/state"
)

// Guards against overdue tasks of one pool for which nothing is set aside, because
// capacity is set aside for a task of another pool.
func TestReservationsOfOnePoolDoNotCountInAnother(t *testing.T) {
	clock := clockwork.NewFakeClock()
	log := replica.NewFakeLog(clock)
	c := New(Options{Log: memoryLog{log}, Clock: clock, Limits: Limits{Heartbeat: 10 * time.Second}, Dial: func(state.PoolWorker) Worker { return unreachableWorker{} }})
	c.ctx = t.Context()
	c.workflows, c.sessions = make(map[string]*workflow), make(map[string]*session)
	c.poolDemand, c.pollDue = make(map[string]*poolDemand), make(map[*session]bool)
	c.suspects, c.reserved = make(map[*task]bool), make(map[*task]bool)
	c.interference = placement.RestoreInterferenceModel(&state.SetInterference{})
	for _, name := range []string{"a", "b"} {
		spec := state.WorkflowSpec{ID: name, Pool: name, Steps: []state.WorkflowStep{{Count: 1, LongRunning: true, Size: state.Resources{MilliCPU: 3000, MemoryMiB: 1000}}}}
		if _, err := log.Propose(t.Context(), state.NewCommand(state.SubmitWorkflow{Spec: spec})); err != nil {
			t.Fatal(err)
		}
		w, _ := log.State().Workflows.Get(name)
		c.openWorkflow(w)
		for i := range 8 {
			s := c.openSession(state.PoolWorker{ID: fmt.Sprint(name, i), Pool: name, Capacity: state.Resources{MilliCPU: 16_000, MemoryMiB: 64_000}}, true)
			s.polled, s.lastHeartbeat = true, c.now()
		}
	}
	pools := c.pools(c.now())
	for _, name := range []string{"a", "b"} {
		task := c.workflows[name].tasks[0]
		c.reserveCapacity(task, pools[name], 10_000)
		if task.reservedOn == nil {
			t.Errorf("no capacity is set aside in pool %s", name)
		}
	}
}
