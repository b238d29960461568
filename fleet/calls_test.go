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

// countingWorker counts the calls in flight over all workers.
type countingWorker struct {
	fleet.Worker
	inFlight, maxInFlight *atomic.Int64
}

func (c countingWorker) enter() func() {
	n := c.inFlight.Add(1)
	for {
		m := c.maxInFlight.Load()
		if n <= m || c.maxInFlight.CompareAndSwap(m, n) {
			return func() { c.inFlight.Add(-1) }
		}
	}
}

func (c countingWorker) Start(ctx context.Context, call fleet.StartCall) error {
	defer c.enter()()
	return c.Worker.Start(ctx, call)
}

func (c countingWorker) Poll(ctx context.Context, call fleet.PollCall) (*fleet.Report, error) {
	defer c.enter()()
	return c.Worker.Poll(ctx, call)
}

// Guards against more calls in flight than the process has connections, and
// against workers that are not polled when there are more of them than the
// limit. All leases must stay valid and all ends must be reported.
func TestCallsStayWithinTheirLimit(t *testing.T) {
	const workers, limit = 24, 8
	var inFlight, maxInFlight atomic.Int64
	h := newHarness(t, func(o *fleet.Options) {
		dial := o.Dial
		o.Dial = func(w state.PoolWorker) fleet.Worker { return countingWorker{dial(w), &inFlight, &maxInFlight} }
		o.Limits.Calls = limit
	})
	var all []*pool.Worker
	for i := range workers {
		all = append(all, h.addWorker(fmt.Sprint("w", i), pool.Options{RunTime: func(p fleet.TaskPosition, n uint64) (d time.Duration) {
			if p.Workflow == jobID {
				return runForever(p, n)
			}
			return runFor60ms(p, n)
		}}))
	}
	h.Expect(h.submit(step(workers, untilStopped, func(s *state.WorkflowStep) { s.MaxPerWorker = 1 }))).To(Equal(fleet.OutcomeDone))
	h.submitAs("00000000000000bb", step(3*workers))
	h.Eventually(func() state.WorkflowPhase { return h.phaseOf("00000000000000bb") }, waitTimeout, "5ms").Should(Equal(state.WorkflowCompleted))
	time.Sleep(2 * holdMax)
	for _, w := range all {
		h.Expect(running(w)).To(Equal(1))
		for _, r := range w.Records() {
			h.Expect(r.Kind).NotTo(Equal(fleet.EndLeaseExpired))
		}
	}
	h.Expect(maxInFlight.Load()).To(BeNumerically("<=", limit))
	h.expectNoDuplicateRuns(all...)
}
