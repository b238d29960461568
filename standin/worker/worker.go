// Package workerstandin simulates the platform's workers in process. It enforces
// leases, fences and start deadlines by its own clock, and records every run, so
// that tests, the embedded cluster and the benchmark can check the scheduler's
// invariants.
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

// Options configures a Worker.
type Options struct {
	ID       string
	Capacity state.Resources
	// Clock is shared by the workers whose records are compared.
	Clock clockwork.Clock
	// ClockOffset is the time of the worker's own clock when the worker starts.
	ClockOffset time.Duration
	// ClockRate is the rate of the worker's own clock relative to Clock; 0 means
	// 1.
	ClockRate float64
	// RunTime returns the run time of an unthrottled task; 0 or less means until
	// it is stopped. If it is nil, batch tasks run for ExpectedSeconds and others
	// until they are stopped.
	RunTime func(worker.StartRequest) time.Duration
	// Failure returns the reason for which a task fails at its end; an empty
	// reason means that it completes. If it is nil, all tasks complete.
	Failure func(worker.StartRequest) string
	// Latency returns the latency ratio of a latency-critical task, given the
	// other tasks on the worker. If it is nil, the ratio is 1.
	Latency func(task Record, others []Record) float64
	// UsageLag is the age of the samples that Usage returns.
	UsageLag time.Duration
	// UsageNoise is the largest relative error of a sample.
	UsageNoise float64
	Seed       uint64
}

// Worker is a simulated worker. It implements worker.API.
type Worker struct {
	o Options

	mu              sync.Mutex
	random          *rand.Rand
	boots           int
	bootTime        time.Time
	fence           uint64
	leaseEnd        time.Time
	tasks           map[worker.TaskKey]*run // listed: running, exited or failed
	recent          []*run                  // runs that may still appear in a sample
	runs            []*run                  // all runs
	peak            state.Resources
	failAll         string
	failCheckpoints bool
	faults          faults
	server          *server
}

var _ worker.API = (*Worker)(nil)

// New returns a worker that has just started and has no lease.
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

// clockAt returns the time of the worker's own clock at t, in milliseconds.
func (w *Worker) clockAt(t time.Time) int64 {
	own := time.Duration(float64(t.Sub(w.bootTime)) * w.o.ClockRate)
	return (w.o.ClockOffset + own).Milliseconds()
}

// timeOf is the inverse of clockAt.
func (w *Worker) timeOf(ms int64) time.Time {
	own := time.Duration(ms)*time.Millisecond - w.o.ClockOffset
	return w.bootTime.Add(time.Duration(float64(own) / w.o.ClockRate))
}

// begin updates the tasks to the current time, which it returns, and checks the
// fence of a call. The caller must hold mu.
func (w *Worker) begin(fence uint64) (time.Time, error) {
	now := w.o.Clock.Now()
	w.advance(now)
	if fence < w.fence {
		return now, fmt.Errorf("%w: %d is below %d", worker.ErrStaleFence, fence, w.fence)
	}
	w.fence = fence
	return now, nil
}

// advance ends the runs whose work was done or whose lease expired by now, each
// at the exact time.
func (w *Worker) advance(now time.Time) {
	for key, r := range w.tasks {
		if r.ended() {
			continue
		}
		done := r.doneAt()
		switch {
		case !done.IsZero() && !done.After(now) && !done.After(w.leaseEnd):
			r.end(done, r.outcome)
		case !w.leaseEnd.After(now):
			r.end(w.leaseEnd, EndLeaseExpired)
			delete(w.tasks, key)
		}
	}
}

// List implements worker.API.
func (w *Worker) List(_ context.Context, q worker.ListRequest) (worker.ListResponse, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, err := w.begin(q.Fence)
	if err != nil {
		return worker.ListResponse{}, err
	}
	for _, key := range q.Forget {
		if r := w.tasks[key]; r != nil && r.ended() {
			delete(w.tasks, key)
		}
	}
	l := worker.ListResponse{NowMs: w.clockAt(now), BootID: w.bootID()}
	for key, r := range w.tasks {
		l.Tasks = append(l.Tasks, worker.TaskStatus{
			TaskKey: key, State: r.state(), ExitReason: r.reason, Throttle: r.throttlePercent,
		})
	}
	return l, nil
}

// Renew implements worker.API. A renewal never shortens the lease.
func (w *Worker) Renew(_ context.Context, q worker.RenewRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, err := w.begin(q.Fence); err != nil {
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

// Start implements worker.API. It does not enforce the capacity; OverCapacity
// shows whether the scheduler exceeded it.
func (w *Worker) Start(_ context.Context, q worker.StartRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, err := w.begin(q.Fence)
	if err != nil {
		return err
	}
	switch {
	case q.BootID != w.bootID():
		return fmt.Errorf("%w: boot %s is %s now", worker.ErrRefused, q.BootID, w.bootID())
	case w.clockAt(now) > q.StartByMs:
		return fmt.Errorf("%w: the start was due %d ms ago", worker.ErrRefused, w.clockAt(now)-q.StartByMs)
	case !now.Before(w.leaseEnd):
		return fmt.Errorf("%w: the worker holds no lease", worker.ErrRefused)
	case w.tasks[q.TaskKey] != nil:
		return nil
	}
	r := w.newRun(now, q)
	w.tasks[q.TaskKey] = r
	w.runs = append(w.runs, r)
	w.recent = append(w.recent, r)
	w.updatePeak()
	return nil
}

func (w *Worker) updatePeak() {
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

// running returns the running run of key, or an error. The caller must hold mu.
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
	now, err := w.begin(q.Fence)
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
	now, err := w.begin(q.Fence)
	if err != nil {
		return worker.CheckpointResponse{}, err
	}
	r, err := w.running(q.TaskKey)
	if err != nil {
		return worker.CheckpointResponse{}, err
	}
	if w.failCheckpoints {
		return worker.CheckpointResponse{}, fmt.Errorf("checkpoint of %s can't be written", q.TaskKey)
	}
	return worker.CheckpointResponse{Checkpoint: formatCheckpoint(r.progress(now))}, nil
}

// Stop implements worker.API. List no longer returns a stopped task.
func (w *Worker) Stop(_ context.Context, q worker.TaskRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, err := w.begin(q.Fence)
	if err != nil {
		return err
	}
	if r, err := w.running(q.TaskKey); err == nil {
		r.end(now, EndStopped)
		delete(w.tasks, q.TaskKey)
	}
	return nil
}
