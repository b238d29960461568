package fleet_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"apricotrouter/fleet"
	"apricotrouter/replica"
	"apricotrouter/standin/pool"
	"apricotrouter/state"
)

const (
	// maxStartsOfCrashingTask is the largest number of starts of a task that
	// crashes each worker that starts it: two after the third crash.
	maxStartsOfCrashingTask = 5
	// downtime is how long a crashed worker takes to restart. It is shorter
	// than the time after which its lease is known to have expired.
	downtime = 100 * time.Millisecond
)

// restartingWorkers are workers that restart after a crash as another
// incarnation with the same id.
type restartingWorkers struct {
	*harness
	opts         pool.Options
	downtime     time.Duration
	gang         string // workflow whose runs end when a worker crashes; may be empty
	mu           sync.Mutex
	current      map[string]*pool.Worker // by worker id
	incarnations []*pool.Worker
	stopped      bool
	restarts     sync.WaitGroup
}

func (h *harness) addRestartingWorkers(n int, o pool.Options) *restartingWorkers {
	r := &restartingWorkers{harness: h, opts: o, downtime: downtime, current: make(map[string]*pool.Worker)}
	h.t.Cleanup(r.stop)
	for i := range n {
		r.start(fmt.Sprintf("worker-%d", i))
	}
	return r
}

func (r *restartingWorkers) stop() {
	r.mu.Lock()
	r.stopped = true
	r.mu.Unlock()
	r.restarts.Wait()
}

func (r *restartingWorkers) start(id string) {
	o := r.opts
	o.ID, o.MaxLease, o.StartedAt = id, holdMax, time.Now().UnixMilli()
	o.OnCrash = func() { r.restart(id) }
	w := pool.New(o)
	r.harness.mu.Lock()
	r.harness.workers[address(id, o.StartedAt)] = w
	r.harness.mu.Unlock()
	r.mu.Lock()
	r.current[id] = w
	r.incarnations = append(r.incarnations, w)
	r.mu.Unlock()
	for r.heartbeat(id, o.StartedAt, w, false) != fleet.OutcomeDone {
		time.Sleep(10 * time.Millisecond)
	}
}

func (r *restartingWorkers) restart(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return
	}
	for _, w := range r.current {
		w.EndRuns(r.gang, fleet.EndGangBroken)
	}
	r.restarts.Go(func() {
		time.Sleep(r.downtime)
		r.start(id)
	})
}

func (r *restartingWorkers) heartbeat(id string, startedAt int64, w *pool.Worker, draining bool) fleet.Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.harness.heartbeat(id, startedAt, w, draining)
}

// records returns the runs on all incarnations in the order of their starts.
func (r *restartingWorkers) records() []pool.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []pool.Record
	for _, w := range r.incarnations {
		all = append(all, w.Records()...)
	}
	slices.SortFunc(all, func(a, b pool.Record) int { return a.Started.Compare(b.Started) })
	return all
}

// runsOf returns the number of starts of a workflow's tasks.
func (r *restartingWorkers) runsOf(id string) int {
	n := 0
	for _, rec := range r.records() {
		if rec.Position.Workflow == id {
			n++
		}
	}
	return n
}

// crashSome crashes n workers, from the one with the index first.
func (r *restartingWorkers) crashSome(first, n int) {
	r.mu.Lock()
	var chosen []*pool.Worker
	for i := range n {
		chosen = append(chosen, r.current[fmt.Sprintf("worker-%d", (first+i)%len(r.current))])
	}
	r.mu.Unlock()
	for _, w := range chosen {
		w.Crash()
	}
}

const crashingID = "00000000000000cc"

// crashesAtOnce crashes the worker 10 ms after the start of a task of the
// workflow crashingID.
func crashesAtOnce(p fleet.TaskPosition, _ uint64) time.Duration {
	if p.Workflow == crashingID {
		return 10 * time.Millisecond
	}
	return 0
}

func otherID(i int) string { return fmt.Sprintf("%016x", 0x1000+i) }

// small returns a step of which many tasks fit on a worker.
func small(count int, mod ...func(*state.WorkflowStep)) state.WorkflowStep {
	s := step(count, mod...)
	s.Size = state.Resources{MilliCPU: 400, MemoryMiB: 100}
	return s
}

