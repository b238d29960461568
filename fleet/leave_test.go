package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"apricotrouter/fleet"
	"apricotrouter/replica"
	"apricotrouter/standin/pool"
	"apricotrouter/state"
)

// sendDelayedHeartbeat sends a heartbeat with an earlier sequence number, like
// one that was delayed by the network.
func (h *harness) sendDelayedHeartbeat(id string, startedAt int64, w *pool.Worker) {
	sequence := h.lastSequence
	h.lastSequence = 0
	h.Expect(h.heartbeat(id, startedAt, w, false)).To(Equal(fleet.OutcomeDone))
	h.lastSequence = sequence
}

func (h *harness) announceLeave(id string) {
	h.Expect(h.call(&fleet.Request{Op: fleet.OpWorkerLeft, WorkerHeartbeat: &fleet.Heartbeat{Worker: state.PoolWorker{ID: id}}}).Outcome).To(Equal(fleet.OutcomeDone))
}

func (h *harness) changeLeader(term uint64) {
	h.log.SetLeadership(replica.Leadership{Leader: "other", Term: term - 1})
	time.Sleep(60 * time.Millisecond)
	h.log.SetLeadership(replica.Leadership{Leader: "memory", Term: term, Self: true, Epoch: term})
	time.Sleep(60 * time.Millisecond)
}

// Guards against tasks on a draining worker after a change of leader, because a
// heartbeat from before the drain was delayed. The new leader does not have the
// last sequence number.
func TestDelayedReportDoesNotEndADrain(t *testing.T) {
	h := newHarness(t)
	startedAt := time.Now().UnixMilli()
	a := h.addWorker("a", pool.Options{RunTime: runFor60ms, StartedAt: startedAt})
	h.Expect(h.heartbeat("a", startedAt, a, true)).To(Equal(fleet.OutcomeDone))
	h.changeLeader(3)
	h.sendDelayedHeartbeat("a", startedAt, a)
	h.Expect(h.submit(step(1))).To(Equal(fleet.OutcomeDone))
	h.Consistently(a.Records, 300*time.Millisecond).Should(BeEmpty())
}

// Guards against tasks on a worker that has left, because an earlier heartbeat
// was delayed, with and without a change of leader.
func TestDelayedReportDoesNotBringAWorkerBack(t *testing.T) {
	for _, withNewLeader := range []bool{false, true} {
		h := newHarness(t)
		startedAt := time.Now().UnixMilli()
		a := h.addWorker("a", pool.Options{RunTime: runFor60ms, StartedAt: startedAt})
		h.Expect(h.heartbeat("a", startedAt, a, true)).To(Equal(fleet.OutcomeDone))
		time.Sleep(350 * time.Millisecond) // until it may shut down
		h.announceLeave("a")
		h.Eventually(func() int { return h.log.State().PoolWorkers.Len() }, waitTimeout).Should(BeZero())
		if withNewLeader {
			h.changeLeader(3)
		}
		h.sendDelayedHeartbeat("a", startedAt, a)
		h.Expect(h.submit(step(1))).To(Equal(fleet.OutcomeDone))
		h.Consistently(a.Records, 300*time.Millisecond).Should(BeEmpty())
		restarted := h.addWorker("a", pool.Options{RunTime: runFor60ms, StartedAt: startedAt + 400})
		h.expectPhase(state.WorkflowCompleted)
		h.Expect(restarted.Records()).To(HaveLen(1))
	}
}

// Guards against runs that are given up and started again on another worker,
// because the leave notice of an earlier incarnation was delayed until the next
// one drained.
func TestDelayedLeaveNoticeOfEarlierIncarnationIsIgnored(t *testing.T) {
	h := newHarness(t)
	startedAt := time.Now().UnixMilli()
	a := h.addWorker("a", pool.Options{RunTime: func(fleet.TaskPosition, uint64) time.Duration { return 1500 * time.Millisecond }, StartedAt: startedAt})
	h.Expect(h.submit(step(2))).To(Equal(fleet.OutcomeDone))
	h.Eventually(func() int { return running(a) }, waitTimeout).Should(Equal(2))
	b := h.addWorker("b", pool.Options{RunTime: runFor60ms})
	h.Expect(h.heartbeat("a", startedAt, a, true)).To(Equal(fleet.OutcomeDone))
	h.announceLeave("a")
	h.expectPhase(state.WorkflowCompleted)
	h.expectNoDuplicateRuns(a, b)
	h.Expect(b.Records()).To(BeEmpty())
}
