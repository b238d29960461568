package control_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/goleak"

	"apricotrouter/control"
	"apricotrouter/placement"
	"apricotrouter/replica"
	"apricotrouter/state"
	"apricotrouter/transport"
)

// harness runs a control loop on a log without replication.
type harness struct {
	*WithT
	clock *clockwork.FakeClock
	log   *replica.FakeLog
	mux   *transport.Mux

	metrics *prometheus.Registry
}

func newHarness(t *testing.T) *harness {
	clock := clockwork.NewFakeClock()
	h := &harness{WithT: NewWithT(t), clock: clock, log: replica.NewFakeLog(clock), mux: transport.NewMux(), metrics: prometheus.NewRegistry()}
	for i, zone := range []string{"a", "a", "b", "b"} {
		h.instance(fmt.Sprintf("i%d", i+1), zone, 1)
	}
	return h
}

func (h *harness) start(t *testing.T) {
	before := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, before) })
	c := control.New(control.Options{Log: h.log, Leases: h.log, Mux: h.mux, Clock: h.clock, Registerer: h.metrics})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- c.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		h.Expect(<-done).To(MatchError(context.Canceled))
	})
	h.advance(time.Second)
}

// advance advances the clock in steps of 100 ms. It waits for the loop to block
// on the clock before each step and at the end.
func (h *harness) advance(d time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	const step = 100 * time.Millisecond
	for ; d > 0; d -= step {
		h.Expect(h.clock.BlockUntilContext(ctx, 1)).To(Succeed())
		h.clock.Advance(step)
	}
	h.Expect(h.clock.BlockUntilContext(ctx, 1)).To(Succeed())
}

func (h *harness) do(b state.Body) state.Result {
	r, err := h.log.Propose(context.Background(), state.NewCommand(b))
	h.Expect(err).NotTo(HaveOccurred())
	return r
}

func (h *harness) instance(id, zone string, start uint64) {
	h.do(state.RegisterInstance{Instance: state.Instance{ID: id, Zone: zone, InstanceStart: start}})
}

func (h *harness) worker(id, zone string) {
	h.do(state.RegisterWorker{ID: id, Zone: zone, Capacity: state.Resources{MilliCPU: 8000, MemoryMiB: 8000}})
}

func (h *harness) owner(kind state.AssignmentKind, id string) string {
	if a := h.log.State().Assignment(kind, id); a != nil {
		return a.Owner
	}
	return ""
}

func (h *harness) bucket(n int) state.LedgerBucket {
	b, ok := h.log.State().Buckets.Get(state.BucketKey(n))
	h.Expect(ok).To(BeTrue())
	return *b
}

// runTask submits a job with one task, waits for its placement and reports the
// task as started.
func (h *harness) runTask() *state.Task {
	h.do(state.SubmitJob{Spec: state.JobSpec{ID: "j", Class: "c", Priority: state.PriorityNormal, Tasks: 1, Resources: state.Resources{MilliCPU: 1000}}})
	h.Eventually(func() state.TaskPhase { h.advance(time.Second); return h.log.State().Task("j.0").Phase }).Should(Equal(state.PhaseStarting))
	t := h.log.State().Task("j.0")
	h.do(state.ReportTasks{Worker: t.Worker, Fence: h.fence(t.Worker), Reports: []state.TaskReport{{Task: t.ID, Incarnation: 1, Event: state.EventStarted}}})
	return h.log.State().Task("j.0")
}

func (h *harness) fence(worker string) uint64 {
	return h.log.State().Assignment(state.AssignWorker, worker).Fence
}

// Guards against endpoints and workers without an owner, and against assigning
// all of them to one instance.
func TestAssignsByZoneAndCount(t *testing.T) {
	h := newHarness(t)
	for i := range 8 {
		h.worker(fmt.Sprintf("w%d", i), []string{"a", "b"}[i%2])
		h.do(state.RegisterEndpoint{Endpoint: state.Endpoint{ID: fmt.Sprintf("e%d", i), Zone: "c"}})
	}
	h.start(t)
	workers, endpoints := map[string]int{}, map[string]int{}
	for i := range 8 {
		owner := h.owner(state.AssignWorker, fmt.Sprintf("w%d", i))
		in, ok := h.log.State().Instances.Get(owner)
		h.Expect(ok).To(BeTrue())
		h.Expect(in.Zone).To(Equal([]string{"a", "b"}[i%2]))
		workers[owner]++
		endpoints[h.owner(state.AssignEndpoint, fmt.Sprintf("e%d", i))]++
	}
	want := map[string]int{"i1": 2, "i2": 2, "i3": 2, "i4": 2}
	h.Expect(workers).To(Equal(want))
	h.Expect(endpoints).To(Equal(want))
}