// Guards against a task that crashes each worker that starts it and is started
// for ever, and against giving up the tasks beside it.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	h := newHarness(t)
	runTime := func(fleet.TaskPosition, uint64) time.Duration { return 150 * time.Millisecond }
	r := h.addRestartingWorkers(6, pool.Options{RunTime: runTime, CrashesAfter: crashesAtOnce})
	const others = 30
	for i := range others {
		if i == others/3 {
			h.submitAs(crashingID, small(1))
		}
		h.submitAs(otherID(i), small(4))
		time.Sleep(20 * time.Millisecond)
	}
	h.Eventually(func() state.WorkflowPhase { return h.phaseOf(crashingID) }, waitTimeout, "20ms").Should(Equal(state.WorkflowFailed))
	for i := range others {
		h.Eventually(func() state.WorkflowPhase { return h.phaseOf(otherID(i)) }, waitTimeout, "20ms").Should(Equal(state.WorkflowCompleted))
	}
	h.Consistently(func() int { return r.runsOf(crashingID) }, "500ms", "50ms").Should(BeNumerically("<=", maxStartsOfCrashingTask))
}

// Guards against a leader that does not know which workers crashed under a task
// before it was elected.
func TestEvidenceOfCrashesOutlivesTheLeader(t *testing.T) {
	h := newHarness(t)
	runTime := func(fleet.TaskPosition, uint64) time.Duration { return 150 * time.Millisecond }
	r := h.addRestartingWorkers(4, pool.Options{RunTime: runTime, CrashesAfter: crashesAtOnce})
	h.submitAs(crashingID, small(1))
	for term := uint64(2); term < 30 && h.phaseOf(crashingID) != state.WorkflowFailed; term++ {
		time.Sleep(downtime)
		h.log.SetLeadership(replica.Leadership{Leader: "other", Term: term - 1})
		time.Sleep(20 * time.Millisecond)
		h.log.SetLeadership(replica.Leadership{Leader: "memory", Term: term, Self: true, Epoch: term})
		time.Sleep(2 * downtime)
	}
	h.Eventually(func() state.WorkflowPhase { return h.phaseOf(crashingID) }, waitTimeout, "20ms").Should(Equal(state.WorkflowFailed))
	h.Expect(r.runsOf(crashingID)).To(BeNumerically("<=", maxStartsOfCrashingTask))
}

// Guards against tasks that crash their workers at the same moment, and so look
// like a loss of many workers each time: after some work, when others may run
// beside them again, or so late that a run seems to refute the evidence.
func TestTasksThatCrashTheirWorkersTogetherAreGivenUp(t *testing.T) {
	for name, tc := range map[string]struct {
		after time.Duration
		mod   func(*state.WorkflowStep)
	}{
		"after some work":          {600 * time.Millisecond, func(*state.WorkflowStep) {}},
		"when others run beside":   {2500 * time.Millisecond, func(*state.WorkflowStep) {}},
		"long-running tasks":       {600 * time.Millisecond, untilStopped},
		"members of a gang, apart": {600 * time.Millisecond, func(s *state.WorkflowStep) { s.Gang = true }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			crashes := func(p fleet.TaskPosition, _ uint64) time.Duration {
				if p.Workflow == crashingID {
					return tc.after
				}
				return 0
			}
			r := h.addRestartingWorkers(8, pool.Options{RunTime: runForever, CrashesAfter: crashes})
			h.submitAs(crashingID, step(4, tc.mod, func(s *state.WorkflowStep) { s.MaxPerWorker = 1 }))
			h.Eventually(func() state.WorkflowPhase { return h.phaseOf(crashingID) }, 5*waitTimeout, "20ms").Should(Equal(state.WorkflowFailed))
			starts := make(map[int]int)
			for _, rec := range r.records() {
				starts[rec.Position.Index]++
			}
			for index, n := range starts {
				h.Expect(n).To(BeNumerically("<=", maxStartsOfCrashingTask), "task %d", index)
			}
		})
	}
}

