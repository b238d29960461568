package fleet_test

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"apricotrouter/fleet"
	"apricotrouter/replica"
	"apricotrouter/standin/pool"
	"apricotrouter/state"
)

// restartedWorker is a worker whose incarnations share an id.
type restartedWorker struct {
	*harness
	id           string // default "a"
	incarnations []*pool.Worker
	addresses    []string // of the incarnations
}

// startInDoubt submits a task whose start is delayed on the first incarnation of
// a worker, which then stops responding. If the call hangs, it is in flight until
// it times out.
func startInDoubt(h *harness, hang bool) *restartedWorker {
	r := &restartedWorker{harness: h}
	first := r.restart()
	if hang {
		first.HangStarts(1)
	} else {
		first.DelayStarts(1)
	}
	first.LoseContactAtStart() // the leader sends nothing to a worker that is known to be unreachable
	h.Expect(h.submit(step(1, untilStopped))).To(Equal(fleet.OutcomeDone))
	h.Eventually(first.DelayedStarts, waitTimeout, "1ms").Should(Equal(1))
	return r
}

// restart starts the next incarnation.
func (r *restartedWorker) restart(setUp ...func(*pool.Worker)) *pool.Worker {
	time.Sleep(2 * time.Millisecond) // start times of incarnations differ
	startedAt, id := time.Now().UnixMilli(), cmp.Or(r.id, "a")
	w := r.addWorker(id, pool.Options{RunTime: runForever, StartedAt: startedAt}, setUp...)
	r.incarnations, r.addresses = append(r.incarnations, w), append(r.addresses, address(id, startedAt))
	return w
}

// startedAt returns the start time of the last incarnation, in Unix milliseconds.
func (r *restartedWorker) startedAt() int64 {
	_, text, _ := strings.Cut(r.addresses[len(r.addresses)-1], ":")
	startedAt, err := strconv.ParseInt(text, 10, 64)
	r.Expect(err).NotTo(HaveOccurred())
	return startedAt
}

// shrink reports a capacity of the last incarnation on which no task fits.
func (r *restartedWorker) shrink() {
	w := r.incarnations[len(r.incarnations)-1]
	outcome := r.heartbeatWith("a", r.startedAt(), w, false, state.Resources{MilliCPU: 1, MemoryMiB: 1})
	r.Expect(outcome).To(Equal(fleet.OutcomeDone))
}

func unreachable(w *pool.Worker) { w.SetUnreachable(true) }

// changeLeader makes another instance the leader, and then this one again.
func changeLeader(h *harness) {
	h.log.SetLeadership(replica.Leadership{Leader: "other", Term: 1})
	time.Sleep(20 * time.Millisecond)
	h.log.SetLeadership(replica.Leadership{Leader: "memory", Term: 2, Self: true, Epoch: 2})
	time.Sleep(20 * time.Millisecond)
}

// Guards against a start that the next incarnation of its worker carries out
// after it was found not to run there.
func TestStartDelayedBeyondAPollOfTheNextIncarnationDoesNotRun(t *testing.T) {
	sameLeader := func(*harness) {}
	for name, tc := range map[string]struct {
		hang    bool
		between func(h *harness)
	}{
		"in flight, same leader":  {true, sameLeader},
		"in flight, next leader":  {true, changeLeader},
		"unanswered, same leader": {false, sameLeader},
		"unanswered, next leader": {false, changeLeader},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			r := startInDoubt(h, tc.hang)
			tc.between(h)
			b := h.addWorker("b", pool.Options{RunTime: runForever})
			second := r.restart()
			h.Eventually(func() int { return running(second) + running(b) }, waitTimeout, "1ms").Should(Equal(1))
			r.incarnations[0].DeliverDelayedStartsTo(second)
			h.Consistently(func() int { return running(second) + running(b) }, "300ms", "1ms").Should(Equal(1))
			h.expectNoDuplicateRuns(append(r.incarnations, b)...)
		})
	}
}

