package runtimes_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/runtimes"
)

// poorQuantiles are the quantiles of actual over declared run times that were
// measured on a pool with waiting work, with assumed ends.
var poorQuantiles = [][2]float64{{0, 0.35}, {0.1, 0.57}, {0.5, 1.21}, {0.9, 2.77}, {0.99, 7.8}, {1, 12}}

// poor returns the ratio at a quantile.
func poor(q float64) float64 {
	for i, p := range poorQuantiles[1:] {
		if low := poorQuantiles[i]; q <= p[0] {
			f := (q - low[0]) / (p[0] - low[0])
			return low[1] * math.Pow(p[1]/low[1], f)
		}
	}
	return poorQuantiles[len(poorQuantiles)-1][1]
}

// good returns the ratio at a quantile if declarations are right within a few
// percent.
func good(q float64) float64 {
	return math.Exp(0.05 * math.Sqrt2 * math.Erfinv(2*min(0.999, max(0.001, q))-1))
}

// load generates the runs of steps of tasks.
type load struct {
	rand        *rand.Rand
	ratio       func(q float64) float64
	correlation float64 // of the ratios within a step, as normal scores
	declared    func() int64
	step        uint64
}

func newLoad(seed uint64, ratio func(float64) float64, correlation float64) *load {
	r := rand.New(rand.NewPCG(seed, 1))
	return &load{rand: r, ratio: ratio, correlation: correlation, declared: func() int64 { return 600 + r.Int64N(1600) }}
}

// next returns the declared run time of a step and the actual ones of its tasks.
func (l *load) next(tasks int) (declared int64, actual []int64) {
	l.step++
	declared = l.declared()
	common := l.rand.NormFloat64()
	for range tasks {
		z := math.Sqrt(l.correlation)*common + math.Sqrt(1-l.correlation)*l.rand.NormFloat64()
		q := 0.5 * math.Erfc(-z/math.Sqrt2)
		actual = append(actual, max(1, int64(float64(declared)*l.ratio(q))))
	}
	return declared, actual
}

var key = runtimes.Key{Queue: "batch", Image: "a", Size: runtimes.SizeRange(1800)}

// errors are the distances of estimates from the truth, as factors in logarithms.
type errors []float64

func (e *errors) add(estimate, truth int64) {
	*e = append(*e, math.Abs(math.Log(float64(estimate)/float64(truth))))
}

func (e errors) median() float64 {
	slices.Sort(e)
	return e[len(e)/2]
}

// runInterval is the time between runs in milliseconds. At high load, a queue
// completes 900 runs a second, of some twenty images and size ranges.
const runInterval = 25

// play lets a model learn from steps of ten tasks.
type play struct {
	model   *runtimes.Model
	now     int64
	changes int
}

func (p *play) steps(l *load, n int, visit func(declared int64, actual []int64)) {
	for range n {
		declared, actual := l.next(10)
		if visit != nil {
			visit(declared, actual)
		}
		for _, a := range actual {
			if p.model.Observe(key, l.step, declared, a, p.now) != nil {
				p.changes++
			}
			p.now += runInterval
		}
	}
}

// Guards against decisions that take the end of a wide step for its declared
// run time where declarations are poor.
func TestPoorDeclarationsAreCorrected(t *testing.T) {
	for _, correlation := range []float64{0, 0.5, 0.9} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("correlation=%v/seed=%d", correlation, seed), func(t *testing.T) {
				g := NewWithT(t)
				p := play{model: runtimes.NewModel()}
				l := newLoad(seed, poor, correlation)
				p.steps(l, 40, nil)
				var declaredLargest, largest errors
				var below50, below90, runs float64
				var sum, expected int64
				p.steps(l, 2000, func(declared int64, actual []int64) {
					e := p.model.Estimate(key, declared)
					truth := slices.Max(actual)
					declaredLargest.add(declared, truth)
					largest.add(e.LargestOf(len(actual)), truth)
					for _, a := range actual {
						runs++
						sum += a
						expected += e.Mean()
						if a <= e.Quantile(0.5) {
							below50++
						}
						if a <= e.Quantile(0.9) {
							below90++
						}
					}
				})
				t.Logf("largest of a step: error %.2f declared, %.2f learned; below p50 %.3f, p90 %.3f; mean %.3f; changes %d",
					declaredLargest.median(), largest.median(), below50/runs, below90/runs, float64(expected)/float64(sum), p.changes)
				g.Expect(largest.median()).To(BeNumerically("<", 0.9*declaredLargest.median()))
				g.Expect(below50 / runs).To(BeNumerically("~", 0.5, 0.05))
				g.Expect(below90 / runs).To(BeNumerically("~", 0.9, 0.03))
				g.Expect(float64(expected) / float64(sum)).To(BeNumerically("~", 1, 0.1))
			})
		}
	}
}