// Guards against giving up tasks that can be done because workers crash again
// and again for other reasons, some of them together.
func TestTasksOnWorkersThatCrashAreNotGivenUp(t *testing.T) {
	h := newHarness(t)
	runTime := func(fleet.TaskPosition, uint64) time.Duration { return 700 * time.Millisecond }
	r := h.addRestartingWorkers(12, pool.Options{RunTime: runTime})
	const others = 70
	for i := range others {
		h.submitAs(otherID(i), small(4))
	}
	lost := func() int {
		n := 0
		for _, rec := range r.records() {
			if rec.Crashed {
				n++
			}
		}
		return n
	}
	for i := range 12 {
		time.Sleep(250 * time.Millisecond)
		r.crashSome(i*5, 1+i%4)
	}
	h.Expect(lost()).To(BeNumerically(">=", others), "the crashes hit runs")
	for i := range others {
		h.Eventually(func() state.WorkflowPhase { return h.phaseOf(otherID(i)) }, 2*waitTimeout, "20ms").Should(Equal(state.WorkflowCompleted))
	}
	h.expectNoDuplicateRuns(r.incarnations...)
}

// Guards against a partition that counts as crashes: a worker that stops
// responding until its lease has expired and then responds again has not
// crashed.
func TestExpiredLeaseIsNoCrash(t *testing.T) {
	h := newHarness(t)
	forever := pool.Options{RunTime: runForever}
	a, b := h.addWorker("a", forever), h.addWorker("b", forever)
	workers := []*pool.Worker{a, b}
	h.Expect(h.submit(step(1))).To(Equal(fleet.OutcomeDone))
	total := func() int { return len(a.Records()) + len(b.Records()) }
	for n := 1; n <= maxStartsOfCrashingTask+1; n++ {
		h.Eventually(total, waitTimeout, "5ms").Should(Equal(n))
		i := slices.IndexFunc(workers, func(w *pool.Worker) bool { return running(w) > 0 })
		h.Expect(i).To(BeNumerically(">=", 0))
		workers[i].SetUnreachable(true)
		h.Eventually(func() int { return running(workers[i]) }, waitTimeout, "5ms").Should(BeZero())
		h.Eventually(total, waitTimeout, "5ms").Should(BeNumerically(">", n), "the task is started on the other worker")
		workers[i].SetUnreachable(false)
	}
	h.Expect(h.phase()).To(Equal(state.WorkflowActive))
}

// Guards against a task that is started for ever because its workers come back
// after their leases have expired, when its runs have been given up, also if
// the workers crash before they answer the starts.
func TestCrashesKnownAfterTheLeaseAreCounted(t *testing.T) {
	for name, delay := range map[string]time.Duration{"after the answer": 10 * time.Millisecond, "before the answer": -1} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			crashes := func(fleet.TaskPosition, uint64) time.Duration { return delay }
			r := h.addRestartingWorkers(0, pool.Options{RunTime: runForever, CrashesAfter: crashes})
			r.downtime = 1500 * time.Millisecond // longer than the time after which a lease is known to have expired
			for i := range 4 {
				r.start(fmt.Sprintf("worker-%d", i))
			}
			h.submitAs(crashingID, small(1))
			h.Eventually(func() state.WorkflowPhase { return h.phaseOf(crashingID) }, 3*waitTimeout, "20ms").Should(Equal(state.WorkflowFailed))
			h.Expect(r.runsOf(crashingID)).To(BeNumerically("<=", maxStartsOfCrashingTask))
		})
	}
}

// Guards against one start too many where each lease expires before the worker
// restarts, also if the leader changes in between.
func TestBoundHoldsForWorkersThatRestartAfterTheirLease(t *testing.T) {
	h := newHarness(t)
	r := h.addRestartingWorkers(0, pool.Options{RunTime: runForever, CrashesAfter: crashesAtOnce})
	r.downtime = 2 * time.Second // longer than the time after which a lease is known to have expired
	for i := range 8 {
		r.start(fmt.Sprintf("worker-%d", i))
	}
	h.submitAs(crashingID, small(1))
	for term := uint64(2); term < 30 && h.phaseOf(crashingID) != state.WorkflowFailed; term++ {
		time.Sleep(1500 * time.Millisecond)
		h.log.SetLeadership(replica.Leadership{Leader: "other", Term: term - 1})
		time.Sleep(20 * time.Millisecond)
		h.log.SetLeadership(replica.Leadership{Leader: "memory", Term: term, Self: true, Epoch: term})
	}
	h.Eventually(func() state.WorkflowPhase { return h.phaseOf(crashingID) }, waitTimeout, "20ms").Should(Equal(state.WorkflowFailed))
	h.Expect(r.runsOf(crashingID)).To(BeNumerically("<=", maxStartsOfCrashingTask))
}

