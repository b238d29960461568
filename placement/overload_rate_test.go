package placement_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/placement"
	"apricotrouter/state"
)

// overloadReplay replays best-effort tasks of several images, more than fit, on
// workers with serving tasks of two images whose load swings. Only the
// interference limits the tasks. Serving tasks are measured without noise.
type overloadReplay struct {
	coefficients map[string]placement.InterferenceCoefficients // by best-effort image
	arrivals     float64                                       // tasks per second and image
	// The previous decisions: tasks start at the full rate or wait, or each task
	// in turn takes the worker with the best rate that it may start at.
	fullRateOnly, inTurn bool
}

type overloadResult struct {
	inTime, late, tasks int
	value               float64 // of the tasks, 1 in time and 0.15 late
	over                float64 // fraction of time that a serving task is above its target beside a working task
	longestOver         int64   // longest such time without interruption, milliseconds
}

const (
	overloadTick    = 50
	overloadWorkers = 24
	overloadMillis  = 60_000
)

type overloadTask struct {
	image   string
	arrived int64
	work    int64 // percent of full speed times milliseconds
	length  int64 // milliseconds at full speed
	worker  int
	rate    int
	wanted  int
	setAt   int64
}

func (p overloadReplay) play(seed uint64) overloadResult {
	const window, poll, delay, floor, target, taskCPU, workerCPU = 500, 700, 100, 20.0, 100, 1800, 16_000
	const use = float64(taskCPU) / workerCPU
	r := rand.New(rand.NewPCG(seed, 11))
	saved := state.SetInterference{}
	for _, serving := range []string{"s1", "s2"} {
		i := state.ServingImage{Image: serving, MinTailMillis: floor / (1 - 0.2), Load: 0.35}
		for image, c := range p.coefficients {
			i.Interference = append(i.Interference, state.ImageInterference{BestEffort: image, Value: c[serving]})
		}
		saved.Images = append(saved.Images, i)
	}
	model := placement.RestoreInterferenceModel(&saved)
	type server struct {
		image string
		loads []float64
		uses  []map[string]float64
		over  int64 // continuous, as the world has it
		since int64 // measured above the target since
	}
	servers := make([]server, overloadWorkers)
	loads := map[string]*placement.Load{"s1": {}, "s2": {}}
	for i := range servers {
		servers[i] = server{image: []string{"s1", "s2"}[i%2]}
	}
	ownLoad := func(s *server, now int64) float64 {
		period := map[string]float64{"s1": 14_000, "s2": 11_000}[s.image]
		return 0.45 + 0.2*math.Sin(2*math.Pi*float64(now)/period)
	}
	images := make([]string, 0, len(p.coefficients))
	for i := range len(p.coefficients) {
		images = append(images, fmt.Sprint("l", i+1))
	}
	var waiting, running []*overloadTask
	var result overloadResult
	next := make([]float64, len(images))
	overTicks, ticks := 0, 0
	tail := func(s *server) int64 {
		sum := 0.0
		for _, u := range s.loads {
			sum += u
		}
		return int64(floor / (1 - min(0.98, sum/float64(len(s.loads)))))
	}
	for now := int64(0); now < overloadMillis; now += overloadTick {
		for i, image := range images {
			for ; next[i] <= float64(now); next[i] += 1000 / p.arrivals * r.ExpFloat64() {
				waiting = append(waiting, &overloadTask{image: image, arrived: now, length: 1000 + r.Int64N(1400)})
				result.tasks++
			}
		}
		used := make([]map[string]float64, overloadWorkers)
		for i := range used {
			used[i] = make(map[string]float64)
		}
		still := running[:0]
		for _, t := range running {
			if now >= t.setAt+delay {
				t.rate = t.wanted
			}
			used[t.worker][t.image] += use * float64(t.rate) / 100
			if t.work += int64(t.rate) * overloadTick; t.work < 100*t.length {
				still = append(still, t)
				continue
			}
			switch objective := 2*t.length + 1000; {
			case now-t.arrived <= objective:
				result.inTime, result.value = result.inTime+1, result.value+1
			case now-t.arrived <= 3*objective:
				result.late, result.value = result.late+1, result.value+0.15
			}
		}
		running = still
		for i := range servers {
			s := &servers[i]
			u, working := ownLoad(s, now), false
			for image, v := range used[i] {
				u += p.coefficients[image][s.image] * v
				working = working || v > 0
			}
			s.loads, s.uses = append(s.loads, u), append(s.uses, used[i])
			drop := max(0, len(s.loads)-window/overloadTick)
			s.loads, s.uses = s.loads[drop:], s.uses[drop:]
			ticks++
			if s.over += overloadTick; tail(s) <= target || !working {
				s.over = 0
			} else {
				overTicks++
			}
			result.longestOver = max(result.longestOver, s.over)
			if (now+int64(i)*overloadTick)%poll != 0 || now < window {
				continue
			}
			uses, changing := make(map[string]float64), 0.0
			for _, m := range s.uses {
				for image, v := range m {
					uses[image] += v / float64(len(s.uses))
				}
			}
			var here []*overloadTask
			var tasks []placement.CoLocatedTask
			for _, t := range running {
				if t.worker != i {
					continue
				}
				c := placement.CoLocatedTask{Image: t.image, Use: use, Percent: t.wanted, Settling: now-t.setAt < window+delay+50}
				if t.wanted == 0 {
					c.PausedMillis = now - t.setAt
				}
				if c.Settling {
					changing += use
				}
				here, tasks = append(here, t), append(tasks, c)
			}
			load := loads[s.image]
			model.Observe(load, placement.TailSample{Image: s.image, AtMillis: now - window/2, TailMillis: tail(s), TargetMillis: target, Uses: uses, Changing: changing})
			if tail(s) <= target {
				s.since = 0
			} else if s.since == 0 {
				s.since = now
			}
			limit := model.Limit(s.image, target)
			if s.since > 0 && now-s.since >= 1000 {
				limit = 0
			}
			expected := load.PredictMax(now, now+700, model.Load(s.image))
			for _, n := range tasks {
				expected += model.Coefficient(s.image, n.Image) * n.Use * float64(n.Percent) / 100
			}
			serving := []placement.ServingTask{{Image: s.image, Utilisation: expected, Limit: limit, OverTarget: s.since > 0}}
			for j, rate := range placement.ExecutionRates(model, serving, tasks) {
				if rate != here[j].wanted {
					here[j].wanted, here[j].setAt = rate, now
				}
			}
		}
		if now%100 != 0 {
			continue
		}
		workers := make([]*placement.WorkerCapacity, overloadWorkers)
		for i := range workers {
			s := &servers[i]
			w := &placement.WorkerCapacity{Capacity: state.Resources{MilliCPU: workerCPU}, IdleCPU: workerCPU / 2, OverTarget: s.since > 0}
			headroom := model.Limit(s.image, target) - loads[s.image].PredictMax(now, now+1500, model.Load(s.image))
			for _, t := range running {
				if t.worker == i {
					w.BestEffort++
					w.IdleCPU -= taskCPU
					headroom -= model.Coefficient(s.image, t.image) * use
				}
			}
			w.AddServingTask(s.image, headroom)
			workers[i] = w
		}
		for _, reduced := range []bool{false, true} {
			if reduced && p.fullRateOnly || !reduced && p.inTurn {
				continue
			}
			left := waiting[:0]
			for _, t := range waiting {
				if now-t.arrived > 3*(2*t.length+1000) {
					continue // past all value
				}
				task := placement.PoolTask{InterferenceModel: model, Step: &state.WorkflowStep{
					BestEffort: true, Image: t.image, Size: state.Resources{MilliCPU: taskCPU},
				}}
				if reduced {
					task.MinStartRate = placement.MinStartRate(placement.StartWait{
						WaitedMillis: now - t.arrived, EstimateMillis: t.length,
						ImageRuns: slices.ContainsFunc(running, func(o *overloadTask) bool { return o.image == t.image }),
						HalfIdle:  2*(taskCPU*len(running)) <= overloadWorkers*workerCPU,
					})
				}
				i := placement.ChooseWorker(workers, task)
				if i < 0 {
					left = append(left, t)
					continue
				}
				t.worker, t.rate, t.wanted, t.setAt = i, 100, placement.StartRate(workers[i], task), now
				workers[i].Reserve(task)
				running = append(running, t)
			}
			waiting = left
		}
	}
	result.over = float64(overTicks) / float64(ticks)
	return result
}

