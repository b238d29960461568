package placement_test

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/placement"
	"apricotrouter/state"
)

func processors(n float64) state.Resources {
	return state.Resources{MilliCPU: int64(n * 1000), MemoryMiB: int64(n * 2000)}
}

func TestBatchShare(t *testing.T) {
	for name, c := range map[string]struct{ capacity, batch, serving, want int64 }{
		"nothing asked for":              {1000, 0, 500, 0},
		"room for both, with the margin": {1000, 100, 800, 150},
		"just room for both":             {1000, 100, 850, 150},
		"too little, in proportion":      {1000, 200, 900, 250},
		"serving tasks ask for it all":   {1000, 100, 1350, 100},
		"no workers":                     {0, 100, 1000, 0},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(placement.BatchShare(c.capacity, c.batch, c.serving)).To(Equal(c.want))
		})
	}
}

func TestBatchDemandIsTheMeanOfRecentArrivals(t *testing.T) {
	g := NewWithT(t)
	const limit = 64_000
	var d placement.BatchDemand
	d.Add(placement.Arrival{At: 1000, Work: 5_000_000, Largest: 20_000})
	d.Add(placement.Arrival{At: 9000, Work: 20_000_000, Largest: 7000})
	of := func(now, since int64, priority int) []int64 {
		mean, largest := d.Of(now, since, priority, limit)
		return []int64{mean, largest}
	}
	g.Expect(of(10_000, 0, 0)).To(Equal([]int64{2500, 20_000}))
	g.Expect(of(12_000, 0, 0)).To(Equal([]int64{2000, 7000}), "the first one is too old")
	g.Expect(of(12_000, 8000, 0)).To(Equal([]int64{5000, 7000}), "this leader knows the last 4 s only")
	d.Add(placement.Arrival{At: 12_000, Priority: 2, Work: 10_000_000, Largest: 9000})
	g.Expect(of(12_000, 0, 0)).To(Equal([]int64{2000, 7000}), "it is less urgent than the serving tasks")
	g.Expect(of(12_000, 0, 2)).To(Equal([]int64{3000, 9000}))
	g.Expect(of(30_000, 0, 2)).To(Equal([]int64{0, 0}))
}

// Guards against submissions that can never be done, for which room would be
// kept or which would make all room look useless.
func TestTasksThatFitNoWorkerAreNoDemand(t *testing.T) {
	g := NewWithT(t)
	var d placement.BatchDemand
	d.Add(placement.Arrival{At: 1000, Work: 10_000_000, Largest: 8000})
	d.Add(placement.Arrival{At: 1000, Work: 900_000_000, Largest: 900_000})
	mean, largest := d.Of(2000, 0, 0, 64_000)
	g.Expect([]int64{mean, largest}).To(Equal([]int64{5000, 8000}))
}

// lossOfWorkers is the load of the incident: serving tasks of 10 to 16
// processors that reserve 85 of 100 processors of a pool, of which a sixth of the workers
// is lost.
func lossOfWorkers(seed uint64) (rooms []*placement.PoolRoom, lost []*state.WorkflowStep) {
	r := rand.New(rand.NewPCG(seed, 0))
	capacity := processors(64)
	for range 60 {
		rooms = append(rooms, &placement.PoolRoom{Capacity: capacity, Free: capacity, IdleCPU: capacity.MilliCPU})
	}
	on := make([][]*state.WorkflowStep, len(rooms))
	for used := int64(0); used < 60*capacity.MilliCPU*85/100; {
		s := &state.WorkflowStep{Count: 1, LongRunning: true, TailMillis: 100, Size: processors(10 + 6*r.Float64())}
		used += s.Size.MilliCPU
		i := placement.ChooseRoom(rooms, placement.PoolTask{Step: s})
		if i < 0 {
			continue
		}
		rooms[i].Take(placement.PoolTask{Step: s})
		on[i] = append(on[i], s)
	}
	for range len(rooms) / 6 {
		i := r.IntN(len(rooms))
		lost = append(lost, on[i]...)
		rooms, on = append(rooms[:i], rooms[i+1:]...), append(on[:i], on[i+1:]...)
	}
	return rooms, lost
}

