package control

import (
	"time"

	"apricotrouter/state"
)

// observedLoss records when this leader first observed the loss of a worker.
type observedLoss struct {
	lostIndex uint64    // log index of the loss
	since     time.Time // time of the first observation, with monotonic clock reading
}

// planLeaseExpirations returns MarkWorkerLeaseExpired commands for the lost
// workers whose leases have certainly expired. A new leader measures
// WorkerLeaseEnd from the time at which it first observes the loss.
func (c *Control) planLeaseExpirations(s *state.State, t *term) []proposal {
	var out []proposal
	now := c.Clock.Now()
	for id, w := range s.Workers.All() {
		if w.Condition != state.WorkerLost {
			delete(t.lost, id)
			continue
		}
		l, known := t.lost[id]
		if !known || l.lostIndex != w.LostIndex {
			t.lost[id] = observedLoss{lostIndex: w.LostIndex, since: now}
			continue
		}
		if now.Sub(l.since) >= WorkerLeaseEnd && hasTasks(s, id) {
			out = append(out, proposal{body: state.MarkWorkerLeaseExpired{Worker: id, LostFence: w.LostFence, LostIndex: w.LostIndex}})
		}
	}
	return out
}

func hasTasks(s *state.State, worker string) bool {
	for range s.TasksOnWorker(worker) {
		return true
	}
	return false
}
