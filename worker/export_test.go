package worker

import (
	"context"

	"apricotrouter/placement"
)

// Session is a session whose polls are run one by one by a test.
type Session struct{ s *session }

// NewSession returns a session with the worker id under the fence.
func NewSession(o Options, id string, fence uint64) *Session {
	return &Session{newSession(o, newMetrics(nil), id, fence)}
}

// Poll runs one reconcile pass and waits for its calls in the background.
func (s *Session) Poll() {
	s.s.poll(context.Background())
	s.s.background.Wait()
}

// Observe enables the usage samples of the session.
func (s *Session) Observe() { s.s.buffer = &sampleBuffer{} }

// Samples returns the samples queued for sending since the last call.
func (s *Session) Samples() []placement.WorkerSample { return s.s.buffer.drain() }
