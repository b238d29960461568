package operator

import (
	"fmt"
	"net/netip"
	"slices"

	gen "apricotrouter/gen/operator"
	"apricotrouter/state"
)

// value returns what p points to, or the zero value.
func value[T any](p *T) T {
	if p == nil {
		var zero T
		return zero
	}
	return *p
}

// optional returns nil for the zero value.
func optional[T comparable](v T) *T {
	var zero T
	if v == zero {
		return nil
	}
	return &v
}

func toResources(r *gen.Resources) state.Resources {
	if r == nil {
		return state.Resources{}
	}
	return state.Resources{MilliCPU: r.MilliCPU, MemoryMiB: r.MemoryMib, Accelerators: r.Accelerators}
}

func fromResources(r state.Resources) *gen.Resources {
	return &gen.Resources{MilliCPU: r.MilliCPU, MemoryMib: r.MemoryMiB, Accelerators: r.Accelerators}
}

func checkAddress(address string) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		return fmt.Errorf("address %q can't be dialled: give IP:port, such as 10.0.1.1:7500", address)
	}
	return nil
}

func serviceSpec(spec state.ServiceSpec) *gen.ServiceSpec {
	return &gen.ServiceSpec{
		Name:            spec.Name,
		Host:            optional(spec.Host),
		PathPrefix:      optional(spec.PathPrefix),
		Replicas:        spec.Replicas,
		Resources:       fromResources(spec.Resources),
		Slots:           spec.Slots,
		ConnectionLimit: spec.ConnectionLimit,
		Team:            optional(spec.Team),
	}
}

func jobSpec(spec state.JobSpec) *gen.JobSpec {
	return &gen.JobSpec{
		ID:              spec.ID,
		Team:            optional(spec.Team),
		Class:           spec.Class,
		Priority:        string(spec.Priority),
		Tasks:           spec.Tasks,
		Resources:       fromResources(spec.Resources),
		ExpectedSeconds: optional(spec.ExpectedSeconds),
	}
}

func taskInfo(t *state.Task) *gen.TaskInfo {
	return &gen.TaskInfo{
		ID:              t.ID,
		Owner:           t.Owner,
		Phase:           string(t.Phase),
		Incarnation:     t.Incarnation,
		Worker:          optional(t.Worker),
		Checkpoint:      optional(t.Checkpoint),
		ThrottlePercent: optional(t.Throttle),
		Failures:        optional(int64(len(t.Failures))),
		Reason:          optional(t.Reason),
	}
}

func jobInfo(j *state.Job, pending, running int64) *gen.JobInfo {
	return &gen.JobInfo{
		Spec:      jobSpec(j.Spec),
		Version:   j.Version,
		Phase:     string(j.Phase),
		Reason:    optional(j.Reason),
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
		Capacity:  fromResources(w.Capacity),
		Reserved:  fromResources(w.Reserved),
		Owner:     ownerOf(st, state.AssignWorker, w.ID),
		Version:   w.Version,
	}
	for t := range st.TasksOnWorker(w.ID) {
		info.Tasks = append(info.Tasks, taskInfo(t))
	}
	return info
}

// ownerOf returns the entry instance to which an object is assigned, or "".
func ownerOf(st *state.State, kind state.AssignmentKind, id string) string {
	if a := st.Assignment(kind, id); a != nil {
		return a.Owner
	}
	return ""
}

// zoneNames returns the availability zones that something is in, in order.
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
