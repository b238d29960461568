package fleet_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
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

// withCaps returns a configuration with the caps of its tenants.
func withCaps(version uint64, caps map[string]state.Resources) *state.QueueConfig {
	cfg := tenantConfig(version)
	for _, name := range []string{"a", "b", "c"} {
		if limit, ok := caps[name]; ok {
			cfg.Tenants = append(cfg.Tenants, state.Tenant{Name: name, Keys: [][]byte{keyHash(name)}, Weight: 1, Cap: limit})
		}
	}
	return cfg
}

func milliCPU(n int64) state.Resources { return state.Resources{MilliCPU: n} }

// submitFor submits a workflow with the key of a tenant.
func (h *harness) submitFor(key, id string, steps ...state.WorkflowStep) {
	h.t.Helper()
	req := &fleet.Request{Op: fleet.OpSubmit, Host: host, Path: "/jobs/" + id, Key: keyHash(key), Workflow: &state.WorkflowSpec{Payload: "p", Steps: steps}}
	h.Expect(h.call(req).Outcome).To(Equal(fleet.OutcomeDone))
}

// runningOf returns the number of current runs of a workflow.
func runningOf(id string, workers ...*pool.Worker) func() int {
	return func() int {
		n := 0
		for _, w := range workers {
			for _, r := range w.Records() {
				if r.Position.Workflow == id && r.Ended.IsZero() {
					n++
				}
			}
		}
		return n
	}
}

const (
	workA = "000000000000000a"
	workB = "000000000000000b"
	workC = "000000000000000c"
	// settle is how long tests wait for starts that must not happen.
	settle = 300 * time.Millisecond
)

// Guards against a start above a cap, and against work held back by a cap that
// holds back other tenants: smaller tasks of the same class, larger ones and
// serving tasks.
func TestCapHoldsBackOnlyItsTenant(t *testing.T) {
	for name, mod := range map[string]func(*state.WorkflowStep){
		"batch": func(*state.WorkflowStep) {}, "serving": untilStopped,
		"best-effort": func(s *state.WorkflowStep) { s.BestEffort = true },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			w := h.addWorker("w", pool.Options{RunTime: runForever})
			h.setConfig(withCaps(2, map[string]state.Resources{"a": milliCPU(1500), "b": {}}))
			h.submitFor("a", workA, step(3, mod))
			h.Eventually(runningOf(workA, w), waitTimeout, "5ms").Should(Equal(1))
			h.submitFor("b", workB, step(2, mod))
			h.submitFor("b", workC, step(2, mod, func(s *state.WorkflowStep) { s.Size = state.Resources{MilliCPU: 500, MemoryMiB: 500} }))
			h.Eventually(runningOf(workB, w), waitTimeout, "5ms").Should(Equal(2))
			h.Eventually(runningOf(workC, w), waitTimeout, "5ms").Should(BeNumerically(">=", 1))
			h.Consistently(runningOf(workA, w), settle, "5ms").Should(Equal(1))
			// A raised cap takes effect, and a lowered one stops nothing.
			h.Expect(h.callAs("b", fleet.OpCancel, "/jobs/"+workB)).To(Equal(fleet.OutcomeDone))
			h.setConfig(withCaps(3, map[string]state.Resources{"a": milliCPU(2500), "b": {}}))
			h.Eventually(runningOf(workA, w), waitTimeout, "5ms").Should(Equal(2))
			h.setConfig(withCaps(4, map[string]state.Resources{"a": milliCPU(500), "b": {}}))
			h.Consistently(runningOf(workA, w), settle, "5ms").Should(Equal(2))
			w.EndRuns(workA, fleet.EndFailed)
			h.Consistently(runningOf(workA, w), settle, "5ms").Should(BeZero())
		})
	}
}

// Guards against a gang of which a part starts, and against one that starts
// above the cap of its tenant.
func TestGangStartsWithinTheCapOrNotAtAll(t *testing.T) {
	h := newHarness(t)
	w := h.addWorker("w", pool.Options{RunTime: runForever})
	h.setConfig(withCaps(2, map[string]state.Resources{"a": milliCPU(2999)}))
	h.submitFor("a", workA, step(3, func(s *state.WorkflowStep) { s.Gang = true }))
	h.submitFor("a", workB, step(2))
	h.Eventually(runningOf(workB, w), waitTimeout, "5ms").Should(Equal(2))
	h.Consistently(runningOf(workA, w), settle, "5ms").Should(BeZero())
	h.setConfig(withCaps(3, map[string]state.Resources{"a": {MilliCPU: 5000, MemoryMiB: 3000}}))
	h.Consistently(runningOf(workA, w), settle, "5ms").Should(BeZero())
	h.Expect(h.callAs("a", fleet.OpCancel, "/jobs/"+workB)).To(Equal(fleet.OutcomeDone))
	h.Eventually(runningOf(workA, w), waitTimeout, "5ms").Should(Equal(3))
}

