package worker_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"apricotrouter/replica"
	workerstandin "apricotrouter/standin/worker"
	"apricotrouter/state"
	"apricotrouter/worker"
)

// errNoResponse is returned for a call whose response did not arrive.
var errNoResponse = errors.New("no response")

// faultyAPI forwards calls to a simulated worker and injects faults.
type faultyAPI struct {
	*workerstandin.Worker
	unreachable        bool // calls do not arrive
	dropStartResponses bool // starts are executed, but their responses are lost
	dropStopResponses  bool // stops are executed, but their responses are lost
	refuseStarts       bool // starts are refused
	delayStarts        bool // starts arrive when deliver is called
	delayRenewals      bool // renewals arrive when deliver is called
	delayedCalls       []func()
	onList             func() // called after the next list, before its response arrives
	renewals           int
}

func (f *faultyAPI) List(ctx context.Context, r worker.ListRequest) (worker.ListResponse, error) {
	if f.unreachable {
		return worker.ListResponse{}, errNoResponse
	}
	l, err := f.Worker.List(ctx, r)
	if f.onList != nil {
		f.onList()
		f.onList = nil
	}
	return l, err
}

func (f *faultyAPI) Renew(ctx context.Context, r worker.RenewRequest) error {
	f.renewals++
	if f.delayRenewals {
		f.delayedCalls = append(f.delayedCalls, func() { _ = f.Worker.Renew(ctx, r) })
		return errNoResponse
	}
	if f.unreachable {
		return errNoResponse
	}
	return f.Worker.Renew(ctx, r)
}

func (f *faultyAPI) Start(ctx context.Context, r worker.StartRequest) error {
	if f.refuseStarts {
		return worker.ErrRefused
	}
	if f.delayStarts {
		f.delayedCalls = append(f.delayedCalls, func() { _ = f.Worker.Start(ctx, r) })
		return errNoResponse
	}
	if err := f.Worker.Start(ctx, r); err != nil || !f.dropStartResponses {
		return err
	}
	return errNoResponse
}

func (f *faultyAPI) Stop(ctx context.Context, r worker.TaskRequest) error {
	if err := f.Worker.Stop(ctx, r); err != nil || !f.dropStopResponses {
		return err
	}
	return errNoResponse
}

// deliver executes the delayed calls in order.
func (f *faultyAPI) deliver() {
	for _, call := range f.delayedCalls {
		call()
	}
	f.delayedCalls = nil
}

// faultyLog is a log that can lose results after the commit or delay commands.
type faultyLog struct {
	*replica.FakeLog
	dropResultsOf state.Kind // the results of commands of this kind are lost
	delayKind     state.Kind // commands of this kind are committed only by proposeAgain
	commands      []state.Command
	fixedState    *state.State // returned by State if not nil
}

func (f *faultyLog) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	f.commands = append(f.commands, c)
	if f.delayKind != 0 && c.Kind == f.delayKind {
		return state.Result{}, errNoResponse
	}
	r, err := f.FakeLog.Propose(ctx, c)
	if c.Kind == f.dropResultsOf {
		return state.Result{}, errNoResponse
	}
	return r, err
}

func (f *faultyLog) State() *state.State {
	if f.fixedState != nil {
		return f.fixedState
	}
	return f.FakeLog.State()
}

// proposeAgain proposes all earlier commands of the kind again.
func (f *faultyLog) proposeAgain(g Gomega, kind state.Kind) {
	n := 0
	for _, c := range f.commands {
		if c.Kind == kind {
			_, err := f.FakeLog.Propose(context.Background(), c)
			g.Expect(err).NotTo(HaveOccurred())
			n++
		}
	}
	g.Expect(n).To(BeNumerically(">", 0))
}

// fixture is a log with the entry instances a and b, the workers w1 and w2, and
// one job with one task that runs for 60 s.
type fixture struct {
	Gomega
	clock *clockwork.FakeClock
	log   *faultyLog
	w1    *faultyAPI
	w2    *faultyAPI
	s1    *worker.Session // session of a with w1
	s2    *worker.Session // session of b with w2
}

const task = "job.0"

