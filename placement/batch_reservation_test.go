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
		"no batch demand":                        {1000, 0, 500, 0},
		"enough for both, with the batch factor": {1000, 100, 800, 150},
		"just enough for both":                   {1000, 100, 850, 150},
		"not enough, in proportion":              {1000, 200, 900, 250},
		"serving demand exceeds the capacity":    {1000, 100, 1350, 100},
		"no workers":                             {0, 100, 1000, 0},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(placement.BatchReservationSize(c.capacity, c.batch, c.serving)).To(Equal(c.want))
		})
	}
}

func TestBatchDemandIsTheMeanOfRecentArrivals(t *testing.T) {
	g := NewWithT(t)
	const limit = 64_000
	var d placement.BatchDemand
	d.Add(arrival(1000, 0, 20_000, 5_000_000))
	d.Add(arrival(9000, 0, 7000, 20_000_000))
	demand := func(now, since int64, priority int) []placement.SizeDemand {
		return d.Of(now, since, priority, limit)
	}
	type sizes = []placement.SizeDemand
	g.Expect(demand(10_000, 0, 0)).To(Equal(sizes{{Largest: 7000, Mean: 2500}, {Largest: 20_000, Mean: 500}}))
	g.Expect(demand(12_000, 0, 0)).To(Equal(sizes{{Largest: 7000, Mean: 2000}}), "the first arrival is outside the window")
	g.Expect(demand(12_000, 8000, 0)).To(Equal(sizes{{Largest: 7000, Mean: 5000}}), "arrivals were recorded for 4 s only")
	d.Add(arrival(12_000, 2, 9000, 10_000_000))
	g.Expect(demand(12_000, 0, 0)).To(Equal(sizes{{Largest: 7000, Mean: 2000}}), "the new arrival is less urgent than the serving tasks")
	g.Expect(demand(12_000, 0, 2)).To(Equal(sizes{{Largest: 7000, Mean: 3000}, {Largest: 9000, Mean: 1000}}))
	g.Expect(demand(30_000, 0, 2)).To(BeEmpty())
}

func arrival(at int64, priority int, milliCPU, work int64) placement.Arrival {
	return placement.Arrival{At: at, Priority: priority, Tasks: []placement.ArrivalTasks{{MilliCPU: milliCPU, Work: work}}}
}

// sameSize is the demand of batch tasks that all have the same CPU.
func sameSize(milliCPU int64) []placement.SizeDemand {
	return []placement.SizeDemand{{Largest: milliCPU, Mean: 1}}
}

func TestBatchDemandBySize(t *testing.T) {
	g := NewWithT(t)
	var d placement.BatchDemand
	for _, milliCPU := range []int64{1, 10_000, 11_000, 20_000, 61_000, 64_000} {
		d.Add(arrival(1000, 0, milliCPU, 10_000_000))
	}
	g.Expect(d.Of(1000, -10_000, 0, 64_000)).To(Equal([]placement.SizeDemand{
		{Largest: 1, Mean: 6000}, {Largest: 11_000, Mean: 5000}, {Largest: 20_000, Mean: 3000}, {Largest: 64_000, Mean: 2000},
	}), "10,000 and 11,000 are in one range, as are 61,000 and 64,000")
}

// Guards against tasks that fit on no worker and would still count as demand:
// capacity would be reserved for them, or no free capacity would count as
// usable.
func TestTasksThatFitNoWorkerAreNoDemand(t *testing.T) {
	g := NewWithT(t)
	var d placement.BatchDemand
	d.Add(arrival(1000, 0, 8000, 10_000_000))
	d.Add(arrival(1000, 0, 900_000, 900_000_000))
	g.Expect(d.Of(2000, 0, 0, 64_000)).To(Equal([]placement.SizeDemand{{Largest: 8000, Mean: 5000}}))
}