// Guards against a new leader that does not count the runs of an earlier one:
// runs on a worker that does not respond, and runs of a cancelled workflow, which
// has no tasks any more.
func TestNewLeaderCountsRunsOfEarlierOnes(t *testing.T) {
	for _, cancelled := range []bool{false, true} {
		t.Run(fmt.Sprint("cancelled ", cancelled), func(t *testing.T) {
			h := newHarness(t)
			a := h.addWorker("a", pool.Options{RunTime: runForever})
			h.setConfig(withCaps(2, map[string]state.Resources{"a": milliCPU(2000)}))
			h.submitFor("a", workA, step(2))
			h.Eventually(runningOf(workA, a), waitTimeout, "5ms").Should(Equal(2))
			b := h.addWorker("b", pool.Options{RunTime: runForever})
			h.submitFor("a", workB, step(2))
			a.SetUnreachable(true)
			if cancelled {
				h.Expect(h.callAs("a", fleet.OpCancel, "/jobs/"+workA)).To(Equal(fleet.OutcomeDone))
			}
			h.log.SetLeadership(replica.Leadership{Leader: "memory", Term: 2, Self: true, Epoch: 2})
			for runningOf(workA, a)() > 0 {
				h.Expect(runningOf(workB, b)()).To(BeZero(), "runs of %s hold their lease", workA)
				time.Sleep(time.Millisecond)
			}
			h.Eventually(func() int { return runningOf(workA, b)() + runningOf(workB, b)() }, waitTimeout, "5ms").Should(Equal(2))
			h.Consistently(func() int { return running(b) }, settle, "5ms").Should(Equal(2))
		})
	}
}

// Guards against work of a removed tenant that loses its cap, and against a cap
// that outlasts the last tenant.
func TestCapOfARemovedTenantStillApplies(t *testing.T) {
	h := newHarness(t)
	w := h.addWorker("w", pool.Options{RunTime: runForever})
	h.setConfig(withCaps(2, map[string]state.Resources{"a": milliCPU(1000), "b": {}, "c": milliCPU(1)}))
	h.submitFor("a", workA, step(3))
	h.Eventually(runningOf(workA, w), waitTimeout, "5ms").Should(Equal(1))
	h.setConfig(withCaps(3, map[string]state.Resources{"b": {}}))
	h.setConfig(withCaps(4, map[string]state.Resources{"b": {}}))
	former := h.log.State().Queues.FormerTenants
	h.Expect(former).To(HaveLen(1), "only tenants with open work")
	h.Expect(former[0].Name).To(Equal("a"))
	h.Expect(former[0].Keys).To(BeNil())
	h.Consistently(runningOf(workA, w), settle, "5ms").Should(Equal(1))
	h.Expect(h.callAs("a", fleet.OpStatus, "/jobs/"+workA)).To(Equal(fleet.OutcomeUnauthorized))
	h.setConfig(tenantConfig(5))
	h.Expect(h.log.State().Queues.FormerTenants).To(BeEmpty())
	h.Eventually(runningOf(workA, w), waitTimeout, "5ms").Should(Equal(3))
}

// Guards against capacity that stays reserved for a task that its cap holds
// back: for the restart of a serving task, and a worker for a task that has to
// run alone.
func TestNothingIsReservedForATaskHeldBackByItsCap(t *testing.T) {
	h := newHarness(t)
	w := h.addWorker("w", pool.Options{RunTime: runForever})
	h.setConfig(withCaps(2, map[string]state.Resources{"a": milliCPU(4000), "b": {}}))
	h.submitFor("a", workA, step(4, untilStopped))
	h.Eventually(runningOf(workA, w), waitTimeout, "5ms").Should(Equal(4))
	h.submitFor("b", workB, step(4, untilStopped))
	h.setConfig(withCaps(3, map[string]state.Resources{"a": milliCPU(500), "b": {}}))
	w.EndRuns(workA, fleet.EndFailed)
	h.Eventually(runningOf(workB, w), waitTimeout, "5ms").Should(Equal(4))
	h.Expect(runningOf(workA, w)()).To(BeZero())
}

