package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"apricotrouter/replica"
	"apricotrouter/state"
)

// Guards against two incarnations of a worker, or two activations, with the same
// fence, and against a fence that is lower than an earlier one.
func TestFencesRiseWithinATermAndBetweenTerms(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{Log: memoryLog{replica.NewFakeLog(clockwork.NewRealClock())}, Dial: func(state.PoolWorker) Worker { return unreachableWorker{} }})
	last := uint64(0)
	higher := func(fence uint64) {
		g.Expect(fence).To(BeNumerically(">", last))
		last = fence
	}
	for term := uint64(1); term < 4; term++ {
		for range 3 {
			c.activate(replica.Leadership{Term: term, Self: true})
			higher(c.fence)
			higher(c.nextFence())
			c.deactivate("test")
		}
	}
	c.fenceSequence = 1<<fenceShift - 1
	higher(c.term<<fenceShift | c.fenceSequence)
	c.activate(replica.Leadership{Term: 4, Self: true})
	higher(c.fence)
}

// Guards against a leader that continues with a fence that is not higher than
// those that it has used.
func TestLeaderWithoutFencesEnds(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{Log: memoryLog{replica.NewFakeLog(clockwork.NewRealClock())}, Dial: func(state.PoolWorker) Worker { return unreachableWorker{} }})
	c.term, c.fenceSequence = c.opts.Log.Leadership().Term, maxFenceSequence
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	g.Expect(c.Run(ctx)).To(MatchError(errFencesExhausted))
}
