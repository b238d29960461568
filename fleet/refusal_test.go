package fleet_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"apricotrouter/fleet"
	"apricotrouter/standin/pool"
	"apricotrouter/state"
)

// refusingOnce refuses its first start.
type refusingOnce struct {
	fleet.Worker
	refused *atomic.Bool
	reason  fleet.RefusalReason
}

func (r refusingOnce) Start(ctx context.Context, c fleet.StartCall) error {
	if r.refused.CompareAndSwap(false, true) {
		return &fleet.RefusedError{Reason: r.reason}
	}
	return r.Worker.Start(ctx, c)
}

// Guards against a batch task that is never placed again after its only worker
// with free capacity refused one start, because the avoided workers stay
// excluded.
func TestBatchTaskReturnsToTheOnlyWorkerWithRoomAfterARefusedStart(t *testing.T) {
	for _, reason := range []fleet.RefusalReason{fleet.RefusedTicket, fleet.RefusedInvalid} {
		t.Run(reason.String(), func(t *testing.T) {
			var refused atomic.Bool
			h := newHarness(t, func(o *fleet.Options) {
				dial := o.Dial
				o.Dial = func(w state.PoolWorker) fleet.Worker {
					if w.ID == "a" {
						return refusingOnce{dial(w), &refused, reason}
					}
					return dial(w)
				}
			})
			h.fillWorker("b")
			h.fillWorker("c")
			h.addWorker("a", pool.Options{RunTime: shortBatch})
			h.submitAs("a000000000000001", step(1))
			h.Eventually(func() state.WorkflowPhase { return h.phaseOf("a000000000000001") }, waitTimeout).Should(Equal(state.WorkflowCompleted))
		})
	}
}

// Guards against repeated starts of a gang, without a delay, on a worker that
// can't decode them: members of a gang avoid no worker.
func TestGangIsNotSentToARefusingWorkerWithoutAPause(t *testing.T) {
	var n atomic.Int64
	h := newHarness(t, func(o *fleet.Options) {
		dial := o.Dial
		o.Dial = func(w state.PoolWorker) fleet.Worker {
			if w.ID == "a" {
				return countingRefusal{dial(w), &n}
			}
			return dial(w)
		}
	})
	h.addWorker("a", pool.Options{RunTime: shortBatch})
	h.addWorker("b", pool.Options{RunTime: shortBatch})
	h.submitAs("a000000000000001", step(1, func(s *state.WorkflowStep) { s.Gang = true }))
	h.Eventually(func() state.WorkflowPhase { return h.phaseOf("a000000000000001") }, "2s", "10ms").Should(Equal(state.WorkflowCompleted))
	h.Expect(n.Load()).To(BeNumerically("<=", 2))
}

type countingRefusal struct {
	fleet.Worker
	n *atomic.Int64
}

func (r countingRefusal) Start(context.Context, fleet.StartCall) error {
	r.n.Add(1)
	return &fleet.RefusedError{Reason: fleet.RefusedInvalid}
}

// Guards against repeated starts, without a delay, on the only worker with free
// capacity when it refuses them and the serving task has waited for a long
// time.
func TestOnlyWorkerWithRoomIsNotAskedWithoutAPause(t *testing.T) {
	var n atomic.Int64
	h := newHarness(t, func(o *fleet.Options) {
		dial := o.Dial
		o.Dial = func(w state.PoolWorker) fleet.Worker { return countingRefusal{dial(w), &n} }
	})
	h.addWorker("a", pool.Options{RunTime: runForever})
	h.submitAs("0000000000000001", step(1, untilStopped))
	time.Sleep(3 * time.Second)
	h.Expect(n.Load()).To(BeNumerically("<=", 3), "one start every 2 s")
	h.Expect(n.Load()).To(BeNumerically(">=", 2))
}
