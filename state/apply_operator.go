package state

import (
	"fmt"
	"regexp"
	"strings"
)

// idPattern matches valid ids of all aggregates. It excludes keySeparator.
var idPattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._:@-]{0,127}$`)

// jobIDPattern matches valid ids of jobs and services. It excludes the colon,
// which separates the parts of a replica's id.
var jobIDPattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,127}$`)

// maxTasksPerJob limits the tasks of a job and the replicas of a service, and
// thus the work of applying one command.
const maxTasksPerJob = 10_000

func (tx *txn) setZone(b *SetZone) Result {
	object := "zone/" + b.Name
	if !idPattern.MatchString(b.Name) {
		return tx.refuse(CodeInvalid, object, "invalid name of an availability zone")
	}
	z := ZoneRecord{Name: b.Name}
	if old, ok := tx.Zones.Get(b.Name); ok {
		z = *old
	}
	if r, ok := tx.checkVersion(object, b.ExpectedVersion, z.Version); !ok {
		return r
	}
	if z.Out != b.Out {
		z.ChangedAt = tx.now
	}
	z.Out = b.Out
	z.Version = tx.index
	tx.Zones = tx.Zones.Put(z.Name, &z)
	return tx.changed(object)
}

// addZone creates a record for the availability zone if there is none.
func (tx *txn) addZone(name string) {
	if _, ok := tx.Zones.Get(name); !ok {
		tx.Zones = tx.Zones.Put(name, &ZoneRecord{Name: name, Version: tx.index})
	}
}

func (tx *txn) applyTeam(b *ApplyTeam) Result {
	object := "team/" + b.Name
	if !idPattern.MatchString(b.Name) || b.Weight < 1 || !b.Quota.Valid() {
		return tx.refuse(CodeInvalid, object, "a team needs a name, a weight of at least 1 and a quota that is not negative")
	}
	var version uint64
	if old, ok := tx.Teams.Get(b.Name); ok {
		version = old.Version
	}
	if r, ok := tx.checkVersion(object, b.ExpectedVersion, version); !ok {
		return r
	}
	tx.Teams = tx.Teams.Put(b.Name, &Team{Name: b.Name, Weight: b.Weight, Quota: b.Quota, Version: tx.index})
	return tx.changed(object)
}

func (tx *txn) applyService(b *ApplyService) Result {
	spec := b.Spec
	object := "service/" + spec.Name
	if msg := checkService(spec); msg != "" {
		return tx.refuse(CodeInvalid, object, "%s", msg)
	}
	var version uint64
	if old, ok := tx.Services.Get(spec.Name); ok {
		version = old.Version
	}
	if r, ok := tx.checkVersion(object, b.ExpectedVersion, version); !ok {
		return r
	}
	if msg := tx.checkFitsAnyWorker(spec.Resources); msg != "" {
		return tx.refuse(CodeInvalid, object, "%s", msg)
	}
	if other := tx.conflictingRoute(spec); other != "" {
		return tx.refuse(CodeInvalid, object, "service %s has the same host and path prefix", other)
	}
	tx.Services = tx.Services.Put(spec.Name, &Service{Spec: spec, Version: tx.index})
	for _, k := range tx.tasksByOwner.keys(key(string(KindLatencyCritical), spec.Name, "")) {
		tx.resizePending(lastPart(k), spec.Resources)
	}
	return tx.changed(object)
}

// conflictingRoute returns the name of another service with the same host and
// path prefix, or "". A service without host and path prefix matches no
// requests and conflicts with none.
func (tx *txn) conflictingRoute(spec ServiceSpec) string {
	host, prefix, ok := spec.route()
	if !ok {
		return ""
	}
	for name, other := range tx.Services.All() {
		if h, p, ok := other.Spec.route(); ok && name != spec.Name && h == host && p == prefix {
			return name
		}
	}
	return ""
}

