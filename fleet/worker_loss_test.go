package fleet_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"apricotrouter/fleet"
	"apricotrouter/standin/pool"
	"apricotrouter/state"
)

// partitionedWorker is a Worker whose polls fail after a delay while a partition
// lasts.
type partitionedWorker struct {
	fleet.Worker
	partition *atomic.Bool
	delay     time.Duration
}

func (w partitionedWorker) Poll(ctx context.Context, c fleet.PollCall) (*fleet.Report, error) {
	r, err := w.Worker.Poll(ctx, c)
	if !w.partition.Load() {
		return r, err
	}
	time.Sleep(w.delay)
	return nil, pool.ErrNoResponse
}

// Guards against a partition that counts as a crash under each task because calls
// to its workers time out one after the other.
func TestWorkersThatCrashBehindAPartitionAreLostTogether(t *testing.T) {
	const (
		workers   = 4
		noticeGap = 150 * time.Millisecond // between one loss and the next
	)
	var partition atomic.Bool
	h := newHarness(t, func(o *fleet.Options) {
		dial, dialed := o.Dial, time.Duration(0)
		o.Dial = func(w state.PoolWorker) fleet.Worker {
			dialed++
			return partitionedWorker{dial(w), &partition, dialed * noticeGap}
		}
	})
	var lost []*restartedWorker
	for i := range workers {
		r := &restartedWorker{harness: h, id: fmt.Sprintf("worker-%d", i)}
		r.restart()
		lost = append(lost, r)
	}
	h.Expect(h.submit(step(workers, untilStopped, func(s *state.WorkflowStep) { s.MaxPerWorker = 1 }))).To(Equal(fleet.OutcomeDone))
	for _, r := range lost {
		h.Eventually(func() int { return running(r.incarnations[0]) }, waitTimeout, "1ms").Should(Equal(1))
	}
	time.Sleep(500 * time.Millisecond) // until the runs are known to have been at work
	partition.Store(true)
	for _, r := range lost {
		r.incarnations[0].Crash()
	}
	time.Sleep((workers + 1) * noticeGap)
	partition.Store(false)
	for _, r := range lost {
		r.restart()
	}
	for _, r := range lost {
		h.Eventually(func() int { return running(r.incarnations[1]) }, waitTimeout, "1ms").Should(Equal(1))
	}
	w, _ := h.log.State().Workflows.Get(jobID)
	for _, task := range w.Tasks {
		h.Expect(task.UnexplainedCrashes).To(BeZero())
		h.Expect(task.ExplainedRuns).To(Equal([]uint64{1}))
	}
}
