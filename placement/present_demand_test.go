package placement_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/placement"
	"apricotrouter/state"
)

// Guards against a bound that is in force before the demand has been observed
// for long enough, and against one that misses a burst or that outlasts it.
func TestRestartReservationFollowsPresentDemand(t *testing.T) {
	g := NewWithT(t)
	var d placement.PresentDemand
	g.Expect(d.RestartReservation(500, 9000)).To(BeEquivalentTo(9000), "no observations")
	for now := int64(1000); now < 3000; now += 50 {
		d.Observe(now, 2000)
		g.Expect(d.RestartReservation(now, 9000)).To(BeEquivalentTo(9000), "not observed for 2 s")
	}
	d.Observe(3000, 2000)
	g.Expect(d.RestartReservation(3000, 9000)).To(BeEquivalentTo(2000))
	g.Expect(d.RestartReservation(3000, 1000)).To(BeEquivalentTo(1000), "never above the reservation")
	d.Observe(3030, 8000)
	d.Observe(3060, 0)
	g.Expect(d.RestartReservation(3060, 9000)).To(BeEquivalentTo(8000))
	d.Observe(4500, 0)
	g.Expect(d.RestartReservation(5000, 9000)).To(BeEquivalentTo(8000))
	d.Observe(5900, 0)
	g.Expect(d.RestartReservation(6600, 9000)).To(BeZero())
	g.Expect(d.RestartReservation(8000, 9000)).To(BeEquivalentTo(9000), "not observed any more")
}

// restartReplay replays a pool of 40 workers of 64 processors in which batch
// jobs of 9 tasks of 20 processors and 640 ms arrive at random and serving tasks
// of 13 processors fill what they may. At 20 s, workers are lost with the serving
// tasks on them.
type restartReplay struct {
	rate     func(now int64) float64 // batch jobs per second
	declared float64                 // declared over actual run time
	present  bool                    // the reservation follows the present demand
}

// play returns the longest wait of a lost serving task in milliseconds and the
// fraction of batch jobs that wait for a worker for more than half a second
// after the loss.
func (p restartReplay) play(seed uint64) (longest int64, delayed float64) {
	const interval, duration, lossAt, end, numWorkers, lost = 50, 640, 20_000, 50_000, 40, 8
	r := rand.New(rand.NewPCG(seed, 7))
	serving := placement.PoolTask{Step: &state.WorkflowStep{LongRunning: true, Size: processors(13)}}
	batch := placement.PoolTask{Step: &state.WorkflowStep{Size: processors(20), EstimateMillis: int64(p.declared * duration)}}
	workers := make([]*placement.WorkerCapacity, numWorkers)
	for i := range workers {
		workers[i] = &placement.WorkerCapacity{Capacity: processors(64), Free: processors(64), IdleCPU: 64_000}
	}
	type run struct {
		worker *placement.WorkerCapacity
		end    int64
	}
	var runs []run
	var waitingBatch, waitingServing []int64
	var demand placement.BatchDemand
	var present placement.PresentDemand
	servingCPU, placedServing := int64(0), 0
	jobs, late := 0, 0
	next := 0.0
	perWorker := make(map[*placement.WorkerCapacity]int)
	for now := int64(0); now < end; now += interval {
		remaining := runs[:0]
		for _, x := range runs {
			if x.end > now {
				remaining = append(remaining, x)
				continue
			}
			x.worker.Free, x.worker.Batch = x.worker.Free.Add(batch.Step.Size), x.worker.Batch.Sub(batch.Step.Size)
		}
		runs = remaining
		for ; next <= float64(now); next += 1000 / max(1e-3, p.rate(now)) * r.ExpFloat64() {
			for range 9 {
				waitingBatch = append(waitingBatch, now)
			}
			jobs++
			demand.Add(placement.Arrival{At: now, Tasks: []placement.ArrivalTasks{{MilliCPU: 20_000, Work: int64(9 * 20_000 * duration * p.declared)}}})
			if p.rate(now) < 1e-2 {
				next = float64(now) + 1000
				break
			}
		}
		if now == lossAt {
			for _, w := range workers[:lost] {
				for range perWorker[w] {
					waitingServing = append(waitingServing, now)
				}
			}
			workers = workers[lost:]
			kept := runs[:0]
			for _, x := range runs {
				if !slices.Contains(workers, x.worker) {
					waitingBatch = append(waitingBatch, now)
					continue
				}
				kept = append(kept, x)
			}
			runs = kept
		}
		inUse := int64(0)
		for _, w := range workers {
			inUse += w.Batch.MilliCPU
		}
		present.Observe(now, inUse+int64(len(waitingBatch))*20_000)
		sizes := demand.Of(now, 0, 0, 64_000)
		mean := int64(0)
		if len(sizes) > 0 {
			mean = sizes[0].Mean
		}
		reserved := placement.BatchReservationSize(int64(len(workers))*64_000, mean, servingCPU)
		if p.present && now >= lossAt {
			reserved = present.RestartReservation(now, reserved)
		}
		share := placement.NewBatchReservation(workers, reserved, sizes)
		placeServing := func() bool {
			i := placement.ChooseWorker(workers, placement.PoolTask{Step: serving.Step, Excluded: func(i int) bool { return !share.Admits(workers[i], 13_000) }})
			if i < 0 {
				return false
			}
			share.Reserve(workers[i], 13_000)
			workers[i].Reserve(serving)
			perWorker[workers[i]]++
			return true
		}
		if now < lossAt && now >= 10_000 && placedServing < 80 { // until then only the demand of batch tasks is observed
			for placedServing < 80 && placeServing() {
				placedServing++
				servingCPU += 13_000
			}
		}
		still := waitingServing[:0]
		for _, at := range waitingServing {
			longest = max(longest, now-at)
			if !placeServing() && !(placement.RestartOverdue(now-at, true) && placement.CountFitting(workers, serving) > 1 && placeAnywhere(workers, serving)) {
				still = append(still, at)
			}
		}
		waitingServing = still
		stillBatch := waitingBatch[:0]
		for _, at := range waitingBatch {
			if i := placement.ChooseWorker(workers, batch); i >= 0 {
				workers[i].Reserve(batch)
				runs = append(runs, run{workers[i], now + duration})
				if now > lossAt && now-at > 500 {
					late++
				}
				continue
			}
			stillBatch = append(stillBatch, at)
		}
		waitingBatch = stillBatch
	}
	return longest, float64(late+len(waitingBatch)) / float64(9*jobs)
}