// fitting returns how many batch tasks of a size fit into the rooms.
func fitting(rooms []*placement.PoolRoom, size state.Resources) int {
	n := 0
	for _, r := range rooms {
		for free := r.Free; size.Fits(free); free = free.Sub(size) {
			n++
		}
	}
	return n
}

// Guards against serving tasks that leave batch tasks nothing but pieces after
// a loss of workers.
func TestServingTasksLeaveBatchTasksTheirShareAfterALossOfWorkers(t *testing.T) {
	g := NewWithT(t)
	const large, kept = 20_000, 100_000
	for seed := range uint64(50) {
		for _, bounded := range []bool{false, true} {
			rooms, lost := lossOfWorkers(seed)
			share := placement.NewShare(rooms, 0, large)
			if bounded {
				share = placement.NewShare(rooms, kept, large)
			}
			before := fitting(rooms, processors(large/1000))
			for _, s := range lost {
				task := placement.PoolTask{Step: s, Excluded: func(i int) bool { return !share.Admits(rooms[i], s.Size.MilliCPU) }}
				i := placement.ChooseRoom(rooms, task)
				if i < 0 {
					continue
				}
				share.Take(rooms[i], s.Size.MilliCPU)
				rooms[i].Take(task)
			}
			g.Expect(len(lost)).To(BeNumerically(">", 25))
			if bounded {
				g.Expect(fitting(rooms, processors(large/1000))).To(BeNumerically(">=", min(before, kept/large)), "seed %d", seed)
			} else {
				g.Expect(fitting(rooms, processors(large/1000))).To(BeNumerically("<", kept/large/2), "seed %d: not the load of the incident", seed)
			}
			g.Expect(before).To(BeNumerically(">=", kept/large/2))
		}
	}
}

// Guards against a share that is lost while batch tasks use it.
func TestShareCountsWhatBatchTasksUse(t *testing.T) {
	g := NewWithT(t)
	r := &placement.PoolRoom{Capacity: processors(64), Free: processors(64), IdleCPU: 64_000}
	batch := placement.PoolTask{Step: &state.WorkflowStep{Count: 1, Size: processors(20)}}
	r.Take(batch)
	share := placement.NewShare([]*placement.PoolRoom{r}, 40_000, 20_000)
	g.Expect(share.Admits(r, 24_000)).To(BeTrue(), "40 of 64 stay, 20 of them in use")
	g.Expect(share.Admits(r, 25_000)).To(BeFalse())
	share.Take(r, 24_000)
	r.Take(placement.PoolTask{Step: &state.WorkflowStep{Count: 1, LongRunning: true, Size: processors(24)}})
	g.Expect(share.Admits(r, 1000)).To(BeFalse(), "39 would be left, with room for one task of 20")
}

// Guards against serving tasks that take the room which batch tasks need for
// their next burst, and against ones that never get room that is not needed.
func TestIdleRoomIsWhatBatchTasksLeaveAllTheTime(t *testing.T) {
	g := NewWithT(t)
	room := func(n float64) *placement.PoolRoom {
		return &placement.PoolRoom{Capacity: processors(64), Free: processors(n)}
	}
	var idle placement.IdleRoom
	observe := func(now int64, rooms ...*placement.PoolRoom) int {
		return idle.Observe(now, rooms, placement.PoolTask{Step: &state.WorkflowStep{LongRunning: true, Size: processors(13)}})
	}
	g.Expect(observe(10_000, room(60), room(60))).To(BeZero(), "not known for long enough")
	g.Expect(observe(11_000, room(20), nil, room(26))).To(BeZero())
	g.Expect(observe(12_000, room(60), room(60))).To(Equal(2), "a burst left room for three")
	g.Expect(observe(13_500, room(60), room(60))).To(Equal(7), "the burst is over")
	g.Expect(observe(14_000, room(12), room(12))).To(BeZero())
	g.Expect(observe(16_100, room(60))).To(BeZero(), "not observed meanwhile")
	for at := int64(16_200); at < 18_000; at += 100 {
		g.Expect(observe(at, room(60))).To(BeZero())
	}
	g.Expect(observe(18_100, room(60))).To(Equal(3))
}