// lossyLog loses some results of commits that were applied.
type lossyLog struct {
	group
	loseResult func() bool
}

var errResultLost = errors.New("the result was lost")

func (l lossyLog) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	result, err := l.group.Propose(ctx, c)
	if err == nil && c.Kind == state.KindRecordTasks && l.loseResult() {
		return state.Result{}, errResultLost
	}
	return result, err
}

// capModel draws the operations of TestRandomFaultsKeepTheCaps and knows the
// sizes of all tasks and the recent caps.
type capModel struct {
	*harness
	mu      sync.Mutex
	specs   map[string]*state.WorkflowSpec // submitted workflows by id, with their tenant
	history []map[string]state.Resources   // caps, oldest first
	setAt   []time.Time
	workers []*pool.Worker // all incarnations
	sent    map[runID]bool // runs whose start was sent
	starts  int
	faults  []string
}

// capWindow is how long an earlier cap may still be in force: a start is
// committed and sent within milliseconds, and no commit of the model is slow.
const capWindow = 250 * time.Millisecond

// capsOf returns the caps of a tenant that may be in force.
func (m *capModel) capsOf(name string) []state.Resources {
	var caps []state.Resources
	for i := range m.history {
		if i+1 < len(m.history) && time.Since(m.setAt[i+1]) > capWindow {
			continue
		}
		caps = append(caps, m.history[i][name])
	}
	return caps
}

type runID struct {
	fleet.TaskPosition
	number uint64
}

// checkedWorker checks the cap of the tenant at each start that is sent.
type checkedWorker struct {
	fleet.Worker
	model *capModel
}

func (w checkedWorker) Start(ctx context.Context, c fleet.StartCall) error {
	w.model.checkStart(c)
	return w.Worker.Start(ctx, c)
}

// usage returns what a tenant has running, or recorded as started and sent. A
// start that an earlier activation proposed may be recorded after the next one
// has read the state; it is never sent, and the task starts again.
func (m *capModel) usage(name string, s *state.State) state.Resources {
	runs := make(map[runID]state.Resources)
	for id, spec := range m.specs {
		if spec.Tenant != name {
			continue
		}
		w, ok := s.Workflows.Get(id)
		if !ok {
			continue
		}
		for n := range w.Tasks {
			if t := &w.Tasks[n]; t.Phase == state.TaskStarted {
				p := spec.Position(n)
				run := runID{fleet.TaskPosition{Workflow: id, Occurrence: p.Occurrence, Step: p.Step, Index: p.Index}, t.Run}
				if m.sent[run] {
					runs[run] = spec.Steps[p.Step].Size
				}
			}
		}
	}
	for _, w := range m.workers {
		for _, r := range w.Records() {
			spec := m.specs[r.Position.Workflow]
			if spec != nil && spec.Tenant == name && r.Ended.IsZero() {
				runs[runID{r.Position, r.Number}] = spec.Steps[r.Position.Step].Size
			}
		}
	}
	var total state.Resources
	for _, size := range runs {
		total = total.Add(size)
	}
	return total
}

func (m *capModel) checkStart(c fleet.StartCall) {
	m.mu.Lock()
	defer m.mu.Unlock()
	name := m.specs[c.Position.Workflow].Tenant
	m.sent[runID{c.Position, c.Run.Number}] = true
	m.starts++
	total, caps := m.usage(name, m.log.State()), m.capsOf(name)
	if !slices.ContainsFunc(caps, total.WithinQuota) {
		m.faults = append(m.faults, fmt.Sprintf("tenant %s has %v running after the start of %v, above %v", name, total, c.Position, caps))
	}
}

func (m *capModel) setCaps(version uint64, caps map[string]state.Resources) {
	m.mu.Lock()
	m.history, m.setAt = append(m.history, caps), append(m.setAt, time.Now())
	m.mu.Unlock()
	m.setConfig(withCaps(version, caps))
}

