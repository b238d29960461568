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
	// Batch is what tasks with an end reserve.
	Batch state.Resources
	// IdleCPU is an estimate of the processors that nothing uses, in
	// thousandths. Tasks that use leftover processors share it.
	IdleCPU int64
	// Servers are the serving tasks by image, and Leftover the number of tasks
	// on leftover processors.
	Servers  []RoomServer
	Leftover int
}

// RoomServer is the serving tasks of an image as far as new neighbours are
// concerned.
type RoomServer struct {
	Image string
	Count int
	// Headroom is the utilisation that neighbours may still add to the one
	// that bears least.
	Headroom float64
}

// AddServer adds a serving task.
func (r *PoolRoom) AddServer(image string, headroom float64) {
	for i := range r.Servers {
		if s := &r.Servers[i]; s.Image == image {
			s.Count, s.Headroom = s.Count+1, min(s.Headroom, headroom)
			return
		}
	}
	r.Servers = append(r.Servers, RoomServer{Image: image, Count: 1, Headroom: headroom})
}

// PoolTask is a task of a workflow that waits for a worker.
type PoolTask struct {
	Step *state.WorkflowStep
	// Pressure tells how tasks disturb each other; nil if nothing does.
	Pressure *Pressure
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
	var by Pressures
	disturbs := t.Step.Leftover && t.Pressure != nil
	if disturbs {
		by = t.Pressure.By(t.Step.Image)
	}
	for i, r := range rooms {
		if r == nil || !admits(r, t.Step) || t.Excluded != nil && t.Excluded(i) {
			continue
		}
		score := roomScore(r, t.Step)
		if disturbs {
			excess, added := pressureOn(r, share(t.Step.Size.MilliCPU, r.Capacity.MilliCPU), by)
			if excess > maxExcess {
				continue
			}
			score += pressureWeight * added
		}
		if best < 0 || score < bestScore {
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

// pressureOn returns by how much a new task would push a server of the room
// over what keeps its target, and the utilisation that it adds, both at worst.
func pressureOn(r *PoolRoom, use float64, by Pressures) (excess, added float64) {
	for i := range r.Servers {
		one := by.Of(r.Servers[i].Image) * use
		added = max(added, one)
		excess = max(excess, pressureSafety*one-r.Servers[i].Headroom)
	}
	return excess, added
}

const (
	// minLeftoverShare is the inverse of the share of its processors that a
	// task on leftover processors must find: below it, waiting is faster.
	minLeftoverShare = 2
	// Weights of roomScore in units of a whole worker's load.
	pressureWeight   = 5.0 // of the utilisation that a server gets from a new neighbour
	otherImageWeight = 0.5 // of a server with another image, for a serving task
	clearWeight      = 0.3 // of a worker without servers, for any other task
	leftoverWeight   = 0.1 // of a task on leftover processors, for a serving task
	remoteWeight     = 4.0 // of a worker away from the step's data
	memoryWeight     = 0.5 // of the memory in use
	acceleratorSpare = 2.0 // of a worker with accelerators, for a task that needs none

	// maxExcess is the utilisation over its limit to which a server may be
	// pushed: beyond it the new task would only be paced down again.
	maxExcess = 0.0
)

// roomScore returns how bad a worker is for a task; lower is better.
func roomScore(r *PoolRoom, s *state.WorkflowStep) float64 {
	score := memoryWeight * share(r.Capacity.MemoryMiB-r.Free.MemoryMiB+s.Size.MemoryMiB, r.Capacity.MemoryMiB)
	if s.Leftover {
		score += share(r.Capacity.MilliCPU-r.IdleCPU+s.Size.MilliCPU, r.Capacity.MilliCPU)
	} else {
		score += share(r.Capacity.MilliCPU-r.Free.MilliCPU+s.Size.MilliCPU, r.Capacity.MilliCPU)
	}
	if len(r.Servers) == 0 && !serves(s) {
		score += clearWeight
	}
	if serves(s) {
		score = share(r.Free.MilliCPU-s.Size.MilliCPU, r.Capacity.MilliCPU) + leftoverWeight*float64(r.Leftover)
		// Servers with one image are disturbed by the same neighbours, which
		// leaves other workers to those.
		for _, other := range r.Servers {
			if other.Image != s.Image {
				score += otherImageWeight * float64(other.Count)
			}
		}
	}
	if s.DataRack != "" && !slices.Contains(r.Labels, s.DataRack) {
		score += remoteWeight
	}
	if r.Capacity.Accelerators > 0 && s.Size.Accelerators == 0 {
		score += acceleratorSpare
	}
	return score
}

// serves reports whether the tasks of a step have a target for their tail.
func serves(s *state.WorkflowStep) bool { return s.LongRunning && s.TailMillis > 0 }

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Take books a task on the room.
func (r *PoolRoom) Take(t PoolTask) {
	s := t.Step
	r.Free = r.Free.Sub(s.Reserves())
	r.IdleCPU -= s.Size.MilliCPU
	if s.Leftover {
		r.Leftover++
		if t.Pressure != nil {
			use, by := share(s.Size.MilliCPU, r.Capacity.MilliCPU), t.Pressure.By(s.Image)
			for i := range r.Servers {
				r.Servers[i].Headroom -= by.Of(r.Servers[i].Image) * use
			}
		}
	}
	if !s.LongRunning {
		r.Batch = r.Batch.Add(s.Reserves())
	}
	if serves(s) {
		r.AddServer(s.Image, 0)
	}
}
