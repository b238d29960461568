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
	// Serving jobs have no end. WaitedMillis is how long the first of their
	// tasks has waited.
	Serving      bool
	WaitedMillis int64
	// BeyondShare is set for the turn of a serving job at the room that batch
	// tasks leave unused.
	BeyondShare bool
}

// maxServingWait is how long tasks of serving jobs wait for room beside jobs
// with an objective before they go first, in milliseconds: users of the service
// notice a missing task within seconds.
const maxServingWait = 800

// WaitedTooLong reports whether a serving task has waited too long.
func WaitedTooLong(waitedMillis int64) bool { return waitedMillis >= maxServingWait }

// Pressing reports whether a serving job has waited too long.
func (j *WaitingJob) Pressing() bool {
	return j.Serving && !j.BeyondShare && WaitedTooLong(j.WaitedMillis)
}

// chance is what a job can still reach.
type chance uint8

const (
	pressing chance = iota
	inTime
	late
	beyondShare
	hopeless
)

// remainingMargin is how many times as long as estimated the rest of a job is
// taken to last: estimates are off, and leftover processors are shared.
const remainingMargin = 1.25

// OrderJobs sorts jobs in the order in which they get room. It answers a burst
// that no order could serve in time: within a priority, jobs that can still
// meet their objective come first, the most urgent one at the head, and those
// that can't no longer make others late too. They get what room is left. Serving
// jobs that lost tasks don't wait behind a stream of jobs with an objective.
func OrderJobs(now int64, jobs []WaitingJob) {
	slices.SortFunc(jobs, func(a, b WaitingJob) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.chance(now), b.chance(now)),
			cmp.Compare(a.Deadline, b.Deadline), cmp.Compare(a.ID, b.ID))
	})
}

func (j *WaitingJob) chance(now int64) chance {
	end := now + int64(float64(j.RemainingMillis)*remainingMargin)
	switch {
	case j.Pressing():
		return pressing
	case j.BeyondShare:
		return beyondShare
	case j.Serving || end <= j.Deadline:
		return inTime
	case end <= j.LateDeadline:
		return late
	}
	return hopeless
}
