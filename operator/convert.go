package operator

import (
	"fmt"
	"net/netip"
	"slices"

	gen "apricotrouter/gen/operator"
	"apricotrouter/state"
)

// deref returns *p, or the zero value if p is nil.
func deref[T any](p *T) T {
	if p == nil {
		var zero T
		return zero
	}
	return *p
}

// nilIfZero returns a pointer to v, or nil if v is the zero value.
func nilIfZero[T comparable](v T) *T {
	var zero T
	if v == zero {
		return nil
	}
	return &v
}

func stateResources(r *gen.Resources) state.Resources {
	if r == nil {
		return state.Resources{}
	}
	return state.Resources{MilliCPU: r.MilliCPU, MemoryMiB: r.MemoryMib, Accelerators: r.Accelerators}
}

func apiResources(r state.Resources) *gen.Resources {
	return &gen.Resources{MilliCPU: r.MilliCPU, MemoryMib: r.MemoryMiB, Accelerators: r.Accelerators}
}

func validateAddress(address string) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		return fmt.Errorf("address %q can't be dialled: give IP:port, such as 10.0.1.1:7500", address)
	}
	return nil
}

func serviceSpec(spec state.ServiceSpec) *gen.ServiceSpec {
	return &gen.ServiceSpec{
		Name:            spec.Name,
		Host:            nilIfZero(spec.Host),
		PathPrefix:      nilIfZero(spec.PathPrefix),
		Replicas:        spec.Replicas,
		Resources:       apiResources(spec.Resources),
		Slots:           spec.Slots,
		ConnectionLimit: spec.ConnectionLimit,
		Team:            nilIfZero(spec.Team),
	}
}

func jobSpec(spec state.JobSpec) *gen.JobSpec {
	return &gen.JobSpec{
		ID:              spec.ID,
		Team:            nilIfZero(spec.Team),
		Class:           spec.Class,
		Priority:        string(spec.Priority),
		Tasks:           spec.Tasks,
		Resources:       apiResources(spec.Resources),
		ExpectedSeconds: nilIfZero(spec.ExpectedSeconds),
	}
}

func taskInfo(t *state.Task) *gen.TaskInfo {
	return &gen.TaskInfo{
		ID:              t.ID,
		Owner:           t.Owner,
		Phase:           string(t.Phase),
		Incarnation:     t.Incarnation,
		Worker:          nilIfZero(t.Worker),
		Checkpoint:      nilIfZero(t.Checkpoint),
		ThrottlePercent: nilIfZero(t.Throttle),
		Failures:        nilIfZero(int64(len(t.Failures))),
		Reason:          nilIfZero(t.Reason),
	}
}

func jobInfo(j *state.Job, pending, running int64) *gen.JobInfo {
	return &gen.JobInfo{
		Spec:      jobSpec(j.Spec),
		Version:   j.Version,
		Phase:     string(j.Phase),
		Reason:    nilIfZero(j.Reason),
		Pending:   pending,
		Running:   running,
		Completed: j.Completed,
		Failed:    j.Failed,
	}
}

func workerInfo(st *state.State, w *state.Worker) *gen.WorkerInfo {
	info := &gen.WorkerInfo{
		ID:        w.ID,
		Zone:      w.Zone,
		Rack:      w.Rack,
		Address:   w.Address,
		Condition: string(w.Condition),
		Capacity:  apiResources(w.Capacity),
		Reserved:  apiResources(w.Reserved),
		Owner:     ownerOf(st, state.AssignWorker, w.ID),
		Version:   w.Version,
	}
	for t := range st.TasksOnWorker(w.ID) {
		info.Tasks = append(info.Tasks, taskInfo(t))
	}
	return info
}

// ownerOf returns the id of the entry instance to which an object is assigned,
// or "" if it is unassigned.
func ownerOf(st *state.State, kind state.AssignmentKind, id string) string {
	if a := st.Assignment(kind, id); a != nil {
		return a.Owner
	}
	return ""
}

// zoneNames returns the sorted names of all availability zones that have a
// record, a worker, an endpoint or an entry instance.
func zoneNames(st *state.State, group Status) []string {
	var names []string
	for name := range st.Zones.All() {
		names = append(names, name)
	}
	for _, w := range st.Workers.All() {
		names = append(names, w.Zone)
	}
	for _, e := range st.Endpoints.All() {
		names = append(names, e.Zone)
	}
	for _, i := range st.Instances.All() {
		names = append(names, i.Zone)
	}
	for _, i := range group.Instances {
		names = append(names, i.Zone)
	}
	slices.Sort(names)
	return slices.Compact(names)
}
