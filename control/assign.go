package control

import (
	"cmp"
	"log/slog"
	"slices"

	"apricotrouter/event"
	"apricotrouter/placement"
	"apricotrouter/state"
)

// maxChangesPerCommand bounds the changes of one Assign command.
const maxChangesPerCommand = 256

// instanceLoad is a live instance and how many assignments of a kind it has.
type instanceLoad struct {
	id    string
	zone  string
	count int
}

// liveInstances returns the instances that may get assignments, by id. An
// instance whose lease has ended gets none until it is heard again.
func (c *Control) liveInstances(s *state.State) []*state.Instance {
	var live []*state.Instance
	for id, in := range s.Instances.All() {
		if !in.Leaving && !c.Leases.LeaseEnded(id) {
			live = append(live, in)
		}
	}
	return live
}

// assignments gives unassigned endpoints and workers to live instances, and
// moves those of instances that leave or whose leases have ended.
func (c *Control) assignments(s *state.State, live []*state.Instance) []proposal {
	var out []proposal
	for _, kind := range []state.AssignmentKind{state.AssignWorker, state.AssignEndpoint} {
		free, moved := c.unowned(s, kind)
		if len(free)+len(moved) == 0 {
			continue
		}
		if len(live) == 0 {
			event.Log(c.Logger, event.ControlNoInstance)
			return nil
		}
		loads := loadsOf(s, live, kind)
		out = append(out, assignTo(loads, free, nil)...)
		for _, from := range sortedKeys(moved) {
			var ended []string
			if in, ok := s.Instances.Get(from); ok && !in.Leaving {
				ended = []string{from}
			}
			out = append(out, assignTo(loads, moved[from], ended)...)
		}
	}
	return out
}

// wanted is an endpoint or worker that needs an owner.
type wanted struct {
	change state.OwnerChange
	zone   string
}

// unowned returns the objects without an assignment, and by owner those whose
// owner no longer keeps them.
func (c *Control) unowned(s *state.State, kind state.AssignmentKind) (free []wanted, moved map[string][]wanted) {
	moved = make(map[string][]wanted)
	gone := make(map[string]bool)
	visit := func(id, zone string) {
		w := wanted{change: state.OwnerChange{Kind: kind, ID: id}, zone: zone}
		a := s.Assignment(kind, id)
		if a == nil {
			free = append(free, w)
			return
		}
		lost, known := gone[a.Owner]
		if !known {
			lost = c.gone(s, a.Owner)
			gone[a.Owner] = lost
		}
		if lost {
			w.change.Fence = a.Fence
			moved[a.Owner] = append(moved[a.Owner], w)
		}
	}
	if kind == state.AssignWorker {
		for id, w := range s.Workers.All() {
			visit(id, w.Zone)
		}
		return free, moved
	}
	for id, e := range s.Endpoints.All() {
		visit(id, e.Zone)
	}
	return free, moved
}

// gone reports whether an instance has given up its assignments or can't use
// them any more.
func (c *Control) gone(s *state.State, instance string) bool {
	in, ok := s.Instances.Get(instance)
	return ok && in.Leaving || c.Leases.LeaseEnded(instance)
}

func loadsOf(s *state.State, live []*state.Instance, kind state.AssignmentKind) []*instanceLoad {
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

// assignTo gives each object to the least loaded instance, of its own zone if
// there is one.
func assignTo(loads []*instanceLoad, objects []wanted, ended []string) []proposal {
	changes := make([]state.OwnerChange, 0, len(objects))
	for _, w := range objects {
		best := slices.MinFunc(loads, func(a, b *instanceLoad) int {
			if c := cmp.Compare(otherZone(a.zone, w.zone), otherZone(b.zone, w.zone)); c != 0 {
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
		out = append(out, proposal{body: state.Assign{Changes: part}, ended: ended})
	}
	return out
}

func otherZone(a, b string) int {
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

// noteStops logs the stops and counts the evictions by cause.
func (c *Control) noteStops(b state.StopTasks) {
	event.Log(c.Logger, event.ControlTasksStopped, slog.Int("count", len(b.Stops)),
		slog.String("task", b.Stops[0].Task), slog.String("reason", b.Stops[0].Reason))
	for _, s := range b.Stops {
		if s.StopReason == state.StopEvict {
			c.metrics.evictions.WithLabelValues(placement.Cause(s.Reason)).Inc()
		}
	}
}

// logDone logs the carried out changes that operators should see.
func (c *Control) logDone(p proposal) {
	switch b := p.body.(type) {
	case state.Assign:
		if b.Changes[0].Fence != 0 {
			event.Log(c.Logger, event.ControlOwnersMoved, slog.Int("count", len(b.Changes)))
		}
	case state.MarkWorkerLeaseEnded:
		event.Log(c.Logger, event.ControlLeaseEnded, slog.String("worker", b.Worker))
	case state.QuarantineWorker:
		event.Log(c.Logger, event.ControlQuarantine, slog.String("worker", b.Worker),
			slog.Bool("quarantined", b.Quarantined), slog.String("reason", b.Reason))
	case state.ThrottleTask:
		event.Log(c.Logger, event.ControlInterference, slog.String("task", b.Task),
			slog.Int64("throttle_percent", b.Percent), slog.String("reason", b.Reason))
	case state.StopTasks:
		c.noteStops(b)
	case state.SetLedgerBuckets:
		c.logBuckets(len(b.Buckets), p.lostBuckets)
	}
}
