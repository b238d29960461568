package admission_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"apricotrouter/admission"
)

// BenchmarkOrder measures the order of the workflows of 10,000 waiting tasks,
// with 20 tasks in a workflow and with one.
func BenchmarkOrder(b *testing.B) {
	for _, n := range []int{500, 10_000} {
		b.Run(fmt.Sprintf("jobs=%d", n), func(b *testing.B) {
			r := rand.New(rand.NewPCG(1, 1))
			q := &admission.QueueStats{}
			jobs := make([]admission.Job, n)
			for i := range jobs {
				j := &jobs[i]
				*j = admission.Job{
					ID: fmt.Sprintf("%016x", r.Uint64()), Queue: "queue", Deadline: r.Int64N(20_000), Work: r.Float64(),
					CriticalPathMillis: r.Int64N(4000), Begun: i%5 == 0,
				}
				j.LateDeadline, j.WorkLeft = j.Deadline+10_000, j.Work
				q.Arrived(0, j.Work)
			}
			p := short(map[string]*admission.QueueStats{"queue": q})
			for b.Loop() {
				admission.Order(5000, slices.Clone(jobs), p)
			}
		})
	}
}
