package placement_test

import (
	"math"
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/placement"
	"apricotrouter/state"
)

// knownPair returns a model in which the coefficient of image "l" on image "s"
// is known.
func knownPair(coefficient float64) *placement.InterferenceModel {
	return placement.RestoreInterferenceModel(&state.SetInterference{Images: []state.ServingImage{{
		Image: "s", MinTailMillis: 25, Load: 0.25, Interference: []state.ImageInterference{{BestEffort: "l", Value: coefficient}},
	}}})
}

// Guards against a best-effort task that waits although it would end earlier at
// the rate that fits, and against a wait without a bound.
func TestMinStartRateFollowsTheWait(t *testing.T) {
	for _, c := range []struct {
		wait placement.StartWait
		want int
	}{
		{placement.StartWait{EstimateMillis: 1000, HalfIdle: true}, 50},
		{placement.StartWait{EstimateMillis: 1000, WaitedMillis: 1000, HalfIdle: true}, 50},
		{placement.StartWait{EstimateMillis: 1000, WaitedMillis: 1001, HalfIdle: true}, 25},
		{placement.StartWait{EstimateMillis: 60_000, WaitedMillis: 1400, HalfIdle: true}, 50},
		// Users count a workflow as lost if nothing of it has run for 3 s.
		{placement.StartWait{EstimateMillis: 1000, WaitedMillis: 1400, HalfIdle: true}, 25},
		{placement.StartWait{EstimateMillis: 60_000, WaitedMillis: 2000, HalfIdle: true}, 10},
		{placement.StartWait{EstimateMillis: 1000, WaitedMillis: 2000, HalfIdle: true, ImageRuns: true}, 25},
		// The pool is in use: only a bounded wait leads to a reduced rate.
		{placement.StartWait{EstimateMillis: 1000}, 100},
		{placement.StartWait{EstimateMillis: 1000, WaitedMillis: 2000}, 100},
		{placement.StartWait{EstimateMillis: 60_000, WaitedMillis: 60_000}, 10},
		{placement.StartWait{EstimateMillis: 1000, WaitedMillis: math.MaxInt32, ImageRuns: true}, 100},
		// Most of it is not reserved, and nothing of the workflow runs.
		{placement.StartWait{EstimateMillis: 60_000, WaitedMillis: 2000, IdleMillis: 2000, ImageRuns: true, Unreserved: true, Late: true}, 10},
		{placement.StartWait{EstimateMillis: 60_000, WaitedMillis: 2000, IdleMillis: 1400, ImageRuns: true, Unreserved: true, Late: true}, 100},
		{placement.StartWait{EstimateMillis: 60_000, WaitedMillis: 2000, IdleMillis: 2000, ImageRuns: true, Late: true}, 100},
		{placement.StartWait{EstimateMillis: 60_000, WaitedMillis: 7000, IdleMillis: 7000, ImageRuns: true, Unreserved: true}, 100},
		{placement.StartWait{EstimateMillis: 60_000, WaitedMillis: 8000, IdleMillis: 8000, ImageRuns: true, Unreserved: true}, 10},
	} {
		NewWithT(t).Expect(placement.MinStartRate(c.wait)).To(Equal(c.want), "%+v", c.wait)
	}
}

// Guards against a worker that is rejected because a task does not fit beside
// its serving tasks at full speed, although it would at a lower rate, and
// against a start above the rate that fits.
func TestStartRateFitsBesideServingTasks(t *testing.T) {
	step := &state.WorkflowStep{BestEffort: true, Image: "l", Size: state.Resources{MilliCPU: 8000, MemoryMiB: 4096}}
	server := func(headroom float64) *placement.WorkerCapacity {
		return newWorker(44000, func(r *placement.WorkerCapacity) { r.AddServingTask("s", headroom) })
	}
	overTarget := func(r *placement.WorkerCapacity) *placement.WorkerCapacity {
		r.OverTarget = true
		return r
	}
	busy := func(r *placement.WorkerCapacity) *placement.WorkerCapacity {
		r.IdleCPU, r.BestEffort = 0, 5
		return r
	}
	// At full speed the task requires 1.25 * 4 * 8/64 = 0.625.
	for name, c := range map[string]struct {
		workers []*placement.WorkerCapacity
		minRate int
		worker  int
		rate    int
	}{
		"full rate only":                     {[]*placement.WorkerCapacity{server(0.5)}, 0, -1, 0},
		"the rate that fits":                 {[]*placement.WorkerCapacity{server(0.5)}, 75, 0, 80},
		"too low":                            {[]*placement.WorkerCapacity{server(0.4)}, 75, -1, 0},
		"a worker for the full rate first":   {[]*placement.WorkerCapacity{server(0.5), server(0.7)}, 75, 1, 100},
		"the highest rate":                   {[]*placement.WorkerCapacity{server(0.2), server(0.5), server(0.4)}, 25, 1, 80},
		"the lowest rate after a long wait":  {[]*placement.WorkerCapacity{server(-0.2), server(-0.1)}, 10, 1, 10},
		"not beside a task over its target":  {[]*placement.WorkerCapacity{overTarget(server(-0.1)), overTarget(server(0.05))}, 10, -1, 0},
		"over its target, but the task fits": {[]*placement.WorkerCapacity{overTarget(server(0.7))}, 0, 0, 100},
		"no idle CPU":                        {[]*placement.WorkerCapacity{busy(server(0.7))}, 50, -1, 0},
		"no idle CPU, after a long wait":     {[]*placement.WorkerCapacity{busy(server(-0.1))}, 10, 0, 10},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			task := placement.PoolTask{Step: step, InterferenceModel: knownPair(4), MinStartRate: c.minRate}
			best := placement.ChooseWorker(c.workers, task)
			g.Expect(best).To(Equal(c.worker))
			g.Expect(placement.Rank(c.workers, task).Best()).To(Equal(c.worker))
			if best >= 0 {
				g.Expect(placement.StartRate(c.workers[best], task)).To(Equal(c.rate))
			}
		})
	}
}

