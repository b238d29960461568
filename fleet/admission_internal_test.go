package fleet

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"apricotrouter/admission"
	"apricotrouter/placement"
	"apricotrouter/replica"
	"apricotrouter/state"
	"apricotrouter/transport"
)

// newWaitingWorkflow adds a workflow of one step with ready best-effort tasks.
func newWaitingWorkflow(c *Controller, id string, tasks int, mod func(*state.WorkflowStep)) *workflow {
	step := state.WorkflowStep{Count: tasks, Size: state.Resources{MilliCPU: 1000}, EstimateMillis: 500, BestEffort: true}
	mod(&step)
	spec := &state.WorkflowSpec{ID: id, Pool: "pool", Queue: "queue", MaxSlowdown: 2, ObjectiveMillis: 1000, Steps: []state.WorkflowStep{step}}
	c.openWorkflow(&state.Workflow{Spec: *spec, SubmittedAt: c.opts.Clock.Now().UnixMilli(), Tasks: make([]state.WorkflowTask, tasks)})
	return c.workflows[id]
}

// Guards against ranks where everything fits, against serving workflows with a
// rank, and against a new workflow that precedes one in progress.
func TestRanksFollowThePressure(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{Clock: clockwork.NewFakeClock()})
	c.workflows, c.poolDemand = make(map[string]*workflow), make(map[string]*poolDemand)
	c.sessions, c.suspects = make(map[string]*session), make(map[*task]bool)
	newWaitingWorkflow(c, "new", 4, func(*state.WorkflowStep) {})
	begun := newWaitingWorkflow(c, "begun", 8, func(*state.WorkflowStep) {})
	c.recordBegun(begun)
	newWaitingWorkflow(c, "serving", 1, func(s *state.WorkflowStep) { s.LongRunning, s.BestEffort = true, false })
	ranks := func(idle int64) map[string]int {
		p := newPool(1, 0)
		p.workers = append(p.workers, &placement.WorkerCapacity{IdleCPU: idle, Free: state.Resources{MilliCPU: idle}})
		waiting := c.waitingJobs()
		c.rankJobs(c.now(), waiting, map[string]*pool{"pool": p})
		byID := make(map[string]int)
		for _, j := range waiting {
			byID[j.ID] = j.Rank
		}
		return byID
	}
	g.Expect(ranks(12_000)).To(Equal(map[string]int{"new": 0, "begun": 0, "serving": 0}))
	g.Expect(ranks(11_000)).To(Equal(map[string]int{"begun": 1, "new": 2, "serving": 0}))
	g.Expect(c.shortPools).To(HaveKey("pool"))
}

// Guards against a backlog before the rate is known, and against one that
// remains when capacity is free again or another instance leads.
func TestBacklogsAreOfPoolsWithTooLittleCapacity(t *testing.T) {
	g := NewWithT(t)
	c, clock := newLoadedController(20)
	pass := func() *admission.Backlog {
		clock.Advance(time.Second)
		for _, s := range c.sessions {
			s.lastHeartbeat = c.now()
		}
		c.schedule()
		if backlogs := c.backlogs.Load(); backlogs != nil {
			return (*backlogs)["pool"]
		}
		return nil
	}
	task := c.workflows["0000000000000000"].tasks[0]
	g.Expect(pass()).To(BeNil())
	for range 6 {
		for range 500 {
			c.recordCompleted(task)
		}
		pass()
	}
	g.Expect(pass().DrainMillis()).To(BeNumerically(">", 1000))

	for _, s := range c.sessions {
		for k, a := range s.attempts {
			if a.task.step.BestEffort {
				delete(s.attempts, k)
			}
		}
		s.resourcesValid = false
	}
	g.Expect(pass()).To(BeNil(), "capacity is free")
	c.deactivate("test")
	g.Expect(c.backlogs.Load()).To(BeNil())
}

// racingGroup is a control group in whose log an earlier copy of a submission
// precedes the next refusal.
type racingGroup struct {
	*replica.FakeLog
	store *state.WorkflowSpec
	err   error
}

func (g *racingGroup) Members() []string { return nil }

func (g *racingGroup) ReadBarrier(context.Context) error { return g.err }

func (g *racingGroup) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	if g.err != nil {
		return state.Result{}, g.err
	}
	if g.store != nil && c.Kind == state.KindRefuseWorkflow {
		if _, err := g.FakeLog.Propose(ctx, state.NewCommand(state.SubmitWorkflow{Spec: *g.store})); err != nil {
			return state.Result{}, err
		}
	}
	return g.FakeLog.Propose(ctx, c)
}

