package placement

import "apricotrouter/state"

// evictOverMemory evicts one batch task from each worker whose tasks use more
// memory than the worker has: the task that exceeds its declared size the most.
// Only samples taken after the task has stopped show whether one eviction was
// sufficient.
func (p *plan) evictOverMemory() {
	for _, id := range p.obs.Updated {
		o, i, ok := p.recentObservation(id)
		if !ok || o.Sample.SampledAt < o.MitigatedAt+mitigationDelay {
			continue
		}
		if totalMemory(o.Sample) <= p.view.workers[i].worker.Capacity.MemoryMiB || !p.mayEvict() {
			continue
		}
		if t := p.largestMemoryExcess(o.Sample); t != nil {
			p.stop(t, state.StopEvict, reasonOverload+"uses more memory than it declares")
			p.evicted++
		}
	}
}

// recentObservation returns the observation of a worker and the worker's index.
// The third result is false if there is no sample, or if it is older than
// maxSampleAge.
func (p *plan) recentObservation(id string) (*WorkerObservation, int, bool) {
	o := p.obs.Workers[id]
	i, ok := p.view.byID[id]
	if !ok || o == nil || o.Sample == nil || p.now-o.Sample.SampledAt > maxSampleAge {
		return nil, 0, false
	}
	return o, i, true
}

func totalMemory(sample *WorkerSample) int64 {
	var sum int64
	for _, t := range sample.Tasks {
		sum += t.Used.MemoryMiB
	}
	return sum
}

// largestMemoryExcess returns the running batch task of the sample that exceeds
// its declared memory the most, or nil if none does.
func (p *plan) largestMemoryExcess(sample *WorkerSample) *state.Task {
	var worst *state.Task
	var most int64
	for _, ts := range sample.Tasks {
		t := p.s.Task(ts.Task)
		if t == nil || t.Kind != state.KindBatch || t.Phase != state.PhaseRunning || t.Incarnation != ts.Incarnation {
			continue
		}
		if excess := ts.Used.MemoryMiB - t.Resources.MemoryMiB; excess > most {
			worst, most = t, excess
		}
	}
	return worst
}
