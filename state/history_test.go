package state_test

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"apricotrouter/state"
)

// workerModel models the tasks that actually run on the workers in a random
// history. Tasks start and stop as an owner of the worker may start and stop
// them, regardless of how the state handles the reports.
type workerModel struct {
	running map[string]map[string]uint64 // incarnation by task and worker
	sent    []state.Command              // commands that may be resent
}

type history struct {
	*machine
	t        *rapid.T
	model    workerModel
	log      []state.Command
	requeues map[string]int // number of requeues by TASK@INCARNATION
	requests int
}

var (
	historyWorkers = []string{"w1", "w2", "w3"}
	historyJobs    = []string{"j1", "j2", "j3"}
	historyZones   = []string{"a", "b"}
)

func (h *history) applyAndCheck(c state.Command) state.Result {
	before := h.State
	h.now += rapid.Int64Range(0, 4000).Draw(h.t, "pause")
	c.Time = h.now
	h.log = append(h.log, c)
	r := h.apply(c)
	h.log[len(h.log)-1].Time = h.now
	h.check(before)
	return r
}

func (h *history) propose(b state.Body) state.Result {
	c := state.NewCommand(b)
	h.model.sent = append(h.model.sent, c)
	return h.applyAndCheck(c)
}

func (h *history) request(b state.Body) {
	h.requests++
	c := state.NewRequest(fmt.Sprintf("r%d", h.requests), "op", b)
	h.model.sent = append(h.model.sent, c)
	h.applyAndCheck(c)
}

// check fails the test if the state violates an invariant or a running task of
// the model has no reservation.
func (h *history) check(before *state.State) {
	for id, w := range h.Workers.All() {
		var sum state.Resources
		for t := range h.TasksOnWorker(id) {
			sum = sum.Add(t.Resources)
		}
		if sum != w.Reserved || !sum.FitsIn(w.Capacity) {
			h.t.Fatalf("worker %s: tasks declare %s, reserved %s, capacity %s", id, sum, w.Reserved, w.Capacity)
		}
	}
	for id, t := range h.Tasks.All() {
		if old := before.Task(id); old != nil {
			h.checkTransition(old, t)
		}
	}
	for id, on := range h.model.running {
		for w, incarnation := range on {
			t := h.Task(id)
			if t == nil || !t.HasReservation() || t.Worker != w || t.Incarnation != incarnation {
				h.t.Fatalf("task %s runs on %s in incarnation %d without a reservation", id, w, incarnation)
			}
		}
	}
	if err := state.CheckIndexes(h.State); err != nil {
		h.t.Fatal(err)
	}
	if h.Audit.Len() != h.requests {
		h.t.Fatalf("%d audit records for %d requests", h.Audit.Len(), h.requests)
	}
}

func (h *history) checkTransition(old, t *state.Task) {
	if t.Incarnation < old.Incarnation {
		h.t.Fatalf("incarnation of task %s decreased from %d to %d", t.ID, old.Incarnation, t.Incarnation)
	}
	if old.Ended() && !t.Ended() {
		h.t.Fatalf("task %s left final phase %s", t.ID, old.Phase)
	}
	requeued := old.HasReservation() && t.Phase == state.PhasePending
	if requeued {
		k := fmt.Sprintf("%s@%d", t.ID, t.Incarnation)
		if h.requeues[k]++; h.requeues[k] > 1 {
			h.t.Fatalf("%s was requeued twice", k)
		}
	}
	evicted := requeued && old.Phase == state.PhaseStopping && old.StopReason == state.StopEvict
	if (t.Evictions > old.Evictions) != evicted {
		h.t.Fatalf("task %s has %d evictions, had %d", t.ID, t.Evictions, old.Evictions)
	}
}

func (h *history) pick(label string, from []string) string {
	return rapid.SampledFrom(from).Draw(h.t, label)
}

func (h *history) anyTask() *state.Task {
	var ids []string
	for id := range h.Tasks.All() {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return &state.Task{ID: "none"}
	}
	return h.Task(h.pick("task", ids))
}

func (h *history) step() {
	switch rapid.IntRange(0, 15).Draw(h.t, "step") {
	case 0:
		h.request(state.SetZone{Name: h.pick("zone", historyZones), Out: rapid.Bool().Draw(h.t, "out"), ExpectedVersion: h.zoneVersion()})
	case 1:
		spec := state.JobSpec{
			ID: h.pick("job", historyJobs), Class: "c", Team: "t", Priority: state.PriorityNormal,
			Tasks: rapid.Int64Range(1, 3).Draw(h.t, "tasks"), Resources: size(rapid.Int64Range(500, 3000).Draw(h.t, "cpu"), 100),
		}
		h.request(state.SubmitJob{Spec: spec})
	case 2:
		h.request(state.CancelJobs{IDs: []string{h.pick("job", historyJobs)}})
	case 3:
		h.request(state.EvictTask{Task: h.anyTask().ID})
	case 4, 5, 6, 7:
		t := h.anyTask()
		h.propose(state.PlaceTasks{Placements: []state.Placement{{Task: t.ID, Incarnation: t.Incarnation + 1, Worker: h.pick("worker", historyWorkers)}}})
	case 8, 9:
		h.startOnWorker()
	case 10, 11:
		h.endOnWorker()
	case 12:
		h.changeWorkerCondition()
	case 13:
		h.propose(state.AddReplicas{Service: "s"})
		t := h.anyTask()
		why := rapid.SampledFrom([]state.StopReason{state.StopEvict, state.StopReplace, state.StopCancel, state.StopRemove}).Draw(h.t, "why")
		h.propose(state.StopTasks{Stops: []state.TaskStop{{Task: t.ID, Incarnation: t.Incarnation, StopReason: why}}})
	case 14:
		h.changeOwner()
	case 15:
		if len(h.model.sent) > 0 { // resent command or delayed duplicate
			h.applyAndCheck(rapid.SampledFrom(h.model.sent).Draw(h.t, "resend"))
		}
	}
}

