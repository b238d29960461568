package replica

import (
	"apricotrouter/raft"
)

// voter is what the leader knows of a voter when it plans the membership.
type voter struct {
	raft.Member
	self     bool
	silent   bool // not heard from for RepairAfter
	zoneOut  bool // operators took its availability zone out
	caughtUp bool
}

// stays reports whether the voter need not be replaced.
func (v voter) stays() bool { return !v.silent && !v.zoneOut }

// step is one change of the group: at most one field is set.
type step struct {
	add      *raft.Member
	remove   *raft.Member
	transfer *raft.Member // hand the leadership to this voter
}

// planStep returns the next step towards target voters that are heard from,
// are in availability zones that are in, and are spread so that any one zone
// can be lost. Candidates are learners with a disk that have caught up and are
// in a zone that is in. A replacement is added before its predecessor is
// removed.
func planStep(target int, voters []voter, candidates []raft.Member) step {
	if s := planTransfer(voters); s.transfer != nil {
		return s
	}
	if len(voters) > target {
		return planRemoval(voters)
	}
	best := bestCandidate(voters, candidates)
	if best == nil {
		return step{}
	}
	if len(voters) < target {
		return step{add: best}
	}
	for _, v := range voters {
		if !v.stays() {
			return step{add: best}
		}
	}
	if spreadGains(voters, *best) {
		return step{add: best}
	}
	return step{}
}

// planTransfer moves the leadership off a zone that is out.
func planTransfer(voters []voter) step {
	var leaderOut bool
	for _, v := range voters {
		leaderOut = leaderOut || v.self && v.zoneOut
	}
	if !leaderOut {
		return step{}
	}
	for _, v := range voters {
		if !v.self && v.stays() && v.caughtUp {
			return step{transfer: &v.Member}
		}
	}
	return step{}
}

// planRemoval removes a silent voter, else one in a zone that is out, else one
// of the zone with the most voters, as long as a majority of the rest is heard.
func planRemoval(voters []voter) step {
	counts := zoneCounts(voters)
	var victim *voter
	for i := range voters {
		v := &voters[i]
		if !v.self && (victim == nil || removeBefore(*v, *victim, counts)) {
			victim = v
		}
	}
	if victim == nil {
		return step{}
	}
	heard := 0
	for _, v := range voters {
		if !v.silent && v.ID != victim.ID {
			heard++
		}
	}
	if heard < (len(voters)-1)/2+1 {
		return step{}
	}
	return step{remove: &victim.Member}
}

// removeBefore reports whether a is removed rather than b.
func removeBefore(a, b voter, counts map[string]int) bool {
	switch {
	case a.silent != b.silent:
		return a.silent
	case a.zoneOut != b.zoneOut:
		return a.zoneOut
	case counts[a.Zone] != counts[b.Zone]:
		return counts[a.Zone] > counts[b.Zone]
	}
	return a.Instance > b.Instance
}

// zoneCounts counts the voters of each zone that need not be replaced.
func zoneCounts(voters []voter) map[string]int {
	counts := make(map[string]int)
	for _, v := range voters {
		if v.stays() {
			counts[v.Zone]++
		}
	}
	return counts
}

// bestCandidate returns the candidate whose zone has the fewest voters.
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

// spreadGains reports whether the loss of one zone would now lose the
// majority, and a voter moved to the candidate's zone makes that zone smaller.
func spreadGains(voters []voter, c raft.Member) bool {
	counts := zoneCounts(voters)
	largest := 0
	for _, n := range counts {
		largest = max(largest, n)
	}
	endangered := len(voters)-largest < len(voters)/2+1
	return endangered && counts[c.Zone]+1 < largest
}
