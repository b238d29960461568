package worker_test

import (
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"apricotrouter/state"
	"apricotrouter/worker"
)

// Guards against a restarted process that renews under the fence of its
// predecessor: a report of the predecessor that the worker is lost may still
// be on its way to the leader, which then counts the end of the lease from it.
func TestRestartedProcessWaitsForItsRegistration(t *testing.T) {
	f := newFixture(t)
	restarted := worker.NewSession(worker.Options{
		Self: "a", Start: 2, Log: f.log, Clock: f.clock,
		Dial: func(string) (worker.API, io.Closer, error) { return f.w1, nil, nil },
	}, "w1", f.log.State().Assignment(state.AssignWorker, "w1").Fence)
	renewals := f.w1.renewals
	f.rounds(2*time.Second, restarted)
	f.Expect(f.w1.renewals).To(Equal(renewals))

	old := f.log.State().Assignment(state.AssignWorker, "w1").Fence
	f.propose(state.RegisterInstance{Instance: state.Instance{ID: "a", InstanceStart: 2}})
	f.Expect(f.log.State().Assignment(state.AssignWorker, "w1").Fence).To(BeNumerically(">", old))
}

// Guards against a takeover that delays tasks whose start the earlier owner
// sent or not: the worker refuses the earlier fence from the first list on.
func TestNewOwnerStartsAtOnce(t *testing.T) {
	f := newFixture(t)
	f.w1.holdStart = true
	f.place("w1")
	f.rounds(worker.RoundInterval, f.s1)
	f.w1.holdStart = false
	f.assign("w1", "b", f.w1)
	next := worker.NewSession(worker.Options{
		Self: "b", Start: 1, Log: f.log, Clock: f.clock,
		Dial: func(string) (worker.API, io.Closer, error) { return f.w1, nil, nil },
	}, "w1", f.log.State().Assignment(state.AssignWorker, "w1").Fence)
	f.rounds(2*worker.RoundInterval, next)
	f.Expect(f.task().Phase).To(Equal(state.PhaseRunning))
	f.w1.deliver()
	f.rounds(2*time.Second, next)
	f.Expect(f.records()).To(HaveLen(1))
	f.Expect(f.records()[0].Fence).To(Equal(f.log.State().Assignment(state.AssignWorker, "w1").Fence))
}
