package fleet_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"apricotrouter/fleet"
	"apricotrouter/replica"
	"apricotrouter/standin/pool"
	"apricotrouter/state"
	"apricotrouter/transport"
)

const (
	holdMax     = 600 * time.Millisecond
	waitTimeout = 10 * time.Second
	host        = "queue.example"
)

// group is a control group of one instance with a leadership that tests set.
type group struct {
	*replica.FakeLog
	commitGate *commitGate
}

// commitGate delays commits of starts and ends while it is locked.
type commitGate struct{ sync.RWMutex }

// Propose implements replica.Log.
func (g group) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	if c.Kind == state.KindRecordTasks {
		g.commitGate.RLock()
		defer g.commitGate.RUnlock()
	}
	return g.FakeLog.Propose(ctx, c)
}

func (g group) ReadBarrier(context.Context) error { return nil }

func (g group) Members() []string { return []string{"memory"} }

// harness runs a controller and its service with simulated workers.
type harness struct {
	*WithT
	t            *testing.T
	log          *replica.FakeLog
	service      *fleet.Service
	client       *fleet.Client
	mu           sync.Mutex
	workers      map[string]*pool.Worker // by address
	blocked      map[string]bool         // addresses at which starts get no connection
	lastSequence uint64
	commitGate   commitGate
}

func newHarness(t *testing.T, mod ...func(*fleet.Options)) *harness {
	h := &harness{
		WithT: NewWithT(t), t: t, log: replica.NewFakeLog(clockwork.NewRealClock()),
		workers: make(map[string]*pool.Worker), blocked: make(map[string]bool),
	}
	g := group{h.log, &h.commitGate}
	opts := fleet.Options{Log: g, Dial: h.dial, Limits: fleet.Limits{
		MaxLease: holdMax, StopGrace: 50 * time.Millisecond, Heartbeat: 10 * time.Second,
	}}
	for _, m := range mod {
		m(&opts)
	}
	c := fleet.New(opts)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = c.Run(ctx) }()
	mux := transport.NewMux()
	h.service = fleet.NewService(g, c, mux, opts.Logger)
	h.client = fleet.NewClient(fleet.ClientOptions{
		Peers: transport.NewMesh(transport.MeshOptions{Self: "memory", Mux: mux}),
		Seeds: func() []string { return []string{"memory"} },
	})
	t.Cleanup(func() {
		cancel()
		<-done
		goleak.VerifyNone(t, goleak.IgnoreCurrent())
	})
	h.configure()
	return h
}

func (h *harness) dial(w state.PoolWorker) fleet.Worker {
	ctx, cancel := context.WithCancel(context.Background())
	return dialed{h, w.Address, ctx, cancel}
}

// dialed calls the worker that has the address at the time of the call.
type dialed struct {
	h       *harness
	address string
	ctx     context.Context // until the client is closed
	close   context.CancelFunc
}

func (d dialed) worker() *pool.Worker {
	d.h.mu.Lock()
	defer d.h.mu.Unlock()
	return d.h.workers[d.address]
}

func (d dialed) Start(ctx context.Context, c fleet.StartCall) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(d.ctx, cancel)()
	if d.h.blocksConnections(d.address) {
		<-ctx.Done()
		return &fleet.NotSentError{Err: ctx.Err()}
	}
	return d.worker().Start(ctx, c)
}

func (d dialed) Stop(ctx context.Context, c fleet.StopCall) error { return d.worker().Stop(ctx, c) }

func (d dialed) SetRate(ctx context.Context, c fleet.SetRateCall) error {
	return d.worker().SetRate(ctx, c)
}

func (d dialed) Poll(ctx context.Context, c fleet.PollCall) (*fleet.Report, error) {
	return d.worker().Poll(ctx, c)
}

func (d dialed) Close() { d.close() }

// blockConnections makes starts at an address wait for a connection.
func (h *harness) blockConnections(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.blocked[address] = true
}

func (h *harness) blocksConnections(address string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.blocked[address]
}

func (h *harness) call(req *fleet.Request) *fleet.Response {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	return h.client.Call(ctx, req)
}

func (h *harness) configure() {
	cfg := &state.QueueConfig{
		Version: 1, Source: []byte("{}"), Pools: []state.Pool{{Name: "pool", EnforcesCapacity: true}},
		Queues: []state.WorkflowQueue{{
			Name: "queue", Host: host, PathPrefix: "/jobs/", Pool: "pool", MaxAttempts: 2, MaxSlowdown: 2,
			ObjectiveMillis: 1000, TimeoutMillis: 3000,
		}},
	}
	h.Expect(h.call(&fleet.Request{Op: fleet.OpSetQueues, Queues: cfg}).Outcome).To(Equal(fleet.OutcomeDone))
}

