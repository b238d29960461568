package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/placement"
	"apricotrouter/state"
)

// Guards against a bound that rejects a task which fits on a worker, or that
// rejects nothing: random pools and tasks are compared with a search of all
// workers.
func TestLargestBestEffortRejectsOnlyWhatFitsNowhere(t *testing.T) {
	g := NewWithT(t)
	rejected, unplaced := 0, 0
	for seed := range uint64(2000) {
		r := rand.New(rand.NewPCG(seed, 1))
		m := placement.NewInterferenceModel()
		var load placement.Load
		for n := range int64(20) {
			m.Observe(&load, placement.TailSample{
				Image: fmt.Sprint("s", n%3), AtMillis: 500 * (n + 1), TailMillis: 20 + r.Int64N(200), TargetMillis: 100,
				Uses: map[string]float64{fmt.Sprint("b", n%2): r.Float64()},
			})
		}
		var workers []*placement.WorkerCapacity
		for range 1 + r.IntN(4) {
			w := &placement.WorkerCapacity{
				Capacity: state.Resources{MilliCPU: 16_000, MemoryMiB: 8000}, Free: state.Resources{MemoryMiB: 8000},
				IdleCPU: r.Int64N(6000) - 1000, BestEffort: r.IntN(4),
			}
			for n := range r.IntN(3) {
				w.AddServingTask(fmt.Sprint("s", n), r.Float64()*0.3-0.02)
			}
			workers = append(workers, w)
		}
		image := fmt.Sprint("b", r.IntN(3))
		largest := placement.LargestBestEffort(workers, m, image)
		for range 20 {
			step := &state.WorkflowStep{Count: 1, Image: image, BestEffort: true, Size: state.Resources{MilliCPU: 1 + r.Int64N(8000), MemoryMiB: 100}}
			fits := placement.ChooseWorker(workers, placement.PoolTask{Step: step, InterferenceModel: m}) >= 0
			if !fits {
				unplaced++
			}
			if step.Size.MilliCPU > largest {
				rejected++
				g.Expect(fits).To(BeFalse(), "seed %d, %d of at most %d", seed, step.Size.MilliCPU, largest)
			}
		}
	}
	t.Logf("%d of %d tasks that fit nowhere were rejected", rejected, unplaced)
	g.Expect(rejected).To(BeNumerically(">", unplaced*9/10))
}
