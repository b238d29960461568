package fleet_test

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"apricotrouter/event"
	"apricotrouter/fleet"
	"apricotrouter/standin/pool"
	"apricotrouter/state"
)

// logBuffer collects the lines of a logger.
type logBuffer struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.Write(p)
}

// last returns the last line of an event, or nil.
func (b *logBuffer) last(e event.Event) map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found map[string]any
	for line := range bytes.Lines(b.lines.Bytes()) {
		var fields map[string]any
		if json.Unmarshal(line, &fields) == nil && fields["event"] == float64(e.Number) {
			found = fields
		}
	}
	return found
}

// Guards against logs that do not show whether a late workflow waited for free
// capacity, or how much was free.
func TestLogsShowCauseOfLateWorkflow(t *testing.T) {
	var logs logBuffer
	h := newHarness(t, func(o *fleet.Options) { o.Logger = slog.New(slog.NewJSONHandler(&logs, nil)) })
	a := h.addWorker("a", pool.Options{RunTime: runForever})
	h.Expect(h.submit(step(3, untilStopped))).To(Equal(fleet.OutcomeDone)) // leaves 1000 of 4000
	h.Eventually(func() int { return running(a) }, waitTimeout).Should(Equal(3))
	large := step(2, func(s *state.WorkflowStep) { s.Size.MilliCPU = 1500 })
	h.submitAs("00000000000000b1", large)
	h.Eventually(func() any { return logs.last(event.WorkflowMissedObjective) }, waitTimeout).ShouldNot(BeNil())
	late := logs.last(event.WorkflowMissedObjective)
	h.Expect(late).To(HaveKeyWithValue("workflow", "00000000000000b1"))
	h.Expect(late).To(HaveKeyWithValue("waiting", 2.0))
	h.Expect(late).To(HaveKeyWithValue("largest_milli_cpu", 1500.0))
	h.Eventually(func() any { return logs.last(event.PoolCapacity)["batch"] }, waitTimeout).Should(HaveKeyWithValue("waiting", 2.0))
	occupancy := logs.last(event.PoolCapacity)
	h.Expect(occupancy).To(HaveKeyWithValue("serving_milli_cpu", 3000.0))
	h.Expect(occupancy).To(HaveKeyWithValue("largest_free_milli_cpu", 1000.0))
	h.Expect(occupancy["batch"]).To(HaveKeyWithValue("fitting", 0.0))
	h.submitAs("00000000000000b2", step(2, withCPU(900), withEstimate(time.Hour)))
	h.Eventually(func() any { return logs.last(event.PoolCapacity)["batch"] }, waitTimeout).Should(And(
		HaveKeyWithValue("waiting", 3.0), HaveKeyWithValue("fitting", 0.0), HaveKeyWithValue("expired", BeNumerically(">=", 1.0))), "one task of the second workflow runs")
}

// Guards against logs that do not distinguish a lack of free capacity from
// capacity that is reserved for batch tasks.
func TestLogsShowCauseOfServingTaskWait(t *testing.T) {
	var logs logBuffer
	h := newHarness(t, func(o *fleet.Options) { o.Logger = slog.New(slog.NewJSONHandler(&logs, nil)) })
	h.addWorker("a", pool.Options{RunTime: shortBatch})
	h.submitAs("a000000000000001", step(4, withCPU(1500), withEstimate(10*time.Second)))
	h.Eventually(func() state.WorkflowPhase { return h.phaseOf("a000000000000001") }, waitTimeout).Should(Equal(state.WorkflowCompleted))
	h.submitAs("0000000000000002", step(4, untilStopped, withCPU(1000)))
	h.Eventually(func() any { return logs.last(event.ServingTaskWaiting) }, waitTimeout).ShouldNot(BeNil())
	line := logs.last(event.ServingTaskWaiting)
	h.Expect(line).To(HaveKeyWithValue("workflow", "0000000000000002"))
	h.Expect(line).To(HaveKeyWithValue("share", 1.0), "%v", line)
	h.Expect(line).To(HaveKeyWithValue("largest_admitted_milli_cpu", BeNumerically(">=", 2000.0)))
	h.Expect(line).To(HaveKeyWithValue("waited_ms", BeNumerically(">=", 2000.0)))
	h.Expect(line).To(HaveKeyWithValue("share_unit_milli_cpu", 1500.0))
}
