package fleet

import (
	"context"
	"log/slog"

	"apricotrouter/admission"
	"apricotrouter/event"
	"apricotrouter/state"
)

// refuse returns the response to a submission that is refused or turns out to be
// stored, or nil. The refusal is in the log, so that it is true for all copies of
// the submission, also under another leader: one that precedes it in the log
// makes the submission stored, and one that follows is refused.
func (s *Service) refuse(ctx context.Context, q *state.WorkflowQueue, spec *state.WorkflowSpec, req *Request, c caller) *Response {
	now := s.controller.opts.Clock.Now().UnixMilli()
	sub, refusable := submission(spec, q, req, now)
	if !refusable {
		return nil
	}
	d := s.decide(now, spec.Pool, sub)
	if !d.Refuse {
		return nil
	}
	refused, resp := s.commitRefusal(ctx, spec, sub.CopiesMillis, c)
	if !refused {
		return resp
	}
	s.recordRefusal(q, spec, req, sub, d, now)
	return &Response{Outcome: OutcomeRefused, Reason: d.Reason, RetryAfterMillis: d.RetryAfterMillis}
}

// commitRefusal commits the refusal of a submission. If it was not refused, resp is
// the response to it, or nil if it is not stored either.
func (s *Service) commitRefusal(ctx context.Context, spec *state.WorkflowSpec, copiesMillis int64, c caller) (refused bool, resp *Response) {
	result, err := s.group.Propose(ctx, state.NewCommand(state.RefuseWorkflow{ID: spec.ID, ForMillis: copiesMillis}))
	if err != nil {
		return false, &Response{Outcome: OutcomeUnknown, Reason: err.Error()}
	}
	if result.Code == state.CodeRefused {
		return true, nil
	}
	if w, ok := s.group.State().Workflows.Get(spec.ID); ok {
		return false, c.resendResponse(w)
	}
	return false, nil // also if an instance of an earlier version applied it first
}

// refusedCopy returns the response to a submission of which a copy was refused, or
// that was cancelled before it arrived.
func (s *Service) refusedCopy(result state.Result) *Response {
	now := s.controller.opts.Clock.Now().UnixMilli()
	return &Response{
		Outcome: OutcomeRefused, Reason: result.Message,
		RetryAfterMillis: max(1, int64(result.ObjectVersion)-now),
	}
}

func (s *Service) recordRefusal(q *state.WorkflowQueue, spec *state.WorkflowSpec, req *Request, sub *admission.Submission, d admission.Decision, now int64) {
	event.Log(s.logger, event.WorkflowRefused, slog.String("workflow", spec.ID), slog.String("request", req.RequestID),
		slog.String("queue", q.Name), slog.String("reason", d.Reason), slog.Int64("retry_after_ms", d.RetryAfterMillis),
		slog.Int64("start_ms", d.StartMillis), slog.Int64("critical_path_ms", sub.CriticalPathMillis),
		slog.Int64("useless_ms", sub.LateDeadline-now), slog.Float64("work_milli_cpu_ms", sub.Work),
		slog.Float64("rate_cpu", d.Rate), slog.Int64("age_ms", d.AgeMillis))
	s.recordRetry(q, d.RetryAfterMillis)
}

// recordRetry records a refusal in the metrics.
func (s *Service) recordRetry(q *state.WorkflowQueue, retryAfterMillis int64) {
	s.metrics.refused.WithLabelValues(q.Name).Inc()
	s.metrics.retryAfter.Observe(float64(retryAfterMillis) / 1000)
}

// decide decides a submission from the backlog of its pool.
func (s *Service) decide(now int64, pool string, sub *admission.Submission) admission.Decision {
	backlogs := s.controller.backlogs.Load()
	if backlogs == nil {
		return admission.Decision{}
	}
	return admission.Decide(now, sub, (*backlogs)[pool])
}
