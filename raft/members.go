package raft

import "slices"

// Propose appends a command and returns its index and term. It commits only
// if Output.Committed has an entry with this index and this term.
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

// Flush sends the entries proposed since the last call to the followers.
func (c *Core) Flush() {
	if c.role == Leader {
		c.broadcastAppend()
	}
}

// ProposeMembers changes the membership by one voter. The change is in force
// from its append on. A change is refused until the one before it and an entry
// of the own term are committed: otherwise two majorities that do not overlap
// could exist.
func (c *Core) ProposeMembers(m Membership) error {
	switch {
	case c.role != Leader:
		return ErrNotLeader
	case c.transferTo != None:
		return ErrTransferring
	case c.membersIndex > c.commit || c.termStart > c.commit:
		return ErrMembersBusy
	case !oneStep(c.members, m) || m.Voter(c.opts.Self) == nil:
		return ErrMembersStep
	}
	for _, v := range m.Voters {
		if c.members.Voter(v.ID) == nil && !c.CaughtUp(v.ID) {
			return ErrNotCaughtUp
		}
	}
	c.appendEntry(Entry{Type: EntryMembers, Members: &m})
	c.broadcastAppend()
	return nil
}

// oneStep reports whether the memberships differ by one voter.
func oneStep(a, b Membership) bool {
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

// caughtUpEntries is how many entries a learner may lack to become a voter.
const caughtUpEntries = 256

// CaughtUp reports whether a replica has almost the whole log. It is false on
// a replica that is not the leader.
func (c *Core) CaughtUp(id ID) bool {
	p := c.peers[id]
	return p != nil && p.mode == replicating && p.match+caughtUpEntries >= c.log.lastIndex() && p.match >= c.termStart
}

// Observe starts to send the log to a replica.
func (c *Core) Observe(id ID) {
	if c.role != Leader || c.peers[id] != nil || id == c.opts.Self {
		return
	}
	c.addPeer(id)
	c.sendAppends(id, c.peers[id])
}

// Forget stops sending the log to a learner.
func (c *Core) Forget(id ID) {
	if c.members.Voter(id) == nil {
		delete(c.peers, id)
	}
}

// Transfer starts to hand the leadership to a voter. It is given up after one
// election timeout.
func (c *Core) Transfer(to ID) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	if to == c.opts.Self || c.members.Voter(to) == nil || c.peers[to] == nil {
		return ErrNotCaughtUp
	}
	c.transferTo = to
	c.transferTicks = 0
	c.finishTransfer()
	return nil
}

// finishTransfer tells the target to campaign once it has the whole log.
func (c *Core) finishTransfer() {
	if c.transferTo == None || c.role != Leader {
		return
	}
	if p := c.peers[c.transferTo]; p != nil && p.match == c.log.lastIndex() {
		c.send(Message{Type: MsgTimeoutNow, To: c.transferTo})
	}
}

// Transferring reports whether a transfer of the leadership is under way.
func (c *Core) Transferring() bool { return c.transferTo != None }

// Round returns the number of the heartbeat round started last.
func (c *Core) Round() uint64 { return c.round }

// ConfirmedRound returns the last round that a majority has answered in the
// leader's term, or 0.
func (c *Core) ConfirmedRound() uint64 {
	if c.role != Leader {
		return 0
	}
	acked := make([]uint64, 0, len(c.members.Voters))
	for _, v := range c.members.Voters {
		if v.ID == c.opts.Self {
			acked = append(acked, c.round)
		} else {
			acked = append(acked, c.peers[v.ID].ackedRound)
		}
	}
	slices.Sort(acked)
	return acked[len(acked)-c.members.Majority()]
}

// HeardTicks returns how many ticks ago the leader heard from a replica, and
// whether it knows it.
func (c *Core) HeardTicks(id ID) (uint64, bool) {
	if id == c.opts.Self {
		return 0, true
	}
	p := c.peers[id]
	if p == nil {
		return 0, false
	}
	return c.ticks - p.heardAt, true
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
	TermStart uint64 // of a leader: index of its first entry
	Voter     bool
	Members   Membership
}

// Status returns a summary.
func (c *Core) Status() Status {
	return Status{
		Self: c.opts.Self, Role: c.role, Term: c.term, Leader: c.leader,
		Commit: c.commit, LastIndex: c.log.lastIndex(), LastTerm: c.log.lastTerm(),
		Base: c.log.base.Index, TermStart: c.termStart, Voter: c.isVoter(), Members: c.members,
	}
}

// Position returns the position of a known entry.
func (c *Core) Position(index uint64) (Position, bool) {
	term, ok := c.log.term(index)
	if !ok {
		return Position{}, false
	}
	members, _ := c.log.membersAt(index)
	return Position{Index: index, Term: term, Members: members}, true
}

// Tail returns the entries in memory. The slice must not be changed.
func (c *Core) Tail() []Entry {
	return c.log.slice(c.log.base.Index+1, c.log.lastIndex(), int(^uint(0)>>1))
}

// Base returns the position of the last compacted entry.
func (c *Core) Base() Position { return c.log.base }

// HardState returns the current term and vote.
func (c *Core) HardState() HardState { return HardState{Term: c.term, Vote: c.vote} }
