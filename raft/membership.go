package raft

import "slices"

// Propose appends a command and returns the index and term of its entry. The
// command is committed only if an entry with this index and this term appears
// in Output.Committed.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if c.transferTo != None {
		return 0, 0, ErrTransferring
	}
	e := c.appendEntry(Entry{Type: EntryCommand, Data: data})
	return e.Index, e.Term, nil
}

// Flush sends the entries proposed since the last call to the other replicas.
func (c *Core) Flush() {
	if c.role == Leader {
		c.broadcastAppend()
	}
}

// ProposeMembership adds or removes one voter. The change takes effect when it
// is appended. It is refused until the previous change and an entry of the
// leader's own term are committed: otherwise two majorities that do not overlap
// could exist.
func (c *Core) ProposeMembership(m Membership) error {
	switch {
	case c.role != Leader:
		return ErrNotLeader
	case c.transferTo != None:
		return ErrTransferring
	case c.membersIndex > c.commit || c.termStart > c.commit:
		return ErrMembershipChangePending
	case !differByOneVoter(c.members, m) || m.Voter(c.opts.Self) == nil:
		return ErrMembershipChangeTooLarge
	}
	for _, v := range m.Voters {
		if c.members.Voter(v.ID) == nil && !c.CaughtUp(v.ID) {
			return ErrNotCaughtUp
		}
	}
	c.appendEntry(Entry{Type: EntryMembership, Members: &m})
	c.broadcastAppend()
	return nil
}

// differByOneVoter reports whether one membership is the other plus one voter.
func differByOneVoter(a, b Membership) bool {
	if len(a.Voters) > len(b.Voters) {
		a, b = b, a
	}
	if len(a.Voters)+1 != len(b.Voters) {
		return false
	}
	for _, v := range a.Voters {
		if b.Voter(v.ID) == nil {
			return false
		}
	}
	return true
}

// maxCaughtUpLag is the number of entries that a learner may lack when it
// becomes a voter.
const maxCaughtUpLag = 256

// CaughtUp reports whether a replica lacks at most maxCaughtUpLag entries. It
// is always false on a replica that is not the leader.
func (c *Core) CaughtUp(id ID) bool {
	p := c.peers[id]
	return p != nil && p.mode == replicating && p.match+maxCaughtUpLag >= c.log.lastIndex() && p.match >= c.termStart
}

// AddLearner starts log replication to a replica that the leader does not know
// yet.
func (c *Core) AddLearner(id ID) {
	if c.role != Leader || c.peers[id] != nil || id == c.opts.Self {
		return
	}
	c.addPeer(id)
	c.sendAppends(id, c.peers[id])
}

// RemoveLearner stops log replication to a learner. It does nothing for a
// voter.
func (c *Core) RemoveLearner(id ID) {
	if c.members.Voter(id) == nil {
		delete(c.peers, id)
	}
}

// TransferLeadership starts a transfer of the leadership to a voter. The
// transfer is abandoned after one election timeout.
func (c *Core) TransferLeadership(to ID) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	if to == c.opts.Self || c.members.Voter(to) == nil || c.peers[to] == nil {
		return ErrNotCaughtUp
	}
	c.transferTo = to
	c.transferTicks = 0
	c.maybeSendTimeoutNow()
	return nil
}

// maybeSendTimeoutNow makes the target of a transfer campaign once it has
// stored the whole log.
func (c *Core) maybeSendTimeoutNow() {
	if c.transferTo == None || c.role != Leader {
		return
	}
	if p := c.peers[c.transferTo]; p != nil && p.match == c.log.lastIndex() {
		c.send(Message{Type: MsgTimeoutNow, To: c.transferTo})
	}
}

// Transferring reports whether a leadership transfer is in progress.
func (c *Core) Transferring() bool { return c.transferTo != None }

// Round returns the number of the last heartbeat round that was started.
func (c *Core) Round() uint64 { return c.heartbeatRound }

// ConfirmedRound returns the last heartbeat round that a majority has
// acknowledged in the leader's term, or 0 if this replica is not the leader.
func (c *Core) ConfirmedRound() uint64 {
	if c.role != Leader {
		return 0
	}
	acked := make([]uint64, 0, len(c.members.Voters))
	for _, v := range c.members.Voters {
		if v.ID == c.opts.Self {
			acked = append(acked, c.heartbeatRound)
		} else {
			acked = append(acked, c.peers[v.ID].ackedRound)
		}
	}
	slices.Sort(acked)
	return acked[len(acked)-c.members.Majority()]
}

// TicksSinceContact returns the number of ticks since the leader received a
// message from a replica, and whether the leader knows the replica.
func (c *Core) TicksSinceContact(id ID) (uint64, bool) {
	if id == c.opts.Self {
		return 0, true
	}
	p := c.peers[id]
	if p == nil {
		return 0, false
	}
	return c.ticks - p.lastContactTick, true
}

// Status is a summary of a core.
type Status struct {
	Self      ID
	Role      Role
	Term      uint64
	Leader    ID
	Commit    uint64
	LastIndex uint64
	LastTerm  uint64
	Base      uint64 // index of the last compacted entry
	TermStart uint64 // on a leader: index of the first entry of its term
	Voter     bool
	Members   Membership
}

// Status returns a summary of the core.
func (c *Core) Status() Status {
	return Status{
		Self: c.opts.Self, Role: c.role, Term: c.term, Leader: c.leader,
		Commit: c.commit, LastIndex: c.log.lastIndex(), LastTerm: c.log.lastTerm(),
		Base: c.log.base.Index, TermStart: c.termStart, Voter: c.isVoter(), Members: c.members,
	}
}

// Position returns the position of the entry at index, and whether the core
// still has its term.
func (c *Core) Position(index uint64) (Position, bool) {
	term, ok := c.log.term(index)
	if !ok {
		return Position{}, false
	}
	members, _ := c.log.membershipAt(index)
	return Position{Index: index, Term: term, Members: members}, true
}

// Tail returns the entries in memory. The caller must not modify the slice.
func (c *Core) Tail() []Entry {
	return c.log.slice(c.log.base.Index+1, c.log.lastIndex(), int(^uint(0)>>1))
}

// Base returns the position of the last compacted entry.
func (c *Core) Base() Position { return c.log.base }

// HardState returns the current term and vote.
func (c *Core) HardState() HardState { return HardState{Term: c.term, Vote: c.vote} }
