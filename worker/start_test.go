package worker_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	workerstandin "apricotrouter/standin/worker"
	"apricotrouter/state"
)

// Guards against a second start of a task whose first start was carried out
// but not answered.
func TestLostStartAnswerRunsOnce(t *testing.T) {
	f := newFixture(t)
	f.w1.loseStart = true
	f.place("w1")
	f.rounds(5*time.Second, f.s1)
	f.Expect(f.task().Phase).To(Equal(state.PhaseRunning))
	f.Expect(f.task().Incarnation).To(BeEquivalentTo(1))
	f.rounds(time.Minute, f.s1)
	f.Expect(f.task().Phase).To(Equal(state.PhaseCompleted))
	f.Expect(f.records()).To(HaveLen(1))
}

// Guards against a start that arrives late and runs the task next to its next
// incarnation on another worker.
func TestLateStartIsVoid(t *testing.T) {
	f := newFixture(t)
	f.w1.holdStart = true
	f.place("w1")
	f.rounds(4*time.Second, f.s1)
	f.Expect(f.task().Phase).To(Equal(state.PhasePending))
	f.place("w2")
	f.rounds(2*time.Second, f.s1, f.s2)
	f.w1.deliver()
	f.rounds(2*time.Second, f.s1, f.s2)
	f.Expect(f.records()).To(HaveLen(1))
}

// Guards against a cancelled task that starts after the cancellation was
// confirmed, because its start was still on the way.
func TestCancelWaitsForStartInFlight(t *testing.T) {
	f := newFixture(t)
	f.w1.holdStart = true
	f.place("w1")
	f.rounds(time.Second, f.s1)
	f.propose(state.CancelJobs{IDs: []string{"job"}})
	f.rounds(500*time.Millisecond, f.s1)
	f.Expect(f.task().Phase).To(Equal(state.PhaseStopping))
	f.w1.deliver()
	f.rounds(4*time.Second, f.s1)
	f.Expect(f.task().Phase).To(Equal(state.PhaseCancelled))
	f.Expect(f.records()).To(HaveExactElements(HaveField("End", workerstandin.EndStopped)))
}

// Guards against a duplicate of a start that arrives after its zone was taken out.
func TestDelayedDuplicateStartAfterZoneOut(t *testing.T) {
	f := newFixture(t)
	f.runTask()
	f.w1.holdStart = true
	f.evict()
	f.rounds(2*time.Second, f.s1)
	f.Expect(f.task().Phase).To(Equal(state.PhasePending))
	f.place("w1")
	f.rounds(time.Second, f.s1)
	f.propose(state.SetZone{Name: "z1", Out: true, ExpectedVersion: f.zoneVersion("z1")})
	out := f.clock.Now()
	f.rounds(4*time.Second, f.s1)
	f.w1.deliver()
	f.rounds(time.Second, f.s1)
	f.Expect(workerstandin.StartedBetween(f.records(), out, f.clock.Now())).To(BeEmpty())
}

// Guards against a start in a zone that was taken out after the placement.
func TestNoStartInZoneThatIsOut(t *testing.T) {
	f := newFixture(t)
	f.place("w1")
	f.w1.onList = func() {
		f.propose(state.SetZone{Name: "z1", Out: true, ExpectedVersion: f.zoneVersion("z1")})
	}
	f.rounds(5*time.Second, f.s1)
	f.Expect(f.records()).To(BeEmpty())
}

// Guards against starts and renewals by an instance that may miss changes.
func TestNothingWithoutFreshness(t *testing.T) {
	f := newFixture(t)
	f.place("w1")
	renewals := f.w1.renewals
	f.w1.onList = func() { f.log.SetFresh(false) }
	f.rounds(5*time.Second, f.s1)
	f.Expect(f.records()).To(BeEmpty())
	f.Expect(f.w1.renewals).To(Equal(renewals))
}

// Guards against starts and renewals by an instance that has handed its
// assignments over.
func TestNothingAfterHandOver(t *testing.T) {
	f := newFixture(t)
	f.place("w1")
	renewals := f.w1.renewals
	f.propose(state.HandOver{Instance: "a", InstanceStart: 1})
	f.rounds(2*time.Second, f.s1)
	f.Expect(f.records()).To(BeEmpty())
	f.Expect(f.w1.renewals).To(Equal(renewals))
}

// Guards against a restarted process that takes a start of its predecessor
// under the same fence for void while it is on its way.
func TestRestartedProcessWaitsForEarlierStart(t *testing.T) {
	f := newFixture(t)
	f.w1.holdStart = true
	f.place("w1")
	f.rounds(time.Second, f.s1)
	f.w1.holdStart = false
	f.evict()
	restarted := f.session("w1", "a", f.w1, f.log)
	f.rounds(500*time.Millisecond, restarted)
	f.Expect(f.task().Phase).To(Equal(state.PhaseStopping))
	f.w1.deliver()
	f.rounds(4*time.Second, restarted)
	f.place("w2")
	f.rounds(2*time.Second, restarted, f.s2)
	f.Expect(f.records()).To(HaveLen(2))
}

// Guards against a task that stays in the log as starting on a worker that
// refuses it.
func TestRefusedStartIsRequeued(t *testing.T) {
	f := newFixture(t)
	f.place("w1")
	f.w1.refuse = true
	f.rounds(time.Second, f.s1)
	f.Expect(f.task().Phase).To(Equal(state.PhasePending))
	f.Expect(f.task().Failures).To(BeEmpty())
	f.Expect(f.records()).To(BeEmpty())
}

func (f *fixture) zoneVersion(name string) uint64 {
	z, _ := f.log.Memory.State().Zones.Get(name)
	return z.Version
}

// Guards against an owner with an old fence whose log lags behind.
func TestOldOwnerIsRefused(t *testing.T) {
	f := newFixture(t)
	f.place("w1")
	old := f.session("w1", "a", f.w1, &faultyLog{Memory: f.log.Memory, frozen: f.log.State()})
	owner := f.assign("w1", "b", f.w1)
	f.evict()
	f.rounds(3*time.Second, owner)
	f.Expect(f.task().Phase).To(Equal(state.PhasePending))
	renewals := f.w1.renewals
	f.rounds(time.Second, old)
	f.Expect(f.records()).To(BeEmpty())
	f.Expect(f.w1.renewals).To(Equal(renewals))
}
