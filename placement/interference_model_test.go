package placement_test

import (
	"math"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/placement"
	"apricotrouter/state"
)

// simulatedWorker is a worker that behaves as the interference model assumes:
// the tail latency of a serving task grows like that of a queue, and only one
// pair of images interferes heavily.
type simulatedWorker struct {
	floor       float64
	interfering [2]string
	rng         *rand.Rand
	seconds     float64 // current time
}

func (w *simulatedWorker) coefficient(serving, bestEffort string) float64 {
	if serving == w.interfering[0] && bestEffort == w.interfering[1] {
		return 1.2
	}
	return 0.1
}

// loadAt returns a load that oscillates between 0.2 and 0.7.
func loadAt(seconds float64) float64 {
	const mean, amplitude, period = 0.45, 0.25, 14.0
	return mean + amplitude*math.Sin(2*math.Pi*seconds/period)
}

// tail returns the tail latency of a serving image at the current time, in
// milliseconds.
func (w *simulatedWorker) tail(serving string, uses map[string]float64) int64 {
	u := loadAt(w.seconds)
	for image, use := range uses {
		u += w.coefficient(serving, image) * use
	}
	return int64(w.floor / math.Max(0.01, 1-u) * (0.95 + 0.1*w.rng.Float64()))
}

// sample returns a sample of a serving task at the current time.
func (w *simulatedWorker) sample(serving string, uses map[string]float64) placement.TailSample {
	return placement.TailSample{
		Image: serving, AtMillis: int64(w.seconds * 1000), TailMillis: w.tail(serving, uses), TargetMillis: 50, Uses: uses,
	}
}

// Guards against an interference model that confuses the pairs that interfere
// with those that do not while the load of the serving tasks varies.
func TestModelIdentifiesInterferingPair(t *testing.T) {
	g := NewWithT(t)
	w := &simulatedWorker{floor: 10, interfering: [2]string{"s1", "l2"}, rng: rand.New(rand.NewPCG(1, 2))}
	p := placement.NewInterferenceModel()
	loads := make(map[string]*placement.Load)
	for i := range 400 {
		w.seconds += 0.25
		image := []string{"l1", "l2", "l3"}[i%3]
		uses := map[string]float64{image: 0.1 + 0.2*w.rng.Float64()}
		for _, serving := range []string{"s1", "s2"} {
			if loads[serving] == nil {
				loads[serving] = new(placement.Load)
			}
			p.Observe(loads[serving], w.sample(serving, uses))
		}
	}
	g.Expect(p.Coefficient("s1", "l2")).To(BeNumerically(">", 0.6))
	for _, pair := range [][2]string{{"s1", "l1"}, {"s1", "l3"}, {"s2", "l1"}, {"s2", "l2"}, {"s2", "l3"}} {
		g.Expect(p.Coefficient(pair[0], pair[1])).To(BeNumerically("<", 0.45), "%v", pair)
	}
}

// Guards against a forecast that lags behind an oscillating load. The samples
// of a step's six tasks arrive in turn, one every 120 ms, and the load one
// second later is predicted.
func TestLoadFilterPredictsOscillation(t *testing.T) {
	g := NewWithT(t)
	w := &simulatedWorker{floor: 10, rng: rand.New(rand.NewPCG(5, 6))}
	p := placement.NewInterferenceModel()
	var l placement.Load
	forecast, unpredicted := 0.0, 0.0
	const reports = 400
	for i := range reports {
		w.seconds = float64(i) * 0.12
		p.Observe(&l, w.sample("s", nil))
		if i < 50 {
			continue
		}
		now := int64(w.seconds * 1000)
		// The floor in the model is the tail latency observed at the minimum
		// load.
		const minLoad = 0.2
		expected := (loadAt(w.seconds+1) - minLoad) / (1 - minLoad)
		forecast += math.Abs(l.Predict(now+1000, 0) - expected)
		unpredicted += math.Abs(l.Predict(now, 0) - expected)
	}
	g.Expect(forecast).To(BeNumerically("<", 0.8*unpredicted))
}

// Guards against a tail latency measured before a change that is attributed to
// the change: a sample taken during a change has a lower weight.
func TestSamplesDuringAChangeCountForLess(t *testing.T) {
	g := NewWithT(t)
	learned := func(changing float64) float64 {
		p := placement.NewInterferenceModel()
		var l placement.Load
		p.Observe(&l, placement.TailSample{
			Image: "s", TailMillis: 200, TargetMillis: 50, Uses: map[string]float64{"l": 0.3}, Changing: changing,
		})
		return p.Coefficient("s", "l") - placement.NewInterferenceModel().Coefficient("s", "l")
	}
	g.Expect(learned(0.3)).To(BeNumerically("<", 0.8*learned(0)))
}

