package bench

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"apricotrouter/control"
	"apricotrouter/placement"
	"apricotrouter/replica"
	workerstandin "apricotrouter/standin/worker"
	"apricotrouter/state"
	"apricotrouter/transport"
	"apricotrouter/worker"
)

// Sizes of a world.
const (
	speedUp         = 5 // of its clock; pauses of the machine grow with it
	workersPerZone  = 3
	worldTime       = 150 * time.Second // on its clock
	sampleEvery     = 2 * time.Second   // on its clock
	slowRatio       = 1.5               // of latency, from which a replica counts as slow
	noisyPart       = 0.7               // rise of the latency ratio by each noisy neighbour
	measurementLag  = 3 * time.Second
	replicas        = 6 // on nine workers
	taskSeconds     = 20
	waveEvery       = taskSeconds * time.Second // on its clock
	noisyPerWave    = 10
	quietPerWave    = 20 // both together fill the workers and leave a backlog
	self            = "a"
	percent         = 100.0
	ratioResolution = 1000
)

// What a worker holds, and what each replica and batch task takes.
var (
	worldWorker = state.Resources{MilliCPU: 8000, MemoryMiB: 32 << 10}
	taskSize    = state.Resources{MilliCPU: 2000, MemoryMiB: 1024}
)

// world is the leader loop and the session holder of one instance over a log
// in memory, with stand-in workers, on a clock that runs faster.
type world struct {
	clock   *fastClock
	log     *replica.FakeLog
	workers []*workerstandin.Worker
	byID    map[string]*workerstandin.Worker
	cancel  context.CancelFunc
	parts   sync.WaitGroup
}

// startWorld starts a world with one service. Batch jobs arrive while it runs.
func startWorld(policy placement.InterferencePolicy) (*world, error) {
	w := &world{clock: newFastClock(speedUp), byID: make(map[string]*workerstandin.Worker)}
	w.log = replica.NewFakeLog(w.clock)
	w.log.SetLeadership(replica.Leadership{Leader: self, Term: 1, Self: true, Epoch: 1})
	if err := w.register(); err != nil {
		return nil, err
	}
	mux := transport.NewMux()
	leader := control.New(control.Options{
		Log: w.log, Leases: w.log, Mux: mux, Clock: w.clock, Placement: placement.Options{Interference: policy},
	})
	sessions := worker.NewManager(worker.Options{
		Self: self, Log: w.log, Clock: w.clock, Peers: transport.NewFakeNetwork().Join(self, mux),
		Dial: func(address string) (worker.API, io.Closer, error) { return w.byID[address], nil, nil },
	})
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	w.parts.Go(func() { _ = leader.Run(ctx) })
	w.parts.Go(func() { _ = sessions.Run(ctx) })
	// Batch jobs that came first would fill the workers and leave the replicas
	// no choice.
	if err := await(w.replicasRun); err != nil {
		w.stop()
		return nil, fmt.Errorf("start replicas: %w", err)
	}
	return w, nil
}

func (w *world) replicasRun() bool {
	n := 0
	for t := range w.log.State().TasksOf(state.KindLatencyCritical, "app") {
		if t.Phase == state.PhaseRunning {
			n++
		}
	}
	return n == replicas
}

func (w *world) stop() {
	w.cancel()
	w.parts.Wait()
}

func (w *world) register() error {
	bodies := []state.Body{state.RegisterInstance{Instance: state.Instance{ID: self, Zone: zoneName(0), InstanceStart: 1}}}
	for i := range zoneCount * workersPerZone {
		id := fmt.Sprintf("w%d", i+1)
		standin := workerstandin.New(workerstandin.Options{
			ID: id, Capacity: worldWorker, Clock: w.clock, Seed: uint64(i), ClockOffset: time.Duration(i) * time.Hour,
			UsageLag: measurementLag, UsageNoise: 0.05, Latency: latencyRatio,
		})
		w.workers = append(w.workers, standin)
		w.byID[id] = standin
		bodies = append(bodies, state.RegisterWorker{
			ID: id, Zone: zoneName(i), Rack: "r-" + zoneName(i), Address: id, Capacity: worldWorker,
		})
	}
	bodies = append(bodies, state.ApplyService{Spec: state.ServiceSpec{
		Name: "app", PathPrefix: appPath, Replicas: replicas, Slots: slots, ConnectionLimit: 64,
		Resources: taskSize,
	}})
	return w.proposeAll(bodies...)
}