// Guards against best-effort tasks that wait for a worker on which they can run
// at the full rate, although they would end in time at the rate that fits, and
// against tasks at a low rate that take the workers which other waiting tasks
// could use at the full rate. Load patterns: one image that interferes with all
// serving tasks, with more arrivals than fit at the full rate; and three images
// under overload, of which each serving image tolerates some. Serving tasks are
// over their target as rarely as the users permit.
func TestReducedRatesUnderOverload(t *testing.T) {
	const seeds = 3
	moderate := map[string]placement.InterferenceCoefficients{"l1": {"s1": 1.5, "s2": 1.5}}
	harmful := map[string]placement.InterferenceCoefficients{"l1": {"s1": 4.5, "s2": 4.5}}
	mixed := map[string]placement.InterferenceCoefficients{"l1": {"s1": 4.5, "s2": 0.1}, "l2": {"s1": 0.1, "s2": 4.5}, "l3": {"s1": 1, "s2": 1}}
	play := func(p overloadReplay) (value, over float64, longest int64) {
		tasks := 0
		for seed := range uint64(seeds) {
			r := p.play(seed)
			value, over, longest, tasks = value+r.value, over+r.over/seeds, max(longest, r.longestOver), tasks+r.tasks
		}
		return value / float64(tasks), over, longest
	}
	for name, c := range map[string]struct {
		replay overloadReplay
		gain   float64 // least gain of value over starts at the full rate only
		inTurn float64 // least gain of value over one sweep in turn
	}{
		"one moderate image":     {overloadReplay{coefficients: moderate, arrivals: 20}, 0.3, 0},
		"one harmful image":      {overloadReplay{coefficients: harmful, arrivals: 4}, 0.3, 0},
		"three images":           {overloadReplay{coefficients: mixed, arrivals: 10}, 0, -0.01},
		"three images, too many": {overloadReplay{coefficients: mixed, arrivals: 20}, -0.02, 0.05},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			value, over, longest := play(c.replay)
			c.replay.fullRateOnly = true
			full, fullOver, _ := play(c.replay)
			c.replay.fullRateOnly, c.replay.inTurn = false, true
			turn, turnOver, _ := play(c.replay)
			t.Logf("value %.3f, %.3f at the full rate only, %.3f in turn; over the target %.4f, %.4f, %.4f, longest %d ms", value, full, turn, over, fullOver, turnOver, longest)
			g.Expect(value).To(BeNumerically(">=", full+c.gain))
			g.Expect(value).To(BeNumerically(">=", turn+c.inTurn))
			g.Expect(longest).To(BeNumerically("<", 4000))
			g.Expect(over).To(BeNumerically("<", 0.03))
		})
	}
}
