package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"apricotrouter/placement"
	"apricotrouter/replica"
	"apricotrouter/state"
)

// logAtDesignCapacity returns a log with 7 instances, 740 workers, 1,600 replicas
// and 6,800 batch tasks. The control steps of the benchmark place the tasks.
func logAtDesignCapacity(b *testing.B, clock clockwork.Clock) *replica.FakeLog {
	log := replica.NewFakeLog(clock)
	propose := func(body state.Body) {
		if r, err := log.Propose(context.Background(), state.NewCommand(body)); err != nil || r.Code != state.CodeOK {
			b.Fatal(r, err)
		}
	}
	for i := range 7 {
		propose(state.RegisterInstance{Instance: state.Instance{ID: fmt.Sprint("i", i), Zone: fmt.Sprint("z", i%6), InstanceStart: 1}})
	}
	for i := range 740 {
		propose(state.RegisterWorker{ID: fmt.Sprintf("w%03d", i), Zone: fmt.Sprint("z", i%6), Capacity: state.Resources{MilliCPU: 64_000, MemoryMiB: 250_000}})
	}
	for i := range 32 {
		propose(state.ApplyService{Spec: state.ServiceSpec{Name: fmt.Sprint("s", i), Replicas: 50, Resources: state.Resources{MilliCPU: 4000, MemoryMiB: 8000}}})
	}
	propose(state.SubmitJob{Spec: state.JobSpec{ID: "j", Class: "c", Priority: state.PriorityNormal, Tasks: 6800, Resources: state.Resources{MilliCPU: 4000, MemoryMiB: 8000}}})
	return log
}

// BenchmarkStep measures a control step without changes at design capacity, with
// and without new samples from every worker.
func BenchmarkStep(b *testing.B) {
	clock := clockwork.NewFakeClock()
	log := logAtDesignCapacity(b, clock)
	c := New(Options{Log: log, Leases: log, Clock: clock})
	t := c.currentTerm(nil)
	for range 40 {
		c.step(context.Background(), t)
		for id := range log.State().Workers.All() {
			reportStarts(log, id)
		}
		clock.Advance(time.Second)
	}
	if n := log.State().PendingCount(); n > 0 {
		b.Fatalf("%d tasks are still pending, want 0", n)
	}
	b.Run("idle", func(b *testing.B) {
		for b.Loop() {
			c.step(context.Background(), t)
		}
	})
	b.Run("samples of all workers", func(b *testing.B) {
		for b.Loop() {
			b.StopTimer()
			clock.Advance(2 * time.Second)
			c.inbox.add("", newNotice(log.State(), clock.Now().UnixMilli()))
			b.StartTimer()
			c.step(context.Background(), t)
		}
	})
}

func reportStarts(log *replica.FakeLog, worker string) {
	s := log.State()
	a := s.Assignment(state.AssignWorker, worker)
	if a == nil {
		return
	}
	r := state.ReportTasks{Worker: worker, Fence: a.Fence}
	for t := range s.TasksOnWorker(worker) {
		if t.Phase == state.PhaseStarting {
			r.Reports = append(r.Reports, state.TaskReport{Task: t.ID, Incarnation: t.Incarnation, Event: state.EventStarted})
		}
	}
	if len(r.Reports) > 0 {
		_, _ = log.Propose(context.Background(), state.NewCommand(r))
	}
}

func newNotice(s *state.State, now int64) *placement.ObservationsNotice {
	n := &placement.ObservationsNotice{}
	for id := range s.Workers.All() {
		w := placement.WorkerSample{Worker: id, Fence: s.Assignment(state.AssignWorker, id).Fence, SampledAt: now}
		for t := range s.TasksOnWorker(id) {
			ts := placement.TaskSample{Task: t.ID, Incarnation: t.Incarnation, Used: t.Resources}
			if t.Kind == state.KindLatencyCritical {
				ts.LatencyRatio = 1.01
			}
			w.Tasks = append(w.Tasks, ts)
		}
		n.Workers = append(n.Workers, w)
	}
	return n
}
