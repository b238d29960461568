package raft

func (c *Core) stepFollower(m Message) {
	switch m.Type {
	case MsgHeartbeat:
		c.commitTo(min(m.Commit, c.log.lastIndex()))
		c.send(Message{Type: MsgHeartbeatResp, To: m.From, Round: m.Round})
	case MsgAppend:
		c.stepAppend(m)
	case MsgSnapshot:
		c.stepSnapshot(m)
	}
}

func (c *Core) stepAppend(m Message) {
	if m.Index < c.commit {
		c.send(Message{Type: MsgAppendResp, To: m.From, Index: c.commit})
		return
	}
	if term, ok := c.log.term(m.Index); !ok || term != m.LogTerm {
		c.send(Message{
			Type: MsgAppendResp, To: m.From, Reject: true, RejectedIndex: m.Index,
			Index: c.matchHint(m.Index),
		})
		return
	}
	last := m.Index + uint64(len(m.Entries))
	for i := range m.Entries {
		if term, ok := c.log.term(m.Entries[i].Index); !ok || term != m.Entries[i].Term {
			c.truncateAndAppend(m.Entries[i:])
			break
		}
	}
	c.commitTo(min(m.Commit, last))
	c.send(Message{Type: MsgAppendResp, To: m.From, Index: last})
}

// matchHint returns an index below a rejected one at which the logs may match:
// the entry before the consecutive entries of the conflicting term.
func (c *Core) matchHint(rejected uint64) uint64 {
	if last := c.log.lastIndex(); rejected > last {
		return last
	}
	return max(c.commit, c.log.firstIndexOfTerm(rejected)-1)
}

func (c *Core) truncateAndAppend(es []Entry) {
	first := es[0].Index
	c.log.truncateAndAppend(es)
	c.emittedIndex = min(c.emittedIndex, first-1)
	c.stable = min(c.stable, first-1)
	c.refreshMembers()
}

func (c *Core) commitTo(index uint64) { c.commit = max(c.commit, index) }

// stepSnapshot installs a received snapshot unless the log already covers it.
// If the log contains the snapshot's last entry, the entries after it are kept,
// because the leader may already count them as stored on this replica.
func (c *Core) stepSnapshot(m Message) {
	p := m.Snapshot
	if p == nil {
		return
	}
	if term, ok := c.log.term(p.Index); ok && term == p.Term {
		c.commitTo(p.Index)
	} else if p.Index > c.commit {
		c.log = entryLog{base: *p}
		c.commit, c.deliveredIndex = p.Index, p.Index
		c.stable, c.emittedIndex = p.Index, p.Index
		c.installedSnapshot = p
		c.refreshMembers()
	}
	c.send(Message{Type: MsgAppendResp, To: m.From, Index: c.commit})
}
