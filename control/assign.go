package control

import (
	"cmp"
	"log/slog"
	"slices"

	"apricotrouter/event"
	"apricotrouter/placement"
	"apricotrouter/state"
)

// maxChangesPerCommand is the maximum number of changes in one Assign command.
const maxChangesPerCommand = 256

// instanceLoad is the number of assignments of one kind that a live instance
// owns.
type instanceLoad struct {
	id    string
	zone  string
	count int
}

// liveInstances returns the instances that can be given assignments, ordered by
// id. An instance whose freshness lease has expired is given none until it is in
// contact again.
func (c *Control) liveInstances(s *state.State) []*state.Instance {
	var live []*state.Instance
	for id, in := range s.Instances.All() {
		if !in.ShuttingDown && !c.Leases.LeaseExpired(id) {
			live = append(live, in)
		}
	}
	return live
}

// planAssignments assigns endpoints and workers without an owner to live
// instances, and reassigns those of instances that are shutting down or whose
// leases have expired.
func (c *Control) planAssignments(s *state.State, live []*state.Instance) []proposal {
	var out []proposal
	for _, kind := range []state.AssignmentKind{state.AssignWorker, state.AssignEndpoint} {
		unassigned, byFormerOwner := c.objectsWithoutOwner(s, kind)
		if len(unassigned)+len(byFormerOwner) == 0 {
			continue
		}
		if len(live) == 0 {
			event.Log(c.Logger, event.ControlNoInstance)
			return nil
		}
		loads := instanceLoads(s, live, kind)
		out = append(out, assignTo(loads, unassigned, nil)...)
		for _, from := range sortedKeys(byFormerOwner) {
			var leaseExpiredOf []string
			if in, ok := s.Instances.Get(from); ok && !in.ShuttingDown {
				leaseExpiredOf = []string{from}
			}
			out = append(out, assignTo(loads, byFormerOwner[from], leaseExpiredOf)...)
		}
	}
	return out
}

// unassignedObject is an endpoint or worker that needs a new owner. The change
// contains the fence of its current assignment, if any.
type unassignedObject struct {
	change state.OwnerChange
	zone   string
}

// objectsWithoutOwner returns the objects without an assignment, and the objects
// to be reassigned, grouped by their former owner.
func (c *Control) objectsWithoutOwner(s *state.State, kind state.AssignmentKind) (unassigned []unassignedObject, byFormerOwner map[string][]unassignedObject) {
	byFormerOwner = make(map[string][]unassignedObject)
	released := make(map[string]bool)
	visit := func(id, zone string) {
		w := unassignedObject{change: state.OwnerChange{Kind: kind, ID: id}, zone: zone}
		a := s.Assignment(kind, id)
		if a == nil {
			unassigned = append(unassigned, w)
			return
		}
		lost, known := released[a.Owner]
		if !known {
			lost = c.released(s, a.Owner)
			released[a.Owner] = lost
		}
		if lost {
			w.change.Fence = a.Fence
			byFormerOwner[a.Owner] = append(byFormerOwner[a.Owner], w)
		}
	}
	if kind == state.AssignWorker {
		for id, w := range s.Workers.All() {
			visit(id, w.Zone)
		}
		return unassigned, byFormerOwner
	}
	for id, e := range s.Endpoints.All() {
		visit(id, e.Zone)
	}
	return unassigned, byFormerOwner
}

// released reports whether an instance has handed over its assignments or can no
// longer use them because its lease has expired.
func (c *Control) released(s *state.State, instance string) bool {
	in, ok := s.Instances.Get(instance)
	return ok && in.ShuttingDown || c.Leases.LeaseExpired(instance)
}

func instanceLoads(s *state.State, live []*state.Instance, kind state.AssignmentKind) []*instanceLoad {
	loads := make([]*instanceLoad, 0, len(live))
	for _, in := range live {
		l := &instanceLoad{id: in.ID, zone: in.Zone}
		for range s.OwnedBy(in.ID, kind) {
			l.count++
		}
		loads = append(loads, l)
	}
	return loads
}

// assignTo assigns each object to the instance with the fewest assignments,
// preferring instances in the object's availability zone. leaseEndedOf lists the
// instances whose leases must have expired when the command is appended.
func assignTo(loads []*instanceLoad, objects []unassignedObject, leaseExpiredOf []string) []proposal {
	changes := make([]state.OwnerChange, 0, len(objects))
	for _, w := range objects {
		best := slices.MinFunc(loads, func(a, b *instanceLoad) int {
			if c := cmp.Compare(zoneMismatch(a.zone, w.zone), zoneMismatch(b.zone, w.zone)); c != 0 {
				return c
			}
			return cmp.Compare(a.count, b.count)
		})
		best.count++
		w.change.To = best.id
		changes = append(changes, w.change)
	}
	var out []proposal
	for part := range slices.Chunk(changes, maxChangesPerCommand) {
		out = append(out, proposal{body: state.Assign{Changes: part}, leaseExpiredOf: leaseExpiredOf})
	}
	return out
}

func zoneMismatch(a, b string) int {
	if a == b {
		return 0
	}
	return 1
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// logStops logs a StopTasks command and counts its evictions by cause.
func (c *Control) logStops(b state.StopTasks) {
	event.Log(c.Logger, event.ControlTasksStopped, slog.Int("count", len(b.Stops)),
		slog.String("task", b.Stops[0].Task), slog.String("reason", b.Stops[0].Reason))
	for _, s := range b.Stops {
		if s.StopReason == state.StopEvict {
			c.metrics.evictions.WithLabelValues(placement.Cause(s.Reason)).Inc()
		}
	}
}

// logApplied logs the applied commands that are relevant to operators.
func (c *Control) logApplied(p proposal) {
	switch b := p.body.(type) {
	case state.Assign:
		if b.Changes[0].Fence != 0 {
			event.Log(c.Logger, event.ControlAssignmentsMoved, slog.Int("count", len(b.Changes)))
		}
	case state.MarkWorkerLeaseExpired:
		event.Log(c.Logger, event.ControlLeaseExpired, slog.String("worker", b.Worker))
	case state.QuarantineWorker:
		event.Log(c.Logger, event.ControlQuarantine, slog.String("worker", b.Worker),
			slog.Bool("quarantined", b.Quarantined), slog.String("reason", b.Reason))
	case state.ThrottleTask:
		event.Log(c.Logger, event.ControlInterference, slog.String("task", b.Task),
			slog.Int64("throttle_percent", b.Percent), slog.String("reason", b.Reason))
	case state.StopTasks:
		c.logStops(b)
	case state.SetLedgerBuckets:
		c.logBuckets(len(b.Buckets), p.lostBuckets)
	}
}
