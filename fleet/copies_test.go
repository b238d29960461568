package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"apricotrouter/fleet"
	"apricotrouter/replica"
	"apricotrouter/standin/pool"
	"apricotrouter/state"
)

const (
	usualRunTime = 100 * time.Millisecond
	// copiedID is the id of a workflow whose last task takes long in its first run.
	copiedID   = "c0000000000000c0"
	copiedTask = 5
)

// unevenRuns returns the options of a worker on which the first run of the last
// task of copiedID takes slow, and any other run usualRunTime.
func unevenRuns(slow time.Duration, other func(number uint64) time.Duration) pool.Options {
	runTime := func(p fleet.TaskPosition, number uint64) time.Duration {
		switch {
		case p.Workflow != copiedID || p.Index != copiedTask:
			return usualRunTime
		case number == 1:
			return slow
		}
		return other(number)
	}
	return pool.Options{
		RunTime: runTime,
		Progress: func(p fleet.TaskPosition, number uint64, ran time.Duration) int {
			return min(99, int(100*ran/runTime(p, number)))
		},
	}
}

func usual(uint64) time.Duration { return usualRunTime }

func duplicates(s *state.WorkflowStep) { s.Duplicates = true }

// runsOf returns the records of the task that takes long, by run number.
func runsOf(workers []*pool.Worker) map[uint64]pool.Record {
	runs := make(map[uint64]pool.Record)
	for _, w := range workers {
		for _, r := range w.Records() {
			if r.Position.Workflow == copiedID && r.Position.Index == copiedTask {
				runs[r.Number] = r
			}
		}
	}
	return runs
}

// startSlowTask lets the leader learn run times and submits copiedID.
func (h *harness) startSlowTask(o pool.Options, mod ...func(*state.WorkflowStep)) []*pool.Worker {
	workers := []*pool.Worker{h.addWorker("a", o), h.addWorker("b", o), h.addWorker("c", o)}
	h.submitAs("a000000000000001", step(12, withEstimate(usualRunTime)))
	h.Eventually(func() state.WorkflowPhase { return h.phaseOf("a000000000000001") }, waitTimeout).Should(Equal(state.WorkflowCompleted))
	h.submitAs(copiedID, step(copiedTask+1, append(mod, withEstimate(usualRunTime))...))
	return workers
}

func (h *harness) expectCopiedPhase(want state.WorkflowPhase) {
	h.t.Helper()
	h.Eventually(func() state.WorkflowPhase { return h.phaseOf(copiedID) }, waitTimeout, 5*time.Millisecond).Should(Equal(want))
}

// Guards against a step that waits for one slow run although capacity is idle
// and copies are permitted, and against a first run that continues after its
// copy has completed.
func TestSlowRunIsCopied(t *testing.T) {
	h := newHarness(t)
	workers := h.startSlowTask(unevenRuns(time.Minute, usual), duplicates)
	h.expectCopiedPhase(state.WorkflowCompleted)
	h.Eventually(func() bool { return runsOf(workers)[1].Ended.IsZero() }, waitTimeout).Should(BeFalse(), "the first run is stopped")
	runs := runsOf(workers)
	h.Expect(runs).To(HaveLen(2))
	h.Expect(runs[2].Kind).To(Equal(fleet.EndDone))
	h.Expect(runs[1].Kind).To(Equal(fleet.EndStopped))
	h.Expect(runs[1].Worker).NotTo(Equal(runs[2].Worker))
	h.Expect(runs[1].Ended).To(BeTemporally(">", runs[2].Ended), "the first run continues beside its copy")
}

// Guards against a copy that replaces a run which completes first.
func TestFirstRunCountsIfItCompletesBeforeItsCopy(t *testing.T) {
	h := newHarness(t)
	workers := h.startSlowTask(unevenRuns(3*time.Second, func(uint64) time.Duration { return time.Minute }), duplicates)
	h.Eventually(func() int { return len(runsOf(workers)) }, waitTimeout).Should(Equal(2))
	h.expectCopiedPhase(state.WorkflowCompleted)
	h.Eventually(func() bool { return runsOf(workers)[2].Ended.IsZero() }, waitTimeout).Should(BeFalse(), "the copy is stopped")
	runs := runsOf(workers)
	h.Expect(runs).To(HaveLen(2))
	h.Expect(runs[1].Kind).To(Equal(fleet.EndDone))
	h.Expect(runs[2].Kind).To(Equal(fleet.EndStopped))
}

