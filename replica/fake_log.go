package replica

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/jonboulle/clockwork"

	"apricotrouter/state"
)

// FakeLog is a fake Log without replication, for tests. It applies commands
// immediately. By default it is fresh and its own confirmed leader.
type FakeLog struct {
	notifier
	clock clockwork.Clock
	state atomic.Pointer[state.State]

	mu         sync.Mutex
	fresh      bool
	leadership Leadership
	leases     map[string]bool
	err        error
}

var (
	_ Log          = (*FakeLog)(nil)
	_ LeaseTracker = (*FakeLog)(nil)
)

// NewFakeLog returns an empty log. Command times come from clock.
func NewFakeLog(clock clockwork.Clock) *FakeLog {
	m := &FakeLog{
		clock:      clock,
		fresh:      true,
		leadership: Leadership{Leader: "memory", Term: 1, Self: true, Epoch: 1},
		leases:     make(map[string]bool),
	}
	m.state.Store(state.New())
	return m
}

// Propose implements Log.
func (m *FakeLog) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	if err := ctx.Err(); err != nil {
		return state.Result{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.err != nil {
		return state.Result{}, m.err
	}
	s := m.state.Load()
	c.Time = max(m.clock.Now().UnixMilli(), s.Time)
	next, result := s.Apply(s.Index+1, c)
	m.state.Store(next)
	m.notify()
	return result, nil
}

// State implements Log.
func (m *FakeLog) State() *state.State { return m.state.Load() }

// Fresh implements Log.
func (m *FakeLog) Fresh() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fresh
}

// Leadership implements Log.
func (m *FakeLog) Leadership() Leadership {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leadership
}

// LeaseExpired implements LeaseTracker. It is false unless set by
// SetLeaseExpired.
func (m *FakeLog) LeaseExpired(instance string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leadership.Self && m.leases[instance]
}

// SetFresh sets the result of Fresh.
func (m *FakeLog) SetFresh(fresh bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fresh = fresh
	m.notify()
}

// SetLeadership sets the result of Leadership.
func (m *FakeLog) SetLeadership(l Leadership) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leadership = l
	m.notify()
}

// SetLeaseExpired sets the result of LeaseExpired for an instance.
func (m *FakeLog) SetLeaseExpired(instance string, expired bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leases[instance] = expired
	m.notify()
}

// SetError makes Propose return err without applying the command. A nil error
// restores normal operation.
func (m *FakeLog) SetError(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.err = err
}
