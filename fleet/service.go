package fleet

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"regexp"
	"strings"
	"sync/atomic"

	"apricotrouter/event"
	"apricotrouter/replica"
	"apricotrouter/state"
	"apricotrouter/transport"
)

// Group is the interface of the control group that the service uses.
type Group interface {
	replica.Log
	// ReadBarrier returns once this instance is confirmed as the leader and has
	// applied every change that was committed before the call.
	ReadBarrier(ctx context.Context) error
	// Members returns the instances of the control group's voters.
	Members() []string
}

// Service handles calls on the leader.
type Service struct {
	group      Group
	controller *Controller
	logger     *slog.Logger
	metrics    *metrics
	// tenants is the table of the last configuration that was used.
	tenants      atomic.Pointer[tenantTable]
	unauthorized unauthorizedLog
}

// NewService registers the handler of calls from other instances.
func NewService(g Group, c *Controller, mux *transport.Mux, logger *slog.Logger) *Service {
	s := &Service{group: g, controller: c, logger: logger, metrics: c.metrics}
	transport.OnCall(mux, transport.KindFleet, func(ctx context.Context, from string, req *Request) (*Response, error) {
		return s.handle(ctx, from, req), nil
	})
	return s
}

func (s *Service) handle(ctx context.Context, from string, req *Request) *Response {
	if int(req.Op) >= len(opNames) || req.Op == 0 {
		return &Response{Outcome: OutcomeInvalid, Reason: "unknown operation"}
	}
	l := s.group.Leadership()
	if !l.Self {
		resp := &Response{Outcome: OutcomeNotLeader, Members: s.group.Members()}
		if l.Leader != from {
			resp.Leader = l.Leader
		}
		return resp
	}
	ctx, leave := transport.UntilCallerLeaves(ctx)
	defer leave()
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	resp := s.execute(ctx, req)
	s.metrics.calls.WithLabelValues(req.Op.String(), resp.Outcome.String()).Inc()
	return resp
}

func (s *Service) execute(ctx context.Context, req *Request) *Response {
	switch req.Op {
	case OpPing:
		return &Response{Outcome: OutcomeDone, Members: s.group.Members()}
	case OpSubmit, OpStatus, OpCancel:
		return s.workflow(ctx, req)
	case OpSetQueues:
		return s.setQueues(ctx, req.Queues)
	case OpReadQueues:
		return s.readQueues(ctx)
	case OpSetZone:
		return s.setEvacuation(ctx, req.Zone, req.Evacuated)
	case OpHeartbeat:
		return s.heartbeat(ctx, req.WorkerHeartbeat)
	case OpWorkerLeft:
		if req.WorkerHeartbeat == nil || req.WorkerHeartbeat.Worker.ID == "" {
			return &Response{Outcome: OutcomeInvalid, Reason: "a notice of a worker names its id"}
		}
		s.controller.post(func() {
			if s.controller.active {
				s.controller.workerLeft(req.WorkerHeartbeat.Worker.ID)
			}
		})
		return &Response{Outcome: OutcomeDone}
	}
	return &Response{Outcome: OutcomeInvalid, Reason: "operation " + req.Op.String() + " is not supported"}
}

// WorkflowIDDigits is the number of digits of a workflow's id.
const WorkflowIDDigits = 16

// idPattern is the format of workflow ids, which clients choose.
var idPattern = regexp.MustCompile(fmt.Sprintf(`^[0-9a-f]{%d}$`, WorkflowIDDigits))

