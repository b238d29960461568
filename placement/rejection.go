package placement

import (
	"cmp"
	"slices"
)

// Rejections counts the workers of a pool by the first reason why they cannot
// take a task.
type Rejections struct {
	Admitted          int // workers that can take the task
	ReservedForOthers int // reserved for tasks that have waited too long
	Label             int // without the label that the task requires
	Processors        int
	Memory            int
	Accelerators      int
	Excluded          int // by the task's limit per worker, or after a failure there
	BatchReservation  int // reserved for batch tasks
	IdleProcessors    int // idle CPU, for a best-effort task
	Interference      int // a serving task would exceed its limit, for a best-effort task
	// LargestAdmitted is the most free CPU of any worker that is admitted or
	// rejected only because of the batch reservation, in thousandths of a
	// processor.
	LargestAdmitted int64
}

// CountRejections counts the workers by the first reason why they cannot take a
// task. A nil entry is a worker reserved for another task. share limits serving
// tasks; it is nil if it does not apply to the task.
func CountRejections(workers []*WorkerCapacity, t PoolTask, share *BatchReservation) Rejections {
	var n Rejections
	size, coefficients := t.Step.Reservation(), t.interferenceCoefficients()
	for i, r := range workers {
		switch {
		case r == nil:
			n.ReservedForOthers++
		case !hasLabel(r, t.Step):
			n.Label++
		case size.MilliCPU > r.Free.MilliCPU:
			n.Processors++
		case size.MemoryMiB > r.Free.MemoryMiB:
			n.Memory++
		case size.Accelerators > r.Free.Accelerators:
			n.Accelerators++
		case t.Excluded != nil && t.Excluded(i):
			n.Excluded++
		case !t.fitsOn(r):
			n.IdleProcessors++
		case !t.fitsBeside(r, coefficients):
			n.Interference++
		case share != nil && !share.Admits(r, size.MilliCPU):
			n.BatchReservation++
			n.LargestAdmitted = max(n.LargestAdmitted, r.Free.MilliCPU)
		default:
			n.Admitted++
			n.LargestAdmitted = max(n.LargestAdmitted, r.Free.MilliCPU)
		}
	}
	return n
}

// fitsBeside reports whether the interference of the task permits its start beside
// the serving tasks of a worker.
func (t *PoolTask) fitsBeside(r *WorkerCapacity, coefficients InterferenceCoefficients) bool {
	if !t.Step.BestEffort || t.InterferenceModel == nil {
		return true
	}
	fit, _ := interferenceFit(r, fractionOf(t.Step.Size.MilliCPU, r.Capacity.MilliCPU), coefficients)
	return t.startRate(r, fit) > 0
}

// Available returns the CPU that is available for batch tasks, the part of it
// that is reserved for them, and the smallest piece of free CPU that counts as
// available, in thousandths of a processor. Of the size ranges it describes the
// one with the least CPU available beyond the reservation.
func (s *BatchReservation) Available() (available, reserved, unit int64) {
	if len(s.ranges) == 0 {
		return 0, 0, 0
	}
	r := slices.MinFunc(s.ranges, func(a, b sizeReservation) int {
		return cmp.Compare(a.available-a.reserved, b.available-b.reserved)
	})
	return r.available, r.reserved, r.taskSize
}
