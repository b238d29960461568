package admission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/admission"
	"apricotrouter/placement"
)

// short is a pool in which nothing is free.
func short(queues map[string]*admission.QueueStats) *admission.Pressure {
	return &admission.Pressure{Waiting: admission.Demand{MilliCPU: 1}, Queues: queues}
}

func order(now int64, jobs []admission.Job, p *admission.Pressure) []string {
	admission.Order(now, jobs, p)
	ids := make([]string, len(jobs))
	for i := range jobs {
		ids[i] = jobs[i].ID
	}
	return ids
}

// Guards against a pool with enough capacity in which the order changes.
func TestOrderIsByDeadlineWhereEverythingFits(t *testing.T) {
	g := NewWithT(t)
	r := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		var jobs []admission.Job
		var before []placement.WaitingJob
		for i := range 20 {
			deadline := r.Int64N(10_000)
			j := admission.Job{
				ID: fmt.Sprintf("%02d", i), Priority: r.IntN(3), Deadline: deadline, LateDeadline: deadline + r.Int64N(5000),
				CriticalPathMillis: r.Int64N(4000), Work: r.Float64(), WorkLeft: r.Float64(), Begun: r.IntN(2) == 0,
			}
			jobs = append(jobs, j)
			before = append(before, placement.WaitingJob{
				ID: j.ID, Priority: j.Priority, Deadline: j.Deadline, LateDeadline: j.LateDeadline, RemainingMillis: j.CriticalPathMillis,
			})
		}
		got := order(5000, jobs, &admission.Pressure{Waiting: admission.Demand{MilliCPU: 5}, Free: admission.Demand{MilliCPU: 5}})
		placement.OrderJobs(5000, before)
		for i := range before {
			g.Expect(got[i]).To(Equal(before[i].ID))
		}
	}
}

// Guards against useless work that delays others, against urgent work that
// waits for less urgent work, and against workflows in progress that wait for
// new ones.
func TestOrderWhereNotEverythingFits(t *testing.T) {
	job := func(id string, mod func(*admission.Job)) admission.Job {
		j := admission.Job{ID: id, Priority: 2, Deadline: 10_000, LateDeadline: 30_000, Work: 100, WorkLeft: 100, CriticalPathMillis: 2000}
		mod(&j)
		return j
	}
	jobs := []admission.Job{
		job("useless", func(j *admission.Job) { j.Priority, j.Deadline, j.LateDeadline, j.Begun = 0, -5000, 1000, true }),
		job("late", func(j *admission.Job) { j.Deadline = 1000 }),
		job("much left", func(*admission.Job) {}),
		job("little left", func(j *admission.Job) { j.Work, j.WorkLeft = 50, 50 }),
		job("begun", func(j *admission.Job) { j.Begun, j.Work, j.WorkLeft = true, 200, 150 }),
		job("begun, late, nearly done", func(j *admission.Job) { j.Begun, j.Deadline, j.WorkLeft = true, 1000, 1 }),
		job("tenant below its share", func(j *admission.Job) { j.Deficit, j.Deadline = 0.5, 1000 }),
		job("urgent and late", func(j *admission.Job) { j.Priority, j.Deadline = 0, 1000 }),
		job("used its slack", func(j *admission.Job) { j.SubmittedAt = -10_000 }),
	}
	NewWithT(t).Expect(order(0, jobs, short(nil))).To(Equal([]string{
		"urgent and late", "tenant below its share", "begun", "begun, late, nearly done", "little left", "much left",
		"late", "used its slack", "useless",
	}))
}

// Guards against free capacity in fragments, or kept from tasks that would
// interfere with others, that counts as enough.
func TestPressure(t *testing.T) {
	g := NewWithT(t)
	free := admission.Demand{MilliCPU: 10, IdleMilliCPU: 20, MemoryMiB: 30, Accelerators: 1}
	for _, tc := range []struct {
		waiting admission.Demand
		wait    int64
		short   bool
	}{
		{waiting: free, short: false},
		{waiting: admission.Demand{MilliCPU: 11}, short: true},
		{waiting: admission.Demand{IdleMilliCPU: 21}, short: true},
		{waiting: admission.Demand{MemoryMiB: 31}, short: true},
		{waiting: admission.Demand{Accelerators: 2}, short: true},
		{waiting: admission.Demand{MilliCPU: 1}, wait: 5000, short: true},
	} {
		p := admission.Pressure{Waiting: tc.waiting, Free: free, LongestWaitMillis: tc.wait}
		g.Expect(p.Short()).To(Equal(tc.short), "%+v", tc)
	}
}

// Guards against large workflows that are never started: a large one precedes
// smaller ones with more value per work as long as its size was served too
// seldom, and only then. One in progress uses up what is owed.
func TestLargeWorkflowsGetTheirPart(t *testing.T) {
	g := NewWithT(t)
	q := &admission.QueueStats{}
	const small, large = 100, 10_000
	for range 16 { // before sizes are known
		q.Arrived(0, small)
		q.Arrived(0, large)
	}
	for range 20 {
		for range 4 {
			q.Arrived(0, small)
			q.Ended(0, q.Started(small), true)
		}
		q.Arrived(0, large)
	}
	queues := map[string]*admission.QueueStats{"q": q}
	jobs := func() []admission.Job {
		return []admission.Job{
			{ID: "small", Queue: "q", Deadline: 10_000, LateDeadline: 30_000, Work: small, WorkLeft: small},
			{ID: "large", Queue: "q", Deadline: 10_000, LateDeadline: 30_000, Work: large, WorkLeft: large},
		}
	}
	g.Expect(q.SizeOf(large)).To(Equal(admission.SizeLargestTenth))
	g.Expect(order(0, jobs(), short(queues))).To(Equal([]string{"large", "small"}))
	owed := q.Owed(admission.SizeLargestTenth)
	const arrived, largeArrived, served = 132, 36 - 7, 80 // of the first 15, before sizes were known, 7 were large
	g.Expect(owed).To(BeNumerically("~", 0.65*largeArrived*served/arrived, 1e-9))
	for started := 0.0; started < owed; started++ {
		g.Expect(order(0, jobs(), short(queues))).To(Equal([]string{"large", "small"}))
		q.Started(large)
	}
	g.Expect(order(0, jobs(), short(queues))).To(Equal([]string{"small", "large"}))
	for q.Owed(admission.SizeLargestTenth) > 0 {
		q.Ended(0, admission.SizeLargestTenth, true)
	}
	g.Expect(order(0, jobs(), short(queues))).To(Equal([]string{"small", "large"}))
}

// Guards against a queue of equal workflows of which some count as large, and
// against sizes that outlive the workflows that defined them.
func TestSizesFollowTheQueue(t *testing.T) {
	g := NewWithT(t)
	q := &admission.QueueStats{}
	for range 300 {
		q.Arrived(0, 7)
	}
	g.Expect(q.SizeOf(7)).To(Equal(admission.SizeRegular))
	for i := range 300 {
		q.Arrived(0, float64(100+i%100))
	}
	g.Expect(q.MeanWork()).To(BeNumerically("~", 150, 5))
	g.Expect(q.SizeOf(130)).To(Equal(admission.SizeRegular))
	g.Expect(q.SizeOf(180)).To(Equal(admission.SizeNextFifth))
	g.Expect(q.SizeOf(198)).To(Equal(admission.SizeLargestTenth))
}
