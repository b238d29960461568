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

// Parameters of a simulation.
const (
	clockSpeedup      = 5 // factor of the simulated clock; stalls of the machine are scaled by it too
	workersPerZone    = 3
	simulatedTime     = 150 * time.Second // simulated time
	sampleInterval    = 2 * time.Second   // simulated time
	slowReplicaRatio  = 1.5               // latency ratio above which a replica is slow
	noisyTaskSlowdown = 0.7               // increase of the latency ratio by each noisy co-located task
	measurementLag    = 3 * time.Second
	replicas          = 6 // of the service, on nine workers
	taskSeconds       = 20
	waveInterval      = taskSeconds * time.Second // simulated time
	noisyPerWave      = 10
	quietPerWave      = 20 // noisy and quiet tasks together fill the workers and leave a backlog
	self              = "a"
	percent           = 100.0
	ratioResolution   = 1000
)

// Capacity of a worker, and reservation of each replica and batch task.
var (
	workerCapacity = state.Resources{MilliCPU: 8000, MemoryMiB: 32 << 10}
	taskSize       = state.Resources{MilliCPU: 2000, MemoryMiB: 1024}
)

// simulation runs the leader loop and the worker sessions of one instance with an
// in-memory log, simulated workers and a scaled clock.
type simulation struct {
	clock       *scaledClock
	log         *replica.FakeLog
	workers     []*workerstandin.Worker
	workersByID map[string]*workerstandin.Worker
	cancel      context.CancelFunc
	background  sync.WaitGroup
}

// startSimulation starts a simulation with one service and waits until its
// replicas run. run submits the batch jobs.
func startSimulation(policy placement.InterferencePolicy) (*simulation, error) {
	s := &simulation{clock: newScaledClock(clockSpeedup), workersByID: make(map[string]*workerstandin.Worker)}
	s.log = replica.NewFakeLog(s.clock)
	s.log.SetLeadership(replica.Leadership{Leader: self, Term: 1, Self: true, Epoch: 1})
	if err := s.register(); err != nil {
		return nil, err
	}
	mux := transport.NewMux()
	controller := control.New(control.Options{
		Log: s.log, Leases: s.log, Mux: mux, Clock: s.clock, Placement: placement.Options{Interference: policy},
	})
	sessions := worker.NewManager(worker.Options{
		Self: self, Log: s.log, Clock: s.clock, Peers: transport.NewFakeNetwork().Join(self, mux),
		Dial: func(address string) (worker.API, io.Closer, error) { return s.workersByID[address], nil, nil },
	})
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.background.Go(func() { _ = controller.Run(ctx) })
	s.background.Go(func() { _ = sessions.Run(ctx) })
	// Batch jobs submitted before the replicas run would fill the workers and
	// determine where replicas can be placed.
	if err := awaitCondition(s.replicasRun); err != nil {
		s.stop()
		return nil, fmt.Errorf("start replicas: %w", err)
	}
	return s, nil
}

func (w *simulation) replicasRun() bool {
	n := 0
	for t := range w.log.State().TasksOf(state.KindLatencyCritical, "app") {
		if t.Phase == state.PhaseRunning {
			n++
		}
	}
	return n == replicas
}

func (w *simulation) stop() {
	w.cancel()
	w.background.Wait()
}

func (w *simulation) register() error {
	bodies := []state.Body{state.RegisterInstance{Instance: state.Instance{ID: self, Zone: zoneName(0), InstanceStart: 1}}}
	for i := range zoneCount * workersPerZone {
		id := fmt.Sprintf("w%d", i+1)
		standin := workerstandin.New(workerstandin.Options{
			ID: id, Capacity: workerCapacity, Clock: w.clock, Seed: uint64(i), ClockOffset: time.Duration(i) * time.Hour,
			UsageLag: measurementLag, UsageNoise: 0.05, Latency: latencyRatio,
		})
		w.workers = append(w.workers, standin)
		w.workersByID[id] = standin
		bodies = append(bodies, state.RegisterWorker{
			ID: id, Zone: zoneName(i), Rack: "r-" + zoneName(i), Address: id, Capacity: workerCapacity,
		})
	}
	bodies = append(bodies, state.ApplyService{Spec: state.ServiceSpec{
		Name: "app", PathPrefix: appPath, Replicas: replicas, Slots: slots, ConnectionLimit: 64,
		Resources: taskSize,
	}})
	return w.proposeAll(bodies...)
}

