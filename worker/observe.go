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

// ObserveInterval is the time between two usage samples of a worker and between
// two messages to the leader.
const ObserveInterval = 2 * time.Second

// A sample is sent only if the leader needs it (see queueIfChanged). All samples
// of 92 workers would need several times the limit of 10 KB/s for control traffic.
const (
	// maxResendInterval is the time after which a sample is sent even if it is
	// unchanged.
	maxResendInterval = 20 * time.Second
	// elevatedLatencyRatio is the latency ratio at or above which every sample
	// is sent. It is below the ratio at which placement ends a throttle.
	elevatedLatencyRatio = 1.1
	// significantUsageChange is the relative change of usage above which a
	// sample is sent. Changes up to the two amounts below are always ignored.
	significantUsageChange = 0.25
	ignoredMilliCPUChange  = 250
	ignoredMemoryMiBChange = 256
)

// sentSample is the last sample sent for a worker.
type sentSample struct {
	at     time.Time
	term   uint64 // leader's term; a new leader has no samples
	sample placement.WorkerSample
}

// sampleBuffer stores the samples to be sent with the next message.
type sampleBuffer struct {
	mu      sync.Mutex
	samples []placement.WorkerSample
}

func (o *sampleBuffer) add(s placement.WorkerSample) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.samples = append(o.samples, s)
}

func (o *sampleBuffer) drain() []placement.WorkerSample {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.samples
	o.samples = nil
	return s
}

// sendObservations sends the buffered samples of all sessions to the leader
// until ctx ends. Samples that can't be sent are dropped, because newer ones
// follow.
func (m *Manager) sendObservations(ctx context.Context) {
	ticker := m.o.Clock.NewTicker(ObserveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		samples := m.buffer.drain()
		leader := m.o.Log.Leadership().Leader
		if len(samples) == 0 || leader == "" {
			continue
		}
		_ = m.o.Peers.SendOneWay(leader, transport.KindObservations, placement.ObservationsNotice{Workers: samples})
	}
}

// observe samples the usage of the worker's tasks in the background if
// ObserveInterval has passed since the last sample.
func (s *session) observe(ctx context.Context) {
	if s.buffer == nil || s.Clock.Since(s.lastSample) < ObserveInterval {
		return
	}
	s.lastSample = s.Clock.Now()
	api := s.api
	s.background.Go(func() {
		requestedAt := s.Clock.Now()
		u, err := api.Usage(ctx, UsageRequest{Fence: s.fence})
		if err != nil || len(u.Tasks) == 0 {
			return
		}
		s.queueIfChanged(s.sample(requestedAt, u))
	})
}

// queueIfChanged queues the sample for sending if the leader needs it: the last
// sent sample is outdated or went to an earlier leader, a task is throttled, its
// latency is elevated, or the usage has changed.
func (s *session) queueIfChanged(sample placement.WorkerSample) {
	term := s.Log.Leadership().Term
	s.mu.Lock()
	defer s.mu.Unlock()
	last := &s.lastSent
	recent := last.term == term && s.Clock.Since(last.at) < maxResendInterval
	if recent && !s.throttled(sample) && hasNormalLatency(sample) && similar(last.sample, sample) {
		return
	}
	*last = sentSample{at: s.Clock.Now(), term: term, sample: sample}
	s.buffer.add(sample)
}

// throttled reports whether a task of the sample is throttled. The leader counts
// the samples of a throttled task to decide when to end the throttle.
func (s *session) throttled(sample placement.WorkerSample) bool {
	st := s.Log.State()
	return slices.ContainsFunc(sample.Tasks, func(t placement.TaskSample) bool {
		known := st.Task(t.Task)
		return known != nil && known.Throttle > 0
	})
}

func hasNormalLatency(sample placement.WorkerSample) bool {
	return !slices.ContainsFunc(sample.Tasks, func(t placement.TaskSample) bool { return t.LatencyRatio >= elevatedLatencyRatio })
}

// similar reports whether both samples have the same tasks with about the same
// usage, and no task of a has an elevated latency.
func similar(a, b placement.WorkerSample) bool {
	if len(a.Tasks) != len(b.Tasks) || !hasNormalLatency(a) {
		return false
	}
	before := make(map[TaskKey]state.Resources, len(a.Tasks))
	for _, t := range a.Tasks {
		before[TaskKey{t.Task, t.Incarnation}] = t.Used
	}
	for _, t := range b.Tasks {
		used, ok := before[TaskKey{t.Task, t.Incarnation}]
		if !ok || !withinTolerance(used.MilliCPU, t.Used.MilliCPU, ignoredMilliCPUChange) || !withinTolerance(used.MemoryMiB, t.Used.MemoryMiB, ignoredMemoryMiBChange) {
			return false
		}
	}
	return true
}

// withinTolerance reports whether the change from a to b is at most small, or at
// most the fraction significantUsageChange of a.
func withinTolerance(a, b int64, small float64) bool {
	return math.Abs(float64(b-a)) <= max(small, significantUsageChange*float64(a))
}

// sample converts the worker's clock readings to times of this instance. The
// worker responded after requestedAt, so the computed time is never later than
// the actual time of the sample.
func (s *session) sample(requestedAt time.Time, u UsageResponse) placement.WorkerSample {
	out := placement.WorkerSample{Worker: s.worker, Fence: s.fence, SampledAt: requestedAt.UnixMilli()}
	for _, t := range u.Tasks {
		out.SampledAt = min(out.SampledAt, requestedAt.UnixMilli()-(u.NowMs-t.SampledMs))
		out.Tasks = append(out.Tasks, placement.TaskSample{
			Task: t.Task, Incarnation: t.Incarnation, Used: t.Used, LatencyRatio: t.LatencyRatio,
		})
	}
	return out
}
