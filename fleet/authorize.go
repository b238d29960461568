package fleet

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"apricotrouter/event"
	"apricotrouter/state"
	"apricotrouter/tenant"
)

// caller is who makes a client call, according to the configuration.
type caller struct {
	// identifies is set if the configuration has tenants. Otherwise keys are
	// ignored, and every caller may access every workflow.
	identifies bool
	tenant     string // name; empty if the caller is not identified
}

// mayAccess reports whether the caller may read and cancel the workflow: its own
// tenant submitted it, or a caller that was not identified.
func (c caller) mayAccess(w *state.Workflow) bool {
	return !c.identifies || w.Spec.Tenant == "" || w.Spec.Tenant == c.tenant
}

// resendResponse returns the response to a submission whose id is stored. A
// caller that is not identified may be the tenant itself, after its key was
// removed; it learns only that the id is stored.
func (c caller) resendResponse(w *state.Workflow) *Response {
	if c.tenant != "" && !c.mayAccess(w) {
		return &Response{Outcome: OutcomeInvalid, Reason: "the id of the workflow is in use"}
	}
	return &Response{Outcome: OutcomeDone}
}

// tenantTable is the table of the tenants of a configuration.
type tenantTable struct {
	config *state.QueueConfig
	table  *tenant.Table
	labels map[string]bool // tenants with metrics of their own
}

// tableOf returns the tenants of a configuration.
func (s *Service) tableOf(c *state.QueueConfig) *tenant.Table {
	if t := s.tenants.Load(); t != nil && t.config == c {
		return t.table
	}
	t := &tenantTable{config: c, table: tenant.NewTable(c)}
	s.tenants.Store(t)
	return t.table
}

// authorize returns the state that a client call uses and the caller, or a
// response if the call must not be carried out. It checks a key that is unknown
// again after a read barrier, so that a leader that was frozen does not refuse a
// key of a newer configuration.
func (s *Service) authorize(ctx context.Context, req *Request) (*state.State, caller, *Response) {
	st := s.group.State()
	c, ok := s.identify(st.Queues, req)
	if !ok && st.Queues != nil {
		if err := s.group.ReadBarrier(ctx); err != nil {
			outcome := OutcomeUnavailable
			if req.Op == OpSubmit || req.Op == OpCancel {
				outcome = OutcomeUnknown // an earlier copy may have reached another leader
			}
			return nil, caller{}, &Response{Outcome: outcome, Reason: err.Error()}
		}
		st = s.group.State()
		c, ok = s.identify(st.Queues, req)
	}
	switch {
	case st.Queues == nil:
		return nil, caller{}, &Response{Outcome: OutcomeUnavailable, Reason: "no configuration yet"}
	case !ok:
		s.unauthorized.log(s, st.Queues.Version, req)
		return nil, caller{}, &Response{Outcome: OutcomeUnauthorized, Reason: "the call needs the key of a tenant"}
	}
	return st, c, nil
}

// unauthorizedLogInterval is the minimum interval between log entries about calls
// without the key of a tenant. Clients may make any number of them.
const unauthorizedLogInterval = time.Second

// unauthorizedLog counts the calls without the key of a tenant since the last
// log entry.
type unauthorizedLog struct {
	mu    sync.Mutex
	calls int
	next  time.Time // earliest time of the next entry
}

func (l *unauthorizedLog) log(s *Service, version uint64, req *Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	now := s.controller.opts.Clock.Now()
	if now.Before(l.next) {
		return
	}
	event.Log(s.logger, event.CallUnauthorized, slog.Int("calls", l.calls), slog.String("operation", req.Op.String()),
		slog.String("host", clip(req.Host)), slog.String("path", clip(req.Path)), slog.Bool("key", len(req.Key) > 0),
		slog.Uint64("config_version", version))
	l.calls, l.next = 0, now.Add(unauthorizedLogInterval)
}

// clip bounds a text that a client sent, for logs.
func clip(s string) string { return s[:min(len(s), maxNameBytes)] }

// identify returns the caller, and false if the call lacks the key of a tenant
// and its queue does not permit that.
func (s *Service) identify(cfg *state.QueueConfig, req *Request) (caller, bool) {
	if cfg == nil {
		return caller{}, false
	}
	if len(cfg.Tenants) == 0 {
		return caller{}, true
	}
	if t := s.tableOf(cfg).ByKey(req.Key); t != nil {
		return caller{identifies: true, tenant: t.Name}, true
	}
	q, _ := route(cfg, req.Host, req.Path)
	return caller{identifies: true}, q != nil && q.Anonymous
}
