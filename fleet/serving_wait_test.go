package fleet_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"apricotrouter/fleet"
	"apricotrouter/standin/pool"
	"apricotrouter/state"
)

// servingWait is the maximum time that a serving task may be without a run
// while a worker has free capacity, from the service terms.
const servingWait = 6 * time.Second

// Guards against a serving task that has lost its run and waits for ever while
// more batch tasks wait than fit: each bit of CPU that one frees is used at once,
// and the worker that is held for the task changes from pass to pass.
func TestRestartGetsCapacityInAStreamOfBatchTasks(t *testing.T) {
	h := newHarness(t)
	work := func(p fleet.TaskPosition, number uint64) time.Duration {
		switch {
		case p.Workflow[0] == 'a':
			return time.Duration(400+50*(p.Index%5)) * time.Millisecond
		case number == 1:
			return time.Second
		}
		return 0
	}
	fails := func(p fleet.TaskPosition, number uint64) bool { return p.Workflow[0] != 'a' && number == 1 }
	var workers []*pool.Worker
	for i := range 6 {
		workers = append(workers, h.addWorker(fmt.Sprintf("w%d", i), pool.Options{RunTime: work, Fails: fails}))
	}
	runs := func(number uint64) *pool.Record {
		for _, w := range workers {
			for _, r := range w.Records() {
				if r.Position.Workflow == jobID && r.Number == number {
					return &r
				}
			}
		}
		return nil
	}
	h.Expect(h.submit(step(1, untilStopped, withCPU(3000)))).To(Equal(fleet.OutcomeDone))
	h.Eventually(func() any { return runs(1) }, waitTimeout, "5ms").ShouldNot(BeNil())
	h.submitAs("a000000000000001", step(1500, withCPU(900), withEstimate(500*time.Millisecond)))
	h.Eventually(func() bool { return !runs(1).Ended.IsZero() }, waitTimeout, "5ms").Should(BeTrue())
	const lostAfter = 3 * time.Second // beyond servingWait, from the service terms
	h.Eventually(func() any { return runs(2) }, servingWait+lostAfter, "5ms").ShouldNot(BeNil())
	h.Expect(h.phaseOf("a000000000000001")).To(Equal(state.WorkflowActive), "batch tasks still wait")
}

// Guards against a serving task that loses its place for good with its run,
// because a task that never ran, and has waited longer, takes it.
func TestRestartComesBeforeTasksThatNeverRan(t *testing.T) {
	h := newHarness(t)
	var workers []*pool.Worker
	total := func() (n int) {
		for _, w := range workers {
			n += running(w)
		}
		return n
	}
	options := pool.Options{Fails: firstRunFails, RunTime: func(p fleet.TaskPosition, number uint64) time.Duration {
		if firstRunFails(p, number) {
			return 3 * time.Second
		}
		return 0
	}}
	for i := range 4 {
		workers = append(workers, h.addWorker(fmt.Sprintf("w%d", i), options))
	}
	h.Expect(h.submit(step(16, untilStopped))).To(Equal(fleet.OutcomeDone))
	h.Eventually(total, waitTimeout).Should(Equal(16))
	h.submitAs("00000000000000bb", step(2, untilStopped))
	restarted := func() bool {
		for _, w := range workers {
			for _, r := range w.Records() {
				if r.Position.Workflow == jobID && r.Position.Index == 0 && r.Number == 2 {
					return true
				}
			}
		}
		return false
	}
	h.Eventually(restarted, servingWait).Should(BeTrue())
}

