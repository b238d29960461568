package placement_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/state"
)

func (c *cluster) running(owner string) int {
	n := 0
	for t := range c.TasksOf(state.KindBatch, owner) {
		if t.Phase == state.PhaseRunning {
			n++
		}
	}
	return n
}

// completeOldest completes the longest running task of an owner.
func (c *cluster) completeOldest(owner string) {
	var first *state.Task
	for t := range c.TasksOf(state.KindBatch, owner) {
		if t.Phase == state.PhaseRunning && (first == nil || t.StartedAt < first.StartedAt) {
			first = t
		}
	}
	if first != nil {
		c.report(first, state.EventExited)
	}
}

// Guards against urgent tasks that wait in a full cluster. They must start
// within 3.9 s, with as few evictions as possible.
func TestUrgentWorkEvictsTheFewest(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(g)
	c.worker("w1", "a", cores(8))
	c.worker("w2", "a", cores(8))
	c.job("low", "", state.PriorityLow, 4, cores(3), 1000)
	c.passes(1)
	c.job("normal", "", state.PriorityNormal, 2, cores(2), 1000)
	c.passes(1)
	submitted := c.now
	c.job("urgent", "", state.PriorityUrgent, 1, cores(5), 10)
	for c.running("urgent") == 0 && c.now < submitted+10_000 {
		c.passes(1)
	}
	g.Expect(c.Task("urgent.0").StartedAt - submitted).To(BeNumerically("<=", 3900))
	g.Expect(c.running("normal")).To(Equal(2))
	g.Expect(c.running("low")).To(Equal(2))
	g.Expect(c.Task("low.0").Evictions + c.Task("low.1").Evictions + c.Task("low.2").Evictions + c.Task("low.3").Evictions).To(BeEquivalentTo(2))
}

// Guards against the eviction of several small tasks where the eviction of one
// large task is sufficient.
func TestUrgentWorkEvictsOneLargeInsteadOfManySmall(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(g)
	c.worker("w1", "a", cores(8))
	c.job("small", "", state.PriorityLow, 8, cores(1), 1000)
	c.passes(1)
	c.worker("w2", "a", cores(8))
	c.job("large", "", state.PriorityLow, 2, cores(4), 1000)
	c.passes(1)
	c.job("urgent", "", state.PriorityUrgent, 1, cores(4), 10)
	c.passes(2)
	g.Expect(c.running("urgent")).To(Equal(1))
	g.Expect(c.running("small")).To(Equal(8))
	g.Expect(c.running("large")).To(Equal(1))
}

// Guards against a replica that fails at once and is restarted repeatedly
// without a delay.
func TestFailingReplicaIsStartedLessAndLessOften(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(g)
	c.worker("w1", "a", cores(8))
	c.ok(state.ApplyService{Spec: state.ServiceSpec{Name: "s", Replicas: 1, Resources: cores(1)}})
	starts := 0
	for range 120 {
		c.plan()
		for _, t := range c.tasks(state.PhaseStarting) {
			starts++
			c.report(t, state.EventFailed)
		}
		c.now += 1000
	}
	g.Expect(starts).To(BeNumerically("~", 8, 2))
	g.Expect(c.Tasks.Len()).To(Equal(1))
}

// Guards against a large urgent job whose tasks are placed only one at a time,
// and against one eviction for each of its small tasks.
func TestUrgentJobGetsCapacityAtOnce(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(g)
	for i := range 20 {
		c.worker(fmt.Sprint("w", i), "a", cores(8))
	}
	c.job("low", "", state.PriorityLow, 40, cores(4), 1000)
	c.passes(1)
	c.job("urgent", "", state.PriorityUrgent, 50, cores(1), 10)
	c.passes(3)
	g.Expect(c.running("urgent")).To(Equal(50))
	evictions := int64(0)
	for task := range c.TasksOf(state.KindBatch, "low") {
		evictions += task.Evictions
	}
	g.Expect(evictions).To(BeEquivalentTo(13))
}

// Guards against a second eviction before the capacity freed by the first one
// is available.
func TestUrgentWorkWaitsForStopsUnderWay(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(g)
	c.worker("w1", "a", cores(8))
	c.worker("w2", "a", cores(8))
	c.job("low", "", state.PriorityLow, 4, cores(4), 1000)
	c.passes(1)
	c.job("urgent", "", state.PriorityUrgent, 1, cores(4), 10)
	for range 5 {
		c.plan()
		c.now += 200
	}
	g.Expect(c.tasks(state.PhaseStopping)).To(HaveLen(1))
}

