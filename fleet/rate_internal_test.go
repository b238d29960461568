package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"apricotrouter/placement"
	"apricotrouter/state"
)

// Guards against a tail latency that is attributed to the load of a serving
// task although the measurement window still includes a co-located task that
// has just ended.
func TestMeasurementWindowIncludesEndedTasks(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	c := New(Options{Clock: clock, Limits: Limits{RateDelay: 100 * time.Millisecond}})
	s := newSession(state.PoolWorker{ID: "w", Capacity: state.Resources{MilliCPU: 10000}}, unreachableWorker{})
	a := &attempt{session: s, task: &task{step: &state.WorkflowStep{BestEffort: true, Image: "l"}}}
	a.runStats.reported, a.runStats.measure = true, 5000
	c.recordExit(a)

	clock.Advance(measureWindow / 5)
	load := c.colocatedLoad(s, nil, c.now())
	g.Expect(load.uses).To(HaveKeyWithValue("l", BeNumerically("~", 0.4, 1e-9)))
	g.Expect(load.changingShare).To(BeNumerically("~", 0.5, 1e-9))

	clock.Advance(measureWindow)
	load = c.colocatedLoad(s, nil, c.now())
	g.Expect(load.uses).To(BeEmpty())
	g.Expect(load.changingShare).To(BeZero())
}

// newInterferingTasks returns a controller with a high interference coefficient
// of image "l" on image "s", and a worker with one task of each.
func newInterferingTasks(t *testing.T, clock clockwork.Clock) (*Controller, *session, *attempt, *attempt) {
	c := New(Options{Clock: clock, Limits: Limits{RateDelay: 100 * time.Millisecond, MaxOverTarget: 4 * time.Second}})
	c.ctx = t.Context()
	c.interference = placement.RestoreInterferenceModel(&state.SetInterference{
		Images: []state.ServingImage{{
			Image: "s", MinTailMillis: 10, Load: 0.4,
			Interference: []state.ImageInterference{{BestEffort: "harmless"}, {BestEffort: "l", Value: 2}},
		}},
	})
	s := newSession(state.PoolWorker{ID: "w", Capacity: state.Resources{MilliCPU: 10000}}, unreachableWorker{})
	f := &workflow{spec: &state.WorkflowSpec{}, loads: make([]placement.Load, 1)}
	run := func(index int, step state.WorkflowStep) *attempt {
		step.Size = state.Resources{MilliCPU: 5000}
		a := &attempt{
			phase: attemptRunning, startedAt: c.now(), runStats: runStats{rate: fullRate},
			task: &task{workflow: f, pos: state.TaskPosition{Index: index}, step: &step},
		}
		s.add(a)
		return a
	}
	serving := run(0, state.WorkflowStep{LongRunning: true, TailMillis: 50, Image: "s"})
	return c, s, serving, run(1, state.WorkflowStep{BestEffort: true, Image: "l"})
}

// Guards against co-located tasks that stay at the full rate while a serving
// task starts.
func TestCoLocatedTasksAreRateLimitedDuringStartup(t *testing.T) {
	g := NewWithT(t)
	c, s, _, bestEffort := newInterferingTasks(t, clockwork.NewFakeClock())
	c.observeWorker(s)
	g.Expect(bestEffort.runStats.rate).To(BeNumerically("<", fullRate))
}

// Guards against a serving task that stays above its target for longer than
// MaxOverTarget, because the estimated interference of its co-located tasks is
// too low.
func TestCoLocatedTasksArePausedAboveTarget(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	c, s, serving, bestEffort := newInterferingTasks(t, clock)
	bestEffort.task.step.Image = "harmless"
	serving.runStats.measure = 51
	for range 3 {
		c.observeWorker(s)
		g.Expect(bestEffort.runStats.rate).To(Equal(fullRate))
		clock.Advance(400 * time.Millisecond)
	}
	bestEffort.task.step.Image = "hardly harmful"
	c.interference = placement.RestoreInterferenceModel(&state.SetInterference{
		Images: []state.ServingImage{{
			Image: "s", MinTailMillis: 10, Load: 0.4, Interference: []state.ImageInterference{{BestEffort: "hardly harmful", Value: 0.01}},
		}},
	})
	c.observeWorker(s)
	g.Expect(bestEffort.runStats.rate).To(BeZero())
	g.Expect(clock.Since(c.started)).To(BeNumerically("<", 2*time.Second))
}

