package fleet_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"apricotrouter/fleet"
	"apricotrouter/standin/pool"
	"apricotrouter/state"
)

// servingWait is how long a serving task may be without a run while there is
// room for it, from the users' rules.
const servingWait = 6 * time.Second

// fill takes all processors of a new worker with a serving task.
func (h *harness) fill(id string) *pool.Worker {
	h.t.Helper()
	w := h.worker(id, pool.Options{Work: forever})
	h.submitAs(fmt.Sprintf("e%015x", id[0]), step(1, serving, sized(4000)))
	h.Eventually(func() int { return running(w) }, patience).Should(Equal(1))
	return w
}

// firstFails lets the first run of the first task of workflow jobID fail soon.
func firstFails(p fleet.TaskPosition, number uint64) bool {
	return p.Workflow == jobID && p.Index == 0 && number == 1
}

func untilFailure(p fleet.TaskPosition, number uint64) time.Duration {
	if firstFails(p, number) {
		return 300 * time.Millisecond
	}
	return 0
}

// Guards against a serving task that waits for ever beside the only worker
// with room, since a run of it failed there once.
func TestServingTaskReturnsToTheOnlyWorkerWithRoom(t *testing.T) {
	h := newHarness(t)
	h.fill("b")
	h.fill("c")
	a := h.worker("a", pool.Options{Work: untilFailure, Fails: firstFails})
	h.Expect(h.submit(step(1, serving))).To(Equal(fleet.Done))
	h.Eventually(a.Records, patience).Should(HaveLen(1))
	h.Eventually(func() int { return len(a.Records()) }, servingWait).Should(Equal(2))
	h.Expect(running(a)).To(Equal(1))
}

// Guards against tasks that wait for ever beside a worker with room, since
// another task of their step failed there and must not go there again.
func TestFailedTaskDoesNotKeepItsSiblingsOut(t *testing.T) {
	h := newHarness(t)
	h.fill("c")
	h.fill("d")
	a := h.worker("a", pool.Options{Work: untilFailure, Fails: firstFails})
	b := h.worker("b", pool.Options{Work: forever})
	apart := func(s *state.WorkflowStep) { s.MaxPerWorker = 1 }
	h.Expect(h.submit(step(2, apart))).To(Equal(fleet.Done))
	h.Eventually(func() int { return running(b) }, patience).Should(Equal(1))
	h.Expect(b.Records()[0].Position.Index).To(Equal(1))
	h.Eventually(func() int { return running(a) }, patience).Should(BeZero(), "task 0 has failed there")
	b.SetDown(true)
	h.Eventually(func() int { return running(a) }, patience).Should(Equal(1))
	h.Expect(a.Records()[1].Position.Index).To(Equal(1))
}

// refusing is a worker that refuses starts.
type refusing struct {
	fleet.Worker
	reason fleet.RefusalReason
}

func (r refusing) Start(context.Context, fleet.StartCall) error {
	return &fleet.RefusedError{Reason: r.reason}
}

// refuse lets the worker with the id "a" refuse all starts.
func refuse(reason fleet.RefusalReason) func(*fleet.Options) {
	return func(o *fleet.Options) {
		dial := o.Dial
		o.Dial = func(w state.PoolWorker) fleet.Worker {
			if w.ID == "a" {
				return refusing{dial(w), reason}
			}
			return dial(w)
		}
	}
}

// Guards against a task that is sent to one worker again and again, which can't
// read the call, beside others with room.
func TestTaskGoesElsewhereOnceAWorkerCanNotReadItsStart(t *testing.T) {
	h := newHarness(t, refuse(fleet.RefusedInvalid))
	h.worker("a", pool.Options{Work: forever})
	b := h.worker("b", pool.Options{Work: forever})
	h.Expect(h.submit(step(1, serving))).To(Equal(fleet.Done))
	h.Eventually(func() int { return running(b) }, servingWait).Should(Equal(1))
}

// Guards against a serving task that never goes to a sound worker beyond its
// share, since its wait begins anew with each start that another one refuses.
func TestRefusedStartDoesNotBeginTheWaitAnew(t *testing.T) {
	h := newHarness(t, refuse(fleet.RefusedUnhealthy))
	b := h.worker("b", pool.Options{Work: briefBatch})
	h.submitAs("a000000000000001", step(8, sized(4000), lasting(10*time.Second)))
	h.Eventually(func() state.WorkflowPhase { return h.phaseOf("a000000000000001") }, patience).Should(Equal(state.WorkflowCompleted))
	a := h.worker("a", pool.Options{Work: briefBatch})
	h.submitAs("0000000000000002", step(1, serving))
	h.Eventually(func() int { return running(a) + running(b) }, servingWait).Should(Equal(1))
}

