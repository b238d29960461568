package placement

import (
	"cmp"
	"fmt"
	"slices"

	"apricotrouter/state"
)

const (
	// minSlowSamples is the number of consecutive samples above slowRatio that
	// a mitigation requires, so that a single noisy sample has no effect.
	minSlowSamples = 2
	// minContribution is the fraction of the excess latency that a task must
	// account for before it is throttled or evicted.
	minContribution = 0.1
	// firstThrottle and maxThrottle are the two throttle levels, in percent.
	firstThrottle = 50
	maxThrottle   = 80
	// DefaultEvictionsPerMinute limits the evictions because of interference or
	// overload in the whole cluster.
	DefaultEvictionsPerMinute = 20
	// maxSampleAge is the age above which a sample is ignored, in milliseconds.
	maxSampleAge = 60_000
	// minAvoidedRise is the expected increase in the latency ratio above which
	// a worker is avoided for a task. firstAvoidDuration is how long, in
	// milliseconds; it doubles with every eviction, up to maxAvoidDuration.
	minAvoidedRise     = 0.25
	firstAvoidDuration = 60_000
	maxAvoidDuration   = 900_000
	maxAvoidDoublings  = 4
)

// mitigateInterference responds to slow replicas according to the configured
// policy.
func (p *plan) mitigateInterference() {
	if p.Interference == InterferenceIgnore {
		return
	}
	for _, id := range p.obs.Updated {
		o, i, ok := p.recentObservation(id)
		switch {
		case !ok:
		case p.Interference == InterferenceEvictAtOnce:
			p.evictBatchTasks(i, o.Sample)
		default:
			p.mitigate(i, o)
		}
	}
}

// evictBatchTasks implements the baseline policy that evicts all batch tasks
// next to a slow replica.
func (p *plan) evictBatchTasks(i int, sample *WorkerSample) {
	if sample.worstRatio() <= slowRatio {
		return
	}
	for _, r := range p.residents(i) {
		if r.task.Kind == state.KindBatch && r.task.Phase == state.PhaseRunning {
			p.stop(r.task, state.StopEvict, reasonInterference+"slow replica")
		}
	}
}

// throttleCandidate is a batch task with its estimated contribution to the
// latency of a slow replica.
type throttleCandidate struct {
	task            *state.Task
	rise            float64 // expected increase in the latency ratio
	unthrottledRise float64 // the increase if the task were not throttled
	significant     bool    // lower bound of the effect is above 0
}

// mitigate takes at most one step on a worker: throttle, increase the throttle,
// evict one task, or release.
func (p *plan) mitigate(i int, o *WorkerObservation) {
	slow := o.SlowSamples >= minSlowSamples
	release := o.RecoveredSamples >= o.ReleaseSamples && o.Throttled > 0
	if !slow && !release {
		return
	}
	service, worst := p.slowest(o.Sample)
	all := p.throttleCandidates(service, o.Sample, i)
	if slow {
		p.escalate(all, worst-recoveredRatio, service)
	} else {
		p.release(all)
	}
}

// slowest returns the service of the slowest replica in the sample, and the
// latency ratio of that replica.
func (p *plan) slowest(sample *WorkerSample) (string, float64) {
	service, worst := "", 0.0
	for _, ts := range sample.Tasks {
		if t := p.s.Task(ts.Task); t != nil && t.Kind == state.KindLatencyCritical && ts.LatencyRatio > worst {
			service, worst = t.Owner, ts.LatencyRatio
		}
	}
	return service, worst
}

// throttleCandidates returns the running batch tasks of the sample, sorted by
// their contribution to the latency of the service, largest first.
func (p *plan) throttleCandidates(service string, sample *WorkerSample, i int) []throttleCandidate {
	capacity := p.view.workers[i].worker.Capacity
	var all []throttleCandidate
	for _, ts := range sample.Tasks {
		t := p.s.Task(ts.Task)
		if t == nil || t.Kind != state.KindBatch || t.Phase != state.PhaseRunning || t.Incarnation != ts.Incarnation {
			continue
		}
		share := ratio(ts.Used.MilliCPU, capacity.MilliCPU)
		f := p.obs.Estimates.Effect(service, t.Class)
		rise := f.Mean * share
		unthrottledRise := rise * 100 / float64(100-min(t.Throttle, maxThrottle))
		all = append(all, throttleCandidate{task: t, rise: rise, unthrottledRise: unthrottledRise, significant: f.Lower > 0})
	}
	slices.SortStableFunc(all, func(a, b throttleCandidate) int { return cmp.Compare(b.unthrottledRise, a.unthrottledRise) })
	return all
}