// replayBursts plays a minute of a pool in which batch tasks need all that the
// share keeps in bursts of 200 ms, more than once in 2 s, and serving tasks wait
// that would go beyond the share. It returns the longest time for which one of
// them waited, and how many it placed.
func replayBursts(mayExceed func(waited int64, ranBefore bool, idle, places int) bool, seed uint64) (longest int64, placed int) {
	const interval = 50
	r := rand.New(rand.NewPCG(seed, 1))
	rooms := make([]*placement.PoolRoom, 12)
	for i := range rooms {
		rooms[i] = &placement.PoolRoom{Capacity: processors(64), Free: processors(36 + 13*r.Float64())}
	}
	server := placement.PoolTask{Step: &state.WorkflowStep{LongRunning: true, Size: processors(14)}}
	share := placement.NewShare(rooms, 1_000_000, 18_000)
	withinShare := server
	withinShare.Excluded = func(i int) bool { return !share.Admits(rooms[i], server.Step.Size.MilliCPU) }
	var idle placement.IdleRoom
	var since []int64 // when tasks began to wait
	burstEnds, nextBurst := int64(0), int64(0)
	for now := int64(0); now < 60_000; now += interval {
		if now%10_000 == 0 {
			since = append(since, now)
		}
		if now >= nextBurst {
			burstEnds, nextBurst = now+200, now+600+r.Int64N(1200)
		}
		usable := rooms
		if now < burstEnds {
			usable = nil // batch tasks have had their turn and left nothing
		}
		n := idle.Observe(now, usable, server)
		left := since[:0]
		for _, at := range since {
			waited := now - at
			longest = max(longest, waited)
			i := placement.ChooseRoom(usable, withinShare)
			if i < 0 && mayExceed(waited, true, n, placement.Places(usable, server)) {
				i = placement.ChooseRoom(usable, server)
			}
			if i < 0 {
				left = append(left, at)
				continue
			}
			share.Take(rooms[i], server.Step.Size.MilliCPU)
			rooms[i].Take(server)
			placed++
		}
		since = left
	}
	return longest, placed
}

// Guards against serving tasks that wait without a bound, beside room for them,
// for batch tasks whose bursts need it for moments.
func TestServingTasksGoBeyondTheirShareBetweenBurstsWithinTheBound(t *testing.T) {
	g := NewWithT(t)
	const lost, burst = 6000, 200 // ms; the first from the users' rules
	for seed := range uint64(50) {
		longest, placed := replayBursts(placement.BeyondShare, seed)
		// The bound may pass in the middle of a burst.
		g.Expect(longest).To(BeNumerically("<=", lost+2*burst), "seed %d", seed)
		g.Expect(placed).To(BeNumerically(">=", 5), "seed %d", seed)
		longest, _ = replayBursts(func(waited int64, _ bool, idle, _ int) bool { return placement.Overdue(waited) && idle > 0 }, seed)
		g.Expect(longest).To(BeNumerically(">", 2*lost), "seed %d: idle room alone serves them", seed)
	}
}

func TestBeyondShare(t *testing.T) {
	for name, c := range map[string]struct {
		waited       int64
		ranBefore    bool
		idle, places int
		want         bool
	}{
		"share alone decides":            {3999, true, 5, 50, false},
		"room that was idle":             {4000, true, 1, 0, true},
		"no idle room":                   {5999, true, 0, 50, false},
		"missing, room for two":          {6000, true, 0, 2, true},
		"missing, room for itself alone": {6000, true, 0, 1, false},
		"missing, room for itself, idle": {6000, true, 1, 1, true},
		"missing, no room on any worker": {60_000, true, 0, 0, false},
		"waits for long, room for two":   {60_000, true, 0, 2, true},
		"never ran, room for two":        {60_000, false, 0, 2, false},
		"never ran, room was idle":       {4000, false, 1, 2, true},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(placement.BeyondShare(c.waited, c.ranBefore, c.idle, c.places)).To(Equal(c.want))
		})
	}
}
