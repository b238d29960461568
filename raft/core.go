package raft

import (
	"math/rand/v2"
	"slices"
)

// Defaults of Options.
const (
	// DefaultHeartbeatTicks is 100 ms with a tick of 50 ms.
	DefaultHeartbeatTicks = 2
	// DefaultElectionTicks is 1 s with a tick of 50 ms. The timeout of each
	// election is random between this and twice this.
	DefaultElectionTicks  = 20
	DefaultMaxAppendBytes = 512 << 10
	DefaultMaxInflight    = 32
)

// Options of a core.
type Options struct {
	Self           ID
	HeartbeatTicks uint64
	ElectionTicks  uint64
	MaxAppendBytes int
	MaxInflight    int // unacknowledged MsgAppend messages per replica
	Seed           uint64

	// State recovered from disk. All are zero for a replica without a disk.
	HardState HardState
	Base      Position // last entry before Entries; covered by the snapshot
	Entries   []Entry  // entries after Base
	Commit    uint64   // lower bound of the group's commit index
	Applied   uint64   // entries up to this index are not returned by Take again
}

// Core is the state machine of one replica. It is not safe for concurrent use.
type Core struct {
	opts Options
	rng  *rand.Rand

	term           uint64
	vote           ID
	role           Role
	leader         ID
	log            entryLog
	commit         uint64
	deliveredIndex uint64 // last entry returned in Output.Committed
	stable         uint64 // last entry synced to this replica's disk

	members      Membership // in effect: the newest in the log, committed or not
	membersIndex uint64

	ticks              uint64
	electionElapsed    uint64
	electionTimeout    uint64
	heartbeatCountdown uint64
	votes              map[ID]bool

	// State of a leader.
	peers          map[ID]*progress
	heartbeatRound uint64
	termStart      uint64 // index of the first entry of the leader's term
	transferTo     ID
	transferTicks  uint64

	// Pending for the next Output.
	emittedIndex      uint64 // last entry returned in Output.Entries; later ones are not written yet
	hardStateChanged  bool
	installedSnapshot *Position
	messages          []Message
}

// New returns a core in the follower role. For one election timeout it grants
// no vote, because it may have acknowledged a leader's heartbeat before a
// restart.
func New(o Options) *Core {
	if o.HeartbeatTicks == 0 {
		o.HeartbeatTicks = DefaultHeartbeatTicks
	}
	if o.ElectionTicks == 0 {
		o.ElectionTicks = DefaultElectionTicks
	}
	if o.MaxAppendBytes == 0 {
		o.MaxAppendBytes = DefaultMaxAppendBytes
	}
	if o.MaxInflight == 0 {
		o.MaxInflight = DefaultMaxInflight
	}
	c := &Core{
		opts: o,
		rng:  rand.New(rand.NewPCG(uint64(o.Self), o.Seed)),
		term: o.HardState.Term,
		vote: o.HardState.Vote,
		log:  entryLog{base: o.Base, entries: slices.Clone(o.Entries)},
	}
	c.commit = max(o.Base.Index, o.Applied, min(o.Commit, c.log.lastIndex()))
	c.deliveredIndex = max(o.Base.Index, o.Applied)
	c.stable = c.log.lastIndex()
	c.emittedIndex = c.stable
	c.refreshMembers()
	c.resetElection()
	return c
}

// Tick advances time by one tick.
func (c *Core) Tick() {
	c.ticks++
	c.electionElapsed++
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.electionElapsed >= c.electionTimeout {
		c.resetElection()
		c.leader = None
		if c.canCampaign() {
			c.campaign(true, false)
		}
	}
}

// Step processes a message from another replica.
func (c *Core) Step(m Message) {
	if m.From == c.opts.Self {
		return
	}
	switch {
	case m.Type == MsgPreVote || m.Type == MsgVote:
		c.stepVoteRequest(m)
		return
	case m.Type == MsgPreVoteResp && !m.Reject:
		// A granted pre-vote carries the term of the prospective election.
	case m.Term > c.term:
		leader := None
		if isLeaderMessage(m.Type) {
			leader = m.From
		}
		c.becomeFollower(m.Term, leader)
	case m.Term < c.term:
		c.rejectStaleLeader(m)
		return
	}
	switch m.Type {
	case MsgPreVoteResp, MsgVoteResp:
		c.stepVoteResponse(m)
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		c.acceptLeader(m.From)
		c.stepFollower(m)
	case MsgTimeoutNow:
		if c.canCampaign() && c.role != Leader {
			c.campaign(false, true)
		}
	case MsgAppendResp, MsgHeartbeatResp:
		c.stepLeader(m)
	}
}

func isLeaderMessage(t MessageType) bool {
	return t == MsgAppend || t == MsgHeartbeat || t == MsgSnapshot
}

// rejectStaleLeader informs the leader of an earlier term about the current
// term. Without this response, a replica with a higher term would never follow
// that leader again.
func (c *Core) rejectStaleLeader(m Message) {
	if isLeaderMessage(m.Type) {
		c.send(Message{Type: MsgAppendResp, To: m.From, Reject: true, RejectedIndex: m.Index, Index: c.log.lastIndex()})
	}
}

// Take returns the work that has accumulated since the last call.
func (c *Core) Take() Output {
	out := Output{Snapshot: c.installedSnapshot, Messages: c.messages}
	if c.hardStateChanged {
		out.HardState = &HardState{Term: c.term, Vote: c.vote}
	}
	if last := c.log.lastIndex(); last > c.emittedIndex {
		out.Entries = c.log.slice(c.emittedIndex+1, last, int(^uint(0)>>1))
		c.emittedIndex = last
	}
	if c.commit > c.deliveredIndex {
		out.Committed = c.log.slice(c.deliveredIndex+1, c.commit, int(^uint(0)>>1))
		c.deliveredIndex = c.commit
	}
	c.installedSnapshot, c.messages, c.hardStateChanged = nil, nil, false
	return out
}

// Persisted reports that the entries of an Output have been synced to disk.
func (c *Core) Persisted(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	last := entries[len(entries)-1]
	if term, ok := c.log.term(last.Index); !ok || term != last.Term {
		return
	}
	c.stable = max(c.stable, last.Index)
	if c.role == Leader {
		c.advanceCommit()
	}
}

// Compact discards the entries up to index from memory. They must be applied.
func (c *Core) Compact(index uint64) {
	if index > c.deliveredIndex {
		return
	}
	members, _ := c.log.membershipAt(index)
	c.log.compact(index, members)
}

func (c *Core) send(m Message) {
	m.From = c.opts.Self
	if m.Term == 0 {
		m.Term = c.term
	}
	c.messages = append(c.messages, m)
}

func (c *Core) setTerm(term uint64, vote ID) {
	if term == c.term && vote == c.vote {
		return
	}
	c.term, c.vote = term, vote
	c.hardStateChanged = true
}

func (c *Core) refreshMembers() {
	c.members, c.membersIndex = c.log.membershipAt(c.log.lastIndex())
}

func (c *Core) isVoter() bool { return c.members.Voter(c.opts.Self) != nil }
