package fleet

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"apricotrouter/replica"
	"apricotrouter/state"
)

// newIdleController returns a controller without workers and its clock.
func newIdleController() (*Controller, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	c := New(Options{Clock: clock, Log: memoryLog{replica.NewFakeLog(clock)}})
	c.ctx = context.Background()
	c.workflows, c.poolDemand = make(map[string]*workflow), make(map[string]*poolDemand)
	return c, clock
}

// openTestWorkflow opens a workflow of steps that depend on each other.
func openTestWorkflow(c *Controller, id string, steps ...state.WorkflowStep) *workflow {
	tasks := 0
	for i := range steps {
		if i > 0 {
			steps[i].DependsOn = []int{i - 1}
		}
		tasks += steps[i].Count
	}
	c.openWorkflow(&state.Workflow{
		Spec:        state.WorkflowSpec{ID: id, Queue: "q", Pool: "p", MaxSlowdown: 1.5, Steps: steps},
		SubmittedAt: c.opts.Clock.Now().UnixMilli(), Tasks: make([]state.WorkflowTask, tasks),
	})
	return c.workflows[id]
}

// startTestRun begins a run of a task.
func startTestRun(c *Controller, t *task) *attempt {
	s := newSession(state.PoolWorker{ID: "w"}, unreachableWorker{})
	a := &attempt{task: t, session: s, startedAt: c.now(), runStats: runStats{rate: fullRate}}
	t.phase, t.attempt = taskOnWorker, a
	return a
}

// learnTestRuns completes runs that take the given time, in steps of ten.
func learnTestRuns(c *Controller, clock *clockwork.FakeClock, s state.WorkflowStep, runs int, took time.Duration) {
	s.Count = 10
	for n := range runs / s.Count {
		f := openTestWorkflow(c, fmt.Sprintf("learn-%d-%d", c.now(), n), s)
		var started []*attempt
		for _, t := range f.tasks {
			started = append(started, startTestRun(c, t))
		}
		clock.Advance(took)
		for _, a := range started {
			c.recordRunTime(a)
		}
		delete(c.workflows, f.spec.ID)
	}
}

// Guards against an order of waiting workflows that takes declared run times for
// true after runs have shown others, and against a reported objective that follows
// the learned ones.
func TestRemainingTimeFollowsObservedRuns(t *testing.T) {
	g := NewWithT(t)
	c, clock := newIdleController()
	step := state.WorkflowStep{Count: 10, Size: state.Resources{MilliCPU: 1000}, EstimateMillis: 1000, Image: "i"}
	remaining := func(f *workflow) int64 {
		return c.criticalPath(f).left
	}
	f := openTestWorkflow(c, "before", step, step)
	g.Expect(remaining(f)).To(BeEquivalentTo(2000), "declared")

	learnTestRuns(c, clock, step, 100, 3*time.Second)
	// 2 steps of 3 s, with the safety factor of 1.25 since all runs took the same.
	g.Expect(remaining(f)).To(BeNumerically("~", 7500, 200))
	g.Expect(f.deadline-f.submittedAt).To(BeEquivalentTo(3000), "objective")
	later := openTestWorkflow(c, "later", step, step)
	g.Expect(later.deadline-later.submittedAt).To(BeEquivalentTo(3000), "objective")

	for _, task := range later.tasks[:10] {
		startTestRun(c, task)
	}
	g.Expect(remaining(later)).To(BeNumerically("~", 7500, 200), "runs without progress")
	for _, task := range later.tasks[:10] {
		m := &task.attempt.runStats
		m.recordProgress(0, task.attempt.startedAt, c.now())
	}
	clock.Advance(time.Second)
	for _, task := range later.tasks[:10] {
		m := &task.attempt.runStats
		m.recordProgress(50, task.attempt.startedAt, c.now())
	}
	g.Expect(remaining(later)).To(BeNumerically("~", 1000+3750, 200), "runs with a progress of their own")
	clock.Advance(10 * time.Second)
	g.Expect(remaining(later)).To(BeNumerically("~", 1875+3750, 200), "stalled runs")
}