// Guards against two runs of a task at the same time where its step does not
// permit them.
func TestNoCopyWithoutPermission(t *testing.T) {
	h := newHarness(t)
	workers := h.startSlowTask(unevenRuns(2*time.Second, usual))
	h.expectCopiedPhase(state.WorkflowCompleted)
	h.expectNoDuplicateRuns(workers...)
}

// Guards against a copy that takes the capacity for which another task waits.
func TestNoCopyWhileTasksWait(t *testing.T) {
	h := newHarness(t)
	o := unevenRuns(2*time.Second, usual)
	long := o.RunTime
	o.RunTime = func(p fleet.TaskPosition, number uint64) time.Duration {
		if p.Workflow == "b000000000000001" {
			return 20 * time.Second
		}
		return long(p, number)
	}
	workers := h.startSlowTask(o, duplicates)
	// 17 more tasks: 12 slots of 1000 less one for the slow run, so that some wait.
	h.submitAs("b000000000000001", step(17, withEstimate(20*time.Second)))
	h.expectCopiedPhase(state.WorkflowCompleted)
	h.expectNoDuplicateRuns(workers...)
}

// Guards against a task that is not run again after both its first run and its
// copy were lost, and against more than two runs of it at the same time.
func TestTaskRunsAgainAfterBothRunsAreLost(t *testing.T) {
	h := newHarness(t)
	workers := h.startSlowTask(unevenRuns(time.Minute, func(number uint64) time.Duration {
		if number == 2 {
			return time.Minute
		}
		return usualRunTime
	}), duplicates)
	h.Eventually(func() int { return len(runsOf(workers)) }, waitTimeout).Should(Equal(2))
	for _, w := range workers {
		for _, r := range w.Records() {
			if r.Position.Workflow == copiedID && r.Ended.IsZero() {
				w.Crash()
			}
		}
	}
	for _, id := range []string{"d", "e"} {
		workers = append(workers, h.addWorker(id, unevenRuns(time.Minute, usual)))
	}
	h.expectCopiedPhase(state.WorkflowCompleted)
	h.expectAtMostTwoRuns(workers)
}

// Guards against a third run beside a first one that continues after its copy was
// lost. It may start on the worker of the first run, and a task that crashes its
// workers would crash another one.
func TestLostCopyIsNotStartedAgainBesideTheFirstRun(t *testing.T) {
	h := newHarness(t)
	workers := h.startSlowTask(unevenRuns(4*time.Second, func(uint64) time.Duration { return time.Minute }), duplicates)
	h.Eventually(func() int { return len(runsOf(workers)) }, waitTimeout).Should(Equal(2))
	for _, w := range workers {
		for _, r := range w.Records() {
			if r.Position.Workflow == copiedID && r.Number == 2 {
				w.Crash()
			}
		}
	}
	workers = append(workers, h.addWorker("d", unevenRuns(4*time.Second, usual)))
	h.expectCopiedPhase(state.WorkflowCompleted)
	runs := runsOf(workers)
	for number, r := range runs {
		if number > 2 { // the first run was moved
			h.Expect(runs[1].Ended.IsZero()).To(BeFalse(), "%+v", runs)
			h.Expect(r.Started).To(BeTemporally(">=", runs[1].Ended), "%+v", runs)
		}
	}
}

// expectAtMostTwoRuns checks that no more than two runs of a task overlap.
func (h *harness) expectAtMostTwoRuns(workers []*pool.Worker) {
	h.t.Helper()
	runs := runsOf(workers)
	for _, a := range runs {
		overlapping := 0
		for _, b := range runs {
			if !b.Started.After(a.Started) && (b.Ended.IsZero() || b.Ended.After(a.Started)) {
				overlapping++
			}
		}
		h.Expect(overlapping).To(BeNumerically("<=", 2), "%+v", runs)
	}
}

