package worker

import (
	"context"
	"sync"
	"time"

	"apricotrouter/placement"
	"apricotrouter/transport"
)

// ObserveInterval is the time between two samples of a worker and between two
// notices to the leader.
const ObserveInterval = 2 * time.Second

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
		s.observed.add(s.sample(asked, u))
	})
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
