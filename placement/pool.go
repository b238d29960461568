package placement

import (
	"slices"

	"apricotrouter/state"
)

// PoolRoom is what a worker of a pool has left for tasks of workflows.
type PoolRoom struct {
	Zone     string
	Labels   []string
	Capacity state.Resources
	Free     state.Resources
	// IdleCPU is an estimate of the processors that nothing uses, in
	// thousandths. Tasks that use leftover processors share it.
	IdleCPU int64
	// Serving and Leftover are the numbers of tasks of these kinds.
	Serving, Leftover int
}

// PoolTask is a task of a workflow that waits for a worker.
type PoolTask struct {
	Step *state.WorkflowStep
	// Excluded reports whether the task must not go to the room with the
	// index: its limit for each worker is reached, or a run failed there.
	Excluded func(room int) bool
}

// ChooseRoom returns the index of the best room for a task, or -1. It answers
// a mixed load of serving tasks, tasks that reserve processors and tasks that
// use leftover ones: work is spread by load, so that the loss of a worker
// costs little, and tasks on leftover processors keep away from serving tasks.
func ChooseRoom(rooms []*PoolRoom, t PoolTask) int {
	best, bestScore := -1, 0.0
	for i, r := range rooms {
		if r == nil || !admits(r, t.Step) || t.Excluded != nil && t.Excluded(i) {
			continue
		}
		if score := roomScore(r, t.Step); best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

func admits(r *PoolRoom, s *state.WorkflowStep) bool {
	if !s.Reserves().Fits(r.Free) || s.Label != "" && !slices.Contains(r.Labels, s.Label) {
		return false
	}
	return !s.Leftover || r.IdleCPU >= s.Size.MilliCPU/minLeftoverShare || r.Leftover == 0
}

const (
	// minLeftoverShare is the inverse of the share of its processors that a
	// task on leftover processors must find: below it, waiting is faster.
	minLeftoverShare = 2
	// Weights of roomScore in units of a whole worker's load.
	servingWeight    = 0.3 // of a serving neighbour, for a task on leftover processors
	leftoverWeight   = 0.1 // of such a task, for a serving one
	remoteWeight     = 4.0 // of a worker away from the step's data
	memoryWeight     = 0.5 // of the memory in use
	acceleratorSpare = 2.0 // of a worker with accelerators, for a task that needs none
)

// roomScore returns how bad a worker is for a task; lower is better.
func roomScore(r *PoolRoom, s *state.WorkflowStep) float64 {
	score := memoryWeight * share(r.Capacity.MemoryMiB-r.Free.MemoryMiB+s.Size.MemoryMiB, r.Capacity.MemoryMiB)
	if s.Leftover {
		score += share(r.Capacity.MilliCPU-r.IdleCPU+s.Size.MilliCPU, r.Capacity.MilliCPU)
		score += servingWeight * float64(r.Serving)
	} else {
		score += share(r.Capacity.MilliCPU-r.Free.MilliCPU+s.Size.MilliCPU, r.Capacity.MilliCPU)
	}
	if s.LongRunning {
		score += leftoverWeight * float64(r.Leftover)
	}
	if s.DataRack != "" && !slices.Contains(r.Labels, s.DataRack) {
		score += remoteWeight
	}
	if r.Capacity.Accelerators > 0 && s.Size.Accelerators == 0 {
		score += acceleratorSpare
	}
	return score
}

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Take books a task on the room.
func (r *PoolRoom) Take(s *state.WorkflowStep) {
	r.Free = r.Free.Sub(s.Reserves())
	r.IdleCPU -= s.Size.MilliCPU
	if s.Leftover {
		r.Leftover++
	}
	if s.LongRunning {
		r.Serving++
	}
}
