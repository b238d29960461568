// Package admission decides which work is delayed or refused when a pool has
// too little capacity: the work whose delay or refusal costs callers least.
//
// Load pattern: for minutes, waves of demand ask for 1.3 to 3 times what fits.
// If each workflow gets a part of the capacity, most end after their deadline.
// Workflows in progress therefore come first, then those with the highest value
// per unit of work. Sizes vary by a factor of a hundred, so this order alone
// would hardly serve the largest workflows; a part of the capacity is kept for
// them.
//
// The decisions of this package use no clock, input, output or lock. Times are
// in Unix milliseconds, and work is in thousandths of a processor times
// milliseconds.
package admission

import (
	"cmp"
	"math"
	"slices"
)

// Job is a workflow with tasks that wait for a worker.
type Job struct {
	ID       string
	Priority int // 0 is the most urgent
	Queue    string
	// Deadline is when the job misses its objective. LateDeadline is when its
	// result becomes useless. Both follow from SubmittedAt.
	SubmittedAt, Deadline, LateDeadline int64
	// Work is the work of the whole job, WorkLeft that of its unfinished part.
	Work, WorkLeft float64
	// CriticalPathMillis is the length of the critical path of the unfinished
	// part.
	CriticalPathMillis int64
	// Observed is set when CriticalPathMillis is based on observed run times,
	// which need no safety factor.
	Observed bool
	// WorkReady is the work of the tasks that wait for a worker now, and Ready the
	// size in which all of them fit. Different kinds of tasks fit in none.
	WorkReady float64
	Ready     TaskSize
	// Begun is set when a task of the job has started.
	Begun bool
	// Deficit is what the job's tenant lacks of its share, as a fraction of the
	// share; 0 without tenants. The jobs of a priority that can be of use are
	// ordered by it first.
	Deficit float64
}

// Demand is what waiting tasks ask for or what is free, summed over a pool.
type Demand struct {
	MilliCPU     int64 // processors that tasks reserve, in thousandths
	IdleMilliCPU int64 // processors that best-effort tasks use, in thousandths
	MemoryMiB    int64
	Accelerators int64
}

// Pressure is what decides whether more work waits in a pool than fits.
type Pressure struct {
	Waiting, Free Demand
	// LongestWaitMillis is the longest wait of a task that ends by itself. Free
	// capacity may be in pieces that are too small, or may be kept from tasks
	// because they would interfere with others.
	LongestWaitMillis int64
	// Tenants is set if the shares of tenants decide the order within a priority.
	Tenants bool
	// Queues are the sizes and the service of the queues, by name.
	Queues map[string]*QueueStats
}

// maxUnpressuredWait is the longest wait of a task, in milliseconds, at which
// everything is assumed to fit. It covers a few placement passes and is a small
// part of the shortest objectives, which are 1 s to 2 s.
const maxUnpressuredWait = 400

// Short reports whether more work waits than fits.
func (p *Pressure) Short() bool { return p.Exceeds() || p.LongestWaitMillis > maxUnpressuredWait }

// Exceeds reports whether waiting tasks ask for more than is free in total. A
// single task that waits, for example for a label that no worker has, does not
// make a pool busy.
func (p *Pressure) Exceeds() bool {
	return p.Waiting.MilliCPU > p.Free.MilliCPU || p.Waiting.IdleMilliCPU > p.Free.IdleMilliCPU ||
		p.Waiting.MemoryMiB > p.Free.MemoryMiB || p.Waiting.Accelerators > p.Free.Accelerators
}

const (
	// baseValue, lateValue and maxRelativeWork are the service terms: a workflow
	// is worth baseValue plus the rest in proportion to its work, at most
	// maxRelativeWork times the mean of its queue, and lateValue of that after
	// its deadline.
	baseValue       = 0.3
	lateValue       = 0.15
	maxRelativeWork = 4
	// remainingTimeFactor is the safety factor for the declared run times, of
	// which half are exceeded by a fifth or more.
	remainingTimeFactor = 1.25
	// requiredSlack is the part of a new workflow's slack (objective less
	// critical path) that must be left when it is started. The last of many
	// tasks takes longer than the declared time, so a workflow that is started
	// with less ends late and has taken the place of another.
	requiredSlack = 0.6
)

// prospect is the part of a job's value that can still be reached.
type prospect uint8

const (
	inTime prospect = iota
	late
	expired
)

func (j *Job) prospect(now int64) prospect {
	left := j.CriticalPathMillis
	if !j.Observed {
		left = int64(float64(left) * remainingTimeFactor)
	}
	end := now + left
	switch {
	case end <= j.Deadline:
		return inTime
	case end <= j.LateDeadline:
		return late
	}
	return expired
}

