package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/placement"
	"apricotrouter/state"
)

// interferenceSim adds measurements to a cluster. Replicas next to tasks of
// some classes are slow, and samples arrive late.
type interferenceSim struct {
	*cluster
	collector    *placement.Collector
	effects      map[string]float64 // increase in the latency ratio if the class used the whole worker
	usageFactors map[string]float64 // usage divided by the declared size, by class; 1 if unset
	lag          int64              // milliseconds
	noise        float64
	baseline     float64 // increase caused by the service's own load
	spike        float64 // additional increase in every tenth sample
	random       *rand.Rand
	inTransit    []*placement.ObservationsNotice

	ratioSum   float64 // sum of the latency ratios of all replicas and seconds
	ratioCount int
	throttles  map[string][]int64 // times by worker
	releases   int
	evictions  []int64
}

func newInterferenceSim(g Gomega, policy placement.InterferencePolicy) *interferenceSim {
	m := &interferenceSim{
		cluster: newCluster(g), usageFactors: map[string]float64{}, lag: 5000, noise: 0.05,
		effects:   map[string]float64{"class-noisy": 8},
		random:    rand.New(rand.NewPCG(1, 2)),
		throttles: map[string][]int64{},
	}
	m.planner = placement.New(placement.Options{Interference: policy})
	m.collector = placement.NewCollector(m.now)
	return m
}

// sample measures a worker now.
func (m *interferenceSim) sample(w *state.Worker) placement.WorkerSample {
	s := placement.WorkerSample{Worker: w.ID, Fence: m.Assignment(state.AssignWorker, w.ID).Fence, SampledAt: m.now}
	rise := m.baseline
	for t := range m.TasksOnWorker(w.ID) {
		used := t.Resources
		if f, ok := m.usageFactors[t.Class]; ok {
			used = state.Resources{MilliCPU: int64(f * float64(used.MilliCPU)), MemoryMiB: int64(f * float64(used.MemoryMiB))}
		}
		used.MilliCPU = used.MilliCPU * (100 - t.Throttle) / 100
		if t.Phase == state.PhaseRunning {
			rise += m.effects[t.Class] * float64(used.MilliCPU) / float64(w.Capacity.MilliCPU)
			s.Tasks = append(s.Tasks, placement.TaskSample{Task: t.ID, Incarnation: t.Incarnation, Used: used})
		}
	}
	for i := range s.Tasks {
		if m.Task(s.Tasks[i].Task).Kind == state.KindLatencyCritical {
			s.Tasks[i].LatencyRatio = 1 + rise + m.noise*m.random.NormFloat64()
			if m.now/1000%10 == 0 {
				s.Tasks[i].LatencyRatio += m.spike
			}
			m.ratioSum = m.ratioSum + 1 + rise
			m.ratioCount++
		}
	}
	return s
}

// step simulates one second: samples are taken, delayed samples arrive, and a
// plan is made and applied.
func (m *interferenceSim) step() {
	n := &placement.ObservationsNotice{}
	for _, w := range m.Workers.All() {
		n.Workers = append(n.Workers, m.sample(w))
	}
	m.inTransit = append(m.inTransit, n)
	for len(m.inTransit) > 0 && m.inTransit[0].Workers[0].SampledAt <= m.now-m.lag {
		m.collector.Add(m.State, m.inTransit[0], m.now)
		m.inTransit = m.inTransit[1:]
	}
	before := m.State
	m.obs = m.collector.Observations()
	m.checkDeterministic()
	bodies := m.plan()
	m.collector.EndStep()
	for _, b := range bodies {
		m.collector.RecordAction(before, b, m.now)
		m.recordAction(before, b)
	}
	m.reportTransitions()
	m.now += 1000
}

func (m *interferenceSim) recordAction(s *state.State, b state.Body) {
	switch b := b.(type) {
	case state.ThrottleTask:
		w := s.Task(b.Task).Worker
		if b.Percent < s.Task(b.Task).Throttle {
			m.releases++
		}
		m.throttles[w] = append(m.throttles[w], m.now)
	case state.StopTasks:
		for range b.Stops {
			m.evictions = append(m.evictions, m.now)
		}
	}
}

func (m *interferenceSim) steps(n int) {
	for range n {
		m.step()
	}
}

