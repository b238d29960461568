package admission

import (
	"math"
	"slices"
)

// Size is a range of the work of a queue's workflows.
type Size uint8

// Sizes of workflows.
const (
	SizeRegular      Size = iota
	SizeNextFifth         // the fifth below the largest tenth
	SizeLargestTenth      // the largest tenth
	sizes
)

const (
	// sizeSamples is the number of recent workflows that define the sizes. The
	// largest tenth of them are 25, which bounds the error of its limit.
	sizeSamples = 256
	// sizeRefresh is the number of workflows after which the limits of the sizes
	// are calculated again. With fewer samples than that, no workflow is large.
	sizeRefresh = 16
	// serviceWindow is the time constant, in milliseconds, with which arrivals
	// and results lose their weight. In a queue that gets a workflow per second,
	// a few of the largest tenth arrive in that time.
	serviceWindow = 60_000
	// keptShare is how often workflows of the large sizes are served at least,
	// relative to the queue. The requirement is half as often; the excess covers
	// results that become useless although their capacity was kept.
	keptShare = 0.65
)

// QueueStats are the sizes of a queue's workflows, and how many of each arrived
// and were served. The zero value is empty and ready for use.
type QueueStats struct {
	samples     []float64 // work of the last workflows, a ring
	next        int       // oldest sample
	sinceSorted int       // arrivals since the limits were calculated
	mean        float64
	nextFifth   float64 // smallest work of SizeNextFifth
	largest     float64 // smallest work of SizeLargestTenth

	paths    []float64 // ratios of actual to declared critical paths, a ring
	nextPath int       // oldest of them

	arrived, served [sizes]float64 // with their weight at the time at
	at              int64
	inProgress      [sizes]int // started and not ended
}

// MeanWork returns the mean work of the queue's last workflows, or 0.
func (q *QueueStats) MeanWork() float64 { return q.mean }

// Arrived records a workflow of the queue.
func (q *QueueStats) Arrived(now int64, work float64) {
	if len(q.samples) < sizeSamples {
		q.samples = append(q.samples, work)
	} else {
		q.samples[q.next] = work
		q.next = (q.next + 1) % sizeSamples
	}
	if q.sinceSorted++; q.sinceSorted >= sizeRefresh || len(q.samples) < sizeRefresh {
		q.calculateSizes()
	}
	q.decay(now)
	q.arrived[q.SizeOf(work)]++
}

// Completed records the ratio of the actual to the declared critical path of a
// workflow.
func (q *QueueStats) Completed(ratio float64) {
	if len(q.paths) < sizeSamples {
		q.paths = append(q.paths, ratio)
		return
	}
	q.paths[q.nextPath] = ratio
	q.nextPath = (q.nextPath + 1) % sizeSamples
}

// LongestPath returns the highest ratio of the actual to the declared critical
// path of the queue's last workflows, at least 1.
func (q *QueueStats) LongestPath() float64 {
	if len(q.paths) == 0 {
		return 1
	}
	return max(1, slices.Max(q.paths))
}

// Started records that the first task of a workflow was started, and returns
// the size of the workflow for Ended.
func (q *QueueStats) Started(work float64) Size {
	size := q.SizeOf(work)
	q.inProgress[size]++
	return size
}

// Ended records that a started workflow has ended. useful is set if it
// completed before its result was useless.
func (q *QueueStats) Ended(now int64, size Size, useful bool) {
	q.inProgress[size]--
	q.decay(now)
	if useful {
		q.served[size]++
	}
}

func (q *QueueStats) calculateSizes() {
	const largestPart, largeParts = 10, 3 // the largest tenth; with the fifth below it, three tenths
	q.sinceSorted = 0
	sorted := slices.Sorted(slices.Values(q.samples))
	sum := 0.0
	for _, w := range sorted {
		sum += w
	}
	last := len(sorted) - 1
	q.mean = sum / float64(len(sorted))
	q.largest, q.nextFifth = sorted[last-last/largestPart], sorted[last-last*largeParts/largestPart]
}

// SizeOf returns the size of a workflow. Where all workflows of a queue are
// equal, none is large.
func (q *QueueStats) SizeOf(work float64) Size {
	switch {
	case len(q.samples) < sizeRefresh || q.largest <= q.mean:
		return SizeRegular
	case work >= q.largest:
		return SizeLargestTenth
	case work >= q.nextFifth:
		return SizeNextFifth
	}
	return SizeRegular
}

func (q *QueueStats) decay(now int64) {
	if now <= q.at {
		return
	}
	f := math.Exp(-float64(now-q.at) / serviceWindow)
	q.at = now
	for s := range q.arrived {
		q.arrived[s] *= f
		q.served[s] *= f
	}
}

// Owed returns how many more workflows of a size have to be served so that the
// size is served keptShare times as often as the queue. It is negative if more
// than that were served.
func (q *QueueStats) Owed(size Size) float64 {
	var arrived, served float64
	for s := range q.arrived {
		arrived += q.arrived[s]
		served += q.served[s]
	}
	if arrived == 0 {
		return 0
	}
	return keptShare*q.arrived[size]*min(1, served/arrived) - q.served[size]
}