// simulateWorkerLoss reproduces a loss of workers: serving tasks of 10 to 16
// processors reserve 85 % of the CPU of a pool, and then a sixth of the workers
// is lost. It returns the remaining workers and the steps of the lost tasks.
func simulateWorkerLoss(seed uint64) (workers []*placement.WorkerCapacity, lost []*state.WorkflowStep) {
	r := rand.New(rand.NewPCG(seed, 0))
	capacity := processors(64)
	for range 60 {
		workers = append(workers, &placement.WorkerCapacity{Capacity: capacity, Free: capacity, IdleCPU: capacity.MilliCPU})
	}
	stepsByWorker := make([][]*state.WorkflowStep, len(workers))
	for used := int64(0); used < 60*capacity.MilliCPU*85/100; {
		s := &state.WorkflowStep{Count: 1, LongRunning: true, TailMillis: 100, Size: processors(10 + 6*r.Float64())}
		used += s.Size.MilliCPU
		i := placement.ChooseWorker(workers, placement.PoolTask{Step: s})
		if i < 0 {
			continue
		}
		workers[i].Reserve(placement.PoolTask{Step: s})
		stepsByWorker[i] = append(stepsByWorker[i], s)
	}
	for range len(workers) / 6 {
		i := r.IntN(len(workers))
		lost = append(lost, stepsByWorker[i]...)
		workers, stepsByWorker = append(workers[:i], workers[i+1:]...), append(stepsByWorker[:i], stepsByWorker[i+1:]...)
	}
	return workers, lost
}

// countFitting returns how many batch tasks of a size fit on the workers.
func countFitting(workers []*placement.WorkerCapacity, size state.Resources) int {
	n := 0
	for _, r := range workers {
		for free := r.Free; size.FitsIn(free); free = free.Sub(size) {
			n++
		}
	}
	return n
}

// Guards against serving tasks that leave only fragments for batch tasks after
// a loss of workers.
func TestServingTasksLeaveBatchTasksTheirShareAfterALossOfWorkers(t *testing.T) {
	g := NewWithT(t)
	const large, reserved = 20_000, 100_000
	for seed := range uint64(50) {
		for _, bounded := range []bool{false, true} {
			workers, lost := simulateWorkerLoss(seed)
			share := placement.NewBatchReservation(workers, 0, sameSize(large))
			if bounded {
				share = placement.NewBatchReservation(workers, reserved, sameSize(large))
			}
			before := countFitting(workers, processors(large/1000))
			for _, s := range lost {
				task := placement.PoolTask{Step: s, Excluded: func(i int) bool { return !share.Admits(workers[i], s.Size.MilliCPU) }}
				i := placement.ChooseWorker(workers, task)
				if i < 0 {
					continue
				}
				share.Reserve(workers[i], s.Size.MilliCPU)
				workers[i].Reserve(task)
			}
			g.Expect(len(lost)).To(BeNumerically(">", 25))
			if bounded {
				g.Expect(countFitting(workers, processors(large/1000))).To(BeNumerically(">=", min(before, reserved/large)), "seed %d", seed)
			} else {
				g.Expect(countFitting(workers, processors(large/1000))).To(BeNumerically("<", reserved/large/2), "seed %d: the workload does not reproduce the failure", seed)
			}
			g.Expect(before).To(BeNumerically(">=", reserved/large/2))
		}
	}
}

// Guards against a batch reservation that admits every serving task because no
// worker has free capacity for the largest of the recent batch tasks.
func TestLargestBatchTaskDoesNotDevalueTheReservation(t *testing.T) {
	g := NewWithT(t)
	const reserved, common = 200_000, 20_000
	demand := []placement.SizeDemand{{Largest: common, Mean: 130_000}, {Largest: 61_000, Mean: 2000}}
	for seed := range uint64(50) {
		for _, bySize := range []bool{false, true} {
			r := rand.New(rand.NewPCG(seed, 2))
			workers := make([]*placement.WorkerCapacity, 50)
			for i := range workers {
				workers[i] = &placement.WorkerCapacity{Capacity: processors(64), Free: processors(60 * r.Float64())}
			}
			share := placement.NewBatchReservation(workers, reserved, sameSize(demand[1].Largest))
			if bySize {
				share = placement.NewBatchReservation(workers, reserved, demand)
			}
			before := countFitting(workers, processors(common/1000))
			for range 200 {
				s := &state.WorkflowStep{Count: 1, LongRunning: true, TailMillis: 100, Size: processors(10 + 6*r.Float64())}
				task := placement.PoolTask{Step: s, Excluded: func(i int) bool { return !share.Admits(workers[i], s.Size.MilliCPU) }}
				if i := placement.ChooseWorker(workers, task); i >= 0 {
					share.Reserve(workers[i], s.Size.MilliCPU)
					workers[i].Reserve(task)
				}
			}
			after := countFitting(workers, processors(common/1000))
			if bySize {
				g.Expect(after).To(BeNumerically(">=", min(before, reserved/common)), "seed %d", seed)
			} else {
				g.Expect(after).To(BeNumerically("<", reserved/common/2), "seed %d: the workload does not reproduce the failure", seed)
			}
		}
	}
}

