package placement_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/placement"
	"apricotrouter/state"
)

// cluster applies plans and simulates the instances that have worker sessions.
type cluster struct {
	g Gomega
	*state.State
	now     int64
	obs     placement.Observations
	planner *placement.Planner
}

func newCluster(g Gomega) *cluster {
	c := &cluster{g: g, State: state.New(), now: 1_000_000, planner: placement.New(placement.Options{})}
	c.apply(state.RegisterInstance{Instance: state.Instance{ID: "i1", Zone: "a", InstanceStart: 1}})
	return c
}

func (c *cluster) apply(b state.Body) state.Result {
	cmd := state.NewCommand(b)
	cmd.Time = c.now
	var r state.Result
	c.State, r = c.Apply(c.Index+1, cmd)
	return r
}

func (c *cluster) ok(b state.Body) {
	c.g.ExpectWithOffset(1, c.apply(b).Code).To(Equal(state.CodeOK))
}

func (c *cluster) worker(id, zone string, capacity state.Resources) {
	c.ok(state.RegisterWorker{ID: id, Zone: zone, Rack: zone + "-r", Capacity: capacity})
	c.ok(state.Assign{Changes: []state.OwnerChange{{Kind: state.AssignWorker, ID: id, To: "i1"}}})
}

func (c *cluster) job(id, team string, p state.Priority, tasks int64, r state.Resources, seconds int64) {
	c.ok(state.SubmitJob{Spec: state.JobSpec{
		ID: id, Team: team, Class: "class-" + id, Priority: p, Tasks: tasks, Resources: r, ExpectedSeconds: seconds,
	}})
}

// plan makes a plan and applies it. Every command must be accepted in full,
// because nothing has changed since the plan was made.
func (c *cluster) plan() []state.Body {
	bodies := c.planner.Plan(c.State, c.obs, c.now)
	for _, b := range bodies {
		r := c.apply(b)
		c.g.ExpectWithOffset(1, r.Code).To(Equal(state.CodeOK), "%T: %s", b, r.Message)
		c.g.ExpectWithOffset(1, r.Message).To(BeEmpty(), "%T", b)
	}
	return bodies
}

// checkDeterministic checks that a plan depends only on its arguments.
func (c *cluster) checkDeterministic() {
	first := c.planner.Plan(c.State, c.obs, c.now)
	c.g.ExpectWithOffset(1, c.planner.Plan(c.State, c.obs, c.now)).To(Equal(first))
}

func (c *cluster) report(t *state.Task, ev state.TaskEvent) {
	a := c.Assignment(state.AssignWorker, t.Worker)
	c.apply(state.ReportTasks{Worker: t.Worker, Fence: a.Fence, Reports: []state.TaskReport{
		{Task: t.ID, Incarnation: t.Incarnation, Event: ev, Checkpoint: "c", Reason: "test"},
	}})
}

// reportTransitions reports all starts and stops that the state requests.
func (c *cluster) reportTransitions() {
	for _, t := range c.tasks(state.PhaseStarting) {
		c.report(t, state.EventStarted)
	}
	for _, t := range c.tasks(state.PhaseStopping) {
		c.report(t, state.EventStopped)
	}
}

// passes runs n placement passes and reports the transitions of each, one
// second apart.
func (c *cluster) passes(n int) {
	for range n {
		c.checkDeterministic()
		c.plan()
		c.reportTransitions()
		c.now += 1000
	}
}

func (c *cluster) tasks(phase state.TaskPhase) []*state.Task {
	var all []*state.Task
	for _, t := range c.Tasks.All() {
		if t.Phase == phase {
			all = append(all, t)
		}
	}
	return all
}

func (c *cluster) zone(name string, drained bool) {
	z, _ := c.Zones.Get(name)
	c.ok(state.SetZone{Name: name, Out: drained, ExpectedVersion: z.Version})
}

func (c *cluster) runningIn(zone string, kind state.TaskKind) int {
	n := 0
	for _, t := range c.tasks(state.PhaseRunning) {
		if w, _ := c.Workers.Get(t.Worker); w.Zone == zone && t.Kind == kind {
			n++
		}
	}
	return n
}

func cores(n int64) state.Resources { return state.Resources{MilliCPU: n * 1000, MemoryMiB: n * 1000} }

// Guards against work that remains pending although there is free capacity for
// it.
func TestPendingWorkIsPlaced(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(g)
	for i := range 4 {
		c.worker(fmt.Sprint("w", i), []string{"a", "b"}[i%2], cores([]int64{64, 8, 8, 8}[i]))
	}
	c.ok(state.ApplyService{Spec: state.ServiceSpec{Name: "s", Replicas: 4, Resources: cores(2)}})
	c.passes(2)
	c.job("j", "", state.PriorityNormal, 20, cores(1), 10)
	c.passes(1)
	g.Expect(c.tasks(state.PhasePending)).To(BeEmpty())
	g.Expect(c.runningIn("a", state.KindLatencyCritical)).To(Equal(2))
	for w := range c.Workers.All() {
		n := 0
		for task := range c.TasksOnWorker(w) {
			if task.Kind == state.KindLatencyCritical {
				n++
			}
		}
		g.Expect(n).To(Equal(1), "replicas on %s", w)
	}
}