func (m *capModel) submitRandom(rng *rand.Rand, id string) {
	name := []string{"a", "b", "c"}[rng.IntN(3)]
	spec := &state.WorkflowSpec{Tenant: name}
	for range 1 + rng.IntN(2) {
		spec.Steps = append(spec.Steps, step(1+rng.IntN(4), func(s *state.WorkflowStep) {
			s.Size = state.Resources{MilliCPU: 100 + 100*rng.Int64N(10), MemoryMiB: 100 + 100*rng.Int64N(5)}
			s.Gang, s.BestEffort = rng.IntN(5) == 0, rng.IntN(3) == 0
			s.LongRunning = !s.Gang && rng.IntN(6) == 0
		}))
	}
	if len(spec.Steps) == 2 && !spec.Steps[0].LongRunning && rng.IntN(2) == 0 {
		spec.Steps[1].DependsOn = []int{0}
	}
	m.mu.Lock()
	m.specs[id] = spec
	m.mu.Unlock()
	m.submitFor(name, id, spec.Steps...)
}

// Guards against a path that starts a run without its cap, or that ends the
// count of a run too early: random starts, ends and cancellations, late starts,
// lost responses and commits, unresponsive workers and crashes, changes of the
// leader, and lowered caps. The cap is checked at each start that is sent.
func TestRandomFaultsKeepTheCaps(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 11))
			m := &capModel{specs: make(map[string]*state.WorkflowSpec), sent: make(map[runID]bool)}
			var faultMu sync.Mutex
			faultRNG := rand.New(rand.NewPCG(seed, 12))
			m.harness = newHarness(t, func(o *fleet.Options) {
				o.Log = lossyLog{o.Log.(group), func() bool {
					faultMu.Lock()
					defer faultMu.Unlock()
					return faultRNG.IntN(60) == 0
				}}
				dial := o.Dial
				o.Dial = func(w state.PoolWorker) fleet.Worker { return checkedWorker{dial(w), m} }
			})
			const workers = 5
			current := make([]*pool.Worker, workers)
			crashedAt := make([]int, workers)   // step at which the worker crashed; 0 if it runs
			startedAt := time.Now().UnixMilli() // of the last incarnation
			start := func(i int) {
				startedAt++
				id := fmt.Sprint("w", i)
				w := pool.New(pool.Options{
					ID: id, MaxLease: holdMax, StartedAt: startedAt,
					RunTime: func(p fleet.TaskPosition, n uint64) time.Duration {
						return time.Duration(10+(uint64(p.Index)*37+n*91+uint64(p.Workflow[15])*13)%150) * time.Millisecond
					},
					Fails: func(p fleet.TaskPosition, n uint64) bool { return (uint64(p.Index)+n)%5 == 0 },
				})
				m.harness.mu.Lock()
				m.harness.workers[address(id, startedAt)] = w
				m.harness.mu.Unlock()
				m.mu.Lock()
				m.workers = append(m.workers, w)
				m.mu.Unlock()
				current[i], crashedAt[i] = w, 0
				for m.heartbeat(id, startedAt, w, false) != fleet.OutcomeDone { // its commit may have an unknown outcome
					time.Sleep(time.Millisecond)
				}
			}
			for i := range workers {
				start(i)
			}
			version, term := uint64(2), uint64(1)
			m.setCaps(version, map[string]state.Resources{"a": milliCPU(3000), "b": {MilliCPU: 4000, MemoryMiB: 1500}, "c": {}})
			var ids []string
			for n := range 250 {
				time.Sleep(time.Duration(rng.IntN(15)) * time.Millisecond)
				for i, at := range crashedAt {
					if at > 0 && n-at > 5 {
						start(i)
					}
				}
				i := rng.IntN(workers)
				w := current[i]
				switch rng.IntN(15) {
				case 0, 1, 2, 3, 4:
					id := fmt.Sprintf("%016x", 0x1000+n)
					m.submitRandom(rng, id)
					ids = append(ids, id)
				case 5:
					if len(ids) > 0 {
						id := ids[rng.IntN(len(ids))]
						m.callAs(m.specs[id].Tenant, fleet.OpCancel, "/jobs/"+id)
					}
				case 6:
					w.DropStartResponses(1 + rng.IntN(2))
				case 7:
					w.DelayStarts(1)
				case 8, 9:
					if crashedAt[i] == 0 {
						w.DeliverDelayedStarts()
					}
				case 10:
					w.SetUnreachable(crashedAt[i] > 0 || rng.IntN(2) == 0)
				case 11:
					for i, w := range current {
						w.SetUnreachable(crashedAt[i] > 0)
					}
				case 14:
					if crashedAt[i] == 0 && n > 0 && rng.IntN(2) == 0 {
						w.Crash()
						crashedAt[i] = n
					}
				case 12:
					term++
					m.log.SetLeadership(replica.Leadership{Leader: "memory", Term: term, Self: true, Epoch: term})
				case 13:
					version++
					m.setCaps(version, map[string]state.Resources{
						"a": milliCPU(200 + rng.Int64N(4000)), "b": {MilliCPU: 1 + rng.Int64N(4000), MemoryMiB: 1 + rng.Int64N(2000)}, "c": {},
					})
				}
			}
			m.mu.Lock()
			defer m.mu.Unlock()
			m.Expect(m.faults).To(BeEmpty())
			m.Expect(m.starts).To(BeNumerically(">", 50))
		})
	}
}