// Guards against capacity that stays idle, because it is set aside for a task
// that failed there a moment ago, while other tasks of its step wait that lost
// their runs with a worker and fit nowhere.
func TestCapacityOfAFailedRunIsNotLeftIdle(t *testing.T) {
	h := newHarness(t)
	var workers []*pool.Worker
	options := pool.Options{Fails: firstRunFails, RunTime: func(p fleet.TaskPosition, number uint64) time.Duration {
		if firstRunFails(p, number) {
			return 3 * time.Second
		}
		return 0
	}}
	for i := range 4 {
		workers = append(workers, h.addWorker(fmt.Sprintf("w%d", i), options))
	}
	h.Expect(h.submit(step(16, untilStopped))).To(Equal(fleet.OutcomeDone))
	h.Eventually(func() (n int) {
		for _, w := range workers {
			n += running(w)
		}
		return n
	}, waitTimeout).Should(Equal(16))
	first := slices.IndexFunc(workers, func(w *pool.Worker) bool {
		return slices.ContainsFunc(w.Records(), func(r pool.Record) bool { return r.Position.Index == 0 })
	})
	workers[(first+1)%len(workers)].SetUnreachable(true)
	restart := func() time.Duration {
		var failed, again time.Time
		for _, w := range workers {
			for _, r := range w.Records() {
				if r.Position.Index == 0 && r.Number == 1 {
					failed = r.Ended
				} else if r.Position.Index == 0 && r.Number == 2 {
					again = r.Started
				}
			}
		}
		if again.IsZero() {
			return time.Hour
		}
		return again.Sub(failed)
	}
	const maxIdle = 400 * time.Millisecond // well below the time after which a serving task is starved
	h.Eventually(restart, waitTimeout).Should(BeNumerically("<", maxIdle))
}

// Guards against serving tasks that failed on the same worker and keep each other
// out: capacity is set aside there for all of them, and none started before there
// was enough for all.
func TestTasksThatFailedOnOneWorkerDoNotKeepEachOtherOut(t *testing.T) {
	const batch, batchRun = "a000000000000001", 7 * time.Second // longer than servingWait
	h := newHarness(t)
	w := h.addWorker("w", pool.Options{
		RunTime: func(p fleet.TaskPosition, number uint64) time.Duration {
			switch {
			case p.Workflow == jobID && number == 1:
				return time.Second
			case p.Workflow == batch && p.Index == 0:
				return batchRun
			}
			return 0
		},
		Fails: func(p fleet.TaskPosition, number uint64) bool { return p.Workflow == jobID && number == 1 },
	})
	h.Expect(h.submit(step(2, untilStopped, withCPU(1500)))).To(Equal(fleet.OutcomeDone))
	h.Eventually(func() int { return running(w) }, waitTimeout, "5ms").Should(Equal(2))
	h.addWorkersWithoutRoom(15)
	h.submitAs(batch, step(2, withCPU(2000), withEstimate(time.Minute)))
	batchRuns := func() (all []pool.Record) {
		for _, r := range w.Records() {
			if r.Position.Workflow == batch {
				all = append(all, r)
			}
		}
		return all
	}
	h.Eventually(batchRuns, waitTimeout, "5ms").Should(HaveLen(2), "batch tasks use the capacity of the failed runs")
	h.Eventually(func() bool { return !batchRuns()[0].Ended.IsZero() || !batchRuns()[1].Ended.IsZero() }, 2*batchRun, "5ms").Should(BeTrue())
	restarted := func() bool {
		return slices.ContainsFunc(w.Records(), func(r pool.Record) bool { return r.Position.Workflow == jobID && r.Number > 1 })
	}
	h.Eventually(restarted, 3*time.Second, "5ms").Should(BeTrue(), "there is room for one of them")
}

