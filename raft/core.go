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
	MaxInflight    int // appends to one replica that wait for an answer
	Seed           uint64

	// What was read from disk. A replica without a disk starts from zero.
	HardState HardState
	Base      Position // position of the snapshot
	Entries   []Entry  // entries after Base
	Commit    uint64   // at most the last entry that is known to be committed
	Applied   uint64   // entries up to here are not handed out again
}

// Core is the state machine of one replica. It is not safe for concurrent use.
type Core struct {
	opts Options
	rng  *rand.Rand

	term      uint64
	vote      ID
	role      Role
	leader    ID
	log       entryLog
	commit    uint64
	handedOut uint64 // last entry handed out in Output.Committed
	stable    uint64 // last entry that is synced here

	members      Membership // in force: the newest in the log, committed or not
	membersIndex uint64

	ticks           uint64
	electionElapsed uint64
	electionTimeout uint64
	heartbeatIn     uint64
	votes           map[ID]bool

	// Of the leader.
	peers         map[ID]*progress
	round         uint64
	termStart     uint64 // index of the first entry of the own term
	transferTo    ID
	transferTicks uint64

	// Of the next Output.
	written     uint64 // entries above this are not handed out for writing
	hardChanged bool
	installed   *Position
	messages    []Message
}

// New returns a core in the role of a follower. It grants no vote within one
// election timeout, because it may have answered a leader before a restart.
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
	c.handedOut = max(o.Base.Index, o.Applied)
	c.stable = c.log.lastIndex()
	c.written = c.stable
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

// Step handles a message from another replica.
func (c *Core) Step(m Message) {
	if m.From == c.opts.Self {
		return
	}
	switch {
	case m.Type == MsgPreVote || m.Type == MsgVote:
		c.stepVoteRequest(m)
		return
	case m.Type == MsgPreVoteResp && !m.Reject:
		// Carries the term that the sender would vote in.
	case m.Term > c.term:
		leader := None
		if fromLeader(m.Type) {
			leader = m.From
		}
		c.becomeFollower(m.Term, leader)
	case m.Term < c.term:
		c.answerStale(m)
		return
	}
	switch m.Type {
	case MsgPreVoteResp, MsgVoteResp:
		c.stepVoteAnswer(m)
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		c.followLeader(m.From)
		c.stepFollower(m)
	case MsgTimeoutNow:
		if c.canCampaign() && c.role != Leader {
			c.campaign(false, true)
		}
	case MsgAppendResp, MsgHeartbeatResp:
		c.stepLeader(m)
	}
}

func fromLeader(t MessageType) bool {
	return t == MsgAppend || t == MsgHeartbeat || t == MsgSnapshot
}

// answerStale tells a leader of an earlier term that it has been replaced.
// Without this a replica with a higher term would never follow it again.
func (c *Core) answerStale(m Message) {
	if fromLeader(m.Type) {
		c.send(Message{Type: MsgAppendResp, To: m.From, Reject: true, Rejects: m.Index, Index: c.log.lastIndex()})
	}
}

// Take returns what is to be done since the last call.
func (c *Core) Take() Output {
	out := Output{Snapshot: c.installed, Messages: c.messages}
	if c.hardChanged {
		out.HardState = &HardState{Term: c.term, Vote: c.vote}
	}
	if last := c.log.lastIndex(); last > c.written {
		out.Entries = c.log.slice(c.written+1, last, int(^uint(0)>>1))
		c.written = last
	}
	if c.commit > c.handedOut {
		out.Committed = c.log.slice(c.handedOut+1, c.commit, int(^uint(0)>>1))
		c.handedOut = c.commit
	}
	c.installed, c.messages, c.hardChanged = nil, nil, false
	return out
}

// Persisted reports that the entries of an Output are synced.
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

// Compact forgets entries up to index, which must be applied.
func (c *Core) Compact(index uint64) {
	if index > c.handedOut {
		return
	}
	members, _ := c.log.membersAt(index)
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
	c.hardChanged = true
}

func (c *Core) refreshMembers() {
	c.members, c.membersIndex = c.log.membersAt(c.log.lastIndex())
}

func (c *Core) isVoter() bool { return c.members.Voter(c.opts.Self) != nil }