// Guards against a second run of a task whose start reaches an incarnation that
// has not been polled yet, however many incarnations there were since it was
// sent.
func TestStartReachesAnIncarnationBeforeItsFirstPoll(t *testing.T) {
	for name, tc := range map[string]struct {
		hang     bool
		restarts int
		lifetime time.Duration
	}{
		"in flight, the next":                {true, 1, 100 * time.Millisecond},
		"unanswered, the next":               {false, 1, 100 * time.Millisecond},
		"in flight, third within a second":   {true, 2, 200 * time.Millisecond},
		"unanswered, third within a second":  {false, 2, 200 * time.Millisecond},
		"unanswered, one after some seconds": {false, 5, 800 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			r := startInDoubt(h, tc.hang)
			b := h.addWorker("b", pool.Options{RunTime: runForever})
			var last *pool.Worker
			for range tc.restarts {
				time.Sleep(tc.lifetime)
				last = r.restart(unreachable)
			}
			r.incarnations[0].DeliverDelayedStartsTo(last)
			h.Expect(running(last)).To(Equal(1))
			last.SetUnreachable(false)
			h.Consistently(func() int { return running(last) + running(b) }, "500ms", "1ms").Should(BeNumerically("<=", 1))
			h.Eventually(func() int { return running(last) + running(b) }, waitTimeout, "1ms").Should(Equal(1))
			h.expectNoDuplicateRuns(append(r.incarnations, b)...)
		})
	}
}

// Guards against a start that was given up with the lease of its worker and is
// carried out by the next incarnation, which registers after the worker was
// removed and gets no task.
func TestStartDelayedBeyondTheRemovalOfItsWorkerDoesNotRun(t *testing.T) {
	for name, between := range map[string]func(h *harness){"same leader": func(*harness) {}, "next leader": changeLeader} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, func(o *fleet.Options) {
				// The start arrives later than a worker may carry one out.
				o.Limits.Heartbeat, o.Limits.CallDelay = 200*time.Millisecond, time.Second
			})
			r := startInDoubt(h, false)
			removed := func() bool {
				_, known := h.log.State().PoolWorkers.Get("a")
				return !known
			}
			h.Eventually(removed, waitTimeout, "5ms").Should(BeTrue())
			b := h.addWorker("b", pool.Options{RunTime: runForever})
			h.Eventually(func() int { return running(b) }, waitTimeout, "1ms").Should(Equal(1))
			between(h)
			second := r.restart()
			h.Eventually(second.Fence, waitTimeout, "1ms").ShouldNot(BeZero(), "the worker is polled")
			r.incarnations[0].DeliverDelayedStartsTo(second)
			h.Consistently(func() int { return running(second) }, "200ms", "1ms").Should(BeZero())
		})
	}
}

// Guards against a run that is given up with the lease of the next incarnation
// of its worker, which has not been polled and carries out the start late.
func TestLateStartOutlivesTheLeaseOfAnUnpolledIncarnation(t *testing.T) {
	h := newHarness(t)
	r := &restartedWorker{harness: h}
	r.restart()
	time.Sleep(2 * time.Second) // a lease on the first clock is long on that of the next incarnation
	first := r.incarnations[0]
	first.DelayStarts(1)
	first.LoseContactAtStart()
	h.Expect(h.submit(step(1, untilStopped))).To(Equal(fleet.OutcomeDone))
	h.Eventually(first.DelayedStarts, waitTimeout, "1ms").Should(Equal(1))
	b := h.addWorker("b", pool.Options{RunTime: runForever})
	second := r.restart(unreachable)
	time.Sleep(holdMax + holdMax/2)
	first.DeliverDelayedStartsTo(second)
	h.Expect(running(second)).To(Equal(1))
	h.Consistently(func() int { return running(second) + running(b) }, "1500ms", "2ms").Should(BeNumerically("<=", 1))
	second.SetUnreachable(false)
	h.Eventually(func() int { return running(second) + running(b) }, waitTimeout, "2ms").Should(Equal(1))
	h.expectNoDuplicateRuns(first, second, b)
}

