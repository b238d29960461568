package placement

import (
	"slices"
	"strings"

	"apricotrouter/state"
)

const (
	// mitigationDelay is the time after the commit of a mitigation until it
	// takes effect on the worker, in milliseconds. Samples taken before that do
	// not count, however late they arrive, so the effective delay is at least
	// the measurement lag.
	mitigationDelay = 2000
	// slowRatio is the latency ratio above which interference is mitigated.
	// recoveredRatio is the ratio below which mitigations are released. Between
	// the two, nothing changes.
	slowRatio      = 1.5
	recoveredRatio = 1.15
	// minReleaseSamples and maxReleaseSamples bound the number of consecutive
	// samples below recoveredRatio that a release requires.
	minReleaseSamples = 5
	maxReleaseSamples = 80
	// flapWindow is the time after a release, in milliseconds, within which a
	// new throttle shows that the release was premature.
	flapWindow = 120_000
	// evictionWindow is the window of the eviction rate limit, in milliseconds.
	evictionWindow = 60_000
	// maxEndWait is how long the collector waits for the committed end of a
	// task that is no longer sampled, in milliseconds.
	maxEndWait = 60_000
)

// Collector builds Observations from the messages of the instances that have
// worker sessions. It is not safe for concurrent use.
type Collector struct {
	obs   Observations
	ended map[string]endedTask // tasks that are no longer sampled, by id
}

// endedTask is a task whose end is expected to be committed soon.
type endedTask struct {
	incarnation uint64
	since       int64 // Unix milliseconds
}

// NewCollector returns an empty collector for a leader elected at since, in
// Unix milliseconds.
func NewCollector(since int64) *Collector {
	return &Collector{
		obs: Observations{
			Since:     since,
			Workers:   make(map[string]*WorkerObservation),
			Estimates: NewEstimates(),
		},
		ended: make(map[string]endedTask),
	}
}

// Observations returns the current observations. The result is valid until the
// next call of a method of the collector.
func (c *Collector) Observations() Observations { return c.obs }

// EndStep clears the list of workers with new samples.
func (c *Collector) EndStep() { c.obs.Updated = nil }

// Add processes a message received at now, in Unix milliseconds. Samples from a
// previous owner of the worker and samples that are not newer than the last one
// are dropped.
func (c *Collector) Add(s *state.State, n *ObservationsNotice, now int64) {
	for i := range n.Workers {
		sample := &n.Workers[i]
		a := s.Assignment(state.AssignWorker, sample.Worker)
		if a == nil || a.Fence != sample.Fence {
			continue
		}
		// The sender's clock may be ahead of the local one.
		sample.SampledAt = min(sample.SampledAt, now)
		o := c.obs.Workers[sample.Worker]
		if o == nil {
			o = &WorkerObservation{ReleaseSamples: minReleaseSamples}
			c.obs.Workers[sample.Worker] = o
		}
		if o.Sample != nil && o.Sample.SampledAt >= sample.SampledAt {
			continue
		}
		c.recordEnded(o.Sample, sample, now)
		o.Sample = sample
		c.learn(s, o)
		c.countSample(o)
		c.obs.Updated = append(c.obs.Updated, sample.Worker)
	}
	slices.Sort(c.obs.Updated)
	c.obs.Updated = slices.Compact(c.obs.Updated)
	c.learnRunTimes(s, now)
}

// learn updates the estimates from the worker's latest sample.
func (c *Collector) learn(s *state.State, o *WorkerObservation) {
	sample := o.Sample
	o.Throttled = 0
	w, ok := s.Workers.Get(sample.Worker)
	if !ok {
		return
	}
	var loads []load
	for _, ts := range sample.Tasks {
		t := s.Task(ts.Task)
		if t == nil || t.Kind != state.KindBatch {
			continue
		}
		if t.Incarnation == ts.Incarnation {
			c.obs.Estimates.learnSize(t, ts.Used)
			o.Throttled += throttledCount(t)
		}
		loads = addLoad(loads, t.Class, ratio(ts.Used.MilliCPU, w.Capacity.MilliCPU))
	}
	for _, ts := range sample.Tasks {
		t := s.Task(ts.Task)
		if t != nil && t.Kind == state.KindLatencyCritical && ts.LatencyRatio > 0 {
			c.obs.Estimates.learn(t.Owner, ts.LatencyRatio, loads, sample.SampledAt)
		}
	}
}