// workers adds n workers, each with a replica and with batch tasks of a noisy
// and a quiet class.
func (m *interferenceSim) workers(n int) {
	for i := range n {
		m.worker(fmt.Sprintf("w%02d", i), "a", cores(32))
	}
	m.ok(state.ApplyService{Spec: state.ServiceSpec{Name: "s", Replicas: int64(n), Resources: cores(8)}})
	m.passes(2)
	m.job("quiet", "", state.PriorityNormal, int64(2*n), cores(4), 10_000)
	m.passes(1)
	m.job("noisy", "", state.PriorityNormal, int64(2*n), cores(8), 10_000)
	m.passes(1)
}

func (m *interferenceSim) meanRatio() float64 { return m.ratioSum / float64(m.ratioCount) }

func (m *interferenceSim) evictionsOf(job string) int64 {
	var n int64
	for t := range m.TasksOf(state.KindBatch, job) {
		n += t.Evictions
	}
	return n
}

// Guards against a policy that leaves replicas slow, evicts more tasks than
// needed, or evicts the wrong tasks. It is compared with the policies that do
// nothing and that evict at once.
func TestStepwiseResponseAgainstBaselines(t *testing.T) {
	g := NewWithT(t)
	run := func(policy placement.InterferencePolicy) *interferenceSim {
		m := newInterferenceSim(g, policy)
		m.workers(8)
		m.steps(300)
		return m
	}
	ignore := run(placement.InterferenceIgnore)
	atOnce := run(placement.InterferenceEvictAtOnce)
	stepwise := run(placement.InterferenceStepwise)
	for name, m := range map[string]*interferenceSim{"ignore": ignore, "evict-at-once": atOnce, "stepwise": stepwise} {
		t.Logf("%s: mean latency ratio %.2f, evictions %d", name, m.meanRatio(), len(m.evictions))
	}
	g.Expect(stepwise.meanRatio()).To(BeNumerically("<", (1+ignore.meanRatio())/2))
	g.Expect(len(stepwise.evictions)).To(BeNumerically("<", len(atOnce.evictions)/2))
	g.Expect(stepwise.evictionsOf("quiet")).To(BeZero())
	for task := range stepwise.TasksOf(state.KindBatch, "quiet") {
		g.Expect(task.Throttle).To(BeZero())
	}
}

// Guards against a second mitigation based on samples taken before the first
// one took effect.
func TestNextActionWaitsForTheLag(t *testing.T) {
	g := NewWithT(t)
	m := newInterferenceSim(g, placement.InterferenceStepwise)
	m.lag = 15_000
	m.effects["class-noisy"] = 40 // throttling is not sufficient
	m.workers(4)
	m.steps(200)
	for _, times := range m.throttles {
		for i := 1; i < len(times); i++ {
			if times[i] != times[i-1] {
				g.Expect(times[i] - times[i-1]).To(BeNumerically(">=", m.lag))
			}
		}
	}
	g.Expect(m.evictions).NotTo(BeEmpty())
	g.Expect(m.throttles).NotTo(BeEmpty())
}

// Guards against many evictions at once when interference starts on many
// workers at the same time.
func TestEvictionsPerMinuteAreBounded(t *testing.T) {
	g := NewWithT(t)
	m := newInterferenceSim(g, placement.InterferenceStepwise)
	m.effects["class-noisy"] = 60
	m.workers(50)
	m.steps(240)
	g.Expect(len(m.evictions)).To(BeNumerically(">", placement.DefaultEvictionsPerMinute))
	for i, at := range m.evictions {
		if j := i + placement.DefaultEvictionsPerMinute; j < len(m.evictions) {
			g.Expect(m.evictions[j] - at).To(BeNumerically(">=", 60_000))
		}
	}
}

// Guards against mitigations caused by noise alone.
func TestNoiseAloneCausesNoAction(t *testing.T) {
	g := NewWithT(t)
	m := newInterferenceSim(g, placement.InterferenceStepwise)
	m.effects = nil
	m.noise = 0.15
	m.spike = 2
	m.workers(10)
	m.steps(300)
	g.Expect(m.evictions).To(BeEmpty())
	g.Expect(m.throttles).To(BeEmpty())
}

