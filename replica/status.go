package replica

import (
	"maps"
	"slices"
	"time"

	"apricotrouter/raft"
)

// InstanceRole is an instance's role in the control group.
type InstanceRole string

// Instance roles.
const (
	RoleLeader  InstanceRole = "leader"
	RoleVoter   InstanceRole = "voter"
	RoleLearner InstanceRole = "learner"
)

// InstanceStatus is the status of one instance.
type InstanceStatus struct {
	Instance  string
	Role      InstanceRole
	ReplicaID uint64
	Zone      string
	// LastContact is the time since the leader last received a message from the
	// instance. It is negative if unknown, as on every instance that does not lead.
	LastContact time.Duration
}

// Status is a summary for operators.
type Status struct {
	GroupID   string // empty before the group is formed
	Leader    string // empty if no leader is known
	Term      uint64
	Applied   uint64
	Fresh     bool
	Voter     bool
	Instances []InstanceStatus
}

const unknownContact = time.Duration(-1)

// Status returns a summary that is at most one tick old.
func (r *Replica) Status() Status {
	v := r.view.Load()
	self := raft.Membership{Voters: v.voters}
	return Status{
		GroupID: v.group, Leader: v.leader, Term: v.term, Applied: r.State().Index,
		Fresh: r.Fresh(), Voter: self.Voter(v.replica) != nil, Instances: v.instances,
	}
}

// Start returns the random number that identifies this run of the process. It
// is the InstanceStart with which the instance registers itself.
func (r *Replica) Start() uint64 { return r.incarnation }

// Leadership implements Log.
func (r *Replica) Leadership() Leadership {
	v := r.view.Load()
	return Leadership{Leader: v.leader, Term: v.term, Self: r.confirmed(v), Epoch: v.epoch}
}

func (r *Replica) confirmed(v *view) bool {
	return v.isLeader && v.ready && r.now() < v.confirmedUntil
}

// publishView publishes the loop's state of the leadership for other
// goroutines.
func (r *Replica) publishView() {
	old := r.view.Load()
	if old == nil {
		old = &view{}
	}
	st := r.core.Status()
	v := &view{
		leader: r.leaderInstance(st), term: st.Term, group: r.id.Group, voters: st.Members.Voters,
		replica: r.id.Replica, disk: r.store != nil, epoch: old.epoch, instances: r.instanceStatus(st),
	}
	v.isLeader = st.Role == raft.Leader
	v.ready = v.isLeader && !r.core.Transferring() && r.State().Index >= st.TermStart
	if begun, ok := r.rounds.start(r.core.ConfirmedRound()); ok && v.isLeader {
		v.confirmedUntil = begun + r.opts.confirmationWindow()
	}
	wasSelf, isSelf := r.confirmed(old) && old.term == v.term, r.confirmed(v)
	if isSelf && !wasSelf {
		v.epoch++
	}
	r.view.Store(v)
	if v.leader != old.leader || isSelf != wasSelf || v.replica != old.replica {
		r.metrics.setLeader(isSelf)
		r.notify()
	}
}

// leaderInstance returns the leader known to the core, or else the leader
// reported by another instance.
func (r *Replica) leaderInstance(st raft.Status) string {
	if st.Leader != raft.None && st.Term != r.ignoredLeaderTerm {
		r.leaderHint = ""
		return r.instanceOf(st.Leader)
	}
	return r.leaderHint
}

func (r *Replica) instanceStatus(st raft.Status) []InstanceStatus {
	all := make([]InstanceStatus, 0, len(r.opts.SeedInstances))
	for _, v := range st.Members.Voters {
		all = append(all, r.replicaStatus(st, v, RoleVoter))
	}
	if st.Role == raft.Leader {
		for _, instance := range slices.Sorted(maps.Keys(r.members.info)) {
			info := r.members.info[instance]
			if st.Members.Voter(info.replica) == nil {
				m := raft.Member{ID: info.replica, Instance: instance, Zone: info.zone}
				all = append(all, r.replicaStatus(st, m, RoleLearner))
			}
		}
	}
	return all
}

func (r *Replica) replicaStatus(st raft.Status, m raft.Member, role InstanceRole) InstanceStatus {
	s := InstanceStatus{
		Instance: m.Instance, Role: role, ReplicaID: uint64(m.ID), Zone: m.Zone, LastContact: unknownContact,
	}
	if m.ID == st.Leader {
		s.Role = RoleLeader
	}
	if ticks, ok := r.core.TicksSinceContact(m.ID); ok {
		s.LastContact = time.Duration(ticks) * r.opts.Tick
	}
	return s
}
