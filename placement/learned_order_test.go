package placement_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/placement"
	"apricotrouter/runtimes"
)

// orderedJob is a workflow of one wide step in a replay of a pool with more work
// than fits. Times are in milliseconds.
type orderedJob struct {
	id                 string
	arrival, declared  int64
	deadline, late     int64
	runTimes           []int64 // of the tasks; those that have started come first
	started, completed int
}

// remaining returns what the order knows of the remaining time of a job: by the
// declared run time, or by learned ones as fleet uses them.
func (j *orderedJob) remaining(m *runtimes.Model) (millis int64, observed bool) {
	e := m.Estimate(orderKey, j.declared)
	if e.Runs() == 0 {
		return j.declared, false
	}
	return max(e.LargestOf(len(j.runTimes)-j.started), int64(placement.RemainingTimeFactor*float64(e.Quantile(0.5)))), true
}

var orderKey = runtimes.Key{Queue: "q", Image: "i"}

// orderedRun is a run in progress.
type orderedRun struct {
	end, took int64
	job       *orderedJob
}

// replayOrder runs jobs in the order of OrderJobs on a number of slots and
// returns their value: 1 in time, 0.15 late, and 0 after that.
func replayOrder(seed uint64, slots, jobs int, ratio func(z float64) float64, load float64, learn bool) float64 {
	const tasks, meanMillis = 20, 1400
	r := rand.New(rand.NewPCG(seed, 1))
	meanRatio := 0.0
	for range 10_000 {
		meanRatio += ratio(r.NormFloat64()) / 10_000
	}
	interval := float64(tasks*meanMillis) * meanRatio / (float64(slots) * load)
	m := runtimes.NewModel()
	waiting := make(map[string]*orderedJob)
	var running []orderedRun // by end
	value, now := 0.0, int64(0)
	for next := 0; next < jobs || len(running) > 0; {
		if arrival := int64(float64(next) * interval); next < jobs && (len(running) == 0 || arrival <= running[0].end) {
			now = arrival
			d := 600 + r.Int64N(1600)
			j := &orderedJob{id: fmt.Sprintf("%04d", next), arrival: now, declared: d, deadline: now + 2*d + 1000, late: now + 3*(2*d+1000)}
			common := r.NormFloat64()
			for range tasks {
				z := math.Sqrt(0.5)*common + math.Sqrt(0.5)*r.NormFloat64()
				j.runTimes = append(j.runTimes, max(1, int64(float64(d)*ratio(z))))
			}
			waiting[j.id] = j
			next++
		} else {
			e := running[0]
			running = running[1:]
			now = e.end
			if learn {
				m.Observe(orderKey, uint64(e.job.arrival), e.job.declared, e.took, now)
			}
			if e.job.completed++; e.job.completed == tasks && now <= e.job.deadline {
				value++
			} else if e.job.completed == tasks && now <= e.job.late {
				value += 0.15
			}
		}
		if len(running) == slots {
			continue
		}
		var order []placement.WaitingJob
		for _, j := range waiting {
			w := placement.WaitingJob{ID: j.id, Deadline: j.deadline, LateDeadline: j.late}
			w.RemainingMillis, w.Observed = j.remaining(m)
			order = append(order, w)
		}
		placement.OrderJobs(now, order)
		for _, w := range order {
			j := waiting[w.ID]
			for len(running) < slots && j.started < tasks {
				run := orderedRun{now + j.runTimes[j.started], j.runTimes[j.started], j}
				at, _ := slices.BinarySearchFunc(running, run, func(a, b orderedRun) int { return cmp.Compare(a.end, b.end) })
				running = slices.Insert(running, at, run)
				j.started++
			}
			if j.started == tasks {
				delete(waiting, j.id)
			}
			if len(running) == slots {
				break
			}
		}
	}
	return value / float64(jobs)
}

// Guards against an order of waiting workflows by learned run times that serves
// less than the one by declared run times, in a pool of which one workflow takes
// a small part. Where declarations are good, both orders are nearly the same;
// 0.01 is six jobs of 600.
func TestOrderByLearnedRunTimes(t *testing.T) {
	for name, ratio := range map[string]func(z float64) float64{
		"poor": func(z float64) float64 { return 1.25 * math.Exp(0.65*z) },
		"good": func(z float64) float64 { return math.Exp(0.05 * z) },
	} {
		for _, load := range []float64{1.2, 1.5} {
			t.Run(fmt.Sprintf("%s/load=%v", name, load), func(t *testing.T) {
				const seeds, slots, jobs = 2, 200, 600
				var declared, learned float64
				for seed := range uint64(seeds) {
					declared += replayOrder(seed, slots, jobs, ratio, load, false) / seeds
					learned += replayOrder(seed, slots, jobs, ratio, load, true) / seeds
				}
				t.Logf("value of a job %.3f by declared run times, %.3f by learned ones", declared, learned)
				want := declared - 0.01
				if name == "poor" {
					want = declared
				}
				NewWithT(t).Expect(learned).To(BeNumerically(">", want))
			})
		}
	}
}
