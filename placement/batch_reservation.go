package placement

import (
	"math"
	"slices"

	"apricotrouter/state"
)

const (
	// demandWindow is the window over which the demand of batch tasks is
	// averaged, in milliseconds. At typical submission rates it contains about
	// a hundred submissions.
	demandWindow = 10_000
	// minDemandWindow is the smallest window used after a change of leader, in
	// milliseconds.
	minDemandWindow = 2000
	// batchDemandFactor is the ratio of the batch reservation to the mean
	// demand. It is above 1 because batch tasks arrive in bursts.
	batchDemandFactor = 1.5
	// servingShareWait is how long a serving task waits before it may use
	// capacity outside its share that batch tasks leave unused, in
	// milliseconds.
	servingShareWait = 4000
	// servingRestartWait is how long a serving task that ran before waits until
	// it may use any free capacity that fits at least two such tasks, in
	// milliseconds. The users' requirements count a missing task as lost after
	// that time if there is such capacity.
	servingRestartWait = 6000
	// idleWindow is how long batch tasks must have left capacity unused, in
	// milliseconds. Several batch tasks begin and end in that time.
	idleWindow = 2000
)

// Overdue reports whether a serving task has waited so long that it may exceed
// the share of serving tasks.
func Overdue(waitedMillis int64) bool { return waitedMillis >= servingShareWait }

// RestartOverdue reports whether a serving task is overdue for a restart and
// may use free capacity regardless of the share. A task that has never run is
// never overdue for a restart: it increases the demand of the serving tasks.
func RestartOverdue(waitedMillis int64, ranBefore bool) bool {
	return ranBefore && waitedMillis >= servingRestartWait
}

// MayExceedShare reports whether a waiting serving task may exceed the share of
// serving tasks. idle is the number of such tasks that fit into the capacity
// that batch tasks leave unused, and fitting is the number that fit now. Batch
// tasks in short bursts may use all free capacity from time to time, so that
// idle stays 0. An overdue restart therefore only requires that two tasks fit.
// Batch tasks were placed before, and they keep as much free capacity as the
// serving task gets.
func MayExceedShare(waitedMillis int64, ranBefore bool, idle, fitting int) bool {
	return Overdue(waitedMillis) && idle > 0 || RestartOverdue(waitedMillis, ranBefore) && fitting > 1
}

// NearlyOverdue reports whether a serving task will be overdue within
// idleWindow, for which IdleCapacity has to observe the free capacity first.
func NearlyOverdue(waitedMillis int64) bool { return waitedMillis >= servingShareWait-idleWindow }

// BatchDemand tracks the CPU demand of the batch tasks of a pool.
type BatchDemand struct {
	arrivals []Arrival
	// GroupLimit returns the mean demand of a group above which its tasks can't
	// run, in thousandths of a processor; 0 means unlimited. It may be nil.
	GroupLimit func(group string) int64
}

// Arrival is a group of batch tasks that became ready to be placed at the same
// time.
type Arrival struct {
	At       int64 // Unix milliseconds
	Priority int   // 0 is the most urgent
	Group    string
	Tasks    []ArrivalTasks
}

// ArrivalTasks are the tasks of an arrival that have the same size.
type ArrivalTasks struct {
	MilliCPU int64 // CPU of one task, in thousandths of a processor
	Work     int64 // of all of them, in thousandths of a processor times milliseconds
}

// SizeDemand is the demand of the batch tasks in a range of sizes, and of all
// larger batch tasks, in thousandths of a processor.
type SizeDemand struct {
	Largest int64 // CPU of the largest task in the range
	Mean    int64 // mean demand
}

// Add records an arrival.
func (d *BatchDemand) Add(a Arrival) { d.arrivals = append(d.arrivals, a) }