// Guards against a serving task that waits beside room for it, because more capacity
// than is free is set aside on its worker for another one.
func TestSmallerTaskIsNotKeptOutByLargerOne(t *testing.T) {
	const batch = "a000000000000001"
	h := newHarness(t)
	w := h.addWorker("w", pool.Options{
		RunTime: func(p fleet.TaskPosition, number uint64) time.Duration {
			switch {
			case p.Workflow == jobID && number == 1:
				return time.Second
			case p.Workflow == batch && p.Index == 0:
				return 7 * time.Second
			}
			return 0
		},
		Fails: func(p fleet.TaskPosition, number uint64) bool { return p.Workflow == jobID && number == 1 },
	})
	h.Expect(h.submit(step(1, untilStopped, withCPU(2500)), step(1, untilStopped, withCPU(1000)))).To(Equal(fleet.OutcomeDone))
	h.Eventually(func() int { return running(w) }, waitTimeout, "5ms").Should(Equal(2))
	h.addWorkersWithoutRoom(15)
	h.submitAs(batch, step(2, withCPU(2000), withEstimate(time.Minute)))
	restarted := func() bool {
		return slices.ContainsFunc(w.Records(), func(r pool.Record) bool { return r.Position.Workflow == jobID && r.Number > 1 })
	}
	h.Eventually(restarted, 13*time.Second, "5ms").Should(BeTrue(), "there is room for the smaller one")
}

// Guards against a serving task that waits beside room for it, because the room is
// set aside on another worker than its own for a task that has waited less.
func TestRoomSetAsideElsewhereDoesNotKeepOutATaskThatWaitedLonger(t *testing.T) {
	const younger = "00000000000000bb"
	h := newHarness(t)
	options := pool.Options{
		RunTime: func(p fleet.TaskPosition, number uint64) time.Duration {
			switch {
			case p.Workflow == jobID && number == 1:
				return 2 * time.Second
			case p.Workflow == younger && number == 1:
				return 3 * time.Second
			case p.Workflow == "a000000000000004":
				return 7500 * time.Millisecond
			}
			return 0
		},
		Fails: func(p fleet.TaskPosition, number uint64) bool { return p.Workflow[0] == '0' && number == 1 },
	}
	a := h.addWorker("a", options)
	h.Expect(h.submit(step(1, untilStopped, withCPU(1000)))).To(Equal(fleet.OutcomeDone))
	h.Eventually(func() int { return running(a) }, waitTimeout, "5ms").Should(Equal(1))
	b := h.addWorker("b", options)
	h.submitAs(younger, step(1, untilStopped, withCPU(3500)))
	h.Eventually(func() int { return running(b) }, waitTimeout, "5ms").Should(Equal(1))
	h.submitAs("a000000000000001", step(1, withCPU(3000), withEstimate(time.Minute)))
	h.Eventually(func() int { return running(a) }, waitTimeout, "5ms").Should(Equal(2))
	h.addWorkersWithoutRoom(14)
	h.submitAs("a000000000000002", step(1, withCPU(1000), withEstimate(time.Minute)))
	h.submitAs("a000000000000003", step(1, withCPU(1900), withEstimate(time.Minute)))
	h.submitAs("a000000000000004", step(1, withCPU(2100), withEstimate(time.Minute)))
	h.Eventually(func() bool {
		return slices.ContainsFunc(append(a.Records(), b.Records()...), func(r pool.Record) bool { return r.Position.Workflow == jobID && r.Number > 1 })
	}, 18*time.Second, "5ms").Should(BeTrue())
}

// addWorkersWithoutRoom starts workers on which no task fits. Capacity is set aside
// for one task in eight workers.
func (h *harness) addWorkersWithoutRoom(n int) {
	h.t.Helper()
	for i := range n {
		id, startedAt := fmt.Sprintf("x%02d", i), time.Now().UnixMilli()
		w := h.addWorker(id, pool.Options{StartedAt: startedAt})
		h.Expect(h.heartbeatWith(id, startedAt, w, false, state.Resources{MilliCPU: 10, MemoryMiB: 10})).To(Equal(fleet.OutcomeDone))
	}
}