// Guards against a batch reservation by declared run times that are too short.
func TestDemandFollowsObservedRuns(t *testing.T) {
	g := NewWithT(t)
	c, clock := newIdleController()
	step := state.WorkflowStep{Count: 10, Size: state.Resources{MilliCPU: 1000}, EstimateMillis: 1000, Image: "i"}
	learnTestRuns(c, clock, step, 100, 3*time.Second)
	clock.Advance(time.Minute)
	c.poolDemand = make(map[string]*poolDemand)
	f := openTestWorkflow(c, "w", step)
	now := f.submittedAt
	demand := c.demandOf("p").batch.Of(now, now-10_000, 0, 10_000)
	g.Expect(demand).To(HaveLen(1))
	g.Expect(demand[0].Mean).To(BeNumerically("~", 3000, 100)) // 10 tasks of 1 processor for 3 s, in 10 s
}

// Guards against run times that are learned from runs which resumed, were
// rate-limited or were found by a new leader as if they were whole ones.
func TestRunsAreLearnedAsWhatTheyAre(t *testing.T) {
	for name, run := range map[string]struct {
		play func(c *Controller, clock *clockwork.FakeClock, a *attempt)
		want int64 // milliseconds; 0 if nothing is learned
	}{
		"whole": {
			play: func(_ *Controller, clock *clockwork.FakeClock, _ *attempt) { clock.Advance(2 * time.Second) },
			want: 2000,
		},
		"resumed": {
			play: func(c *Controller, clock *clockwork.FakeClock, a *attempt) {
				a.task.checkpoint = "c"
				clock.Advance(500 * time.Millisecond) // restores
				a.runStats.recordProgress(50, a.startedAt, c.now())
				clock.Advance(time.Second)
			},
			want: 2000,
		},
		"resumed and never reported": {
			play: func(_ *Controller, clock *clockwork.FakeClock, a *attempt) {
				a.task.checkpoint = "c"
				clock.Advance(time.Second)
			},
		},
		"rate-limited": {
			play: func(c *Controller, clock *clockwork.FakeClock, a *attempt) {
				clock.Advance(time.Second)
				c.setRate(a, 50)
				a.runStats.rateCallPending = false
				clock.Advance(time.Second)
				c.setRate(a, 0)
				a.runStats.rateCallPending = false
				clock.Advance(time.Second)
				c.setRate(a, fullRate)
				clock.Advance(500 * time.Millisecond)
			},
			want: 2000,
		},
		"paused nearly all the time": {
			play: func(c *Controller, clock *clockwork.FakeClock, a *attempt) {
				c.setRate(a, 0)
				clock.Advance(10 * time.Second)
			},
		},
		"ended while its worker did not respond": {
			play: func(c *Controller, clock *clockwork.FakeClock, a *attempt) {
				c.sessions, c.losses = make(map[string]*session), nil
				clock.Advance(time.Second)
				a.session.recordCallFailure(c, c.now(), errOtherIncarnation)
				clock.Advance(10 * time.Second)
				a.session.markResponsive(c)
			},
		},
		"adopted": {
			play: func(_ *Controller, clock *clockwork.FakeClock, a *attempt) {
				a.adopted = true
				clock.Advance(time.Second)
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c, clock := newIdleController()
			f := openTestWorkflow(c, "w", state.WorkflowStep{Count: 20, EstimateMillis: 1000})
			for _, task := range f.tasks {
				a := startTestRun(c, task)
				run.play(c, clock, a)
				c.recordRunTime(a)
			}
			if run.want == 0 {
				g.Expect(f.completedRuns[0]).To(BeZero())
				g.Expect(c.learned.model.Len()).To(BeZero())
				return
			}
			e := c.learned.model.Estimate(runTimeKey("q", &f.spec.Steps[0]), 1000)
			g.Expect(e.Quantile(0.5)).To(BeNumerically("~", run.want, 40))
		})
	}
}