// escalate takes the next step. It throttles the fewest tasks that account for
// the excess latency. If these are already throttled, it evicts one task of a
// class that is known to slow down the service. Only samples taken after the
// task has stopped show whether one eviction was sufficient.
func (p *plan) escalate(all []throttleCandidate, excess float64, service string) {
	minRise := minContribution * excess
	all = slices.DeleteFunc(all, func(s throttleCandidate) bool { return s.unthrottledRise < minRise })
	if p.throttle(all, excess, service) {
		return
	}
	for _, s := range all {
		if s.significant && p.mayEvict() && !p.stopped[s.task.ID] {
			p.stop(s.task, state.StopEvict, reasonInterference+"slows down service "+service)
			p.evicted++
			return
		}
	}
}

// throttle increases the throttle of the tasks that account for the excess
// latency, and reports whether any throttle was increased.
func (p *plan) throttle(all []throttleCandidate, excess float64, service string) bool {
	raised := false
	for _, s := range all {
		if excess <= 0 {
			break
		}
		next := int64(maxThrottle)
		if s.task.Throttle < firstThrottle {
			next = firstThrottle
		}
		if s.task.Throttle < next {
			p.setThrottle(s.task, next, fmt.Sprintf("slows down service %s by about %.1f", service, s.rise))
			raised = true
		}
		excess -= s.rise
	}
	return raised
}

func (p *plan) setThrottle(t *state.Task, percent int64, reason string) {
	p.bodies = append(p.bodies, state.ThrottleTask{
		Task: t.ID, Incarnation: t.Incarnation, Percent: percent, Reason: reasonInterference + reason,
	})
}

// release lowers the throttle of one task by one level: of the throttled task
// with the smallest contribution.
func (p *plan) release(all []throttleCandidate) {
	for _, s := range slices.Backward(all) {
		if s.task.Throttle == 0 {
			continue
		}
		next := int64(0)
		if s.task.Throttle > firstThrottle {
			next = firstThrottle
		}
		p.setThrottle(s.task, next, "replicas are fast again")
		return
	}
}

// mayEvict reports whether the eviction rate limit allows another eviction.
func (p *plan) mayEvict() bool {
	recent := 0
	for _, at := range p.obs.Evictions {
		if p.now-at < evictionWindow {
			recent++
		}
	}
	return recent+p.evicted < p.EvictionsPerMinute
}

// expectedRise returns the expected increase in the latency ratio of the
// replicas on a worker if the task ran there.
func (p *plan) expectedRise(t *state.Task, i int, size state.Resources) float64 {
	p.countReplicas()
	share := ratio(size.MilliCPU, p.view.workers[i].worker.Capacity.MilliCPU)
	worst := 0.0
	for _, service := range p.servicesByWorker[i] {
		worst = max(worst, p.obs.Estimates.Effect(service, t.Class).Lower*share)
	}
	return worst
}

// isHarmfulClass reports whether the class is known to slow down any service.
func (p *plan) isHarmfulClass(class string) bool {
	p.loadHarmfulPairs()
	return p.harmfulClasses[class]
}

// isHarmedService reports whether any class is known to slow down the service.
func (p *plan) isHarmedService(service string) bool {
	p.loadHarmfulPairs()
	return p.harmedServices[service]
}

// loadHarmfulPairs collects the harmful pairs, once per plan. Under the
// baseline policies there are none, so those policies do not avoid any worker.
func (p *plan) loadHarmfulPairs() {
	if p.harmedServices != nil {
		return
	}
	p.harmedServices, p.harmfulClasses = make(map[string]bool), make(map[string]bool)
	if p.Interference != InterferenceStepwise {
		return
	}
	for _, k := range p.obs.Estimates.harmfulPairs() {
		p.harmedServices[k.service] = true
		p.harmfulClasses[k.class] = true
	}
}

// riseFromBatch returns the expected increase in the latency ratio of a replica
// caused by the batch tasks on a worker.
func (p *plan) riseFromBatch(service string, i int) float64 {
	if !p.isHarmedService(service) {
		return 0
	}
	sum := 0.0
	for _, r := range p.residents(i) {
		if r.task.Kind == state.KindBatch {
			share := ratio(r.task.Resources.MilliCPU, p.view.workers[i].worker.Capacity.MilliCPU)
			sum += p.obs.Estimates.Effect(service, r.task.Class).Lower * share
		}
	}
	return sum
}
