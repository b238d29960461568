package fleet_test

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"apricotrouter/event"
	"apricotrouter/fleet"
	"apricotrouter/replica"
	"apricotrouter/standin/pool"
	"apricotrouter/state"
)

// Guards against logs that do not show what the run times of a workflow were
// thought to be, and against a new leader that uses run times which it has not
// observed.
func TestLogsShowLearnedRunTimes(t *testing.T) {
	var logs logBuffer
	h := newHarness(t, func(o *fleet.Options) { o.Logger = slog.New(slog.NewJSONHandler(&logs, nil)) })
	o := pool.Options{RunTime: func(fleet.TaskPosition, uint64) time.Duration { return 100 * time.Millisecond }}
	a, b := h.addWorker("a", o), h.addWorker("b", o)
	tasks := step(8, withEstimate(20*time.Millisecond))
	complete := func(id string) {
		h.submitAs(id, tasks)
		h.Eventually(func() state.WorkflowPhase { return h.phaseOf(id) }, waitTimeout).Should(Equal(state.WorkflowCompleted))
	}
	for i := range 4 {
		complete(fmt.Sprintf("a00000000000000%d", i))
	}
	line := logs.last(event.WorkflowEstimated)
	h.Expect(line).To(HaveKeyWithValue("workflow", "a000000000000003"))
	h.Expect(line).To(HaveKeyWithValue("declared_path_ms", 20.0))
	h.Expect(line).To(HaveKeyWithValue("path_ms", BeNumerically(">=", 100.0)))
	h.Expect(line["widest"]).To(HaveKeyWithValue("p50_ms", BeNumerically(">=", 100.0)))
	h.Expect(line).To(HaveKeyWithValue("objective_ms", 1040.0), "2 times the declared path and 1 s")

	l := h.log.Leadership()
	h.log.SetLeadership(replica.Leadership{Term: l.Term + 1, Self: true, Leader: l.Leader})
	complete("b000000000000000")
	h.Expect(logs.last(event.WorkflowEstimated)).To(HaveKeyWithValue("workflow", "a000000000000003"))
	h.expectNoDuplicateRuns(a, b)
}