// Guards against a team that takes the whole cluster because it submitted
// first, and against a quota that is exceeded.
func TestTeamsShareByWeightWithinQuota(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(g)
	c.worker("w1", "a", cores(30))
	c.ok(state.ApplyTeam{Name: "one", Weight: 1})
	c.ok(state.ApplyTeam{Name: "two", Weight: 2})
	c.ok(state.ApplyTeam{Name: "capped", Weight: 50, Quota: cores(6)})
	c.job("a", "one", state.PriorityNormal, 50, cores(1), 100)
	c.job("b", "two", state.PriorityNormal, 50, cores(1), 100)
	c.job("c", "capped", state.PriorityNormal, 50, cores(1), 100)
	c.passes(2)
	g.Expect(c.running("a")).To(BeNumerically("~", 8, 1))
	g.Expect(c.running("b")).To(BeNumerically("~", 16, 1))
	g.Expect(c.running("c")).To(Equal(6))
}

// Guards against tasks of a lower priority that are placed before those of a
// higher one.
func TestPriorityClassesAreServedInOrder(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(g)
	c.worker("w1", "a", cores(4))
	c.job("low", "", state.PriorityLow, 4, cores(1), 100)
	c.job("normal", "", state.PriorityNormal, 2, cores(1), 100)
	c.job("urgent", "", state.PriorityUrgent, 1, cores(1), 100)
	c.passes(1)
	g.Expect([]int{c.running("urgent"), c.running("normal"), c.running("low")}).To(Equal([]int{1, 2, 1}))
}

// Guards against a large job that starves because small ones always take the
// capacity that becomes free, and against reserved capacity that short jobs
// could use but that stays idle.
func TestLargeJobDoesNotStarveAndShortOnesBackfill(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(g)
	c.worker("w1", "a", cores(8))
	c.worker("w2", "a", cores(8))
	c.job("small", "", state.PriorityNormal, 16, cores(1), 60)
	c.passes(1)
	c.job("large", "", state.PriorityNormal, 1, cores(8), 60)
	c.job("more", "", state.PriorityNormal, 500, cores(1), 60)
	c.job("short", "", state.PriorityNormal, 500, cores(1), 5)
	backfilled := 0
	for range 120 {
		if c.running("large") > 0 {
			break
		}
		c.passes(1)
		backfilled = max(backfilled, c.running("short"))
		if c.now%3 == 0 || c.running("small") > 0 {
			c.completeOldest("small")
		} else {
			c.completeOldest("more")
		}
		c.completeOldest("short")
	}
	g.Expect(c.running("large")).To(Equal(1))
	g.Expect(backfilled).To(BeNumerically(">", 0))
}

// Guards against declared run times that are far too short and keep the
// reserved worker occupied forever.
func TestLargeJobStartsDespiteWrongRunTimes(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(g)
	c.worker("w1", "a", cores(4))
	c.job("liar", "", state.PriorityNormal, 4, cores(1), 1)
	c.passes(1)
	c.job("large", "", state.PriorityNormal, 1, cores(4), 60)
	c.job("more", "", state.PriorityNormal, 2000, cores(1), 1)
	for i := range 1500 {
		if c.running("large") > 0 {
			break
		}
		c.passes(1)
		if i%30 == 0 { // each runs for about 120 s
			c.completeOldest("liar")
			c.completeOldest("more")
		}
	}
	g.Expect(c.running("large")).To(Equal(1))
}

