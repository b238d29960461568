package placement

import (
	"container/heap"
	"math"
	"slices"

	"apricotrouter/state"
)

// WorkerCapacity is the free capacity of one worker of a pool for workflow
// tasks.
type WorkerCapacity struct {
	Zone     string
	Labels   []string
	Capacity state.Resources
	Free     state.Resources
	// Batch is the sum of the reservations of tasks that are not long-running.
	Batch state.Resources
	// IdleCPU is an estimate of the idle CPU in thousandths of a processor.
	// Best-effort tasks share it.
	IdleCPU int64
	// ServingGroups are the serving tasks, grouped by image. BestEffort is the
	// number of best-effort tasks, and BestEffortCPU what they use at the full
	// rate.
	ServingGroups []ServingGroup
	BestEffort    int
	BestEffortCPU int64
	// Slowdown is how many times longer tasks take on the worker than on others,
	// less than 1 for a fast one; 0 if unknown.
	Slowdown float64
	// OverTarget is set if the measured tail latency of a serving task exceeds
	// its target.
	OverTarget bool
}

// ServingGroup is a group of serving tasks with the same image on one worker.
type ServingGroup struct {
	Image string
	Count int
	// Headroom is the utilisation that further best-effort tasks may add to the
	// serving task of the group that is closest to its limit.
	Headroom float64
	// CoLocated is the utilisation that the best-effort tasks of the worker add
	// to a serving task of the group at the full rate.
	CoLocated float64
}

// AddServingTask adds a serving task.
func (r *WorkerCapacity) AddServingTask(image string, headroom float64) {
	for i := range r.ServingGroups {
		if s := &r.ServingGroups[i]; s.Image == image {
			s.Count, s.Headroom = s.Count+1, min(s.Headroom, headroom)
			return
		}
	}
	r.ServingGroups = append(r.ServingGroups, ServingGroup{Image: image, Count: 1, Headroom: headroom})
}

// PoolTask is a workflow task that waits for a worker.
type PoolTask struct {
	Step *state.WorkflowStep
	// InterferenceModel is the interference model, or nil if interference is
	// not considered.
	InterferenceModel *InterferenceModel
	// MinStartRate is the lowest execution rate at which a best-effort task may
	// start, in percent, see MinStartRate. 0 means that it starts only at the
	// full rate.
	MinStartRate int
	// WaitingImages are the images of best-effort tasks that wait, for a serving
	// task.
	WaitingImages []WaitingImage
	// Excluded reports whether the task must not be placed on the worker with
	// the index, because the limit of tasks per worker is reached or a run
	// failed there.
	Excluded func(worker int) bool
}

// ChooseWorker returns the index of the best worker for a task, or -1. Tasks
// with a reservation go to the worker where they leave the least CPU free:
// small tasks fill the fragments next to serving tasks, and empty workers
// remain available for large tasks, which fit nowhere else. Best-effort tasks
// are spread by load, away from serving tasks.
func ChooseWorker(workers []*WorkerCapacity, t PoolTask) int {
	best, bestScore := -1, 0.0
	coefficients := t.interferenceCoefficients()
	for i := range workers {
		if score, ok := t.scoreOn(workers, i, coefficients); ok && (best < 0 || score < bestScore) {
			best, bestScore = i, score
		}
	}
	return best
}

// interferenceCoefficients returns the interference coefficients of the task by
// serving image, or nil if the task reserves its CPU or there is no model.
func (t *PoolTask) interferenceCoefficients() InterferenceCoefficients {
	if !t.Step.BestEffort || t.InterferenceModel == nil {
		return nil
	}
	return t.InterferenceModel.CoefficientsOf(t.Step.Image)
}

// scoreOn returns the score of a worker for the task, lower being better, and
// whether the task may be placed there.
func (t *PoolTask) scoreOn(workers []*WorkerCapacity, i int, coefficients InterferenceCoefficients) (score float64, ok bool) {
	r := workers[i]
	if r == nil || !t.fitsOn(r) || t.Excluded != nil && t.Excluded(i) {
		return 0, false
	}
	score = workerScore(r, t.Step)
	if t.Step.BestEffort && t.InterferenceModel != nil {
		fit, added := interferenceFit(r, fractionOf(t.Step.Size.MilliCPU, r.Capacity.MilliCPU), coefficients)
		if t.startRate(r, fit) == 0 {
			return 0, false
		}
		score += interferenceWeight * added
		if fit < 1 {
			score += reducedRateWeight * (2 - fit)
		}
	}
	if hasTailTarget(t.Step) && len(t.WaitingImages) > 0 && t.InterferenceModel != nil {
		score += usabilityWeight * t.lostUsability(r)
	}
	return score, true
}

// Ranking is the set of workers on which a task may be placed, ordered by
// score. For a step with many equal tasks in a large pool, it scores all
// workers once instead of once per task. It gives the same results as
// ChooseWorker.
type Ranking struct {
	workers      []*WorkerCapacity
	task         PoolTask
	coefficients InterferenceCoefficients
	heap         []rankedWorker
}