// Of returns the demand by task size, smallest tasks first, so that the first
// entry is the demand of all tasks. since is the time from which arrivals were
// recorded, in Unix milliseconds. Arrivals that are less urgent than priority
// are ignored, as are arrivals with tasks above limit, the CPU of the largest
// worker, because these fit on no worker.
func (d *BatchDemand) Of(now, since int64, priority int, limit int64) []SizeDemand {
	d.arrivals = slices.DeleteFunc(d.arrivals, func(a Arrival) bool { return a.At < now-demandWindow })
	window := min(demandWindow, max(minDemandWindow, now-since))
	parts := d.groupParts(priority, limit, window)
	var ranges [sizeRanges]struct{ work, largest int64 }
	for _, a := range d.arrivals {
		if a.Priority > priority || a.exceeds(limit) {
			continue
		}
		part, limited := parts[a.Group]
		for _, t := range a.Tasks {
			r := &ranges[sizeRange(t.MilliCPU, limit)]
			if limited {
				t.Work = int64(float64(t.Work) * part)
			}
			r.work += t.Work
			r.largest = max(r.largest, t.MilliCPU)
		}
	}
	var demand []SizeDemand
	work := int64(0)
	for _, r := range ranges {
		if work += r.work; r.work > 0 {
			demand = append(demand, SizeDemand{Largest: r.largest, Mean: work / window})
		}
	}
	slices.Reverse(demand)
	return demand
}

// groupParts returns, for the groups whose demand exceeds their limit, the part
// of it that is within the limit.
func (d *BatchDemand) groupParts(priority int, largestWorker, window int64) map[string]float64 {
	if d.GroupLimit == nil {
		return nil
	}
	work := make(map[string]int64)
	for _, a := range d.arrivals {
		if a.Group == "" || a.Priority > priority || a.exceeds(largestWorker) {
			continue
		}
		for _, t := range a.Tasks {
			work[a.Group] += t.Work
		}
	}
	parts := make(map[string]float64)
	for group, w := range work {
		if limit := d.GroupLimit(group); limit > 0 && w/window > limit {
			parts[group] = float64(limit) * float64(window) / float64(w)
		}
	}
	return parts
}

func (a *Arrival) exceeds(limit int64) bool {
	return slices.ContainsFunc(a.Tasks, func(t ArrivalTasks) bool { return t.MilliCPU > limit })
}

const (
	// rangesPerDoubling is the number of size ranges per factor of two. In a
	// range the largest task is at most 1.4 times the smallest.
	rangesPerDoubling = 2
	// sizeRanges is the number of size ranges. The last one has all tasks below
	// a 32nd of the largest worker.
	sizeRanges = 5*rangesPerDoubling + 1
)

// sizeRange returns the range of a task size that does not exceed limit. Range
// 0 has the largest tasks.
func sizeRange(milliCPU, limit int64) int {
	return min(sizeRanges-1, int(rangesPerDoubling*math.Log2(float64(max(1, limit))/float64(max(1, milliCPU)))))
}

// BatchReservationSize returns how much of a pool's CPU to reserve for batch
// tasks. All values have the same unit. Without a reservation, serving tasks
// could use the whole pool, for example after a loss of workers. Serving tasks
// do not end, so batch tasks would never get CPU again. If the pool is too
// small for both, it is divided in proportion to the demands.
func BatchReservationSize(capacity, batch, serving int64) int64 {
	demand := int64(batchDemandFactor * float64(batch))
	if demand+serving <= capacity {
		return demand
	}
	return int64(float64(capacity) * float64(demand) / float64(demand+serving))
}

// BatchReservation limits the CPU that serving tasks may reserve in a pool. Each
// range of batch task sizes has its own reservation, and only free CPU in which
// its largest task fits counts for it. A few tasks that are nearly as large as
// a worker therefore do not devalue the capacity that all others can use.
type BatchReservation struct {
	ranges []sizeReservation
}

// sizeReservation is the reservation for the tasks of one size range and all
// larger tasks, in thousandths of a processor.
type sizeReservation struct {
	taskSize  int64 // CPU of the largest task of the range
	available int64 // CPU usable by tasks of taskSize and not reserved by serving tasks
	reserved  int64
}

// NewBatchReservation reserves CPU on the workers for batch tasks, in
// thousandths of a processor. demand has the demand by task size, smallest
// tasks first, and reserved is divided in proportion to it.
func NewBatchReservation(workers []*WorkerCapacity, reserved int64, demand []SizeDemand) *BatchReservation {
	s := &BatchReservation{ranges: make([]sizeReservation, len(demand))}
	for i, d := range demand {
		r := &s.ranges[i]
		*r = sizeReservation{taskSize: max(1, d.Largest), reserved: int64(float64(reserved) * fractionOf(d.Mean, demand[0].Mean))}
		for _, w := range workers {
			r.available += r.usable(w.Free.MilliCPU + w.Batch.MilliCPU)
		}
	}
	return s
}

