package worker_test

import (
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"apricotrouter/state"
	"apricotrouter/worker"
)

// Guards against a restarted process that renews the lease under the fence of its
// predecessor. The predecessor's MarkWorkerLost may still be in flight, and the
// leader would measure the expiry of the lease from that command.
func TestRestartedProcessWaitsForItsRegistration(t *testing.T) {
	f := newFixture(t)
	restarted := worker.NewSession(worker.Options{
		Self: "a", Start: 2, Log: f.log, Clock: f.clock,
		Dial: func(string) (worker.API, io.Closer, error) { return f.w1, nil, nil },
	}, "w1", f.log.State().Assignment(state.AssignWorker, "w1").Fence)
	renewals := f.w1.renewals
	f.poll(2*time.Second, restarted)
	f.Expect(f.w1.renewals).To(Equal(renewals))

	old := f.log.State().Assignment(state.AssignWorker, "w1").Fence
	f.propose(state.RegisterInstance{Instance: state.Instance{ID: "a", InstanceStart: 2}})
	f.Expect(f.log.State().Assignment(state.AssignWorker, "w1").Fence).To(BeNumerically(">", old))
}

// Guards against a new owner that waits for a possible start by the earlier owner
// to expire. That is unnecessary, because the worker refuses the earlier fence
// from the first list on.
func TestNewOwnerStartsAtOnce(t *testing.T) {
	f := newFixture(t)
	f.w1.delayStarts = true
	f.place("w1")
	f.poll(worker.PollInterval, f.s1)
	f.w1.delayStarts = false
	f.assign("w1", "b", f.w1)
	next := worker.NewSession(worker.Options{
		Self: "b", Start: 1, Log: f.log, Clock: f.clock,
		Dial: func(string) (worker.API, io.Closer, error) { return f.w1, nil, nil },
	}, "w1", f.log.State().Assignment(state.AssignWorker, "w1").Fence)
	f.poll(2*worker.PollInterval, next)
	f.Expect(f.task().Phase).To(Equal(state.PhaseRunning))
	f.w1.deliver()
	f.poll(2*time.Second, next)
	f.Expect(f.checkedRecords()).To(HaveLen(1))
	f.Expect(f.checkedRecords()[0].Fence).To(Equal(f.log.State().Assignment(state.AssignWorker, "w1").Fence))
}
