package operator

import (
	"context"
	"slices"

	gen "apricotrouter/gen/operator"
	"apricotrouter/state"
)

// defaultAuditLimit is the maximum number of audit records returned if the
// request sets no limit.
const defaultAuditLimit = 1000

// ListZones implements gen.Service.
func (s *Service) ListZones(context.Context) (*gen.ListZonesResult, error) {
	st, err := s.freshState()
	if err != nil {
		return nil, err
	}
	res := &gen.ListZonesResult{Zones: []*gen.ZoneInfo{}}
	byName := map[string]*gen.ZoneInfo{}
	for _, name := range zoneNames(st, s.group.Status()) {
		info := &gen.ZoneInfo{Name: name}
		if z, ok := st.Zones.Get(name); ok {
			info.Out, info.Version = z.Out, z.Version
		}
		byName[name] = info
		res.Zones = append(res.Zones, info)
	}
	for _, w := range st.Workers.All() {
		byName[w.Zone].Workers++
		for t := range st.TasksOnWorker(w.ID) {
			if t.Phase == state.PhaseRunning {
				byName[w.Zone].RunningTasks++
			}
		}
	}
	for _, e := range st.Endpoints.All() {
		byName[e.Zone].Endpoints++
	}
	return res, nil
}

// ListServices implements gen.Service.
func (s *Service) ListServices(context.Context) (*gen.ListServicesResult, error) {
	st, err := s.freshState()
	if err != nil {
		return nil, err
	}
	endpoints := map[string]int64{}
	for _, e := range st.Endpoints.All() {
		endpoints[e.Service]++
	}
	res := &gen.ListServicesResult{Services: []*gen.ServiceInfo{}}
	for name, svc := range st.Services.All() {
		_, running := countTasks(st, state.KindLatencyCritical, name)
		res.Services = append(res.Services, &gen.ServiceInfo{
			Spec:      serviceSpec(svc.Spec),
			Version:   svc.Version,
			Running:   running,
			Endpoints: endpoints[name],
		})
	}
	return res, nil
}

// countTasks returns the numbers of pending and running tasks of an owner.
func countTasks(st *state.State, kind state.TaskKind, owner string) (pending, running int64) {
	for t := range st.TasksOf(kind, owner) {
		switch t.Phase {
		case state.PhasePending:
			pending++
		case state.PhaseRunning:
			running++
		}
	}
	return pending, running
}

// ListTeams implements gen.Service.
func (s *Service) ListTeams(context.Context) (*gen.ListTeamsResult, error) {
	st, err := s.freshState()
	if err != nil {
		return nil, err
	}
	res := &gen.ListTeamsResult{Teams: []*gen.TeamInfo{}}
	for name, t := range st.Teams.All() {
		res.Teams = append(res.Teams, &gen.TeamInfo{
			Name:    name,
			Weight:  t.Weight,
			Quota:   apiResources(t.Quota),
			Version: t.Version,
			Used:    apiResources(st.TeamUsed(name)),
		})
	}
	return res, nil
}

// ListJobs implements gen.Service.
func (s *Service) ListJobs(_ context.Context, p *gen.ListJobsPayload) (*gen.ListJobsResult, error) {
	st, err := s.freshState()
	if err != nil {
		return nil, err
	}
	phase := state.JobPhase(deref(p.Phase))
	res := &gen.ListJobsResult{Jobs: []*gen.JobInfo{}}
	for id, j := range st.Jobs.All() {
		if phase != "" && j.Phase != phase {
			continue
		}
		pending, running := countTasks(st, state.KindBatch, id)
		res.Jobs = append(res.Jobs, jobInfo(j, pending, running))
	}
	return res, nil
}

// ShowJob implements gen.Service.
func (s *Service) ShowJob(_ context.Context, p *gen.ShowJobPayload) (*gen.ShowJobResult, error) {
	st, err := s.freshState()
	if err != nil {
		return nil, err
	}
	j, ok := st.Jobs.Get(p.ID)
	if !ok {
		return nil, notFound("job/" + p.ID)
	}
	pending, running := countTasks(st, state.KindBatch, p.ID)
	res := &gen.ShowJobResult{Job: jobInfo(j, pending, running), Tasks: []*gen.TaskInfo{}}
	for t := range st.TasksOf(state.KindBatch, p.ID) {
		res.Tasks = append(res.Tasks, taskInfo(t))
	}
	return res, nil
}

