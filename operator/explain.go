package operator

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	gen "apricotrouter/gen/operator"
	"apricotrouter/state"
)

// explainAuditRecords is the maximum number of audit records at the end of an
// explanation.
const explainAuditRecords = 5

// explainKinds lists the kinds of objects that Explain supports.
const explainKinds = "task, job, service, worker, endpoint, zone, team or request"

// explanation collects the lines of text that explain one object.
type explanation struct {
	st    *state.State
	now   time.Time
	lines []string
}

func (e *explanation) add(format string, args ...any) {
	e.lines = append(e.lines, fmt.Sprintf(format, args...))
}

// elapsedSince returns the time since a Unix time in milliseconds, rounded to
// the nearest second.
func (e *explanation) elapsedSince(millis int64) time.Duration {
	return e.now.Sub(time.UnixMilli(millis)).Round(time.Second)
}

// Explain implements gen.Service.
func (s *Service) Explain(_ context.Context, p *gen.ExplainPayload) (*gen.ExplainResult, error) {
	kind, id, ok := strings.Cut(p.Object, "/")
	if !ok || id == "" {
		return nil, gen.MakeNotFound(fmt.Errorf("%q names no object: give KIND/ID, where KIND is %s", p.Object, explainKinds))
	}
	st, err := s.freshState()
	if err != nil {
		return nil, err
	}
	e := &explanation{st: st, now: s.clock.Now()}
	if err := e.explain(kind, id); err != nil {
		return nil, err
	}
	for _, r := range filterAudit(st, p.Object, 0, explainAuditRecords) {
		e.add("audit: %s ago %s by %s, version %d to %d, outcome %s (request %s)",
			e.elapsedSince(r.Time), r.Action, actorOrDefault(r.Actor), r.OldVersion, r.NewVersion, r.Outcome, r.RequestID)
	}
	return &gen.ExplainResult{Lines: e.lines}, nil
}

func actorOrDefault(actor string) string {
	if actor == "" {
		return "an unnamed operator"
	}
	return actor
}

func (e *explanation) explain(kind, id string) error {
	explainers := map[string]func(string) bool{
		"task":     e.task,
		"job":      e.job,
		"service":  e.service,
		"worker":   e.worker,
		"endpoint": e.endpoint,
		"zone":     e.zone,
		"team":     e.team,
		"request":  e.request,
	}
	explain, ok := explainers[kind]
	if !ok {
		return gen.MakeNotFound(fmt.Errorf("kind %q is not known: it is one of %s", kind, explainKinds))
	}
	if explain(id) {
		return nil
	}
	if kind == "request" {
		return gen.MakeNotFound(errors.New("no result is kept for request " + id + ": it was not committed, or its result is older than the retention of 24 h"))
	}
	return notFound(kind + "/" + id)
}

func (e *explanation) job(id string) bool {
	j, ok := e.st.Jobs.Get(id)
	if !ok {
		return false
	}
	e.add("job/%s is %s, submitted %s ago, priority %s, class %s, version %d", id, j.Phase, e.elapsedSince(j.SubmittedAt), j.Spec.Priority, j.Spec.Class, j.Version)
	if j.Reason != "" {
		e.add("reason: %s", j.Reason)
	}
	pending, running := countTasks(e.st, state.KindBatch, id)
	e.add("of %d tasks %d are pending, %d running, %d completed, %d failed, %d cancelled", j.Spec.Tasks, pending, running, j.Completed, j.Failed, j.Cancelled)
	for t := range e.st.TasksOf(state.KindBatch, id) {
		e.failures(t)
	}
	if pending > 0 {
		e.eligibleWorkers(j.Spec.Resources, j.Spec.Team)
	}
	return true
}

func (e *explanation) service(name string) bool {
	svc, ok := e.st.Services.Get(name)
	if !ok {
		return false
	}
	pending, running := countTasks(e.st, state.KindLatencyCritical, name)
	e.add("service/%s asks for %d replicas: %d run, %d are pending; version %d", name, svc.Spec.Replicas, running, pending, svc.Version)
	var endpoints, draining int
	for _, ep := range e.st.Endpoints.All() {
		if ep.Service == name {
			endpoints++
		}
		if ep.Service == name && ep.Draining {
			draining++
		}
	}
	e.add("%d endpoints announce themselves, %d of them are draining", endpoints, draining)
	if endpoints == 0 {
		e.add("requests are refused until an endpoint announces itself for this service")
	}
	for t := range e.st.TasksOf(state.KindLatencyCritical, name) {
		e.failures(t)
	}
	if pending > 0 {
		e.eligibleWorkers(svc.Spec.Resources, "")
	}
	return true
}