// Guards against a serving task that waits anew after a change of leader.
func TestNewLeaderKnowsHowLongAServingTaskHasWaited(t *testing.T) {
	h := newHarness(t)
	a := h.worker("a", pool.Options{Work: untilFailure, Fails: firstFails})
	h.Expect(h.submit(step(1, serving))).To(Equal(fleet.Done))
	h.Eventually(func() int { return running(a) }, patience, "5ms").Should(Equal(1))
	// These ask for nearly all of the pool and leave most of it unused.
	h.submitAs("00000000000000b1", step(4, sized(100), lasting(time.Minute)))
	h.Eventually(func() bool { return len(a.Records()) == 5 && !a.Records()[0].Ended.IsZero() }, patience).Should(BeTrue())
	failed := time.Now()
	time.Sleep(2200 * time.Millisecond)
	h.Expect(running(a)).To(Equal(4), "the serving task would go beyond its share")
	h.changeLeader(3)
	h.Eventually(func() int { return running(a) }, servingWait-time.Since(failed)).Should(Equal(5))
}

// Guards against a serving task that never gets to work, since each of its runs
// is given up before its startup is over.
func TestServingTaskThatStartsSlowlyGetsToWork(t *testing.T) {
	h := newHarness(t)
	const startup = 6 * time.Second
	slow := pool.Options{Work: forever, Progress: func(_ fleet.TaskPosition, _ uint64, ran time.Duration) int {
		if ran < startup {
			return 0
		}
		return 100
	}}
	a, b := h.worker("a", slow), h.worker("b", slow)
	h.Expect(h.submit(step(1, serving))).To(Equal(fleet.Done))
	h.Eventually(func() bool {
		for _, r := range append(a.Records(), b.Records()...) {
			if r.Ended.IsZero() && time.Since(r.Started) > startup+time.Second {
				return true
			}
		}
		return false
	}, 20*time.Second).Should(BeTrue())
}

// Guards against a worker that is left out for as long as batch tasks stand
// still there, although other tasks of its have no fault.
func TestBatchTasksThatHangKeepNoServingTaskOut(t *testing.T) {
	h := newHarness(t)
	hangs := func(p fleet.TaskPosition, _ uint64, _ time.Duration) int {
		if p.Workflow[0] == 'a' {
			return 5
		}
		return 100
	}
	h.fill("b")
	a := h.worker("a", pool.Options{Work: forever, Progress: hangs})
	h.submitAs("a000000000000001", step(4, sized(200), lasting(5*time.Second)))
	h.Eventually(a.Records, 2*patience).Should(HaveLen(12), "each task is moved twice")
	time.Sleep(2500 * time.Millisecond) // until they stand still once more
	for i := range 4 {
		h.submitAs(fmt.Sprintf("%016x", 16+i), step(1, serving, sized(500)))
		h.Eventually(func() int { return running(a) }, servingWait, "5ms").Should(Equal(5 + i))
		time.Sleep(time.Second)
	}
}

// Guards against a worker that is left out for many seconds by the failures of
// runs that it had before it was left out.
func TestFailuresOfEarlierRunsDoNotExtendAQuarantine(t *testing.T) {
	h := newHarness(t)
	const interval = 2 * time.Second
	work := func(p fleet.TaskPosition, _ uint64) time.Duration {
		if i := p.Workflow[len(p.Workflow)-1] - '0'; i < 8 {
			return time.Duration(i+1) * interval
		}
		return 0
	}
	a := h.worker("a", pool.Options{Work: work, Fails: func(fleet.TaskPosition, uint64) bool { return true }})
	for i := range 8 {
		h.submitAs(fmt.Sprintf("%016d", i), step(1, serving, sized(100)))
	}
	h.Eventually(func() int { return len(a.Records()) }, patience).Should(Equal(8))
	time.Sleep(3*interval + 100*time.Millisecond) // until three have failed
	h.submitAs("0000000000000009", step(1, serving, sized(100)))
	runs := func() bool {
		for _, r := range a.Records() {
			if r.Position.Workflow == "0000000000000009" {
				return true
			}
		}
		return false
	}
	h.Eventually(runs, servingWait).Should(BeTrue())
}

// Guards against a task that waits for the lease of a worker that was silent
// before its start could be sent there, and against a start that extends it.
func TestNothingIsSentToASilentWorker(t *testing.T) {
	h := newHarness(t, func(o *fleet.Options) { o.Limits.HoldMax = 20 * time.Second })
	a := h.worker("a", pool.Options{Work: forever})
	h.submitAs("0000000000000001", step(1, serving))
	h.Eventually(func() int { return running(a) }, patience).Should(Equal(1))
	h.gate.Lock()
	h.submitAs("0000000000000002", step(1, serving)) // its start waits in the gate
	time.Sleep(50 * time.Millisecond)
	b := h.worker("b", pool.Options{Work: forever})
	a.SetDown(true)
	time.Sleep(1500 * time.Millisecond) // until a look has failed
	h.gate.Unlock()
	h.Eventually(func() int { return running(b) }, servingWait).Should(Equal(1))
}

// unanswered is a worker of which looks fail while other calls succeed.
type unanswered struct {
	fleet.Worker
	looks *atomic.Bool
}

var errNoAnswer = errors.New("no answer")

