package placement

import (
	"cmp"
	"slices"
)

// WaitingJob is a job with tasks that wait for a worker.
type WaitingJob struct {
	ID       string
	Priority int // 0 is served first
	// Deadline is when the job misses its objective, and LateDeadline when it
	// is of no use any more, Unix milliseconds.
	Deadline, LateDeadline int64
	// RemainingMillis is the longest chain of work that is left.
	RemainingMillis int64
}

// chance is what a job can still reach.
type chance uint8

const (
	inTime chance = iota
	late
	hopeless
)

// remainingMargin is how many times as long as estimated the rest of a job is
// taken to last: estimates are off, and leftover processors are shared.
const remainingMargin = 1.25

// OrderJobs sorts jobs in the order in which they get room. It answers a burst
// that no order could serve in time: within a priority, jobs that can still
// meet their objective come first, the most urgent one at the head, and those
// that can't no longer make others late too. They get what room is left.
func OrderJobs(now int64, jobs []WaitingJob) {
	slices.SortFunc(jobs, func(a, b WaitingJob) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.chance(now), b.chance(now)),
			cmp.Compare(a.Deadline, b.Deadline), cmp.Compare(a.ID, b.ID))
	})
}

func (j *WaitingJob) chance(now int64) chance {
	end := now + int64(float64(j.RemainingMillis)*remainingMargin)
	switch {
	case end <= j.Deadline:
		return inTime
	case end <= j.LateDeadline:
		return late
	}
	return hopeless
}
