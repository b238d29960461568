package fleet_test

import (
	"context"
	"sync/atomic"
	"testing"

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
