package placement_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/placement"
	"apricotrouter/state"
)

// simulateJobs runs jobs with a single task each on a number of slots. Whenever
// a slot is free, order sorts the waiting jobs and the first one starts. It
// returns how many jobs met their deadline.
func simulateJobs(jobs []placement.WaitingJob, arrival map[string]int64, slots int, order func(now int64, jobs []placement.WaitingJob)) int {
	freeAt := make([]int64, slots) // when each slot becomes free, milliseconds
	inTime := 0
	for len(jobs) > 0 {
		slices.Sort(freeAt)
		now := freeAt[0]
		var arrived []placement.WaitingJob
		nextArrival := int64(1 << 62)
		for _, j := range jobs {
			nextArrival = min(nextArrival, arrival[j.ID])
			if arrival[j.ID] <= now {
				arrived = append(arrived, j)
			}
		}
		if len(arrived) == 0 {
			freeAt[0] = nextArrival
			continue
		}
		order(now, arrived)
		j := arrived[0]
		jobs = slices.DeleteFunc(jobs, func(o placement.WaitingJob) bool { return o.ID == j.ID })
		freeAt[0] = now + j.RemainingMillis
		if freeAt[0] <= j.Deadline {
			inTime++
		}
	}
	return inTime
}

// burst returns a load of 0.8 with a burst of six seconds at 2.6 times that
// rate. Such bursts occur on the users' busiest days.
func burst() ([]placement.WaitingJob, map[string]int64) {
	var jobs []placement.WaitingJob
	arrival := make(map[string]int64)
	at := int64(0)
	for i := range 400 {
		gap := int64(250)
		if at > 10_000 && at < 16_000 {
			gap = 96
		}
		at += gap
		work := int64(1000 + 400*(i%4))
		id := fmt.Sprintf("%03d", i)
		arrival[id] = at
		jobs = append(jobs, placement.WaitingJob{
			ID: id, Deadline: at + 2*work + 1000, LateDeadline: at + 3*(2*work+1000), RemainingMillis: work,
		})
	}
	return jobs, arrival
}

// Guards against a burst that makes all following jobs late. Jobs that can
// still meet their deadline must be placed before those that cannot. First in,
// first out and earliest deadline first do not achieve that.
func TestOrderAfterABurstServesMoreInTimeThanBaselines(t *testing.T) {
	g := NewWithT(t)
	run := func(order func(int64, []placement.WaitingJob)) int {
		jobs, arrival := burst()
		return simulateJobs(jobs, arrival, 8, order)
	}
	byDeadline := run(func(_ int64, jobs []placement.WaitingJob) {
		slices.SortFunc(jobs, func(a, b placement.WaitingJob) int { return cmp.Compare(a.Deadline, b.Deadline) })
	})
	fifo := run(func(_ int64, jobs []placement.WaitingJob) {
		slices.SortFunc(jobs, func(a, b placement.WaitingJob) int { return cmp.Compare(a.ID, b.ID) })
	})
	got := run(placement.OrderJobs)
	t.Logf("in time of 400: %d, by deadline %d, first in first out %d", got, byDeadline, fifo)
	g.Expect(got).To(BeNumerically(">", byDeadline))
	g.Expect(got).To(BeNumerically(">", fifo))
}

// Guards against a less urgent queue that is served first.
func TestPriorityComesFirst(t *testing.T) {
	g := NewWithT(t)
	jobs := []placement.WaitingJob{
		{ID: "low", Priority: 2, Deadline: 10_000, LateDeadline: 30_000, RemainingMillis: 10},
		{ID: "late", Priority: 0, Deadline: 10, LateDeadline: 50_000, RemainingMillis: 100},
		{ID: "high", Priority: 0, Deadline: 20_000, LateDeadline: 30_000, RemainingMillis: 10},
	}
	placement.OrderJobs(0, jobs)
	g.Expect(jobs[0].ID).To(Equal("high"))
	g.Expect(jobs[1].ID).To(Equal("late"))
	g.Expect(jobs[2].ID).To(Equal("low"))
}

// Guards against serving tasks that wait as long as new jobs with an objective
// keep arriving, for example after workers were drained.
func TestServingJobsDoNotWaitBehindAStream(t *testing.T) {
	g := NewWithT(t)
	jobs := []placement.WaitingJob{
		{ID: "job", Deadline: 5000, LateDeadline: 9000, RemainingMillis: 10},
		{ID: "serving", Serving: true, Deadline: -90_000, LateDeadline: -80_000, WaitedMillis: 1000},
		{ID: "new serving", Serving: true, Deadline: 6000, WaitedMillis: 10},
	}
	placement.OrderJobs(0, jobs)
	g.Expect(jobs[0].ID).To(Equal("serving"))
	g.Expect(jobs[1].ID).To(Equal("job"))
	g.Expect(jobs[2].ID).To(Equal("new serving"))
}

