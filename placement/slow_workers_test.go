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
	"apricotrouter/state"
)

// unevenRun is a run of a task in a replay.
type unevenRun struct {
	end    float64 // seconds
	worker int
	step   int
	ratio  float64 // of its run time to the ordinary one
}

// replayUnevenWorkers runs steps of tasks on workers of which the first slow
// ones run at a third of the speed. One run in 33 takes seven times as long.
// It returns the durations of the steps, sorted. If learn is set, the speeds of
// workers are learned from the runs that end.
func replayUnevenWorkers(seed uint64, workers, slow, tasks int, load float64, learn bool) []float64 {
	r := rand.New(rand.NewPCG(seed, 1))
	const cores, taskCPU, steps, runTime = 16_000, 4000, 1500, 1.0
	pool := make([]*placement.WorkerCapacity, workers)
	for i := range pool {
		size := state.Resources{MilliCPU: cores, MemoryMiB: 60_000}
		pool[i] = &placement.WorkerCapacity{Capacity: size, Free: size, IdleCPU: cores}
	}
	step := &state.WorkflowStep{Count: tasks, Size: state.Resources{MilliCPU: taskCPU, MemoryMiB: 1000}, EstimateMillis: 1000}
	speeds := runtimes.NewWorkers()
	interval := float64(tasks) * runTime / (load * float64(workers*cores/taskCPU))
	var running []unevenRun
	began, left, durations := make([]float64, steps), make([]int, steps), make([]float64, 0, steps)
	var waiting []int // steps of waiting tasks
	now, next := 0.0, 0
	for len(durations) < steps {
		if next < steps && (len(running) == 0 || float64(next)*interval <= running[0].end) {
			now = float64(next) * interval
			began[next], left[next] = now, tasks
			for range tasks {
				waiting = append(waiting, next)
			}
			next++
		} else {
			e := running[0]
			running = running[1:]
			now = e.end
			w := pool[e.worker]
			w.Free, w.Batch, w.IdleCPU = w.Free.Add(step.Size), w.Batch.Sub(step.Size), w.IdleCPU+taskCPU
			if learn {
				speeds.Observe(fmt.Sprint(e.worker), e.ratio, int64(now*1000))
				w.Slowdown = speeds.Factor(fmt.Sprint(e.worker), int64(now*1000))
			}
			if left[e.step]--; left[e.step] == 0 {
				durations = append(durations, now-began[e.step])
			}
		}
		ranking := placement.Rank(pool, placement.PoolTask{Step: step})
		for len(waiting) > 0 {
			i := ranking.Best()
			if i < 0 {
				break
			}
			pool[i].Reserve(placement.PoolTask{Step: step})
			ranking.Update()
			ratio := math.Exp(0.2 * r.NormFloat64())
			if r.IntN(33) == 0 {
				ratio *= 7
			}
			if i < slow {
				ratio *= 3
			}
			run := unevenRun{end: now + ratio*runTime, worker: i, step: waiting[0], ratio: ratio}
			waiting = waiting[1:]
			at, _ := slices.BinarySearchFunc(running, run, func(a, b unevenRun) int { return cmp.Compare(a.end, b.end) })
			running = slices.Insert(running, at, run)
		}
	}
	slices.Sort(durations)
	return durations
}

// Guards against wide steps that wait for a task on a slow worker while others
// have free capacity, and against a worse choice where all workers are equal.
func TestWideStepsAvoidSlowWorkers(t *testing.T) {
	for _, slow := range []int{0, 10, 20} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("slow=%d/seed=%d", slow, seed), func(t *testing.T) {
				g := NewWithT(t)
				before := replayUnevenWorkers(seed, 100, slow, 20, 0.5, false)
				after := replayUnevenWorkers(seed, 100, slow, 20, 0.5, true)
				mean := func(d []float64) float64 {
					sum := 0.0
					for _, v := range d {
						sum += v
					}
					return sum / float64(len(d))
				}
				t.Logf("mean %.2f s, p50 %.2f s before; mean %.2f s, p50 %.2f s after", mean(before), before[len(before)/2], mean(after), after[len(after)/2])
				if slow == 0 {
					g.Expect(mean(after)).To(BeNumerically("<", 1.02*mean(before)))
					return
				}
				g.Expect(mean(after)).To(BeNumerically("<", mean(before)))
			})
		}
	}
}

// Guards against a slow worker that is never used although nothing else is free.
func TestSlowWorkersAreUsedIfNothingElseIsFree(t *testing.T) {
	g := NewWithT(t)
	size := state.Resources{MilliCPU: 4000, MemoryMiB: 4000}
	slow := &placement.WorkerCapacity{Capacity: size, Free: size, IdleCPU: 4000, Slowdown: 3}
	full := &placement.WorkerCapacity{Capacity: size}
	step := &state.WorkflowStep{Count: 20, Size: state.Resources{MilliCPU: 1000, MemoryMiB: 1000}}
	g.Expect(placement.ChooseWorker([]*placement.WorkerCapacity{full, slow}, placement.PoolTask{Step: step})).To(Equal(1))
	ordinary := &placement.WorkerCapacity{Capacity: size, Free: size, IdleCPU: 4000, Slowdown: 1.2}
	g.Expect(placement.ChooseWorker([]*placement.WorkerCapacity{slow, ordinary}, placement.PoolTask{Step: step})).To(Equal(1))
}