// Guards against a run that was settled with one incarnation of its worker, by a
// stop, a poll or the end of its lease, and is carried out by the next before its
// first poll, beside the next run of its task on another worker.
func TestStartSettledByOneIncarnationReachesTheNext(t *testing.T) {
	sameLeader := func(*harness) {}
	for name, tc := range map[string]struct {
		restarted, lost bool
		between         func(h *harness)
	}{
		"stop acknowledged":                        {between: sameLeader},
		"stop acknowledged, next leader":           {between: changeLeader},
		"polled under a higher fence":              {restarted: true, between: sameLeader},
		"polled under a higher fence, next leader": {restarted: true, between: changeLeader},
		"lease expired":                            {lost: true, between: sameLeader},
		"lease expired, next leader":               {lost: true, between: changeLeader},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			r := startInDoubt(h, false)
			settling := r.incarnations[0]
			if tc.restarted {
				settling = r.restart(unreachable)
			}
			b := h.addWorker("b", pool.Options{RunTime: runForever})
			r.shrink() // no room for the task where its start may still arrive
			settling.SetUnreachable(tc.lost)
			h.Eventually(func() state.WorkflowTaskPhase { return h.taskOf(jobID).Phase }, waitTimeout, "1ms").Should(Equal(state.TaskWaiting))
			tc.between(h)
			h.Consistently(func() int { return running(b) }, "500ms", "1ms").Should(BeZero())
			settling.Crash()
			last := r.restart(unreachable)
			r.incarnations[0].DeliverDelayedStartsTo(last)
			h.Expect(running(last)).To(Equal(1))
			h.Consistently(func() int { return running(last) + running(b) }, "300ms", "1ms").Should(BeNumerically("<=", 1))
			last.SetUnreachable(false)
			h.Eventually(func() state.WorkflowTask { return h.taskOf(jobID) }, waitTimeout, "1ms").Should(HaveField("Run", BeNumerically(">", 1)))
			h.Eventually(func() int { return running(last) + running(b) }, waitTimeout, "1ms").Should(Equal(1))
			h.expectNoDuplicateRuns(append(r.incarnations, b)...)
		})
	}
}

// Guards against a task that waits although the worker that left its start without
// an answer has the room that the run had reserved.
func TestTaskStartsAgainWhereItsStartHadNoAnswer(t *testing.T) {
	for name, gang := range map[string]bool{"task": false, "gang": true} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			a := h.addWorker("a", pool.Options{RunTime: runForever}, func(w *pool.Worker) { w.DelayStarts(1) })
			whole := func(s *state.WorkflowStep) {
				s.Gang = gang
				s.Size = state.Resources{MilliCPU: 4000, MemoryMiB: 4000}
			}
			h.Expect(h.submit(step(1, untilStopped, whole))).To(Equal(fleet.OutcomeDone))
			h.Eventually(a.DelayedStarts, waitTimeout, "1ms").Should(Equal(1))
			h.submitAs(otherID(0), step(1, untilStopped, whole)) // waits for the same capacity
			began := time.Now()
			h.Eventually(func() uint64 { return runNumber(a, jobID) }, waitTimeout, "1ms").Should(BeNumerically(">", 1))
			h.Expect(time.Since(began)).To(BeNumerically("<", time.Second))
			b := h.addWorker("b", pool.Options{RunTime: runForever})
			h.Eventually(func() int { return running(b) }, waitTimeout, "1ms").Should(Equal(1))
			a.DeliverDelayedStarts()
			h.Consistently(func() int { return running(a) + running(b) }, "200ms", "1ms").Should(Equal(2))
			h.expectNoDuplicateRuns(a, b)
		})
	}
}

