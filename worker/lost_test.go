package worker_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	workerstandin "apricotrouter/standin/worker"
	"apricotrouter/state"
	"apricotrouter/worker"
)

// leaseEnded proposes what the leader does once a lost worker's lease has ended.
func (f *fixture) leaseEnded() {
	w, _ := f.log.State().Workers.Get("w1")
	f.propose(state.MarkWorkerLeaseEnded{Worker: "w1", LostFence: w.LostFence, LostIndex: w.LostIndex})
}

// Guards against a task that runs twice because a lost worker that answers
// again gets its lease renewed while its tasks are being requeued.
func TestLostWorkerIsNotRenewedBeforeItsReturnIsCommitted(t *testing.T) {
	f := newFixture(t)
	f.runTask()
	f.w1.down = true
	f.rounds(6*time.Second, f.s1)
	f.Expect(f.condition("w1")).To(Equal(state.WorkerLost))
	lost := f.clock.Now()
	renewals := f.w1.renewals
	f.w1.down = false
	f.log.lose = state.KindWorkerReturned
	f.log.SetError(errLost)
	f.rounds(4*time.Second, f.s1)
	f.Expect(f.w1.renewals).To(Equal(renewals))
	f.log.SetError(nil)
	f.rounds(lost.Add(10100*time.Millisecond).Sub(f.clock.Now()), f.s2)
	f.leaseEnded()
	f.place("w2")
	f.rounds(3*time.Second, f.s1, f.s2)
	f.Expect(f.condition("w1")).To(Equal(state.WorkerReady))
	f.Expect(f.w1.renewals).To(Equal(renewals), "the outcome of the return is unknown")
	f.log.lose = 0
	f.rounds(3*time.Second, f.s1, f.s2)
	f.Expect(f.w1.renewals).To(BeNumerically(">", renewals))
	f.Expect(f.records()).To(HaveExactElements(
		HaveField("End", workerstandin.EndLease), HaveField("End", workerstandin.EndNone)))
}

// Guards against requeueing the tasks of a worker that was only cut off for a
// short time.
func TestWorkerThatReturnsInTimeKeepsItsTasks(t *testing.T) {
	f := newFixture(t)
	f.runTask()
	f.w1.down = true
	f.rounds(6*time.Second, f.s1)
	f.w1.down = false
	f.rounds(20*time.Second, f.s1)
	f.Expect(f.condition("w1")).To(Equal(state.WorkerReady))
	f.Expect(f.task().Incarnation).To(BeEquivalentTo(1))
	f.Expect(f.records()).To(HaveExactElements(HaveField("End", workerstandin.EndNone)))
}

// Guards against a late duplicate of the report of the loss, which would let
// the leader requeue tasks of a worker that is being renewed.
func TestLateDuplicateOfLossHasNoEffect(t *testing.T) {
	f := newFixture(t)
	f.runTask()
	f.w1.down = true
	f.log.hold = state.KindWorkerLost
	f.rounds(6*time.Second, f.s1)
	f.log.hold = 0
	f.rounds(time.Second, f.s1)
	f.Expect(f.condition("w1")).To(Equal(state.WorkerLost))
	f.w1.down = false
	f.rounds(2*time.Second, f.s1)
	f.Expect(f.condition("w1")).To(Equal(state.WorkerReady))
	f.log.repeat(f, state.KindWorkerLost)
	f.Expect(f.condition("w1")).To(Equal(state.WorkerReady))
}

// Guards against a renewal by an owner whose assignment moved while the list
// was on its way.
func TestNoRenewalAfterOwnerChanged(t *testing.T) {
	f := newFixture(t)
	renewals := f.w1.renewals
	var next *worker.Session
	f.w1.onList = func() { next = f.assign("w1", "b", f.w1) }
	f.rounds(2*time.Second, f.s1)
	f.Expect(f.w1.renewals).To(Equal(renewals))
	f.rounds(time.Second, next)
	f.Expect(f.w1.renewals).To(BeNumerically(">", renewals))
}

// Guards against a renewal that arrives late and extends the lease beyond what
// the leader waits for.
func TestLateRenewalDoesNotExtendLeaseBeyondLoss(t *testing.T) {
	f := newFixture(t)
	f.runTask()
	f.w1.holdRenew = true
	f.rounds(worker.RenewInterval, f.s1)
	f.w1.holdRenew, f.w1.down = false, true
	next := f.assign("w1", "b", f.w1)
	f.rounds(6*time.Second, next)
	f.Expect(f.condition("w1")).To(Equal(state.WorkerLost))
	f.Expect(f.w1.held).NotTo(BeEmpty())
	f.w1.deliver()
	f.Expect(f.w1.LeaseEnd().Sub(f.clock.Now())).To(BeNumerically("<", worker.LeaseDuration-worker.LostAfter))
	f.rounds(10100*time.Millisecond, next)
	f.leaseEnded()
	f.place("w2")
	f.rounds(3*time.Second, f.s2)
	f.Expect(f.records()).To(HaveLen(2))
}

// Guards against a task that the log calls running although its worker restarted.
func TestRebootRequeuesTasks(t *testing.T) {
	f := newFixture(t)
	f.runTask()
	f.w1.Reboot()
	f.rounds(time.Second, f.s1)
	f.Expect(f.task().Phase).To(Equal(state.PhasePending))
	f.Expect(f.task().Failures).To(BeEmpty())
	f.place("w1")
	f.rounds(2*time.Second, f.s1)
	f.Expect(f.task().Phase).To(Equal(state.PhaseRunning))
	f.Expect(f.records()).To(HaveLen(2))
}