// prospectIfStarted returns the prospect of a job in a pool with too little
// capacity.
func (j *Job) prospectIfStarted(now int64) prospect {
	p := j.prospect(now)
	slack := j.Deadline - j.SubmittedAt - j.CriticalPathMillis
	if p == inTime && !j.Begun && float64(j.Deadline-now-j.CriticalPathMillis) < requiredSlack*float64(slack) {
		return late
	}
	return p
}

// value returns what the result of the job is worth. meanWork is the mean work
// of the jobs of its queue, or 0 if that is not known.
func (j *Job) value(p prospect, meanWork float64) float64 {
	v := 1.0
	if meanWork > 0 {
		v = baseValue + (1-baseValue)*min(maxRelativeWork, j.Work/meanWork)
	}
	switch p {
	case inTime:
		return v
	case late:
		return lateValue * v
	}
	return 0
}

// class groups the useful jobs of a priority in the order in which they are
// placed.
type class uint8

const (
	classKept  class = iota // in the part that is kept for its size
	classBegun              // in progress, and can end in time
	classOther
)

// place is what the order of a job is derived from.
type place struct {
	job      Job
	prospect prospect
	class    class
	density  float64 // value per work left
}

// Order sorts jobs by the order in which their tasks are placed.
//
// Where everything fits, jobs are ordered by priority, then jobs that can meet
// their deadline first, then by deadline. Where it doesn't, jobs whose result
// can still be of use precede all others, whatever their priority, so that
// useless work costs no one anything. Within a priority, jobs of tenants that
// lack more of their share come first, then large jobs up to the part that is
// kept for them (see QueueStats.Owed), then jobs in progress that can end in
// time, and then all others, each by value per work left.
func Order(now int64, jobs []Job, pressure *Pressure) {
	for i, p := range places(now, jobs, pressure) {
		jobs[i] = p.job
	}
}

// places returns the places of the jobs in their order.
func places(now int64, jobs []Job, pressure *Pressure) []place {
	all := make([]place, len(jobs))
	if !pressure.Short() {
		for i := range jobs {
			all[i] = place{job: jobs[i], prospect: jobs[i].prospect(now)}
		}
		slices.SortFunc(all, compareByDeadline)
		return all
	}
	for i := range jobs {
		all[i] = newPlace(now, &jobs[i], pressure.Queues)
	}
	slices.SortFunc(all, compareByValue)
	if keepForSizes(all, pressure.Queues) {
		slices.SortFunc(all, compareByValue)
	}
	return all
}

func newPlace(now int64, j *Job, queues map[string]*QueueStats) place {
	p := place{job: *j, prospect: j.prospectIfStarted(now), class: classOther}
	if j.Begun && p.prospect == inTime {
		p.class = classBegun
	}
	mean := 0.0
	if q := queues[j.Queue]; q != nil {
		mean = q.MeanWork()
	}
	p.density = j.value(p.prospect, mean) / max(1, j.WorkLeft)
	return p
}

func compareByDeadline(a, b place) int {
	return cmp.Or(cmp.Compare(a.job.Priority, b.job.Priority), cmp.Compare(a.prospect, b.prospect),
		cmp.Compare(a.job.Deadline, b.job.Deadline), cmp.Compare(a.job.ID, b.job.ID))
}

func compareByValue(a, b place) int {
	if useful := a.prospect != expired; useful != (b.prospect != expired) {
		if useful {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.job.Priority, b.job.Priority), cmp.Compare(b.job.Deficit, a.job.Deficit),
		cmp.Compare(a.class, b.class), cmp.Compare(b.density, a.density),
		cmp.Compare(a.job.Deadline, b.job.Deadline), cmp.Compare(a.job.ID, b.job.ID))
}

// sizeKey names the workflows of one size of a queue.
type sizeKey struct {
	queue string
	size  Size
}

// keepForSizes assigns classKept to useful jobs of the large sizes, up to the
// number that is owed to their size: those in progress first, then new ones that
// can end in time. It reports whether there were any. places are in the order
// without this rule.
func keepForSizes(places []place, queues map[string]*QueueStats) bool {
	owed, owedNew := make(map[sizeKey]int), make(map[sizeKey]int)
	for name, q := range queues {
		for size := SizeNextFifth; size < sizes; size++ {
			if n := int(math.Ceil(q.Owed(size))); n > 0 {
				owed[sizeKey{name, size}], owedNew[sizeKey{name, size}] = n, n-q.inProgress[size]
			}
		}
	}
	if len(owed) == 0 {
		return false
	}
	kept := false
	for i := range places {
		p := &places[i]
		q := queues[p.job.Queue]
		if q == nil || p.prospect == expired || !p.job.Begun && p.prospect != inTime {
			continue
		}
		n := owedNew
		if p.job.Begun {
			n = owed
		}
		if k := (sizeKey{p.job.Queue, q.SizeOf(p.job.Work)}); n[k] > 0 {
			n[k]--
			p.class, kept = classKept, true
		}
	}
	return kept
}
