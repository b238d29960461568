package admission

import (
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Load pattern: a pool loses most of its workers, or a queue with long
// objectives gets many times what fits, so that work which precedes new
// workflows takes longer than their results are of use. A caller that is told
// so at once can wait or go elsewhere. A caller that is refused although its
// work could have been served loses the result, so the forecast errs on the side
// of admission: it counts only work that waits already, at a rate above the
// highest that was measured.

// TaskSize is what decides whether a task fits on a worker of a pool.
type TaskSize struct {
	BestEffort                        bool
	Image                             string // of a best-effort task
	MilliCPU, MemoryMiB, Accelerators int64
}

// FitsIn reports whether a task of size t fits wherever one of size other fits.
func (t *TaskSize) FitsIn(other *TaskSize) bool {
	return t.BestEffort == other.BestEffort && t.Image == other.Image && t.MilliCPU <= other.MilliCPU &&
		t.MemoryMiB <= other.MemoryMiB && t.Accelerators <= other.Accelerators
}

// Submission is a workflow that has not been accepted yet.
type Submission struct {
	Job
	// Initial are the tasks that depend on no others.
	Initial []TaskSize
	// CopiesMillis is how long copies of the submission may be on their way.
	CopiesMillis int64
}

// Backlog is the waiting work of a pool after a placement pass. It is immutable.
type Backlog struct {
	at       int64
	rate     float64    // work per millisecond, including rateMargin
	unplaced []TaskSize // sizes of tasks that did not fit on any worker
	ahead    []place    // waiting jobs that can be of use, in their order
	queues   map[string]*QueueStats
	// deficits is set if tenants may lack parts of their shares, which changes the
	// order within seconds.
	deficits bool
}

const (
	// rateMargin is the ratio of the assumed to the highest measured rate. The
	// rate rises when workers return or more urgent work ends.
	rateMargin = 1.5
	// shortestRun is the assumed ratio of actual to declared run times: a tenth
	// of the runs takes less than 0.57 of the declared time.
	shortestRun = 0.5
	// maxBacklogAge is the age in milliseconds from which a backlog no longer
	// counts. Passes are at most a second apart while tasks wait.
	maxBacklogAge = 2000
	// minRetryAfter and maxRetryAfter bound the time after which a refused
	// submission may be sent again, in milliseconds. Times on the wire are whole
	// seconds. A wave of demand lasts for minutes at most.
	minRetryAfter = 1000
	maxRetryAfter = 120_000
	// maxStart bounds forecasts, in milliseconds, so that times don't overflow. It
	// is longer than any declared run time.
	maxStart = 1e15
)

// NewBacklog returns the backlog of a pool, or nil if nothing may be refused:
// while everything fits or as long as its rate is not known. jobs are the
// waiting jobs, unplaced the sizes of tasks that fitted nowhere in the last
// complete pass.
func NewBacklog(now int64, jobs []Job, pressure *Pressure, rate *Rate, unplaced []TaskSize) *Backlog {
	highest := rate.Highest()
	if !pressure.Exceeds() || highest <= 0 || len(unplaced) == 0 {
		return nil
	}
	b := &Backlog{at: now, rate: highest * rateMargin, unplaced: unplaced, deficits: pressure.Tenants, queues: make(map[string]*QueueStats, len(pressure.Queues))}
	for name, q := range pressure.Queues {
		c := *q
		c.samples, c.paths = slices.Clip(q.samples), slices.Clone(q.paths)
		b.queues[name] = &c
	}
	for _, p := range places(now, jobs, pressure) {
		if p.prospect != expired {
			b.ahead = append(b.ahead, p)
			b.deficits = b.deficits || p.job.Deficit != 0
		}
	}
	return b
}

// DrainMillis returns how long it takes at least to start the waiting work that
// can be of use, in milliseconds.
func (b *Backlog) DrainMillis() int64 {
	if b == nil {
		return 0
	}
	drain := 0.0
	for i := range b.ahead {
		drain += b.ahead[i].job.WorkReady / b.rate
	}
	return int64(min(drain, maxStart))
}

// Decision is the result of Decide.
type Decision struct {
	Refuse bool
	// StartMillis is the forecast of the earliest start, from now, in
	// milliseconds. It follows from a backlog of the age AgeMillis, at Rate
	// (processors of declared work).
	StartMillis, AgeMillis int64
	Rate                   float64
	// RetryAfterMillis is when a refused submission may be sent again.
	RetryAfterMillis int64
	Reason           string
}

// Decide refuses a submission if its result can't be of use, even if the pool
// completes work faster than it did and nothing else arrives. A submission whose
// tasks may fit somewhere is never refused, nor one that would be useless in an
// empty pool, because a retry wouldn't help it.
func Decide(now int64, s *Submission, b *Backlog) Decision {
	if b == nil || now-b.at > maxBacklogAge || s.WorkLeft <= 0 {
		return Decision{}
	}
	for i := range s.Initial {
		if !slices.ContainsFunc(b.unplaced, func(t TaskSize) bool { return t.FitsIn(&s.Initial[i]) }) {
			return Decision{}
		}
	}
	s = b.atLongest(s)
	run := int64(float64(s.CriticalPathMillis) * shortestRun)
	start := max(0, b.startMillis(now, s)-(now-b.at))
	d := Decision{StartMillis: start, AgeMillis: now - b.at, Rate: b.rate / 1000}
	if excess := now + start + run - s.LateDeadline; excess > 0 && now+run <= s.LateDeadline {
		d.Refuse, d.Reason = true, "more work precedes it than can be done before its result is useless"
		d.RetryAfterMillis = retryAfter(now, s, excess)
	}
	return d
}

// atLongest returns the submission with the objective that it has if its critical
// path turns out to be the longest of its queue. The objective follows from the
// actual run times, so that less is certain to miss it.
func (b *Backlog) atLongest(s *Submission) *Submission {
	q := b.queues[s.Queue]
	if q == nil {
		return s
	}
	longest := *s
	scale := func(deadline int64) int64 {
		return s.SubmittedAt + int64(min(float64(deadline-s.SubmittedAt)*q.LongestPath(), maxStart))
	}
	longest.Deadline, longest.LateDeadline = scale(s.Deadline), scale(s.LateDeadline)
	return &longest
}

// startMillis returns the earliest start of a new job, from b.at. It counts the
// ready work of jobs that precede the new one for certain.
func (b *Backlog) startMillis(now int64, s *Submission) int64 {
	p := newPlace(now, &s.Job, b.queues)
	if q := b.queues[s.Queue]; q != nil && q.SizeOf(s.Work) != SizeRegular {
		p.class = classKept
		p.density = math.Inf(1) // how soon its size is owed a start is not known
	}
	if b.deficits {
		p.job.Deficit = math.Inf(1)
	}
	earliest := math.Inf(1)
	for i := range s.Initial {
		start := 0.0
		for k := range b.ahead {
			a := &b.ahead[k]
			if compareByValue(*a, p) > 0 {
				break
			}
			if a.job.Ready.FitsIn(&s.Initial[i]) && a.precedes(b.at+int64(start), &p) {
				start += a.job.WorkReady / b.rate
			}
		}
		earliest = min(earliest, start)
	}
	return int64(min(earliest, maxStart))
}

// precedes reports whether a job still precedes a new one when its turn comes.
// One that is useless by then delays no one, and one that can then only end late
// may have lost its place to the others of its priority.
func (p *place) precedes(at int64, other *place) bool {
	if p.job.Priority < other.job.Priority {
		return p.job.prospect(at) != expired
	}
	return p.job.prospectIfStarted(at) == p.prospect
}

// retryAfter returns when the submission may be sent again: once enough of the
// backlog has drained, spread over the same time again, so that the submissions
// refused meanwhile don't return in the second in which the first of them
// could be served. It is later than any copy of the submission can arrive.
func retryAfter(now int64, s *Submission, excessMillis int64) int64 {
	earliest := max(minRetryAfter, s.CopiesMillis, min(excessMillis, maxRetryAfter/2))
	// A submission that is refused again gets another place.
	hash := xxhash.Sum64String(s.ID + strconv.FormatInt(now, 10))
	fraction := float64(hash) / math.MaxUint64
	return earliest + int64(fraction*float64(max(earliest, 2*minRetryAfter)))
}
