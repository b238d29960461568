package worker

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"apricotrouter/placement"
	"apricotrouter/state"
	"apricotrouter/transport"
)

// ObserveInterval is the time between two samples of a worker and between two
// notices to the leader.
const ObserveInterval = 2 * time.Second

// A sample is sent only if it tells the leader something new, as all samples of
// 92 workers would take several times the 10 KB/s that control may send.
const (
	// resendAfter is the longest time between two samples of a worker.
	resendAfter = 20 * time.Second
	// calmRatio is the latency ratio from which each sample is sent. It is
	// below the ratio at which placement ends a throttle.
	calmRatio = 1.1
	// usageChange is the relative change of usage from which a sample is sent,
	// and the two amounts below are changes that never matter.
	usageChange    = 0.25
	smallMilliCPU  = 250
	smallMemoryMiB = 256
)

// sentSample is the last sample of a worker that was sent.
type sentSample struct {
	at     time.Time
	term   uint64 // of the leader; a new leader knows no samples
	sample placement.WorkerSample
}

// observations holds the samples taken since the last notice.
type observations struct {
	mu      sync.Mutex
	samples []placement.WorkerSample
}

func (o *observations) add(s placement.WorkerSample) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.samples = append(o.samples, s)
}

func (o *observations) take() []placement.WorkerSample {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.samples
	o.samples = nil
	return s
}

// sendObservations sends the samples of all sessions to the leader until ctx
// ends. Samples that can't be sent are dropped, as newer ones follow.
func (m *Manager) sendObservations(ctx context.Context) {
	ticker := m.o.Clock.NewTicker(ObserveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		samples := m.observed.take()
		leader := m.o.Log.Leadership().Leader
		if len(samples) == 0 || leader == "" {
			continue
		}
		_ = m.o.Peers.Notify(leader, transport.KindObservations, placement.ObservationsNotice{Workers: samples})
	}
}

// observe samples the usage of the worker's tasks in the background if a
// sample is due.
func (s *session) observe(ctx context.Context) {
	if s.observed == nil || s.Clock.Since(s.lastSample) < ObserveInterval {
		return
	}
	s.lastSample = s.Clock.Now()
	api := s.api
	s.ops.Go(func() {
		asked := s.Clock.Now()
		u, err := api.Usage(ctx, UsageRequest{Fence: s.fence})
		if err != nil || len(u.Tasks) == 0 {
			return
		}
		s.offer(s.sample(asked, u))
	})
}

// offer passes the sample on if it tells something new.
func (s *session) offer(sample placement.WorkerSample) {
	term := s.Log.Leadership().Term
	s.mu.Lock()
	defer s.mu.Unlock()
	last := &s.lastSent
	known := last.term == term && s.Clock.Since(last.at) < resendAfter
	if known && !s.throttled(sample) && calm(sample) && similar(last.sample, sample) {
		return
	}
	*last = sentSample{at: s.Clock.Now(), term: term, sample: sample}
	s.observed.add(sample)
}

// throttled reports whether a task of the sample is throttled. The leader then
// counts samples until it releases the task.
func (s *session) throttled(sample placement.WorkerSample) bool {
	st := s.Log.State()
	return slices.ContainsFunc(sample.Tasks, func(t placement.TaskSample) bool {
		known := st.Task(t.Task)
		return known != nil && known.Throttle > 0
	})
}

func calm(sample placement.WorkerSample) bool {
	return !slices.ContainsFunc(sample.Tasks, func(t placement.TaskSample) bool { return t.LatencyRatio >= calmRatio })
}

// similar reports whether both samples have the same tasks with about the same
// usage and are calm.
func similar(a, b placement.WorkerSample) bool {
	if len(a.Tasks) != len(b.Tasks) || !calm(a) {
		return false
	}
	before := make(map[TaskKey]state.Resources, len(a.Tasks))
	for _, t := range a.Tasks {
		before[TaskKey{t.Task, t.Incarnation}] = t.Used
	}
	for _, t := range b.Tasks {
		used, ok := before[TaskKey{t.Task, t.Incarnation}]
		if !ok || !near(used.MilliCPU, t.Used.MilliCPU, smallMilliCPU) || !near(used.MemoryMiB, t.Used.MemoryMiB, smallMemoryMiB) {
			return false
		}
	}
	return true
}

// near reports whether the change from a to b does not matter.
func near(a, b int64, small float64) bool {
	return math.Abs(float64(b-a)) <= max(small, usageChange*float64(a))
}

// sample converts the worker's readings to times of this instance. The answer
// was given after asked, so the result is at most as late as the sample.
func (s *session) sample(asked time.Time, u UsageResponse) placement.WorkerSample {
	out := placement.WorkerSample{Worker: s.worker, Fence: s.fence, SampledAt: asked.UnixMilli()}
	for _, t := range u.Tasks {
		out.SampledAt = min(out.SampledAt, asked.UnixMilli()-(u.NowMs-t.SampledMs))
		out.Tasks = append(out.Tasks, placement.TaskSample{
			Task: t.Task, Incarnation: t.Incarnation, Used: t.Used, LatencyRatio: t.LatencyRatio,
		})
	}
	return out
}
