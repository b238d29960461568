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

// Intervals and timeouts of a session.
const (
	// PollInterval is the time between two polls of a worker.
	PollInterval = 500 * time.Millisecond
	// IdlePollInterval is the time between two polls while no task on the worker
	// is being started or stopped.
	IdlePollInterval = time.Second
	// RenewInterval is the time between two lease renewals. The remaining lease
	// at the next renewal exceeds LostAfter, so a worker that is unreachable for
	// less than LostAfter does not lose its tasks.
	RenewInterval = 2 * time.Second
	// LeaseDuration is the duration of a renewed lease, counted from the clock
	// reading of the last list.
	LeaseDuration = 10 * time.Second
	// StartWindow is the time for which a start is valid, counted from the clock
	// reading of the last list.
	StartWindow = 2 * time.Second
	// LostAfter is the time without contact after which a worker is reported
	// lost.
	LostAfter = 5 * time.Second
	// ProposeTimeout is the timeout for the outcome of a proposal. It is well
	// below LeaseDuration, so a worker's lease does not expire before the next
	// renewal while there is no leader.
	ProposeTimeout = 3 * time.Second
)

// Options contains the dependencies and settings of a Manager.
type Options struct {
	Self string // instance id
	// Start is the InstanceStart of this process. Nothing is sent to workers
	// before it is registered; 0 disables the check.
	Start uint64
	Log   replica.Log
	// Dial returns a client of a worker; Dial of this package if nil.
	Dial       func(address string) (API, io.Closer, error)
	Peers      transport.Peers // sends no usage samples if nil
	Clock      clockwork.Clock
	Logger     *slog.Logger
	Registerer prometheus.Registerer // registers nothing if nil
}

// Manager runs a session with each worker that is assigned to this instance.
type Manager struct {
	o       Options
	metrics *metrics
	wg      sync.WaitGroup
	// buffer is nil if no usage samples are sent.
	buffer *sampleBuffer
	// activeSessions contains the sessions by worker id. Only Run uses it.
	activeSessions map[string]runningSession
}

// runningSession is the fence and the cancel function of an active session.
type runningSession struct {
	fence  uint64
	cancel context.CancelFunc
}

// NewManager returns a Manager. It is inactive until Run is called.
func NewManager(o Options) *Manager {
	if o.Dial == nil {
		o.Dial = Dial
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	m := &Manager{o: o, metrics: newMetrics(o.Registerer), activeSessions: make(map[string]runningSession)}
	if o.Peers != nil {
		m.buffer = &sampleBuffer{}
	}
	return m
}

// Run runs the sessions until ctx ends. When it returns, no call to a worker is
// in flight and no further call is made.
func (m *Manager) Run(ctx context.Context) error {
	defer m.wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if m.buffer != nil {
		m.wg.Go(func() { m.sendObservations(ctx) })
	}
	var seen state.Table[*state.Assignment]
	for {
		changed := m.o.Log.Changed()
		if st := m.o.Log.State(); st.Assignments != seen {
			seen = st.Assignments
			m.updateSessions(ctx, st)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// updateSessions ends the sessions whose assignments have changed and starts
// sessions for new assignments.
func (m *Manager) updateSessions(ctx context.Context, st *state.State) {
	wanted := make(map[string]uint64)
	for a := range st.OwnedBy(m.o.Self, state.AssignWorker) {
		wanted[a.ID] = a.Fence
	}
	for id, r := range m.activeSessions {
		if wanted[id] != r.fence {
			r.cancel()
			delete(m.activeSessions, id)
		}
	}
	for id, fence := range wanted {
		if _, ok := m.activeSessions[id]; !ok {
			m.start(ctx, id, fence)
		}
	}
}

func (m *Manager) start(ctx context.Context, id string, fence uint64) {
	ctx, cancel := context.WithCancel(ctx)
	m.activeSessions[id] = runningSession{fence: fence, cancel: cancel}
	s := newSession(m.o, m.metrics, id, fence)
	s.buffer = m.buffer
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
