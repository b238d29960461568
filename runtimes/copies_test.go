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

// unevenTask is a task of a step in a replay. Times are in milliseconds; ends[1]
// is that of its copy, 0 without one.
type unevenTask struct{ ends [2]int64 }

func (t unevenTask) end() int64 {
	if t.ends[1] > 0 {
		return min(t.ends[0], t.ends[1])
	}
	return t.ends[0]
}

// replaySteps runs steps of tasks with idle capacity, one after the other, and
// returns the mean of their durations and the number of copies. Reports of
// progress arrive every 700 ms, from 20 percent on.
func replaySteps(seed uint64, steps, tasks int, slowShare float64, copies bool) (mean float64, copied int) {
	r := rand.New(rand.NewPCG(seed, 1))
	m := runtimes.NewModel()
	const declared, restart, report = 1000, 150, 700
	draw := func() int64 {
		ratio := math.Exp(0.3 * r.NormFloat64())
		if r.IntN(33) == 0 {
			ratio *= 7
		}
		if r.Float64() < slowShare {
			ratio *= 3
		}
		return int64(declared * ratio)
	}
	now, sum := int64(0), int64(0)
	for n := range steps {
		running := make([]unevenTask, tasks)
		for i := range running {
			running[i].ends[0] = draw()
		}
		last := func() int64 {
			return slices.MaxFunc(running, func(a, b unevenTask) int { return int(a.end() - b.end()) }).end()
		}
		for at := int64(report); copies && at < last(); at += report {
			unfinished, logs := 0, 0.0
			for _, t := range running {
				if t.end() > at {
					unfinished++
				} else {
					logs += math.Log(float64(t.end()))
				}
			}
			e := m.Estimate(key, declared)
			if done := tasks - unfinished; done > 0 {
				e = e.Given(done, math.Exp(logs/float64(done)))
			}
			for i := range running {
				t := &running[i]
				if t.end() <= at || t.ends[1] > 0 || e.Runs() == 0 {
					continue
				}
				left := e.Left(at)
				if 5*at > t.ends[0] {
					left = t.ends[0] - at
				}
				if runtimes.CopyPays(runtimes.Straggler{
					Tasks: tasks, Unfinished: unfinished, RemainingMillis: left, ElsewhereMillis: e.Quantile(0.75), RestartMillis: restart,
				}) {
					t.ends[1] = at + restart + draw()
					copied++
				}
			}
		}
		for _, t := range running {
			m.Observe(key, uint64(n), declared, t.end(), now+t.end())
		}
		now += last()
		sum += last()
	}
	return float64(sum) / float64(steps), copied
}

// Guards against steps that wait for one run that takes seven times as long
// while capacity is idle, and against copies of ordinary runs.
func TestLastStragglersAreCopied(t *testing.T) {
	for _, slow := range []float64{0, 0.1} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("slow=%v/seed=%d", slow, seed), func(t *testing.T) {
				g := NewWithT(t)
				const steps, tasks = 1000, 20
				before, _ := replaySteps(seed, steps, tasks, slow, false)
				after, copied := replaySteps(seed, steps, tasks, slow, true)
				t.Logf("mean duration of a step %.0f ms without, %.0f ms with %d copies of %d runs", before, after, copied, steps*tasks)
				g.Expect(after).To(BeNumerically("<", 0.8*before))
				g.Expect(copied).To(BeNumerically("<", steps*tasks/8))
			})
		}
	}
}

// Guards against copies while the step doesn't wait for stragglers alone, and
// against a copy that ends no earlier.
func TestCopiesThatDoNotPay(t *testing.T) {
	pays := runtimes.Straggler{Tasks: 20, Unfinished: 1, RemainingMillis: 5000, ElsewhereMillis: 1000, RestartMillis: 150}
	g := NewWithT(t)
	g.Expect(runtimes.CopyPays(pays)).To(BeTrue())
	for name, change := range map[string]func(s *runtimes.Straggler){
		"tasks of the step wait": func(s *runtimes.Straggler) { s.Waiting = 1 },
		"half of it runs":        func(s *runtimes.Straggler) { s.Unfinished = 10 },
		"it is nearly done":      func(s *runtimes.Straggler) { s.RemainingMillis = 1100 },
	} {
		s := pays
		change(&s)
		g.Expect(runtimes.CopyPays(s)).To(BeFalse(), name)
	}
}

// Guards against a run without progress that is expected to end at once, or
// never.
func TestRemainingTimeOfARunWithoutProgress(t *testing.T) {
	g := NewWithT(t)
	p := play{model: runtimes.NewModel()}
	g.Expect(p.model.Estimate(key, 1000).Left(400)).To(BeEquivalentTo(600))
	p.steps(newLoad(1, poor, 0), 200, nil)
	e := p.model.Estimate(key, 1000)
	g.Expect(e.Left(0)).To(BeNumerically("~", e.Quantile(0.5), 30))
	g.Expect(e.Left(e.Quantile(0.5))).To(BeNumerically("~", e.Quantile(0.75)-e.Quantile(0.5), 60))
	g.Expect(e.Left(20_000)).To(BeEquivalentTo(20_000))
}
