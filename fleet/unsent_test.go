package fleet_test

import (
	"context"
	"errors"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"apricotrouter/fleet"
	"apricotrouter/standin/pool"
	"apricotrouter/state"
)

// failingCaller fails the given numbers of calls on the side of the caller.
type failingCaller struct {
	fleet.Worker
	starts, polls *atomic.Int64
	local         bool
}

func (e failingCaller) err() error {
	return &fleet.NotSentError{Err: syscall.EMFILE, Local: e.local}
}

func (e failingCaller) Start(ctx context.Context, c fleet.StartCall) error {
	if e.starts.Add(-1) >= 0 {
		return e.err()
	}
	return e.Worker.Start(ctx, c)
}

func (e failingCaller) Poll(ctx context.Context, c fleet.PollCall) (*fleet.Report, error) {
	if e.polls.Add(-1) >= 0 {
		return nil, e.err()
	}
	return e.Worker.Poll(ctx, c)
}

// failCalls makes the given numbers of starts and polls fail before they are
// sent.
func failCalls(starts, polls int64, local bool) func(*fleet.Options) {
	var s, p atomic.Int64
	s.Store(starts)
	p.Store(polls)
	return func(o *fleet.Options) {
		dial := o.Dial
		o.Dial = func(w state.PoolWorker) fleet.Worker { return failingCaller{dial(w), &s, &p, local} }
	}
}

// Guards against a delay until a run is known not to exist although its start
// never left the leader. With one worker, the task must start there at once
// under the next run number, without a stop.
func TestStartThatWasNotSentIsPlacedAgainAtOnce(t *testing.T) {
	h := newHarness(t, failCalls(1, 0, true))
	a := h.addWorker("a", pool.Options{RunTime: runFor60ms})
	h.Expect(h.submit(step(1))).To(Equal(fleet.OutcomeDone))
	h.expectPhase(state.WorkflowCompleted)
	h.Expect(a.Records()).To(HaveLen(1))
	h.Expect(a.Stops()).To(BeZero())
	h.Expect(a.Records()[0].Number).To(Equal(uint64(2)))
}

// Guards against a leader without file descriptors that treats its workers as
// unresponsive and places nothing on them.
func TestUnsentPollDoesNotMarkWorkerUnresponsive(t *testing.T) {
	const failedPolls = 3 // polls that fail, 200 ms apart
	h := newHarness(t, failCalls(0, failedPolls, true))
	a := h.addWorker("a", pool.Options{RunTime: runForever})
	h.Expect(h.submit(step(1, untilStopped))).To(Equal(fleet.OutcomeDone))
	h.Eventually(func() int { return running(a) }, waitTimeout, time.Millisecond).Should(Equal(1))
	time.Sleep(220 * time.Millisecond) // until the second poll has failed, after the response to the start
	h.submitAs("00000000000000bb", step(1, untilStopped))
	h.Eventually(func() int { return running(a) }, 150*time.Millisecond, time.Millisecond).Should(Equal(2))
}

// Guards against a worker that stays in use although it refuses connections:
// unlike a local failure, this is a fault of the worker.
func TestRefusedConnectionIsTheWorkersFault(t *testing.T) {
	h := newHarness(t, failCalls(1, 1<<40, false))
	h.addWorker("a", pool.Options{RunTime: runFor60ms})
	h.Expect(h.submit(step(1))).To(Equal(fleet.OutcomeDone))
	h.Consistently(h.phase, 200*time.Millisecond, 10*time.Millisecond).ShouldNot(Equal(state.WorkflowCompleted))
}

// Guards against a worker without runs that is not polled again until its lease
// would have expired, after the connection for a start failed.
func TestUnresponsiveWorkerWithoutRunsIsPolledAgain(t *testing.T) {
	h := newHarness(t, failCalls(1, 1, false), func(o *fleet.Options) { o.Limits.MaxLease = time.Minute })
	a := h.addWorker("a", pool.Options{RunTime: runFor60ms})
	h.Expect(h.submit(step(1))).To(Equal(fleet.OutcomeDone))
	h.Eventually(a.Records, 2*time.Second, 5*time.Millisecond).Should(HaveLen(1))
}

// Guards against tasks that wait for the next resync, up to 1 s, after the only
// worker with free capacity responds again.
func TestWorkerThatRespondsAgainIsUsedAtOnce(t *testing.T) {
	for range 3 {
		h := newHarness(t, failCalls(1, 1, false), func(o *fleet.Options) { o.Limits.MaxLease = time.Minute })
		a := h.addWorker("a", pool.Options{RunTime: runFor60ms})
		h.Expect(h.submit(step(1))).To(Equal(fleet.OutcomeDone))
		// The poll that fails is repeated after 200 ms; the resync comes after 1 s.
		h.Eventually(a.Records, 800*time.Millisecond, 5*time.Millisecond).Should(HaveLen(1))
	}
}

var errCause = errors.New("cause")

// Guards against a NotSentError that hides its cause in the log.
func TestNotSentErrorNamesItsCause(t *testing.T) {
	g := NewWithT(t)
	err := &fleet.NotSentError{Err: errCause}
	g.Expect(err).To(MatchError(errCause))
	g.Expect(err.Error()).To(Equal("call was not sent: cause"))
}
