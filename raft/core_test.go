package raft

import (
	"testing"

	. "github.com/onsi/gomega"
)

// isolate blocks all messages from and to a replica.
func (s *sim) isolate(id ID) {
	s.blocked = func(from, to ID) bool { return (from == id) != (to == id) }
}

// Guards against a partitioned leader that keeps leading, and against one that
// forces an election when it reconnects after a long time.
func TestPartitionedLeaderStepsDownWithoutDisruption(t *testing.T) {
	g := NewWithT(t)
	s := newSim(t, 5)
	old := s.elect()
	s.isolate(old.id)
	s.run(int(old.core.opts.ElectionTicks) + 1)
	g.Expect(old.core.role).NotTo(Equal(Leader), "the leader steps down after one election timeout")
	s.run(500)
	leader := s.leader()
	g.Expect(leader).NotTo(BeNil())
	term := leader.core.term
	s.blocked = nil
	s.run(100)
	g.Expect(s.leader()).To(Equal(leader))
	g.Expect(leader.core.term).To(Equal(term), "the returning replica caused an election")
	g.Expect(old.core.leader).To(Equal(leader.id))
}

// Guards against an entry of an earlier term that is considered committed
// because a majority stores it. A replica without the entry can still win an
// election, and the entry would be lost.
func TestCommitOnlyInOwnTerm(t *testing.T) {
	g := NewWithT(t)
	m := Membership{Voters: []Member{{ID: 1}, {ID: 2}, {ID: 3}}}
	c := New(Options{
		Self: 1, ElectionTicks: 10, HardState: HardState{Term: 3},
		Base: Position{Index: 1, Term: 1, Members: m}, Entries: []Entry{{Index: 2, Term: 2}},
	})
	c.campaign(false, true)
	c.Step(Message{Type: MsgVoteResp, From: 2, To: 1, Term: 4})
	g.Expect(c.role).To(Equal(Leader))
	c.Persisted(c.Take().Entries)
	c.Step(Message{Type: MsgAppendResp, From: 2, To: 1, Term: 4, Index: 2})
	g.Expect(c.commit).To(Equal(uint64(1)), "a majority stores entry 2 of term 2")
	c.Step(Message{Type: MsgAppendResp, From: 2, To: 1, Term: 4, Index: 3})
	g.Expect(c.commit).To(Equal(uint64(3)))
}

func requestVote(c *Core, from ID, kind MessageType) []Message {
	c.Take()
	c.Step(Message{Type: kind, From: from, To: c.opts.Self, Term: c.term + 1, Index: 100, LogTerm: 100})
	return c.Take().Messages
}

// Guards against a candidate that wins the votes of followers whose leader is
// still active.
func TestFollowerIgnoresVoteRequestsUnderActiveLeader(t *testing.T) {
	g := NewWithT(t)
	s := newSim(t, 3)
	leader := s.elect()
	for _, id := range s.order {
		n := s.nodes[id]
		g.Expect(requestVote(n.core, 99, MsgVote)).To(BeEmpty(), "replica %d (%v)", id, n.core.role)
		g.Expect(requestVote(n.core, 99, MsgPreVote)).To(BeEmpty())
	}
	g.Expect(s.leader()).To(Equal(leader))
	n := s.nodes[leader.core.peerIDs()[0]]
	for range n.core.opts.ElectionTicks {
		n.core.Tick()
	}
	g.Expect(requestVote(n.core, 99, MsgVote)).To(ContainElement(HaveField("Type", MsgVoteResp)))
}

// Guards against a second leader within the time in which the first one relies
// on its followers. A follower does not remember the leader after a restart.
func TestRestartedReplicaGrantsNoVoteAtOnce(t *testing.T) {
	g := NewWithT(t)
	s := newSim(t, 3)
	s.elect()
	n := s.nodes[2]
	s.restart(n)
	g.Expect(requestVote(n.core, 99, MsgVote)).To(BeEmpty())
	for range n.core.opts.ElectionTicks {
		n.core.Tick()
	}
	g.Expect(requestVote(n.core, 99, MsgVote)).NotTo(BeEmpty())
}

// Guards against two majorities that do not overlap: a membership change before
// the previous one is committed, or before an entry of the leader's own term is
// committed.
func TestOneMembershipChangeAtATime(t *testing.T) {
	g := NewWithT(t)
	s := newSim(t, 3)
	leader := s.elect()
	s.add(100, Position{}, HardState{})
	s.add(101, Position{}, HardState{})
	g.Expect(leader.core.ProposeMembership(leader.core.members.WithVoter(Member{ID: 100}))).To(MatchError(ErrNotCaughtUp))
	s.addAllLearners(leader)
	s.run(10)
	two := leader.core.members.WithVoter(Member{ID: 100}).WithVoter(Member{ID: 101})
	g.Expect(leader.core.ProposeMembership(two)).To(MatchError(ErrMembershipChangeTooLarge))
	g.Expect(leader.core.ProposeMembership(leader.core.members.WithVoter(Member{ID: 100}))).To(Succeed())
	g.Expect(leader.core.ProposeMembership(leader.core.members.WithVoter(Member{ID: 101}))).To(MatchError(ErrMembershipChangePending))
	s.process(leader, false, false)
	s.run(10)
	g.Expect(leader.core.ProposeMembership(leader.core.members.WithVoter(Member{ID: 101}))).To(Succeed())
	s.process(leader, false, false)
	s.run(10)

	leader.core.becomeFollower(leader.core.term, None)
	leader.core.campaign(false, true)
	leader.core.becomeLeader()
	g.Expect(leader.core.ProposeMembership(leader.core.members.WithoutVoter(2))).To(MatchError(ErrMembershipChangePending))
}

