package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/placement"
	"apricotrouter/state"
)

// randomWorkers returns a pool with serving tasks on most workers. A nil entry
// is a worker that is reserved for another task.
func randomWorkers(r *rand.Rand, count int) []*placement.WorkerCapacity {
	workers := make([]*placement.WorkerCapacity, count)
	for i := range workers {
		if r.IntN(20) == 0 {
			continue // reserved for another task
		}
		worker := &placement.WorkerCapacity{
			Labels: []string{"a", fmt.Sprint("r", i/12)}, Capacity: state.Resources{MilliCPU: 64000, MemoryMiB: 256000},
			Free: state.Resources{MilliCPU: 64000, MemoryMiB: 256000}, IdleCPU: 64000,
		}
		for range r.IntN(4) {
			s := &state.WorkflowStep{
				LongRunning: true, TailMillis: 50, Image: fmt.Sprint("s", r.IntN(5)),
				Size: state.Resources{MilliCPU: 5000 + r.Int64N(9000), MemoryMiB: 20000},
			}
			worker.Reserve(placement.PoolTask{Step: s})
			worker.ServingGroups[0].Headroom = r.Float64()
		}
		workers[i] = worker
	}
	return workers
}

func cloneWorkers(workers []*placement.WorkerCapacity) []*placement.WorkerCapacity {
	all := make([]*placement.WorkerCapacity, len(workers))
	for i, r := range workers {
		if r != nil {
			c := *r
			c.ServingGroups = append([]placement.ServingGroup(nil), r.ServingGroups...)
			all[i] = &c
		}
	}
	return all
}

// Guards against a ranking that chooses other workers for a step with many
// tasks than ChooseWorker would for each task.
func TestRankingMatchesChooseWorker(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for round := range 200 {
		g := NewWithT(t)
		workers := randomWorkers(r, 40)
		step := &state.WorkflowStep{
			Image: "l", Size: state.Resources{MilliCPU: 1000 + r.Int64N(20000), MemoryMiB: r.Int64N(60000)},
			BestEffort: r.IntN(2) == 0,
		}
		if r.IntN(4) == 0 {
			step.DataRack = "r1"
		}
		if r.IntN(4) == 0 {
			step.BestEffort, step.LongRunning, step.TailMillis = false, true, 40
		}
		perWorker := r.IntN(3)
		task := func(on map[int]int) placement.PoolTask {
			return placement.PoolTask{Step: step, InterferenceModel: placement.NewInterferenceModel(), Excluded: func(i int) bool {
				return perWorker > 0 && on[i] >= perWorker
			}}
		}
		direct, ranked := cloneWorkers(workers), cloneWorkers(workers)
		onDirect, onRanked := map[int]int{}, map[int]int{}
		ranking := placement.Rank(ranked, task(onRanked))
		for range 60 {
			want, got := placement.ChooseWorker(direct, task(onDirect)), ranking.Best()
			g.Expect(got).To(Equal(want), "round %d", round)
			if want < 0 {
				break
			}
			direct[want].Reserve(task(onDirect))
			onDirect[want]++
			ranked[got].Reserve(task(onRanked))
			onRanked[got]++
			ranking.Update()
		}
	}
}

// BenchmarkWideStep measures the placement of a step with 40 tasks, with
// ChooseWorker for each task and with a ranking.
func BenchmarkWideStep(b *testing.B) {
	const width = 40
	for _, workers := range []int{50, 350, 890, 2000} {
		candidates := randomWorkers(rand.New(rand.NewPCG(1, 2)), workers)
		task := placement.PoolTask{InterferenceModel: placement.NewInterferenceModel(), Step: &state.WorkflowStep{
			Image: "l", BestEffort: true, Size: state.Resources{MilliCPU: 7000, MemoryMiB: 13000},
		}}
		b.Run(fmt.Sprintf("workers=%d/each", workers), func(b *testing.B) {
			for b.Loop() {
				trial := cloneWorkers(candidates)
				for range width {
					trial[placement.ChooseWorker(trial, task)].Reserve(task)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/width, "us/task")
		})
		b.Run(fmt.Sprintf("workers=%d/ranked", workers), func(b *testing.B) {
			for b.Loop() {
				trial := cloneWorkers(candidates)
				ranking := placement.Rank(trial, task)
				for range width {
					trial[ranking.Best()].Reserve(task)
					ranking.Update()
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/width, "us/task")
		})
	}
}
