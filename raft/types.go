// Package raft implements leader-based log replication as a deterministic state
// machine without I/O. The caller passes ticks, messages and proposals to it
// and carries out the Output of Take: write and sync, send, apply.
package raft

import "errors"

// ID identifies a replica, which corresponds to one data directory. It is never
// reused.
type ID uint64

// None is the ID that no replica has.
const None ID = 0

// EntryType is the kind of a log entry.
type EntryType uint8

// Types of entries.
const (
	EntryCommand    EntryType = iota // a command of the caller
	EntryNoop                        // first entry of a leader's term
	EntryMembership                  // a change of membership
)

// Entry is one entry of the log.
type Entry struct {
	Index   uint64      `cbor:"1,keyasint"`
	Term    uint64      `cbor:"2,keyasint"`
	Type    EntryType   `cbor:"3,keyasint,omitempty"`
	Data    []byte      `cbor:"4,keyasint,omitempty"`
	Members *Membership `cbor:"5,keyasint,omitempty"` // of EntryMembership
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

// Membership is the set of voters. Every other replica is a learner, which the
// leader knows only while the learner's requests arrive.
type Membership struct {
	Voters []Member `cbor:"1,keyasint"`
}

// Voter returns the voter with the id, or nil if there is none.
func (m Membership) Voter(id ID) *Member {
	for i := range m.Voters {
		if m.Voters[i].ID == id {
			return &m.Voters[i]
		}
	}
	return nil
}

// Majority returns the number of voters in the smallest majority.
func (m Membership) Majority() int { return len(m.Voters)/2 + 1 }

// WithVoter returns the membership with v added.
func (m Membership) WithVoter(v Member) Membership {
	voters := make([]Member, 0, len(m.Voters)+1)
	voters = append(voters, m.Voters...)
	return Membership{Voters: append(voters, v)}
}

// WithoutVoter returns the membership with the voter removed.
func (m Membership) WithoutVoter(id ID) Membership {
	voters := make([]Member, 0, len(m.Voters))
	for _, v := range m.Voters {
		if v.ID != id {
			voters = append(voters, v)
		}
	}
	return Membership{Voters: voters}
}

// HardState is the part of the election state that must be synced to disk
// before the messages of the same Output are sent.
type HardState struct {
	Term uint64 `cbor:"1,keyasint"`
	Vote ID     `cbor:"2,keyasint,omitempty"`
}

// Position is a log position with the membership in effect there.
type Position struct {
	Index   uint64     `cbor:"1,keyasint"`
	Term    uint64     `cbor:"2,keyasint"`
	Members Membership `cbor:"3,keyasint"`
}

// MessageType is the type of a message.
type MessageType uint8

// Types of messages. The numbers are part of the wire protocol.
const (
	MsgPreVote MessageType = iota + 1
	MsgPreVoteResp
	MsgVote
	MsgVoteResp
	MsgAppend
	MsgAppendResp
	MsgHeartbeat
	MsgHeartbeatResp
	// MsgSnapshot in an Output requests that the caller transfer a snapshot to
	// the replica. Passed to Step, it reports a snapshot that was received
	// completely.
	MsgSnapshot
	MsgTimeoutNow
)

// Message is a protocol message between two replicas.
type Message struct {
	Type MessageType `cbor:"1,keyasint"`
	From ID          `cbor:"-"` // From and To are encoded once in the packet that carries the messages
	To   ID          `cbor:"-"`
	Term uint64      `cbor:"4,keyasint"`
	// Index and LogTerm identify the entry before Entries in MsgAppend, the
	// last entry in vote requests, and the last matching entry in
	// MsgAppendResp. In a rejecting MsgAppendResp, Index is a hint at which the
	// logs may match.
	Index         uint64  `cbor:"5,keyasint,omitempty"`
	LogTerm       uint64  `cbor:"6,keyasint,omitempty"`
	Entries       []Entry `cbor:"7,keyasint,omitempty"`
	Commit        uint64  `cbor:"8,keyasint,omitempty"`
	Reject        bool    `cbor:"9,keyasint,omitempty"`
	RejectedIndex uint64  `cbor:"10,keyasint,omitempty"` // Index of the rejected MsgAppend
	Round         uint64  `cbor:"11,keyasint,omitempty"` // heartbeat round, in MsgHeartbeat and MsgHeartbeatResp
	// Force marks a vote request of a leadership transfer. Followers process it
	// even while their leader is active.
	Force bool `cbor:"12,keyasint,omitempty"`
	// Snapshot is the position of a received snapshot. It is not encoded.
	Snapshot *Position `cbor:"-"`
}

// Output is the work that the caller must carry out, in this order: install
// Snapshot, write HardState and Entries and sync, send Messages, call
// Persisted, and apply Committed.
type Output struct {
	Snapshot  *Position // position of a received snapshot that replaces the state
	HardState *HardState
	Entries   []Entry // replace all stored entries from the first one's index on
	Messages  []Message
	Committed []Entry
}

// Empty reports whether there is no work.
func (o *Output) Empty() bool {
	return o.Snapshot == nil && o.HardState == nil && len(o.Entries) == 0 &&
		len(o.Messages) == 0 && len(o.Committed) == 0
}

// Role is the role of a replica.
type Role uint8

// Roles of a replica. A learner is a follower that is not in the membership.
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
	ErrNotLeader                = errors.New("replica is not the leader")
	ErrTransferring             = errors.New("leadership is being transferred")
	ErrMembershipChangePending  = errors.New("an earlier change of membership is not committed")
	ErrMembershipChangeTooLarge = errors.New("membership may change by one voter at a time")
	ErrNotCaughtUp              = errors.New("replica has not caught up with the log")
)