// newRefusingService returns a service whose leader has an hour of urgent work.
func newRefusingService(t *testing.T) (*Service, *racingGroup, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	group := &racingGroup{FakeLog: replica.NewFakeLog(clock)}
	cfg := state.QueueConfig{
		Version: 1, Pools: []state.Pool{{Name: "pool"}},
		Queues: []state.WorkflowQueue{{
			Name: "queue", Host: "host", PathPrefix: "/jobs/", Pool: "pool", Priority: 1, MaxAttempts: 2, MaxSlowdown: 2,
			ObjectiveMillis: 1000, TimeoutMillis: 3000,
		}},
	}
	_, err := group.Propose(t.Context(), state.NewCommand(state.SetQueues{Config: cfg}))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	s := NewService(group, New(Options{Clock: clock, Log: group}), transport.NewMux(), nil)
	close(s.controller.done) // no loop runs
	setBacklog(s, clock)
	return s, group, clock
}

func setBacklog(s *Service, clock clockwork.Clock) {
	now := clock.Now().UnixMilli()
	var rate admission.Rate
	for at := now - 10_000; at < now; at += 1000 {
		rate.Observe(at, true)
		rate.Completed(1e6)
	}
	size := admission.TaskSize{MilliCPU: 1000, MemoryMiB: 1000}
	hour := 3600e6
	b := admission.NewBacklog(now, []admission.Job{{
		ID: "urgent", SubmittedAt: now, Deadline: now + 1e8, LateDeadline: now + 3e8, Work: hour, WorkLeft: hour, WorkReady: hour, Ready: size,
	}}, &admission.Pressure{Waiting: admission.Demand{MilliCPU: 1000}}, &rate, []admission.TaskSize{size})
	s.controller.backlogs.Store(&map[string]*admission.Backlog{"pool": b})
}

func (s *Service) submitTest(ctx context.Context, id string, mod func(*state.WorkflowSpec)) *Response {
	spec := &state.WorkflowSpec{Payload: "p", Steps: []state.WorkflowStep{{
		Count: 2, Size: state.Resources{MilliCPU: 1000, MemoryMiB: 1000}, EstimateMillis: 500,
	}}}
	mod(spec)
	return s.execute(ctx, &Request{Op: OpSubmit, Host: "host", Path: "/jobs/" + id, Workflow: spec})
}

func unchanged(*state.WorkflowSpec) {}

// Guards against a refused submission that is stored, and against the refusal of
// one that is stored, or whose end can't be forecast.
func TestSubmissionsAreRefusedBeforeTheyAreStored(t *testing.T) {
	g := NewWithT(t)
	s, group, _ := newRefusingService(t)
	const first, second, third, fourth = "00000000000000a1", "00000000000000a2", "00000000000000a3", "00000000000000a4"
	resp := s.submitTest(t.Context(), first, unchanged)
	g.Expect(resp.Outcome).To(Equal(OutcomeRefused))
	g.Expect(resp.RetryAfterMillis).To(BeNumerically(">=", 4000), "later than copies that are on their way")
	g.Expect(group.State().Workflows.Len()).To(BeZero())

	serving := s.submitTest(t.Context(), second, func(w *state.WorkflowSpec) { w.Steps[0].LongRunning = true })
	g.Expect(serving.Outcome).To(Equal(OutcomeDone))
	repeated := s.submitTest(t.Context(), third, func(w *state.WorkflowSpec) { w.Occurrences, w.IntervalMillis = 2, 1000 })
	g.Expect(repeated.Outcome).To(Equal(OutcomeDone))
	g.Expect(s.submitTest(t.Context(), third, unchanged).Outcome).To(Equal(OutcomeDone), "it is stored")

	w, _ := group.State().Workflows.Get(third)
	stored := w.Spec
	stored.ID = fourth
	group.store = &stored // by an earlier leader
	g.Expect(s.submitTest(t.Context(), fourth, unchanged).Outcome).To(Equal(OutcomeDone))
}