// startReplay replays best-effort tasks on workers that each have a serving task
// with which their image interferes: the load pattern of review/8. The pool is
// idle otherwise.
type startReplay struct {
	model     *placement.InterferenceModel
	actual    float64 // coefficient of the pair
	ownLoad   float64 // of the serving tasks
	estimate  int64
	fullRate  bool    // the previous decision: tasks start at the full rate or wait
	busy      bool    // the pool is in use, and less than half of it is reserved
	byImage   bool    // the previous decision in a busy pool: one task of the image
	arrivals  []int64 // of workflows with one task
	workers   int
	duration  int64
	taskCPU   int64
	workerCPU int64
}

// replayResult is the outcome of a startReplay.
type replayResult struct {
	done        int
	longestWait int64 // until a start, milliseconds
	overTarget  int64 // longest continuous time of a serving task above its target beside a working task
}

type replayedRun struct {
	worker        int
	startRate     int
	rate          int // in force
	requested     int
	rateInForceAt int64
	rateSetAt     int64
	percentMillis int64 // work done, in percent of full speed times milliseconds
}

func pausedMillis(r *replayedRun, now int64) int64 {
	if r.requested > 0 {
		return 0
	}
	return now - r.rateSetAt
}

// run plays the replay in steps of 50 ms. Workers are polled every 700 ms, their
// measurements cover 500 ms, and a rate takes effect after 100 ms.
func (p *startReplay) run() replayResult {
	const tick, window, poll, delay, floor, target = 50, 500, 700, 100, 20.0, 100
	type server struct {
		load        placement.Load
		utilisation []float64
		uses        []float64
		over        int64
		overSince   int64
	}
	servers := make([]server, p.workers)
	var runs []*replayedRun
	var result replayResult
	waiting := []int64{}
	next := 0
	use := float64(p.taskCPU) / float64(p.workerCPU)
	step := &state.WorkflowStep{BestEffort: true, Image: "l", EstimateMillis: p.estimate, Size: state.Resources{MilliCPU: p.taskCPU}}
	tailOf := func(s *server) int64 {
		mean := 0.0
		for _, u := range s.utilisation {
			mean += u / float64(len(s.utilisation))
		}
		return int64(floor / (1 - min(0.98, mean)))
	}
	for now := int64(0); now < p.duration; now += tick {
		for next < len(p.arrivals) && p.arrivals[next] <= now {
			waiting = append(waiting, p.arrivals[next])
			next++
		}
		// Workers execute.
		used := make([]float64, p.workers)
		var remaining []*replayedRun
		for _, r := range runs {
			if now >= r.rateInForceAt {
				r.rate = r.requested
			}
			used[r.worker] += use * float64(r.rate) / 100
			r.percentMillis += int64(r.rate) * tick
			if r.percentMillis >= 100*p.estimate {
				result.done++
				continue
			}
			remaining = append(remaining, r)
		}
		runs = remaining
		for i := range servers {
			s := &servers[i]
			u := p.ownLoad + p.actual*used[i]
			s.utilisation = append(s.utilisation, u)
			s.utilisation = s.utilisation[max(0, len(s.utilisation)-window/tick):]
			s.uses = append(s.uses, used[i])
			s.uses = s.uses[max(0, len(s.uses)-window/tick):]
			if tailOf(s) > target && used[i] > 0 {
				s.over += tick
			} else {
				s.over = 0
			}
			result.overTarget = max(result.overTarget, s.over)
		}
		// The leader polls the workers in turn.
		for i := range servers {
			if (now+int64(i)*tick)%poll != 0 || now < window {
				continue
			}
			s := &servers[i]
			uses := make(map[string]float64)
			for _, v := range s.uses {
				uses["l"] += v / float64(len(s.uses))
			}
			changing := 0.0
			var tasks []placement.CoLocatedTask
			var here []*replayedRun
			for _, r := range runs {
				if r.worker != i {
					continue
				}
				settling := now-r.rateSetAt < window+delay+50
				if settling {
					changing += use
				}
				here = append(here, r)
				tasks = append(tasks, placement.CoLocatedTask{Image: "l", Use: use, Percent: r.requested, Settling: settling, PausedMillis: pausedMillis(r, now)})
			}
			tail := tailOf(s)
			p.model.Observe(&s.load, placement.TailSample{Image: "s", AtMillis: now - window/2, TailMillis: tail, TargetMillis: target, Uses: uses, Changing: changing})
			if tail <= target {
				s.overSince = 0
			} else if s.overSince == 0 {
				s.overSince = now
			}
			limit := p.model.Limit("s", target)
			if s.overSince > 0 && now-s.overSince >= 1000 {
				limit = 0
			}
			u := s.load.PredictMax(now, now+700, p.model.Load("s"))
			for _, n := range tasks {
				u += p.model.Coefficient("s", "l") * n.Use * float64(n.Percent) / 100
			}
			for j, rate := range placement.ExecutionRates(p.model, []placement.ServingTask{{Image: "s", Utilisation: u, Limit: limit, OverTarget: s.overSince > 0}}, tasks) {
				if rate != here[j].requested {
					here[j].requested, here[j].rateInForceAt, here[j].rateSetAt = rate, now+delay, now
				}
			}
		}
		// A placement pass.
		if now%200 != 0 {
			continue
		}
		workers := make([]*placement.WorkerCapacity, p.workers)
		for i := range workers {
			s := &servers[i]
			headroom := p.model.Limit("s", target) - s.load.PredictMax(now, now+1500, p.model.Load("s"))
			w := &placement.WorkerCapacity{Capacity: state.Resources{MilliCPU: p.workerCPU}, IdleCPU: p.workerCPU, OverTarget: s.overSince > 0}
			for _, r := range runs {
				if r.worker == i {
					cpu := placement.CPUAtRate(p.taskCPU, r.startRate, r.requested)
					w.BestEffort++
					w.IdleCPU -= cpu
					headroom -= p.model.Coefficient("s", "l") * float64(cpu) / float64(p.workerCPU)
				}
			}
			w.AddServingTask("s", headroom)
			workers[i] = w
		}
		var left []int64
		for _, arrived := range waiting {
			result.longestWait = max(result.longestWait, now-arrived)
			task := placement.PoolTask{Step: step, InterferenceModel: p.model}
			if !p.fullRate {
				task.MinStartRate = placement.MinStartRate(placement.StartWait{
					WaitedMillis: now - arrived, EstimateMillis: p.estimate, HalfIdle: !p.busy, ImageRuns: p.busy && len(runs) > 0,
					IdleMillis: now - arrived, Late: true, Unreserved: p.busy && !p.byImage,
				})
			}
			i := placement.ChooseWorker(workers, task)
			if i < 0 {
				left = append(left, arrived)
				continue
			}
			rate := placement.StartRate(workers[i], task)
			workers[i].Reserve(task)
			runs = append(runs, &replayedRun{worker: i, startRate: rate, rate: 100, requested: rate, rateInForceAt: now + delay, rateSetAt: now})
		}
		waiting = left
	}
	return result
}

