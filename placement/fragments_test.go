package placement_test

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/placement"
	"apricotrouter/state"
)

// policy selects a worker for a task.
type policy func(workers []*placement.WorkerCapacity, t placement.PoolTask) int

// mostFree is the previous policy, which selects the worker with the most free
// CPU.
func mostFree(workers []*placement.WorkerCapacity, t placement.PoolTask) int {
	best := -1
	for i, r := range workers {
		if t.Step.Size.FitsIn(r.Free) && (best < 0 || r.Free.MilliCPU > workers[best].Free.MilliCPU) {
			best = i
		}
	}
	return best
}

// replayFragments runs a stream of batch tasks in a pool. Serving tasks leave
// fragments of 17 to 24 processors free on most workers, and a few workers are
// empty. It returns the mean wait of large and of small tasks in steps, and the
// number of large tasks that never started.
func replayFragments(choose policy, seed uint64) (large, small float64, unstarted int) {
	const (
		workerCount, emptyWorkers = 60, 6
		steps                     = 2000
		taskSteps                 = 8 // duration of a task in steps
	)
	r := rand.New(rand.NewPCG(seed, 7))
	workers := make([]*placement.WorkerCapacity, workerCount)
	for i := range workers {
		free := int64(64_000)
		if i >= emptyWorkers {
			free = 17_000 + r.Int64N(7000)
		}
		workers[i] = &placement.WorkerCapacity{
			Capacity: state.Resources{MilliCPU: 64_000, MemoryMiB: 256_000},
			Free:     state.Resources{MilliCPU: free, MemoryMiB: 200_000}, IdleCPU: 64_000,
		}
	}
	type waiting struct {
		step  *state.WorkflowStep
		since int
	}
	type running struct {
		worker int
		size   state.Resources
		end    int
	}
	var queue []waiting
	var active []running
	waited, started := map[bool]int{}, map[bool]int{}
	for now := range steps {
		stillActive := active[:0]
		for _, a := range active {
			if a.end > now {
				stillActive = append(stillActive, a)
				continue
			}
			workers[a.worker].Free = workers[a.worker].Free.Add(a.size)
		}
		active = stillActive
		for range 3 + r.IntN(3) {
			size := 10_000 + r.Int64N(7000)
			if r.IntN(16) == 0 {
				size = 40_000 + r.Int64N(20_000)
			}
			queue = append(queue, waiting{&state.WorkflowStep{Size: state.Resources{MilliCPU: size, MemoryMiB: 1000}}, now})
		}
		stillQueued := queue[:0]
		for _, q := range queue {
			task := placement.PoolTask{Step: q.step}
			i := choose(workers, task)
			if i < 0 {
				stillQueued = append(stillQueued, q)
				continue
			}
			workers[i].Reserve(task)
			active = append(active, running{i, q.step.Size, now + taskSteps})
			isLarge := q.step.Size.MilliCPU >= 40_000
			waited[isLarge] += now - q.since
			started[isLarge]++
		}
		queue = stillQueued
	}
	for _, q := range queue {
		if q.step.Size.MilliCPU >= 40_000 {
			unstarted++
		}
	}
	return float64(waited[true]) / float64(max(1, started[true])), float64(waited[false]) / float64(max(1, started[false])), unstarted
}

// Guards against small tasks that fragment the only workers on which large
// tasks fit. Short jobs with large tasks waited 1.7 to 6.7 times their
// objective while jobs with smaller tasks met it.
func TestSmallTasksDoNotFragmentEmptyWorkers(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(10) {
		large, small, unstarted := replayFragments(placement.ChooseWorker, seed)
		largeBaseline, smallBaseline, unstartedBaseline := replayFragments(mostFree, seed)
		g.Expect(large).To(BeNumerically("<", largeBaseline/2), "seed %d: mean wait of large tasks in steps", seed)
		g.Expect(unstarted).To(BeNumerically("<=", unstartedBaseline), "seed %d", seed)
		g.Expect(small).To(BeNumerically("<=", smallBaseline+1), "seed %d: small tasks wait hardly longer", seed)
	}
}