// Guards against a crash that is not counted because the leader changed after
// the removal of the worker was committed and before the end of its run was.
func TestCrashIsCountedIfTheRemovalOfItsWorkerWasCommittedFirst(t *testing.T) {
	h := newHarness(t)
	startedAt := time.Now().UnixMilli()
	h.addWorker("a", pool.Options{RunTime: runForever, StartedAt: startedAt})
	h.submitAs(crashingID, small(1))
	task := func() state.WorkflowTask {
		w, ok := h.log.State().Workflows.Get(crashingID)
		h.Expect(ok).To(BeTrue())
		return w.Tasks[0]
	}
	h.Eventually(func() state.WorkflowTaskPhase { return task().Phase }, waitTimeout).Should(Equal(state.TaskStarted))
	h.log.SetLeadership(replica.Leadership{Leader: "other", Term: 1})
	_, err := h.log.Propose(t.Context(), state.NewCommand(state.SetPoolWorkers{Removed: []state.PoolWorker{{ID: "a", StartedAt: startedAt}}}))
	h.Expect(err).NotTo(HaveOccurred())
	h.log.SetLeadership(replica.Leadership{Leader: "memory", Term: 2, Self: true, Epoch: 2})
	h.Eventually(func() []uint64 { return task().CrashedRuns }, waitTimeout).Should(Equal([]uint64{1}))
	h.Expect(task().LostRuns).To(BeEmpty())
}

// Guards against a long-running task without a bound, and against a caller that
// can't learn why its workflow failed.
func TestLongRunningTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	h := newHarness(t)
	r := h.addRestartingWorkers(3, pool.Options{RunTime: runForever, CrashesAfter: crashesAtOnce})
	h.submitAs(crashingID, small(1, untilStopped))
	h.submitAs(otherID(0), small(4, untilStopped))
	h.Eventually(func() state.WorkflowPhase { return h.phaseOf(crashingID) }, waitTimeout, "20ms").Should(Equal(state.WorkflowFailed))
	h.Expect(r.runsOf(crashingID)).To(BeNumerically("<=", maxStartsOfCrashingTask))
	h.Expect(h.phaseOf(otherID(0))).To(Equal(state.WorkflowActive))
	reason := h.call(&fleet.Request{Op: fleet.OpStatus, Host: host, Path: "/jobs/" + crashingID}).Reason
	h.Expect(reason).To(ContainSubstring("workers crashed while they ran task 0.0.0"))
}

// Guards against a gang with a member that crashes its workers for ever, also
// if other members on the same workers are suspect as well.
func TestGangThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	for name, tc := range map[string]struct {
		maxPerWorker int
		after        time.Duration
	}{
		"members apart":    {1, 10 * time.Millisecond},
		"members together": {3, 450 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			crashes := func(p fleet.TaskPosition, _ uint64) time.Duration {
				if p.Index == 1 {
					return tc.after
				}
				return 0
			}
			r := h.addRestartingWorkers(4, pool.Options{RunTime: runForever, CrashesAfter: crashes})
			r.gang = crashingID
			h.submitAs(crashingID, step(3, func(s *state.WorkflowStep) { s.Gang, s.MaxPerWorker = true, tc.maxPerWorker }))
			h.Eventually(func() state.WorkflowPhase { return h.phaseOf(crashingID) }, 2*waitTimeout, "20ms").Should(Equal(state.WorkflowFailed))
			starts := 0
			for _, rec := range r.records() {
				if rec.Position.Workflow == crashingID && rec.Position.Index == 1 {
					starts++
				}
			}
			h.Expect(starts).To(BeNumerically("<=", maxStartsOfCrashingTask))
		})
	}
}

// Guards against tasks that start beside one that has crashed two workers.
func TestTaskThatCrashedTwoWorkersRunsAlone(t *testing.T) {
	h := newHarness(t)
	runTime := func(fleet.TaskPosition, uint64) time.Duration { return 100 * time.Millisecond }
	r := h.addRestartingWorkers(6, pool.Options{RunTime: runTime, CrashesAfter: crashesAtOnce})
	h.submitAs(crashingID, small(1))
	for i := 0; h.phaseOf(crashingID) != state.WorkflowFailed; i++ {
		h.submitAs(otherID(i), small(4))
		time.Sleep(20 * time.Millisecond)
	}
	crashes := 0
	for _, bad := range r.records() {
		if bad.Position.Workflow != crashingID {
			continue
		}
		if crashes++; crashes <= 2 {
			continue
		}
		for _, rec := range r.records() {
			beside := rec.Crashed && rec.Worker == bad.Worker && rec.Ended.Sub(bad.Ended).Abs() < 5*time.Millisecond && rec.Position != bad.Position
			h.Expect(beside).To(BeFalse(), "%+v was lost with run %d", rec, bad.Number)
		}
	}
	h.Expect(crashes).To(BeNumerically(">", 2))
}