func TestReservationsOfSizeRanges(t *testing.T) {
	newWorker := func(free float64) *placement.WorkerCapacity {
		return &placement.WorkerCapacity{Capacity: processors(64), Free: processors(free)}
	}
	demand := []placement.SizeDemand{{Largest: 10_000, Mean: 400}, {Largest: 40_000, Mean: 100}}
	for name, c := range map[string]struct {
		free  []float64
		admit []bool // a serving task of 10 processors, by worker
	}{
		"only the large range is short":         {[]float64{64, 35, 35, 35, 35, 35, 35}, []bool{true, true}},
		"the last piece for large tasks":        {[]float64{49, 35, 35, 35, 35, 35, 35}, []bool{false, true}},
		"both ranges are short":                 {[]float64{49, 35, 35, 9}, []bool{false, false, false}},
		"pieces that no range counts are free":  {[]float64{19, 30}, []bool{false, false}},
		"enough for both ranges":                {[]float64{64, 64, 64}, []bool{true, true, true}},
		"no capacity that any range could lose": {[]float64{9}, []bool{true}},
	} {
		t.Run(name, func(t *testing.T) {
			var workers []*placement.WorkerCapacity
			for _, free := range c.free {
				workers = append(workers, newWorker(free))
			}
			share := placement.NewBatchReservation(workers, 160_000, demand)
			for i, want := range c.admit {
				NewWithT(t).Expect(share.Admits(workers[i], 10_000)).To(Equal(want), "worker %d", i)
			}
		})
	}
}

// Guards against a batch reservation that shrinks while batch tasks use it.
func TestShareCountsWhatBatchTasksUse(t *testing.T) {
	g := NewWithT(t)
	r := &placement.WorkerCapacity{Capacity: processors(64), Free: processors(64), IdleCPU: 64_000}
	batch := placement.PoolTask{Step: &state.WorkflowStep{Count: 1, Size: processors(20)}}
	r.Reserve(batch)
	share := placement.NewBatchReservation([]*placement.WorkerCapacity{r}, 40_000, sameSize(20_000))
	g.Expect(share.Admits(r, 24_000)).To(BeTrue(), "40 of 64 processors remain, 20 of them in use")
	g.Expect(share.Admits(r, 25_000)).To(BeFalse())
	share.Reserve(r, 24_000)
	r.Reserve(placement.PoolTask{Step: &state.WorkflowStep{Count: 1, LongRunning: true, Size: processors(24)}})
	g.Expect(share.Admits(r, 1000)).To(BeFalse(), "39 processors would remain, which fit one task of 20")
}

