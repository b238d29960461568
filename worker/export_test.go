package worker

import (
	"context"

	"apricotrouter/placement"
)

// Session is a session whose rounds a test runs one by one.
type Session struct{ s *session }

// NewSession returns a session with a worker under a fence.
func NewSession(o Options, id string, fence uint64) *Session {
	return &Session{newSession(o, newMetrics(nil), id, fence)}
}

// Round runs one round and waits for the calls that it began.
func (s *Session) Round() {
	s.s.round(context.Background())
	s.s.ops.Wait()
}

// Observe lets the session take samples.
func (s *Session) Observe() { s.s.observed = &observations{} }

// Samples returns the samples that would be sent since the last call.
func (s *Session) Samples() []placement.WorkerSample { return s.s.observed.take() }
