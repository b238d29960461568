package placement_test

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/placement"
	"apricotrouter/state"
)

// chooser is a policy that chooses a room for a task.
type chooser func(rooms []*placement.PoolRoom, t placement.PoolTask) int

// mostFree is the policy before: the worker with the most processors free.
func mostFree(rooms []*placement.PoolRoom, t placement.PoolTask) int {
	best := -1
	for i, r := range rooms {
		if t.Step.Size.Fits(r.Free) && (best < 0 || r.Free.MilliCPU > rooms[best].Free.MilliCPU) {
			best = i
		}
	}
	return best
}

// replayFragments runs a stream of batch tasks in a pool whose serving tasks
// leave pieces of 17 to 24 processors on most workers and a few workers whole.
// It returns how many rounds large tasks and small ones waited in the mean, and
// how many large ones never started.
func replayFragments(choose chooser, seed uint64) (large, small float64, never int) {
	const (
		workers, whole = 60, 6
		rounds         = 2000
		lasting        = 8 // rounds of a task
	)
	r := rand.New(rand.NewPCG(seed, 7))
	rooms := make([]*placement.PoolRoom, workers)
	for i := range rooms {
		free := int64(64_000)
		if i >= whole {
			free = 17_000 + r.Int64N(7000)
		}
		rooms[i] = &placement.PoolRoom{
			Capacity: state.Resources{MilliCPU: 64_000, MemoryMiB: 256_000},
			Free:     state.Resources{MilliCPU: free, MemoryMiB: 200_000}, IdleCPU: 64_000,
		}
	}
	type waiting struct {
		step  *state.WorkflowStep
		since int
	}
	type running struct {
		room int
		size state.Resources
		end  int
	}
	var queue []waiting
	var active []running
	waited, started := map[bool]int{}, map[bool]int{}
	for now := range rounds {
		kept := active[:0]
		for _, a := range active {
			if a.end > now {
				kept = append(kept, a)
				continue
			}
			rooms[a.room].Free = rooms[a.room].Free.Add(a.size)
		}
		active = kept
		for range 3 + r.IntN(3) {
			size := 10_000 + r.Int64N(7000)
			if r.IntN(16) == 0 {
				size = 40_000 + r.Int64N(20_000)
			}
			queue = append(queue, waiting{&state.WorkflowStep{Size: state.Resources{MilliCPU: size, MemoryMiB: 1000}}, now})
		}
		left := queue[:0]
		for _, q := range queue {
			task := placement.PoolTask{Step: q.step}
			i := choose(rooms, task)
			if i < 0 {
				left = append(left, q)
				continue
			}
			rooms[i].Take(task)
			active = append(active, running{i, q.step.Size, now + lasting})
			isLarge := q.step.Size.MilliCPU >= 40_000
			waited[isLarge] += now - q.since
			started[isLarge]++
		}
		queue = left
	}
	for _, q := range queue {
		if q.step.Size.MilliCPU >= 40_000 {
			never++
		}
	}
	return float64(waited[true]) / float64(max(1, started[true])), float64(waited[false]) / float64(max(1, started[false])), never
}

// Guards against small tasks that break up the only workers on which large
// ones fit: short jobs with large tasks waited 1.7 to 6.7 times their objective
// while smaller ones met it.
func TestLargeTasksFindWholeWorkers(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(10) {
		large, small, never := replayFragments(placement.ChooseRoom, seed)
		before, smallBefore, neverBefore := replayFragments(mostFree, seed)
		g.Expect(large).To(BeNumerically("<", before/2), "seed %d: mean wait of large tasks in rounds", seed)
		g.Expect(never).To(BeNumerically("<=", neverBefore), "seed %d", seed)
		g.Expect(small).To(BeNumerically("<=", smallBefore+1), "seed %d: small tasks pay little", seed)
	}
}
