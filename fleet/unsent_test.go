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

// exhausted fails calls on the caller's side while calls are left to fail.
type exhausted struct {
	fleet.Worker
	starts, looks *atomic.Int64
	local         bool
}

func (e exhausted) err() error {
	return &fleet.NotSentError{Err: syscall.EMFILE, Local: e.local}
}

func (e exhausted) Start(ctx context.Context, c fleet.StartCall) error {
	if e.starts.Add(-1) >= 0 {
		return e.err()
	}
	return e.Worker.Start(ctx, c)
}

func (e exhausted) Look(ctx context.Context, c fleet.LookCall) (*fleet.Report, error) {
	if e.looks.Add(-1) >= 0 {
		return nil, e.err()
	}
	return e.Worker.Look(ctx, c)
}

// failCalls makes so many calls fail before they are sent.
func failCalls(starts, looks int64, local bool) func(*fleet.Options) {
	var s, l atomic.Int64
	s.Store(starts)
	l.Store(looks)
	return func(o *fleet.Options) {
		dial := o.Dial
		o.Dial = func(w state.PoolWorker) fleet.Worker { return exhausted{dial(w), &s, &l, local} }
	}
}

// Guards against a task that waits for proof that its run does not exist,
// although its start never left the leader: with the only worker answering, the
// task starts there at once under the next number, and no stop is sent first.
func TestStartThatWasNotSentIsPlacedAgainAtOnce(t *testing.T) {
	h := newHarness(t, failCalls(1, 0, true))
	a := h.worker("a", pool.Options{Work: slowly})
	h.Expect(h.submit(step(1))).To(Equal(fleet.Done))
	h.eventually(state.WorkflowCompleted)
	h.Expect(a.Records()).To(HaveLen(1))
	h.Expect(a.Stops()).To(BeZero())
	h.Expect(a.Records()[0].Number).To(Equal(uint64(2)))
}

// Guards against a leader without descriptors that takes its workers for
// silent and places nothing on them.
func TestLookThatWasNotSentSaysNothingOfTheWorker(t *testing.T) {
	const lost = 3 // of looks, 200 ms apart
	h := newHarness(t, failCalls(0, lost, true))
	a := h.worker("a", pool.Options{Work: forever})
	h.Expect(h.submit(step(1, serving))).To(Equal(fleet.Done))
	h.Eventually(func() int { return running(a) }, patience, time.Millisecond).Should(Equal(1))
	time.Sleep(220 * time.Millisecond) // for the second look to fail, after the answer to the start
	h.submitAs("00000000000000bb", step(1, serving))
	h.Eventually(func() int { return running(a) }, 150*time.Millisecond, time.Millisecond).Should(Equal(2))
}

// Guards against a worker whose connections are refused and that stays in use:
// here the call failed for a reason of the worker's.
func TestRefusedConnectionIsTheWorkersFault(t *testing.T) {
	h := newHarness(t, failCalls(1, 1<<40, false))
	h.worker("a", pool.Options{Work: slowly})
	h.Expect(h.submit(step(1))).To(Equal(fleet.Done))
	h.Consistently(h.phase, 200*time.Millisecond, 10*time.Millisecond).ShouldNot(Equal(state.WorkflowCompleted))
}

// Guards against a worker whose start got no connection and that nobody calls
// again until its lease would have ended, since nothing runs there.
func TestSilentWorkerWithoutRunsIsAskedAgain(t *testing.T) {
	h := newHarness(t, failCalls(1, 1, false), func(o *fleet.Options) { o.Limits.HoldMax = time.Minute })
	a := h.worker("a", pool.Options{Work: slowly})
	h.Expect(h.submit(step(1))).To(Equal(fleet.Done))
	h.Eventually(a.Records, 2*time.Second, 5*time.Millisecond).Should(HaveLen(1))
}

var errCause = errors.New("cause")

// Guards against a cause that is lost on its way to the log.
func TestNotSentErrorNamesItsCause(t *testing.T) {
	g := NewWithT(t)
	err := &fleet.NotSentError{Err: errCause}
	g.Expect(err).To(MatchError(errCause))
	g.Expect(err.Error()).To(Equal("call was not sent: cause"))
}
