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

// Guards against a batch task that is never placed again after one start that
// its only worker with room refused, as its avoided workers stay barred.
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
			h.fill("b")
			h.fill("c")
			h.worker("a", pool.Options{Work: briefBatch})
			h.submitAs("a000000000000001", step(1))
			h.Eventually(func() state.WorkflowPhase { return h.phaseOf("a000000000000001") }, patience).Should(Equal(state.WorkflowCompleted))
		})
	}
}

// Guards against a worker that refuses starts it cannot read and is asked again
// at once for a gang, which avoids no worker.
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
	h.worker("a", pool.Options{Work: briefBatch})
	h.worker("b", pool.Options{Work: briefBatch})
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

// Guards against starts that are sent without a pause to the only worker with
// room, which refuses them, once a serving task has waited for long.
func TestOnlyWorkerWithRoomIsNotAskedWithoutAPause(t *testing.T) {
	var n atomic.Int64
	h := newHarness(t, func(o *fleet.Options) {
		dial := o.Dial
		o.Dial = func(w state.PoolWorker) fleet.Worker { return countingRefusal{dial(w), &n} }
	})
	h.worker("a", pool.Options{Work: forever})
	h.submitAs("0000000000000001", step(1, serving))
	time.Sleep(3 * time.Second)
	h.Expect(n.Load()).To(BeNumerically("<=", 3), "one each 2 s")
	h.Expect(n.Load()).To(BeNumerically(">=", 2))
}