func newFixture(t *testing.T) *fixture {
	f := &fixture{Gomega: NewWithT(t), clock: clockwork.NewFakeClockAt(time.Unix(1_800_000_000, 0))}
	f.log = &faultyLog{FakeLog: replica.NewFakeLog(f.clock)}
	f.propose(state.RegisterInstance{Instance: state.Instance{ID: "a", InstanceStart: 1}})
	f.propose(state.RegisterInstance{Instance: state.Instance{ID: "b", InstanceStart: 1}})
	size := state.Resources{MilliCPU: 4000, MemoryMiB: 4096}
	f.w1, f.w2 = f.addWorker("w1", "z1", 7*time.Hour, size), f.addWorker("w2", "z2", time.Minute, size)
	f.s1, f.s2 = f.assign("w1", "a", f.w1), f.assign("w2", "b", f.w2)
	f.poll(worker.PollInterval, f.s1, f.s2)
	f.propose(state.SubmitJob{Spec: state.JobSpec{
		ID: "job", Class: "c", Priority: state.PriorityNormal, Tasks: 1,
		Resources: state.Resources{MilliCPU: 3000, MemoryMiB: 1024}, ExpectedSeconds: 60,
	}})
	return f
}

func (f *fixture) addWorker(id, zone string, offset time.Duration, size state.Resources) *faultyAPI {
	f.propose(state.RegisterWorker{ID: id, Zone: zone, Rack: "r", Address: id, Capacity: size})
	return &faultyAPI{Worker: workerstandin.New(workerstandin.Options{
		ID: id, Capacity: size, Clock: f.clock, ClockOffset: offset, UsageNoise: 0.1,
	})}
}

// assign assigns the worker to the instance and returns a session with it.
func (f *fixture) assign(id, to string, api worker.API) *worker.Session {
	var fence uint64
	if a := f.log.FakeLog.State().Assignment(state.AssignWorker, id); a != nil {
		fence = a.Fence
	}
	f.propose(state.Assign{Changes: []state.OwnerChange{{Kind: state.AssignWorker, ID: id, Fence: fence, To: to}}})
	return f.session(id, to, api, f.log)
}

func (f *fixture) session(id, self string, api worker.API, log replica.Log) *worker.Session {
	a := f.log.FakeLog.State().Assignment(state.AssignWorker, id)
	return worker.NewSession(worker.Options{
		Self: self, Log: log, Clock: f.clock,
		Dial: func(string) (worker.API, io.Closer, error) { return api, nil, nil },
	}, id, a.Fence)
}

func (f *fixture) propose(body state.Body) {
	r, err := f.log.FakeLog.Propose(context.Background(), state.NewCommand(body))
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(r.Code).To(Equal(state.CodeOK), "%T: %s", body, r.Message)
}

// place places the next incarnation of the task on the worker.
func (f *fixture) place(id string) {
	f.propose(state.PlaceTasks{Placements: []state.Placement{
		{Task: task, Incarnation: f.task().Incarnation + 1, Worker: id},
	}})
}

func (f *fixture) evict() {
	f.propose(state.StopTasks{Stops: []state.TaskStop{
		{Task: task, Incarnation: f.task().Incarnation, StopReason: state.StopEvict},
	}})
}

func (f *fixture) task() *state.Task { return f.log.FakeLog.State().Task(task) }

func (f *fixture) condition(id string) state.WorkerCondition {
	w, _ := f.log.FakeLog.State().Workers.Get(id)
	return w.Condition
}

// poll advances the clock by d in steps of PollInterval. After each step every
// session polls its worker once.
func (f *fixture) poll(d time.Duration, sessions ...*worker.Session) {
	for ; d > 0; d -= worker.PollInterval {
		f.clock.Advance(worker.PollInterval)
		for _, s := range sessions {
			s.Poll()
		}
	}
}

// runTask places the task on w1 and polls until the task runs there.
func (f *fixture) runTask() {
	f.place("w1")
	f.poll(3*time.Second, f.s1, f.s2)
	f.Expect(f.task().Phase).To(Equal(state.PhaseRunning))
}

// checkedRecords returns the records of all runs. It checks that no runs overlap,
// no work is repeated and no worker exceeds its capacity.
func (f *fixture) checkedRecords() []workerstandin.Record {
	all := workerstandin.AllRecords(f.w1.Worker, f.w2.Worker)
	f.Expect(workerstandin.Overlaps(all)).To(BeEmpty())
	f.Expect(workerstandin.Repeated(all)).To(BeEmpty())
	f.Expect(f.w1.OverCapacity() || f.w2.OverCapacity()).To(BeFalse())
	return all
}