// BurstCPU returns the part of the reservation above the mean demand, in
// thousandths of a processor. Batch tasks need it in bursts, so that it may be
// unused for seconds.
func (s *BatchReservation) BurstCPU() int64 {
	if len(s.ranges) == 0 {
		return 0
	}
	return int64(float64(s.ranges[0].reserved) * (1 - 1/batchDemandFactor))
}

// usable returns the part of a worker's CPU that tasks of taskSize can use.
func (s *sizeReservation) usable(milliCPU int64) int64 {
	if milliCPU < s.taskSize {
		return 0
	}
	return milliCPU / s.taskSize * s.taskSize
}

func (s *sizeReservation) capacityLoss(r *WorkerCapacity, milliCPU int64) int64 {
	remaining := r.Free.MilliCPU + r.Batch.MilliCPU
	return s.usable(remaining) - s.usable(remaining-milliCPU)
}

// Admits reports whether a serving task can be placed on the worker without
// reducing the available CPU below the batch reservation.
func (s *BatchReservation) Admits(w *WorkerCapacity, milliCPU int64) bool {
	for i := range s.ranges {
		r := &s.ranges[i]
		if loss := r.capacityLoss(w, milliCPU); loss > 0 && r.available-loss < r.reserved {
			return false
		}
	}
	return true
}

// Reserve subtracts a serving task from the available CPU. It must be called
// before the task is reserved on the worker.
func (s *BatchReservation) Reserve(w *WorkerCapacity, milliCPU int64) {
	for i := range s.ranges {
		s.ranges[i].available -= s.ranges[i].capacityLoss(w, milliCPU)
	}
}

// maxFittingTasks bounds the number of tasks counted per worker, for tasks with
// very small sizes.
const maxFittingTasks = 1000

// CountFitting returns how many tasks of the size of t fit on the workers on
// which t may be placed.
func CountFitting(workers []*WorkerCapacity, t PoolTask) int {
	n := 0
	for i, r := range workers {
		if r != nil && t.fitsOn(r) && (t.Excluded == nil || !t.Excluded(i)) {
			n += fittingTasks(r.Free, t.Step.Reservation())
		}
	}
	return n
}

func fittingTasks(free, size state.Resources) int {
	n := int64(maxFittingTasks)
	for _, d := range [][2]int64{
		{free.MilliCPU, size.MilliCPU}, {free.MemoryMiB, size.MemoryMiB}, {free.Accelerators, size.Accelerators},
	} {
		if d[1] > 0 {
			n = min(n, d[0]/d[1])
		}
	}
	return int(n)
}

// IdleCapacity tracks the capacity that batch tasks leave unused while serving
// tasks wait for it.
type IdleCapacity struct {
	since   int64 // first of the consecutive observations, Unix milliseconds
	last    int64
	samples []fittingSample
}

type fittingSample struct {
	at      int64
	fitting int
}

// Observe records the capacity left after batch tasks in a placement pass, for
// tasks that are equal to t, and returns how many of them may use it. That is
// the minimum number of fitting tasks during idleWindow, less as many as fit
// into burstCPU, at least one. Batch tasks arrive in bursts and may need that
// capacity at any moment. burstCPU is in thousandths of a processor.
func (r *IdleCapacity) Observe(now int64, workers []*WorkerCapacity, t PoolTask, burstCPU int64) int {
	if now-r.last > idleWindow {
		r.since, r.samples = now, nil
	}
	r.last = now
	recent := r.samples[:0]
	for _, s := range r.samples {
		if now-s.at <= idleWindow {
			recent = append(recent, s)
		}
	}
	r.samples = append(recent, fittingSample{now, CountFitting(workers, t)})
	if now-r.since < idleWindow {
		return 0
	}
	least := r.samples[0].fitting
	for _, s := range r.samples {
		least = min(least, s.fitting)
	}
	burst := 1
	if size := t.Step.Reservation().MilliCPU; size > 0 {
		burst = max(1, int(burstCPU/size))
	}
	return max(0, least-burst)
}