// Guards against a start that was decided under a higher cap and is sent after
// the cap was lowered.
func TestStartThatWasNotSentFollowsALoweredCap(t *testing.T) {
	h := newHarness(t)
	w := h.addWorker("w", pool.Options{RunTime: runForever})
	h.setConfig(withCaps(2, map[string]state.Resources{"a": milliCPU(2000)}))
	h.commitGate.Lock()
	h.submitFor("a", workA, step(2))
	time.Sleep(60 * time.Millisecond) // until the starts wait for their commit
	h.setConfig(withCaps(3, map[string]state.Resources{"a": milliCPU(500)}))
	h.commitGate.Unlock()
	h.Consistently(func() int { return len(w.Records()) }, settle, "5ms").Should(BeZero())
	h.setConfig(withCaps(4, map[string]state.Resources{"a": milliCPU(2000)}))
	h.Eventually(runningOf(workA, w), waitTimeout, "5ms").Should(Equal(2))
}

// Guards against capacity that was set aside for the restart of a serving task
// and stays set aside after the cap of its tenant was lowered.
func TestLoweredCapReleasesCapacitySetAside(t *testing.T) {
	h := newHarness(t)
	w := h.addWorker("w", pool.Options{RunTime: runForever})
	h.setConfig(withCaps(2, map[string]state.Resources{"a": milliCPU(4000), "b": {}}))
	h.submitFor("a", workA, step(1, untilStopped, withCPU(4000)))
	h.Eventually(runningOf(workA, w), waitTimeout, "5ms").Should(Equal(1))
	h.submitFor("b", workB, step(4, untilStopped))
	h.commitGate.Lock()
	w.EndRuns(workA, fleet.EndFailed)
	time.Sleep(60 * time.Millisecond) // until the end waits for its commit
	h.setConfig(withCaps(3, map[string]state.Resources{"a": milliCPU(500), "b": {}}))
	h.commitGate.Unlock()
	h.Eventually(runningOf(workB, w), waitTimeout, "5ms").Should(Equal(4))
	h.Expect(runningOf(workA, w)()).To(BeZero())
}

// Guards against a task that has to run alone and starts above the cap of its
// tenant, and against workers that are kept for it.
func TestSuspectHeldBackByItsCapKeepsNoWorker(t *testing.T) {
	h := newHarness(t)
	h.setConfig(withCaps(2, map[string]state.Resources{"a": milliCPU(1000), "b": {}}))
	r := h.addRestartingWorkers(2, pool.Options{RunTime: runForever})
	crash := func(run int) {
		h.Eventually(func() int { return r.runsOf(workA) }, waitTimeout, "5ms").Should(Equal(run))
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, w := range r.incarnations {
			if running(w) > 0 {
				w.Crash()
			}
		}
	}
	h.submitFor("a", workA, step(1))
	crash(1)
	h.Eventually(func() int { return r.runsOf(workA) }, waitTimeout, "5ms").Should(Equal(2))
	r.mu.Lock() // its heartbeats use the same sequence
	h.setConfig(withCaps(3, map[string]state.Resources{"a": milliCPU(500), "b": {}}))
	r.mu.Unlock()
	crash(2)
	h.Eventually(func() int { return h.taskOf(workA).UnexplainedCrashes }, waitTimeout, "5ms").Should(Equal(2))
	h.submitFor("b", workB, step(8))
	h.Eventually(func() int { return r.runsOf(workB) }, 2*time.Second, "5ms").Should(Equal(8))
	h.Consistently(func() uint64 { return h.taskOf(workA).Run }, settle, "5ms").Should(BeEquivalentTo(2), "recorded starts")
}
