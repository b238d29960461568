// Package raft is leader-based log replication as a deterministic state
// machine without I/O. The caller feeds it ticks, messages and proposals, and
// carries out what Take returns: write and sync, send, apply.
package raft

import "errors"

// ID identifies a replica, which is one data folder. It is never reused.
type ID uint64

// None is the ID of no replica.
const None ID = 0

// EntryType says what an entry's data are.
type EntryType uint8

// Types of entries.
const (
	EntryCommand EntryType = iota // a command of the caller
	EntryNoop                     // the first entry of a leader's term
	EntryMembers                  // a change of membership
)

// Entry is one entry of the log.
type Entry struct {
	Index   uint64      `cbor:"1,keyasint"`
	Term    uint64      `cbor:"2,keyasint"`
	Type    EntryType   `cbor:"3,keyasint,omitempty"`
	Data    []byte      `cbor:"4,keyasint,omitempty"`
	Members *Membership `cbor:"5,keyasint,omitempty"` // of EntryMembers
}

// entryOverhead is the assumed size of an encoded entry without its data.
const entryOverhead = 32

func (e *Entry) size() int { return len(e.Data) + entryOverhead }

// Member is a voter of the group.
type Member struct {
	ID       ID     `cbor:"1,keyasint"`
	Instance string `cbor:"2,keyasint"`
	Zone     string `cbor:"3,keyasint,omitempty"`
}

// Membership is the set of voters. Every other replica is a learner, which
// the leader knows only while it asks for the log.
type Membership struct {
	Voters []Member `cbor:"1,keyasint"`
}

// Voter returns the voter with the id, or nil.
func (m Membership) Voter(id ID) *Member {
	for i := range m.Voters {
		if m.Voters[i].ID == id {
			return &m.Voters[i]
		}
	}
	return nil
}

// Majority returns the number of voters that decide.
func (m Membership) Majority() int { return len(m.Voters)/2 + 1 }

// With returns the membership with one more voter.
func (m Membership) With(v Member) Membership {
	voters := make([]Member, 0, len(m.Voters)+1)
	voters = append(voters, m.Voters...)
	return Membership{Voters: append(voters, v)}
}

// Without returns the membership without a voter.
func (m Membership) Without(id ID) Membership {
	voters := make([]Member, 0, len(m.Voters))
	for _, v := range m.Voters {
		if v.ID != id {
			voters = append(voters, v)
		}
	}
	return Membership{Voters: voters}
}

// HardState must be synced before the messages of the same Output are sent.
type HardState struct {
	Term uint64 `cbor:"1,keyasint"`
	Vote ID     `cbor:"2,keyasint,omitempty"`
}

// Position is a place in the log with the membership in force there.
type Position struct {
	Index   uint64     `cbor:"1,keyasint"`
	Term    uint64     `cbor:"2,keyasint"`
	Members Membership `cbor:"3,keyasint"`
}

// MessageType is the type of a message.
type MessageType uint8

// Types of messages. Numbers are part of the protocol.
const (
	MsgPreVote MessageType = iota + 1
	MsgPreVoteResp
	MsgVote
	MsgVoteResp
	MsgAppend
	MsgAppendResp
	MsgHeartbeat
	MsgHeartbeatResp
	// MsgSnapshot asks the caller of the sending side to transfer a snapshot.
	// On the receiving side it reports one that arrived in full.
	MsgSnapshot
	MsgTimeoutNow
)

// Message is exchanged between replicas.
type Message struct {
	Type MessageType `cbor:"1,keyasint"`
	From ID          `cbor:"-"` // the packet that carries the message names both
	To   ID          `cbor:"-"`
	Term uint64      `cbor:"4,keyasint"`
	// Index and LogTerm are the entry before Entries in MsgAppend, the last
	// entry in vote requests, and the last matching entry (or, rejected, a
	// hint where logs may match) in MsgAppendResp.
	Index   uint64  `cbor:"5,keyasint,omitempty"`
	LogTerm uint64  `cbor:"6,keyasint,omitempty"`
	Entries []Entry `cbor:"7,keyasint,omitempty"`
	Commit  uint64  `cbor:"8,keyasint,omitempty"`
	Reject  bool    `cbor:"9,keyasint,omitempty"`
	Rejects uint64  `cbor:"10,keyasint,omitempty"` // Index of the rejected MsgAppend
	Round   uint64  `cbor:"11,keyasint,omitempty"` // of a heartbeat and its answer
	// Force marks the vote request of a leadership transfer, which is not
	// ignored by followers that hear from the leader.
	Force bool `cbor:"12,keyasint,omitempty"`
	// Snapshot is the position of a received snapshot. It is not sent.
	Snapshot *Position `cbor:"-"`
}

// Output is what the caller has to do, in this order: install Snapshot, write
// HardState and Entries and sync, send Messages, apply Committed, and then
// call Persisted.
type Output struct {
	Snapshot  *Position // the state was replaced by a received snapshot
	HardState *HardState
	Entries   []Entry // the first one replaces any entry at its index and all after it
	Messages  []Message
	Committed []Entry
}

// Empty reports whether there is nothing to do.
func (o *Output) Empty() bool {
	return o.Snapshot == nil && o.HardState == nil && len(o.Entries) == 0 &&
		len(o.Messages) == 0 && len(o.Committed) == 0
}

// Role is the role of a replica.
type Role uint8

// Roles. A learner is a follower that is not in the membership.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String implements fmt.Stringer.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Errors of proposals.
var (
	ErrNotLeader    = errors.New("replica is not the leader")
	ErrTransferring = errors.New("leadership is being transferred")
	ErrMembersBusy  = errors.New("an earlier change of membership is not committed")
	ErrMembersStep  = errors.New("membership may change by one voter at a time")
	ErrNotCaughtUp  = errors.New("replica has not caught up with the log")
)
