// Package workerstandin is an in-process stand-in for the platform's workers.
// It enforces leases, fences and start times on a clock of its own, and
// records what ran where and when, so that tests, the embedded cluster and the
// bench can check what must always hold.
package workerstandin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"apricotrouter/state"
	"apricotrouter/worker"
)

// Options describe a stand-in worker.
type Options struct {
	ID       string
	Capacity state.Resources
	// Clock is shared by the stand-ins whose records are compared.
	Clock clockwork.Clock
	// ClockOffset is the reading of the worker's own clock at its start.
	ClockOffset time.Duration
	// ClockRate is how fast the worker's own clock runs; 0 means 1.
	ClockRate float64
	// RunTime returns how long a task runs alone and unthrottled; 0 or less
	// means until it is stopped. nil takes ExpectedSeconds.
	RunTime func(worker.StartRequest) time.Duration
	// Failure returns why a task fails at its end; empty means that it
	// completes. nil lets all complete.
	Failure func(worker.StartRequest) string
	// Latency returns the latency ratio of a latency-critical task next to
	// what else runs. nil reports 1.
	Latency func(task Record, others []Record) float64
	// UsageLag is the age of the samples that Usage returns.
	UsageLag time.Duration
	// UsageNoise is the largest relative error of a sample.
	UsageNoise float64
	Seed       uint64
}

// Worker is a stand-in worker. It implements worker.API.
type Worker struct {
	o Options

	mu       sync.Mutex
	random   *rand.Rand
	boots    int
	bootTime time.Time
	fence    uint64
	leaseEnd time.Time
	tasks    map[worker.TaskKey]*run // listed: running, exited or failed
	recent   []*run                  // runs that may still appear in a sample
	runs     []*run                  // all runs
	peak     state.Resources
	failAll  string
	noSave   bool
	faults   faults
	server   *server
}

var _ worker.API = (*Worker)(nil)

// New returns a worker that has just started and holds no lease.
func New(o Options) *Worker {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.ClockRate == 0 {
		o.ClockRate = 1
	}
	return &Worker{
		o:        o,
		random:   rand.New(rand.NewPCG(o.Seed, 1)),
		boots:    1,
		bootTime: o.Clock.Now(),
		tasks:    make(map[worker.TaskKey]*run),
	}
}

// ID returns the id of the worker.
func (w *Worker) ID() string { return w.o.ID }

func (w *Worker) bootID() string { return fmt.Sprintf("%s-boot-%d", w.o.ID, w.boots) }

// reading returns the worker's own clock at t, in milliseconds.
func (w *Worker) reading(t time.Time) int64 {
	own := time.Duration(float64(t.Sub(w.bootTime)) * w.o.ClockRate)
	return (w.o.ClockOffset + own).Milliseconds()
}

// timeOf returns when the worker's own clock shows ms.
func (w *Worker) timeOf(ms int64) time.Time {
	own := time.Duration(ms)*time.Millisecond - w.o.ClockOffset
	return w.bootTime.Add(time.Duration(float64(own) / w.o.ClockRate))
}

// enter brings the tasks up to date and checks the fence. Callers hold mu.
func (w *Worker) enter(fence uint64) (time.Time, error) {
	now := w.o.Clock.Now()
	w.settle(now)
	if fence < w.fence {
		return now, fmt.Errorf("%w: %d is below %d", worker.ErrStaleFence, fence, w.fence)
	}
	w.fence = fence
	return now, nil
}

// settle ends the tasks that have ended by now, each at its exact time.
func (w *Worker) settle(now time.Time) {
	for key, r := range w.tasks {
		if r.ended() {
			continue
		}
		done := r.doneAt()
		switch {
		case !done.IsZero() && !done.After(now) && !done.After(w.leaseEnd):
			r.end(done, r.outcome)
		case !w.leaseEnd.After(now):
			r.end(w.leaseEnd, EndLease)
			delete(w.tasks, key)
		}
	}
}

