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

// Guards against an unnecessary commit between dependent steps: the ends of a
// step and the starts that depend on them must go into one entry. The
// objectives of chains of short steps allow only a few commits.
func TestDependentStepStartsWithTheEntryOfItsEnds(t *testing.T) {
	var records atomic.Int64
	h := newHarness(t, func(o *fleet.Options) { o.Log = recordLog{o.Log, &records} })
	a := h.addWorker("a", pool.Options{RunTime: runFor60ms})
	h.Expect(h.submit(step(1), step(1, afterFirst))).To(Equal(fleet.OutcomeDone))
	h.expectPhase(state.WorkflowCompleted)
	h.expectNoDuplicateRuns(a)
	h.Expect(a.Records()).To(HaveLen(2))
	h.Expect(records.Load()).To(BeNumerically("<=", 3), "entries: one start; one end with a start; one end")
}

func afterFirst(s *state.WorkflowStep) { s.DependsOn = []int{0} }