// Guards against throttles that remain after the interference has ended, and
// against oscillation between throttle and release.
func TestThrottlesAreReleasedWithoutFlapping(t *testing.T) {
	g := NewWithT(t)
	m := newInterferenceSim(g, placement.InterferenceStepwise)
	m.effects["class-noisy"] = 4
	m.workers(1)
	m.steps(1200)
	g.Expect(m.throttles).NotTo(BeEmpty())
	g.Expect(m.releases).To(BeZero())
	m.effects["class-noisy"] = 0
	m.steps(1200)
	for task := range m.TasksOf(state.KindBatch, "noisy") {
		g.Expect(task.Throttle).To(BeZero())
	}
}

// Guards against throttles and releases that follow every oscillation of a
// load.
func TestSwingsOfLoadCauseFewerAndFewerReleases(t *testing.T) {
	g := NewWithT(t)
	m := newInterferenceSim(g, placement.InterferenceStepwise)
	m.workers(1)
	countActions := func() int {
		before := len(m.throttles["w00"])
		for i := range 20 {
			m.effects["class-noisy"] = float64(3 * (i % 2))
			m.steps(40)
		}
		return len(m.throttles["w00"]) - before
	}
	first := countActions()
	second := countActions()
	t.Logf("actions in the first 800 s: %d, in the second: %d", first, second)
	g.Expect(second).To(BeNumerically("<=", first/2))
}

// Guards against evictions of batch tasks when a service is slow because of its
// own load.
func TestServiceSlowByItselfCausesNoEvictions(t *testing.T) {
	g := NewWithT(t)
	m := newInterferenceSim(g, placement.InterferenceStepwise)
	m.effects = nil
	m.workers(4)
	for i := range 4 {
		m.worker(fmt.Sprint("x", i), "a", cores(8))
	}
	s, _ := m.Services.Get("s")
	s2 := s.Spec
	s2.Replicas = 8
	m.ok(state.ApplyService{Spec: s2, ExpectedVersion: s.Version})
	m.steps(20)
	m.baseline = 1.5
	m.steps(200)
	t.Logf("evictions %d, throttled workers %d", len(m.evictions), len(m.throttles))
	g.Expect(m.evictions).To(BeEmpty())
}

// Guards against an evicted task that returns to the same worker every minute.
func TestEvictedTaskComesBackLessAndLessOften(t *testing.T) {
	g := NewWithT(t)
	m := newInterferenceSim(g, placement.InterferenceStepwise)
	m.effects["class-noisy"] = 40
	m.workers(2)
	m.steps(900)
	g.Expect(m.evictionsOf("noisy")).To(BeNumerically(">", 0))
	for task := range m.TasksOf(state.KindBatch, "noisy") {
		g.Expect(task.Evictions).To(BeNumerically("<=", 4))
	}
}

// Guards against new tasks that are placed next to a service that they are
// known to slow down, while another worker has enough free capacity.
func TestHarmfulPairIsAvoided(t *testing.T) {
	g := NewWithT(t)
	m := newInterferenceSim(g, placement.InterferenceStepwise)
	m.workers(2)
	m.steps(30)
	m.ok(state.CancelJobs{IDs: []string{"noisy", "quiet"}})
	m.passes(2)
	m.worker("y", "a", cores(64))
	m.ok(state.SubmitJob{Spec: state.JobSpec{ID: "tiny", Class: "class-noisy", Priority: state.PriorityNormal, Tasks: 1, Resources: cores(1)}})
	m.steps(1)
	g.Expect(m.Task("tiny.0").Worker).To(Equal("y"))
	m.ok(state.SubmitJob{Spec: state.JobSpec{ID: "fill", Class: "other", Priority: state.PriorityNormal, Tasks: 1, Resources: cores(63), ExpectedSeconds: 100_000}})
	m.steps(1)
	m.worker("x", "a", cores(16))
	m.ok(state.SubmitJob{Spec: state.JobSpec{ID: "again", Class: "class-noisy", Priority: state.PriorityNormal, Tasks: 2, Resources: cores(16)}})
	m.ok(state.SubmitJob{Spec: state.JobSpec{ID: "calm", Class: "class-quiet", Priority: state.PriorityNormal, Tasks: 2, Resources: cores(4)}})
	m.steps(30)
	g.Expect(m.running("calm")).To(Equal(2))
	g.Expect(m.running("again")).To(Equal(1))
	for task := range m.TasksOnWorker("x") {
		g.Expect(task.Owner).To(Equal("again"))
	}
	m.ok(state.SubmitJob{Spec: state.JobSpec{ID: "next", Class: "class-quiet", Priority: state.PriorityNormal, Tasks: 2, Resources: cores(14)}})
	m.steps(1)
	g.Expect(m.running("next")).To(Equal(2)) // no worker is reserved for the avoided tasks
	m.ok(state.CancelJobs{IDs: []string{"next"}})
	m.steps(1)
	m.ok(state.SubmitJob{Spec: state.JobSpec{ID: "urgent", Class: "class-noisy", Priority: state.PriorityUrgent, Tasks: 1, Resources: cores(8)}})
	m.steps(1)
	g.Expect(m.running("urgent")).To(Equal(1)) // urgent tasks do not wait
	m.ok(state.CancelJobs{IDs: []string{"urgent"}})
	m.steps(60) // batch tasks may wait, but must run eventually
	for task := range m.TasksOf(state.KindBatch, "again") {
		g.Expect(task.Incarnation).To(BeNumerically(">=", 1))
	}
}