func (u unanswered) Look(ctx context.Context, c fleet.LookCall) (*fleet.Report, error) {
	if u.looks.Load() {
		return nil, errNoAnswer
	}
	return u.Worker.Look(ctx, c)
}

// Guards against a gang of which one member is not sent, since a look at its
// worker has failed meanwhile, while the others wait for it.
func TestGangIsSentWhole(t *testing.T) {
	var failing atomic.Bool
	h := newHarness(t, func(o *fleet.Options) {
		o.Limits.HoldMax = 20 * time.Second
		dial := o.Dial
		o.Dial = func(w state.PoolWorker) fleet.Worker {
			if w.ID == "a" {
				return unanswered{dial(w), &failing}
			}
			return dial(w)
		}
	})
	a := h.worker("a", pool.Options{Work: forever})
	h.submitAs("0000000000000001", step(1, serving)) // so that it is looked at
	h.Eventually(func() int { return running(a) }, patience).Should(Equal(1))
	b := h.worker("b", pool.Options{Work: forever})
	h.gate.Lock()
	gang := func(s *state.WorkflowStep) { s.Gang, s.MaxPerWorker = true, 1 }
	h.submitAs("0000000000000002", step(2, gang))
	time.Sleep(50 * time.Millisecond)
	failing.Store(true)
	time.Sleep(1500 * time.Millisecond) // until a look has failed
	h.gate.Unlock()
	h.Eventually(b.Records, patience).Should(HaveLen(1))
	h.Eventually(a.Records, "1s").Should(HaveLen(2))
	failing.Store(false)
}

// submitLater submits a workflow to a queue of the second priority.
func (h *harness) submitLater(id string, s state.WorkflowStep) {
	h.t.Helper()
	h.Expect(h.call(&fleet.Request{
		Op: fleet.OpSubmit, Host: host, Path: "/later/" + id, Workflow: &state.WorkflowSpec{Steps: []state.WorkflowStep{s}},
	}).Outcome).To(Equal(fleet.Done))
}

// Guards against a small serving task that waits beside a worker which is kept
// for a large one of more urgent work, whose room does not come.
func TestRoomHeldForUrgentWorkKeepsNoServingTaskOut(t *testing.T) {
	expectRunBesideHeldRoom(t, step(1, serving))
}

// Guards against the same for a gang of serving tasks.
func TestRoomHeldForUrgentWorkKeepsNoServingGangOut(t *testing.T) {
	expectRunBesideHeldRoom(t, step(1, serving, func(s *state.WorkflowStep) { s.Gang = true }))
}

func expectRunBesideHeldRoom(t *testing.T, small state.WorkflowStep) {
	t.Helper()
	h := newHarness(t)
	queue := func(name, prefix string, priority int) state.WorkflowQueue {
		return state.WorkflowQueue{
			Name: name, Host: host, PathPrefix: prefix, Pool: "pool", Priority: priority, MaxAttempts: 2, Stretch: 2,
			ObjectiveMillis: 1000, TimeoutMillis: 3000,
		}
	}
	h.Expect(h.call(&fleet.Request{Op: fleet.OpSetQueues, Queues: &state.QueueConfig{
		Version: 2, Source: []byte("{}"), Pools: []state.Pool{{Name: "pool", Guarded: true}},
		Queues: []state.WorkflowQueue{queue("queue", "/jobs/", 0), queue("later", "/later/", 1)},
	}}).Outcome).To(Equal(fleet.Done))
	a := h.worker("a", pool.Options{Work: briefBatch})
	h.submitAs("0000000000000001", step(2, sized(500))) // leaves 3000, and does not end
	h.Eventually(func() int { return running(a) }, patience).Should(Equal(2))
	h.submitAs("0000000000000002", step(1, serving, sized(3200)))
	memory := func(s *state.WorkflowStep) { s.Size.MemoryMiB = 3950 }
	h.submitAs("0000000000000004", step(1, sized(500), memory)) // waits for memory
	time.Sleep(1500 * time.Millisecond)                         // until the large one keeps the worker
	h.submitLater("0000000000000003", small)
	h.Eventually(func() int { return running(a) }, servingWait).Should(Equal(3))
}

// Guards against a wide gang without room that holds up all other tasks, since
// it is tried once for each of its members.
func TestGangWithoutRoomHoldsUpNoOtherTask(t *testing.T) {
	h := newHarness(t)
	const workers, places = 250, 4
	all := make([]*pool.Worker, workers)
	for i := range all {
		all[i] = h.worker(fmt.Sprintf("w%03d", i), pool.Options{Work: forever})
	}
	gang := func(s *state.WorkflowStep) { s.Gang = true }
	h.submitAs("0000000000000001", step(workers*places+1, serving, gang, sized(1000)))
	time.Sleep(100 * time.Millisecond)
	begin := time.Now()
	h.submitAs("0000000000000002", step(1, serving))
	h.Eventually(func() int {
		n := 0
		for _, w := range all {
			n += running(w)
		}
		return n
	}, servingWait).Should(Equal(1))
	t.Logf("after %v", time.Since(begin))
}