func (e *explanation) worker(id string) bool {
	w, ok := e.st.Workers.Get(id)
	if !ok {
		return false
	}
	e.add("worker/%s at %s in zone %s, rack %s is %s, version %d", id, w.Address, w.Zone, w.Rack, w.Condition, w.Version)
	e.add("its tasks hold %s of %s", formatResources(w.Reserved), formatResources(w.Capacity))
	e.owner(state.AssignWorker, id)
	switch w.Condition {
	case state.WorkerLost:
		e.add("its owner stopped renewing its lease under fence %d; its tasks are requeued when the lease is guaranteed to have ended", w.LostFence)
	case state.WorkerQuarantined:
		e.add("quarantined %s ago: it takes one task at a time until one succeeds", e.elapsedSince(w.QuarantinedAt))
	}
	if len(w.FailedOwners) > 0 {
		e.add("since its last success, tasks of these jobs or services failed here: %s", strings.Join(w.FailedOwners, ", "))
	}
	if e.st.IsZoneDrained(w.Zone) {
		e.add("zone %s is out: nothing starts here", w.Zone)
	}
	for t := range e.st.TasksOnWorker(id) {
		e.add("task/%s is %s, incarnation %d", t.ID, t.Phase, t.Incarnation)
	}
	return true
}

func (e *explanation) endpoint(id string) bool {
	record, ok := e.st.Endpoints.Get(id)
	if !ok {
		return false
	}
	e.add("endpoint/%s at %s in zone %s serves %s with %d slots and %d connections", id, record.Address, record.Zone, record.Service, record.Slots, record.ConnectionLimit)
	e.owner(state.AssignEndpoint, id)
	if record.Draining {
		e.add("it announced that it is leaving: it gets no new request")
	}
	if _, ok := e.st.Services.Get(record.Service); !ok {
		e.add("service %s does not exist: no request is sent to it", record.Service)
	}
	return true
}

// owner adds which entry instance owns the object.
func (e *explanation) owner(kind state.AssignmentKind, id string) {
	a := e.st.Assignment(kind, id)
	if a == nil {
		e.add("it is assigned to no entry instance: the leader assigns it when one is available")
		return
	}
	e.add("entry instance %s owns it under fence %d", a.Owner, a.Fence)
	if instance, ok := e.st.Instances.Get(a.Owner); ok && instance.ShuttingDown {
		e.add("entry instance %s is leaving and hands it over", a.Owner)
	}
}

func (e *explanation) zone(name string) bool {
	z, ok := e.st.Zones.Get(name)
	if !ok {
		return false
	}
	condition := "in"
	if z.Out {
		condition = "out: nothing starts there"
	}
	e.add("zone/%s is %s, for %s, version %d", name, condition, e.elapsedSince(z.ChangedAt), z.Version)
	var workers, tasks int
	for id, w := range e.st.Workers.All() {
		if w.Zone != name {
			continue
		}
		workers++
		for range e.st.TasksOnWorker(id) {
			tasks++
		}
	}
	e.add("it has %d workers, on which %d tasks hold a reservation", workers, tasks)
	return true
}

func (e *explanation) team(name string) bool {
	t, ok := e.st.Teams.Get(name)
	if !ok {
		return false
	}
	e.add("team/%s has weight %d, version %d", name, t.Weight, t.Version)
	e.add("its batch tasks hold %s of a quota of %s (0 is no limit)", formatResources(e.st.TeamUsed(name)), formatResources(t.Quota))
	return true
}

func (e *explanation) request(id string) bool {
	r, ok := e.st.Requests.Get(id)
	if !ok {
		return false
	}
	e.add("request/%s was committed at index %d, %s ago, with outcome %s", id, r.Result.Index, e.elapsedSince(r.At), r.Result.Code)
	if r.Result.Object != "" {
		e.add("it named %s, version after it %d", r.Result.Object, r.Result.Version)
	}
	if r.Result.Message != "" {
		e.add("reason: %s", r.Result.Message)
	}
	e.add("a resend with the same content returns this result and changes nothing")
	return true
}

func formatResources(r state.Resources) string {
	return fmt.Sprintf("%d milli-CPU, %d MiB and %d accelerators", r.MilliCPU, r.MemoryMiB, r.Accelerators)
}
