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

// delayed sends a report of a life with an earlier sequence, as one that was
// held up on its way.
func (h *harness) delayed(id string, born int64, w *pool.Worker) {
	later := h.beats
	h.beats = 0
	h.Expect(h.beat(id, born, w, false)).To(Equal(fleet.Done))
	h.beats = later
}

func (h *harness) leave(id string) {
	h.Expect(h.call(&fleet.Request{Op: fleet.OpWorkerLeft, Beat: &fleet.Heartbeat{Worker: state.PoolWorker{ID: id}}}).Outcome).To(Equal(fleet.Done))
}

func (h *harness) changeLeader(term uint64) {
	h.log.SetLeadership(replica.Leadership{Leader: "other", Term: term - 1})
	time.Sleep(60 * time.Millisecond)
	h.log.SetLeadership(replica.Leadership{Leader: "memory", Term: term, Self: true, Epoch: term})
	time.Sleep(60 * time.Millisecond)
}

// Guards against a worker that is used again after a change of leader, since a
// report from before its drain was delayed: the new leader knows no sequence.
func TestDelayedReportDoesNotEndADrain(t *testing.T) {
	h := newHarness(t)
	born := time.Now().UnixMilli()
	a := h.worker("a", pool.Options{Work: slowly, Born: born})
	h.Expect(h.beat("a", born, a, true)).To(Equal(fleet.Done))
	h.changeLeader(3)
	h.delayed("a", born, a)
	h.Expect(h.submit(step(1))).To(Equal(fleet.Done))
	h.Consistently(a.Records, 300*time.Millisecond).Should(BeEmpty())
}

// Guards against a worker that left and is used again, since a report from
// before was delayed; also after a change of leader.
func TestDelayedReportDoesNotBringAWorkerBack(t *testing.T) {
	for _, change := range []bool{false, true} {
		h := newHarness(t)
		born := time.Now().UnixMilli()
		a := h.worker("a", pool.Options{Work: slowly, Born: born})
		h.Expect(h.beat("a", born, a, true)).To(Equal(fleet.Done))
		time.Sleep(350 * time.Millisecond) // until it may end
		h.leave("a")
		h.Eventually(func() int { return h.log.State().PoolWorkers.Len() }, patience).Should(BeZero())
		if change {
			h.changeLeader(3)
		}
		h.delayed("a", born, a)
		h.Expect(h.submit(step(1))).To(Equal(fleet.Done))
		h.Consistently(a.Records, 300*time.Millisecond).Should(BeEmpty())
		again := h.worker("a", pool.Options{Work: slowly, Born: born + 400})
		h.eventually(state.WorkflowCompleted)
		h.Expect(again.Records()).To(HaveLen(1))
	}
}

// Guards against runs that are given up, and started again elsewhere, since the
// notice that an earlier life had left was delayed until the next one drained.
func TestDelayedNoticeOfAnEarlierLifeEndsNoRuns(t *testing.T) {
	h := newHarness(t)
	born := time.Now().UnixMilli()
	a := h.worker("a", pool.Options{Work: func(fleet.TaskPosition, uint64) time.Duration { return 1500 * time.Millisecond }, Born: born})
	h.Expect(h.submit(step(2))).To(Equal(fleet.Done))
	h.Eventually(func() int { return running(a) }, patience).Should(Equal(2))
	b := h.worker("b", pool.Options{Work: slowly})
	h.Expect(h.beat("a", born, a, true)).To(Equal(fleet.Done))
	h.leave("a")
	h.eventually(state.WorkflowCompleted)
	h.expectOnce(a, b)
	h.Expect(b.Records()).To(BeEmpty())
}