// route returns the normalised host and path prefix for matching requests. ok
// is false if the service has neither.
func (s ServiceSpec) route() (host, prefix string, ok bool) {
	return strings.ToLower(s.Host), strings.TrimSuffix(s.PathPrefix, "/"), s.Host != "" || s.PathPrefix != ""
}

// resizePending sets the resources of a task that is still pending.
func (tx *txn) resizePending(id string, size Resources) {
	old, ok := tx.tasks.get(id)
	if !ok || old.Phase != PhasePending || old.Resources == size {
		return
	}
	t := *old
	t.Resources = size
	tx.putTask(old, &t)
}

func checkService(spec ServiceSpec) string {
	switch {
	case !jobIDPattern.MatchString(spec.Name):
		return "invalid name of a service"
	case spec.Replicas < 0 || spec.Replicas > maxTasksPerJob:
		return fmt.Sprintf("the number of replicas must be from 0 to %d", maxTasksPerJob)
	case spec.PathPrefix != "" && spec.PathPrefix[0] != '/':
		return "the path prefix must start with a slash"
	case spec.Slots < 0 || spec.ConnectionLimit < 0:
		return "slots and connection limit must not be negative"
	case !spec.Resources.Valid():
		return "resources must not be negative"
	}
	return ""
}

func (tx *txn) deleteService(b *DeleteService) Result {
	object := "service/" + b.Name
	old, ok := tx.Services.Get(b.Name)
	if !ok {
		return tx.refuse(CodeNotFound, object, "%s does not exist", object)
	}
	if r, ok := tx.checkVersion(object, b.ExpectedVersion, old.Version); !ok {
		return r
	}
	tx.Services = tx.Services.Delete(b.Name)
	for _, k := range tx.tasksByOwner.keys(key(string(KindLatencyCritical), b.Name, "")) {
		tx.endTask(lastPart(k), StopRemove, "service deleted")
	}
	return tx.changed(object)
}

func (tx *txn) submitJob(b *SubmitJob) Result {
	spec := b.Spec
	object := "job/" + spec.ID
	if old, ok := tx.jobs.get(spec.ID); ok {
		tx.oldVersion = old.Version
		r := tx.refuse(CodeConflict, object, "%s exists", object)
		r.ObjectVersion = old.Version
		return r
	}
	if code, msg := tx.checkJob(spec); msg != "" {
		return tx.refuse(code, object, "%s", msg)
	}
	tx.jobs.put(spec.ID, &Job{Spec: spec, Version: tx.index, Phase: JobActive, SubmittedAt: tx.now})
	for i := range spec.Tasks {
		tx.putTask(nil, &Task{
			ID:              fmt.Sprintf("%s.%d", spec.ID, i),
			Kind:            KindBatch,
			Owner:           spec.ID,
			Class:           spec.Class,
			Team:            spec.Team,
			Priority:        spec.Priority,
			Resources:       spec.Resources,
			Phase:           PhasePending,
			QueuedAt:        tx.now,
			SubmittedAt:     tx.now,
			ExpectedSeconds: spec.ExpectedSeconds,
		})
	}
	return tx.changed(object)
}

func (tx *txn) checkJob(spec JobSpec) (Code, string) {
	switch {
	case !jobIDPattern.MatchString(spec.ID):
		return CodeInvalid, "invalid id of a job"
	case spec.Tasks < 1 || spec.Tasks > maxTasksPerJob:
		return CodeInvalid, fmt.Sprintf("the number of tasks must be from 1 to %d", maxTasksPerJob)
	case !spec.Resources.Valid() || spec.Resources.IsZero():
		return CodeInvalid, "resources must not be negative or all zero"
	case spec.ExpectedSeconds < 0:
		return CodeInvalid, "the run time must not be negative"
	}
	switch spec.Priority {
	case PriorityUrgent, PriorityNormal, PriorityLow:
	default:
		return CodeInvalid, fmt.Sprintf("unknown priority class %q", spec.Priority)
	}
	if msg := tx.checkFitsAnyWorker(spec.Resources); msg != "" {
		return CodeInvalid, msg
	}
	return tx.checkTeam(spec)
}