// Guards against steps whose runs are alike being taken for an abrupt change,
// after which the distribution would be that of a few steps.
func TestStepsThatDifferAreNoChange(t *testing.T) {
	for _, correlation := range []float64{0, 0.5, 0.9} {
		g := NewWithT(t)
		p := play{model: runtimes.NewModel()}
		p.steps(newLoad(7, poor, correlation), 5000, nil)
		t.Logf("correlation %v: %d changes in 5000 steps", correlation, p.changes)
		g.Expect(p.changes).To(BeNumerically("<=", 5))
	}
}

// Guards against estimates that are worse than good declarations.
func TestGoodDeclarationsAreKept(t *testing.T) {
	exact := func(float64) float64 { return 1 }
	for name, ratio := range map[string]func(float64) float64{"exact": exact, "5 percent": good} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%s/seed=%d", name, seed), func(t *testing.T) {
				g := NewWithT(t)
				p := play{model: runtimes.NewModel()}
				var declaredLargest, largest, declaredTask, task errors
				p.steps(newLoad(seed, ratio, 0.3), 1000, func(declared int64, actual []int64) {
					e := p.model.Estimate(key, declared)
					truth := slices.Max(actual)
					declaredLargest.add(declared, truth)
					largest.add(e.LargestOf(len(actual)), truth)
					for _, a := range actual {
						declaredTask.add(declared, a)
						task.add(e.Quantile(0.5), a)
					}
					const spread = 0.05 // of the good declarations
					g.Expect(e.Mean()).To(BeNumerically("~", declared, float64(declared)*spread))
					g.Expect(e.Quantile(0.5)).To(BeNumerically("~", declared, float64(declared)*spread))
				})
				const rounding = 0.011 // half a bin
				g.Expect(largest.median()).To(BeNumerically("<=", declaredLargest.median()+rounding))
				g.Expect(task.median()).To(BeNumerically("<=", declaredTask.median()+rounding))
				g.Expect(p.changes).To(BeZero())
			})
		}
	}
}

// Guards against estimates of the previous version of an image after a release:
// they have to be right again within 5 s.
func TestReleaseIsLearnedWithinSeconds(t *testing.T) {
	for name, ratio := range map[string]func(float64) float64{"good": good, "poor": poor} {
		for _, factor := range []float64{3, 1.0 / 3} {
			for _, correlation := range []float64{0, 0.5} {
				for seed := range uint64(5) {
					t.Run(fmt.Sprintf("%s/factor=%.2f/correlation=%v/seed=%d", name, factor, correlation, seed), func(t *testing.T) {
						g := NewWithT(t)
						p := play{model: runtimes.NewModel()}
						p.steps(newLoad(seed, ratio, correlation), 200, nil)
						median := float64(p.model.Estimate(key, 1000).Quantile(0.5))
						const steps = 5000 / (10 * runInterval)
						p.steps(newLoad(seed+100, func(q float64) float64 { return factor * ratio(q) }, correlation), steps, nil)
						after := p.model.Estimate(key, 1000)
						t.Logf("median %.0f to %d, changes %d", median, after.Quantile(0.5), p.changes)
						g.Expect(float64(after.Quantile(0.5)) / median / factor).To(And(BeNumerically(">", 0.6), BeNumerically("<", 1.6)))
						g.Expect(p.changes).To(BeNumerically(">=", 1))
					})
				}
			}
		}
	}
}

// Guards against trust in declarations that say nothing about the run time.
func TestDeclarationsThatPredictNothingAreIgnored(t *testing.T) {
	g := NewWithT(t)
	m, r := runtimes.NewModel(), rand.New(rand.NewPCG(3, 1))
	actual := func() int64 { return int64(2000 * math.Exp(0.2*r.NormFloat64())) }
	declared := func() int64 { return int64(500 * math.Pow(16, r.Float64())) }
	for i := range 2000 {
		m.Observe(key, uint64(i/10), declared(), actual(), int64(i)*50)
	}
	var byDeclaration, learned errors
	for range 1000 {
		d, a := declared(), actual()
		byDeclaration.add(d, a)
		learned.add(m.Estimate(key, d).Quantile(0.5), a)
	}
	e := m.Estimate(key, 1000)
	t.Logf("trust %.2f, error %.2f declared, %.2f learned", e.Trust(), byDeclaration.median(), learned.median())
	g.Expect(e.Trust()).To(BeNumerically("<", 0.3))
	g.Expect(learned.median()).To(BeNumerically("<", byDeclaration.median()/2))
}

