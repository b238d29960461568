package raft

func (c *Core) resetElection() {
	c.electionElapsed = 0
	c.electionTimeout = c.opts.ElectionTicks + c.rng.Uint64N(c.opts.ElectionTicks+1)
}

// canCampaign reports whether this replica is a voter, or is one in the last
// committed membership. A replica with an uncommitted removal may campaign
// because its log may be the only one that is up to date enough to win the
// votes of the remaining voters.
func (c *Core) canCampaign() bool {
	if c.isVoter() {
		return true
	}
	committed, _ := c.log.membershipAt(c.commit)
	return committed.Voter(c.opts.Self) != nil
}

func (c *Core) becomeFollower(term uint64, leader ID) {
	if term > c.term {
		c.setTerm(term, None)
	}
	c.role = Follower
	c.leader = leader
	c.peers = nil
	c.votes = nil
	c.transferTo = None
	c.resetElection()
}

// acceptLeader follows the sender as the leader of the current term.
func (c *Core) acceptLeader(id ID) {
	if c.role != Follower || c.leader != id {
		c.becomeFollower(c.term, id)
	}
	c.electionElapsed = 0
}

// campaign requests votes. A pre-vote does not change the term, so a replica
// that cannot win does not disrupt the group. A leadership transfer sets force.
func (c *Core) campaign(pre, force bool) {
	c.leader = None
	c.votes = map[ID]bool{c.opts.Self: true}
	kind, term := MsgPreVote, c.term+1
	if pre {
		c.role = PreCandidate
	} else {
		c.role = Candidate
		c.setTerm(c.term+1, c.opts.Self)
		kind, term = MsgVote, c.term
		c.resetElection()
	}
	if c.countVotes(true) >= c.members.Majority() {
		c.onCampaignWon()
		return
	}
	for _, v := range c.members.Voters {
		if v.ID != c.opts.Self {
			c.send(Message{
				Type: kind, To: v.ID, Term: term, Force: force,
				Index: c.log.lastIndex(), LogTerm: c.log.lastTerm(),
			})
		}
	}
}

func (c *Core) onCampaignWon() {
	if c.role == PreCandidate {
		c.campaign(false, false)
		return
	}
	c.becomeLeader()
}

func (c *Core) countVotes(granted bool) int {
	n := 0
	for _, v := range c.members.Voters {
		if g, ok := c.votes[v.ID]; ok && g == granted {
			n++
		}
	}
	return n
}

// leaderActive reports whether a leader sent a message within the minimum
// election timeout. A core that has just started assumes an active leader.
func (c *Core) leaderActive() bool {
	if c.role == Leader {
		return true
	}
	if c.leader == None && c.ticks >= c.opts.ElectionTicks {
		return false
	}
	return c.electionElapsed < c.opts.ElectionTicks
}

func (c *Core) stepVoteRequest(m Message) {
	if !m.Force && c.leaderActive() {
		return
	}
	if m.Term < c.term {
		c.send(Message{Type: responseType(m.Type), To: m.From, Reject: true})
		return
	}
	upToDate := c.log.upToDate(m.Index, m.LogTerm)
	if m.Type == MsgPreVote {
		grant := m.Term > c.term && upToDate
		response := Message{Type: MsgPreVoteResp, To: m.From, Reject: !grant}
		if grant {
			response.Term = m.Term
		}
		c.send(response)
		return
	}
	if m.Term > c.term {
		c.becomeFollower(m.Term, None)
	}
	grant := upToDate && (c.vote == None && c.leader == None || c.vote == m.From)
	if grant {
		c.setTerm(c.term, m.From)
		c.resetElection()
	}
	c.send(Message{Type: MsgVoteResp, To: m.From, Reject: !grant})
}

func responseType(t MessageType) MessageType {
	if t == MsgPreVote {
		return MsgPreVoteResp
	}
	return MsgVoteResp
}

func (c *Core) stepVoteResponse(m Message) {
	switch {
	case c.role == PreCandidate && m.Type == MsgPreVoteResp:
		if !m.Reject && m.Term != c.term+1 {
			return
		}
	case c.role == Candidate && m.Type == MsgVoteResp:
	default:
		return
	}
	c.votes[m.From] = !m.Reject
	if c.countVotes(true) >= c.members.Majority() {
		c.onCampaignWon()
	} else if c.countVotes(false) >= c.members.Majority() {
		c.becomeFollower(c.term, None)
	}
}
