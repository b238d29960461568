package worker_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"

	"apricotrouter/placement"
	"apricotrouter/replica"
	workerstandin "apricotrouter/standin/worker"
	"apricotrouter/state"
	"apricotrouter/transport"
	"apricotrouter/worker"
)

// Guards against losing a task or running it twice when a worker's connection
// stops responding while the task is being started, and against goroutine leaks.
func TestManagerSurvivesSilentConnection(t *testing.T) {
	defer goleak.VerifyNone(t)
	g := NewWithT(t)
	log := &faultyLog{FakeLog: replica.NewFakeLog(clockwork.NewRealClock())}
	propose := func(body state.Body) {
		r, err := log.Propose(t.Context(), state.NewCommand(body))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r.Code).To(Equal(state.CodeOK))
	}
	size := state.Resources{MilliCPU: 4000, MemoryMiB: 4096}
	w := workerstandin.New(workerstandin.Options{ID: "w1", Capacity: size})
	address, err := w.Listen()
	g.Expect(err).NotTo(HaveOccurred())
	defer w.Close()
	propose(state.RegisterInstance{Instance: state.Instance{ID: "a", InstanceStart: 1}})
	propose(state.RegisterWorker{ID: "w1", Zone: "z1", Rack: "r", Address: address, Capacity: size})

	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	samples := make(chan string, 16)
	mux := transport.NewMux()
	transport.OnOneWay(mux, transport.KindObservations, func(_ string, n *placement.ObservationsNotice) {
		samples <- n.Workers[0].Tasks[0].Task
	})
	m := worker.NewManager(worker.Options{
		Self: "a", Log: log, Registerer: prometheus.NewRegistry(),
		Peers: transport.NewFakeNetwork().Join("memory", mux),
	})
	go func() { done <- m.Run(ctx) }()
	defer func() { cancel(); g.Expect(<-done).To(Succeed()) }()

	propose(state.Assign{Changes: []state.OwnerChange{{Kind: state.AssignWorker, ID: "w1", To: "a"}}})
	propose(state.SubmitJob{Spec: state.JobSpec{
		ID: "job", Class: "c", Priority: state.PriorityNormal, Tasks: 1,
		Resources: state.Resources{MilliCPU: 3000}, ExpectedSeconds: 6,
	}})
	propose(state.PlaceTasks{Placements: []state.Placement{{Task: task, Incarnation: 1, Worker: "w1"}}})
	w.DropResponses(workerstandin.MethodStart, 1)
	g.Eventually(w.Records, "20s").Should(HaveLen(1))
	w.SetUnresponsive(true)
	time.Sleep(2 * worker.CallTimeout)
	w.SetUnresponsive(false)
	g.Eventually(func() state.TaskPhase { return log.State().Task(task).Phase }, "20s").
		Should(Equal(state.PhaseCompleted))
	g.Expect(samples).To(Receive(Equal(task)))
	g.Expect(w.Records()).To(HaveExactElements(HaveField("End", workerstandin.EndExited)))
}