// Guards against a refusal by an instance that is no longer the leader, and by a
// new leader that knows no rate.
func TestOnlyALeaderThatKnowsTheRateRefuses(t *testing.T) {
	g := NewWithT(t)
	s, group, clock := newRefusingService(t)
	group.err = errors.New("not the leader")
	g.Expect(s.submitTest(t.Context(), "00000000000000b1", unchanged).Outcome).To(Equal(OutcomeUnknown))
	group.err = nil
	s.controller.backlogs.Store(nil)
	g.Expect(s.submitTest(t.Context(), "00000000000000b2", unchanged).Outcome).To(Equal(OutcomeDone))
	setBacklog(s, clock)
	clock.Advance(3 * time.Second)
	g.Expect(s.submitTest(t.Context(), "00000000000000b3", unchanged).Outcome).To(Equal(OutcomeDone), "the backlog is old")
}

// Guards against a copy that is stored although another copy was refused: one
// that arrives late, at the same leader or at the next one, which neither knows a
// rate nor what the earlier leader decided.
func TestCopiesOfARefusedSubmissionAreNotStored(t *testing.T) {
	g := NewWithT(t)
	s, group, clock := newRefusingService(t)
	const id = "00000000000000c2"
	refused := s.submitTest(t.Context(), id, unchanged)
	g.Expect(refused.Outcome).To(Equal(OutcomeRefused))
	clock.Advance(3900 * time.Millisecond)
	next := NewService(group, New(Options{Clock: clock, Log: group}), transport.NewMux(), nil)
	close(next.controller.done) // no loop runs
	for _, leader := range []*Service{s, next} {
		leader.controller.backlogs.Store(nil)
		again := leader.submitTest(t.Context(), id, unchanged)
		g.Expect(again.Outcome).To(Equal(OutcomeRefused))
		g.Expect(again.RetryAfterMillis).To(BeNumerically("~", 100, 1))
	}
	g.Expect(group.State().Workflows.Len()).To(BeZero())
	clock.Advance(time.Duration(refused.RetryAfterMillis)*time.Millisecond - 3900*time.Millisecond)
	g.Expect(next.submitTest(t.Context(), id, unchanged).Outcome).To(Equal(OutcomeDone))
}

// Guards against a refusal that ends before the call of a client with a deadline
// beyond the timeout of its queue.
func TestRefusalLastsAsLongAsTheCall(t *testing.T) {
	g := NewWithT(t)
	s, group, _ := newRefusingService(t)
	spec := &state.WorkflowSpec{Payload: "p", Steps: []state.WorkflowStep{{
		Count: 2, Size: state.Resources{MilliCPU: 1000, MemoryMiB: 1000}, EstimateMillis: 500,
	}}}
	const id, timeout = "00000000000000c3", 20_000
	resp := s.execute(t.Context(), &Request{Op: OpSubmit, Host: "host", Path: "/jobs/" + id, Workflow: spec, TimeoutMillis: timeout})
	g.Expect(resp.Outcome).To(Equal(OutcomeRefused))
	g.Expect(resp.RetryAfterMillis).To(BeNumerically(">", timeout))
	r, ok := group.State().RefusedWorkflows.Get(id)
	g.Expect(ok).To(BeTrue())
	g.Expect(r.Until - group.State().Time).To(BeNumerically(">", timeout))
}

// refusingPeers fails the first call with an error and answers the others with
// an outcome.
type refusingPeers struct {
	transport.Peers
	first   error
	outcome Outcome
	calls   int
}

func (p *refusingPeers) Call(_ context.Context, _ string, _ transport.Kind, _, resp any) error {
	if p.calls++; p.calls == 1 && p.first != nil {
		return p.first
	}
	*resp.(*Response) = Response{Outcome: p.outcome, RetryAfterMillis: 2000}
	return nil
}

// Guards against a refusal that is given as final although an earlier attempt of
// the same call may still arrive.
func TestRefusalAfterAnAttemptWithoutResponseIsNotFinal(t *testing.T) {
	for name, tc := range map[string]struct {
		first   error
		unknown bool
	}{
		"first attempt":           {nil, false},
		"not sent before":         {transport.ErrNotConnected, false},
		"without response before": {errors.New("connection broke"), true},
	} {
		t.Run(name, func(t *testing.T) {
			for _, outcome := range []Outcome{OutcomeRefused, OutcomeUnavailable} {
				c := NewClient(ClientOptions{Peers: &refusingPeers{first: tc.first, outcome: outcome}, Seeds: func() []string { return []string{"a"} }})
				want := outcome
				if tc.unknown {
					want = OutcomeUnknown
				}
				NewWithT(t).Expect(c.Call(t.Context(), &Request{Op: OpSubmit}).Outcome).To(Equal(want))
			}
		})
	}
}
