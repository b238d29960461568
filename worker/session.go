package worker

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"sync"
	"time"

	"apricotrouter/event"
	"apricotrouter/state"
	"apricotrouter/steperr"
)

// session manages one worker under one fence. It ends when the assignment ends.
//
// Invariant: a call that changes the worker is sent only while the instance
// holds a valid freshness lease and the assignment with this fence is current.
// Both are checked after the last blocking operation before the call.
type session struct {
	Options
	metrics *metrics
	worker  string
	fence   uint64

	// The fields up to reconciled are used only by the goroutine of run, except
	// buffer, which background calls use too.
	api         API
	closer      io.Closer
	address     string
	pollFailed  bool
	lastContact time.Time // time of the last successful poll (list and renewal)
	lastList    time.Time // time of the last list in a successful poll
	lastRenewal time.Time // time of the last successful renewal
	renewedBoot string    // boot id at that renewal
	bootID      string    // boot id in the last list; empty before the first list
	endedTasks  []TaskKey // ended tasks that the worker may forget
	lost        lossProposals
	buffer      *sampleBuffer // nil if no samples are taken
	lastSample  time.Time
	reconciled  bool // tasks were reconciled at least once

	background sync.WaitGroup // calls and proposals running in the background
	mu         sync.Mutex
	// tasks contains the attempt for each incarnation of a task.
	tasks     map[TaskKey]*attempt
	reporting bool // a report is in flight
	lastSent  sentSample
}

func newSession(o Options, m *metrics, id string, fence uint64) *session {
	return &session{
		Options: o, metrics: m, worker: id, fence: fence,
		lastContact: o.Clock.Now(),
		tasks:       make(map[TaskKey]*attempt),
	}
}

// run polls the worker every PollInterval until ctx ends.
func (s *session) run(ctx context.Context) {
	ticker := s.Clock.NewTicker(PollInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		s.poll(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.Chan():
		}
	}
	s.background.Wait()
	s.setPollFailed(false)
	s.disconnect()
}

// mayAct reports whether this session may act on the worker now. An instance that
// is shutting down releases its assignments with its HandOver command.
func (s *session) mayAct() bool {
	if !s.Log.Fresh() {
		return false
	}
	st := s.Log.State()
	self, ok := st.Instances.Get(s.Self)
	if ok && self.ShuttingDown {
		return false
	}
	if s.Start != 0 && (!ok || self.InstanceStart != s.Start) {
		return false // The fence belongs to an earlier process.
	}
	a := st.Assignment(state.AssignWorker, s.worker)
	return a != nil && a.Owner == s.Self && a.Fence == s.fence
}

// poll lists the worker's tasks, renews its lease and reconciles the tasks.
func (s *session) poll(ctx context.Context) {
	if !s.mayAct() {
		return
	}
	// The state must be read before the list. A task that this state records as
	// started was started before the list was read, so its absence from the list
	// means that it has ended.
	st := s.Log.State()
	w, ok := st.Workers.Get(s.worker)
	if !ok || s.canSkipPoll(st) {
		return
	}
	l, err := s.list(ctx, w.Address)
	if err != nil {
		s.handlePollError(ctx, err)
		return
	}
	s.setPollFailed(false)
	s.recordBootID(l.BootID)
	if !s.ensureReady(ctx) {
		return
	}
	if err := s.renew(ctx, l); err != nil {
		s.handlePollError(ctx, err)
		return
	}
	s.lastContact = s.Clock.Now()
	s.lastList = s.lastContact
	s.reconcile(ctx, st, l)
	s.observe(ctx)
}

// canSkipPoll reports whether this poll can be skipped: the last one succeeded
// less than IdlePollInterval ago, and no task on the worker is being started or
// stopped.
func (s *session) canSkipPoll(st *state.State) bool {
	if s.pollFailed || !s.reconciled || s.Clock.Since(s.lastList) >= IdlePollInterval {
		return false
	}
	for t := range st.TasksOnWorker(s.worker) {
		if t.Phase != state.PhaseRunning {
			return false
		}
	}
	return true
}