// Guards against a new leader that loses a task with two runs, or lets both
// continue.
func TestTaskWithCopySurvivesAChangeOfLeader(t *testing.T) {
	h := newHarness(t)
	workers := h.startSlowTask(unevenRuns(time.Minute, func(uint64) time.Duration { return 1200 * time.Millisecond }), duplicates)
	h.Eventually(func() int { return len(runsOf(workers)) }, waitTimeout).Should(Equal(2))
	l := h.log.Leadership()
	h.log.SetLeadership(replica.Leadership{Term: l.Term + 1, Self: true, Leader: l.Leader})
	h.Eventually(func() bool { return runsOf(workers)[1].Ended.IsZero() }, waitTimeout).Should(BeFalse(), "the run that is not current is stopped")
	h.expectCopiedPhase(state.WorkflowCompleted)
	runs := runsOf(workers)
	h.Expect(runs).To(HaveLen(2))
	h.Expect(runs[2].Kind).To(Equal(fleet.EndDone))
}

// Guards against a crash that does not count as evidence against a task because
// the run that was lost had been copied.
func TestCrashUnderACopiedRunCounts(t *testing.T) {
	h := newHarness(t)
	o := unevenRuns(time.Minute, func(uint64) time.Duration { return time.Minute })
	workers := h.startSlowTask(o, duplicates)
	h.Eventually(func() int { return len(runsOf(workers)) }, waitTimeout).Should(Equal(2))
	first := runsOf(workers)[1].Worker
	for i, id := range []string{"a", "b", "c"} {
		if id == first {
			workers[i].Crash()
		}
	}
	o.StartedAt = time.Now().UnixMilli() + 1
	h.addWorker(first, o)
	h.Eventually(func() []uint64 {
		w, ok := h.log.State().Workflows.Get(copiedID)
		h.Expect(ok).To(BeTrue())
		return w.Tasks[copiedTask].CrashedRuns
	}, waitTimeout).Should(ContainElement(uint64(1)))
}

// Guards against overlapping runs of tasks that must not be copied, more than
// two of those that may, and workflows that never end, when workers crash and
// the leader changes while tasks have two runs.
func TestCopiesUnderCrashesAndChangesOfLeader(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			h := newHarness(t)
			runTime := func(p fleet.TaskPosition, number uint64) time.Duration {
				r := rand.New(rand.NewPCG(seed, number*1000+uint64(p.Index)+uint64(p.Workflow[15])*77))
				if r.IntN(6) == 0 {
					return 3 * time.Second
				}
				return 60 * time.Millisecond
			}
			workers := h.addRestartingWorkers(4, pool.Options{
				RunTime: runTime,
				Progress: func(p fleet.TaskPosition, number uint64, ran time.Duration) int {
					return min(99, int(100*ran/runTime(p, number)))
				},
			})
			r := rand.New(rand.NewPCG(seed, 1))
			var ids []string
			for i := range 12 {
				id := fmt.Sprintf("%c%015d", "ab"[i%2], i)
				ids = append(ids, id)
				mod := []func(*state.WorkflowStep){withEstimate(60 * time.Millisecond)}
				if i%2 == 0 {
					mod = append(mod, duplicates)
				}
				h.submitAs(id, step(5, mod...))
				time.Sleep(time.Duration(r.IntN(800)) * time.Millisecond)
				switch r.IntN(8) {
				case 0, 1:
					workers.crashSome(r.IntN(4), 1)
				case 2:
					l := h.log.Leadership()
					h.log.SetLeadership(replica.Leadership{Term: l.Term + 1, Self: true, Leader: l.Leader})
				}
			}
			for _, id := range ids {
				h.Eventually(func() state.WorkflowPhase { return h.phaseOf(id) }, 2*waitTimeout).Should(Equal(state.WorkflowCompleted), id)
			}
			records := workers.records()
			copied := 0
			for _, a := range records {
				overlapping := 0
				for _, b := range records {
					if a.Position == b.Position && !b.Started.After(a.Started) && (b.Ended.IsZero() || b.Ended.After(a.Started)) {
						overlapping++
					}
				}
				if a.Position.Workflow[0] == 'b' {
					h.Expect(overlapping).To(Equal(1), "%+v", a)
				}
				h.Expect(overlapping).To(BeNumerically("<=", 2), "%+v", a)
				if overlapping > 1 {
					copied++
				}
			}
			t.Logf("%d runs, %d beside another of their task", len(records), copied)
		})
	}
}