// Guards against two owners at the same time. An assignment may move only after
// the lease of the old owner has expired or the old owner has handed over.
func TestMovesAssignmentsAfterLeaseEnd(t *testing.T) {
	h := newHarness(t)
	h.worker("w", "a")
	h.do(state.RegisterEndpoint{Endpoint: state.Endpoint{ID: "e", Zone: "b"}})
	h.start(t)
	h.Expect(h.owner(state.AssignWorker, "w")).To(Equal("i1"))
	h.advance(5 * time.Second)
	h.Expect(h.owner(state.AssignWorker, "w")).To(Equal("i1"))
	h.log.SetLeaseExpired("i1", true)
	h.advance(time.Second)
	h.Expect(h.owner(state.AssignWorker, "w")).To(Equal("i2"))
	h.Expect(h.owner(state.AssignEndpoint, "e")).To(Equal("i3"))
	h.do(state.HandOver{Instance: "i3", InstanceStart: 1})
	h.advance(time.Second)
	h.Expect(h.owner(state.AssignEndpoint, "e")).To(Equal("i4"))
	for _, in := range []string{"i2", "i3", "i4"} {
		h.log.SetLeaseExpired(in, true)
	}
	h.advance(time.Second)
	h.Expect(h.owner(state.AssignWorker, "w")).To(Equal("i2"))
	h.log.SetLeaseExpired("i4", false)
	h.advance(time.Second)
	h.Expect(h.owner(state.AssignWorker, "w")).To(Equal("i4"))
}

// Guards against a concurrent second run of a task because a new leader counts
// the time during which its predecessor observed the worker as lost.
func TestWorkerLeaseEndIsCountedAnewByNewLeader(t *testing.T) {
	h := newHarness(t)
	h.worker("w", "a")
	h.start(t)
	task := h.runTask()
	h.do(state.MarkWorkerLost{Worker: "w", Fence: h.fence("w")})
	h.advance(9 * time.Second)
	h.log.SetLeadership(replica.Leadership{Leader: "other", Term: 2})
	h.advance(time.Second)
	h.log.SetLeadership(replica.Leadership{Leader: "memory", Term: 3, Self: true, Epoch: 3})
	h.advance(9 * time.Second)
	h.Expect(h.log.State().Task(task.ID).Phase).To(Equal(state.PhaseRunning))
	h.advance(2 * time.Second)
	h.Expect(h.log.State().Task(task.ID).Phase).To(Equal(state.PhasePending))
	h.Expect(h.log.State().Task(task.ID).Incarnation).To(BeEquivalentTo(1))
}

// Guards against measuring the expiry of the lease from an earlier loss of the same
// worker.
func TestWorkerLeaseEndIsCountedFromLastLoss(t *testing.T) {
	h := newHarness(t)
	h.worker("w", "a")
	h.start(t)
	task := h.runTask()
	h.do(state.MarkWorkerLost{Worker: "w", Fence: h.fence("w")})
	h.advance(9 * time.Second)
	h.do(state.MarkWorkerReturned{Worker: "w", Fence: h.fence("w")})
	h.advance(time.Second)
	h.do(state.MarkWorkerLost{Worker: "w", Fence: h.fence("w")})
	h.advance(9 * time.Second)
	h.Expect(h.log.State().Task(task.ID).Phase).To(Equal(state.PhaseRunning))
	h.advance(2 * time.Second)
	h.Expect(h.log.State().Task(task.ID).Phase).To(Equal(state.PhasePending))
}

// Guards against a ledger bucket with two primaries, and against not recording
// the loss of a bucket.
func TestBucketsFailOverAfterLeaseEnd(t *testing.T) {
	h := newHarness(t)
	h.start(t)
	serves := map[string]int{}
	for n := range state.LedgerBuckets {
		b := h.bucket(n)
		serves[b.Primary]++
		primary, _ := h.log.State().Instances.Get(b.Primary)
		backup, _ := h.log.State().Instances.Get(b.Backup)
		h.Expect(backup.Zone).NotTo(Equal(primary.Zone))
	}
	h.Expect(serves).To(Equal(map[string]int{"i1": 16, "i2": 16, "i3": 16, "i4": 16}))
	first := h.bucket(0)
	h.do(state.HandOver{Instance: first.Primary, InstanceStart: 1})
	h.advance(time.Second)
	h.Expect(h.bucket(0).Primary).To(Equal(first.Primary))
	h.log.SetLeaseExpired(first.Primary, true)
	h.advance(time.Second)
	second := h.bucket(0)
	h.Expect(second.Primary).To(Equal(first.Backup))
	h.Expect(second.Backup).NotTo(BeElementOf(first.Primary, first.Backup, ""))
	h.Expect(second.Epoch).To(BeNumerically(">", first.Epoch))
	h.log.SetLeaseExpired(second.Primary, true)
	h.log.SetLeaseExpired(second.Backup, true)
	h.advance(time.Second)
	third := h.bucket(0)
	h.Expect(third.LostAt).NotTo(BeZero())
	h.Expect(third.Primary).NotTo(BeElementOf(first.Primary, second.Primary, second.Backup))
}

