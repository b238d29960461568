package worker_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	workerstandin "apricotrouter/standin/worker"
	"apricotrouter/state"
)

// Guards against a second start of a task whose first start was executed but
// whose response was lost.
func TestLostStartAnswerRunsOnce(t *testing.T) {
	f := newFixture(t)
	f.w1.dropStartResponses = true
	f.place("w1")
	f.poll(5*time.Second, f.s1)
	f.Expect(f.task().Phase).To(Equal(state.PhaseRunning))
	f.Expect(f.task().Incarnation).To(BeEquivalentTo(1))
	f.poll(time.Minute, f.s1)
	f.Expect(f.task().Phase).To(Equal(state.PhaseCompleted))
	f.Expect(f.checkedRecords()).To(HaveLen(1))
}

// Guards against a delayed start that runs the task concurrently with its next
// incarnation on another worker.
func TestLateStartIsVoid(t *testing.T) {
	f := newFixture(t)
	f.w1.delayStarts = true
	f.place("w1")
	f.poll(4*time.Second, f.s1)
	f.Expect(f.task().Phase).To(Equal(state.PhasePending))
	f.place("w2")
	f.poll(2*time.Second, f.s1, f.s2)
	f.w1.deliver()
	f.poll(2*time.Second, f.s1, f.s2)
	f.Expect(f.checkedRecords()).To(HaveLen(1))
}

// Guards against a cancelled task that starts after the cancellation was
// confirmed, because its start was still in flight.
func TestCancelWaitsForStartInFlight(t *testing.T) {
	f := newFixture(t)
	f.w1.delayStarts = true
	f.place("w1")
	f.poll(time.Second, f.s1)
	f.propose(state.CancelJobs{IDs: []string{"job"}})
	f.poll(500*time.Millisecond, f.s1)
	f.Expect(f.task().Phase).To(Equal(state.PhaseStopping))
	f.w1.deliver()
	f.poll(4*time.Second, f.s1)
	f.Expect(f.task().Phase).To(Equal(state.PhaseCancelled))
	f.Expect(f.checkedRecords()).To(HaveExactElements(HaveField("End", workerstandin.EndStopped)))
}

// Guards against a delayed duplicate of a start that takes effect after the zone
// was drained.
func TestDelayedDuplicateStartAfterZoneOut(t *testing.T) {
	f := newFixture(t)
	f.runTask()
	f.w1.delayStarts = true
	f.evict()
	f.poll(2*time.Second, f.s1)
	f.Expect(f.task().Phase).To(Equal(state.PhasePending))
	f.place("w1")
	f.poll(time.Second, f.s1)
	f.propose(state.SetZone{Name: "z1", Out: true, ExpectedVersion: f.zoneVersion("z1")})
	drainedAt := f.clock.Now()
	f.poll(4*time.Second, f.s1)
	f.w1.deliver()
	f.poll(time.Second, f.s1)
	f.Expect(workerstandin.StartedBetween(f.checkedRecords(), drainedAt, f.clock.Now())).To(BeEmpty())
}

// Guards against a start in a zone that was drained after the placement.
func TestNoStartInZoneThatIsOut(t *testing.T) {
	f := newFixture(t)
	f.place("w1")
	f.w1.onList = func() {
		f.propose(state.SetZone{Name: "z1", Out: true, ExpectedVersion: f.zoneVersion("z1")})
	}
	f.poll(5*time.Second, f.s1)
	f.Expect(f.checkedRecords()).To(BeEmpty())
}

// Guards against starts and renewals by an instance without a valid freshness
// lease, whose state may be outdated.
func TestNoCallsWithoutFreshLease(t *testing.T) {
	f := newFixture(t)
	f.place("w1")
	renewals := f.w1.renewals
	f.w1.onList = func() { f.log.SetFresh(false) }
	f.poll(5*time.Second, f.s1)
	f.Expect(f.checkedRecords()).To(BeEmpty())
	f.Expect(f.w1.renewals).To(Equal(renewals))
}

// Guards against starts and renewals by an instance that has handed over its
// assignments.
func TestNoCallsAfterHandOver(t *testing.T) {
	f := newFixture(t)
	f.place("w1")
	renewals := f.w1.renewals
	f.propose(state.HandOver{Instance: "a", InstanceStart: 1})
	f.poll(2*time.Second, f.s1)
	f.Expect(f.checkedRecords()).To(BeEmpty())
	f.Expect(f.w1.renewals).To(Equal(renewals))
}

// Guards against a restarted process that treats a start of its predecessor under
// the same fence as canceled while the start is still in flight.
func TestRestartedProcessWaitsForEarlierStart(t *testing.T) {
	f := newFixture(t)
	f.w1.delayStarts = true
	f.place("w1")
	f.poll(time.Second, f.s1)
	f.w1.delayStarts = false
	f.evict()
	restarted := f.session("w1", "a", f.w1, f.log)
	f.poll(500*time.Millisecond, restarted)
	f.Expect(f.task().Phase).To(Equal(state.PhaseStopping))
	f.w1.deliver()
	f.poll(4*time.Second, restarted)
	f.place("w2")
	f.poll(2*time.Second, restarted, f.s2)
	f.Expect(f.checkedRecords()).To(HaveLen(2))
}

// Guards against a task that stays in PhaseStarting after its worker refused the
// start.
func TestRefusedStartIsRequeued(t *testing.T) {
	f := newFixture(t)
	f.place("w1")
	f.w1.refuseStarts = true
	f.poll(time.Second, f.s1)
	f.Expect(f.task().Phase).To(Equal(state.PhasePending))
	f.Expect(f.task().Failures).To(BeEmpty())
	f.Expect(f.checkedRecords()).To(BeEmpty())
}

func (f *fixture) zoneVersion(name string) uint64 {
	z, _ := f.log.FakeLog.State().Zones.Get(name)
	return z.Version
}

// Guards against calls of an earlier owner whose log lags behind.
func TestOldOwnerIsRefused(t *testing.T) {
	f := newFixture(t)
	f.place("w1")
	old := f.session("w1", "a", f.w1, &faultyLog{FakeLog: f.log.FakeLog, fixedState: f.log.State()})
	owner := f.assign("w1", "b", f.w1)
	f.evict()
	f.poll(3*time.Second, owner)
	f.Expect(f.task().Phase).To(Equal(state.PhasePending))
	renewals := f.w1.renewals
	f.poll(time.Second, old)
	f.Expect(f.checkedRecords()).To(BeEmpty())
	f.Expect(f.w1.renewals).To(Equal(renewals))
}