// Guards against a worker that fails every task at once and so consumes the
// whole queue, and against a worker that gets no tasks after it was repaired.
func TestFailingWorkerIsQuarantinedAndTriedAgain(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(g)
	c.worker("bad", "a", cores(30))
	c.worker("good", "a", cores(30))
	for i := range 40 {
		c.job(fmt.Sprint("j", i), "", state.PriorityNormal, 3, cores(1), 1000)
	}
	broken := true
	failed := 0
	starts := func() {
		for _, t := range c.tasks(state.PhaseStarting) {
			c.report(t, state.EventStarted)
			if t.Worker == "bad" && broken {
				failed++
				c.report(t, state.EventFailed)
			}
		}
	}
	for range 60 {
		before, _ := c.Workers.Get("bad")
		bodies := c.plan()
		if len(before.FailedOwners) >= 3 && before.QuarantinedAt == 0 {
			g.Expect(bodies).To(HaveLen(1)) // only the quarantine, no placements
		}
		starts()
		c.now += 1000
	}
	w, _ := c.Workers.Get("bad")
	g.Expect(w.Condition).To(Equal(state.WorkerQuarantined))
	// The first plan fills the worker; after that it gets one task every 10 s.
	g.Expect(failed).To(BeNumerically("<=", 30+6))
	for _, j := range c.Jobs.All() {
		g.Expect(j.Phase).To(Equal(state.JobActive))
	}
	broken = false
	for range 30 {
		c.plan()
		starts()
		for task := range c.TasksOnWorker("bad") {
			if task.Phase == state.PhaseRunning {
				c.report(task, state.EventExited)
			}
		}
		c.now += 1000
	}
	w, _ = c.Workers.Get("bad")
	g.Expect(w.Condition).To(Equal(state.WorkerReady))
}

// Guards against a job that can never run and blocks the queue.
func TestJobFailingEverywhereEnds(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(g)
	for i := range 5 {
		c.worker(fmt.Sprint("w", i), "a", cores(4))
	}
	c.job("hopeless", "", state.PriorityNormal, 2, cores(1), 10)
	c.job("fine", "", state.PriorityNormal, 4, cores(1), 10)
	for range 20 {
		c.plan()
		for _, t := range c.tasks(state.PhaseStarting) {
			c.report(t, state.EventStarted)
			if t.Owner == "hopeless" {
				c.report(t, state.EventFailed)
			}
		}
		c.reportTransitions()
		c.now += 1000
	}
	j, _ := c.Jobs.Get("hopeless")
	g.Expect(j.Phase).To(Equal(state.JobFailed))
	g.Expect(j.Reason).To(ContainSubstring("failed on 3 workers"))
	g.Expect(c.running("fine")).To(Equal(4))
	for _, w := range c.Workers.All() {
		g.Expect(w.Condition).To(Equal(state.WorkerReady))
	}
}

// Guards against tasks that start although their job is cancelled, and against
// capacity that stays reserved, when many jobs are cancelled while their tasks
// are starting.
func TestCancellationWaveAgainstStartsInFlight(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(g)
	for i := range 10 {
		c.worker(fmt.Sprint("w", i), "a", cores(30))
	}
	var ids []string
	for i := range 100 {
		ids = append(ids, fmt.Sprint("j", i))
		c.job(ids[i], "", state.PriorityNormal, 5, cores(1), 100)
	}
	c.plan()
	starting := c.tasks(state.PhaseStarting)
	g.Expect(len(starting)).To(Equal(300))
	for _, t := range starting[:100] {
		c.report(t, state.EventStarted)
	}
	for range 3 { // the command is sent again
		c.ok(state.CancelJobs{IDs: ids})
	}
	g.Expect(c.plan()).To(BeEmpty())
	for i, t := range starting {
		switch i % 3 {
		case 0:
			c.report(t, state.EventStarted)
			c.report(t, state.EventStopped)
		case 1:
			c.report(t, state.EventNotStarted)
		case 2:
			c.report(t, state.EventStopped)
		}
	}
	for _, w := range c.Workers.All() {
		g.Expect(w.Reserved.IsZero()).To(BeTrue())
	}
	g.Expect(c.tasks(state.PhaseCancelled)).To(HaveLen(500))
	g.Expect(c.plan()).To(BeEmpty())
}

// Guards against a returning zone that starts all waiting tasks at once, and
// against evictions elsewhere in order to balance the zones.
func TestReturningZoneIsFilledAtABoundedRate(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(g)
	c.worker("a", "a", cores(400))
	c.worker("b", "b", cores(10))
	c.zone("a", true)
	c.job("j", "", state.PriorityNormal, 200, cores(1), 1000)
	c.passes(2)
	g.Expect(c.running("j")).To(Equal(10))
	c.now += 60_000
	c.zone("a", false)
	for i := range 12 {
		c.passes(1)
		g.Expect(c.runningIn("a", state.KindBatch)).To(BeNumerically("<=", 20*i))
	}
	g.Expect(c.running("j")).To(Equal(200))
	g.Expect(c.runningIn("b", state.KindBatch)).To(Equal(10))
}
