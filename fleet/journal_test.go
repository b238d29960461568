package fleet_test

import (
	"context"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/fleet"
	"apricotrouter/replica"
	"apricotrouter/standin/pool"
	"apricotrouter/state"
)

// recordLog counts the entries that record starts and ends.
type recordLog struct {
	replica.Log
	records *atomic.Int64
}

func (l recordLog) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	if c.Kind == state.KindRecordTasks {
		l.records.Add(1)
	}
	return l.Log.Propose(ctx, c)
}

// Guards against a step that waits for one commit more than it needs: the ends
// that it waits for and its starts go into one entry. Chains of short steps
// have objectives of a few commits.
func TestDependentStepStartsWithTheEntryOfItsEnds(t *testing.T) {
	var records atomic.Int64
	h := newHarness(t, func(o *fleet.Options) { o.Log = recordLog{o.Log, &records} })
	a := h.worker("a", pool.Options{Work: slowly})
	h.Expect(h.submit(step(1), step(1, afterFirst))).To(Equal(fleet.Done))
	h.eventually(state.WorkflowCompleted)
	h.expectOnce(a)
	h.Expect(a.Records()).To(HaveLen(2))
	h.Expect(records.Load()).To(BeNumerically("<=", 3), "a start, an end with a start, an end")
}

func afterFirst(s *state.WorkflowStep) { s.DependsOn = []int{0} }