// list connects to the worker if necessary and lists its tasks.
func (s *session) list(ctx context.Context, address string) (ListResponse, error) {
	if s.api != nil && s.address != address {
		s.disconnect()
	}
	if s.api == nil {
		api, closer, err := s.Dial(address)
		if err != nil {
			return ListResponse{}, steperr.Wrap(err, "connect to worker", s.worker)
		}
		s.api, s.closer, s.address = api, closer, address
	}
	l, err := s.api.List(ctx, ListRequest{Fence: s.fence, Forget: s.endedTasks})
	return l, steperr.Wrap(err, "list tasks of worker", s.worker)
}

// renew extends the lease, counted from the clock reading of the list, so a
// delayed renewal does not extend it further. It renews once per RenewInterval
// and immediately after a restart of the worker. It returns errNotOwner if the
// instance may not renew the lease.
func (s *session) renew(ctx context.Context, l ListResponse) error {
	w, ok := s.Log.State().Workers.Get(s.worker)
	if !s.mayAct() || !ok || w.Condition == state.WorkerLost {
		return errNotOwner
	}
	if s.renewedBoot == l.BootID && s.Clock.Since(s.lastRenewal) < RenewInterval {
		return nil
	}
	err := s.api.Renew(ctx, RenewRequest{
		Fence: s.fence, BootID: l.BootID, LeaseEndMs: l.NowMs + LeaseDuration.Milliseconds(),
	})
	if err == nil {
		s.lastRenewal, s.renewedBoot = s.Clock.Now(), l.BootID
	}
	return steperr.Wrap(err, "renew lease of worker", s.worker)
}

// errNotOwner means that the session may no longer act on the worker.
var errNotOwner = errors.New("instance does not own the worker")

// handlePollError handles an error of a list or a renewal. It reports the worker
// lost if there was no contact for LostAfter.
func (s *session) handlePollError(ctx context.Context, err error) {
	switch {
	case ctx.Err() != nil || errors.Is(err, errNotOwner):
		return
	case errors.Is(err, ErrStaleFence):
		event.Log(s.Logger, event.WorkerFenceRefused, slog.String("worker", s.worker), slog.Uint64("fence", s.fence))
		return
	}
	if !s.pollFailed {
		event.Log(s.Logger, event.WorkerUnreachable, slog.String("worker", s.worker), slog.Any("error", err))
	}
	s.setPollFailed(true)
	if !errors.Is(err, ErrRefused) {
		// A connection can stop responding permanently while new connections
		// work.
		s.disconnect()
	}
	if s.Clock.Since(s.lastContact) >= LostAfter {
		s.markLost(ctx)
	}
}

func (s *session) setPollFailed(pollFailed bool) {
	if pollFailed == s.pollFailed {
		return
	}
	s.pollFailed = pollFailed
	if pollFailed {
		s.metrics.unreachable.Inc()
	} else {
		s.metrics.unreachable.Dec()
	}
}

func (s *session) disconnect() {
	if s.api == nil {
		return
	}
	if s.closer != nil {
		_ = s.closer.Close() // The connection is no longer used, even if this fails.
	}
	s.api, s.closer = nil, nil
}

// recordBootID stores the worker's boot id and logs a restart of the worker.
func (s *session) recordBootID(bootID string) {
	if s.bootID != "" && s.bootID != bootID {
		event.Log(s.Logger, event.WorkerRestarted, slog.String("worker", s.worker), slog.String("boot_id", bootID))
	}
	s.bootID = bootID
}

// propose proposes the command and returns its result. It waits for at most
// ProposeTimeout.
func (s *session) propose(ctx context.Context, c state.Command) (state.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, ProposeTimeout)
	defer cancel()
	return s.Log.Propose(ctx, c)
}
