package fleet_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"apricotrouter/fleet"
	"apricotrouter/standin/pool"
	"apricotrouter/state"
)

// counted counts the calls in flight over all workers.
type counted struct {
	fleet.Worker
	now, most *atomic.Int64
}

func (c counted) enter() func() {
	n := c.now.Add(1)
	for {
		m := c.most.Load()
		if n <= m || c.most.CompareAndSwap(m, n) {
			return func() { c.now.Add(-1) }
		}
	}
}

func (c counted) Start(ctx context.Context, call fleet.StartCall) error {
	defer c.enter()()
	return c.Worker.Start(ctx, call)
}

func (c counted) Look(ctx context.Context, call fleet.LookCall) (*fleet.Report, error) {
	defer c.enter()()
	return c.Worker.Look(ctx, call)
}

// Guards against calls beyond the connections of the process, and against
// workers that are never looked at where there are more of them than looks may
// be in flight: the leases of all of them hold, and all ends are seen.
func TestCallsStayWithinTheirLimit(t *testing.T) {
	const workers, limit = 24, 8
	var now, most atomic.Int64
	h := newHarness(t, func(o *fleet.Options) {
		dial := o.Dial
		o.Dial = func(w state.PoolWorker) fleet.Worker { return counted{dial(w), &now, &most} }
		o.Limits.Calls = limit
	})
	var all []*pool.Worker
	for i := range workers {
		all = append(all, h.worker(fmt.Sprint("w", i), pool.Options{Work: func(p fleet.TaskPosition, n uint64) (d time.Duration) {
			if p.Workflow == jobID {
				return forever(p, n)
			}
			return slowly(p, n)
		}}))
	}
	h.Expect(h.submit(step(workers, serving, func(s *state.WorkflowStep) { s.MaxPerWorker = 1 }))).To(Equal(fleet.Done))
	h.submitAs("00000000000000bb", step(3*workers))
	h.Eventually(func() state.WorkflowPhase { return h.phaseOf("00000000000000bb") }, patience, "5ms").Should(Equal(state.WorkflowCompleted))
	time.Sleep(2 * holdMax)
	for _, w := range all {
		h.Expect(running(w)).To(Equal(1))
		for _, r := range w.Records() {
			h.Expect(r.How).NotTo(Equal(fleet.EndLapsed))
		}
	}
	h.Expect(most.Load()).To(BeNumerically("<=", limit))
	h.expectOnce(all...)
}