// submitWave submits one job that slows replicas down and one that does not.
func (w *world) submitWave(n int) error {
	return w.proposeAll(job("noisy", n, noisyPerWave), job("quiet", n, quietPerWave))
}

func job(class string, n int, tasks int64) state.Body {
	return state.SubmitJob{Spec: state.JobSpec{
		ID: fmt.Sprintf("%s-%d", class, n), Class: class, Priority: state.PriorityNormal, Tasks: tasks,
		Resources: taskSize, ExpectedSeconds: taskSeconds,
	}}
}

func (w *world) proposeAll(bodies ...state.Body) error {
	for _, b := range bodies {
		r, err := w.log.Propose(context.Background(), state.NewCommand(b))
		if err != nil {
			return err
		}
		if r.Code != state.CodeOK {
			return fmt.Errorf("%T: %s: %s", b, r.Code, r.Message)
		}
	}
	return nil
}

// latencyRatio slows a replica down by each noisy batch task next to it, less
// if the task is throttled.
func latencyRatio(_ workerstandin.Record, others []workerstandin.Record) float64 {
	ratio := 1.0
	for _, o := range others {
		if strings.HasPrefix(o.Owner, "noisy") {
			ratio += noisyPart * (1 - float64(o.Throttle)/percent)
		}
	}
	return ratio
}

// outcome is what a world has done.
type outcome struct {
	completed  float64 // batch tasks
	work       float64 // seconds of batch work, without what was done twice
	evictions  float64
	lost       float64 // batch runs that ended with the worker's lease
	slow       float64 // share of the replicas' time with a latency ratio above slowRatio
	p99        float64 // latency ratio
	violations float64
}

// run lets the world run and calls at at the times of its clock.
func (w *world) run(at map[time.Duration]func() error) (outcome, error) {
	ratios := hdrhistogram.New(1, 100*ratioResolution, 3)
	begin := w.clock.Now()
	waves := 0
	for w.clock.Since(begin) < worldTime {
		if w.clock.Since(begin) >= time.Duration(waves)*waveEvery {
			if err := w.submitWave(waves); err != nil {
				return outcome{}, err
			}
			waves++
		}
		for t, do := range at {
			if w.clock.Since(begin) < t {
				continue
			}
			delete(at, t)
			if err := do(); err != nil {
				return outcome{}, err
			}
		}
		w.sample(ratios)
		w.clock.Sleep(sampleEvery)
	}
	return w.outcome(ratios), nil
}

// sample records the latency ratio of each replica that runs now.
func (w *world) sample(h *hdrhistogram.Histogram) {
	for _, standin := range w.workers {
		var running []workerstandin.Record
		for _, r := range standin.Records() {
			if r.End == workerstandin.EndNone {
				running = append(running, r)
			}
		}
		for _, r := range running {
			if r.Kind == state.KindLatencyCritical {
				_ = h.RecordValue(int64(latencyRatio(r, running) * ratioResolution))
			}
		}
	}
}

func (w *world) outcome(ratios *hdrhistogram.Histogram) outcome {
	records := workerstandin.AllRecords(w.workers...)
	var o outcome
	furthest := make(map[string]time.Duration)
	for _, r := range records {
		if r.Kind != state.KindBatch {
			continue
		}
		furthest[r.Task] = max(furthest[r.Task], r.To)
		switch r.End {
		case workerstandin.EndExited:
			o.completed++
		case workerstandin.EndStopped:
			o.evictions++
		case workerstandin.EndLeaseExpired:
			o.lost++
		}
	}
	for _, d := range furthest {
		o.work += d.Seconds()
	}
	o.violations = float64(len(workerstandin.Overlaps(records)) + len(workerstandin.Repeated(records)))
	for _, standin := range w.workers {
		if standin.OverCapacity() {
			o.violations++
		}
	}
	o.p99 = float64(ratios.ValueAtQuantile(99)) / ratioResolution
	o.slow = shareAbove(ratios, slowRatio*ratioResolution)
	return o
}

// shareAbove returns the share of values above v.
func shareAbove(h *hdrhistogram.Histogram, v int64) float64 {
	var above int64
	for _, bar := range h.Distribution() {
		if bar.From > v {
			above += bar.Count
		}
	}
	return float64(above) / float64(max(h.TotalCount(), 1))
}
