package workerstandin_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	workerstandin "apricotrouter/standin/worker"
	"apricotrouter/state"
	"apricotrouter/worker"
)

var size = state.Resources{MilliCPU: 4000, MemoryMiB: 4096}

// start calls List, renews the lease by 10 s of the worker's clock and starts a
// batch task.
func start(g Gomega, w *workerstandin.Worker, task string, seconds int64) {
	ctx := context.Background()
	l, err := w.List(ctx, worker.ListRequest{Fence: 1})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.Renew(ctx, worker.RenewRequest{Fence: 1, BootID: l.BootID, LeaseEndMs: l.NowMs + 10_000})).To(Succeed())
	g.Expect(w.Start(ctx, worker.StartRequest{
		TaskKey: worker.TaskKey{Task: task, Incarnation: 1}, Fence: 1, BootID: l.BootID, StartByMs: l.NowMs + 2000,
		Resources: state.Resources{MilliCPU: 3000}, Kind: state.KindBatch, ExpectedSeconds: seconds,
	})).To(Succeed())
}

// Guards against records of a worker with a fast clock in which runs do not end
// when the lease expires on that clock.
func TestTasksEndWithLeaseOnOwnClock(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	began := clock.Now()
	w := workerstandin.New(workerstandin.Options{
		ID: "w", Capacity: size, Clock: clock, ClockOffset: time.Hour, ClockRate: 1.25,
	})
	start(g, w, "t", 60)
	clock.Advance(time.Minute)
	r := w.Records()[0]
	g.Expect(r.End).To(Equal(workerstandin.EndLeaseExpired))
	g.Expect(r.Finish.Sub(began)).To(BeNumerically("~", 8*time.Second, time.Millisecond))
}

// Guards against checks that miss a task that runs on two workers at once, or
// tasks that exceed the capacity of a worker.
func TestChecksFindViolations(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	a := workerstandin.New(workerstandin.Options{ID: "a", Capacity: size, Clock: clock})
	b := workerstandin.New(workerstandin.Options{ID: "b", Capacity: size, Clock: clock})
	start(g, a, "t", 5)
	clock.Advance(time.Second)
	start(g, b, "t", 5)
	start(g, b, "u", 5)
	clock.Advance(5 * time.Second)
	all := workerstandin.AllRecords(a, b)
	g.Expect(workerstandin.Overlaps(all)).To(HaveLen(1))
	g.Expect(workerstandin.Repeated(all)).To(ConsistOf("t@1 started twice", "t completed twice"))
	g.Expect(a.OverCapacity()).To(BeFalse())
	g.Expect(b.OverCapacity()).To(BeTrue())
}

// Guards against usage samples that are newer than UsageLag.
func TestUsageReportsLaggedSamples(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	w := workerstandin.New(workerstandin.Options{ID: "w", Capacity: size, Clock: clock, UsageLag: 3 * time.Second})
	start(g, w, "t", 5)
	used := func() []worker.TaskUsage {
		u, err := w.Usage(t.Context(), worker.UsageRequest{Fence: 1})
		g.Expect(err).NotTo(HaveOccurred())
		return u.Tasks
	}
	g.Expect(used()).To(BeEmpty())
	clock.Advance(4 * time.Second)
	g.Expect(w.Throttle(t.Context(), worker.ThrottleRequest{
		TaskKey: worker.TaskKey{Task: "t", Incarnation: 1}, Fence: 1, Percent: 50,
	})).To(Succeed())
	g.Expect(used()).To(HaveExactElements(HaveField("Used.MilliCPU", BeEquivalentTo(3000))))
	clock.Advance(3 * time.Second)
	g.Expect(used()).To(HaveExactElements(HaveField("Used.MilliCPU", BeEquivalentTo(1500))))
	g.Expect(w.Records()[0].End).To(Equal(workerstandin.EndExited))
}