// fillWorker starts a worker and a serving task that reserves all its CPU.
func (h *harness) fillWorker(id string) *pool.Worker {
	h.t.Helper()
	w := h.addWorker(id, pool.Options{RunTime: runForever})
	h.submitAs(fmt.Sprintf("e%015x", id[0]), step(1, untilStopped, withCPU(4000)))
	h.Eventually(func() int { return running(w) }, waitTimeout).Should(Equal(1))
	return w
}

// firstRunFails makes the first run of the first task of workflow jobID fail.
func firstRunFails(p fleet.TaskPosition, number uint64) bool {
	return p.Workflow == jobID && p.Index == 0 && number == 1
}

func failAfter300ms(p fleet.TaskPosition, number uint64) time.Duration {
	if firstRunFails(p, number) {
		return 300 * time.Millisecond
	}
	return 0
}

// Guards against a serving task that waits indefinitely although a worker has
// free capacity, because a run of it failed there once.
func TestServingTaskReturnsToTheOnlyWorkerWithRoom(t *testing.T) {
	h := newHarness(t)
	h.fillWorker("b")
	h.fillWorker("c")
	a := h.addWorker("a", pool.Options{RunTime: failAfter300ms, Fails: firstRunFails})
	h.Expect(h.submit(step(1, untilStopped))).To(Equal(fleet.OutcomeDone))
	h.Eventually(a.Records, waitTimeout).Should(HaveLen(1))
	h.Eventually(func() int { return len(a.Records()) }, servingWait).Should(Equal(2))
	h.Expect(running(a)).To(Equal(1))
}

// Guards against tasks that wait indefinitely although a worker has free
// capacity, because another task of their step failed there and avoids it.
func TestFailedTaskDoesNotKeepItsSiblingsOut(t *testing.T) {
	h := newHarness(t)
	h.fillWorker("c")
	h.fillWorker("d")
	a := h.addWorker("a", pool.Options{RunTime: failAfter300ms, Fails: firstRunFails})
	b := h.addWorker("b", pool.Options{RunTime: runForever})
	onePerWorker := func(s *state.WorkflowStep) { s.MaxPerWorker = 1 }
	h.Expect(h.submit(step(2, onePerWorker))).To(Equal(fleet.OutcomeDone))
	h.Eventually(func() int { return running(b) }, waitTimeout).Should(Equal(1))
	h.Expect(b.Records()[0].Position.Index).To(Equal(1))
	h.Eventually(func() int { return running(a) }, waitTimeout).Should(BeZero(), "task 0 has failed on worker a")
	b.SetUnreachable(true)
	h.Eventually(func() int { return running(a) }, waitTimeout).Should(Equal(1))
	h.Expect(a.Records()[1].Position.Index).To(Equal(1))
}

// refusingWorker is a worker that refuses all starts.
type refusingWorker struct {
	fleet.Worker
	reason fleet.RefusalReason
}

func (r refusingWorker) Start(context.Context, fleet.StartCall) error {
	return &fleet.RefusedError{Reason: r.reason}
}

// refuseStarts makes the worker with the id "a" refuse all starts.
func refuseStarts(reason fleet.RefusalReason) func(*fleet.Options) {
	return func(o *fleet.Options) {
		dial := o.Dial
		o.Dial = func(w state.PoolWorker) fleet.Worker {
			if w.ID == "a" {
				return refusingWorker{dial(w), reason}
			}
			return dial(w)
		}
	}
}

// Guards against a task that is sent repeatedly to a worker that can't decode
// the call, although other workers have free capacity.
func TestTaskGoesElsewhereOnceAWorkerCanNotReadItsStart(t *testing.T) {
	h := newHarness(t, refuseStarts(fleet.RefusedInvalid))
	h.addWorker("a", pool.Options{RunTime: runForever})
	b := h.addWorker("b", pool.Options{RunTime: runForever})
	h.Expect(h.submit(step(1, untilStopped))).To(Equal(fleet.OutcomeDone))
	h.Eventually(func() int { return running(b) }, servingWait).Should(Equal(1))
}