// Guards against a leader with a long queue that spends all its time on
// placement: after a pass, worker calls come first.
func TestPlacementPassesAreSpaced(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	c, _, _, _ := newInterferingTasks(t, clock)
	c.dirty, c.nextPass = true, time.Second
	g.Expect(c.passDue()).To(BeFalse())
	clock.Advance(time.Second)
	g.Expect(c.passDue()).To(BeTrue())
	c.dirty = false
	g.Expect(c.passDue()).To(BeFalse(), "no change since the last pass")
}

// rateWorker answers changes of the execution rate with an error, if it has one.
type rateWorker struct {
	unreachableWorker
	err   error
	rates chan int
}

func (w rateWorker) SetRate(_ context.Context, c SetRateCall) error {
	w.rates <- c.Percent
	return w.err
}

// awaitRateCall runs the controller's work until a change of the rate of the run
// has been answered.
func awaitRateCall(g *WithT, c *Controller, a *attempt) {
	for a.runStats.rateCallPending {
		var f func()
		g.Eventually(c.inbox, 5*time.Second).Should(Receive(&f))
		f()
	}
}

// Guards against serving tasks that are harmed by a run that works faster than
// the leader assumes: after a call without a response, either rate may be in
// force. A call that had no effect leaves the previous rate.
func TestHigherRateIsAssumedIfARateIsNotKnown(t *testing.T) {
	for name, c := range map[string]struct {
		err              error
		before, rate     int
		assumed          int
		unknownAfterward bool
	}{
		"increase, no response": {context.DeadlineExceeded, 30, 80, 80, true},
		"decrease, no response": {context.DeadlineExceeded, 80, 30, 80, true},
		"increase, refused":     {&RefusedError{Reason: RefusedFence}, 30, 80, 30, false},
		"decrease, not sent":    {&NotSentError{Err: context.DeadlineExceeded}, 80, 30, 80, false},
		"increase":              {nil, 30, 80, 80, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			controller, s, _, a := newInterferingTasks(t, clockwork.NewFakeClock())
			defer controller.callPool.close()
			s.api = rateWorker{err: c.err, rates: make(chan int, 1)}
			a.runStats.rate = c.before
			controller.setRate(a, c.rate)
			awaitRateCall(g, controller, a)
			g.Expect(a.runStats.rate).To(Equal(c.assumed))
			g.Expect(a.runStats.rateUnknown).To(Equal(c.unknownAfterward))
		})
	}
}

// Guards against a run that starts at the full rate although it was placed at a
// lower one, and against a low rate that is assumed after its call had no
// effect.
func TestStartRateIsSentAfterTheStart(t *testing.T) {
	g := NewWithT(t)
	c, s, _, a := newInterferingTasks(t, clockwork.NewFakeClock())
	defer c.callPool.close()
	rates := make(chan int, 1)
	s.api = rateWorker{rates: rates}
	a.phase = attemptStarting
	a.runStats.startAt(40)
	c.handleStartResponse(a, c.now(), nil)
	g.Eventually(rates, 5*time.Second).Should(Receive(Equal(40)))
	awaitRateCall(g, c, a)
	g.Expect(a.runStats.rate).To(Equal(40))

	s.api = rateWorker{rates: rates, err: &RefusedError{Reason: RefusedFence}}
	c.sendStartRate(a)
	awaitRateCall(g, c, a)
	g.Expect(a.runStats.rate).To(Equal(fullRate))
}

// Guards against a run with a checkpoint that moves from worker to worker: one
// that was placed below the full rate found no better worker.
func TestRunPlacedAtAReducedRateIsNotMoved(t *testing.T) {
	for name, c := range map[string]struct {
		startRate int
		moved     bool
	}{"full rate": {fullRate, true}, "reduced rate": {60, false}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			controller, s, _, bestEffort := newInterferingTasks(t, clockwork.NewFakeClock())
			defer controller.callPool.close()
			bestEffort.task.step.Checkpoints = true
			bestEffort.runStats.startAt(c.startRate)
			bestEffort.runStats.rate = fullRate
			controller.observeWorker(s)
			g.Expect(bestEffort.stopping).To(Equal(c.moved))
		})
	}
}
