package placement

import (
	"slices"

	"apricotrouter/state"
)

const (
	// demandWindow is the time over which the demand of batch tasks is taken,
	// in milliseconds: it covers a hundred submissions at the users' rates.
	demandWindow = 10_000
	// minDemandWindow is the least time over which it is taken after a leader
	// has taken over, in milliseconds.
	minDemandWindow = 2000
	// batchMargin is how many times their mean demand batch tasks are given,
	// as they come in bursts.
	batchMargin = 1.5
	// servingOverdue is how long serving tasks beyond their share wait before
	// they get room that batch tasks leave unused, in milliseconds.
	servingOverdue = 4000
	// servingMissing is how long those that have run before wait until they get any
	// room that is free for two of them, in milliseconds: from then on the users'
	// rules count a missing task as lost while there is such room.
	servingMissing = 6000
	// idleTime is how long batch tasks must have left room unused, in
	// milliseconds: several of their tasks begin and end meanwhile.
	idleTime = 2000
)

// Overdue reports whether a serving task has waited so long that it may go
// beyond the share of serving tasks.
func Overdue(waitedMillis int64) bool { return waitedMillis >= servingOverdue }

// Missing reports whether a serving task has been missing so long that no share
// keeps it from room that is there. A task that has never run is not missing:
// it asks for more of the pool than serving tasks had before.
func Missing(waitedMillis int64, ranBefore bool) bool {
	return ranBefore && waitedMillis >= servingMissing
}

// BeyondShare reports whether a serving task that has waited may go beyond the
// share of serving tasks. Idle is how many of them may have what batch tasks
// leave unused, and places how many have room now. It answers batch tasks whose
// bursts use all room for moments only: they have had their turn, and there is
// as much room for them as for the serving task.
func BeyondShare(waitedMillis int64, ranBefore bool, idle, places int) bool {
	return Overdue(waitedMillis) && idle > 0 || Missing(waitedMillis, ranBefore) && places > 1
}

// NearlyOverdue reports whether a serving task will be overdue within the time
// for which IdleRoom has to observe the room first.
func NearlyOverdue(waitedMillis int64) bool { return waitedMillis >= servingOverdue-idleTime }

// BatchDemand follows the processors that the batch tasks of a pool ask for.
type BatchDemand struct {
	arrivals []Arrival
}

// Arrival is batch tasks that begin to ask for room at a time.
type Arrival struct {
	At       int64 // Unix milliseconds
	Priority int   // 0 is served first
	Work     int64 // thousandths of a processor times milliseconds
	Largest  int64 // processors of the largest task, in thousandths
}

// Add notes an arrival.
func (d *BatchDemand) Add(a Arrival) { d.arrivals = append(d.arrivals, a) }

// Of returns the mean demand in thousandths of a processor, and the processors
// of the largest task, over the arrivals that are known since a time, Unix
// milliseconds. Those that are less urgent than a priority don't count, nor do
// those with tasks that fit no worker, whose processors are at most the limit.
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

// BatchShare returns how many of a pool's processors are kept for batch tasks.
// It answers serving tasks that ask for all of them, as after the loss of
// workers: serving tasks don't end, so that none would ever be free for batch
// tasks again. Where there are too few for both, each kind gets them in
// proportion to what it asks for.
func BatchShare(capacity, batch, serving int64) int64 {
	asked := int64(batchMargin * float64(batch))
	if asked+serving <= capacity {
		return asked
	}
	return int64(float64(capacity) * float64(asked) / float64(asked+serving))
}

// Share bounds what serving tasks may reserve of a pool.
type Share struct {
	unit int64 // size of the batch tasks for which there must be room
	room int64 // for tasks of the unit, beside serving tasks
	kept int64
}

// NewShare returns a share that keeps processors for batch tasks of a size.
func NewShare(rooms []*PoolRoom, kept, unit int64) *Share {
	s := &Share{unit: max(1, unit), kept: kept}
	for _, r := range rooms {
		s.room += s.of(r.Free.MilliCPU + r.Batch.MilliCPU)
	}
	return s
}

// of returns how much of a room is of use for tasks of the unit.
func (s *Share) of(milliCPU int64) int64 { return max(0, milliCPU) / s.unit * s.unit }

func (s *Share) loss(r *PoolRoom, milliCPU int64) int64 {
	left := r.Free.MilliCPU + r.Batch.MilliCPU
	return s.of(left) - s.of(left-milliCPU)
}

// Admits reports whether a serving task leaves batch tasks their share.
func (s *Share) Admits(r *PoolRoom, milliCPU int64) bool {
	loss := s.loss(r, milliCPU)
	return loss == 0 || s.room-loss >= s.kept
}

// Take books a serving task before it takes the room.
func (s *Share) Take(r *PoolRoom, milliCPU int64) { s.room -= s.loss(r, milliCPU) }

// maxPlaces bounds the places that are counted in one room, for tasks that ask
// for next to nothing.
const maxPlaces = 1000

// Places returns how many tasks of the size of t there is space for in rooms
// that t may go to.
func Places(rooms []*PoolRoom, t PoolTask) int {
	n := 0
	for i, r := range rooms {
		if r != nil && admits(r, t.Step) && (t.Excluded == nil || !t.Excluded(i)) {
			n += placesIn(r.Free, t.Step.Reserves())
		}
	}
	return n
}

func placesIn(free, size state.Resources) int {
	n := int64(maxPlaces)
	for _, d := range [][2]int64{
		{free.MilliCPU, size.MilliCPU}, {free.MemoryMiB, size.MemoryMiB}, {free.Accelerators, size.Accelerators},
	} {
		if d[1] > 0 {
			n = min(n, d[0]/d[1])
		}
	}
	return int(n)
}

// IdleRoom follows how much room batch tasks leave unused while serving tasks
// wait for it.
type IdleRoom struct {
	since   int64 // of the first observation in a row, Unix milliseconds
	last    int64
	samples []sample
}

type sample struct {
	at     int64
	places int
}

// Observe notes the room that is left in a round of placement for tasks that are
// equal to t, and returns how many of them may have it: as many as had room all the
// time, but for the last place, which batch tasks may need at once. It answers
// batch tasks that come in bursts, whose room is idle in between.
func (r *IdleRoom) Observe(now int64, rooms []*PoolRoom, t PoolTask) int {
	if now-r.last > idleTime {
		r.since, r.samples = now, nil
	}
	r.last = now
	kept := r.samples[:0]
	for _, s := range r.samples {
		if now-s.at <= idleTime {
			kept = append(kept, s)
		}
	}
	r.samples = append(kept, sample{now, Places(rooms, t)})
	if now-r.since < idleTime {
		return 0
	}
	least := r.samples[0].places
	for _, s := range r.samples {
		least = min(least, s.places)
	}
	return max(0, least-1)
}