// Guards against best-effort tasks that never start because each worker has a
// serving task that their image is known to interfere with at full speed
// (review/8), against a start that takes longer than the 3 s after which users
// count a workflow as lost, and against serving tasks over their target for
// longer than 4 s because of it. Load pattern: an idle pool, two workflows after
// the model has learned the pair.
func TestTasksStartWhereTheirImageInterferesEverywhere(t *testing.T) {
	play := func(fullRate bool) replayResult {
		p := startReplay{
			model: knownPair(4), actual: 4, ownLoad: 0.4, estimate: 3000, fullRate: fullRate, workers: 16, duration: 30_000,
			taskCPU: 8000, workerCPU: 64_000,
		}
		for range 8 {
			p.arrivals = append(p.arrivals, 4000)
		}
		return p.run()
	}
	g := NewWithT(t)
	previous, now := play(true), play(false)
	t.Logf("previous: %+v, now: %+v", previous, now)
	g.Expect(previous.done).To(BeZero(), "the replay shows the fault")
	g.Expect(now.done).To(Equal(8))
	g.Expect(now.longestWait).To(BeNumerically("<=", 2000))
	g.Expect(now.overTarget).To(BeNumerically("<", 4000))
}

// Guards against workflows that wait for as long as others arrive, and against
// serving tasks over their target because all of them start. Load pattern: a burst
// of three times as many best-effort workflows as fit beside the serving tasks
// (review/14), of one task each.
func TestEachWorkflowStartsUnderOverload(t *testing.T) {
	play := func(byImage bool) replayResult {
		p := startReplay{
			model: knownPair(4), actual: 4, ownLoad: 0.4, estimate: 2700, busy: true, byImage: byImage, workers: 16, duration: 40_000,
			taskCPU: 8000, workerCPU: 64_000,
		}
		for i := range int64(48) {
			p.arrivals = append(p.arrivals, 4000+100*i)
		}
		return p.run()
	}
	g := NewWithT(t)
	previous, now := play(true), play(false)
	t.Logf("previous: %+v, now: %+v", previous, now)
	g.Expect(previous.longestWait).To(BeNumerically(">", 10_000), "the replay shows the fault")
	g.Expect(now.longestWait).To(BeNumerically("<=", 2000))
	g.Expect(now.done).To(BeNumerically(">=", previous.done))
	g.Expect(now.overTarget).To(BeNumerically("<", 4000))
}