// Guards against a serving task that stays over its target, and against a
// co-located task that stays slowed although no serving task is over its limit.
// A worker with an interfering and a harmless co-located task is simulated
// under an oscillating load.
func TestExecutionRatesKeepTargetAndSpareHarmlessTasks(t *testing.T) {
	g := NewWithT(t)
	w := &simulatedWorker{floor: 10, interfering: [2]string{"s", "bad"}, rng: rand.New(rand.NewPCG(3, 4))}
	p := placement.NewInterferenceModel()
	var l placement.Load
	tasks := []placement.CoLocatedTask{
		{Image: "bad", Use: 0.25, Percent: 100},
		{Image: "good", Use: 0.25, Percent: 100},
	}
	overTarget, consecutive, longest, harmlessRates, interferingRates := 0, 0, 0, 0, 0
	const reports = 300
	for range reports {
		w.seconds++
		uses := make(map[string]float64)
		for _, n := range tasks {
			uses[n.Image] += n.Use * float64(n.Percent) / 100
		}
		sample := w.sample("s", uses)
		p.Observe(&l, sample)
		u := l.PredictMax(sample.AtMillis, sample.AtMillis+1000, 0)
		for image, use := range uses {
			u += p.Coefficient("s", image) * use
		}
		servingTask := placement.ServingTask{Image: "s", Utilisation: u, Limit: p.Limit("s", 50)}
		for i, rate := range placement.ExecutionRates(p, []placement.ServingTask{servingTask}, tasks) {
			tasks[i].Percent = rate
		}
		consecutive++
		if sample.TailMillis <= 50 {
			consecutive = 0
		} else {
			overTarget++
		}
		longest = max(longest, consecutive)
		harmlessRates += tasks[1].Percent
		interferingRates += tasks[0].Percent
	}
	// A serving task may be over its target for 4 s because of a co-located
	// task, and reports arrive every second.
	g.Expect(longest).To(BeNumerically("<", 4))
	g.Expect(overTarget).To(BeNumerically("<", reports/5))
	g.Expect(harmlessRates).To(BeNumerically(">", interferingRates))
}

// Guards against co-located tasks that are slowed only after a serving task has
// missed its target, and against slowing more of them than needed.
func TestExecutionRatesFollowForecast(t *testing.T) {
	g := NewWithT(t)
	p := placement.NewInterferenceModel()
	tasks := []placement.CoLocatedTask{{Image: "a", Use: 0.3, Percent: 100}, {Image: "b", Use: 0.3, Percent: 100}}
	ratesAt := func(utilisation float64) []int {
		return placement.ExecutionRates(p, []placement.ServingTask{{Image: "s", Utilisation: utilisation, Limit: 0.7}}, tasks)
	}
	g.Expect(ratesAt(0.7)).To(Equal([]int{100, 100}))
	g.Expect(ratesAt(0.75)).To(Equal([]int{52, 100}))
	g.Expect(ratesAt(0.95)).To(Equal([]int{0, 0}))
}

func newWorker(cpu int64, options ...func(*placement.WorkerCapacity)) *placement.WorkerCapacity {
	r := &placement.WorkerCapacity{
		Zone: "z", Capacity: state.Resources{MilliCPU: 64000, MemoryMiB: 256000},
		Free: state.Resources{MilliCPU: cpu, MemoryMiB: 256000}, IdleCPU: cpu,
	}
	for _, option := range options {
		option(r)
	}
	return r
}