// Guards against a new leader that acts on samples from before its election. It
// does not know the mitigations of its predecessor.
func TestNewLeaderIgnoresEarlierSamples(t *testing.T) {
	g := NewWithT(t)
	m := newInterferenceSim(g, placement.InterferenceStepwise)
	m.lag = 10_000
	m.effects["class-noisy"] = 40
	m.workers(2)
	m.steps(9)
	m.collector = placement.NewCollector(m.now)
	elected := m.now
	m.steps(60)
	g.Expect(m.throttles).NotTo(BeEmpty())
	for _, times := range m.throttles {
		g.Expect(times[0] - elected).To(BeNumerically(">=", m.lag))
	}
}

// Guards against workers that are filled beyond their capacity by tasks that
// use far more than they declare.
func TestDeclaredSizesAreCorrectedByUse(t *testing.T) {
	g := NewWithT(t)
	m := newInterferenceSim(g, placement.InterferenceStepwise)
	m.usageFactors["class-liar"] = 4
	m.usageFactors["class-again"] = 4
	for i := range 4 {
		m.worker(fmt.Sprint("w", i), "a", cores(32))
	}
	m.job("liar", "", state.PriorityNormal, 4, cores(2), 10_000)
	m.steps(20)
	m.ok(state.SubmitJob{Spec: state.JobSpec{ID: "again", Class: "class-liar", Priority: state.PriorityNormal, Tasks: 100, Resources: cores(2)}})
	for range 20 {
		m.step()
		for id, w := range m.Workers.All() {
			n := 0
			for range m.TasksOnWorker(id) {
				n++
			}
			g.Expect(cores(int64(8*n)).FitsIn(w.Capacity)).To(BeTrue(), "%d tasks on %s", n, id)
		}
	}
	g.Expect(m.tasks(state.PhaseRunning)).To(HaveLen(16))
}

// Guards against a worker that remains out of memory because running tasks use
// more than they declare, and against more evictions than needed.
func TestOverloadedWorkerEvictsTasks(t *testing.T) {
	g := NewWithT(t)
	m := newInterferenceSim(g, placement.InterferenceIgnore)
	m.usageFactors["class-liar"] = 3
	m.worker("w", "a", cores(32))
	m.job("fair", "", state.PriorityNormal, 2, cores(4), 10_000)
	m.job("liar", "", state.PriorityNormal, 8, cores(2), 10_000)
	m.steps(60)
	g.Expect(m.running("fair")).To(Equal(2))
	g.Expect(m.running("liar")).To(Equal(4)) // 2 x 4 + 4 x 6 = 32
	g.Expect(m.evictions).To(HaveLen(4))
}

// Guards against reservations that rely on declared run times which the tasks
// of the class always exceed.
func TestRunTimesAreCorrectedByHistory(t *testing.T) {
	g := NewWithT(t)
	m := newInterferenceSim(g, placement.InterferenceStepwise)
	m.worker("w", "a", cores(8))
	m.job("old", "", state.PriorityNormal, 8, cores(1), 10)
	m.lag = 0
	m.steps(100)
	for range 8 {
		m.completeOldest("old")
	}
	m.steps(3)
	got := m.collector.Observations().Estimates.RunTime(&state.Task{Class: "class-old", ExpectedSeconds: 50})
	g.Expect(got).To(BeNumerically("~", 500_000, 50_000))
}
