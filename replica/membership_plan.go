package replica

import (
	"apricotrouter/raft"
)

// voter is the leader's view of a voter for membership planning.
type voter struct {
	raft.Member
	self         bool
	unresponsive bool // no message for RepairAfter, or its data directory was wiped
	zoneDrained  bool // operators drained its availability zone
	caughtUp     bool
}

// eligible reports whether the voter may stay in the group.
func (v voter) eligible() bool { return !v.unresponsive && !v.zoneDrained }

// membershipStep is one change of the group. At most one field is set.
type membershipStep struct {
	add      *raft.Member
	remove   *raft.Member
	transfer *raft.Member // transfer the leadership to this voter
}

// planMembershipStep returns the next step towards target responsive voters in
// availability zones that are not drained, spread so that the group survives
// the loss of any one zone. Candidates are learners with a disk that have
// caught up and whose zone is not drained. A replacement is added before the
// voter that it replaces is removed.
func planMembershipStep(target int, voters []voter, candidates []raft.Member) membershipStep {
	if s := planTransfer(voters); s.transfer != nil {
		return s
	}
	if len(voters) > target {
		return planRemoval(voters)
	}
	best := bestCandidate(voters, candidates)
	if best == nil {
		return membershipStep{}
	}
	if len(voters) < target {
		return membershipStep{add: best}
	}
	for _, v := range voters {
		if !v.eligible() {
			return membershipStep{add: best}
		}
	}
	if improvesZoneSpread(voters, *best) {
		return membershipStep{add: best}
	}
	return membershipStep{}
}

// planTransfer moves the leadership out of a drained zone.
func planTransfer(voters []voter) membershipStep {
	var leaderDrained bool
	for _, v := range voters {
		leaderDrained = leaderDrained || v.self && v.zoneDrained
	}
	if !leaderDrained {
		return membershipStep{}
	}
	for _, v := range voters {
		if !v.self && v.eligible() && v.caughtUp {
			return membershipStep{transfer: &v.Member}
		}
	}
	return membershipStep{}
}

// planRemoval removes an unresponsive voter, else one in a drained zone, else
// one from the zone with the most voters. It removes none unless the remaining
// voters include a responsive majority.
func planRemoval(voters []voter) membershipStep {
	counts := zoneCounts(voters)
	var victim *voter
	for i := range voters {
		v := &voters[i]
		if !v.self && (victim == nil || removeBefore(*v, *victim, counts)) {
			victim = v
		}
	}
	if victim == nil {
		return membershipStep{}
	}
	responsive := 0
	for _, v := range voters {
		if !v.unresponsive && v.ID != victim.ID {
			responsive++
		}
	}
	if responsive < (len(voters)-1)/2+1 {
		return membershipStep{}
	}
	return membershipStep{remove: &victim.Member}
}

// removeBefore reports whether a is removed in preference to b.
func removeBefore(a, b voter, counts map[string]int) bool {
	switch {
	case a.unresponsive != b.unresponsive:
		return a.unresponsive
	case a.zoneDrained != b.zoneDrained:
		return a.zoneDrained
	case counts[a.Zone] != counts[b.Zone]:
		return counts[a.Zone] > counts[b.Zone]
	}
	return a.Instance > b.Instance
}

// zoneCounts returns the number of eligible voters in each zone.
func zoneCounts(voters []voter) map[string]int {
	counts := make(map[string]int)
	for _, v := range voters {
		if v.eligible() {
			counts[v.Zone]++
		}
	}
	return counts
}

// bestCandidate returns a candidate from the zone with the fewest eligible
// voters.
func bestCandidate(voters []voter, candidates []raft.Member) *raft.Member {
	counts := zoneCounts(voters)
	var best *raft.Member
	for i := range candidates {
		c := &candidates[i]
		if best == nil || counts[c.Zone] < counts[best.Zone] ||
			counts[c.Zone] == counts[best.Zone] && c.Instance < best.Instance {
			best = c
		}
	}
	return best
}

// improvesZoneSpread reports whether the loss of one zone would lose the
// majority, and moving a voter to the candidate's zone reduces the largest
// zone.
func improvesZoneSpread(voters []voter, c raft.Member) bool {
	counts := zoneCounts(voters)
	largest := 0
	for _, n := range counts {
		largest = max(largest, n)
	}
	atRisk := len(voters)-largest < len(voters)/2+1
	return atRisk && counts[c.Zone]+1 < largest
}