// submitWave submits one job that interferes with replicas and one that does not.
func (w *simulation) submitWave(n int) error {
	return w.proposeAll(job("noisy", n, noisyPerWave), job("quiet", n, quietPerWave))
}

func job(class string, n int, tasks int64) state.Body {
	return state.SubmitJob{Spec: state.JobSpec{
		ID: fmt.Sprintf("%s-%d", class, n), Class: class, Priority: state.PriorityNormal, Tasks: tasks,
		Resources: taskSize, ExpectedSeconds: taskSeconds,
	}}
}

func (w *simulation) proposeAll(bodies ...state.Body) error {
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

// latencyRatio returns the latency ratio of a replica. Each noisy co-located task
// increases it by noisyTaskSlowdown, reduced by the throttle of the task.
func latencyRatio(_ workerstandin.Record, others []workerstandin.Record) float64 {
	ratio := 1.0
	for _, o := range others {
		if strings.HasPrefix(o.Owner, "noisy") {
			ratio += noisyTaskSlowdown * (1 - float64(o.Throttle)/percent)
		}
	}
	return ratio
}

// outcome is the result of a simulation.
type outcome struct {
	completed       float64 // batch tasks
	workSeconds     float64 // seconds of batch work; repeated work counts once
	evictions       float64
	leaseLosses     float64 // batch runs that ended because the worker's lease expired
	slowFraction    float64 // fraction of replica time with a latency ratio above slowReplicaRatio
	latencyRatioP99 float64 // latency ratio
	violations      float64
}

// run runs the simulation for simulatedTime. It calls each action once its
// simulated time since the start is reached.
func (w *simulation) run(actions map[time.Duration]func() error) (outcome, error) {
	ratios := hdrhistogram.New(1, 100*ratioResolution, 3)
	begin := w.clock.Now()
	waves := 0
	for w.clock.Since(begin) < simulatedTime {
		if w.clock.Since(begin) >= time.Duration(waves)*waveInterval {
			if err := w.submitWave(waves); err != nil {
				return outcome{}, err
			}
			waves++
		}
		for t, action := range actions {
			if w.clock.Since(begin) < t {
				continue
			}
			delete(actions, t)
			if err := action(); err != nil {
				return outcome{}, err
			}
		}
		w.sample(ratios)
		w.clock.Sleep(sampleInterval)
	}
	return w.collectOutcome(ratios), nil
}

// sample records the latency ratio of each running replica.
func (w *simulation) sample(h *hdrhistogram.Histogram) {
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

func (w *simulation) collectOutcome(ratios *hdrhistogram.Histogram) outcome {
	records := workerstandin.AllRecords(w.workers...)
	var o outcome
	progress := make(map[string]time.Duration)
	for _, r := range records {
		if r.Kind != state.KindBatch {
			continue
		}
		progress[r.Task] = max(progress[r.Task], r.To)
		switch r.End {
		case workerstandin.EndExited:
			o.completed++
		case workerstandin.EndStopped:
			o.evictions++
		case workerstandin.EndLeaseExpired:
			o.leaseLosses++
		}
	}
	for _, d := range progress {
		o.workSeconds += d.Seconds()
	}
	o.violations = float64(len(workerstandin.Overlaps(records)) + len(workerstandin.Repeated(records)))
	for _, standin := range w.workers {
		if standin.OverCapacity() {
			o.violations++
		}
	}
	o.latencyRatioP99 = float64(ratios.ValueAtQuantile(99)) / ratioResolution
	o.slowFraction = fractionAbove(ratios, slowReplicaRatio*ratioResolution)
	return o
}

// fractionAbove returns the fraction of values above v.
func fractionAbove(h *hdrhistogram.Histogram, v int64) float64 {
	var above int64
	for _, bar := range h.Distribution() {
		if bar.From > v {
			above += bar.Count
		}
	}
	return float64(above) / float64(max(h.TotalCount(), 1))
}