// Guards against an estimate that keeps a pair apart after the interference has
// ended, because only a run corrects it and rare runs at a low rate carry little
// weight. Load pattern: an idle pool; the interference of an image with all
// serving tasks ends while none of its tasks runs.
func TestEstimateIsCorrectedAfterInterferenceHasEnded(t *testing.T) {
	g := NewWithT(t)
	p := startReplay{
		model: knownPair(8), actual: 0.2, ownLoad: 0.4, estimate: 3000, workers: 4, duration: 60_000, taskCPU: 8000, workerCPU: 64_000,
	}
	p.arrivals = []int64{1000}
	for i := range int64(8) {
		p.arrivals = append(p.arrivals, 35_000+1000*i)
	}
	p.fullRate = true
	previous := p
	previous.model = knownPair(8)
	before := previous.run()
	p.fullRate = false
	now := p.run()
	coefficient := p.model.Coefficient("s", "l")
	t.Logf("previous: %+v, now: %+v, coefficient %.2f", before, now, coefficient)
	g.Expect(before.done).To(BeZero(), "the replay shows the fault")
	g.Expect(now.done).To(Equal(9))
	g.Expect(now.longestWait).To(BeNumerically("<=", 2000))
	g.Expect(now.overTarget).To(BeNumerically("<", 4000))
	g.Expect(coefficient).To(BeNumerically("<", 4), "the pair fits at the full rate again")
}

// Guards against a task that is paused for good, because the model expects a
// serving task to exceed its limit and sees no run that could correct it.
func TestPausedTaskIsProbed(t *testing.T) {
	serving := func(over bool) []placement.ServingTask {
		return []placement.ServingTask{{Image: "s", Utilisation: 0.8, Limit: 0.7, OverTarget: over}}
	}
	paused := func(millis int64) placement.CoLocatedTask {
		return placement.CoLocatedTask{Image: "l", Use: 0.3, PausedMillis: millis}
	}
	probed := placement.CoLocatedTask{Image: "l", Use: 0.3, Percent: 10, Settling: true}
	measured := placement.CoLocatedTask{Image: "l", Use: 0.3, Percent: 10}
	for name, c := range map[string]struct {
		over  bool
		tasks []placement.CoLocatedTask
		want  []int
	}{
		"not yet":                       {false, []placement.CoLocatedTask{paused(2900)}, []int{0}},
		"after a bounded pause":         {false, []placement.CoLocatedTask{paused(3000)}, []int{10}},
		"one at a time, longest first":  {false, []placement.CoLocatedTask{paused(3000), paused(4000)}, []int{0, 10}},
		"until it is measured":          {false, []placement.CoLocatedTask{paused(5000), probed}, []int{0, 10}},
		"no longer than that":           {false, []placement.CoLocatedTask{measured}, []int{0}},
		"not while over the target":     {true, []placement.CoLocatedTask{paused(9000)}, []int{0}},
		"ends if it exceeds the target": {true, []placement.CoLocatedTask{probed}, []int{0}},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(placement.ExecutionRates(knownPair(4), serving(c.over), c.tasks)).To(Equal(c.want))
		})
	}
}