// List implements worker.API.
func (w *Worker) List(_ context.Context, q worker.ListRequest) (worker.ListResponse, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, err := w.enter(q.Fence)
	if err != nil {
		return worker.ListResponse{}, err
	}
	for _, key := range q.Forget {
		if r := w.tasks[key]; r != nil && r.ended() {
			delete(w.tasks, key)
		}
	}
	l := worker.ListResponse{NowMs: w.reading(now), BootID: w.bootID()}
	for key, r := range w.tasks {
		l.Tasks = append(l.Tasks, worker.TaskStatus{
			TaskKey: key, State: r.state(), ExitReason: r.reason, Throttle: r.percent,
		})
	}
	return l, nil
}

// Renew implements worker.API. A renewal never shortens the lease.
func (w *Worker) Renew(_ context.Context, q worker.RenewRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, err := w.enter(q.Fence); err != nil {
		return err
	}
	if q.BootID != w.bootID() {
		return fmt.Errorf("%w: boot %s is %s now", worker.ErrRefused, q.BootID, w.bootID())
	}
	if end := w.timeOf(q.LeaseEndMs); end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
	return nil
}

// Start implements worker.API. It does not check the capacity, so that a
// mistake of the scheduler shows in OverCapacity.
func (w *Worker) Start(_ context.Context, q worker.StartRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, err := w.enter(q.Fence)
	if err != nil {
		return err
	}
	switch {
	case q.BootID != w.bootID():
		return fmt.Errorf("%w: boot %s is %s now", worker.ErrRefused, q.BootID, w.bootID())
	case w.reading(now) > q.StartByMs:
		return fmt.Errorf("%w: the start was due %d ms ago", worker.ErrRefused, w.reading(now)-q.StartByMs)
	case !now.Before(w.leaseEnd):
		return fmt.Errorf("%w: the worker holds no lease", worker.ErrRefused)
	case w.tasks[q.TaskKey] != nil:
		return nil
	}
	r := w.newRun(now, q)
	w.tasks[q.TaskKey] = r
	w.runs = append(w.runs, r)
	w.recent = append(w.recent, r)
	w.notePeak()
	return nil
}

func (w *Worker) notePeak() {
	var used state.Resources
	for _, r := range w.tasks {
		if !r.ended() {
			used = used.Add(r.Resources)
		}
	}
	w.peak.MilliCPU = max(w.peak.MilliCPU, used.MilliCPU)
	w.peak.MemoryMiB = max(w.peak.MemoryMiB, used.MemoryMiB)
	w.peak.Accelerators = max(w.peak.Accelerators, used.Accelerators)
}

// running returns the run of key, or an error. Callers hold mu.
func (w *Worker) running(key worker.TaskKey) (*run, error) {
	if r := w.tasks[key]; r != nil && !r.ended() {
		return r, nil
	}
	return nil, fmt.Errorf("%w: %s is not running", worker.ErrRefused, key)
}

// Throttle implements worker.API.
func (w *Worker) Throttle(_ context.Context, q worker.ThrottleRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, err := w.enter(q.Fence)
	if err != nil {
		return err
	}
	r, err := w.running(q.TaskKey)
	if err != nil {
		return err
	}
	r.throttle(now, q.Percent)
	return nil
}

// Checkpoint implements worker.API.
func (w *Worker) Checkpoint(_ context.Context, q worker.TaskRequest) (worker.CheckpointResponse, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, err := w.enter(q.Fence)
	if err != nil {
		return worker.CheckpointResponse{}, err
	}
	r, err := w.running(q.TaskKey)
	if err != nil {
		return worker.CheckpointResponse{}, err
	}
	if w.noSave {
		return worker.CheckpointResponse{}, fmt.Errorf("checkpoint of %s can't be written", q.TaskKey)
	}
	return worker.CheckpointResponse{Checkpoint: formatCheckpoint(r.progress(now))}, nil
}

// Stop implements worker.API. A task that is stopped is no longer listed.
func (w *Worker) Stop(_ context.Context, q worker.TaskRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, err := w.enter(q.Fence)
	if err != nil {
		return err
	}
	if r, err := w.running(q.TaskKey); err == nil {
		r.end(now, EndStopped)
		delete(w.tasks, q.TaskKey)
	}
	return nil
}