// Guards against serving tasks that take the capacity which batch tasks need
// for their next burst, and against serving tasks that never get capacity which
// batch tasks do not need.
func TestIdleCapacityIsMinimumOverWindow(t *testing.T) {
	g := NewWithT(t)
	newWorker := func(n float64) *placement.WorkerCapacity {
		return &placement.WorkerCapacity{Capacity: processors(64), Free: processors(n)}
	}
	var idle placement.IdleCapacity
	observe := func(now int64, workers ...*placement.WorkerCapacity) int {
		return idle.Observe(now, workers, placement.PoolTask{Step: &state.WorkflowStep{LongRunning: true, Size: processors(13)}}, 0)
	}
	g.Expect(observe(10_000, newWorker(60), newWorker(60))).To(BeZero(), "not observed for long enough")
	g.Expect(observe(11_000, newWorker(20), nil, newWorker(26))).To(BeZero())
	g.Expect(observe(12_000, newWorker(60), newWorker(60))).To(Equal(2), "three tasks fitted during a burst")
	g.Expect(observe(13_500, newWorker(60), newWorker(60))).To(Equal(7), "the burst is over")
	g.Expect(observe(14_000, newWorker(12), newWorker(12))).To(BeZero())
	g.Expect(observe(16_100, newWorker(60))).To(BeZero(), "the observations are not consecutive")
	for at := int64(16_200); at < 18_000; at += 100 {
		g.Expect(observe(at, newWorker(60))).To(BeZero())
	}
	g.Expect(observe(18_100, newWorker(60))).To(Equal(3))
	burst := func(burstCPU int64) int {
		return idle.Observe(18_100, []*placement.WorkerCapacity{newWorker(60)}, placement.PoolTask{Step: &state.WorkflowStep{LongRunning: true, Size: processors(13)}}, burstCPU)
	}
	g.Expect(burst(12_000)).To(Equal(3), "one task is kept free for a burst of less")
	g.Expect(burst(30_000)).To(Equal(2))
	g.Expect(burst(60_000)).To(BeZero())
}

// replayJobs simulates one minute of a pool in which jobs of 9 tasks of 20
// processors and 640 ms arrive at random, 20 per second, while more serving
// tasks wait than fit. It returns the fraction of jobs that find too little free
// CPU for all of their tasks.
func replayJobs(seed uint64, burstCPU int64) (delayed float64) {
	const interval, duration, jobCPU, gap = 50, 640, 180_000, 50.0
	r := rand.New(rand.NewPCG(seed, 3))
	servingTask := placement.PoolTask{Step: &state.WorkflowStep{LongRunning: true, Size: processors(13)}}
	var idle placement.IdleCapacity
	var ends []int64
	unreserved, inUse := int64(6_000_000), int64(0)
	late, jobs, next := 0, 0, 0.0
	for now := int64(0); now < 60_000; now += interval {
		for len(ends) > 0 && ends[0] <= now {
			ends, inUse = ends[1:], inUse-jobCPU
		}
		for ; next <= float64(now); next += gap * r.ExpFloat64() {
			jobs++
			if inUse+jobCPU > unreserved {
				late++
			} else {
				ends, inUse = append(ends, now+duration), inUse+jobCPU
			}
		}
		var workers []*placement.WorkerCapacity
		for free := unreserved - inUse; free > 0; free -= 26_000 {
			workers = append(workers, &placement.WorkerCapacity{Capacity: processors(64), Free: processors(float64(min(free, 26_000)) / 1000)})
		}
		unreserved -= int64(idle.Observe(now, workers, servingTask, burstCPU)) * servingTask.Step.Size.MilliCPU
	}
	return float64(late) / float64(jobs)
}

// Guards against serving tasks that exceed their share by all of the capacity
// that was idle for 2 s, because jobs arrived slower than on average.
func TestIdleCapacityLeavesTheBurstsOfJobs(t *testing.T) {
	g := NewWithT(t)
	const mean = 20 * 9 * 20_000 * 640 / 1000 // CPU, in thousandths of a processor
	reserved := placement.BatchReservationSize(1<<40, mean, 0)
	share := placement.NewBatchReservation(nil, reserved, []placement.SizeDemand{{Largest: 20_000, Mean: mean}})
	g.Expect(share.BurstCPU()).To(BeNumerically("~", reserved-mean, 1))
	var before, after float64
	const seeds = 50
	for seed := range uint64(seeds) {
		before += replayJobs(seed, 0) / seeds
		after += replayJobs(seed, share.BurstCPU()) / seeds
	}
	g.Expect(before).To(BeNumerically(">", 0.2), "the workload does not reproduce the failure")
	g.Expect(after).To(BeNumerically("<", 0.1))
}