// Guards against a group that can no longer elect a leader: the only replica
// with a sufficiently up-to-date log contains its own uncommitted removal.
func TestReplicaWithUncommittedRemovalElects(t *testing.T) {
	g := NewWithT(t)
	s := newSim(t, 4)
	leader := s.elect()
	var removed, others []ID
	for _, id := range s.order {
		if id != leader.id && len(removed) == 0 {
			removed = append(removed, id)
		} else if id != leader.id {
			others = append(others, id)
		}
	}
	s.blocked = func(_, to ID) bool { return to == others[0] || to == others[1] }
	g.Expect(leader.core.ProposeMembership(leader.core.members.WithoutVoter(removed[0]))).To(Succeed())
	s.process(leader, false, false)
	s.run(3)
	g.Expect(s.nodes[removed[0]].core.isVoter()).To(BeFalse())
	leader.core = nil // never restarted
	s.order = append(removed, others...)
	s.blocked = nil
	next := s.elect()
	g.Expect(s.propose(next)).To(BeTrue())
}

// Guards against a learner that ignores most vote requests because it still
// considers a leader active that stopped sending long ago.
func TestLearnerClearsUnresponsiveLeader(t *testing.T) {
	g := NewWithT(t)
	s := newSim(t, 1)
	learner := s.add(100, Position{}, HardState{})
	leader := s.elect()
	s.addAllLearners(leader)
	s.run(5)
	g.Expect(learner.core.leader).To(Equal(leader.id))
	for range 200 {
		learner.core.Tick()
		if learner.core.ticks > 100 {
			g.Expect(learner.core.leaderActive()).To(BeFalse())
		}
	}
	g.Expect(learner.core.leader).To(Equal(None))
}

// Guards against a delayed snapshot that makes a follower discard later entries
// which the leader counts as stored on it.
func TestLateSnapshotKeepsStoredEntries(t *testing.T) {
	g := NewWithT(t)
	m := Membership{Voters: []Member{{ID: 1}, {ID: 2}}}
	c := New(Options{
		Self: 1, HardState: HardState{Term: 2}, Base: Position{Index: 1, Term: 1, Members: m},
		Entries: []Entry{{Index: 2, Term: 2}, {Index: 3, Term: 2}, {Index: 4, Term: 2}},
	})
	c.Step(Message{
		Type: MsgSnapshot, From: 2, To: 1, Term: 2,
		Snapshot: &Position{Index: 3, Term: 2, Members: m},
	})
	g.Expect(c.log.lastIndex()).To(Equal(uint64(4)))
	g.Expect(c.commit).To(Equal(uint64(3)))
	c.Take()
	c.Compact(3)
	c.Step(Message{
		Type: MsgSnapshot, From: 2, To: 1, Term: 2,
		Snapshot: &Position{Index: 2, Term: 2, Members: m},
	})
	g.Expect(c.Take().Snapshot).To(BeNil(), "an older snapshot")
}

// Guards against a replica that votes for two candidates in one term because it
// lost its vote in a restart.
func TestVoteSurvivesRestart(t *testing.T) {
	g := NewWithT(t)
	s := newSim(t, 3)
	n := s.nodes[1]
	for range n.core.opts.ElectionTicks {
		n.core.electionElapsed = 0
		n.core.Tick()
	}
	ask := func(from ID) {
		n.core.Step(Message{Type: MsgVote, From: from, To: 1, Term: 5, Index: 100, LogTerm: 100, Force: true})
		s.process(n, false, false)
	}
	ask(2)
	s.restart(n)
	ask(3)
	g.Expect(s.queue).To(HaveLen(2))
	g.Expect(s.queue[0].Reject).To(BeFalse())
	g.Expect(s.queue[1].Reject).To(BeTrue())
}

// Guards against a leader that sends without limit to an unresponsive replica,
// and against one that never retransmits lost entries.
func TestFlowControlAndLostAppends(t *testing.T) {
	g := NewWithT(t)
	s := newSim(t, 3)
	leader := s.elect()
	s.run(5)
	s.queue = nil
	for range 50 {
		g.Expect(s.propose(leader)).To(BeTrue())
	}
	var to2 int
	for _, m := range s.queue {
		if m.To != leader.id && m.Type == MsgAppend && m.To == leader.core.peerIDs()[0] {
			to2++
		}
	}
	g.Expect(to2).To(BeNumerically("<=", leader.core.opts.MaxInflight))
	s.queue = nil // lost
	s.run(20)
	for _, id := range s.order {
		g.Expect(s.nodes[id].applied).To(Equal(leader.core.log.lastIndex()))
	}
}

// Guards against a transfer that loses proposals or targets a replica without
// the whole log, and against a leader that rejects proposals after a failed
// transfer.
func TestTransfer(t *testing.T) {
	g := NewWithT(t)
	s := newSim(t, 3)
	leader := s.elect()
	target := leader.core.peerIDs()[0]
	s.blocked = func(_, to ID) bool { return to == target }
	g.Expect(leader.core.TransferLeadership(target)).To(Succeed())
	g.Expect(s.propose(leader)).To(BeFalse())
	s.run(int(leader.core.opts.ElectionTicks) + 1)
	g.Expect(leader.core.role).To(Equal(Leader))
	g.Expect(s.propose(leader)).To(BeTrue(), "the transfer was abandoned")
	s.blocked = nil
	s.run(10)
	g.Expect(leader.core.TransferLeadership(target)).To(Succeed())
	s.process(leader, false, false)
	s.run(3)
	g.Expect(s.leader().id).To(Equal(target))
}