// runNumber returns the highest number of the runs of a workflow on a worker.
func runNumber(w *pool.Worker, workflow string) uint64 {
	highest := uint64(0)
	for _, r := range w.Records() {
		if r.Position.Workflow == workflow {
			highest = max(highest, r.Number)
		}
	}
	return highest
}

// Guards against a task that waits for its worker for longer than a start without
// an answer may take to arrive, and against one that does not wait that long.
func TestTaskStartsElsewhereOnceItsStartCanNoLongerArrive(t *testing.T) {
	const delay = 1500 * time.Millisecond
	for name, between := range map[string]func(h *harness){"same leader": func(*harness) {}, "next leader": changeLeader} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, func(o *fleet.Options) { o.Limits.CallDelay = delay })
			r := startInDoubt(h, false)
			began := time.Now()
			b := h.addWorker("b", pool.Options{RunTime: runForever})
			r.shrink()
			r.incarnations[0].SetUnreachable(false)
			h.Eventually(func() state.WorkflowTaskPhase { return h.taskOf(jobID).Phase }, waitTimeout, "1ms").Should(Equal(state.TaskWaiting))
			between(h)
			h.Eventually(func() int { return running(b) }, waitTimeout, "1ms").Should(Equal(1))
			h.Expect(time.Since(began)).To(And(BeNumerically(">=", delay), BeNumerically("<", 2*delay)))
			h.Eventually(func() string { return h.taskOf(jobID).UnansweredOn }, waitTimeout, "1ms").Should(BeEmpty())
		})
	}
}

// Guards against a task that waits although its start had no effect: it was
// refused, or never sent, after its run had been given up.
func TestStartWithoutEffectDoesNotConfineItsTask(t *testing.T) {
	h := newHarness(t)
	r := &restartedWorker{harness: h}
	r.restart()
	h.blockConnections(r.addresses[0])
	h.Expect(h.submit(step(1, untilStopped))).To(Equal(fleet.OutcomeDone))
	h.Eventually(func() state.WorkflowTaskPhase { return h.taskOf(jobID).Phase }, waitTimeout, "1ms").Should(Equal(state.TaskStarted))
	b := h.addWorker("b", pool.Options{RunTime: runForever})
	h.Eventually(func() int { return running(b) }, waitTimeout, "1ms").Should(Equal(1))
	h.Expect(h.taskOf(jobID).UnansweredOn).To(BeEmpty())
}

// Guards against serving tasks that wait longer than the lease of a lost worker
// because the next leader does not know that their starts were carried out.
func TestNextLeaderKnowsWhichServingTasksHaveStarted(t *testing.T) {
	h := newHarness(t, func(o *fleet.Options) { o.Limits.CallDelay = 2 * waitTimeout })
	a := h.addWorker("a", pool.Options{RunTime: runForever})
	serving := func(s *state.WorkflowStep) { s.LongRunning = true }
	h.Expect(h.submit(step(1, serving))).To(Equal(fleet.OutcomeDone))
	h.Eventually(func() bool { return h.taskOf(jobID).StartAnswered }, waitTimeout, "1ms").Should(BeTrue())
	a.Crash()
	changeLeader(h)
	b := h.addWorker("b", pool.Options{RunTime: runForever})
	h.Eventually(func() int { return running(b) }, waitTimeout, "1ms").Should(Equal(1))
}

// Guards against a task that waits for anything but the first response of the
// next incarnation once its start can't be carried out any more.
func TestTaskStartsAgainOnceItsStartIsKnownToBeVoid(t *testing.T) {
	const retryInterval = 200 * time.Millisecond // the shortest of polls and stops
	for name, hang := range map[string]bool{"in flight": true, "unanswered": false} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			r := startInDoubt(h, hang)
			b := h.addWorker("b", pool.Options{RunTime: runForever})
			began := time.Now()
			second := r.restart()
			h.Eventually(func() int { return running(second) + running(b) }, waitTimeout, "1ms").Should(Equal(1))
			h.Expect(time.Since(began)).To(BeNumerically("<", retryInterval))
		})
	}
}

