package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/placement"
	"apricotrouter/state"
)

// Guards against images that are taken into account in another order or with
// another weight than their waiting CPU.
func TestWaitingImagesAreThoseWithTheMostCPU(t *testing.T) {
	g := NewWithT(t)
	g.Expect(placement.NewWaitingImages(map[string]placement.WaitingCPU{
		"a": {Tasks: 10, MilliCPU: 10_000}, "b": {Tasks: 10, MilliCPU: 20_000}, "c": {Tasks: 1, MilliCPU: 5000},
		"d": {Tasks: 1, MilliCPU: 5000}, "e": {Tasks: 100, MilliCPU: 60_000}, "none": {},
	})).To(Equal([]placement.WaitingImage{{"e", 600, 0.6}, {"b", 2000, 0.2}, {"a", 1000, 0.1}, {"c", 5000, 0.05}}))
	g.Expect(placement.NewWaitingImages(nil)).To(BeEmpty())
}

// placeServers places serving tasks of six images, in steps with one task per
// worker, on 40 workers of 16 processors that are full of best-effort tasks of
// image "l" otherwise, and returns how many of these fit at the full rate in the
// end. The image interferes with the first three of the six. All serving tasks
// are at their mean load.
func placeServers(seed uint64, waiting []placement.WaitingImage) (placed, usable int) {
	const numWorkers, steps, width, images, taskCPU, workerCPU = 40, 14, 6, 6, 1800, 16_000
	r := rand.New(rand.NewPCG(seed, 13))
	var saved state.SetInterference
	for i := range images {
		coefficient := 0.05
		if i < images/2 {
			coefficient = 6
		}
		saved.Images = append(saved.Images, state.ServingImage{
			Image: fmt.Sprint("s", i), MinTailMillis: 25, Load: 0.35, Interference: []state.ImageInterference{{BestEffort: "l", Value: coefficient}},
		})
	}
	model := placement.RestoreInterferenceModel(&saved)
	serving := make([][]*state.WorkflowStep, numWorkers)
	bestEffort := placement.PoolTask{InterferenceModel: model, Step: &state.WorkflowStep{BestEffort: true, Image: "l", Size: state.Resources{MilliCPU: taskCPU, MemoryMiB: 1000}}}
	// full returns the workers with their serving tasks and as many best-effort
	// tasks as fit.
	full := func() (workers []*placement.WorkerCapacity, bestEffortTasks int) {
		workers = make([]*placement.WorkerCapacity, numWorkers)
		for i := range workers {
			size := state.Resources{MilliCPU: workerCPU, MemoryMiB: 64_000}
			workers[i] = &placement.WorkerCapacity{Capacity: size, Free: size, IdleCPU: workerCPU}
			for _, step := range serving[i] {
				workers[i].Reserve(placement.PoolTask{Step: step})
			}
			for j := range workers[i].ServingGroups {
				g := &workers[i].ServingGroups[j]
				g.Headroom = model.Limit(g.Image, 100) - model.Load(g.Image)
			}
		}
		for {
			i := placement.ChooseWorker(workers, bestEffort)
			if i < 0 {
				return workers, bestEffortTasks
			}
			workers[i].Reserve(bestEffort)
			bestEffortTasks++
		}
	}
	for range steps {
		step := &state.WorkflowStep{
			LongRunning: true, TailMillis: 100, Image: fmt.Sprint("s", r.IntN(images)), Size: state.Resources{MilliCPU: 1500 + r.Int64N(2000), MemoryMiB: 3000},
		}
		workers, _ := full()
		used := make(map[int]bool)
		for range width {
			task := placement.PoolTask{Step: step, InterferenceModel: model, WaitingImages: waiting, Excluded: func(i int) bool { return used[i] }}
			if i := placement.ChooseWorker(workers, task); i >= 0 {
				placed++
				used[i], serving[i] = true, append(serving[i], step)
				workers[i].Reserve(task)
			}
		}
	}
	_, usable = full()
	return placed, usable
}

// Guards against serving tasks that spread over the workers which waiting
// best-effort tasks could use. Load pattern: overload with best-effort tasks of
// one image, which interferes with half of the serving images, while workflows
// of serving tasks with one task per worker are submitted.
func TestServingTasksLeaveWorkersToWaitingImages(t *testing.T) {
	g := NewWithT(t)
	waiting := placement.NewWaitingImages(map[string]placement.WaitingCPU{"l": {Tasks: 1000, MilliCPU: 1_800_000}})
	const seeds = 30
	before, after := 0, 0
	for seed := range uint64(seeds) {
		placedBefore, usableBefore := placeServers(seed, nil)
		placedAfter, usableAfter := placeServers(seed, waiting)
		g.Expect(placedAfter).To(Equal(placedBefore), "seed %d", seed)
		before, after = before+usableBefore, after+usableAfter
	}
	t.Logf("%d best-effort tasks fit before, %d now, mean of %d seeds", before/seeds, after/seeds, seeds)
	g.Expect(float64(after)).To(BeNumerically(">", 1.1*float64(before)))
}
