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