// addWorker starts a worker and sends its first heartbeat.
func (h *harness) addWorker(id string, o pool.Options, setUp ...func(*pool.Worker)) *pool.Worker {
	o.ID, o.MaxLease = id, holdMax
	if o.StartedAt == 0 {
		o.StartedAt = time.Now().UnixMilli()
	}
	w := pool.New(o)
	for _, f := range setUp {
		f(w)
	}
	h.mu.Lock()
	h.workers[address(id, o.StartedAt)] = w
	h.mu.Unlock()
	h.Expect(h.heartbeat(id, o.StartedAt, w, false)).To(Equal(fleet.OutcomeDone))
	return w
}

func address(id string, startedAt int64) string { return fmt.Sprintf("%s:%d", id, startedAt) }

func (h *harness) heartbeat(id string, startedAt int64, w *pool.Worker, draining bool) fleet.Outcome {
	return h.heartbeatWith(id, startedAt, w, draining, state.Resources{MilliCPU: 4000, MemoryMiB: 4000})
}

func (h *harness) heartbeatWith(id string, startedAt int64, w *pool.Worker, draining bool, capacity state.Resources) fleet.Outcome {
	h.lastSequence++
	return h.call(&fleet.Request{Op: fleet.OpHeartbeat, WorkerHeartbeat: &fleet.Heartbeat{
		Worker: state.PoolWorker{
			ID: id, StartedAt: startedAt, Pool: "pool", Address: address(id, startedAt), Zone: "zone-a", Draining: draining,
			Capacity: capacity,
		},
		Sequence: h.lastSequence, Clock: w.Clock(), RemainingMillis: 300,
	}}).Outcome
}

func step(count int, mod ...func(*state.WorkflowStep)) state.WorkflowStep {
	s := state.WorkflowStep{Count: count, Size: state.Resources{MilliCPU: 1000, MemoryMiB: 1000}, EstimateMillis: 10}
	for _, m := range mod {
		m(&s)
	}
	return s
}

const jobID = "00000000000000aa"

func (h *harness) submit(steps ...state.WorkflowStep) fleet.Outcome {
	return h.call(&fleet.Request{
		Op: fleet.OpSubmit, Host: host, Path: "/jobs/" + jobID, Workflow: &state.WorkflowSpec{Payload: "p", Steps: steps},
	}).Outcome
}

// submitAs submits a workflow with the given id.
func (h *harness) submitAs(id string, steps ...state.WorkflowStep) {
	h.t.Helper()
	h.Expect(h.call(&fleet.Request{
		Op: fleet.OpSubmit, Host: host, Path: "/jobs/" + id, Workflow: &state.WorkflowSpec{Payload: "p", Steps: steps},
	}).Outcome).To(Equal(fleet.OutcomeDone))
}

func (h *harness) phase() state.WorkflowPhase { return h.phaseOf(jobID) }

func (h *harness) phaseOf(id string) state.WorkflowPhase {
	return h.call(&fleet.Request{Op: fleet.OpStatus, Host: host, Path: "/jobs/" + id}).Phase
}

func (h *harness) expectPhase(want state.WorkflowPhase) {
	h.t.Helper()
	h.Eventually(h.phase, waitTimeout, 5*time.Millisecond).Should(Equal(want))
}

// taskOf returns the first task of a workflow.
func (h *harness) taskOf(id string) state.WorkflowTask {
	w, ok := h.log.State().Workflows.Get(id)
	h.Expect(ok).To(BeTrue())
	return w.Tasks[0]
}

// running returns the number of current runs on a worker.
func running(w *pool.Worker) int {
	n := 0
	for _, r := range w.Records() {
		if r.Ended.IsZero() {
			n++
		}
	}
	return n
}

// expectNoDuplicateRuns checks that no task completed twice or had overlapping
// runs. A worker that crashes before it reports an end takes it along.
func (h *harness) expectNoDuplicateRuns(workers ...*pool.Worker) {
	h.t.Helper()
	done := make(map[fleet.TaskPosition]int)
	var all []pool.Record
	for _, w := range workers {
		all = append(all, w.Records()...)
	}
	for i, a := range all {
		if a.Kind == fleet.EndDone && !a.EndUnreported {
			done[a.Position]++
		}
		for _, b := range all[:i] {
			if a.Position == b.Position {
				disjoint := !a.Ended.IsZero() && !a.Ended.After(b.Started) || !b.Ended.IsZero() && !b.Ended.After(a.Started)
				h.Expect(disjoint).To(BeTrue(), "%+v and %+v overlap", a, b)
			}
		}
	}
	for p, n := range done {
		h.Expect(n).To(Equal(1), "task %v was done %d times", p, n)
	}
}