func placeAnywhere(workers []*placement.WorkerCapacity, t placement.PoolTask) bool {
	i := placement.ChooseWorker(workers, t)
	if i >= 0 {
		workers[i].Reserve(t)
	}
	return i >= 0
}

func steadyRate(perSecond float64) func(int64) float64 {
	return func(int64) float64 { return perSecond }
}

// Guards against lost serving tasks that wait beside free capacity which is
// reserved for batch tasks, while no batch task waits: the batch tasks' demand
// has fallen, or is declared too high.
func TestRestartsDoNotWaitForAbsentBatchTasks(t *testing.T) {
	const seeds, window = 20, 2000
	for name, c := range map[string]struct {
		rate     func(now int64) float64
		declared float64
	}{
		"the demand has ended": {func(now int64) float64 {
			if now > 19_000 {
				return 0
			}
			return 13
		}, 1},
		"the demand is declared too high": {steadyRate(4), 3},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			before, now := int64(0), int64(0)
			for seed := range uint64(seeds) {
				previous, _ := restartReplay{c.rate, c.declared, false}.play(seed)
				longest, _ := restartReplay{c.rate, c.declared, true}.play(seed)
				g.Expect(longest).To(BeNumerically("<=", previous), "seed %d", seed)
				before, now = before+previous/seeds, now+longest/seeds
			}
			t.Logf("longest wait of a seed, mean: %d ms before, %d ms now", before, now)
			g.Expect(before).To(BeNumerically(">", window), "the replay shows the fault")
			g.Expect(now).To(BeNumerically("<", window/2))
		})
	}
}

// Guards against restarts that take the capacity which batch tasks need, where
// their demand is as large as declared.
func TestRestartsLeaveBatchTasksWhatTheyNeed(t *testing.T) {
	g := NewWithT(t)
	const seeds = 20
	for _, rate := range []float64{4, 8, 13} {
		before, now := 0.0, 0.0
		for seed := range uint64(seeds) {
			_, previous := restartReplay{steadyRate(rate), 1, false}.play(seed)
			_, delayed := restartReplay{steadyRate(rate), 1, true}.play(seed)
			before, now = before+previous/seeds, now+delayed/seeds
		}
		t.Logf("%.0f jobs a second: %.4f of the batch tasks delayed before, %.4f now", rate, before, now)
		g.Expect(now).To(BeNumerically("<=", before+0.01))
	}
}

// Guards against a reservation that serving tasks respect although batch tasks
// need a fraction of it, and against one that leaves out the bursts of batch
// tasks whose work is declared as it is. Load pattern: jobs of 9 tasks of 20
// processors and 640 ms arrive at random, 20 per second, for five minutes.
func TestReservationFollowsWhatBatchTasksNeed(t *testing.T) {
	const jobCPU, duration, gap, interval, end = 180_000, 640, 50.0, 50, 300_000
	const mean = 20 * jobCPU * duration / 1000
	// bounded returns the mean of the bounded reservation as a fraction of the
	// reservation, and the lowest one.
	bounded := func(seed uint64, declared float64) (fraction, lowest float64) {
		r := rand.New(rand.NewPCG(seed, 5))
		reserved := placement.BatchReservationSize(1<<40, int64(declared*mean), 0)
		var present placement.PresentDemand
		var ends []int64
		lowest, n, next := 1.0, 0, 0.0
		for now := int64(0); now < end; now += interval {
			for len(ends) > 0 && ends[0] <= now {
				ends = ends[1:]
			}
			for ; next <= float64(now); next += gap * r.ExpFloat64() {
				ends = append(ends, now+duration)
			}
			present.Observe(now, int64(len(ends))*jobCPU)
			f := float64(present.Reservation(now, reserved)) / float64(reserved)
			fraction, lowest, n = fraction+f, min(lowest, f), n+1
		}
		return fraction / float64(n), lowest
	}
	g := NewWithT(t)
	for seed := range uint64(20) {
		_, lowest := bounded(seed, 1)
		g.Expect(lowest).To(BeNumerically("==", 1), "seed %d", seed)
		fraction, _ := bounded(seed, 4)
		g.Expect(fraction).To(BeNumerically("<", 0.75), "seed %d", seed)
	}
}
