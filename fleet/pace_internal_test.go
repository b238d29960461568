package fleet

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"apricotrouter/placement"
	"apricotrouter/state"
)

// Guards against a tail that is put down to the load of a serving task while
// it still shows a neighbour that has just ended.
func TestMeasuresStillShowANeighbourThatEnded(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	c := New(Options{Clock: clock, Limits: Limits{PaceDelay: 100 * time.Millisecond}})
	s := newSession(state.PoolWorker{ID: "w", Capacity: state.Resources{MilliCPU: 10000}}, unreachable{})
	a := &attempt{session: s, task: &task{step: &state.WorkflowStep{Leftover: true, Image: "l"}}}
	a.measures.seen, a.measures.value = true, 5000
	c.noteDeparture(a)

	clock.Advance(measureLag / 5)
	around := c.surroundings(s, nil, c.now())
	g.Expect(around.uses).To(HaveKeyWithValue("l", BeNumerically("~", 0.4, 1e-9)))
	g.Expect(around.changing).To(BeNumerically("~", 0.5, 1e-9))

	clock.Advance(measureLag)
	around = c.surroundings(s, nil, c.now())
	g.Expect(around.uses).To(BeEmpty())
	g.Expect(around.changing).To(BeZero())
}

// beside returns a controller that knows that "l" disturbs "s" heavily, and a
// worker with one task of each.
func beside(t *testing.T, clock clockwork.Clock) (*Controller, *session, *attempt, *attempt) {
	c := New(Options{Clock: clock, Limits: Limits{PaceDelay: 100 * time.Millisecond, MaxOverTarget: 4 * time.Second}})
	c.ctx = t.Context()
	c.pressure = placement.RestorePressure(&state.SetPressures{
		Images: []state.ServingImage{{
			Image: "s", FloorMillis: 10, Load: 0.4,
			Pressures: []state.ImagePressure{{Leftover: "harmless"}, {Leftover: "l", Value: 2}},
		}},
	})
	s := newSession(state.PoolWorker{ID: "w", Capacity: state.Resources{MilliCPU: 10000}}, unreachable{})
	f := &flow{spec: &state.WorkflowSpec{}, loads: make([]placement.Load, 1)}
	run := func(index int, step state.WorkflowStep) *attempt {
		step.Size = state.Resources{MilliCPU: 5000}
		a := &attempt{
			phase: attemptRunning, startedAt: c.now(), measures: measures{pace: full},
			task: &task{flow: f, pos: state.TaskPosition{Index: index}, step: &step},
		}
		s.add(a)
		return a
	}
	serving := run(0, state.WorkflowStep{LongRunning: true, TailMillis: 50, Image: "s"})
	return c, s, serving, run(1, state.WorkflowStep{Leftover: true, Image: "l"})
}

// Guards against neighbours that work on at full speed while a serving task
// starts beside them.
func TestNewServingTaskIsSparedFromItsStart(t *testing.T) {
	g := NewWithT(t)
	c, s, _, neighbour := beside(t, clockwork.NewFakeClock())
	c.observe(s)
	g.Expect(neighbour.measures.pace).To(BeNumerically("<", full))
}

// Guards against a serving task that stays over its target for longer than
// neighbours may keep it there, because the estimates clear them.
func TestNeighboursAreHeldWhenATailStaysOverItsTarget(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	c, s, serving, neighbour := beside(t, clock)
	neighbour.task.step.Image = "harmless"
	serving.measures.value = 51
	for range 3 {
		c.observe(s)
		g.Expect(neighbour.measures.pace).To(Equal(full))
		clock.Advance(400 * time.Millisecond)
	}
	neighbour.task.step.Image = "hardly harmful"
	c.pressure = placement.RestorePressure(&state.SetPressures{
		Images: []state.ServingImage{{
			Image: "s", FloorMillis: 10, Load: 0.4, Pressures: []state.ImagePressure{{Leftover: "hardly harmful", Value: 0.01}},
		}},
	})
	c.observe(s)
	g.Expect(neighbour.measures.pace).To(BeZero())
	g.Expect(clock.Since(c.started)).To(BeNumerically("<", 2*time.Second))
}

// Guards against a leader with a long queue that spends all its time on
// placement: after a round the workers come first.
func TestRoundsOfPlacementPause(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	c, _, _, _ := beside(t, clock)
	c.dirty, c.nextRound = true, time.Second
	g.Expect(c.roundDue()).To(BeFalse())
	clock.Advance(time.Second)
	g.Expect(c.roundDue()).To(BeTrue())
	c.dirty = false
	g.Expect(c.roundDue()).To(BeFalse(), "nothing has changed")
}