func (tx *txn) checkTeam(spec JobSpec) (Code, string) {
	if spec.Team == "" {
		return CodeOK, ""
	}
	team, ok := tx.Teams.Get(spec.Team)
	if !ok {
		return CodeNotFound, fmt.Sprintf("team %q does not exist", spec.Team)
	}
	if !spec.Resources.WithinQuota(team.Quota) {
		return CodeInvalid, fmt.Sprintf("one task is larger than the quota of team %q", spec.Team)
	}
	return CodeOK, ""
}

// checkFitsAnyWorker returns "" if a task of the size fits the capacity of a
// registered worker or no worker is registered, and otherwise a message that
// names the largest worker.
func (tx *txn) checkFitsAnyWorker(size Resources) string {
	tx.workers.commit()
	var largest *Worker
	for _, w := range tx.Workers.All() {
		if size.FitsIn(w.Capacity) {
			return ""
		}
		if largest == nil || isLarger(w.Capacity, largest.Capacity) {
			largest = w
		}
	}
	if largest == nil {
		return ""
	}
	c := largest.Capacity
	return fmt.Sprintf("no worker can hold a task of %s; the largest worker %s has %s", size, largest.ID, c)
}

func isLarger(a, b Resources) bool {
	if a.Accelerators != b.Accelerators {
		return a.Accelerators > b.Accelerators
	}
	if a.MilliCPU != b.MilliCPU {
		return a.MilliCPU > b.MilliCPU
	}
	return a.MemoryMiB > b.MemoryMiB
}

func (tx *txn) cancelJobs(b *CancelJobs) Result {
	object := "job/" + strings.Join(b.IDs, ",")
	var unknown []string
	for _, id := range b.IDs {
		if _, ok := tx.jobs.get(id); !ok {
			unknown = append(unknown, id)
			continue
		}
		tx.endJob(id, JobCancelled, "cancelled")
	}
	if len(unknown) == len(b.IDs) {
		return tx.refuse(CodeNotFound, object, "none of the %d jobs exists", len(b.IDs))
	}
	r := tx.changed(object)
	if len(unknown) > 0 {
		r.Message = "unknown jobs: " + strings.Join(unknown, ", ")
	}
	return r
}

func (tx *txn) failJob(b *FailJob) Result {
	object := "job/" + b.ID
	if _, ok := tx.jobs.get(b.ID); !ok {
		return tx.refuse(CodeNotFound, object, "%s does not exist", object)
	}
	tx.endJob(b.ID, JobFailed, b.Reason)
	return tx.changed(object)
}

// endJob moves an active job to a final phase and ends its tasks. It does not
// change a job that has ended.
func (tx *txn) endJob(id string, phase JobPhase, reason string) {
	old, _ := tx.jobs.get(id)
	if old.Phase != JobActive {
		return
	}
	j := *old
	j.Phase, j.Reason, j.Version = phase, reason, tx.index
	tx.jobs.put(id, &j)
	for _, k := range tx.tasksByOwner.keys(key(string(KindBatch), id, "")) {
		tx.endTask(lastPart(k), StopCancel, reason)
	}
}

func (tx *txn) evictTask(b *EvictTask) Result {
	object := "task/" + b.Task
	t, ok := tx.tasks.get(b.Task)
	switch {
	case !ok:
		return tx.refuse(CodeNotFound, object, "%s does not exist", object)
	case t.Kind != KindBatch:
		return tx.refuse(CodeInvalid, object, "only batch tasks can be evicted")
	case b.Incarnation != 0 && b.Incarnation != t.Incarnation:
		return tx.refuse(CodeStale, object, "current incarnation is %d", t.Incarnation)
	case !t.HasReservation():
		return tx.refuse(CodeInvalid, object, "task is %s, not on a worker", t.Phase)
	}
	tx.stopTask(t, StopEvict, b.Reason)
	return tx.changed(object)
}
