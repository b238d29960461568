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

// session is the session with one worker under one fence. It ends with the
// assignment.
//
// Invariant: a call that changes the worker is sent only while the instance is
// fresh and the assignment with this fence is current, checked after the last
// wait before the call.
type session struct {
	Options
	metrics *metrics
	worker  string
	fence   uint64

	// Only the goroutine of run uses these.
	api         API
	closer      io.Closer
	address     string
	failing     bool
	lastContact time.Time // of the last round in which list and renewal succeeded
	lastList    time.Time // of the last list that was answered
	lastRenewal time.Time // of the last renewal that was answered
	renewedBoot string    // boot id of that renewal
	bootID      string    // of the last list; empty before the first
	ended       []TaskKey // tasks that the last list showed as ended
	lost        lostWorker
	observed    *observations // nil to take no samples
	lastSample  time.Time
	reconciled  bool // the tasks were reconciled once

	ops sync.WaitGroup // calls and proposals in the background
	mu  sync.Mutex
	// tasks holds what this session did with each incarnation.
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

// run does a round every RoundInterval until ctx ends.
func (s *session) run(ctx context.Context) {
	ticker := s.Clock.NewTicker(RoundInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		s.round(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.Chan():
		}
	}
	s.ops.Wait()
	s.setFailing(false)
	s.disconnect()
}

// held reports whether this session may act on the worker now. An instance that
// leaves gives up its assignments when it says so.
func (s *session) held() bool {
	if !s.Log.Fresh() {
		return false
	}
	st := s.Log.State()
	self, ok := st.Instances.Get(s.Self)
	if ok && self.Leaving {
		return false
	}
	if s.Start != 0 && (!ok || self.InstanceStart != s.Start) {
		return false // The fence is that of an earlier process.
	}
	a := st.Assignment(state.AssignWorker, s.worker)
	return a != nil && a.Owner == s.Self && a.Fence == s.fence
}

// round lists the worker, renews its lease and reconciles its tasks.
func (s *session) round(ctx context.Context) {
	if !s.held() {
		return
	}
	// The state is read before the list: what it calls started was started
	// before the list was read, so its absence means that it ended.
	st := s.Log.State()
	w, ok := st.Workers.Get(s.worker)
	if !ok || s.quiet(st) {
		return
	}
	l, err := s.list(ctx, w.Address)
	if err != nil {
		s.failed(ctx, err)
		return
	}
	s.setFailing(false)
	s.observeBoot(l.BootID)
	if !s.returned(ctx) {
		return
	}
	if err := s.renew(ctx, l); err != nil {
		s.failed(ctx, err)
		return
	}
	s.lastContact = s.Clock.Now()
	s.lastList = s.lastContact
	s.reconcile(ctx, st, l)
	s.observe(ctx)
}

// quiet reports whether this round can be left out: the worker answered the
// last one, and no task on it is being started or stopped.
func (s *session) quiet(st *state.State) bool {
	if s.failing || !s.reconciled || s.Clock.Since(s.lastList) >= QuietInterval {
		return false
	}
	for t := range st.TasksOnWorker(s.worker) {
		if t.Phase != state.PhaseRunning {
			return false
		}
	}
	return true
}

// list connects if necessary and lists the worker.
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
	l, err := s.api.List(ctx, ListRequest{Fence: s.fence, Forget: s.ended})
	return l, steperr.Wrap(err, "list tasks of worker", s.worker)
}

// renew extends the lease from the reading of the list, so that a renewal that
// arrives late does not extend it further. It does so once per RenewInterval
// and at once after a restart of the worker. It returns errNotHeld if the
// instance may not renew.
func (s *session) renew(ctx context.Context, l ListResponse) error {
	w, ok := s.Log.State().Workers.Get(s.worker)
	if !s.held() || !ok || w.Condition == state.WorkerLost {
		return errNotHeld
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

// errNotHeld means that the session may not act on the worker any more.
var errNotHeld = errors.New("assignment of the worker is not held")

// failed handles an error of list or renewal.
func (s *session) failed(ctx context.Context, err error) {
	switch {
	case ctx.Err() != nil || errors.Is(err, errNotHeld):
		return
	case errors.Is(err, ErrStaleFence):
		event.Log(s.Logger, event.WorkerFenceRefused, slog.String("worker", s.worker), slog.Uint64("fence", s.fence))
		return
	}
	if !s.failing {
		event.Log(s.Logger, event.WorkerUnreachable, slog.String("worker", s.worker), slog.Any("error", err))
	}
	s.setFailing(true)
	if !errors.Is(err, ErrRefused) {
		// A connection can go silent for good while new ones work.
		s.disconnect()
	}
	if s.Clock.Since(s.lastContact) >= LostAfter {
		s.markLost(ctx)
	}
}

func (s *session) setFailing(failing bool) {
	if failing == s.failing {
		return
	}
	s.failing = failing
	if failing {
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
		_ = s.closer.Close() // The connection is given up either way.
	}
	s.api, s.closer = nil, nil
}

// observeBoot notes a restart of the worker.
func (s *session) observeBoot(bootID string) {
	if s.bootID != "" && s.bootID != bootID {
		event.Log(s.Logger, event.WorkerRestarted, slog.String("worker", s.worker), slog.String("boot_id", bootID))
	}
	s.bootID = bootID
}

// propose commits body and returns its result.
func (s *session) propose(ctx context.Context, c state.Command) (state.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, ProposeTimeout)
	defer cancel()
	return s.Log.Propose(ctx, c)
}
