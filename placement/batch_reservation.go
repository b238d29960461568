package placement

import (
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
}

// Arrival is a group of batch tasks that became ready to be placed at the same
// time.
type Arrival struct {
	At       int64 // Unix milliseconds
	Priority int   // 0 is the most urgent
	Work     int64 // thousandths of a processor times milliseconds
	Largest  int64 // CPU of the largest task, in thousandths of a processor
}

// Add records an arrival.
func (d *BatchDemand) Add(a Arrival) { d.arrivals = append(d.arrivals, a) }

// Of returns the mean demand and the CPU of the largest task, both in
// thousandths of a processor. since is the time from which arrivals were
// recorded, in Unix milliseconds. Arrivals that are less urgent than priority
// are ignored, as are arrivals with tasks above limit, the CPU of the largest
// worker, because these fit on no worker.
func (d *BatchDemand) Of(now, since int64, priority int, limit int64) (mean, largest int64) {
	d.arrivals = slices.DeleteFunc(d.arrivals, func(a Arrival) bool { return a.At < now-demandWindow })
	work := int64(0)
	for _, a := range d.arrivals {
		if a.Priority <= priority && a.Largest <= limit {
			work += a.Work
			largest = max(largest, a.Largest)
		}
	}
	return work / min(demandWindow, max(minDemandWindow, now-since)), largest
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

// BatchReservation limits the CPU that serving tasks may reserve in a pool.
type BatchReservation struct {
	taskSize  int64 // CPU of the batch tasks for which capacity is reserved, in thousandths of a processor
	available int64 // CPU usable by tasks of taskSize and not reserved by serving tasks
	reserved  int64
}

// NewBatchReservation reserves CPU on the workers for batch tasks of taskSize.
// Both values are in thousandths of a processor.
func NewBatchReservation(workers []*WorkerCapacity, reserved, taskSize int64) *BatchReservation {
	s := &BatchReservation{taskSize: max(1, taskSize), reserved: reserved}
	for _, r := range workers {
		s.available += s.usable(r.Free.MilliCPU + r.Batch.MilliCPU)
	}
	return s
}

// usable returns the part of a worker's CPU that tasks of taskSize can use.
func (s *BatchReservation) usable(milliCPU int64) int64 {
	return max(0, milliCPU) / s.taskSize * s.taskSize
}

func (s *BatchReservation) capacityLoss(r *WorkerCapacity, milliCPU int64) int64 {
	remaining := r.Free.MilliCPU + r.Batch.MilliCPU
	return s.usable(remaining) - s.usable(remaining-milliCPU)
}

// Admits reports whether a serving task can be placed on the worker without
// reducing the available CPU below the batch reservation.
func (s *BatchReservation) Admits(r *WorkerCapacity, milliCPU int64) bool {
	capacityLoss := s.capacityLoss(r, milliCPU)
	return capacityLoss == 0 || s.available-capacityLoss >= s.reserved
}

// Reserve subtracts a serving task from the available CPU. It must be called
// before the task is reserved on the worker.
func (s *BatchReservation) Reserve(r *WorkerCapacity, milliCPU int64) {
	s.available -= s.capacityLoss(r, milliCPU)
}

// maxFittingTasks bounds the number of tasks counted per worker, for tasks with
// very small sizes.
const maxFittingTasks = 1000

// CountFitting returns how many tasks of the size of t fit on the workers on
// which t may be placed.
func CountFitting(workers []*WorkerCapacity, t PoolTask) int {
	n := 0
	for i, r := range workers {
		if r != nil && canPlace(r, t.Step) && (t.Excluded == nil || !t.Excluded(i)) {
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
// the minimum number of fitting tasks during idleWindow, less one that batch
// tasks may need at any moment. Batch tasks arrive in bursts, and the capacity
// is idle between the bursts.
func (r *IdleCapacity) Observe(now int64, workers []*WorkerCapacity, t PoolTask) int {
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
	return max(0, least-1)
}
