package placement

import (
	"slices"
	"strings"

	"apricotrouter/state"
)

const (
	// settleTime is how long an action needs to take effect on a worker after
	// it was committed, in milliseconds. Samples from before are not judged,
	// however late they arrive, so the wait is at least the measurement lag.
	settleTime = 2000
	// highRatio is the latency ratio above which the policy acts, and lowRatio
	// the one below which it releases; between the two it does nothing.
	highRatio = 1.5
	lowRatio  = 1.15
	// firstHold and maxHold bound the samples below lowRatio that a release
	// waits for.
	firstHold = 5
	maxHold   = 80
	// flapTime is how soon after a release a new throttle shows that the
	// release was too early, in milliseconds.
	flapTime = 120_000
	// evictionWindow is the span of the bound on evictions, in milliseconds.
	evictionWindow = 60_000
	// watchTime is how long the end of a task that is no longer sampled is
	// waited for, in milliseconds.
	watchTime = 60_000
)

// Collector turns the notices of session holders into Observations. It is
// used by one goroutine.
type Collector struct {
	obs   Observations
	watch map[string]watched // tasks that are no longer sampled
}

// watched is a task whose end is expected to be committed soon.
type watched struct {
	incarnation uint64
	since       int64 // Unix milliseconds
}

// NewCollector returns an empty collector of a leader elected at since, in
// Unix milliseconds.
func NewCollector(since int64) *Collector {
	return &Collector{
		obs: Observations{
			Since:     since,
			Workers:   make(map[string]*WorkerObservation),
			Estimates: NewEstimates(),
		},
		watch: make(map[string]watched),
	}
}

// Observations returns what is known. It is valid until the next call of a
// method of the collector.
func (c *Collector) Observations() Observations { return c.obs }

// Planned forgets which workers have new samples.
func (c *Collector) Planned() { c.obs.Updated = nil }

// Add takes in a notice received at now. Samples of an earlier owner and ones
// older than the last are dropped.
func (c *Collector) Add(s *state.State, n *ObservationsNotice, now int64) {
	for i := range n.Workers {
		sample := &n.Workers[i]
		a := s.Assignment(state.AssignWorker, sample.Worker)
		if a == nil || a.Fence != sample.Fence {
			continue
		}
		// The clock of the sender may be ahead of this one.
		sample.SampledAt = min(sample.SampledAt, now)
		o := c.obs.Workers[sample.Worker]
		if o == nil {
			o = &WorkerObservation{Hold: firstHold}
			c.obs.Workers[sample.Worker] = o
		}
		if o.Sample != nil && o.Sample.SampledAt >= sample.SampledAt {
			continue
		}
		c.watchEnds(o.Sample, sample, now)
		o.Sample = sample
		c.learn(s, o)
		c.judge(o)
		c.obs.Updated = append(c.obs.Updated, sample.Worker)
	}
	slices.Sort(c.obs.Updated)
	c.obs.Updated = slices.Compact(c.obs.Updated)
	c.learnEnds(s, now)
}

// learn updates the estimates from a worker's new sample.
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
			o.Throttled += throttled(t)
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

func throttled(t *state.Task) int {
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

// judge counts the sample as above or below, if the last action had time to
// take effect before it was taken.
func (c *Collector) judge(o *WorkerObservation) {
	if o.Sample.SampledAt < max(o.ActedAt+settleTime, c.obs.Since) {
		return
	}
	worst := o.Sample.worstRatio()
	o.Above++
	o.Below++
	if worst <= highRatio {
		o.Above = 0
	}
	if worst >= lowRatio {
		o.Below = 0
	}
}

// worstRatio returns the highest latency ratio of the sample; 0 without one.
func (w *WorkerSample) worstRatio() float64 {
	worst := 0.0
	for _, t := range w.Tasks {
		worst = max(worst, t.LatencyRatio)
	}
	return worst
}

// watchEnds remembers the tasks that are no longer sampled.
func (c *Collector) watchEnds(old, sample *WorkerSample, now int64) {
	if old == nil {
		return
	}
	for _, ts := range old.Tasks {
		gone := !slices.ContainsFunc(sample.Tasks, func(o TaskSample) bool {
			return o.Task == ts.Task && o.Incarnation == ts.Incarnation
		})
		if gone {
			c.watch[ts.Task] = watched{incarnation: ts.Incarnation, since: now}
		}
	}
}

// learnEnds learns the run times of watched tasks that completed in one run.
func (c *Collector) learnEnds(s *state.State, now int64) {
	for id, w := range c.watch {
		t := s.Task(id)
		open := t != nil && t.Holds() && t.Incarnation == w.incarnation && now-w.since < watchTime
		if open {
			continue
		}
		delete(c.watch, id)
		if t != nil && t.Phase == state.PhaseCompleted && t.Incarnation == w.incarnation && t.Incarnation == 1 {
			c.obs.Estimates.learnRunTime(t)
		}
	}
}

// NoteAction remembers a proposed command that acts on interference. s is a
// state in which the named tasks were still on their workers.
func (c *Collector) NoteAction(s *state.State, body state.Body, now int64) {
	switch b := body.(type) {
	case state.ThrottleTask:
		if t := s.Task(b.Task); t != nil {
			c.noteThrottle(t, b, now)
		}
	case state.StopTasks:
		for _, stop := range b.Stops {
			if strings.HasPrefix(stop.Reason, reasonInterference) || strings.HasPrefix(stop.Reason, reasonOverload) {
				c.noteEviction(s, stop, now)
			}
		}
	}
	c.obs.Evictions = slices.DeleteFunc(c.obs.Evictions, func(at int64) bool { return now-at >= evictionWindow })
}

func (c *Collector) noteThrottle(t *state.Task, b state.ThrottleTask, now int64) {
	o := c.acted(t.Worker, now)
	if o == nil {
		return
	}
	if b.Percent < t.Throttle {
		o.ReleasedAt = now
		return
	}
	if o.ReleasedAt != 0 && now-o.ReleasedAt < flapTime {
		o.Hold = min(2*o.Hold, maxHold)
	}
}

func (c *Collector) noteEviction(s *state.State, stop state.TaskStop, now int64) {
	c.obs.Evictions = append(c.obs.Evictions, now)
	if t := s.Task(stop.Task); t != nil {
		c.acted(t.Worker, now)
	}
}

// acted starts the wait for the effect of an action on a worker.
func (c *Collector) acted(worker string, now int64) *WorkerObservation {
	o := c.obs.Workers[worker]
	if o != nil {
		o.ActedAt, o.Above, o.Below = now, 0, 0
	}
	return o
}
