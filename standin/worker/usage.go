package workerstandin

import (
	"context"
	"slices"
	"time"

	"apricotrouter/state"
	"apricotrouter/worker"
)

// Usage implements worker.API. The age of the samples is UsageLag.
func (w *Worker) Usage(_ context.Context, q worker.UsageRequest) (worker.UsageResponse, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, err := w.begin(q.Fence)
	if err != nil {
		return worker.UsageResponse{}, err
	}
	at := now.Add(-w.o.UsageLag)
	w.recent = slices.DeleteFunc(w.recent, func(r *run) bool { return r.ended() && r.Finish.Before(at) })
	res := worker.UsageResponse{NowMs: w.clockAt(now)}
	for _, r := range w.recent {
		if r.runningAt(at) && r.BootID == w.bootID() {
			res.Tasks = append(res.Tasks, w.sample(r, at))
		}
	}
	return res, nil
}

func (w *Worker) sample(r *run, at time.Time) worker.TaskUsage {
	share := 1 - float64(r.throttles.at(at))/100
	u := worker.TaskUsage{
		TaskKey:   r.TaskKey,
		SampledMs: w.clockAt(at),
		Used: state.Resources{
			MilliCPU:     int64(float64(r.Resources.MilliCPU) * share * w.noise()),
			MemoryMiB:    int64(float64(r.Resources.MemoryMiB) * w.noise()),
			Accelerators: r.Resources.Accelerators,
		},
	}
	if r.Kind == state.KindLatencyCritical {
		u.LatencyRatio = w.latency(r, at) * w.noise()
	}
	return u
}

// latency returns the latency ratio of r with the tasks that ran concurrently at
// the time.
func (w *Worker) latency(r *run, at time.Time) float64 {
	if w.o.Latency == nil {
		return 1
	}
	var others []Record
	for _, o := range w.recent {
		if o != r && o.runningAt(at) {
			rec := o.Record
			rec.Throttle = o.throttles.at(at)
			others = append(others, rec)
		}
	}
	return w.o.Latency(r.Record, others)
}

// noise returns a random factor between 1-UsageNoise and 1+UsageNoise.
func (w *Worker) noise() float64 {
	return 1 + w.o.UsageNoise*(2*w.random.Float64()-1)
}

// Records returns the records of all runs in the order in which they started.
func (w *Worker) Records() []Record {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(w.o.Clock.Now())
	out := make([]Record, len(w.runs))
	for i, r := range w.runs {
		out[i] = r.Record
		out[i].Throttle = r.throttlePercent
		if !r.ended() {
			out[i].To = r.progress(w.o.Clock.Now())
		}
	}
	return out
}

// Peak returns the maximum of each resource that running tasks had reserved at one
// time.
func (w *Worker) Peak() state.Resources {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.peak
}

// OverCapacity reports whether the tasks that ran concurrently ever exceeded the
// capacity of the worker.
func (w *Worker) OverCapacity() bool {
	return !w.Peak().FitsIn(w.o.Capacity)
}

// LeaseEnd returns the time at which the lease expires, on the shared clock.
func (w *Worker) LeaseEnd() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leaseEnd
}

// Reboot ends all runs and the lease, and restarts the worker's clock.
func (w *Worker) Reboot() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.o.Clock.Now()
	w.advance(now)
	for _, r := range w.tasks {
		if !r.ended() {
			r.end(now, EndReboot)
		}
	}
	clear(w.tasks)
	w.boots++
	w.bootTime = now
	w.leaseEnd = time.Time{}
}

// FailAll makes every task that starts from now on fail with the reason. An empty
// reason ends this.
func (w *Worker) FailAll(reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failAll = reason
}

// FailCheckpoints makes checkpoints fail, or succeed again.
func (w *Worker) FailCheckpoints(fail bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failCheckpoints = fail
}