func (h *history) zoneVersion() uint64 {
	if z, ok := h.Zones.Get("a"); ok {
		return z.Version
	}
	return 0
}

// startOnWorker starts a task on its worker and reports the start, or reports
// that the task did not start.
func (h *history) startOnWorker() {
	t := h.anyTask()
	if t.Phase != state.PhaseStarting {
		return
	}
	w, _ := h.Workers.Get(t.Worker)
	if w.Condition == state.WorkerLost || rapid.IntRange(0, 4).Draw(h.t, "void") == 0 {
		if w.Condition != state.WorkerLost && h.model.running[t.ID][t.Worker] == 0 {
			h.reportEvent(t, state.EventNotStarted)
		}
		return
	}
	if h.model.running[t.ID] == nil {
		h.model.running[t.ID] = map[string]uint64{}
	}
	h.model.running[t.ID][t.Worker] = t.Incarnation
	h.reportEvent(t, state.EventStarted)
}

// endOnWorker ends a run on its worker and reports the end.
func (h *history) endOnWorker() {
	t := h.anyTask()
	if !t.HasReservation() || h.model.running[t.ID][t.Worker] != t.Incarnation {
		return
	}
	delete(h.model.running[t.ID], t.Worker)
	events := []state.TaskEvent{state.EventStopped, state.EventExited, state.EventFailed}
	h.reportEvent(t, rapid.SampledFrom(events).Draw(h.t, "event"))
}

func (h *history) reportEvent(t *state.Task, ev state.TaskEvent) {
	h.propose(state.ReportTasks{Worker: t.Worker, Fence: h.fence(t.Worker), Reports: []state.TaskReport{
		{Task: t.ID, Incarnation: t.Incarnation, Event: ev, Checkpoint: fmt.Sprintf("c%d", h.Index)},
	}})
}

// changeWorkerCondition reports a worker lost. If it is lost already, it reports
// that the worker has returned or that its lease has expired.
func (h *history) changeWorkerCondition() {
	id := h.pick("worker", historyWorkers)
	w, _ := h.Workers.Get(id)
	if w.Condition != state.WorkerLost {
		h.propose(state.MarkWorkerLost{Worker: id, Fence: h.fence(id)})
		return
	}
	if rapid.Bool().Draw(h.t, "back") {
		h.propose(state.MarkWorkerReturned{Worker: id, Fence: h.fence(id)})
		return
	}
	for _, on := range h.model.running {
		delete(on, id)
	}
	h.propose(state.MarkWorkerLeaseExpired{Worker: id, LostFence: w.LostFence, LostIndex: w.LostIndex})
}

func (h *history) changeOwner() {
	id := h.pick("worker", historyWorkers)
	h.propose(state.Assign{Changes: []state.OwnerChange{{Kind: state.AssignWorker, ID: id, Fence: h.fence(id), To: h.pick("to", []string{"i1", "i2"})}}})
}

func (h *history) prepare() {
	h.propose(state.ApplyTeam{Name: "t", Weight: 1, Quota: size(6000, 0)})
	h.propose(state.ApplyService{Spec: state.ServiceSpec{Name: "s", Replicas: 2, Resources: size(700, 10)}})
	for _, in := range []string{"i1", "i2"} {
		h.propose(state.RegisterInstance{Instance: state.Instance{ID: in, InstanceStart: 1}})
	}
	for i, w := range historyWorkers {
		h.propose(state.RegisterWorker{ID: w, Zone: historyZones[i%2], Capacity: size(4000, 4000)})
		h.propose(state.Assign{Changes: []state.OwnerChange{{Kind: state.AssignWorker, ID: w, To: "i1"}}})
	}
	h.model.sent = nil
}

// Guards against a worker beyond its capacity, a task that runs on two workers, a
// decreasing incarnation, an eviction without exactly one requeue, and a state
// that depends on anything but the commands.
func TestRandomHistoriesKeepInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := &history{
			machine:  newMachine(),
			t:        rt,
			model:    workerModel{running: map[string]map[string]uint64{}},
			requeues: map[string]int{},
		}
		h.prepare()
		for range rapid.IntRange(20, 150).Draw(rt, "steps") {
			h.step()
		}
		again := state.New()
		for i, c := range h.log {
			again, _ = again.Apply(uint64(i+1), c)
		}
		first, _ := h.EncodeSnapshot()
		second, _ := again.EncodeSnapshot()
		if !bytes.Equal(first, second) {
			rt.Fatal("applying the same commands again produced another state")
		}
	})
}