// Guards against choices that violate a limit of a step or ignore missing
// resources of a worker.
func TestChooseRoom(t *testing.T) {
	size := state.Resources{MilliCPU: 8000, MemoryMiB: 16000}
	serving := func(image string, headroom float64) func(*placement.WorkerCapacity) {
		return func(r *placement.WorkerCapacity) {
			r.AddServingTask(image, headroom)
		}
	}
	labelled := func(l ...string) func(*placement.WorkerCapacity) {
		return func(r *placement.WorkerCapacity) { r.Labels = l }
	}
	for name, c := range map[string]struct {
		workers  []*placement.WorkerCapacity
		step     state.WorkflowStep
		excluded func(int) bool
		want     int
	}{
		"the worker with the least CPU left":   {[]*placement.WorkerCapacity{newWorker(50000), newWorker(10000)}, state.WorkflowStep{Size: size}, nil, 1},
		"best effort: the least loaded worker": {[]*placement.WorkerCapacity{newWorker(10000), newWorker(50000)}, state.WorkflowStep{Size: size, BestEffort: true}, nil, 1},
		"no free capacity":                     {[]*placement.WorkerCapacity{newWorker(7000)}, state.WorkflowStep{Size: size}, nil, -1},
		"best effort: no reservation":          {[]*placement.WorkerCapacity{newWorker(7000)}, state.WorkflowStep{Size: size, BestEffort: true}, nil, 0},
		"best effort: waits for idle CPU": {
			[]*placement.WorkerCapacity{newWorker(3000, func(r *placement.WorkerCapacity) { r.BestEffort = 1 })},
			state.WorkflowStep{Size: size, BestEffort: true},
			nil, -1,
		},
		"label":    {[]*placement.WorkerCapacity{newWorker(20000), newWorker(60000, labelled("gpu"))}, state.WorkflowStep{Size: size, Label: "gpu"}, nil, 1},
		"data":     {[]*placement.WorkerCapacity{newWorker(20000), newWorker(60000, labelled("a", "r1"))}, state.WorkflowStep{Size: size, DataRack: "r1"}, nil, 1},
		"excluded": {[]*placement.WorkerCapacity{newWorker(20000), newWorker(60000)}, state.WorkflowStep{Size: size}, func(i int) bool { return i == 0 }, 1},
		"the fullest worker for a serving task": {
			[]*placement.WorkerCapacity{newWorker(60000), newWorker(20000, serving("y", 1))},
			state.WorkflowStep{Size: size, Image: "y", LongRunning: true, TailMillis: 50},
			nil, 1,
		},
		"a worker without serving tasks for a best-effort task": {
			[]*placement.WorkerCapacity{newWorker(60000, serving("x", 0.1)), newWorker(60000)},
			state.WorkflowStep{Size: state.Resources{MilliCPU: 16000}, BestEffort: true, Image: "l"},
			nil, 1,
		},
		"next to serving tasks for a task with a reservation": {
			[]*placement.WorkerCapacity{newWorker(60000), newWorker(50000, serving("x", 0.1))},
			state.WorkflowStep{Size: size},
			nil, 1,
		},
		"next to serving tasks with the same image": {[]*placement.WorkerCapacity{newWorker(40000, serving("x", 1)), newWorker(38000, serving("y", 1))}, state.WorkflowStep{Size: size, Image: "y", LongRunning: true, TailMillis: 50}, nil, 1},
		"a serving task without headroom": {
			[]*placement.WorkerCapacity{newWorker(60000, serving("x", 0)), newWorker(20000, serving("x", 0.5))},
			state.WorkflowStep{Size: size, BestEffort: true, Image: "l"},
			nil, 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			task := placement.PoolTask{Step: &c.step, InterferenceModel: placement.NewInterferenceModel(), Excluded: c.excluded}
			NewWithT(t).Expect(placement.ChooseWorker(c.workers, task)).To(Equal(c.want))
		})
	}
}

// BenchmarkObserve measures one sample with three co-located images, out of
// eighteen known images.
func BenchmarkObserve(b *testing.B) {
	p := placement.NewInterferenceModel()
	var l placement.Load
	names := make([]string, 18)
	for i := range names {
		names[i] = string(rune('a' + i))
	}
	uses := make(map[string]float64)
	for i := range b.N {
		clear(uses)
		for k := range 3 {
			uses[names[(i+5*k)%len(names)]] = 0.1
		}
		p.Observe(&l, placement.TailSample{
			Image: "s", AtMillis: int64(i) * 100, TailMillis: int64(20 + i%20), TargetMillis: 50, Uses: uses,
		})
	}
}

// Guards against a group of serving tasks whose headroom is not that of the
// task closest to its limit.
func TestServingTasksAreGroupedByImage(t *testing.T) {
	g := NewWithT(t)
	r := newWorker(60000, func(r *placement.WorkerCapacity) {
		r.AddServingTask("x", 0.4)
		r.AddServingTask("y", 0.3)
		r.AddServingTask("x", 0.1)
	})
	g.Expect(r.ServingGroups).To(ConsistOf(
		placement.ServingGroup{Image: "x", Count: 2, Headroom: 0.1}, placement.ServingGroup{Image: "y", Count: 1, Headroom: 0.3},
	))
	r.Reserve(placement.PoolTask{Step: &state.WorkflowStep{LongRunning: true, TailMillis: 50, Image: "x"}})
	g.Expect(r.ServingGroups).To(ContainElement(placement.ServingGroup{Image: "x", Count: 3}))
}