// replayBursts simulates one minute of a pool. Batch tasks need their whole
// reservation in bursts of 200 ms, more than once in 2 s, while serving tasks
// wait that would exceed their share. It returns the longest wait of a serving
// task in milliseconds and the number of serving tasks placed.
func replayBursts(mayExceed func(waited int64, ranBefore bool, idle, fitting int) bool, seed uint64) (longest int64, placed int) {
	const interval = 50
	r := rand.New(rand.NewPCG(seed, 1))
	workers := make([]*placement.WorkerCapacity, 12)
	for i := range workers {
		workers[i] = &placement.WorkerCapacity{Capacity: processors(64), Free: processors(36 + 13*r.Float64())}
	}
	servingTask := placement.PoolTask{Step: &state.WorkflowStep{LongRunning: true, Size: processors(14)}}
	share := placement.NewBatchReservation(workers, 1_000_000, sameSize(18_000))
	withinShare := servingTask
	withinShare.Excluded = func(i int) bool { return !share.Admits(workers[i], servingTask.Step.Size.MilliCPU) }
	var idle placement.IdleCapacity
	var waitingSince []int64 // when tasks began to wait
	burstEnds, nextBurst := int64(0), int64(0)
	for now := int64(0); now < 60_000; now += interval {
		if now%10_000 == 0 {
			waitingSince = append(waitingSince, now)
		}
		if now >= nextBurst {
			burstEnds, nextBurst = now+200, now+600+r.Int64N(1200)
		}
		usable := workers
		if now < burstEnds {
			usable = nil // batch tasks were placed first and left no capacity
		}
		n := idle.Observe(now, usable, servingTask, 0)
		stillWaiting := waitingSince[:0]
		for _, at := range waitingSince {
			waited := now - at
			longest = max(longest, waited)
			i := placement.ChooseWorker(usable, withinShare)
			if i < 0 && mayExceed(waited, true, n, placement.CountFitting(usable, servingTask)) {
				i = placement.ChooseWorker(usable, servingTask)
			}
			if i < 0 {
				stillWaiting = append(stillWaiting, at)
				continue
			}
			share.Reserve(workers[i], servingTask.Step.Size.MilliCPU)
			workers[i].Reserve(servingTask)
			placed++
		}
		waitingSince = stillWaiting
	}
	return longest, placed
}

// Guards against serving tasks that wait without a bound because of short
// bursts of batch tasks, although there is enough capacity between the bursts.
func TestServingTasksExceedShareBetweenBurstsWithinLimit(t *testing.T) {
	g := NewWithT(t)
	const maxWait, burst = 6000, 200 // ms; maxWait is from the users' requirements
	for seed := range uint64(50) {
		longest, placed := replayBursts(placement.MayExceedShare, seed)
		// The limit may be reached in the middle of a burst.
		g.Expect(longest).To(BeNumerically("<=", maxWait+2*burst), "seed %d", seed)
		g.Expect(placed).To(BeNumerically(">=", 5), "seed %d", seed)
		longest, _ = replayBursts(func(waited int64, _ bool, idle, _ int) bool { return placement.Overdue(waited) && idle > 0 }, seed)
		g.Expect(longest).To(BeNumerically(">", 2*maxWait), "seed %d: idle capacity alone is sufficient", seed)
	}
}

func TestBeyondShare(t *testing.T) {
	for name, c := range map[string]struct {
		waited        int64
		ranBefore     bool
		idle, fitting int
		want          bool
	}{
		"before the wait for the share":                 {3999, true, 5, 50, false},
		"idle capacity":                                 {4000, true, 1, 0, true},
		"no idle capacity":                              {5999, true, 0, 50, false},
		"restart overdue, two tasks fit":                {6000, true, 0, 2, true},
		"restart overdue, one task fits":                {6000, true, 0, 1, false},
		"restart overdue, one task fits, idle capacity": {6000, true, 1, 1, true},
		"restart overdue, no task fits":                 {60_000, true, 0, 0, false},
		"long wait, two tasks fit":                      {60_000, true, 0, 2, true},
		"never ran, two tasks fit":                      {60_000, false, 0, 2, false},
		"never ran, idle capacity":                      {4000, false, 1, 2, true},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(placement.MayExceedShare(c.waited, c.ranBefore, c.idle, c.fitting)).To(Equal(c.want))
		})
	}
}