// Guards against a serving task that never exceeds its share on a healthy
// worker, because each start refused by another worker resets its wait.
func TestRefusedStartDoesNotBeginTheWaitAnew(t *testing.T) {
	h := newHarness(t, refuseStarts(fleet.RefusedUnhealthy))
	b := h.addWorker("b", pool.Options{RunTime: shortBatch})
	h.submitAs("a000000000000001", step(8, withCPU(4000), withEstimate(10*time.Second)))
	h.Eventually(func() state.WorkflowPhase { return h.phaseOf("a000000000000001") }, waitTimeout).Should(Equal(state.WorkflowCompleted))
	a := h.addWorker("a", pool.Options{RunTime: shortBatch})
	h.submitAs("0000000000000002", step(1, untilStopped))
	h.Eventually(func() int { return running(a) + running(b) }, servingWait).Should(Equal(1))
}

// Guards against a change of leader that resets the wait of a serving task.
func TestNewLeaderKnowsHowLongAServingTaskHasWaited(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", pool.Options{RunTime: failAfter300ms, Fails: firstRunFails})
	h.Expect(h.submit(step(1, untilStopped))).To(Equal(fleet.OutcomeDone))
	h.Eventually(func() int { return running(a) }, waitTimeout, "5ms").Should(Equal(1))
	// The batch demand is nearly the whole pool, and a task that fits only once
	// the small ones have ended waits for it.
	h.submitAs("00000000000000b1", step(4, withCPU(100), withEstimate(time.Minute)))
	h.submitAs("00000000000000b2", step(1, withCPU(3800), withEstimate(time.Minute)))
	h.Eventually(func() bool { return len(a.Records()) == 5 && !a.Records()[0].Ended.IsZero() }, waitTimeout).Should(BeTrue())
	failed := time.Now()
	time.Sleep(2200 * time.Millisecond)
	h.Expect(running(a)).To(Equal(4), "the serving task would exceed its share")
	h.changeLeader(3)
	h.Eventually(func() int { return running(a) }, servingWait-time.Since(failed)).Should(Equal(5))
}

// Guards against a serving task that never finishes its startup, because each
// of its runs is given up too early.
func TestServingTaskThatStartsSlowlyGetsToWork(t *testing.T) {
	h := newHarness(t)
	const startup = 6 * time.Second
	slow := pool.Options{RunTime: runForever, Progress: func(_ fleet.TaskPosition, _ uint64, ran time.Duration) int {
		if ran < startup {
			return 0
		}
		return 100
	}}
	a, b := h.addWorker("a", slow), h.addWorker("b", slow)
	h.Expect(h.submit(step(1, untilStopped))).To(Equal(fleet.OutcomeDone))
	h.Eventually(func() bool {
		for _, r := range append(a.Records(), b.Records()...) {
			if r.Ended.IsZero() && time.Since(r.Started) > startup+time.Second {
				return true
			}
		}
		return false
	}, 20*time.Second).Should(BeTrue())
}

// Guards against a worker that stays paused for as long as batch tasks stall on
// it, although other tasks run there without fault.
func TestBatchTasksThatHangKeepNoServingTaskOut(t *testing.T) {
	h := newHarness(t)
	stalls := func(p fleet.TaskPosition, _ uint64, _ time.Duration) int {
		if p.Workflow[0] == 'a' {
			return 5
		}
		return 100
	}
	h.fillWorker("b")
	a := h.addWorker("a", pool.Options{RunTime: runForever, Progress: stalls})
	h.submitAs("a000000000000001", step(4, withCPU(200), withEstimate(5*time.Second)))
	h.Eventually(a.Records, 2*waitTimeout).Should(HaveLen(12), "each task is moved twice")
	time.Sleep(2500 * time.Millisecond) // until they stall again
	for i := range 4 {
		h.submitAs(fmt.Sprintf("%016x", 16+i), step(1, untilStopped, withCPU(500)))
		h.Eventually(func() int { return running(a) }, servingWait, "5ms").Should(Equal(5 + i))
		time.Sleep(time.Second)
	}
}

