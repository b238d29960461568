package replica

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"time"

	"apricotrouter/event"
	"apricotrouter/raft"
)

// learnerTimeout is how long the leader replicates the log to a learner after
// the learner's last freshness request.
const learnerTimeout = 10 * time.Second

// instanceInfo is what the leader learned about an instance from its freshness
// requests.
type instanceInfo struct {
	replica  raft.ID
	disk     bool
	zone     string
	term     uint64        // of the last request
	lastSeen time.Duration // time since New
}

// instanceTable maps replicas to the instances on which they run.
type instanceTable struct {
	byID map[raft.ID]string
	info map[string]*instanceInfo
}

func newInstanceTable() instanceTable {
	return instanceTable{byID: make(map[raft.ID]string), info: make(map[string]*instanceInfo)}
}

// repairState contains the times of the leader's repair actions.
type repairState struct {
	nextTransfer time.Duration // earliest time of the next attempt
}

// observeInstance records an instance that requested freshness, and starts log
// replication to it.
func (r *Replica) observeInstance(instance string, req *freshnessRequest) {
	if instance == r.opts.Self || req.Replica == raft.None {
		return
	}
	old := r.members.info[instance]
	if old != nil && old.replica != req.Replica {
		r.core.RemoveLearner(old.replica)
		delete(r.members.byID, old.replica)
	}
	zone := r.zoneOf(instance, req.Zone)
	r.members.info[instance] = &instanceInfo{
		replica: req.Replica, disk: req.Disk, zone: zone, term: r.core.Status().Term, lastSeen: r.now(),
	}
	r.members.byID[req.Replica] = instance
	r.core.AddLearner(req.Replica)
}

// zoneOf returns the availability zone reported by the instance, or else the
// configured one.
func (r *Replica) zoneOf(instance, named string) string {
	if named != "" {
		return named
	}
	return r.opts.PeerZone(instance)
}

// repairMembership takes the next step towards the planned membership. It
// changes one voter at a time.
func (r *Replica) repairMembership(now time.Duration) {
	v := r.view.Load()
	if !v.isLeader {
		return
	}
	r.removeInactiveLearners(now)
	if len(r.opts.InitialVoters) == 0 || !r.confirmed(v) {
		return
	}
	s := planMembershipStep(r.opts.TargetVoters, r.voterStates(), r.candidates(now))
	r.executeStep(s, now)
}

func (r *Replica) removeInactiveLearners(now time.Duration) {
	for instance, info := range r.members.info {
		if now-info.lastSeen > learnerTimeout {
			r.core.RemoveLearner(info.replica)
			delete(r.members.byID, info.replica)
			delete(r.members.info, instance)
		}
	}
}

func (r *Replica) voterStates() []voter {
	s := r.State()
	members := r.core.Status().Members
	voters := make([]voter, 0, len(members.Voters))
	for _, m := range members.Voters {
		ticks, _ := r.core.TicksSinceContact(m.ID)
		voters = append(voters, voter{
			Member:       m,
			self:         m.ID == r.id.Replica,
			unresponsive: time.Duration(ticks)*r.opts.Tick >= r.opts.RepairAfter || r.diskWiped(m),
			zoneDrained:  s.IsZoneDrained(m.Zone),
			caughtUp:     r.core.CaughtUp(m.ID),
		})
	}
	return voters
}

// diskWiped reports whether the voter's instance now runs a different replica
// with a disk. Its data directory was wiped, so the voter cannot return.
// Without ReplaceWipedVoters it is always false.
func (r *Replica) diskWiped(m raft.Member) bool {
	info := r.members.info[m.Instance]
	// A request from an earlier term may be older than the voter.
	known := info != nil && info.term == r.core.Status().Term
	return r.opts.ReplaceWipedVoters && known && info.disk && info.replica != m.ID
}

// candidates returns the learners that may become voters.
func (r *Replica) candidates(now time.Duration) []raft.Member {
	s := r.State()
	members := r.core.Status().Members
	var found []raft.Member
	for _, instance := range slices.Sorted(maps.Keys(r.members.info)) {
		info := r.members.info[instance]
		recent := now-info.lastSeen < r.opts.FreshnessLease
		if info.disk && recent && !s.IsZoneDrained(info.zone) &&
			members.Voter(info.replica) == nil && r.core.CaughtUp(info.replica) {
			found = append(found, raft.Member{ID: info.replica, Instance: instance, Zone: info.zone})
		}
	}
	return found
}

// executeStep starts a step. If the core rejects it, the next tick plans again.
func (r *Replica) executeStep(s membershipStep, now time.Duration) {
	members := r.core.Status().Members
	switch {
	case s.add != nil:
		if r.core.ProposeMembership(members.WithVoter(*s.add)) == nil {
			r.logStep(event.ReplicaVoterAdded, *s.add)
		}
	case s.remove != nil:
		if r.core.ProposeMembership(members.WithoutVoter(s.remove.ID)) == nil {
			r.logStep(event.ReplicaVoterRemoved, *s.remove)
		}
	case s.transfer != nil && now >= r.repair.nextTransfer:
		const pause = 2 // minimum election timeouts until the next attempt
		r.repair.nextTransfer = now + pause*r.opts.Tick*time.Duration(r.opts.ElectionTicks)
		if r.core.TransferLeadership(s.transfer.ID) == nil {
			r.logStep(event.ReplicaTransfer, *s.transfer)
		}
	}
}

func (r *Replica) logStep(e event.Event, m raft.Member) {
	event.Log(r.opts.Logger, e, slog.String("peer", m.Instance), slog.String("zone", m.Zone),
		slog.Uint64("replica", uint64(m.ID)))
}

// errNoTransferTarget is returned while no voter can take over the leadership.
var errNoTransferTarget = errors.New("no other voter has caught up")

// TransferLeadership transfers the leadership to another voter if this instance
// leads, and returns once it no longer leads. It prefers voters in availability
// zones that are not drained.
func (r *Replica) TransferLeadership(ctx context.Context) error {
	for {
		var led bool
		var err error
		if derr := r.runOnLoop(ctx, func() { led, err = r.startLeadershipTransfer() }); derr != nil {
			return errors.Join(derr, err)
		}
		if !led {
			return nil
		}
		if perr := r.sleep(ctx, retryInterval); perr != nil {
			return errors.Join(perr, err)
		}
	}
}

// startLeadershipTransfer starts a transfer unless one is in progress, and
// reports whether this replica leads.
func (r *Replica) startLeadershipTransfer() (led bool, err error) {
	if r.core.Status().Role != raft.Leader {
		return false, nil
	}
	if r.core.Transferring() {
		return true, nil
	}
	var target *voter
	voters := r.voterStates()
	for i := range voters {
		v := &voters[i]
		usable := !v.self && !v.unresponsive && v.caughtUp
		if usable && (target == nil || target.zoneDrained && !v.zoneDrained) {
			target = v
		}
	}
	if target == nil {
		return true, errNoTransferTarget
	}
	r.logStep(event.ReplicaTransfer, target.Member)
	return true, r.core.TransferLeadership(target.ID)
}