// route returns the queue with the longest matching prefix, and the rest of the
// path.
func route(c *state.QueueConfig, host, path string) (*state.WorkflowQueue, string) {
	var best *state.WorkflowQueue
	for i := range c.Queues {
		q := &c.Queues[i]
		if strings.EqualFold(q.Host, host) && strings.HasPrefix(path, q.PathPrefix) &&
			(best == nil || len(q.PathPrefix) > len(best.PathPrefix)) {
			best = q
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, path[len(best.PathPrefix):]
}

func (s *Service) workflow(ctx context.Context, req *Request) *Response {
	st, c, resp := s.authorize(ctx, req)
	if resp != nil {
		return resp
	}
	resp = s.workflowCall(ctx, st, c, req)
	// While the process was frozen, another leader may have removed the key.
	if c.identifies && req.Op == OpStatus && !s.group.Leadership().Self {
		return &Response{Outcome: OutcomeNotLeader, Members: s.group.Members()}
	}
	return resp
}

func (s *Service) workflowCall(ctx context.Context, st *state.State, c caller, req *Request) *Response {
	q, id := route(st.Queues, req.Host, req.Path)
	if q == nil {
		return &Response{Outcome: OutcomeNotFound, Reason: "no queue for this host and path"}
	}
	if id == "" && req.Op == OpStatus {
		pending := s.pending(st, q.Name)
		return &Response{Outcome: OutcomeDone, Pending: &pending}
	}
	if !idPattern.MatchString(id) {
		return &Response{Outcome: OutcomeInvalid, Reason: "the id of a workflow has 16 hexadecimal digits"}
	}
	switch req.Op {
	case OpSubmit:
		return s.submit(ctx, st, c, q, id, req)
	case OpCancel:
		return s.cancel(ctx, c, id)
	}
	w, err := s.find(ctx, st, id)
	switch {
	case err != nil:
		return &Response{Outcome: OutcomeUnavailable, Reason: err.Error()}
	case w == nil || !c.mayAccess(w):
		return &Response{Outcome: OutcomeGone}
	}
	return &Response{Outcome: OutcomeDone, Phase: w.Phase, Reason: w.Reason}
}

// find returns the workflow with the id, or nil if it certainly does not exist.
func (s *Service) find(ctx context.Context, st *state.State, id string) (*state.Workflow, error) {
	if w, ok := st.Workflows.Get(id); ok {
		return w, nil
	}
	if err := s.group.ReadBarrier(ctx); err != nil {
		return nil, err
	}
	w, _ := s.group.State().Workflows.Get(id)
	return w, nil
}

// pending counts the workflows of a queue of which no task has started. A start
// that was recorded may not have reached its worker.
func (s *Service) pending(st *state.State, queue string) int {
	n := 0
	waiting := s.controller.waitingWorkflows.Load()
	for id := range st.OpenWorkflows() {
		w, ok := st.Workflows.Get(id)
		if ok && w.Spec.Queue == queue && (w.Phase == state.WorkflowQueued || waiting != nil && (*waiting)[id]) {
			n++
		}
	}
	return n
}

func (s *Service) submit(ctx context.Context, st *state.State, c caller, q *state.WorkflowQueue, id string, req *Request) *Response {
	if w, ok := st.Workflows.Get(id); ok {
		return c.resendResponse(w)
	}
	if req.Workflow == nil {
		return &Response{Outcome: OutcomeInvalid, Reason: "no workflow"}
	}
	spec := *req.Workflow
	spec.ID, spec.Queue, spec.Pool, spec.Priority = id, q.Name, q.Pool, q.Priority
	spec.MaxAttempts, spec.MaxSlowdown, spec.ObjectiveMillis = q.MaxAttempts, q.MaxSlowdown, q.ObjectiveMillis
	spec.Tenant = c.tenant
	if err := CheckWorkflow(&spec); err != nil {
		return &Response{Outcome: OutcomeInvalid, Reason: err.Error()}
	}
	if resp := s.refuse(ctx, q, &spec, req, c); resp != nil {
		return resp
	}
	if resp := s.reserveStorage(ctx, q, &spec, req, c); resp != nil {
		return resp
	}
	result, err := s.group.Propose(ctx, state.NewCommand(state.SubmitWorkflow{Spec: spec}))
	if err != nil {
		s.releaseStorage(&spec, false)
		return &Response{Outcome: OutcomeUnknown, Reason: err.Error()}
	}
	if result.Code == state.CodeOK {
		defer s.countSubmitted(&spec)
	} else {
		s.releaseStorage(&spec, true)
	}
	if result.Code == state.CodeRefused {
		event.Log(s.logger, event.WorkflowKeptOut, slog.String("workflow", id), slog.String("request", req.RequestID),
			slog.String("queue", q.Name), slog.String("reason", result.Message), slog.Uint64("until", result.ObjectVersion))
		return s.refusedCopy(result)
	}
	if result.Code != state.CodeOK {
		return &Response{Outcome: OutcomeInvalid, Reason: result.Message}
	}
	if w, ok := s.group.State().Workflows.Get(id); ok && w.Spec.Tenant != c.tenant { // submitted by another tenant meanwhile
		return c.resendResponse(w)
	}
	event.Log(s.logger, event.WorkflowAccepted, slog.String("workflow", id), slog.String("request", req.RequestID),
		slog.String("queue", q.Name), slog.String("tenant", c.tenant), slog.Uint64("config_version", st.Queues.Version), slog.Int("tasks", spec.TasksPerOccurrence()),
		slog.Int64("work_milli_cpu_ms", totalWork(&spec)), slog.Int64("largest_milli_cpu", largestTaskCPU(&spec)),
		slog.Int64("objective_ms", objectiveMillis(&spec)), slog.Uint64("index", result.Index))
	return &Response{Outcome: OutcomeDone}
}

// countSubmitted notifies the controller of a stored submission, which replaces
// the reservation of its memory.
func (s *Service) countSubmitted(spec *state.WorkflowSpec) {
	s.controller.post(func() {
		if s.controller.active {
			s.controller.syncWorkflow(s.group.State(), spec.ID)
		}
		s.releaseStorage(spec, true)
	})
}

// resync notifies the controller of a change of a workflow.
func (s *Service) resync(id string) {
	s.controller.post(func() {
		if s.controller.active {
			s.controller.syncWorkflow(s.group.State(), id)
		}
	})
}

const (
	// cancellationMillis is how long a submission that was cancelled before it
	// arrived is not stored. A copy may lie in the socket of an instance that stands
	// still, and is then tried there for MaxCallMillis at most.
	cancellationMillis = 2 * MaxCallMillis
	// cancellationRetryMillis is the delay before a cancellation that can't be
	// recorded is sent again.
	cancellationRetryMillis = 1000
)

func (s *Service) cancel(ctx context.Context, c caller, id string) *Response {
	if c.identifies {
		w, err := s.find(ctx, s.group.State(), id)
		switch {
		case err != nil:
			return &Response{Outcome: OutcomeUnavailable, Reason: err.Error()}
		case w != nil && !c.mayAccess(w):
			return &Response{Outcome: OutcomeGone}
		}
	}
	result, err := s.group.Propose(ctx, state.NewCommand(state.CancelWorkflow{
		ID: id, ForMillis: cancellationMillis, Tenant: c.tenant, OnlyOwn: c.identifies,
	}))
	switch {
	case err != nil:
		return &Response{Outcome: OutcomeUnknown, Reason: err.Error()}
	case result.Code == state.CodeNotFound:
		return &Response{Outcome: OutcomeGone}
	case result.Code == state.CodeConflict:
		s.metrics.cancellationsRefused.Inc()
		return &Response{Outcome: OutcomeUnavailable, Reason: result.Message, RetryAfterMillis: cancellationRetryMillis}
	}
	s.resync(id)
	return &Response{Outcome: OutcomeDone}
}

func (s *Service) setQueues(ctx context.Context, cfg *state.QueueConfig) *Response {
	if cfg == nil {
		return &Response{Outcome: OutcomeInvalid, Reason: "no configuration"}
	}
	if err := CheckQueues(cfg); err != nil {
		return &Response{Outcome: OutcomeInvalid, Reason: err.Error()}
	}
	result, err := s.group.Propose(ctx, state.NewCommand(state.SetQueues{Config: *cfg}))
	if errors.Is(err, replica.ErrTooLarge) {
		return &Response{Outcome: OutcomeInvalid, Reason: "the configuration is too large"}
	}
	if err != nil {
		return &Response{Outcome: OutcomeUnknown, Reason: err.Error()}
	}
	event.Log(s.logger, event.QueuesChanged, slog.Uint64("version", cfg.Version), slog.String("code", string(result.Code)),
		slog.Uint64("current", max(result.ObjectVersion, cfg.Version)), slog.Int("queues", len(cfg.Queues)), slog.Int("tenants", len(cfg.Tenants)))
	s.controller.post(func() {
		if s.controller.active {
			s.controller.followTenants(s.group.State())
		}
	})
	return &Response{Outcome: OutcomeDone}
}

func (s *Service) readQueues(ctx context.Context) *Response {
	if err := s.group.ReadBarrier(ctx); err != nil {
		return &Response{Outcome: OutcomeUnavailable, Reason: err.Error()}
	}
	cfg := s.group.State().Queues
	if cfg == nil {
		return &Response{Outcome: OutcomeUnavailable, Reason: "no configuration yet"}
	}
	return &Response{Outcome: OutcomeDone, Source: cfg.Source}
}

func (s *Service) setEvacuation(ctx context.Context, zone string, evacuated bool) *Response {
	_, err := s.group.Propose(ctx, state.NewCommand(state.SetEvacuation{Zone: zone, Evacuate: evacuated}))
	if err != nil {
		return &Response{Outcome: OutcomeUnknown, Reason: err.Error()}
	}
	event.Log(s.logger, event.ZoneEvacuation, slog.String("zone", zone), slog.Bool("out", evacuated))
	return &Response{Outcome: OutcomeDone}
}

// checkNewWorker returns an error if an incarnation that is not registered, or
// was registered in another pool, has no capacity, or belongs to a pool that
// neither the configuration nor an open workflow names. It would replace the
// registered one.
func checkNewWorker(st *state.State, w *state.PoolWorker) error {
	if old, ok := st.PoolWorkers.Get(w.ID); ok && old.StartedAt == w.StartedAt && old.Pool == w.Pool {
		return nil
	}
	if w.Capacity == (state.Resources{}) {
		return fmt.Errorf("a new worker has no capacity")
	}
	if st.Queues == nil || st.Queues.Pool(w.Pool) != nil {
		return nil
	}
	for id := range st.OpenWorkflows() {
		if f, ok := st.Workflows.Get(id); ok && f.Spec.Pool == w.Pool {
			return nil
		}
	}
	return fmt.Errorf("no pool is called %.64q", w.Pool)
}

func (s *Service) heartbeat(ctx context.Context, b *Heartbeat) *Response {
	if b == nil {
		return &Response{Outcome: OutcomeInvalid, Reason: "no heartbeat"}
	}
	if err := CheckHeartbeat(b, s.controller.opts.Clock.Now().UnixMilli()); err != nil {
		return &Response{Outcome: OutcomeInvalid, Reason: err.Error()}
	}
	if err := checkNewWorker(s.group.State(), &b.Worker); err != nil {
		return &Response{Outcome: OutcomeInvalid, Reason: err.Error()}
	}
	outcome := make(chan Outcome, 1)
	s.controller.post(func() {
		if !s.controller.active {
			outcome <- OutcomeNotLeader
			return
		}
		s.controller.heartbeat(b, func(o Outcome) { outcome <- o })
	})
	select {
	case o := <-outcome:
		return &Response{Outcome: o}
	case <-ctx.Done():
		return &Response{Outcome: OutcomeUnknown, Reason: ctx.Err().Error()}
	}
}