// Guards against a crash that counts against a task whose start was never sent
// to the worker.
func TestStartThatWasNotSentIsNoCrash(t *testing.T) {
	h := newHarness(t)
	r := &restartedWorker{harness: h}
	r.restart()
	h.blockConnections(r.addresses[0])
	h.Expect(h.submit(step(1, untilStopped))).To(Equal(fleet.OutcomeDone))
	h.Eventually(func() state.WorkflowTaskPhase { return h.taskOf(jobID).Phase }, waitTimeout, "1ms").Should(Equal(state.TaskStarted))
	time.Sleep(20 * time.Millisecond) // until the call waits for a connection
	second := r.restart()
	h.Eventually(func() int { return running(second) }, waitTimeout, "1ms").Should(Equal(1))
	h.Expect(h.taskOf(jobID).CrashedRuns).To(BeEmpty())
}

// Guards against a loss of many workers that counts as unexplained crashes
// against the tasks whose starts were unanswered.
func TestUnansweredStartsInALossOfManyWorkersAreExplained(t *testing.T) {
	h := newHarness(t)
	var workers []*restartedWorker
	for i := range 4 {
		r := &restartedWorker{harness: h, id: fmt.Sprintf("worker-%d", i)}
		first := r.restart()
		first.HangStarts(1)
		workers = append(workers, r)
	}
	h.Expect(h.submit(step(4, untilStopped, func(s *state.WorkflowStep) { s.MaxPerWorker = 1 }))).To(Equal(fleet.OutcomeDone))
	for _, r := range workers {
		h.Eventually(r.incarnations[0].DelayedStarts, waitTimeout, "1ms").Should(Equal(1))
	}
	for _, r := range workers {
		r.incarnations[0].SetUnreachable(true)
		r.restart(unreachable)
	}
	for _, r := range workers {
		r.incarnations[1].SetUnreachable(false)
	}
	h.Eventually(func() bool {
		w, _ := h.log.State().Workflows.Get(jobID)
		return !slices.ContainsFunc(w.Tasks, func(t state.WorkflowTask) bool { return len(t.CrashedRuns) == 0 })
	}, waitTimeout, "5ms").Should(BeTrue())
	w, _ := h.log.State().Workflows.Get(jobID)
	for _, t := range w.Tasks {
		h.Expect(t.UnexplainedCrashes).To(BeZero())
	}
}

// Guards against a crash that is not counted because the lease of the next
// incarnation expired before that was polled.
func TestCrashIsCountedIfTheNextIncarnationIsNotPolled(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	r := startInDoubt(h, false)
	r.incarnations[0].Crash()
	second := r.restart(unreachable)
	h.Eventually(func() []uint64 { return h.taskOf(jobID).CrashedRuns }, 3*waitTimeout, "20ms").Should(Equal([]uint64{1}))
	second.SetUnreachable(false)
	h.Eventually(func() int { return running(second) }, waitTimeout, "1ms").Should(Equal(1))
	h.Expect(h.taskOf(jobID).LostRuns).To(BeEmpty())
}

// Guards against a crash that counts against a task although its worker had
// announced its shutdown.
func TestUnansweredStartOnADrainingWorkerIsNoCrash(t *testing.T) {
	h := newHarness(t)
	r := startInDoubt(h, false)
	first := r.incarnations[0]
	h.Expect(h.heartbeat("a", r.startedAt(), first, true)).To(Equal(fleet.OutcomeDone))
	second := r.restart()
	h.Eventually(func() int { return running(second) }, waitTimeout, "1ms").Should(Equal(1))
	h.Expect(h.taskOf(jobID).CrashedRuns).To(BeEmpty())
}

