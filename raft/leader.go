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
	c.heartbeatCountdown = 0
	c.termStart = c.log.lastIndex() + 1
	c.appendEntry(Entry{Type: EntryNoop})
	c.heartbeat()
	c.broadcastAppend()
}

func (c *Core) addPeer(id ID) {
	if id == c.opts.Self || c.peers[id] != nil {
		return
	}
	c.peers[id] = &progress{next: c.log.lastIndex() + 1, lastContactTick: c.ticks}
}

// peerIDs returns the known replicas in ascending order, so that equal input to
// a core gives equal output.
func (c *Core) peerIDs() []ID { return slices.Sorted(maps.Keys(c.peers)) }

func (c *Core) tickLeader() {
	if !c.quorumActive() {
		c.becomeFollower(c.term, None)
		return
	}
	if c.transferTo != None {
		c.transferTicks++
		if c.transferTicks >= c.opts.ElectionTicks {
			c.transferTo = None
		}
	}
	if c.heartbeatCountdown--; c.heartbeatCountdown == 0 {
		c.heartbeat()
	}
}

// quorumActive reports whether a majority of the voters, this replica included,
// sent a message within one election timeout.
func (c *Core) quorumActive() bool {
	n := 0
	for _, v := range c.members.Voters {
		p := c.peers[v.ID]
		if v.ID == c.opts.Self || p != nil && c.ticks-p.lastContactTick <= c.opts.ElectionTicks {
			n++
		}
	}
	return n >= c.members.Majority()
}

// learnerHeartbeatRounds is the interval, in heartbeat rounds, between
// heartbeats to a learner. Learners' responses do not count towards a confirmed
// round.
const learnerHeartbeatRounds = 3

// heartbeat starts a new heartbeat round.
func (c *Core) heartbeat() {
	c.heartbeatCountdown = c.opts.HeartbeatTicks
	c.heartbeatRound++
	for _, id := range c.peerIDs() {
		if c.members.Voter(id) == nil && c.heartbeatRound%learnerHeartbeatRounds != 0 {
			continue
		}
		p := c.peers[id]
		c.send(Message{Type: MsgHeartbeat, To: id, Round: c.heartbeatRound, Commit: min(c.commit, p.match)})
	}
}

func (c *Core) appendEntry(e Entry) Entry {
	e.Index = c.log.lastIndex() + 1
	e.Term = c.term
	c.log.append(e)
	if e.Type == EntryMembership {
		c.refreshMembers()
	}
	return e
}

func (c *Core) broadcastAppend() {
	for _, id := range c.peerIDs() {
		c.sendAppends(id, c.peers[id])
	}
}

// sendAppends sends the entries that the replica lacks, within the limits of
// flow control.
func (c *Core) sendAppends(id ID, p *progress) {
	for !p.blocked(c.opts.MaxInflight) {
		prev := p.next - 1
		prevTerm, ok := c.log.term(prev)
		if !ok {
			p.becomeAwaitingSnapshot()
			c.send(Message{Type: MsgSnapshot, To: id})
			return
		}
		entries := c.log.slice(p.next, c.log.lastIndex(), c.opts.MaxAppendBytes)
		if len(entries) == 0 && p.mode == replicating && p.sentCommit >= c.commit {
			return
		}
		c.send(Message{Type: MsgAppend, To: id, Index: prev, LogTerm: prevTerm, Entries: entries, Commit: c.commit})
		p.sentCommit = c.commit
		p.sentRound = c.heartbeatRound
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
	p.lastContactTick = c.ticks
	if m.Type == MsgHeartbeatResp {
		c.stepHeartbeatResp(m, p)
	} else {
		c.stepAppendResp(m, p)
	}
}

// stepHeartbeatResp also detects lost appends: if a heartbeat was sent after an
// append, its response arrives after the response to the append.
func (c *Core) stepHeartbeatResp(m Message, p *progress) {
	p.ackedRound = max(p.ackedRound, m.Round)
	if p.mode == awaitingSnapshot || m.Round <= p.sentRound {
		return
	}
	switch {
	case p.mode == probing:
		p.paused = false
	case p.match < p.next-1:
		p.becomeProbing()
	}
	c.sendAppends(m.From, p)
}

func (c *Core) stepAppendResp(m Message, p *progress) {
	if m.Reject {
		stale := m.RejectedIndex <= p.match || p.mode == probing && m.RejectedIndex != p.next-1
		if stale || p.mode == awaitingSnapshot {
			return
		}
		p.becomeProbing()
		p.next = max(p.match+1, min(m.RejectedIndex, m.Index+1))
		c.sendAppends(m.From, p)
		return
	}
	if m.Index > c.log.lastIndex() {
		return
	}
	if m.Index > p.match {
		p.match = m.Index
	}
	p.releaseInflight(m.Index)
	switch p.mode {
	case awaitingSnapshot:
		if _, known := c.log.term(p.match); known {
			p.becomeReplicating()
		}
	case probing:
		p.becomeReplicating()
	case replicating:
		p.next = max(p.next, p.match+1)
	}
	c.advanceCommit()
	if c.role != Leader {
		return
	}
	c.sendAppends(m.From, p)
	c.maybeSendTimeoutNow()
}

// advanceCommit commits the entries that a majority has stored, but only
// entries of the leader's own term.
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
		// The removal of this replica is committed, so it steps down.
		c.becomeFollower(c.term, None)
	}
}

// ReportSnapshot reports the end of a snapshot transfer to a replica. The index
// is that of the last entry in the snapshot, or 0 if the transfer failed. The
// next append is sent after the replica responds, at the latest to a heartbeat.
func (c *Core) ReportSnapshot(to ID, index uint64) {
	p := c.peers[to]
	if p == nil || p.mode != awaitingSnapshot {
		return
	}
	p.becomeProbing()
	p.next = max(p.next, index+1)
	p.paused = true
}