func throttledCount(t *state.Task) int {
	if t.Throttle > 0 {
		return 1
	}
	return 0
}

func addLoad(loads []load, class string, share float64) []load {
	for i := range loads {
		if loads[i].class == class {
			loads[i].share += share
			return loads
		}
	}
	return append(loads, load{class, share})
}

// countSample updates the counts of consecutive samples above slowRatio and
// below recoveredRatio. It ignores samples taken before the last mitigation
// took effect.
func (c *Collector) countSample(o *WorkerObservation) {
	if o.Sample.SampledAt < max(o.MitigatedAt+mitigationDelay, c.obs.Since) {
		return
	}
	worst := o.Sample.worstRatio()
	o.SlowSamples++
	o.RecoveredSamples++
	if worst <= slowRatio {
		o.SlowSamples = 0
	}
	if worst >= recoveredRatio {
		o.RecoveredSamples = 0
	}
}

// worstRatio returns the highest latency ratio in the sample, or 0 if there is
// none.
func (w *WorkerSample) worstRatio() float64 {
	worst := 0.0
	for _, t := range w.Tasks {
		worst = max(worst, t.LatencyRatio)
	}
	return worst
}

// recordEnded records the tasks of the old sample that are missing from the new
// one.
func (c *Collector) recordEnded(old, sample *WorkerSample, now int64) {
	if old == nil {
		return
	}
	for _, ts := range old.Tasks {
		missing := !slices.ContainsFunc(sample.Tasks, func(o TaskSample) bool {
			return o.Task == ts.Task && o.Incarnation == ts.Incarnation
		})
		if missing {
			c.ended[ts.Task] = endedTask{incarnation: ts.Incarnation, since: now}
		}
	}
}

// learnRunTimes updates the run-time estimates from ended tasks that completed
// in their first incarnation.
func (c *Collector) learnRunTimes(s *state.State, now int64) {
	for id, w := range c.ended {
		t := s.Task(id)
		pending := t != nil && t.HasReservation() && t.Incarnation == w.incarnation && now-w.since < maxEndWait
		if pending {
			continue
		}
		delete(c.ended, id)
		if t != nil && t.Phase == state.PhaseCompleted && t.Incarnation == w.incarnation && t.Incarnation == 1 {
			c.obs.Estimates.learnRunTime(t)
		}
	}
}

// RecordAction records a proposed command that mitigates interference or
// overload. In s, the tasks of the command are still on their workers.
func (c *Collector) RecordAction(s *state.State, body state.Body, now int64) {
	switch b := body.(type) {
	case state.ThrottleTask:
		if t := s.Task(b.Task); t != nil {
			c.recordThrottle(t, b, now)
		}
	case state.StopTasks:
		for _, stop := range b.Stops {
			if strings.HasPrefix(stop.Reason, reasonInterference) || strings.HasPrefix(stop.Reason, reasonOverload) {
				c.recordEviction(s, stop, now)
			}
		}
	}
	c.obs.Evictions = slices.DeleteFunc(c.obs.Evictions, func(at int64) bool { return now-at >= evictionWindow })
}

func (c *Collector) recordThrottle(t *state.Task, b state.ThrottleTask, now int64) {
	o := c.recordMitigation(t.Worker, now)
	if o == nil {
		return
	}
	if b.Percent < t.Throttle {
		o.ReleasedAt = now
		return
	}
	if o.ReleasedAt != 0 && now-o.ReleasedAt < flapWindow {
		o.ReleaseSamples = min(2*o.ReleaseSamples, maxReleaseSamples)
	}
}

func (c *Collector) recordEviction(s *state.State, stop state.TaskStop, now int64) {
	c.obs.Evictions = append(c.obs.Evictions, now)
	if t := s.Task(stop.Task); t != nil {
		c.recordMitigation(t.Worker, now)
	}
}

// recordMitigation records the time of a mitigation on a worker and resets the
// sample counts.
func (c *Collector) recordMitigation(worker string, now int64) *WorkerObservation {
	o := c.obs.Workers[worker]
	if o != nil {
		o.MitigatedAt, o.SlowSamples, o.RecoveredSamples = now, 0, 0
	}
	return o
}