// rankedWorker is a worker, by index, with its score. A lower score is better.
type rankedWorker struct {
	score float64
	index int
}

// Rank ranks the workers for tasks that are equal to t. While the ranking is in
// use, the free capacity may only be changed by calling Reserve on the best
// worker, and the result of Excluded may only change from false to true for the
// other workers.
func Rank(workers []*WorkerCapacity, t PoolTask) *Ranking {
	k := &Ranking{workers: workers, task: t, coefficients: t.interferenceCoefficients()}
	for i := range workers {
		if score, ok := t.scoreOn(workers, i, k.coefficients); ok {
			k.heap = append(k.heap, rankedWorker{score, i})
		}
	}
	heap.Init(k)
	return k
}

// Best returns the index of the best worker, or -1.
func (k *Ranking) Best() int {
	for len(k.heap) > 0 {
		i := k.heap[0].index
		if k.task.Excluded == nil || !k.task.Excluded(i) {
			return i
		}
		heap.Pop(k)
	}
	return -1
}

// Update recalculates the score of the best worker after a task was placed on
// it.
func (k *Ranking) Update() {
	score, ok := k.task.scoreOn(k.workers, k.heap[0].index, k.coefficients)
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
	return a.score < b.score || a.score == b.score && a.index < b.index
}

// Swap implements heap.Interface.
func (k *Ranking) Swap(i, j int) { k.heap[i], k.heap[j] = k.heap[j], k.heap[i] }

// Push implements heap.Interface.
func (k *Ranking) Push(x any) { k.heap = append(k.heap, x.(rankedWorker)) }

// Pop implements heap.Interface.
func (k *Ranking) Pop() any {
	last := k.heap[len(k.heap)-1]
	k.heap = k.heap[:len(k.heap)-1]
	return last
}

// AdmitsWithoutBatch reports whether the task will fit on the worker once all
// batch tasks there have ended.
func AdmitsWithoutBatch(r *WorkerCapacity, s *state.WorkflowStep) bool {
	return s.Reservation().FitsIn(r.Free.Add(r.Batch)) && hasLabel(r, s)
}

// Load pattern: more batch tasks wait than fit, so each bit of CPU that one
// frees is used at once, and no worker ever has enough for a large serving task
// that has lost its run. Capacity that is set aside on one worker, until the
// task fits there, becomes free within the run time of the batch tasks.

// maxReservedShare is the reciprocal of the number of reservations per worker
// of a pool. After the loss of many workers the others keep running batch tasks.
const maxReservedShare = 8

// MaxReserved returns for how many tasks of a pool capacity may be set aside at
// a time.
func MaxReserved(poolWorkers int) int { return max(1, poolWorkers/maxReservedShare) }

// ChooseReserved returns the index of the worker on which capacity is set aside
// for a serving task, or -1: the one with the most free CPU among those on which
// the task will fit once batch tasks have ended.
func ChooseReserved(workers []*WorkerCapacity, t PoolTask) int {
	best := -1
	for i, r := range workers {
		if r == nil || t.Excluded != nil && t.Excluded(i) || !AdmitsWithoutBatch(r, t.Step) {
			continue
		}
		if best < 0 || r.Free.MilliCPU > workers[best].Free.MilliCPU {
			best = i
		}
	}
	return best
}

func hasLabel(r *WorkerCapacity, s *state.WorkflowStep) bool {
	return s.Label == "" || slices.Contains(r.Labels, s.Label)
}

// fitsOn reports whether the worker has the free resources and the idle CPU for
// the task. A task that starts at the lowest rate needs hardly any CPU.
func (t *PoolTask) fitsOn(r *WorkerCapacity) bool {
	s := t.Step
	if !s.Reservation().FitsIn(r.Free) || !hasLabel(r, s) {
		return false
	}
	return t.MinStartRate == minRate || t.fitsIdleCPU(r)
}

// fitsIdleCPU reports whether enough CPU of the worker is idle for the task to run
// there at more than the lowest rate.
func (t *PoolTask) fitsIdleCPU(r *WorkerCapacity) bool {
	return !t.Step.BestEffort || r.BestEffort == 0 || AdmitsIdle(r.IdleCPU, t.Step.Size.MilliCPU)
}

// AdmitsIdle reports whether a best-effort task may run at more than the lowest
// rate beside others with so much idle CPU, in thousandths of a processor.
func AdmitsIdle(idleCPU, milliCPU int64) bool { return idleCPU >= milliCPU/maxCPUOvercommit }