// Guards against a distribution that is biased by runs that resumed, were
// rate-limited or ran on a slow worker: with all three it must be that of the
// ordinary runs.
func TestOtherRunsDoNotBiasTheDistribution(t *testing.T) {
	for seed := range uint64(5) {
		g := NewWithT(t)
		r := rand.New(rand.NewPCG(seed, 1))
		l := newLoad(seed, poor, 0.3)
		all, ordinary, raw := runtimes.NewModel(), runtimes.NewModel(), runtimes.NewModel()
		now := int64(0)
		for range 400 {
			declared, actual := l.next(10)
			for _, a := range actual {
				now += 50
				ordinary.Observe(key, l.step, declared, a, now)
				run := runtimes.FullRun{Millis: a, Slowdown: 1}
				switch r.IntN(6) {
				case 0:
					run.DonePercent = 10 + r.IntN(80)
					run.Millis = a * int64(100-run.DonePercent) / 100
				case 1:
					run.Millis, run.ReducedMillis = a*10/7, a*3/7 // at 70%
				case 2:
					run.Millis, run.Slowdown = 3*a, 3
				}
				raw.Observe(key, l.step, declared, run.Millis, now)
				if whole, ok := run.ActualMillis(); ok {
					all.Observe(key, l.step, declared, whole, now)
				}
			}
		}
		want, got, biased := ordinary.Estimate(key, 1000), all.Estimate(key, 1000), raw.Estimate(key, 1000)
		t.Logf("seed %d: mean %d, %d with other runs, %d uncorrected", seed, want.Mean(), got.Mean(), biased.Mean())
		for _, q := range []float64{0.1, 0.5, 0.9} {
			g.Expect(float64(got.Quantile(q))).To(BeNumerically("~", want.Quantile(q), 0.12*float64(want.Quantile(q))))
		}
		g.Expect(float64(got.Mean())).To(BeNumerically("~", want.Mean(), 0.1*float64(want.Mean())))
	}
}

// Guards against runs that say too little about the whole task.
func TestRunsThatAreNotCounted(t *testing.T) {
	for name, r := range map[string]runtimes.FullRun{
		"nearly done when it resumed": {Millis: 100, DonePercent: 90},
		"paused nearly all the time":  {Millis: 1000, ReducedMillis: 900},
		"without duration":            {},
	} {
		t.Run(name, func(t *testing.T) {
			_, ok := r.ActualMillis()
			NewWithT(t).Expect(ok).To(BeFalse())
		})
	}
}

// Guards against estimates from too few runs, from other keys alone where the
// key has runs, and from runs of the distant past.
func TestEvidenceIsByKeyAndAges(t *testing.T) {
	g := NewWithT(t)
	m := runtimes.NewModel()
	g.Expect(m.Estimate(key, 1000).LargestOf(20)).To(BeEquivalentTo(1000))
	for i := range 7 {
		m.Observe(key, uint64(i), 1000, 4000, int64(i))
	}
	g.Expect(m.Estimate(key, 1000).Mean()).To(BeEquivalentTo(1000))
	other := runtimes.Key{Queue: key.Queue, Image: "b", Size: key.Size}
	for i := range 100 {
		m.Observe(key, uint64(i), 1000, 4000, int64(i))
	}
	g.Expect(m.Estimate(other, 1000).Mean()).To(BeNumerically(">", 3500), "image without runs")
	for i := range 100 {
		m.Observe(other, uint64(1000+i), 1000, 1000, int64(100+i))
	}
	g.Expect(m.Estimate(other, 1000).Mean()).To(BeNumerically("~", 1000, 20))
	g.Expect(m.Estimate(key, 1000).Mean()).To(BeNumerically("~", 3900, 200))
	unrelated := runtimes.Key{Queue: "other", Image: "a", Size: key.Size}
	g.Expect(m.Estimate(unrelated, 1000).Mean()).To(BeEquivalentTo(1000))
	m.Observe(unrelated, 1, 1000, 1000, 600_000)
	g.Expect(m.Estimate(key, 1000).Mean()).To(BeEquivalentTo(1000), "after ten minutes without runs")
}

