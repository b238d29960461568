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

// errLost stands for a call whose answer did not arrive.
var errLost = errors.New("no answer")

// faultyAPI calls a stand-in and brings failures about.
type faultyAPI struct {
	*workerstandin.Worker
	down      bool // calls do not arrive
	loseStart bool // starts are carried out without an answer
	loseStop  bool
	refuse    bool // starts are refused
	holdStart bool // starts arrive when deliver runs
	holdRenew bool
	held      []func()
	onList    func() // runs after the next list, before its answer arrives
	renewals  int
}

func (f *faultyAPI) List(ctx context.Context, r worker.ListRequest) (worker.ListResponse, error) {
	if f.down {
		return worker.ListResponse{}, errLost
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
	if f.holdRenew {
		f.held = append(f.held, func() { _ = f.Worker.Renew(ctx, r) })
		return errLost
	}
	if f.down {
		return errLost
	}
	return f.Worker.Renew(ctx, r)
}

func (f *faultyAPI) Start(ctx context.Context, r worker.StartRequest) error {
	if f.refuse {
		return worker.ErrRefused
	}
	if f.holdStart {
		f.held = append(f.held, func() { _ = f.Worker.Start(ctx, r) })
		return errLost
	}
	if err := f.Worker.Start(ctx, r); err != nil || !f.loseStart {
		return err
	}
	return errLost
}

func (f *faultyAPI) Stop(ctx context.Context, r worker.TaskRequest) error {
	if err := f.Worker.Stop(ctx, r); err != nil || !f.loseStop {
		return err
	}
	return errLost
}

// deliver lets the held calls arrive, in order.
func (f *faultyAPI) deliver() {
	for _, call := range f.held {
		call()
	}
	f.held = nil
}

// faultyLog is a log whose results can get lost after the commit.
type faultyLog struct {
	*replica.Memory
	lose     state.Kind // commands of this kind give no result
	hold     state.Kind // commands of this kind are committed only by repeat
	commands []state.Command
	frozen   *state.State // what State returns, if set
}

func (f *faultyLog) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	f.commands = append(f.commands, c)
	if f.hold != 0 && c.Kind == f.hold {
		return state.Result{}, errLost
	}
	r, err := f.Memory.Propose(ctx, c)
	if c.Kind == f.lose {
		return state.Result{}, errLost
	}
	return r, err
}

func (f *faultyLog) State() *state.State {
	if f.frozen != nil {
		return f.frozen
	}
	return f.Memory.State()
}

// repeat proposes the commands of a kind a second time.
func (f *faultyLog) repeat(g Gomega, kind state.Kind) {
	n := 0
	for _, c := range f.commands {
		if c.Kind == kind {
			_, err := f.Memory.Propose(context.Background(), c)
			g.Expect(err).NotTo(HaveOccurred())
			n++
		}
	}
	g.Expect(n).To(BeNumerically(">", 0))
}

// fixture is a log with entry instances a and b, the workers w1 and w2, and
// one job with one task of 60 s.
type fixture struct {
	Gomega
	clock *clockwork.FakeClock
	log   *faultyLog
	w1    *faultyAPI
	w2    *faultyAPI
	s1    *worker.Session // a with w1
	s2    *worker.Session // b with w2
}

const task = "job.0"

func newFixture(t *testing.T) *fixture {
	f := &fixture{Gomega: NewWithT(t), clock: clockwork.NewFakeClockAt(time.Unix(1_800_000_000, 0))}
	f.log = &faultyLog{Memory: replica.NewMemory(f.clock)}
	f.propose(state.RegisterInstance{Instance: state.Instance{ID: "a", InstanceStart: 1}})
	f.propose(state.RegisterInstance{Instance: state.Instance{ID: "b", InstanceStart: 1}})
	size := state.Resources{MilliCPU: 4000, MemoryMiB: 4096}
	f.w1, f.w2 = f.addWorker("w1", "z1", 7*time.Hour, size), f.addWorker("w2", "z2", time.Minute, size)
	f.s1, f.s2 = f.assign("w1", "a", f.w1), f.assign("w2", "b", f.w2)
	f.rounds(worker.RoundInterval, f.s1, f.s2)
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

// assign gives the worker to the instance and returns its session.
func (f *fixture) assign(id, to string, api worker.API) *worker.Session {
	var fence uint64
	if a := f.log.Memory.State().Assignment(state.AssignWorker, id); a != nil {
		fence = a.Fence
	}
	f.propose(state.Assign{Changes: []state.OwnerChange{{Kind: state.AssignWorker, ID: id, Fence: fence, To: to}}})
	return f.session(id, to, api, f.log)
}

func (f *fixture) session(id, self string, api worker.API, log replica.Log) *worker.Session {
	a := f.log.Memory.State().Assignment(state.AssignWorker, id)
	return worker.NewSession(worker.Options{
		Self: self, Log: log, Clock: f.clock,
		Dial: func(string) (worker.API, io.Closer, error) { return api, nil, nil },
	}, id, a.Fence)
}

func (f *fixture) propose(body state.Body) {
	r, err := f.log.Memory.Propose(context.Background(), state.NewCommand(body))
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(r.Code).To(Equal(state.CodeOK), "%T: %s", body, r.Message)
}

// place puts the next incarnation of the task on the worker, as the leader does.
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

func (f *fixture) task() *state.Task { return f.log.Memory.State().Task(task) }

func (f *fixture) condition(id string) state.WorkerCondition {
	w, _ := f.log.Memory.State().Workers.Get(id)
	return w.Condition
}

// rounds advances the clock by d and lets each session run its rounds.
func (f *fixture) rounds(d time.Duration, sessions ...*worker.Session) {
	for ; d > 0; d -= worker.RoundInterval {
		f.clock.Advance(worker.RoundInterval)
		for _, s := range sessions {
			s.Round()
		}
	}
}

// runTask places the task on w1 and waits until it runs there.
func (f *fixture) runTask() {
	f.place("w1")
	f.rounds(3*time.Second, f.s1, f.s2)
	f.Expect(f.task().Phase).To(Equal(state.PhaseRunning))
}

// records checks what must hold in every test and returns all runs.
func (f *fixture) records() []workerstandin.Record {
	all := workerstandin.AllRecords(f.w1.Worker, f.w2.Worker)
	f.Expect(workerstandin.Overlaps(all)).To(BeEmpty())
	f.Expect(workerstandin.Repeated(all)).To(BeEmpty())
	f.Expect(f.w1.OverCapacity() || f.w2.OverCapacity()).To(BeFalse())
	return all
}
