package fleet

import (
	"context"
	"log/slog"
	"maps"
	"sync"

	"apricotrouter/admission"
	"apricotrouter/event"
	"apricotrouter/state"
)

// maxRefusals bounds the refused submissions that are remembered. Without room
// for another one, submissions are admitted.
const maxRefusals = 10_000

// refusals are the submissions that this leader handles or has refused. They
// make a refusal true for all copies of a submission: no other copy of it is
// being stored, and none that arrives while copies may be on their way is
// admitted.
type refusals struct {
	mu       sync.Mutex
	handling map[string]int   // calls by workflow id
	until    map[string]int64 // Unix milliseconds, by workflow id
}

func newRefusals() refusals {
	return refusals{handling: make(map[string]int), until: make(map[string]int64)}
}

// enter records that a submission is being handled until the returned function
// is called.
func (r *refusals) enter(id string) (leave func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handling[id]++
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.handling[id]--; r.handling[id] == 0 {
			delete(r.handling, id)
		}
	}
}

// refusedUntil returns until when copies of a submission are refused, or 0.
func (r *refusals) refusedUntil(id string, now int64) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until := r.until[id]; until > now {
		return until
	}
	return 0
}

// add refuses all copies of a submission for some time. It reports false if
// another copy is being handled, which may be stored, or if there is no room.
func (r *refusals) add(id string, now, until int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.handling[id] > 1 {
		return false
	}
	if len(r.until) >= maxRefusals {
		maps.DeleteFunc(r.until, func(_ string, until int64) bool { return until <= now })
		if len(r.until) >= maxRefusals {
			return false
		}
	}
	r.until[id] = until
	return true
}

// refuse returns the response to a submission that is refused or turns out to be
// stored, or nil.
func (s *Service) refuse(ctx context.Context, q *state.WorkflowQueue, spec *state.WorkflowSpec, req *Request, c caller) *Response {
	now := s.controller.opts.Clock.Now().UnixMilli()
	sub, refusable := submission(spec, q, now)
	if !refusable {
		return nil
	}
	d := s.decide(now, spec.Pool, sub)
	if until := s.refusals.refusedUntil(spec.ID, now); until > 0 {
		if !d.Refuse {
			d.RetryAfterMillis = until - now
		}
		d.Refuse, d.Reason = true, "an earlier copy of the submission was refused"
	} else if !d.Refuse || !s.refusals.add(spec.ID, now, now+sub.CopiesMillis) {
		return nil
	}
	// The submission may have been stored by an earlier leader or through a call
	// that has ended.
	if err := s.group.ReadBarrier(ctx); err != nil {
		return &Response{Outcome: OutcomeUnknown, Reason: err.Error()}
	}
	if w, ok := s.group.State().Workflows.Get(spec.ID); ok {
		return c.resendResponse(w)
	}
	event.Log(s.logger, event.WorkflowRefused, slog.String("workflow", spec.ID), slog.String("request", req.RequestID),
		slog.String("queue", q.Name), slog.String("reason", d.Reason), slog.Int64("retry_after_ms", d.RetryAfterMillis),
		slog.Int64("start_ms", d.StartMillis), slog.Int64("critical_path_ms", sub.CriticalPathMillis),
		slog.Int64("useless_ms", sub.LateDeadline-now), slog.Float64("work_milli_cpu_ms", sub.Work),
		slog.Float64("rate_cpu", d.Rate), slog.Int64("age_ms", d.AgeMillis))
	s.metrics.refused.WithLabelValues(q.Name).Inc()
	s.metrics.retryAfter.Observe(float64(d.RetryAfterMillis) / 1000)
	return &Response{Outcome: OutcomeRefused, Reason: d.Reason, RetryAfterMillis: d.RetryAfterMillis}
}

// decide decides a submission from the backlog of its pool.
func (s *Service) decide(now int64, pool string, sub *admission.Submission) admission.Decision {
	backlogs := s.controller.backlogs.Load()
	if backlogs == nil {
		return admission.Decision{}
	}
	return admission.Decide(now, sub, (*backlogs)[pool])
}