// Guards against a crash that is not counted because the worker stayed away for
// so long that it was removed before its next incarnation reported.
func TestCrashIsCountedIfTheWorkerWasRemovedBeforeItReturned(t *testing.T) {
	h := newHarness(t, func(o *fleet.Options) { o.Limits.Heartbeat = 100 * time.Millisecond })
	r := h.addRestartingWorkers(1, pool.Options{RunTime: runForever})
	h.submitAs(crashingID, small(1))
	h.Eventually(func() int { return r.runsOf(crashingID) }, waitTimeout, "1ms").Should(Equal(1))
	r.stop() // crashed workers do not restart
	r.crashSome(0, 1)
	registered := func() bool {
		_, ok := h.log.State().PoolWorkers.Get("worker-0")
		return ok
	}
	h.Eventually(registered, waitTimeout, "5ms").Should(BeFalse())
	h.Eventually(func() []uint64 { return h.taskOf(crashingID).CrashedRuns }, waitTimeout, "5ms").Should(Equal([]uint64{1}))
	h.Expect(h.taskOf(crashingID).LostRuns).To(BeEmpty())
}

// Guards against a crash that is not counted because the leader changed after
// the lease of the worker had expired and the worker was replaced.
func TestCrashAfterTheLeaseIsCountedIfTheLeaderChanged(t *testing.T) {
	h := newHarness(t)
	startedAt := time.Now().UnixMilli()
	a := h.addWorker("a", pool.Options{RunTime: runForever, StartedAt: startedAt})
	h.submitAs(crashingID, small(1))
	h.Eventually(func() int { return running(a) }, waitTimeout, "1ms").Should(Equal(1))
	a.SetUnreachable(true)
	h.Eventually(func() []state.LostRun { return h.taskOf(crashingID).LostRuns }, waitTimeout, "5ms").Should(HaveLen(1))
	h.log.SetLeadership(replica.Leadership{Leader: "other", Term: 1})
	_, err := h.log.Propose(t.Context(), state.NewCommand(state.SetPoolWorkers{Removed: []state.PoolWorker{{ID: "a", StartedAt: startedAt}}}))
	h.Expect(err).NotTo(HaveOccurred())
	h.log.SetLeadership(replica.Leadership{Leader: "memory", Term: 2, Self: true, Epoch: 2})
	h.Eventually(func() []uint64 { return h.taskOf(crashingID).CrashedRuns }, waitTimeout, "5ms").Should(Equal([]uint64{1}))
	h.Expect(h.taskOf(crashingID).LostRuns).To(BeEmpty())
}

// Guards against a crash that is counted for only one of the tasks on a worker
// that an earlier leader removed.
func TestCrashIsCountedForAllTasksOfARemovedWorker(t *testing.T) {
	h := newHarness(t)
	startedAt := time.Now().UnixMilli()
	a := h.addWorker("a", pool.Options{RunTime: runForever, StartedAt: startedAt})
	for i := range 3 {
		h.submitAs(otherID(i), small(1))
	}
	h.Eventually(func() int { return running(a) }, waitTimeout, "1ms").Should(Equal(3))
	h.log.SetLeadership(replica.Leadership{Leader: "other", Term: 1})
	_, err := h.log.Propose(t.Context(), state.NewCommand(state.SetPoolWorkers{Removed: []state.PoolWorker{{ID: "a", StartedAt: startedAt}}}))
	h.Expect(err).NotTo(HaveOccurred())
	h.log.SetLeadership(replica.Leadership{Leader: "memory", Term: 2, Self: true, Epoch: 2})
	for i := range 3 {
		h.Eventually(func() []uint64 { return h.taskOf(otherID(i)).CrashedRuns }, waitTimeout, "5ms").Should(Equal([]uint64{1}))
	}
}
