package fleet_test

import (
	"math"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"apricotrouter/fleet"
	"apricotrouter/standin/pool"
	"apricotrouter/state"
)

// Guards against an entry of another writer among the heartbeats that takes the
// place of a sound worker, attracts tasks, or makes sums over the pool overflow.
func TestOddHeartbeatNamesNoWorker(t *testing.T) {
	h := newHarness(t)
	startedAt := time.Now().UnixMilli()
	a := h.addWorker("a", pool.Options{RunTime: runForever, StartedAt: startedAt})
	h.Expect(h.submit(step(1, untilStopped))).To(Equal(fleet.OutcomeDone))
	h.Eventually(func() int { return running(a) }, waitTimeout).Should(Equal(1))
	sound := fleet.Heartbeat{Worker: state.PoolWorker{
		ID: "odd", StartedAt: startedAt + 10, Pool: "pool", Address: "odd:1", Zone: "zone-a",
		Capacity: state.Resources{MilliCPU: 4000, MemoryMiB: 4000},
	}, Sequence: 1}
	for name, mod := range map[string]func(*fleet.Heartbeat){
		"huge capacity":       func(b *fleet.Heartbeat) { b.Worker.Capacity.MilliCPU = math.MaxInt64 },
		"negative capacity":   func(b *fleet.Heartbeat) { b.Worker.Capacity.MemoryMiB = -5 },
		"no capacity":         func(b *fleet.Heartbeat) { b.Worker.Capacity = state.Resources{} },
		"start in the future": func(b *fleet.Heartbeat) { b.Worker.StartedAt += time.Hour.Milliseconds() },
		"start in the future, taken": func(b *fleet.Heartbeat) {
			b.Worker.StartedAt, b.Worker.Address = math.MaxInt64, address("a", startedAt)
		},
		"start before 1970": func(b *fleet.Heartbeat) { b.Worker.StartedAt = -1 },
		"huge sequence":     func(b *fleet.Heartbeat) { b.Sequence = math.MaxUint64 },
		"huge sequence, known worker": func(b *fleet.Heartbeat) {
			b.Worker.ID, b.Worker.StartedAt, b.Worker.Address, b.Sequence = "a", startedAt, address("a", startedAt), math.MaxUint64
		},
		"huge clock":   func(b *fleet.Heartbeat) { b.Clock = math.MaxInt64 },
		"long id":      func(b *fleet.Heartbeat) { b.Worker.ID = strings.Repeat("x", 10_000) },
		"many labels":  func(b *fleet.Heartbeat) { b.Worker.Labels = make([]string, 10_000) },
		"unknown pool": func(b *fleet.Heartbeat) { b.Worker.Pool = "none" },
		"unknown pool, known worker": func(b *fleet.Heartbeat) {
			b.Worker.ID, b.Worker.StartedAt, b.Worker.Address, b.Worker.Pool = "a", startedAt, address("a", startedAt), "none"
		},
		"unknown pool, later incarnation of a known worker": func(b *fleet.Heartbeat) {
			b.Worker.ID, b.Worker.Address, b.Worker.Pool = "a", address("a", startedAt), "none"
		},
		"no capacity, later incarnation of a known worker": func(b *fleet.Heartbeat) {
			b.Worker.ID, b.Worker.Address, b.Worker.Capacity = "a", address("a", startedAt), state.Resources{}
		},
	} {
		b := sound
		mod(&b)
		resp := h.call(&fleet.Request{Op: fleet.OpHeartbeat, WorkerHeartbeat: &b})
		h.Expect(resp.Outcome).To(Equal(fleet.OutcomeInvalid), name)
		h.Expect(len(resp.Reason)).To(BeNumerically("<", 500), name)
	}
	h.Consistently(func() int { return len(a.Records()) }, 2*holdMax).Should(Equal(1), "the run goes on")
	h.Expect(h.heartbeat("a", startedAt, a, false)).To(Equal(fleet.OutcomeDone))
	h.Expect(h.submit(step(1, untilStopped))).To(Equal(fleet.OutcomeDone))
}

// Guards against a worker of an open workflow that is refused because its pool
// is no longer configured.
func TestWorkerOfPoolThatLeftTheConfigurationIsKept(t *testing.T) {
	h := newHarness(t)
	h.Expect(h.submit(step(1))).To(Equal(fleet.OutcomeDone))
	h.Expect(h.call(&fleet.Request{Op: fleet.OpSetQueues, Queues: &state.QueueConfig{Version: 2, Source: []byte("{}")}}).Outcome).
		To(Equal(fleet.OutcomeDone))
	h.addWorker("a", pool.Options{})
	h.Eventually(func() int {
		n := 0
		for _, w := range h.log.State().Workflows.All() {
			if w.Phase == state.WorkflowCompleted {
				n++
			}
		}
		return n
	}, waitTimeout).Should(Equal(1))
}
