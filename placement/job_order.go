package placement

import (
	"cmp"
	"slices"
)

// WaitingJob is a job with tasks that wait for a worker.
type WaitingJob struct {
	ID       string
	Priority int // 0 is the most urgent
	// Deadline is when the job misses its objective. LateDeadline is when its
	// result becomes useless. Both are in Unix milliseconds.
	Deadline, LateDeadline int64
	// RemainingMillis is the length of the critical path of the remaining work.
	RemainingMillis int64
	// Observed is set if RemainingMillis is based on the spread of observed run
	// times rather than on declared ones, and needs no safety factor.
	Observed bool
	// Serving is set for jobs that run until they are stopped. For these,
	// WaitedMillis is how long the task that has waited longest has waited.
	Serving      bool
	WaitedMillis int64
	// ExceedsShare is set when a serving job is considered for capacity that
	// batch tasks leave unused.
	ExceedsShare bool
	// Restart is set when only those tasks of a serving job are considered that
	// ran before.
	Restart bool
	// Rank is the place of the job, from 1, in the order of admission.Order among
	// the jobs of a pool in which more work waits than fits; otherwise 0.
	Rank int
	// Share orders the jobs of tenants while more waits than fits: it is the share
	// that the tenant has before the job starts. Excess is set if the tenant
	// submitted more than it is entitled to. Both are zero otherwise.
	Share  float64
	Excess bool
}

// maxServingWait is how long tasks of serving jobs wait for free capacity in
// competition with jobs that have an objective, in milliseconds. After that
// they are placed first, because users of the service notice a missing task
// within seconds.
const maxServingWait = 800

// IsStarved reports whether a serving task has waited for at least
// maxServingWait.
func IsStarved(waitedMillis int64) bool { return waitedMillis >= maxServingWait }

// Starved reports whether a serving job has waited for at least
// maxServingWait.
func (j *WaitingJob) Starved() bool {
	return j.Serving && !j.ExceedsShare && IsStarved(j.WaitedMillis)
}

// orderClass groups the jobs of a priority in the order in which they are
// placed: tasks of serving jobs that have lost their run, whose users miss them,
// serving jobs that have waited too long, jobs that can still meet
// their objective, jobs that can end before LateDeadline, those of them that
// their tenant is not entitled to, serving jobs that exceed their share, and all
// others.
type orderClass uint8

const (
	orderRestart orderClass = iota
	orderStarved
	orderOnTime
	orderLate
	orderExcess
	orderBeyondShare
	orderExpired
)

// RemainingTimeFactor is the safety factor for the remaining time by declared run
// times. They are imprecise, and best-effort tasks share idle CPU; the spread of
// observed run times includes both.
const RemainingTimeFactor = 1.25

// OrderJobs sorts jobs by the order in which they are placed. In a burst, no
// order meets the objectives of all jobs. Within a priority, jobs that can
// still meet their objective therefore come first, those with the earliest
// deadline at the head. Jobs that can no longer meet it do not delay others and
// get the remaining capacity. Jobs with a rank are placed in the order of their
// ranks instead, and after all others, whatever their priority, if their result
// can no longer be of use. Serving jobs that lost tasks are not delayed by a
// continuous stream of jobs with an objective, nor, where serving tasks fill
// the pool, by tasks that never ran: these would keep the freed capacity.
func OrderJobs(now int64, jobs []WaitingJob) {
	slices.SortFunc(jobs, func(a, b WaitingJob) int {
		aClass, bClass := a.orderClass(now), b.orderClass(now)
		aUseless, bUseless := a.Rank > 0 && aClass == orderExpired, b.Rank > 0 && bClass == orderExpired
		if aUseless != bUseless {
			if bUseless {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.Priority, b.Priority),
			cmp.Compare(a.shareClass(now), b.shareClass(now)), cmp.Compare(a.Share, b.Share),
			cmp.Compare(aClass, bClass), cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Deadline, b.Deadline), cmp.Compare(a.ID, b.ID))
	})
}

// shareClass groups the jobs among which the shares of tenants decide: late work
// of a tenant below its share precedes work of another above it.
func (j *WaitingJob) shareClass(now int64) orderClass {
	if c := j.orderClass(now); c != orderLate {
		return c
	}
	return orderOnTime
}

// Expired reports whether the job can no longer end before LateDeadline. now is
// in Unix milliseconds.
func (j *WaitingJob) Expired(now int64) bool { return j.orderClass(now) == orderExpired }

// MissesObjective reports whether the job can no longer end before Deadline. now is
// in Unix milliseconds.
func (j *WaitingJob) MissesObjective(now int64) bool { return !j.Serving && j.end(now) > j.Deadline }

// end returns when the job ends if it continues now, in Unix milliseconds.
func (j *WaitingJob) end(now int64) int64 {
	if j.Observed {
		return now + j.RemainingMillis
	}
	return now + int64(float64(j.RemainingMillis)*RemainingTimeFactor)
}

func (j *WaitingJob) orderClass(now int64) orderClass {
	end := j.end(now)
	switch {
	case j.Restart && j.Starved():
		return orderRestart
	case j.Starved():
		return orderStarved
	case j.ExceedsShare:
		return orderBeyondShare
	case j.Excess && (j.Serving || end <= j.LateDeadline):
		return orderExcess
	case j.Serving || end <= j.Deadline:
		return orderOnTime
	case end <= j.LateDeadline && j.Rank > 0:
		return orderOnTime // the rank accounts for the delay
	case end <= j.LateDeadline:
		return orderLate
	}
	return orderExpired
}