// Guards against the tasks of a step that have ended saying nothing about those
// that have not.
func TestEndedTasksOfAStepCorrectItsEstimate(t *testing.T) {
	g := NewWithT(t)
	p := play{model: runtimes.NewModel()}
	l := newLoad(1, poor, 0.8)
	p.steps(l, 200, nil)
	var before, given errors
	p.steps(l, 500, func(declared int64, actual []int64) {
		e, logs := p.model.Estimate(key, declared), 0.0
		for _, a := range actual[:5] {
			logs += math.Log(float64(a))
		}
		step := e.Given(5, math.Exp(logs/5))
		for _, a := range actual[5:] {
			before.add(e.Quantile(0.5), a)
			given.add(step.Quantile(0.5), a)
		}
	})
	t.Logf("error %.2f without, %.2f with the first five tasks", before.median(), given.median())
	g.Expect(given.median()).To(BeNumerically("<", 0.7*before.median()))
}

// Guards against memory that grows with the number of keys.
func TestKeysAreBounded(t *testing.T) {
	g := NewWithT(t)
	m := runtimes.NewModel()
	for i := range 5000 {
		m.Observe(runtimes.Key{Queue: "q", Image: fmt.Sprint(i)}, uint64(i), 1000, 1000, int64(i))
	}
	g.Expect(m.Len()).To(BeNumerically("<=", 512))
}

// Guards against input that is not a run time, and against sums that overflow
// or lose precision over a day.
func TestOddAndManyRuns(t *testing.T) {
	g := NewWithT(t)
	m := runtimes.NewModel()
	g.Expect(m.Observe(key, 1, 0, 100, 1)).To(BeNil())
	g.Expect(m.Observe(key, 1, 100, 0, 1)).To(BeNil())
	g.Expect(m.Estimate(key, -5).Mean()).To(BeZero())
	for i := range 200_000 {
		m.Observe(key, uint64(i/10), math.MaxInt64, 1, int64(i)*500)
	}
	for i := range 200_000 {
		m.Observe(key, uint64(i/10), 1000, 2000, int64(200_000+i)*500)
	}
	e := m.Estimate(key, 1000)
	g.Expect(e.Mean()).To(BeNumerically("~", 2000, 60))
	g.Expect(e.Quantile(0.99)).To(BeNumerically("~", 2000, 100))
}

// Guards against a slow worker that is not noticed, and a worker that is taken
// for slow because one run in 33 takes seven times as long or because run times
// change everywhere.
func TestSlowWorkersAreFound(t *testing.T) {
	for seed := range uint64(10) {
		g := NewWithT(t)
		r := rand.New(rand.NewPCG(seed, 1))
		w := runtimes.NewWorkers()
		const workers, slow = 100, 10
		for i := range workers * 12 {
			worker := i % workers
			ratio := math.Exp(0.3 * r.NormFloat64())
			if r.IntN(33) == 0 {
				ratio *= 7
			}
			if worker < slow {
				ratio *= 3
			}
			if i > workers*8 {
				ratio *= 1.5 // for all workers
			}
			w.Observe(fmt.Sprint(worker), ratio, int64(i))
		}
		found, wrong := 0, 0
		for i := range workers {
			if w.Slowdown(fmt.Sprint(i), workers*12) > 1 {
				if i < slow {
					found++
				} else {
					wrong++
				}
			}
		}
		t.Logf("seed %d: found %d of %d slow workers, %d others", seed, found, slow, wrong)
		g.Expect(found).To(BeNumerically(">=", slow-1))
		g.Expect(wrong).To(BeNumerically("<=", 2))
		g.Expect(w.Slowdown("0", 300_000)).To(BeEquivalentTo(1), "long ago")
	}
}

// BenchmarkObserve measures the cost of one completed run.
func BenchmarkObserve(b *testing.B) {
	l := newLoad(1, poor, 0.3)
	m := runtimes.NewModel()
	declared, actual := l.next(1000)
	now := int64(0)
	for i := 0; b.Loop(); i++ {
		now++
		m.Observe(key, uint64(i/10), declared, actual[i%len(actual)], now)
	}
}

// BenchmarkEstimate measures what the order of the waiting workflows costs for
// one step: 10,000 waiting tasks in steps of ten need 1,000 of these in a
// placement pass.
func BenchmarkEstimate(b *testing.B) {
	p := play{model: runtimes.NewModel()}
	p.steps(newLoad(1, poor, 0.3), 200, nil)
	for b.Loop() {
		p.model.Estimate(key, 1000).LargestOf(10)
	}
}
