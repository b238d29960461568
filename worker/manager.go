package worker

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"apricotrouter/event"
	"apricotrouter/replica"
	"apricotrouter/state"
	"apricotrouter/transport"
)

// Times of a session.
const (
	// RoundInterval is the time between two rounds of a session.
	RoundInterval = 500 * time.Millisecond
	// QuietInterval is the time between two rounds while no task on the worker
	// is being started or stopped.
	QuietInterval = time.Second
	// RenewInterval is the time between two renewals. The lease that is left
	// at the next renewal exceeds LostAfter, so a worker that is cut off for
	// less than that keeps its tasks.
	RenewInterval = 2 * time.Second
	// LeaseDuration is how long after the reading of a list the renewed lease ends.
	LeaseDuration = 10 * time.Second
	// StartWindow is how long after the reading of a list a start stays valid.
	StartWindow = 2 * time.Second
	// LostAfter is how long a worker may be unreachable before it is reported lost.
	LostAfter = 5 * time.Second
	// ProposeTimeout bounds the wait for the outcome of a proposal. It is well
	// below LeaseDuration, so a missing leader does not end a worker's lease
	// before the next renewal.
	ProposeTimeout = 3 * time.Second
)

// Options are what a Manager needs.
type Options struct {
	Self string // instance id
	// Start is the InstanceStart of this process. Nothing is sent to workers
	// before it is registered; 0 does not check that.
	Start uint64
	Log   replica.Log
	// Dial connects to a worker; nil means Dial of this package.
	Dial       func(address string) (API, io.Closer, error)
	Peers      transport.Peers // nil sends no observations
	Clock      clockwork.Clock
	Logger     *slog.Logger
	Registerer prometheus.Registerer // nil registers nothing
}

// Manager keeps a session with each worker that is assigned to this instance.
type Manager struct {
	o       Options
	metrics *metrics
	wg      sync.WaitGroup
	// observed is nil if no observations are sent.
	observed *observations
	// running holds the sessions by worker. Only Run uses it.
	running map[string]runningSession
}

// runningSession is a session with its end.
type runningSession struct {
	fence  uint64
	cancel context.CancelFunc
}

// NewManager returns a Manager that does nothing until Run.
func NewManager(o Options) *Manager {
	if o.Dial == nil {
		o.Dial = Dial
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	m := &Manager{o: o, metrics: newMetrics(o.Registerer), running: make(map[string]runningSession)}
	if o.Peers != nil {
		m.observed = &observations{}
	}
	return m
}

// Run holds the sessions until ctx ends. When it returns, no call to a worker
// is in flight and none will follow.
func (m *Manager) Run(ctx context.Context) error {
	defer m.wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if m.observed != nil {
		m.wg.Go(func() { m.sendObservations(ctx) })
	}
	var seen state.Table[*state.Assignment]
	for {
		changed := m.o.Log.Changed()
		if st := m.o.Log.State(); st.Assignments != seen {
			seen = st.Assignments
			m.adjust(ctx, st)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// adjust ends the sessions whose assignment changed and starts new ones.
func (m *Manager) adjust(ctx context.Context, st *state.State) {
	wanted := make(map[string]uint64)
	for a := range st.OwnedBy(m.o.Self, state.AssignWorker) {
		wanted[a.ID] = a.Fence
	}
	for id, r := range m.running {
		if wanted[id] != r.fence {
			r.cancel()
			delete(m.running, id)
		}
	}
	for id, fence := range wanted {
		if _, ok := m.running[id]; !ok {
			m.start(ctx, id, fence)
		}
	}
}

func (m *Manager) start(ctx context.Context, id string, fence uint64) {
	ctx, cancel := context.WithCancel(ctx)
	m.running[id] = runningSession{fence: fence, cancel: cancel}
	s := newSession(m.o, m.metrics, id, fence)
	s.observed = m.observed
	m.wg.Add(1)
	m.metrics.sessions.Inc()
	event.Log(m.o.Logger, event.WorkerSessionStarted, slog.String("worker", id), slog.Uint64("fence", fence))
	go func() {
		defer m.wg.Done()
		defer cancel()
		s.run(ctx)
		m.metrics.sessions.Dec()
		event.Log(m.o.Logger, event.WorkerSessionEnded, slog.String("worker", id), slog.Uint64("fence", fence))
	}()
}