// Guards against a worker at a third of the speed of others that keeps getting
// tasks because its runs are moved before they end, and against one slow run
// that counts with each of its reports.
func TestSlowWorkerIsFoundByProgress(t *testing.T) {
	g := NewWithT(t)
	c, clock := newIdleController()
	c.sessions, c.closing, c.pollDue = make(map[string]*session), make(map[*session]bool), make(map[*session]bool)
	step := state.WorkflowStep{Count: 10, Size: state.Resources{MilliCPU: 1000}, EstimateMillis: 1000, Image: "i"}
	learnTestRuns(c, clock, step, 100, time.Second)
	slow := newSession(state.PoolWorker{ID: "slow", Capacity: state.Resources{MilliCPU: 10_000}}, unreachableWorker{})
	f := openTestWorkflow(c, "w", step)
	for i, task := range f.tasks {
		a := startTestRun(c, task)
		a.session = slow
		a.runStats.recordProgress(0, a.startedAt, c.now())
		for percent := 0; percent <= 60; percent += 20 { // a third of the speed
			a.runStats.recordProgress(percent, a.startedAt, c.now())
			c.observeSlowRun(a, c.estimate(f, 0), c.now())
			clock.Advance(600 * time.Millisecond)
		}
		switch i {
		case 0:
			g.Expect(c.learned.workers.Slowdown("slow", c.now().Milliseconds())).To(BeEquivalentTo(1), "one run")
		case 9:
			g.Expect(c.learned.workers.Slowdown("slow", c.now().Milliseconds())).To(BeNumerically("~", 2.3, 0.4))
		}
	}
	c.updateResources(slow)
	g.Expect(slow.resources.Slowdown).To(BeNumerically(">", 1.5))
	g.Expect(c.learned.workers.Slowdown("w", c.now().Milliseconds())).To(BeEquivalentTo(1), "ordinary worker")

	c.closeSession(slow, "test")
	g.Expect(c.learned.workers.Factor("slow", c.now().Milliseconds())).To(BeEquivalentTo(1), "after a restart")
}

// Guards against an order by declared objectives: callers measure the objective by
// the actual run times, so that a workflow with a long task has more time.
func TestObjectiveFollowsTheActualCriticalPath(t *testing.T) {
	g := NewWithT(t)
	c, clock := newIdleController()
	step := state.WorkflowStep{Count: 10, Size: state.Resources{MilliCPU: 1000}, EstimateMillis: 1000, Image: "i"}
	next := step
	next.DependsOn = []int{0}
	f := openTestWorkflow(c, "w", step, next)
	declared := f.deadline - f.submittedAt
	objective := func() int64 { return f.objective(c.criticalPath(f)) }
	g.Expect(objective()).To(Equal(declared), "no run was observed")

	learnTestRuns(c, clock, step, 100, 3*time.Second)
	learned := objective()
	perSecond := int64(f.spec.MaxSlowdown * 1000)
	g.Expect(learned).To(BeNumerically("~", declared+4*perSecond, perSecond/2), "two steps of 3 s instead of 1 s")

	for i, task := range f.tasks[:10] {
		a := startTestRun(c, task)
		run := 3 * time.Second
		if i == 9 {
			run = 9 * time.Second
		}
		clock.Advance(run)
		c.recordRunTime(a)
		task.attempt = nil
		c.markDone(task)
		clock.Advance(-run)
	}
	g.Expect(objective()).To(BeNumerically("~", learned+6*perSecond, perSecond), "a task of the first step took 9 s")
}

// BenchmarkWaitingJobs measures what a placement pass spends on the workflows
// that wait: 10,000 tasks in workflows of two steps of ten, with learned run
// times.
func BenchmarkWaitingJobs(b *testing.B) {
	for _, runs := range []int{0, 100} {
		b.Run(fmt.Sprintf("observed=%d", runs), func(b *testing.B) {
			c, clock := newIdleController()
			step := state.WorkflowStep{Count: 10, Size: state.Resources{MilliCPU: 1000}, EstimateMillis: 1000, Image: "i"}
			learnTestRuns(c, clock, step, runs, 3*time.Second)
			const workflows = 1000
			for i := range workflows {
				openTestWorkflow(c, fmt.Sprint(i), step, step)
			}
			b.ReportAllocs()
			for b.Loop() {
				if n := len(c.waitingJobs()); n != workflows {
					b.Fatal(n)
				}
			}
		})
	}
}
