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

var errOtherIncarnation = &fleet.RefusedError{Reason: fleet.RefusedOtherIncarnation}

// replacements makes later incarnations answer at the addresses of workers.
type replacements struct {
	active  atomic.Bool   // starts are refused from now on
	refused atomic.Int64  // starts
	delay   time.Duration // of the refusals of starts
	poll    error         // of polls after the first refused start was sent
}

// replacedWorker is a Worker whose later incarnation refuses starts.
type replacedWorker struct {
	fleet.Worker
	*replacements
	replaced *atomic.Bool
	closed   chan struct{}
}

func (w replacedWorker) Start(ctx context.Context, c fleet.StartCall) error {
	if !w.active.Load() {
		return w.Worker.Start(ctx, c)
	}
	w.replaced.Store(true)
	w.refused.Add(1)
	select {
	case <-time.After(w.delay):
		return errOtherIncarnation
	case <-w.closed:
		return pool.ErrNoResponse
	}
}

func (w replacedWorker) Close() {
	close(w.closed)
	w.Worker.Close()
}

func (w replacedWorker) Poll(ctx context.Context, c fleet.PollCall) (*fleet.Report, error) {
	if w.replaced.Load() {
		return nil, w.poll
	}
	return w.Worker.Poll(ctx, c)
}

func (r *replacements) option(o *fleet.Options) {
	dial := o.Dial
	o.Dial = func(w state.PoolWorker) fleet.Worker {
		if w.ID == "later" {
			return dial(w)
		}
		return replacedWorker{dial(w), r, new(atomic.Bool), make(chan struct{})}
	}
}

// Guards against giving up a task because later incarnations of crashed workers
// refused its starts, also if they refuse polls first.
func TestStartRefusedByALaterIncarnationIsNoCrash(t *testing.T) {
	for name, r := range map[string]*replacements{
		"before the poll": {poll: pool.ErrNoResponse},
		"after the poll":  {poll: errOtherIncarnation, delay: 30 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			const workers = maxStartsOfCrashingTask + 2
			h := newHarness(t, r.option)
			for i := range workers {
				h.addWorker(fmt.Sprintf("worker-%d", i), pool.Options{RunTime: runForever})
			}
			r.active.Store(true)
			h.Expect(h.submit(step(1))).To(Equal(fleet.OutcomeDone))
			h.Eventually(r.refused.Load, waitTimeout, "5ms").Should(BeEquivalentTo(workers))
			h.Consistently(func() bool { return h.phase().Ended() }, "200ms", "10ms").Should(BeFalse())
			h.Expect(h.taskOf(jobID).CrashedRuns).To(BeEmpty())
			h.addWorker("later", pool.Options{RunTime: runFor60ms})
			h.expectPhase(state.WorkflowCompleted)
		})
	}
}

// Guards against evidence that is lost for the runs beside a refused start: the
// worker that ran them has crashed.
func TestCrashFoundByARefusedStartCountsForTheRunsOfTheWorker(t *testing.T) {
	r := &replacements{poll: pool.ErrNoResponse}
	h := newHarness(t, r.option)
	a := h.addWorker("a", pool.Options{RunTime: runForever})
	h.submitAs(otherID(0), small(1))
	h.Eventually(func() int { return running(a) }, waitTimeout, "1ms").Should(Equal(1))
	r.active.Store(true)
	h.submitAs(otherID(1), small(1))
	h.Eventually(func() []uint64 { return h.taskOf(otherID(0)).CrashedRuns }, waitTimeout, "5ms").Should(Equal([]uint64{1}))
	h.Consistently(func() []uint64 { return h.taskOf(otherID(1)).CrashedRuns }, "100ms", "10ms").Should(BeEmpty())
}