// Guards against an acknowledgement for an earlier incarnation that discards
// ends unnoticed.
func TestEndsDiscardedBeforeTheyWereReadAreCounted(t *testing.T) {
	registry := prometheus.NewRegistry()
	h := newHarness(t, func(o *fleet.Options) { o.Registerer = registry })
	h.addWorker("a", pool.Options{RunTime: runFor60ms}, func(w *pool.Worker) {
		for number := range uint64(3) {
			h.Expect(w.Start(t.Context(), fleet.StartCall{Run: fleet.Run{Number: number + 1}, Lease: 500})).To(Succeed())
			h.Expect(w.Stop(t.Context(), fleet.StopCall{Run: fleet.Run{Number: number + 1}})).To(Succeed())
		}
		_, err := w.Poll(t.Context(), fleet.PollCall{Acknowledged: 2})
		h.Expect(err).NotTo(HaveOccurred())
	})
	h.Expect(h.submit(step(1))).To(Equal(fleet.OutcomeDone))
	h.expectPhase(state.WorkflowCompleted)
	const name = "apricotrouter_fleet_missing_ends_total"
	expected := "# HELP " + name + " Ends of runs that workers discarded before they were read.\n# TYPE " + name + " counter\n" + name + " 2\n"
	h.Expect(testutil.GatherAndCompare(registry, strings.NewReader(expected), name)).To(Succeed())
}

// Guards against a stopped run that keeps its capacity until its start call
// times out.
func TestStoppedRunDoesNotWaitForItsStartCall(t *testing.T) {
	h := newHarness(t)
	r := &restartedWorker{harness: h}
	first := r.restart()
	first.HangStarts(1)
	whole := func(s *state.WorkflowStep) { s.Size = state.Resources{MilliCPU: 4000, MemoryMiB: 4000} }
	h.Expect(h.submit(step(1, untilStopped, whole))).To(Equal(fleet.OutcomeDone))
	h.Eventually(first.DelayedStarts, waitTimeout, "1ms").Should(Equal(1))
	h.submitAs(otherID(0), step(1, untilStopped, whole))
	began := time.Now()
	h.Expect(h.call(&fleet.Request{Op: fleet.OpCancel, Host: host, Path: "/jobs/" + jobID}).Outcome).To(Equal(fleet.OutcomeDone))
	h.Eventually(func() int { return running(first) }, waitTimeout, "1ms").Should(Equal(1))
	h.Expect(time.Since(began)).To(BeNumerically("<", 500*time.Millisecond), "a start call times out after 1 s")
}

// Guards against an incarnation that carries out earlier starts until the next
// tick of the leader.
func TestIncarnationThatReplacesAnotherIsPolledAtOnce(t *testing.T) {
	withoutTicks := clockwork.NewFakeClock()
	h := newHarness(t, func(o *fleet.Options) { o.Clock = withoutTicks })
	r := &restartedWorker{harness: h}
	r.restart()
	second := r.restart()
	h.Eventually(second.Fence, waitTimeout, "1ms").ShouldNot(BeZero())
}

// registrationGate delays the results of registrations, which are applied at
// once.
type registrationGate struct {
	replica.Log
	mu      sync.Mutex
	closed  bool
	waiting []chan struct{}
}

// Propose implements replica.Log.
func (g *registrationGate) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	r, err := g.Log.Propose(ctx, c)
	g.mu.Lock()
	if c.Kind != state.KindSetPoolWorkers || !g.closed {
		g.mu.Unlock()
		return r, err
	}
	wait := make(chan struct{})
	g.waiting = append(g.waiting, wait)
	g.mu.Unlock()
	<-wait
	return r, err
}

func (g *registrationGate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}

func (g *registrationGate) delayed() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.waiting)
}

func (g *registrationGate) release(i int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = false
	close(g.waiting[i])
}