// Guards against a restarted instance that serves a ledger bucket although its
// copy in memory was lost.
func TestRestartedInstanceLosesItsBuckets(t *testing.T) {
	h := newHarness(t)
	h.start(t)
	first := h.bucket(7)
	in, _ := h.log.State().Instances.Get(first.Primary)
	h.instance(in.ID, in.Zone, 2)
	h.advance(time.Second)
	h.Expect(h.bucket(7).Primary).To(Equal(first.Backup))
	h.Expect(h.bucket(7).Backup).NotTo(BeEmpty())
	h.Expect(h.bucket(7).LostAt).To(BeZero())
}

// Guards against an eviction that is lost or carried out twice when the leader
// changes between the stop and its confirmation.
func TestLeaderChangeInTheMiddleOfAnEviction(t *testing.T) {
	h := newHarness(t)
	h.worker("w", "a")
	h.worker("x", "b")
	h.start(t)
	task := h.runTask()
	zone := "a"
	if task.Worker == "x" {
		zone = "b"
	}
	z, _ := h.log.State().Zones.Get(zone)
	h.do(state.SetZone{Name: zone, Out: true, ExpectedVersion: z.Version})
	h.advance(time.Second)
	h.Expect(h.log.State().Task(task.ID).Phase).To(Equal(state.PhaseStopping))
	h.log.SetLeadership(replica.Leadership{Leader: "other", Term: 2})
	stopped := state.ReportTasks{Worker: task.Worker, Fence: h.fence(task.Worker), Reports: []state.TaskReport{
		{Task: task.ID, Incarnation: 1, Event: state.EventStopped, Checkpoint: "c1"},
	}}
	h.do(stopped)
	h.log.SetLeadership(replica.Leadership{Leader: "memory", Term: 3, Self: true, Epoch: 3})
	h.do(stopped)
	h.advance(2 * time.Second)
	h.do(stopped)
	h.advance(2 * time.Second)
	got := h.log.State().Task(task.ID)
	h.Expect(got.Phase).To(Equal(state.PhaseStarting))
	h.Expect(got.Worker).NotTo(Equal(task.Worker))
	h.Expect(testutil.GatherAndCount(h.metrics, "apricotrouter_control_evictions_total")).To(Equal(1))
	h.Expect([]any{got.Incarnation, got.Evictions, got.Checkpoint}).To(Equal([]any{uint64(2), int64(1), "c1"}))
}

// Guards against samples that do not reach the planner, and against accepting
// samples that were sent under an earlier fence.
func TestObservationsReachThePlanner(t *testing.T) {
	h := newHarness(t)
	h.worker("w", "a")
	h.start(t)
	h.do(state.ApplyService{Spec: state.ServiceSpec{Name: "s", Replicas: 1, Resources: state.Resources{MilliCPU: 1000}}})
	h.runTask()
	h.advance(time.Second)
	var replicaID string
	for r := range h.log.State().TasksOf(state.KindLatencyCritical, "s") {
		replicaID = r.ID
		h.do(state.ReportTasks{Worker: "w", Fence: h.fence("w"), Reports: []state.TaskReport{{Task: r.ID, Incarnation: 1, Event: state.EventStarted}}})
	}
	net := transport.NewFakeNetwork()
	net.Join("leader", h.mux)
	owner := net.Join("holder", transport.NewMux())
	send := func(fence uint64) {
		for range 20 {
			n := placement.ObservationsNotice{Workers: []placement.WorkerSample{{
				Worker: "w", Fence: fence, SampledAt: h.clock.Now().UnixMilli(),
				Tasks: []placement.TaskSample{
					{Task: "j.0", Incarnation: 1, Used: state.Resources{MilliCPU: 4000}},
					{Task: replicaID, Incarnation: 1, LatencyRatio: 5},
				},
			}}}
			h.Expect(owner.SendOneWay("leader", transport.KindObservations, n)).To(Succeed())
			time.Sleep(time.Millisecond) // Local delivers on another goroutine.
			h.advance(500 * time.Millisecond)
		}
	}
	send(h.fence("w") - 1)
	h.Expect(h.log.State().Task("j.0").Throttle).To(BeZero())
	h.Eventually(func() int64 { send(h.fence("w")); return h.log.State().Task("j.0").Throttle }).Should(BeNumerically(">=", 50))
}

// Guards against commands proposed by an instance that is not the leader, and
// against a loop that stops after failed proposals.
func TestDecidesOnlyWhileLeading(t *testing.T) {
	h := newHarness(t)
	h.log.SetLeadership(replica.Leadership{Leader: "other", Term: 2})
	h.start(t)
	h.worker("w", "a")
	h.advance(2 * time.Second)
	h.Expect(h.owner(state.AssignWorker, "w")).To(BeEmpty())
	h.log.SetError(errors.New("no majority"))
	h.log.SetLeadership(replica.Leadership{Leader: "memory", Term: 3, Self: true, Epoch: 3})
	h.advance(2 * time.Second)
	h.Expect(h.owner(state.AssignWorker, "w")).To(BeEmpty())
	h.log.SetError(nil)
	h.advance(time.Second)
	h.Expect(h.owner(state.AssignWorker, "w")).To(Equal("i1"))
}
