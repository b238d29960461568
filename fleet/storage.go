package fleet

import (
	"context"
	"log/slog"
	"sync"

	"apricotrouter/admission"
	"apricotrouter/event"
	"apricotrouter/state"
)

// Memory that a stored workflow takes on the leader, in bytes: its replicated
// state, that of the controller, and what is copied for a change. On other
// control instances it is about half.
const (
	openWorkflowBytes  = 2 << 10 // without steps and tasks
	endedWorkflowBytes = 768
	stepBytes          = 640
	taskBytes          = 640
	dependencyBytes    = 8
)

// storedBytes estimates the memory of an open workflow, in bytes.
func storedBytes(spec *state.WorkflowSpec) int64 {
	bytes := int64(openWorkflowBytes + len(spec.Payload))
	for i := range spec.Steps {
		s := &spec.Steps[i]
		bytes += int64(stepBytes + len(s.Label) + len(s.DataRack) + len(s.Image) + dependencyBytes*len(s.DependsOn))
	}
	return bytes + taskBytes*int64(max(1, spec.Occurrences))*int64(spec.TasksPerOccurrence())
}

// storage accounts for the memory of stored workflows on the leader. The loop of
// the controller counts the open ones; a submission reserves memory until the loop
// has counted it.
type storage struct {
	capacity int64 // bytes; 0 means unlimited

	mu             sync.Mutex
	open, reserved int64 // bytes
}

// reserve reserves memory for a submission if it fits. ended is the number of
// stored workflows that have ended.
func (s *storage) reserve(ended int, bytes int64) admission.StorageFit {
	s.mu.Lock()
	defer s.mu.Unlock()
	used := s.open + s.reserved + endedWorkflowBytes*int64(ended)
	fit := admission.Storage{Capacity: s.capacity, Used: used}.Fit(bytes)
	if fit == admission.Fits {
		s.reserved += bytes
	}
	return fit
}

func (s *storage) release(bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reserved -= bytes
}

// addOpen counts a workflow that was opened, or with negative bytes one that has
// ended, and returns the memory of all open workflows.
func (s *storage) addOpen(bytes int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open += bytes
	return s.open
}

// countStored counts a workflow that was opened or, with negative bytes, has
// ended.
func (c *Controller) countStored(bytes int64) {
	c.metrics.stored.Set(float64(c.storage.addOpen(bytes)))
}

// resetStored forgets the open workflows.
func (c *Controller) resetStored() { c.countStored(-c.storage.addOpen(0)) }

// reserveStorage reserves memory for a submission. It returns the response if
// there is none.
func (s *Service) reserveStorage(ctx context.Context, q *state.WorkflowQueue, spec *state.WorkflowSpec, req *Request, c caller) *Response {
	st, bytes := s.group.State(), storedBytes(spec)
	switch s.controller.storage.reserve(st.EndedCount(), bytes) {
	case admission.Fits:
		return nil
	case admission.NeverFits:
		return &Response{Outcome: OutcomeInvalid, Reason: "the workflow needs more memory than an instance has for large workflows"}
	}
	now := s.controller.opts.Clock.Now().UnixMilli()
	const reason = "the workflows that are stored take all memory for a workflow of this size"
	copies := copiesMillis(q, req)
	refused, resp := s.commitRefusal(ctx, spec, copies, c)
	switch {
	case resp != nil:
		return resp
	case !refused: // a copy may still be stored, by a leader that has memory
		return &Response{Outcome: OutcomeUnknown, Reason: reason}
	}
	retryAfter := admission.StorageRetryAfter(now, spec.ID, copies)
	event.Log(s.logger, event.WorkflowNotStored, slog.String("workflow", spec.ID), slog.String("request", req.RequestID),
		slog.String("queue", q.Name), slog.String("tenant", c.tenant), slog.Int("tasks", spec.TasksPerOccurrence()),
		slog.Int64("bytes", bytes), slog.Int64("capacity_bytes", s.controller.storage.capacity), slog.Int64("retry_after_ms", retryAfter))
	s.recordRetry(q, retryAfter)
	return &Response{Outcome: OutcomeRefused, Reason: reason, RetryAfterMillis: retryAfter}
}

// releaseStorage ends the reservation of a submission. One with an unknown outcome
// may be stored until the next comparison with the replicated state.
func (s *Service) releaseStorage(spec *state.WorkflowSpec, known bool) {
	bytes := storedBytes(spec)
	if known {
		s.controller.storage.release(bytes)
		return
	}
	s.controller.opts.Clock.AfterFunc(proposeTimeout+resyncInterval, func() { s.controller.storage.release(bytes) })
}
