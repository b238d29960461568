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
