package state_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/state"
)

// machine is a state machine to which tests apply commands one by one.
type machine struct {
	*state.State
	now int64
}

func newMachine() *machine { return &machine{State: state.New(), now: 1000} }

func (m *machine) apply(c state.Command) state.Result {
	m.now += 10
	c.Time = m.now
	var r state.Result
	m.State, r = m.Apply(m.Index+1, c)
	return r
}

func (m *machine) do(b state.Body) state.Result { return m.apply(state.NewCommand(b)) }

func size(mcpu, mib int64) state.Resources {
	return state.Resources{MilliCPU: mcpu, MemoryMiB: mib}
}

// withWorkers returns a machine with one entry instance that owns the workers.
func withWorkers(g Gomega, ids ...string) *machine {
	m := newMachine()
	m.do(state.RegisterInstance{Instance: state.Instance{ID: "i1", Zone: "a", InstanceStart: 1}})
	for _, id := range ids {
		g.Expect(m.do(state.RegisterWorker{ID: id, Zone: "a", Rack: "r", Address: id, Capacity: size(4000, 4000)}).Code).To(Equal(state.CodeOK))
		g.Expect(m.do(state.Assign{Changes: []state.OwnerChange{{Kind: state.AssignWorker, ID: id, To: "i1"}}}).Code).To(Equal(state.CodeOK))
	}
	return m
}

func (m *machine) fence(worker string) uint64 { return m.Assignment(state.AssignWorker, worker).Fence }

func (m *machine) place(task, worker string) state.Result {
	return m.do(state.PlaceTasks{Placements: []state.Placement{{Task: task, Worker: worker, Incarnation: m.Task(task).Incarnation + 1}}})
}

func (m *machine) report(task string, ev state.TaskEvent, checkpoint string) state.Result {
	t := m.Task(task)
	return m.do(state.ReportTasks{Worker: t.Worker, Fence: m.fence(t.Worker), Reports: []state.TaskReport{
		{Task: task, Incarnation: t.Incarnation, Event: ev, Checkpoint: checkpoint, Reason: "test"},
	}})
}

func job(id string, tasks int64, r state.Resources) state.SubmitJob {
	return state.SubmitJob{Spec: state.JobSpec{ID: id, Class: "c", Priority: state.PriorityNormal, Tasks: tasks, Resources: r}}
}

// Guards against tasks that are lost or counted twice between submission and
// completion.
func TestJobRunsToCompletion(t *testing.T) {
	g := NewWithT(t)
	m := withWorkers(g, "w1")
	g.Expect(m.do(job("j", 2, size(1000, 1000))).Code).To(Equal(state.CodeOK))
	for _, id := range []string{"j.0", "j.1"} {
		g.Expect(m.place(id, "w1").Code).To(Equal(state.CodeOK))
		m.report(id, state.EventStarted, "")
		g.Expect(m.Task(id).Phase).To(Equal(state.PhaseRunning))
		m.report(id, state.EventExited, "")
	}
	j, _ := m.Jobs.Get("j")
	g.Expect(j.Phase).To(Equal(state.JobCompleted))
	w, _ := m.Workers.Get("w1")
	g.Expect(w.Reserved).To(Equal(state.Resources{}))
}
