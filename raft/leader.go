package raft

import (
	"maps"
	"slices"
)

func (c *Core) becomeLeader() {
	c.role = Leader
	c.leader = c.opts.Self
	c.votes = nil
	c.transferTo = None
	c.peers = make(map[ID]*progress)
	for _, v := range c.members.Voters {
		c.addPeer(v.ID)
	}
	c.heartbeatIn = 0
	c.termStart = c.log.lastIndex() + 1
	c.appendEntry(Entry{Type: EntryNoop})
	c.heartbeat()
	c.broadcastAppend()
}

func (c *Core) addPeer(id ID) {
	if id == c.opts.Self || c.peers[id] != nil {
		return
	}
	c.peers[id] = &progress{next: c.log.lastIndex() + 1, heardAt: c.ticks}
}

// peerIDs returns the known replicas in a fixed order, so that a core gives
// equal output for equal input.
func (c *Core) peerIDs() []ID { return slices.Sorted(maps.Keys(c.peers)) }

func (c *Core) tickLeader() {
	if !c.quorumHeard() {
		c.becomeFollower(c.term, None)
		return
	}
	if c.transferTo != None {
		c.transferTicks++
		if c.transferTicks >= c.opts.ElectionTicks {
			c.transferTo = None
		}
	}
	if c.heartbeatIn--; c.heartbeatIn == 0 {
		c.heartbeat()
	}
}

// quorumHeard reports whether a majority was heard from within one election
// timeout.
func (c *Core) quorumHeard() bool {
	n := 0
	for _, v := range c.members.Voters {
		p := c.peers[v.ID]
		if v.ID == c.opts.Self || p != nil && c.ticks-p.heardAt <= c.opts.ElectionTicks {
			n++
		}
	}
	return n >= c.members.Majority()
}

// learnerRounds is how many rounds pass between two heartbeats to a learner,
// whose answers confirm nothing.
const learnerRounds = 3

// heartbeat starts a new round.
func (c *Core) heartbeat() {
	c.heartbeatIn = c.opts.HeartbeatTicks
	c.round++
	for _, id := range c.peerIDs() {
		if c.members.Voter(id) == nil && c.round%learnerRounds != 0 {
			continue
		}
		p := c.peers[id]
		c.send(Message{Type: MsgHeartbeat, To: id, Round: c.round, Commit: min(c.commit, p.match)})
	}
}

func (c *Core) appendEntry(e Entry) Entry {
	e.Index = c.log.lastIndex() + 1
	e.Term = c.term
	c.log.append(e)
	if e.Type == EntryMembers {
		c.refreshMembers()
	}
	return e
}

func (c *Core) broadcastAppend() {
	for _, id := range c.peerIDs() {
		c.sendAppends(id, c.peers[id])
	}
}

// sendAppends sends what the replica lacks, as far as flow control allows.
func (c *Core) sendAppends(id ID, p *progress) {
	for !p.blocked(c.opts.MaxInflight) {
		prev := p.next - 1
		prevTerm, ok := c.log.term(prev)
		if !ok {
			p.install()
			c.send(Message{Type: MsgSnapshot, To: id})
			return
		}
		entries := c.log.slice(p.next, c.log.lastIndex(), c.opts.MaxAppendBytes)
		if len(entries) == 0 && p.mode == replicating && p.sentCommit >= c.commit {
			return
		}
		c.send(Message{Type: MsgAppend, To: id, Index: prev, LogTerm: prevTerm, Entries: entries, Commit: c.commit})
		p.sentCommit = c.commit
		p.sentRound = c.round
		if p.mode == probing {
			p.paused = true
			return
		}
		if len(entries) == 0 {
			return
		}
		p.next += uint64(len(entries))
		p.inflight = append(p.inflight, p.next-1)
	}
}

func (c *Core) stepLeader(m Message) {
	if c.role != Leader {
		return
	}
	p := c.peers[m.From]
	if p == nil {
		return
	}
	p.heardAt = c.ticks
	if m.Type == MsgHeartbeatResp {
		c.stepHeartbeatResp(m, p)
	} else {
		c.stepAppendResp(m, p)
	}
}

// stepHeartbeatResp also finds lost appends: the answer to a heartbeat that
// was sent after an append comes after the answer to the append.
func (c *Core) stepHeartbeatResp(m Message, p *progress) {
	p.ackedRound = max(p.ackedRound, m.Round)
	if p.mode == installing || m.Round <= p.sentRound {
		return
	}
	switch {
	case p.mode == probing:
		p.paused = false
	case p.match < p.next-1:
		p.probe()
	}
	c.sendAppends(m.From, p)
}

func (c *Core) stepAppendResp(m Message, p *progress) {
	if m.Reject {
		late := m.Rejects <= p.match || p.mode == probing && m.Rejects != p.next-1
		if late || p.mode == installing {
			return
		}
		p.probe()
		p.next = max(p.match+1, min(m.Rejects, m.Index+1))
		c.sendAppends(m.From, p)
		return
	}
	if m.Index > c.log.lastIndex() {
		return
	}
	if m.Index > p.match {
		p.match = m.Index
	}
	p.acked(m.Index)
	switch p.mode {
	case installing:
		if _, known := c.log.term(p.match); known {
			p.replicate()
		}
	case probing:
		p.replicate()
	case replicating:
		p.next = max(p.next, p.match+1)
	}
	c.advanceCommit()
	if c.role != Leader {
		return
	}
	c.sendAppends(m.From, p)
	c.finishTransfer()
}

// advanceCommit commits what a majority has stored, in the own term only.
func (c *Core) advanceCommit() {
	stored := make([]uint64, 0, len(c.members.Voters))
	for _, v := range c.members.Voters {
		if v.ID == c.opts.Self {
			stored = append(stored, c.stable)
		} else {
			stored = append(stored, c.peers[v.ID].match)
		}
	}
	slices.Sort(stored)
	index := stored[len(stored)-c.members.Majority()]
	if term, ok := c.log.term(index); index <= c.commit || !ok || term != c.term {
		return
	}
	c.commit = index
	c.broadcastAppend()
	if !c.canCampaign() {
		// Its own removal is committed, which was all that it had to do.
		c.becomeFollower(c.term, None)
	}
}

// ReportSnapshot tells the leader that the transfer of a snapshot has ended:
// the replica has it up to index, or the transfer failed if index is 0. The
// next append waits for an answer of the replica, at the latest to a heartbeat.
func (c *Core) ReportSnapshot(to ID, index uint64) {
	p := c.peers[to]
	if p == nil || p.mode != installing {
		return
	}
	p.probe()
	p.next = max(p.next, index+1)
	p.paused = true
}
