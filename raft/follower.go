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
			Type: MsgAppendResp, To: m.From, Reject: true, Rejects: m.Index,
			Index: c.matchHint(m.Index),
		})
		return
	}
	last := m.Index + uint64(len(m.Entries))
	for i := range m.Entries {
		if term, ok := c.log.term(m.Entries[i].Index); !ok || term != m.Entries[i].Term {
			c.replaceFrom(m.Entries[i:])
			break
		}
	}
	c.commitTo(min(m.Commit, last))
	c.send(Message{Type: MsgAppendResp, To: m.From, Index: last})
}

// matchHint returns an index below a rejected one where logs may match: the
// entry before the run of the conflicting term.
func (c *Core) matchHint(rejected uint64) uint64 {
	if last := c.log.lastIndex(); rejected > last {
		return last
	}
	return max(c.commit, c.log.firstOfTerm(rejected)-1)
}

func (c *Core) replaceFrom(es []Entry) {
	first := es[0].Index
	c.log.replaceFrom(es)
	c.written = min(c.written, first-1)
	c.stable = min(c.stable, first-1)
	c.refreshMembers()
}

func (c *Core) commitTo(index uint64) { c.commit = max(c.commit, index) }

// stepSnapshot takes over a received snapshot, unless the log reaches as far.
// Entries after it are kept if the log matches it: they may already count as
// stored here.
func (c *Core) stepSnapshot(m Message) {
	p := m.Snapshot
	if p == nil {
		return
	}
	if term, ok := c.log.term(p.Index); ok && term == p.Term {
		c.commitTo(p.Index)
	} else if p.Index > c.commit {
		c.log = entryLog{base: *p}
		c.commit, c.handedOut = p.Index, p.Index
		c.stable, c.written = p.Index, p.Index
		c.installed = p
		c.refreshMembers()
	}
	c.send(Message{Type: MsgAppendResp, To: m.From, Index: c.commit})
}
