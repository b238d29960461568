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

// forgetAfter is how long the leader sends the log to a learner that no longer
// asks for freshness.
const forgetAfter = 10 * time.Second

// instanceInfo is what the leader knows of an instance from its requests.
type instanceInfo struct {
	replica raft.ID
	disk    bool
	zone    string
	seen    time.Duration // since start
}

// instanceTable is where replicas run.
type instanceTable struct {
	byID map[raft.ID]string
	info map[string]*instanceInfo
}

func newInstanceTable() instanceTable {
	return instanceTable{byID: make(map[raft.ID]string), info: make(map[string]*instanceInfo)}
}

// repairState is when the leader acted last.
type repairState struct {
	transferAt time.Duration // not before
}

// meet notes an instance that asked for freshness, and sends it the log.
func (r *Replica) meet(instance string, req *freshnessRequest) {
	if instance == r.opts.Self || req.Replica == raft.None {
		return
	}
	old := r.members.info[instance]
	if old != nil && old.replica != req.Replica {
		r.core.Forget(old.replica)
		delete(r.members.byID, old.replica)
	}
	zone := r.zoneOf(instance, req.Zone)
	r.members.info[instance] = &instanceInfo{replica: req.Replica, disk: req.Disk, zone: zone, seen: r.now()}
	r.members.byID[req.Replica] = instance
	r.core.Observe(req.Replica)
}

// zoneOf returns the availability zone that an instance names itself, or else
// the one in the settings.
func (r *Replica) zoneOf(instance, named string) string {
	if named != "" {
		return named
	}
	return r.opts.PeerZone(instance)
}

// repairTick keeps the voters as they should be, one change at a time.
func (r *Replica) repairTick(now time.Duration) {
	v := r.view.Load()
	if !v.leads {
		return
	}
	r.forgetSilent(now)
	if len(r.opts.InitialVoters) == 0 || !r.confirmed(v) {
		return
	}
	s := planStep(r.opts.TargetVoters, r.plannedVoters(), r.candidates(now))
	r.takeStep(s, now)
}

func (r *Replica) forgetSilent(now time.Duration) {
	for instance, info := range r.members.info {
		if now-info.seen > forgetAfter {
			r.core.Forget(info.replica)
			delete(r.members.byID, info.replica)
			delete(r.members.info, instance)
		}
	}
}

func (r *Replica) plannedVoters() []voter {
	s := r.State()
	members := r.core.Status().Members
	voters := make([]voter, 0, len(members.Voters))
	for _, m := range members.Voters {
		ticks, _ := r.core.HeardTicks(m.ID)
		voters = append(voters, voter{
			Member:   m,
			self:     m.ID == r.id.Replica,
			silent:   time.Duration(ticks)*r.opts.Tick >= r.opts.RepairAfter || r.lostDisk(m),
			zoneOut:  s.ZoneOut(m.Zone),
			caughtUp: r.core.CaughtUp(m.ID),
		})
	}
	return voters
}

// lostDisk reports whether the voter's instance has another replica now. Its
// data folder was emptied, so the voter never comes back.
func (r *Replica) lostDisk(m raft.Member) bool {
	info := r.members.info[m.Instance]
	return r.opts.ReplaceEmptied && info != nil && info.disk && info.replica != m.ID
}

// candidates returns the learners that could become voters.
func (r *Replica) candidates(now time.Duration) []raft.Member {
	s := r.State()
	members := r.core.Status().Members
	var found []raft.Member
	for _, instance := range slices.Sorted(maps.Keys(r.members.info)) {
		info := r.members.info[instance]
		recent := now-info.seen < r.opts.FreshnessLease
		if info.disk && recent && !s.ZoneOut(info.zone) &&
			members.Voter(info.replica) == nil && r.core.CaughtUp(info.replica) {
			found = append(found, raft.Member{ID: info.replica, Instance: instance, Zone: info.zone})
		}
	}
	return found
}

// takeStep starts a step. One that the core refuses is planned again at the
// next tick.
func (r *Replica) takeStep(s step, now time.Duration) {
	members := r.core.Status().Members
	switch {
	case s.add != nil:
		if r.core.ProposeMembers(members.With(*s.add)) == nil {
			r.logStep(event.ReplicaVoterAdded, *s.add)
		}
	case s.remove != nil:
		if r.core.ProposeMembers(members.Without(s.remove.ID)) == nil {
			r.logStep(event.ReplicaVoterRemoved, *s.remove)
		}
	case s.transfer != nil && now >= r.repair.transferAt:
		const pause = 2 // election timeouts until the next attempt
		r.repair.transferAt = now + pause*r.opts.Tick*time.Duration(r.opts.ElectionTicks)
		if r.core.Transfer(s.transfer.ID) == nil {
			r.logStep(event.ReplicaTransfer, *s.transfer)
		}
	}
}

func (r *Replica) logStep(e event.Event, m raft.Member) {
	event.Log(r.opts.Logger, e, slog.String("peer", m.Instance), slog.String("zone", m.Zone),
		slog.Uint64("replica", uint64(m.ID)))
}

// errNoTarget is returned while no voter can take the leadership over.
var errNoTarget = errors.New("no other voter has caught up")

// TransferLeadership hands the leadership to another voter if this instance
// leads, and returns once it does not. It prefers availability zones that are
// in.
func (r *Replica) TransferLeadership(ctx context.Context) error {
	for {
		var led bool
		var err error
		if derr := r.do(ctx, func() { led, err = r.handOver() }); derr != nil {
			return errors.Join(derr, err)
		}
		if !led {
			return nil
		}
		if perr := r.pause(ctx, retryInterval); perr != nil {
			return errors.Join(perr, err)
		}
	}
}

// handOver starts a transfer unless one is under way, and reports whether this
// replica leads.
func (r *Replica) handOver() (led bool, err error) {
	if r.core.Status().Role != raft.Leader {
		return false, nil
	}
	if r.core.Transferring() {
		return true, nil
	}
	var target *voter
	voters := r.plannedVoters()
	for i := range voters {
		v := &voters[i]
		usable := !v.self && !v.silent && v.caughtUp
		if usable && (target == nil || target.zoneOut && !v.zoneOut) {
			target = v
		}
	}
	if target == nil {
		return true, errNoTarget
	}
	r.logStep(event.ReplicaTransfer, target.Member)
	return true, r.core.Transfer(target.ID)
}
