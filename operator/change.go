package operator

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"

	"apricotrouter/event"
	gen "apricotrouter/gen/operator"
	"apricotrouter/replica"
	"apricotrouter/state"
)

// Init implements gen.Service.
func (s *Service) Init(ctx context.Context, _ *gen.InitPayload) (*gen.InitResult, error) {
	ctx, cancel := context.WithTimeout(ctx, ProposeTimeout)
	defer cancel()
	id, voters, err := s.group.Init(ctx)
	if err != nil {
		event.Log(s.logger, event.OperatorUnavailable, slog.String("method", "init"), slog.String("error", err.Error()))
		return nil, unavailable(fmt.Errorf("the control group is not confirmed: check that all initial voters run, then repeat `apricotrouter init`: %w", err))
	}
	event.Log(s.logger, event.OperatorGroupFormed, slog.String("group", id))
	return &gen.InitResult{GroupID: id, Voters: voters}, nil
}

// SetZone implements gen.Service.
func (s *Service) SetZone(ctx context.Context, p *gen.SetZonePayload) (*gen.ChangeResult, error) {
	if !s.log.Fresh() {
		return nil, s.notFreshError("change something")
	}
	if err := s.validateZone(p.Name); err != nil {
		return nil, err
	}
	return s.propose(ctx, p.RequestID, p.Actor, state.SetZone{
		Name:            p.Name,
		ExpectedVersion: deref(p.ExpectedVersion),
		Out:             p.Out,
	})
}

// validateZone returns an error for an availability zone that zoneNames does
// not list. Without this check a misspelt name would be accepted, and the
// intended zone would remain unchanged.
func (s *Service) validateZone(name string) error {
	zones := zoneNames(s.log.State(), s.group.Status())
	for _, z := range zones {
		if z == name {
			return nil
		}
	}
	return gen.MakeNotFound(fmt.Errorf("availability zone %q is not known; known are %s", name, strings.Join(zones, ", ")))
}

// ApplyService implements gen.Service.
func (s *Service) ApplyService(ctx context.Context, p *gen.ApplyServicePayload) (*gen.ChangeResult, error) {
	return s.propose(ctx, p.RequestID, p.Actor, state.ApplyService{
		ExpectedVersion: deref(p.ExpectedVersion),
		Spec: state.ServiceSpec{
			Name:            p.Spec.Name,
			Host:            deref(p.Spec.Host),
			PathPrefix:      deref(p.Spec.PathPrefix),
			Replicas:        p.Spec.Replicas,
			Resources:       stateResources(p.Spec.Resources),
			Slots:           p.Spec.Slots,
			ConnectionLimit: p.Spec.ConnectionLimit,
			Team:            deref(p.Spec.Team),
		},
	})
}

// DeleteService implements gen.Service.
func (s *Service) DeleteService(ctx context.Context, p *gen.DeleteServicePayload) (*gen.ChangeResult, error) {
	return s.propose(ctx, p.RequestID, p.Actor, state.DeleteService{
		Name:            p.Name,
		ExpectedVersion: deref(p.ExpectedVersion),
	})
}

// ApplyTeam implements gen.Service.
func (s *Service) ApplyTeam(ctx context.Context, p *gen.ApplyTeamPayload) (*gen.ChangeResult, error) {
	return s.propose(ctx, p.RequestID, p.Actor, state.ApplyTeam{
		Name:            p.Name,
		ExpectedVersion: deref(p.ExpectedVersion),
		Weight:          p.Weight,
		Quota:           stateResources(p.Quota),
	})
}

// SubmitJob implements gen.Service.
func (s *Service) SubmitJob(ctx context.Context, p *gen.SubmitJobPayload) (*gen.ChangeResult, error) {
	return s.propose(ctx, p.RequestID, p.Actor, state.SubmitJob{Spec: state.JobSpec{
		ID:              p.Spec.ID,
		Team:            deref(p.Spec.Team),
		Class:           p.Spec.Class,
		Priority:        state.Priority(p.Spec.Priority),
		Tasks:           p.Spec.Tasks,
		Resources:       stateResources(p.Spec.Resources),
		ExpectedSeconds: deref(p.Spec.ExpectedSeconds),
	}})
}

// CancelJobs implements gen.Service.
func (s *Service) CancelJobs(ctx context.Context, p *gen.CancelJobsPayload) (*gen.ChangeResult, error) {
	if len(p.Ids) == 0 {
		return nil, gen.MakeInvalid(errors.New("no job is named"))
	}
	return s.propose(ctx, p.RequestID, p.Actor, state.CancelJobs{IDs: p.Ids})
}

// EvictTask implements gen.Service.
func (s *Service) EvictTask(ctx context.Context, p *gen.EvictTaskPayload) (*gen.ChangeResult, error) {
	return s.propose(ctx, p.RequestID, p.Actor, state.EvictTask{
		Task:        p.Task,
		Incarnation: deref(p.Incarnation),
		Reason:      "evicted by operator",
	})
}

// RegisterWorker implements gen.Service.
func (s *Service) RegisterWorker(ctx context.Context, p *gen.RegisterWorkerPayload) (*gen.ChangeResult, error) {
	if err := validateAddress(p.Address); err != nil {
		return nil, gen.MakeInvalid(err)
	}
	return s.propose(ctx, p.RequestID, p.Actor, state.RegisterWorker{
		ID:              p.ID,
		ExpectedVersion: deref(p.ExpectedVersion),
		Zone:            p.Zone,
		Rack:            p.Rack,
		Address:         p.Address,
		Capacity:        stateResources(p.Capacity),
	})
}

// propose proposes a command with the given body to the replicated log and
// converts its result.
func (s *Service) propose(ctx context.Context, requestID string, statedActor *string, body state.Body) (*gen.ChangeResult, error) {
	if !s.log.Fresh() {
		return nil, s.notFreshError("change something")
	}
	actor := actorName(ctx, deref(statedActor))
	attrs := []slog.Attr{
		slog.String("request_id", requestID),
		slog.String("actor", actor),
		slog.String("action", fmt.Sprintf("%T", body)),
	}
	ctx, cancel := context.WithTimeout(ctx, ProposeTimeout)
	defer cancel()
	r, err := s.log.Propose(ctx, state.NewRequest(requestID, actor, body))
	if errors.Is(err, replica.ErrTooLarge) {
		return nil, gen.MakeInvalid(fmt.Errorf("the request was not sent on: %w", err))
	}
	if err != nil {
		event.Log(s.logger, event.OperatorUnavailable, append(attrs, slog.String("error", err.Error()))...)
		return nil, outcomeUnknown(requestID, err)
	}
	attrs = append(attrs, slog.String("object", r.Object), slog.Uint64("index", r.Index))
	if err := resultError(r); err != nil {
		event.Log(s.logger, event.OperatorRefused, append(attrs, slog.String("code", string(r.Code)), slog.String("reason", r.Message))...)
		return nil, err
	}
	event.Log(s.logger, event.OperatorChanged, append(attrs, slog.Uint64("version", r.Version))...)
	return &gen.ChangeResult{Version: r.Version, Index: r.Index}, nil
}