const (
	// maxCPUOvercommit is the maximum ratio of the CPU of a new best-effort
	// task to the idle CPU of a worker that already runs best-effort tasks.
	// Above it, waiting takes less time.
	maxCPUOvercommit = 2
	// Weights of workerScore, relative to the load of a fully used worker.
	interferenceWeight      = 5.0 // of the utilisation added to a serving task by a new best-effort task
	otherImageWeight        = 0.5 // of each serving task with another image, for a serving task
	noServerWeight          = 0.3 // of a worker without serving tasks, for any other task
	bestEffortWeight        = 0.1 // of each best-effort task, for a serving task
	remoteWeight            = 4.0 // of a worker that is not in the rack of the step's data
	memoryWeight            = 0.5 // of the memory in use
	unusedAcceleratorWeight = 2.0 // of a worker with accelerators, for a task that needs none
	// slowdownWeight is the weight of the logarithm of a worker's slowdown, for a
	// wide step. A worker at a third of the speed then comes after others until
	// best-effort tasks have overcommitted these by about half, which slows their
	// tasks down less.
	slowdownWeight = 1.5
	// wideStep is the number of tasks from which a step counts as wide, and
	// narrowShare the share of slowdownWeight for a single task. A step ends with
	// its slowest task.
	wideStep    = 10
	narrowShare = 0.5
	// minSlowdown is the factor below which workers differ by chance.
	minSlowdown = 1.25
)

// workerScore returns the score of a worker for a task, without interference.
// Lower is better.
func workerScore(r *WorkerCapacity, s *state.WorkflowStep) float64 {
	score := memoryWeight * fractionOf(r.Capacity.MemoryMiB-r.Free.MemoryMiB+s.Size.MemoryMiB, r.Capacity.MemoryMiB)
	if s.BestEffort {
		score += fractionOf(r.Capacity.MilliCPU-r.IdleCPU+s.Size.MilliCPU, r.Capacity.MilliCPU)
	} else {
		score += fractionOf(r.Free.MilliCPU-s.Size.MilliCPU, r.Capacity.MilliCPU)
	}
	if !s.LongRunning {
		score += slowdownScore(r.Slowdown, s.Count)
	}
	if len(r.ServingGroups) == 0 && !hasTailTarget(s) {
		score += noServerWeight
	}
	if hasTailTarget(s) {
		score = fractionOf(r.Free.MilliCPU-s.Size.MilliCPU, r.Capacity.MilliCPU) + bestEffortWeight*float64(r.BestEffort)
		// Serving tasks with the same image are sensitive to the same
		// co-located images. Grouping them leaves other workers to those
		// images.
		for _, other := range r.ServingGroups {
			if other.Image != s.Image {
				score += otherImageWeight * float64(other.Count)
			}
		}
	}
	if s.DataRack != "" && !slices.Contains(r.Labels, s.DataRack) {
		score += remoteWeight
	}
	if r.Capacity.Accelerators > 0 && s.Size.Accelerators == 0 {
		score += unusedAcceleratorWeight
	}
	return score
}

// slowdownScore returns what the speed of a worker adds to its score for a step
// with the number of tasks.
//
// Load pattern: some workers run at a third of the speed of others, although
// they appear healthy. Most wide steps have a task on one of them and take three
// times as long.
func slowdownScore(slowdown float64, tasks int) float64 {
	if slowdown <= 0 || slowdown < minSlowdown && slowdown > 1/minSlowdown {
		return 0
	}
	width := float64(min(tasks, wideStep)-1) / (wideStep - 1)
	return slowdownWeight * (narrowShare + (1-narrowShare)*max(0, width)) * math.Log(slowdown)
}

// hasTailTarget reports whether the tasks of a step have a target for their
// tail latency.
func hasTailTarget(s *state.WorkflowStep) bool { return s.LongRunning && s.TailMillis > 0 }

func fractionOf(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// CPUAtRate returns the CPU with which a best-effort run counts when other tasks
// are placed on its worker, in thousandths of a processor. A run that started at
// the lowest rate counts with its current rate: its worker was chosen although
// there was no room for it at the full rate, so that it must not keep others out.
func CPUAtRate(milliCPU int64, startRate, rate int) int64 {
	if StartedAtLowestRate(startRate) {
		return milliCPU * int64(rate) / fullRate
	}
	return milliCPU
}

// StartedAtLowestRate reports whether a run that started at the rate, in percent,
// started at the lowest one.
func StartedAtLowestRate(startRate int) bool { return startRate == minRate }

// Reserve reserves the resources of a task on the worker.
func (r *WorkerCapacity) Reserve(t PoolTask) {
	s := t.Step
	r.Free = r.Free.Sub(s.Reservation())
	cpu := s.Size.MilliCPU
	if t.MinStartRate == minRate {
		rate := StartRate(r, t)
		cpu = CPUAtRate(cpu, rate, rate)
	}
	r.IdleCPU -= cpu
	if s.BestEffort {
		r.BestEffort, r.BestEffortCPU = r.BestEffort+1, r.BestEffortCPU+cpu
		if t.InterferenceModel != nil {
			use, coefficients := fractionOf(cpu, r.Capacity.MilliCPU), t.InterferenceModel.CoefficientsOf(s.Image)
			for i := range r.ServingGroups {
				increase := coefficients.Coefficient(r.ServingGroups[i].Image) * use
				r.ServingGroups[i].Headroom -= increase
				r.ServingGroups[i].CoLocated += increase
			}
		}
	}
	if !s.LongRunning {
		r.Batch = r.Batch.Add(s.Reservation())
	}
	if hasTailTarget(s) {
		r.AddServingTask(s.Image, 0)
	}
}
