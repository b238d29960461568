package placement

import (
	"cmp"
	"slices"
)

// ServingTask is a serving task on a worker, as input for the decision about
// the execution rates of co-located tasks.
type ServingTask struct {
	Image string
	// Utilisation is the highest utilisation expected until the next decision
	// at the current execution rates. Limit is the highest utilisation at which
	// the task meets its target.
	Utilisation, Limit float64
	// OverTarget is set if the measured tail latency exceeds the target.
	OverTarget bool
}

// CoLocatedTask is a best-effort task on the same worker as serving tasks.
type CoLocatedTask struct {
	Image   string
	Use     float64 // fraction of the worker's processors at full speed
	Percent int     // current execution rate
	// Settling is set if the measurements do not show the effect of the start,
	// or of the last change of the rate, yet.
	Settling bool
	// PausedMillis is how long the task has been paused.
	PausedMillis int64
	// Lowest is set if the task must not run above the lowest rate: it started there
	// and the CPU of the worker is in use.
	Lowest bool
}

// limit returns the highest rate of the task, in percent.
func (t *CoLocatedTask) limit() int {
	if t.Lowest {
		return minRate
	}
	return fullRate
}

const (
	// maxRateIncrease bounds the increase of an execution rate per decision, in
	// percent, so that the effect of an increase is measured before the next
	// one.
	maxRateIncrease = 100
	// rateIncreaseHeadroom is the utilisation below the limit that an increase
	// of execution rates must leave unused.
	rateIncreaseHeadroom = 0.03
	// minRate is the execution rate below which a task is paused instead. A
	// slower task would occupy its capacity with hardly any progress.
	minRate  = 10
	fullRate = 100
	// probePause is how long a task is paused, in milliseconds, until it runs at
	// minRate for one measurement although the model expects a serving task to
	// exceed its limit. Only a run corrects an estimate that is too high.
	probePause = 3000
)

// RunAtLowestRate is a run that started at the lowest rate.
type RunAtLowestRate struct {
	MilliCPU int64 // at the full rate
	Percent  int   // current execution rate
}

// KeepLowestRate reports which runs that started at the lowest rate must not run
// faster, because the CPU of their worker is in use. idleCPU is the idle CPU without
// them, in thousandths of a processor. Those that run faster already come first, and
// what they use is not idle for the others.
func KeepLowestRate(idleCPU int64, runs []RunAtLowestRate) []bool {
	keep, order := make([]bool, len(runs)), make([]int, len(runs))
	for i, r := range runs {
		order[i] = i
		idleCPU -= CPUAtRate(r.MilliCPU, minRate, minRate)
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(runs[b].Percent, runs[a].Percent) })
	for _, i := range order {
		lowest := CPUAtRate(runs[i].MilliCPU, minRate, minRate)
		if keep[i] = !AdmitsIdle(idleCPU+lowest, runs[i].MilliCPU); !keep[i] {
			idleCPU -= runs[i].MilliCPU - lowest
		}
	}
	return keep
}

// ExecutionRates returns the execution rate of each co-located task, in
// percent. If a serving task is expected to exceed its limit, the co-located
// tasks with the largest interference coefficient on that serving task are
// slowed first, by as much as the model requires. The order matters because
// some pairs of images interfere far more than others. If no serving task is
// expected to exceed its limit, rates are increased in steps. While no serving
// task is measured over its target, one task runs at minRate from time to time,
// whatever the model expects.
func ExecutionRates(p *InterferenceModel, servingTasks []ServingTask, tasks []CoLocatedTask) []int {
	rates := make([]int, len(tasks))
	for i := range tasks {
		rates[i] = min(tasks[i].Percent, tasks[i].limit())
	}
	overLimit := false
	for _, s := range servingTasks {
		excess := s.Utilisation - s.Limit
		for i, n := range tasks {
			excess -= p.Coefficient(s.Image, n.Image) * n.Use / fullRate * float64(n.Percent-rates[i])
		}
		if excess > 0 {
			overLimit = true
			reduceRates(p, s, excess, tasks, rates)
		}
	}
	if !overLimit {
		increaseRates(p, servingTasks, tasks, rates)
	}
	probe(servingTasks, tasks, rates)
	return rates
}

// probe lets the task that is measured at minRate continue until its effect is
// measured. If there is none, it resumes the task that has been paused for
// longest, if for probePause.
func probe(servingTasks []ServingTask, tasks []CoLocatedTask, rates []int) {
	if slices.ContainsFunc(servingTasks, func(s ServingTask) bool { return s.OverTarget }) {
		return
	}
	longest := -1
	for i, n := range tasks {
		switch {
		case rates[i] > 0:
		case n.Percent == minRate && n.Settling:
			rates[i] = minRate
			return
		case n.Percent == 0 && n.PausedMillis >= probePause && (longest < 0 || n.PausedMillis > tasks[longest].PausedMillis):
			longest = i
		}
	}
	if longest >= 0 {
		rates[longest] = minRate
	}
}

// reduceRates lowers the rates of the tasks with the largest interference
// coefficients until the excess utilisation is removed.
func reduceRates(p *InterferenceModel, s ServingTask, excess float64, tasks []CoLocatedTask, rates []int) {
	order := make([]int, len(tasks))
	for i := range order {
		order[i] = i
	}
	coefficient := func(i int) float64 { return p.Coefficient(s.Image, tasks[i].Image) }
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(coefficient(b), coefficient(a)) })
	for _, i := range order {
		perPercent := coefficient(i) * tasks[i].Use / fullRate
		if excess <= 0 || rates[i] == 0 || perPercent <= 0 {
			continue
		}
		cut := min(rates[i], int(excess/perPercent)+1)
		if rates[i]-cut < minRate {
			cut = rates[i]
		}
		rates[i] -= cut
		excess -= perPercent * float64(cut)
	}
}

// increaseRates raises execution rates, starting with the tasks that have the
// smallest interference coefficients. A rate whose effect is not measured yet is
// not raised: it would follow the estimate alone, twice.
func increaseRates(p *InterferenceModel, servingTasks []ServingTask, tasks []CoLocatedTask, rates []int) {
	order := make([]int, len(tasks))
	for i := range order {
		order[i] = i
	}
	maxCoefficient := func(i int) float64 {
		w := 0.0
		for _, s := range servingTasks {
			w = max(w, p.Coefficient(s.Image, tasks[i].Image))
		}
		return w
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(maxCoefficient(a), maxCoefficient(b)) })
	added := make([]float64, len(servingTasks))
	for _, i := range order {
		step := min(maxRateIncrease, tasks[i].limit()-rates[i])
		if step <= 0 || tasks[i].Settling {
			continue
		}
		for j, s := range servingTasks {
			perPercent := p.Coefficient(s.Image, tasks[i].Image) * tasks[i].Use / fullRate
			headroom := s.Limit - rateIncreaseHeadroom - s.Utilisation - added[j]
			if perPercent > 0 {
				step = min(step, int(max(0, headroom)/perPercent))
			}
		}
		if step <= 0 {
			continue
		}
		rates[i] += step
		for j, s := range servingTasks {
			added[j] += p.Coefficient(s.Image, tasks[i].Image) * tasks[i].Use / fullRate * float64(step)
		}
	}
}
