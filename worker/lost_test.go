package worker_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	workerstandin "apricotrouter/standin/worker"
	"apricotrouter/state"
	"apricotrouter/worker"
)

// proposeLeaseExpired proposes the command that the leader proposes when the lease
// of a lost worker has expired.
func (f *fixture) proposeLeaseExpired() {
	w, _ := f.log.State().Workers.Get("w1")
	f.propose(state.MarkWorkerLeaseExpired{Worker: "w1", LostFence: w.LostFence, LostIndex: w.LostIndex})
}

// Guards against running a task twice because the lease of a lost worker that
// responds again is renewed while its tasks are being requeued.
func TestLostWorkerIsNotRenewedBeforeItsReturnIsCommitted(t *testing.T) {
	f := newFixture(t)
	f.runTask()
	f.w1.unreachable = true
	f.poll(6*time.Second, f.s1)
	f.Expect(f.condition("w1")).To(Equal(state.WorkerLost))
	lost := f.clock.Now()
	renewals := f.w1.renewals
	f.w1.unreachable = false
	f.log.dropResultsOf = state.KindWorkerReturned
	f.log.SetError(errNoResponse)
	f.poll(4*time.Second, f.s1)
	f.Expect(f.w1.renewals).To(Equal(renewals))
	f.log.SetError(nil)
	f.poll(lost.Add(10100*time.Millisecond).Sub(f.clock.Now()), f.s2)
	f.proposeLeaseExpired()
	f.place("w2")
	f.poll(3*time.Second, f.s1, f.s2)
	f.Expect(f.condition("w1")).To(Equal(state.WorkerReady))
	f.Expect(f.w1.renewals).To(Equal(renewals), "the outcome of MarkWorkerReturned is unknown")
	f.log.dropResultsOf = 0
	f.poll(3*time.Second, f.s1, f.s2)
	f.Expect(f.w1.renewals).To(BeNumerically(">", renewals))
	f.Expect(f.checkedRecords()).To(HaveExactElements(
		HaveField("End", workerstandin.EndLeaseExpired), HaveField("End", workerstandin.EndNone)))
}

// Guards against requeueing the tasks of a worker that was unreachable only for a
// short time.
func TestWorkerThatReturnsInTimeKeepsItsTasks(t *testing.T) {
	f := newFixture(t)
	f.runTask()
	f.w1.unreachable = true
	f.poll(6*time.Second, f.s1)
	f.w1.unreachable = false
	f.poll(20*time.Second, f.s1)
	f.Expect(f.condition("w1")).To(Equal(state.WorkerReady))
	f.Expect(f.task().Incarnation).To(BeEquivalentTo(1))
	f.Expect(f.checkedRecords()).To(HaveExactElements(HaveField("End", workerstandin.EndNone)))
}

// Guards against a delayed duplicate of MarkWorkerLost, after which the leader
// would requeue the tasks of a worker whose lease is being renewed.
func TestLateDuplicateOfLossHasNoEffect(t *testing.T) {
	f := newFixture(t)
	f.runTask()
	f.w1.unreachable = true
	f.log.delayKind = state.KindWorkerLost
	f.poll(6*time.Second, f.s1)
	f.log.delayKind = 0
	f.poll(time.Second, f.s1)
	f.Expect(f.condition("w1")).To(Equal(state.WorkerLost))
	f.w1.unreachable = false
	f.poll(2*time.Second, f.s1)
	f.Expect(f.condition("w1")).To(Equal(state.WorkerReady))
	f.log.proposeAgain(f, state.KindWorkerLost)
	f.Expect(f.condition("w1")).To(Equal(state.WorkerReady))
}

// Guards against a renewal by an owner whose assignment moved while the response
// of the list was in flight.
func TestNoRenewalAfterOwnerChanged(t *testing.T) {
	f := newFixture(t)
	renewals := f.w1.renewals
	var next *worker.Session
	f.w1.onList = func() { next = f.assign("w1", "b", f.w1) }
	f.poll(2*time.Second, f.s1)
	f.Expect(f.w1.renewals).To(Equal(renewals))
	f.poll(time.Second, next)
	f.Expect(f.w1.renewals).To(BeNumerically(">", renewals))
}

// Guards against a delayed renewal that extends the lease beyond the time for
// which the leader waits.
func TestLateRenewalDoesNotExtendLeaseBeyondLoss(t *testing.T) {
	f := newFixture(t)
	f.runTask()
	f.w1.delayRenewals = true
	f.poll(worker.RenewInterval, f.s1)
	f.w1.delayRenewals, f.w1.unreachable = false, true
	next := f.assign("w1", "b", f.w1)
	f.poll(6*time.Second, next)
	f.Expect(f.condition("w1")).To(Equal(state.WorkerLost))
	f.Expect(f.w1.delayedCalls).NotTo(BeEmpty())
	f.w1.deliver()
	f.Expect(f.w1.LeaseEnd().Sub(f.clock.Now())).To(BeNumerically("<", worker.LeaseDuration-worker.LostAfter))
	f.poll(10100*time.Millisecond, next)
	f.proposeLeaseExpired()
	f.place("w2")
	f.poll(3*time.Second, f.s2)
	f.Expect(f.checkedRecords()).To(HaveLen(2))
}

// Guards against a task that stays running in the log after its worker restarted.
func TestRebootRequeuesTasks(t *testing.T) {
	f := newFixture(t)
	f.runTask()
	f.w1.Reboot()
	f.poll(time.Second, f.s1)
	f.Expect(f.task().Phase).To(Equal(state.PhasePending))
	f.Expect(f.task().Failures).To(BeEmpty())
	f.place("w1")
	f.poll(2*time.Second, f.s1)
	f.Expect(f.task().Phase).To(Equal(state.PhaseRunning))
	f.Expect(f.checkedRecords()).To(HaveLen(2))
}
