package replica

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/jonboulle/clockwork"

	"apricotrouter/state"
)

// Memory is a fake Log without replication, for tests. It applies commands
// immediately. By default it is fresh and its own confirmed leader.
type Memory struct {
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
	_ Log          = (*Memory)(nil)
	_ LeaseTracker = (*Memory)(nil)
)

// NewMemory returns an empty log. Command times come from clock.
func NewMemory(clock clockwork.Clock) *Memory {
	m := &Memory{
		clock:      clock,
		fresh:      true,
		leadership: Leadership{Leader: "memory", Term: 1, Self: true, Epoch: 1},
		leases:     make(map[string]bool),
	}
	m.state.Store(state.New())
	return m
}

// Propose implements Log.
func (m *Memory) Propose(ctx context.Context, c state.Command) (state.Result, error) {
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
func (m *Memory) State() *state.State { return m.state.Load() }

// Fresh implements Log.
func (m *Memory) Fresh() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fresh
}

// Leadership implements Log.
func (m *Memory) Leadership() Leadership {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leadership
}

// LeaseEnded implements LeaseTracker. It is false unless set by SetLeaseEnded.
func (m *Memory) LeaseEnded(instance string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leadership.Self && m.leases[instance]
}

// SetFresh sets the result of Fresh.
func (m *Memory) SetFresh(fresh bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fresh = fresh
	m.notify()
}

// SetLeadership sets the result of Leadership.
func (m *Memory) SetLeadership(l Leadership) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leadership = l
	m.notify()
}

// SetLeaseEnded sets the result of LeaseEnded for an instance.
func (m *Memory) SetLeaseEnded(instance string, ended bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leases[instance] = ended
	m.notify()
}

// SetError makes Propose return err without applying the command. A nil error
// restores normal operation.
func (m *Memory) SetError(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.err = err
}