// Guards against a quarantine that is extended for many seconds by failures of
// runs that started before it.
func TestFailuresOfEarlierRunsDoNotExtendAQuarantine(t *testing.T) {
	h := newHarness(t)
	const interval = 2 * time.Second
	work := func(p fleet.TaskPosition, _ uint64) time.Duration {
		if i := p.Workflow[len(p.Workflow)-1] - '0'; i < 8 {
			return time.Duration(i+1) * interval
		}
		return 0
	}
	a := h.addWorker("a", pool.Options{RunTime: work, Fails: func(fleet.TaskPosition, uint64) bool { return true }})
	for i := range 8 {
		h.submitAs(fmt.Sprintf("%016d", i), step(1, untilStopped, withCPU(100)))
	}
	h.Eventually(func() int { return len(a.Records()) }, waitTimeout).Should(Equal(8))
	time.Sleep(3*interval + 100*time.Millisecond) // until three have failed
	h.submitAs("0000000000000009", step(1, untilStopped, withCPU(100)))
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

// Guards against a task that waits for the lease of a worker that became
// unresponsive before the start was sent, and against a start that extends this
// lease.
func TestNothingIsSentToASilentWorker(t *testing.T) {
	h := newHarness(t, func(o *fleet.Options) { o.Limits.MaxLease = 20 * time.Second })
	a := h.addWorker("a", pool.Options{RunTime: runForever})
	h.submitAs("0000000000000001", step(1, untilStopped))
	h.Eventually(func() int { return running(a) }, waitTimeout).Should(Equal(1))
	h.commitGate.Lock()
	h.submitAs("0000000000000002", step(1, untilStopped)) // its start waits for the commit gate
	time.Sleep(50 * time.Millisecond)
	b := h.addWorker("b", pool.Options{RunTime: runForever})
	a.SetUnreachable(true)
	time.Sleep(1500 * time.Millisecond) // until a poll has failed
	h.commitGate.Unlock()
	h.Eventually(func() int { return running(b) }, servingWait).Should(Equal(1))
}

// unpollableWorker is a worker whose polls can be made to fail while other
// calls succeed.
type unpollableWorker struct {
	fleet.Worker
	pollsFail *atomic.Bool
}

var errNoResponse = errors.New("no response")

func (u unpollableWorker) Poll(ctx context.Context, c fleet.PollCall) (*fleet.Report, error) {
	if u.pollsFail.Load() {
		return nil, errNoResponse
	}
	return u.Worker.Poll(ctx, c)
}

// Guards against a gang of which one member is not sent, because a poll of its
// worker has failed, while the other members wait for it.
func TestGangIsSentWhole(t *testing.T) {
	var failing atomic.Bool
	h := newHarness(t, func(o *fleet.Options) {
		o.Limits.MaxLease = 20 * time.Second
		dial := o.Dial
		o.Dial = func(w state.PoolWorker) fleet.Worker {
			if w.ID == "a" {
				return unpollableWorker{dial(w), &failing}
			}
			return dial(w)
		}
	})
	a := h.addWorker("a", pool.Options{RunTime: runForever})
	h.submitAs("0000000000000001", step(1, untilStopped)) // so that the worker is polled
	h.Eventually(func() int { return running(a) }, waitTimeout).Should(Equal(1))
	b := h.addWorker("b", pool.Options{RunTime: runForever})
	h.commitGate.Lock()
	gang := func(s *state.WorkflowStep) { s.Gang, s.MaxPerWorker = true, 1 }
	h.submitAs("0000000000000002", step(2, gang))
	time.Sleep(50 * time.Millisecond)
	failing.Store(true)
	time.Sleep(1500 * time.Millisecond) // until a poll has failed
	h.commitGate.Unlock()
	h.Eventually(b.Records, waitTimeout).Should(HaveLen(1))
	h.Eventually(a.Records, "1s").Should(HaveLen(2))
	failing.Store(false)
}

// submitLowPriority submits a workflow to the queue with priority 1.
func (h *harness) submitLowPriority(id string, s state.WorkflowStep) {
	h.t.Helper()
	h.Expect(h.call(&fleet.Request{
		Op: fleet.OpSubmit, Host: host, Path: "/later/" + id, Workflow: &state.WorkflowSpec{Steps: []state.WorkflowStep{s}},
	}).Outcome).To(Equal(fleet.OutcomeDone))
}

// Guards against a small serving task that waits although a worker has free
// capacity, because the worker is reserved for a large task of higher priority
// that never fits.
func TestReservationDoesNotBlockServingTask(t *testing.T) {
	expectRunOnReservedWorker(t, step(1, untilStopped))
}

// Guards against the same for a gang of serving tasks.
func TestReservationDoesNotBlockServingGang(t *testing.T) {
	expectRunOnReservedWorker(t, step(1, untilStopped, func(s *state.WorkflowStep) { s.Gang = true }))
}

func expectRunOnReservedWorker(t *testing.T, small state.WorkflowStep) {
	t.Helper()
	h := newHarness(t)
	queue := func(name, prefix string, priority int) state.WorkflowQueue {
		return state.WorkflowQueue{
			Name: name, Host: host, PathPrefix: prefix, Pool: "pool", Priority: priority, MaxAttempts: 2, MaxSlowdown: 2,
			ObjectiveMillis: 1000, TimeoutMillis: 3000,
		}
	}
	h.Expect(h.call(&fleet.Request{Op: fleet.OpSetQueues, Queues: &state.QueueConfig{
		Version: 2, Source: []byte("{}"), Pools: []state.Pool{{Name: "pool", EnforcesCapacity: true}},
		Queues: []state.WorkflowQueue{queue("queue", "/jobs/", 0), queue("later", "/later/", 1)},
	}}).Outcome).To(Equal(fleet.OutcomeDone))
	a := h.addWorker("a", pool.Options{RunTime: shortBatch})
	h.submitAs("0000000000000001", step(2, withCPU(500))) // leaves 3000 free and does not end
	h.Eventually(func() int { return running(a) }, waitTimeout).Should(Equal(2))
	h.submitAs("0000000000000002", step(1, untilStopped, withCPU(3200)))
	memory := func(s *state.WorkflowStep) { s.Size.MemoryMiB = 3950 }
	h.submitAs("0000000000000004", step(1, withCPU(500), memory)) // waits for memory
	time.Sleep(1500 * time.Millisecond)                           // until the large task has reserved the worker
	h.submitLowPriority("0000000000000003", small)
	h.Eventually(func() int { return running(a) }, servingWait).Should(Equal(3))
}

// Guards against a wide gang that does not fit and delays all other tasks,
// because it is tried once for each of its members.
func TestGangWithoutRoomHoldsUpNoOtherTask(t *testing.T) {
	h := newHarness(t)
	const workers, tasksPerWorker = 250, 4
	all := make([]*pool.Worker, workers)
	for i := range all {
		all[i] = h.addWorker(fmt.Sprintf("w%03d", i), pool.Options{RunTime: runForever})
	}
	gang := func(s *state.WorkflowStep) { s.Gang = true }
	h.submitAs("0000000000000001", step(workers*tasksPerWorker+1, untilStopped, gang, withCPU(1000)))
	time.Sleep(100 * time.Millisecond)
	begin := time.Now()
	h.submitAs("0000000000000002", step(1, untilStopped))
	h.Eventually(func() int {
		n := 0
		for _, w := range all {
			n += running(w)
		}
		return n
	}, servingWait).Should(Equal(1))
	t.Logf("after %v", time.Since(begin))
}