// Guards against a task that has lost its run and waits behind tasks that never
// ran.
func TestRestartsComeFirst(t *testing.T) {
	g := NewWithT(t)
	jobs := []placement.WaitingJob{
		{ID: "never ran", Serving: true, Deadline: -90_000, WaitedMillis: 20_000},
		{ID: "job", Deadline: 5000, LateDeadline: 9000, RemainingMillis: 10},
		{ID: "restart", Serving: true, Restart: true, Deadline: 6000, WaitedMillis: 1000},
		{ID: "new restart", Serving: true, Restart: true, Deadline: 7000, WaitedMillis: 10},
		{ID: "more urgent", Priority: -1, Deadline: 5000, LateDeadline: 9000, RemainingMillis: 10},
	}
	placement.OrderJobs(0, jobs)
	var order []string
	for _, j := range jobs {
		order = append(order, j.ID)
	}
	g.Expect(order).To(Equal([]string{"more urgent", "restart", "never ran", "job", "new restart"}))
}

// Load pattern: workers that batch tasks fill. The one from which the fewest
// batch tasks have to end is chosen, and none that serving tasks keep too full.
func TestChooseReserved(t *testing.T) {
	cpu := func(milliCPU int64) state.Resources { return state.Resources{MilliCPU: milliCPU, MemoryMiB: 100} }
	worker := func(free, batch int64) *placement.WorkerCapacity {
		return &placement.WorkerCapacity{Capacity: cpu(4000), Free: cpu(free), Batch: state.Resources{MilliCPU: batch}}
	}
	task := placement.PoolTask{Step: &state.WorkflowStep{Size: cpu(3000), LongRunning: true}}
	for name, tc := range map[string]struct {
		workers  []*placement.WorkerCapacity
		excluded int
		want     int
	}{
		"most free":             {[]*placement.WorkerCapacity{worker(500, 3500), worker(1500, 2500)}, -1, 1},
		"stays too small":       {[]*placement.WorkerCapacity{worker(500, 3500), worker(2500, 0)}, -1, 0},
		"excluded":              {[]*placement.WorkerCapacity{worker(500, 3500), worker(1500, 2500)}, 1, 0},
		"not usable":            {[]*placement.WorkerCapacity{nil, worker(1500, 2500)}, -1, 1},
		"already set aside":     {[]*placement.WorkerCapacity{worker(-1500, 4000), worker(-500, 2000)}, -1, -1},
		"no worker in the pool": {nil, -1, -1},
	} {
		t.Run(name, func(t *testing.T) {
			task.Excluded = func(i int) bool { return i == tc.excluded }
			NewWithT(t).Expect(placement.ChooseReserved(tc.workers, task)).To(Equal(tc.want))
		})
	}
	g := NewWithT(t)
	g.Expect(placement.MaxReserved(3)).To(Equal(1))
	g.Expect(placement.MaxReserved(350)).To(Equal(43))
}

// Guards against serving tasks that exceed their share and delay batch jobs
// which can still end before LateDeadline, or that wait for jobs which cannot.
func TestServingJobsBeyondShareOnlyPrecedeExpiredJobs(t *testing.T) {
	g := NewWithT(t)
	jobs := []placement.WaitingJob{
		{ID: "hopeless", Deadline: -900, LateDeadline: -800, RemainingMillis: 10},
		{ID: "beyond", Serving: true, ExceedsShare: true, Deadline: -90_000, WaitedMillis: 9000},
		{ID: "late", Deadline: -900, LateDeadline: 9000, RemainingMillis: 10},
		{ID: "in time", Deadline: 5000, LateDeadline: 9000, RemainingMillis: 10},
		{ID: "within", Serving: true, Deadline: -90_000, WaitedMillis: 9000},
	}
	placement.OrderJobs(0, jobs)
	var order []string
	for _, j := range jobs {
		order = append(order, j.ID)
	}
	g.Expect(order).To(Equal([]string{"within", "in time", "late", "beyond", "hopeless"}))
}

// Guards against workflows that are taken for late because the safety factor for
// declared run times is applied to observed ones, which need none.
func TestObservedRemainingTimeNeedsNoFactor(t *testing.T) {
	g := NewWithT(t)
	declared := placement.WaitingJob{ID: "declared", Deadline: 100, LateDeadline: 1100, RemainingMillis: 1000}
	observed := declared
	observed.ID, observed.Observed = "observed", true
	g.Expect(declared.Expired(0)).To(BeTrue())
	g.Expect(observed.Expired(0)).To(BeFalse())
	g.Expect(observed.Expired(101)).To(BeTrue())
}

// Guards against useless jobs that precede jobs of other priorities in a pool
// with too little capacity, and against ranks that don't decide.
func TestRankedJobs(t *testing.T) {
	g := NewWithT(t)
	jobs := []placement.WaitingJob{
		{ID: "useless", Rank: 5, Priority: 0, Deadline: -900, LateDeadline: -800, RemainingMillis: 10},
		{ID: "second", Rank: 2, Priority: 2, Deadline: 5000, LateDeadline: 9000, RemainingMillis: 10},
		{ID: "late, first", Rank: 1, Priority: 2, Deadline: -900, LateDeadline: 9000, RemainingMillis: 10},
		{ID: "restart", Priority: 2, Serving: true, Restart: true, WaitedMillis: 1000},
		{ID: "urgent", Rank: 3, Priority: 0, Deadline: 5000, LateDeadline: 9000, RemainingMillis: 10},
	}
	placement.OrderJobs(0, jobs)
	var order []string
	for _, j := range jobs {
		order = append(order, j.ID)
	}
	g.Expect(order).To(Equal([]string{"urgent", "restart", "late, first", "second", "useless"}))
}
