package placement

import (
	"container/heap"
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
// use leftover ones. Tasks that reserve go where they leave least free: the
// pieces beside serving tasks serve the small ones, and the large ones, which
// fit nowhere else, find whole workers. Tasks on leftover processors are spread
// by load and keep away from serving tasks.
func ChooseRoom(rooms []*PoolRoom, t PoolTask) int {
	best, bestScore := -1, 0.0
	by := t.pressures()
	for i := range rooms {
		if score, ok := t.rate(rooms, i, by); ok && (best < 0 || score < bestScore) {
			best, bestScore = i, score
		}
	}
	return best
}

// pressures returns how the task disturbs serving tasks, or nil if it does not.
func (t *PoolTask) pressures() Pressures {
	if !t.Step.Leftover || t.Pressure == nil {
		return nil
	}
	return t.Pressure.By(t.Step.Image)
}

// rate returns how bad a room is for the task, and whether it may go there.
func (t *PoolTask) rate(rooms []*PoolRoom, i int, by Pressures) (score float64, ok bool) {
	r := rooms[i]
	if r == nil || !admits(r, t.Step) || t.Excluded != nil && t.Excluded(i) {
		return 0, false
	}
	score = roomScore(r, t.Step)
	if t.Step.Leftover && t.Pressure != nil {
		excess, added := pressureOn(r, share(t.Step.Size.MilliCPU, r.Capacity.MilliCPU), by)
		if excess > maxExcess {
			return 0, false
		}
		score += pressureWeight * added
	}
	return score, true
}

// Ranking is the rooms that a task may go to, the best one first. It answers
// wide steps in large pools: equal tasks need one look at all rooms, not one
// each. A Ranking and ChooseRoom choose the same rooms.
type Ranking struct {
	rooms []*PoolRoom
	task  PoolTask
	by    Pressures
	heap  []rankedRoom
}

// rankedRoom is a room with its score; a lower one is better.
type rankedRoom struct {
	score float64
	room  int
}

// Rank ranks the rooms for tasks that are equal to t. While the ranking is in
// use, rooms may only change by Take on the best one, and nothing that Excluded
// reports may change for another room but from false to true.
func Rank(rooms []*PoolRoom, t PoolTask) *Ranking {
	k := &Ranking{rooms: rooms, task: t, by: t.pressures()}
	for i := range rooms {
		if score, ok := t.rate(rooms, i, k.by); ok {
			k.heap = append(k.heap, rankedRoom{score, i})
		}
	}
	heap.Init(k)
	return k
}

// Best returns the index of the best room, or -1.
func (k *Ranking) Best() int {
	for len(k.heap) > 0 {
		i := k.heap[0].room
		if k.task.Excluded == nil || !k.task.Excluded(i) {
			return i
		}
		heap.Pop(k)
	}
	return -1
}

// Update rates the best room anew, after a task was booked on it.
func (k *Ranking) Update() {
	score, ok := k.task.rate(k.rooms, k.heap[0].room, k.by)
	if !ok {
		heap.Pop(k)
		return
	}
	k.heap[0].score = score
	heap.Fix(k, 0)
}

// Len implements heap.Interface.
func (k *Ranking) Len() int { return len(k.heap) }

// Less implements heap.Interface.
func (k *Ranking) Less(i, j int) bool {
	a, b := k.heap[i], k.heap[j]
	return a.score < b.score || a.score == b.score && a.room < b.room
}

// Swap implements heap.Interface.
func (k *Ranking) Swap(i, j int) { k.heap[i], k.heap[j] = k.heap[j], k.heap[i] }

// Push implements heap.Interface.
func (k *Ranking) Push(x any) { k.heap = append(k.heap, x.(rankedRoom)) }

// Pop implements heap.Interface.
func (k *Ranking) Pop() any {
	last := k.heap[len(k.heap)-1]
	k.heap = k.heap[:len(k.heap)-1]
	return last
}

// AdmitsWithoutBatch reports whether a task has room once the batch tasks there
// have ended.
func AdmitsWithoutBatch(r *PoolRoom, s *state.WorkflowStep) bool {
	return s.Reserves().Fits(r.Free.Add(r.Batch)) && hasLabel(r, s)
}

func hasLabel(r *PoolRoom, s *state.WorkflowStep) bool {
	return s.Label == "" || slices.Contains(r.Labels, s.Label)
}

func admits(r *PoolRoom, s *state.WorkflowStep) bool {
	if !s.Reserves().Fits(r.Free) || !hasLabel(r, s) {
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
		score += share(r.Free.MilliCPU-s.Size.MilliCPU, r.Capacity.MilliCPU)
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
