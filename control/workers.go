package control

import (
	"time"

	"apricotrouter/state"
)

// lostWorker is when this leader first saw a loss of a worker.
type lostWorker struct {
	index uint64    // log index of the loss
	since time.Time // monotonic
}

// endedLeases returns MarkWorkerLeaseEnded for the workers whose leases have
// certainly ended. A new leader counts from when it first sees a worker lost.
func (c *Control) endedLeases(s *state.State, t *term) []proposal {
	var out []proposal
	now := c.Clock.Now()
	for id, w := range s.Workers.All() {
		if w.Condition != state.WorkerLost {
			delete(t.lost, id)
			continue
		}
		l, known := t.lost[id]
		if !known || l.index != w.LostIndex {
			t.lost[id] = lostWorker{index: w.LostIndex, since: now}
			continue
		}
		if now.Sub(l.since) >= WorkerLeaseEnd && holdsTasks(s, id) {
			out = append(out, proposal{body: state.MarkWorkerLeaseEnded{Worker: id, LostFence: w.LostFence, LostIndex: w.LostIndex}})
		}
	}
	return out
}

func holdsTasks(s *state.State, worker string) bool {
	for range s.TasksOnWorker(worker) {
		return true
	}
	return false
}
