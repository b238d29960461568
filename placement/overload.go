package placement

import "apricotrouter/state"

// relieve evicts one batch task from each worker whose tasks use more memory
// than it has: the one that exceeds its declared size the most. Whether one
// was enough is judged from samples taken after its stop.
func (p *plan) relieve() {
	for _, id := range p.obs.Updated {
		o, i, ok := p.observed(id)
		if !ok || o.Sample.SampledAt < o.ActedAt+settleTime {
			continue
		}
		if usedMemory(o.Sample) <= p.view.workers[i].worker.Capacity.MemoryMiB || !p.mayEvict() {
			continue
		}
		if t := p.largestExcess(o.Sample); t != nil {
			p.stop(t, state.StopEvict, reasonOverload+"uses more memory than it declares")
			p.evicted++
		}
	}
}

// observed returns the observation of a worker and the worker's index.
func (p *plan) observed(id string) (*WorkerObservation, int, bool) {
	o := p.obs.Workers[id]
	i, ok := p.view.byID[id]
	if !ok || o == nil || o.Sample == nil || p.now-o.Sample.SampledAt > maxSampleAge {
		return nil, 0, false
	}
	return o, i, true
}

func usedMemory(sample *WorkerSample) int64 {
	var sum int64
	for _, t := range sample.Tasks {
		sum += t.Used.MemoryMiB
	}
	return sum
}

// largestExcess returns the running batch task of the sample that uses most
// memory beyond what it declares, or nil if none does.
func (p *plan) largestExcess(sample *WorkerSample) *state.Task {
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
