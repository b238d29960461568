package placement

import (
	"cmp"
	"fmt"
	"slices"

	"apricotrouter/state"
)

const (
	// minAbove is the number of samples in a row above highRatio before an
	// action, so that one noisy sample causes none.
	minAbove = 2
	// minPart is the part of the excess that a task must explain to be acted on.
	minPart = 0.1
	// throttleFirst and throttleMost are the steps of throttling, in percent.
	throttleFirst = 50
	throttleMost  = 80
	// DefaultEvictionsPerMinute bounds the evictions by interference in the
	// whole cluster.
	DefaultEvictionsPerMinute = 20
	// maxSampleAge is the age from which a sample is not acted on, in
	// milliseconds.
	maxSampleAge = 60_000
	// avoidRise is the expected rise of the latency ratio from which a task is
	// kept away from a worker, and avoidTime how long at first, in milliseconds.
	avoidRise         = 0.25
	avoidTime         = 60_000
	maxAvoidTime      = 900_000
	maxAvoidDoublings = 4
)

// interference responds to slow replicas under the selected policy.
func (p *plan) interference() {
	if p.Interference == InterferenceIgnore {
		return
	}
	for _, id := range p.obs.Updated {
		o, i, ok := p.observed(id)
		switch {
		case !ok:
		case p.Interference == InterferenceEvictAtOnce:
			p.evictAll(i, o.Sample)
		default:
			p.respond(i, o)
		}
	}
}

// evictAll is the baseline that evicts all batch tasks next to a slow replica.
func (p *plan) evictAll(i int, sample *WorkerSample) {
	if sample.worstRatio() <= highRatio {
		return
	}
	for _, r := range p.residents(i) {
		if r.task.Kind == state.KindBatch && r.task.Phase == state.PhaseRunning {
			p.stop(r.task, state.StopEvict, reasonInterference+"slow replica")
		}
	}
}

// suspect is a batch task with its estimated part in the slowness.
type suspect struct {
	task *state.Task
	rise float64 // expected rise of the latency ratio
	full float64 // the rise if the task were not throttled
	sure bool    // the rise is above 0 with confidence
}

// respond takes at most one step on a worker: throttle, throttle more, evict
// the fewest, or release.
func (p *plan) respond(i int, o *WorkerObservation) {
	raise := o.Above >= minAbove
	release := o.Below >= o.Hold && o.Throttled > 0
	if !raise && !release {
		return
	}
	service, worst := p.slowest(o.Sample)
	all := p.suspects(service, o.Sample, i)
	if raise {
		p.escalate(all, worst-lowRatio, service)
	} else {
		p.release(all)
	}
}

// slowest returns the service of the slowest replica in the sample, and its
// latency ratio.
func (p *plan) slowest(sample *WorkerSample) (string, float64) {
	service, worst := "", 0.0
	for _, ts := range sample.Tasks {
		if t := p.s.Task(ts.Task); t != nil && t.Kind == state.KindLatencyCritical && ts.LatencyRatio > worst {
			service, worst = t.Owner, ts.LatencyRatio
		}
	}
	return service, worst
}

// suspects returns the running batch tasks of the sample by their part in the
// slowness of the service, the largest first.
func (p *plan) suspects(service string, sample *WorkerSample, i int) []suspect {
	capacity := p.view.workers[i].worker.Capacity
	var all []suspect
	for _, ts := range sample.Tasks {
		t := p.s.Task(ts.Task)
		if t == nil || t.Kind != state.KindBatch || t.Phase != state.PhaseRunning || t.Incarnation != ts.Incarnation {
			continue
		}
		share := ratio(ts.Used.MilliCPU, capacity.MilliCPU)
		f := p.obs.Estimates.Effect(service, t.Class)
		rise := f.Mean * share
		full := rise * 100 / float64(100-min(t.Throttle, throttleMost))
		all = append(all, suspect{task: t, rise: rise, full: full, sure: f.Lower > 0})
	}
	slices.SortStableFunc(all, func(a, b suspect) int { return cmp.Compare(b.full, a.full) })
	return all
}

// escalate takes the next step: it throttles the fewest tasks that explain the
// excess, and once these are throttled it evicts one task of a class that is
// known to slow the service down. Whether one was enough is judged from samples
// taken after its stop.
func (p *plan) escalate(all []suspect, excess float64, service string) {
	least := minPart * excess
	all = slices.DeleteFunc(all, func(s suspect) bool { return s.full < least })
	if p.throttle(all, excess, service) {
		return
	}
	for _, s := range all {
		if s.sure && p.mayEvict() && !p.stopped[s.task.ID] {
			p.stop(s.task, state.StopEvict, reasonInterference+"slows down service "+service)
			p.evicted++
			return
		}
	}
}

// throttle raises the throttle of the tasks that explain the excess, and
// reports whether there was any to raise.
func (p *plan) throttle(all []suspect, excess float64, service string) bool {
	raised := false
	for _, s := range all {
		if excess <= 0 {
			break
		}
		next := int64(throttleMost)
		if s.task.Throttle < throttleFirst {
			next = throttleFirst
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

// release lowers the throttle of one task by a step, that of the one with the
// smallest part first.
func (p *plan) release(all []suspect) {
	for _, s := range slices.Backward(all) {
		if s.task.Throttle == 0 {
			continue
		}
		next := int64(0)
		if s.task.Throttle > throttleFirst {
			next = throttleFirst
		}
		p.setThrottle(s.task, next, "replicas are fast again")
		return
	}
}

// mayEvict reports whether the bound on evictions leaves one more.
func (p *plan) mayEvict() bool {
	recent := 0
	for _, at := range p.obs.Evictions {
		if p.now-at < evictionWindow {
			recent++
		}
	}
	return recent+p.evicted < p.EvictionsPerMinute
}

// rise returns how much the task would slow down the replicas on a worker.
func (p *plan) rise(t *state.Task, i int, size state.Resources) float64 {
	p.countReplicas()
	share := ratio(size.MilliCPU, p.view.workers[i].worker.Capacity.MilliCPU)
	worst := 0.0
	for _, service := range p.hosted[i] {
		worst = max(worst, p.obs.Estimates.Effect(service, t.Class).Lower*share)
	}
	return worst
}

// isHarmful reports whether the class is known to slow down any service.
func (p *plan) isHarmful(class string) bool {
	p.findHarm()
	return p.harmful[class]
}

// isHarmed reports whether any class is known to slow the service down.
func (p *plan) isHarmed(service string) bool {
	p.findHarm()
	return p.harmed[service]
}

// findHarm lists the harmful pairs, once per plan. The baselines know none, so
// that they don't avoid pairs either.
func (p *plan) findHarm() {
	if p.harmed != nil {
		return
	}
	p.harmed, p.harmful = make(map[string]bool), make(map[string]bool)
	if p.Interference != InterferenceStepwise {
		return
	}
	for _, k := range p.obs.Estimates.harmfulPairs() {
		p.harmed[k.service] = true
		p.harmful[k.class] = true
	}
}

// riseFrom returns how much the tasks on a worker would slow down a replica.
func (p *plan) riseFrom(service string, i int) float64 {
	if !p.isHarmed(service) {
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