// Guards against a task that never starts again because the registration of one
// incarnation was overtaken by that of the next.
func TestUndecidedStartOutlivesAnOvertakenRegistration(t *testing.T) {
	gate := new(registrationGate)
	h := newHarness(t, func(o *fleet.Options) { gate.Log = o.Log; o.Log = gate })
	startInDoubt(h, true)
	b := h.addWorker("b", pool.Options{RunTime: runForever})
	gate.close()
	var later [2]*pool.Worker
	var registrations sync.WaitGroup
	startedAt := time.Now().UnixMilli()
	for i := range later {
		registrations.Go(func() {
			later[i] = h.addWorker("a", pool.Options{RunTime: runForever, StartedAt: startedAt + int64(i)})
		})
		h.Eventually(gate.delayed, waitTimeout, "1ms").Should(Equal(i + 1))
	}
	gate.release(0)
	time.Sleep(50 * time.Millisecond) // until the first result is handled
	gate.release(1)
	registrations.Wait()
	total := func() int { return running(later[0]) + running(later[1]) + running(b) }
	h.Eventually(total, waitTimeout, "5ms").Should(Equal(1))
}

// Guards against a start that the next incarnation of its worker carries out after
// the end of its task has been acknowledged: nothing may start after that.
func TestEndIsAcknowledgedOnceNoStartCanArrive(t *testing.T) {
	const delay = 1500 * time.Millisecond
	sameLeader := func(*harness) {}
	for name, tc := range map[string]struct {
		members int // of a gang on as many workers
		between func(h *harness)
	}{
		"same leader":                   {1, sameLeader},
		"next leader":                   {1, changeLeader},
		"start of another member":       {2, sameLeader},
		"of another member, new leader": {2, changeLeader},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, func(o *fleet.Options) { o.Limits.CallDelay = delay })
			began := time.Now()
			workers := []*pool.Worker{h.addWorker("a", pool.Options{RunTime: runFor60ms}, func(w *pool.Worker) { w.DelayStarts(1) })}
			if tc.members > 1 {
				// The member on b ends after the start of the other one was given up.
				runTime := func(fleet.TaskPosition, uint64) time.Duration { return delay / 2 }
				workers = append(workers, h.addWorker("b", pool.Options{RunTime: runTime}))
			}
			unacknowledged := func() (n int) {
				for _, w := range workers {
					n += w.Unacknowledged()
				}
				return n
			}
			gang := step(tc.members, func(s *state.WorkflowStep) { s.Gang, s.MaxPerWorker = tc.members > 1, 1 })
			// The second step keeps the workflow open.
			never := step(1, func(s *state.WorkflowStep) { s.Label, s.DependsOn = "none", []int{0} })
			h.Expect(h.submit(gang, never)).To(Equal(fleet.OutcomeDone))
			h.Eventually(func() state.WorkflowTaskPhase { return h.taskOf(jobID).Phase }, waitTimeout, "1ms").Should(Equal(state.TaskDone))
			h.Expect(time.Since(began)).To(BeNumerically("<", delay), "the end counts at once")
			tc.between(h)
			for time.Since(began) < delay {
				h.Expect(unacknowledged()).To(Equal(1))
				time.Sleep(time.Millisecond)
			}
			h.Eventually(unacknowledged, waitTimeout, "1ms").Should(BeZero())
			h.Expect(time.Since(began)).To(BeNumerically("<", 3*delay))
		})
	}
}

// Guards against two starts of a task without an answer that the next incarnation
// of their worker carries out beside each other.
func TestTwoUnansweredStartsReachTheNextIncarnation(t *testing.T) {
	h := newHarness(t)
	r := &restartedWorker{harness: h}
	first := r.restart(func(w *pool.Worker) { w.DelayStarts(2) })
	h.Expect(h.submit(step(1, untilStopped))).To(Equal(fleet.OutcomeDone))
	h.Eventually(first.DelayedStarts, waitTimeout, "1ms").Should(Equal(2))
	first.Crash()
	next := r.restart(unreachable)
	first.DeliverDelayedStartsTo(next)
	h.Expect(running(next)).To(BeNumerically("<=", 1))
}