// ListWorkers implements gen.Service.
func (s *Service) ListWorkers(context.Context) (*gen.ListWorkersResult, error) {
	st, err := s.freshState()
	if err != nil {
		return nil, err
	}
	res := &gen.ListWorkersResult{Workers: []*gen.WorkerInfo{}}
	for _, w := range st.Workers.All() {
		res.Workers = append(res.Workers, workerInfo(st, w))
	}
	return res, nil
}

// ShowWorker implements gen.Service.
func (s *Service) ShowWorker(_ context.Context, p *gen.ShowWorkerPayload) (*gen.WorkerInfo, error) {
	st, err := s.freshState()
	if err != nil {
		return nil, err
	}
	w, ok := st.Workers.Get(p.ID)
	if !ok {
		return nil, notFound("worker/" + p.ID)
	}
	return workerInfo(st, w), nil
}

// ListEndpoints implements gen.Service.
func (s *Service) ListEndpoints(context.Context) (*gen.ListEndpointsResult, error) {
	st, err := s.freshState()
	if err != nil {
		return nil, err
	}
	res := &gen.ListEndpointsResult{Endpoints: []*gen.EndpointInfo{}}
	for id, e := range st.Endpoints.All() {
		res.Endpoints = append(res.Endpoints, &gen.EndpointInfo{
			ID:       id,
			Service:  e.Service,
			Address:  e.Address,
			Zone:     e.Zone,
			Slots:    e.Slots,
			Draining: e.Draining,
			Owner:    ownerOf(st, state.AssignEndpoint, id),
		})
	}
	return res, nil
}

// Status implements gen.Service. It does not require a fresh state, because
// operators use it to find out why an instance is not fresh.
func (s *Service) Status(context.Context) (*gen.StatusResult, error) {
	st := s.group.Status()
	res := &gen.StatusResult{
		Instance:     st.Instance,
		Leader:       st.Leader,
		Term:         st.Term,
		AppliedIndex: st.AppliedIndex,
		Fresh:        st.Fresh,
		GroupID:      st.GroupID,
		Instances:    []*gen.InstanceInfo{},
	}
	for _, i := range s.allInstances(st) {
		lastContactMs := int64(-1)
		if i.LastContact >= 0 {
			lastContactMs = i.LastContact.Milliseconds()
		}
		res.Instances = append(res.Instances, &gen.InstanceInfo{
			ID:            i.ID,
			Zone:          i.Zone,
			PeerAddress:   i.PeerAddress,
			Role:          i.Role,
			LastContactMs: lastContactMs,
		})
	}
	return res, nil
}

// allInstances returns the instances in st and those that are only in the
// replicated state: the status of an instance that is not the leader does not
// list the learners.
func (s *Service) allInstances(st Status) []InstanceStatus {
	all := slices.Clone(st.Instances)
	for id, instance := range s.log.State().Instances.All() {
		listed := slices.ContainsFunc(st.Instances, func(known InstanceStatus) bool { return known.ID == id })
		if !listed {
			all = append(all, InstanceStatus{ID: id, Zone: instance.Zone, PeerAddress: instance.PeerAddress, Role: RoleLearner, LastContact: LastContactUnknown})
		}
	}
	return all
}

// Audit implements gen.Service.
func (s *Service) Audit(_ context.Context, p *gen.AuditPayload) (*gen.AuditResult, error) {
	st, err := s.freshState()
	if err != nil {
		return nil, err
	}
	limit := int(deref(p.Limit))
	if limit <= 0 {
		limit = defaultAuditLimit
	}
	res := &gen.AuditResult{Records: []*gen.AuditRecord{}}
	for _, r := range filterAudit(st, deref(p.Object), deref(p.SinceMs), limit) {
		res.Records = append(res.Records, auditRecord(r))
	}
	return res, nil
}

// filterAudit returns the newest limit records of an object that were written
// at or after since, a Unix time in milliseconds, oldest first. An empty object
// matches all records.
func filterAudit(st *state.State, object string, since int64, limit int) []*state.AuditRecord {
	var matches []*state.AuditRecord
	for _, r := range st.Audit.All() {
		if r.Time >= since && (object == "" || r.Object == object) {
			matches = append(matches, r)
		}
	}
	return slices.Clone(matches[max(len(matches)-limit, 0):])
}

func auditRecord(r *state.AuditRecord) *gen.AuditRecord {
	return &gen.AuditRecord{
		Sequence:   r.Sequence,
		TimeMs:     r.Time,
		Actor:      r.Actor,
		RequestID:  r.RequestID,
		Action:     r.Action,
		Object:     r.Object,
		OldVersion: r.OldVersion,
		NewVersion: r.NewVersion,
		Outcome:    r.Outcome,
	}
}
