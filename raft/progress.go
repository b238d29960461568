package raft

// progressMode is the mode in which a leader replicates the log to one replica.
type progressMode uint8

const (
	probing          progressMode = iota // one append at a time, until a matching entry is found
	replicating                          // up to Options.MaxInflight unacknowledged appends
	awaitingSnapshot                     // no appends until the snapshot transfer has ended
)

// progress tracks the replication of the log to one replica, from the leader's
// view.
type progress struct {
	match uint64 // last entry known to be stored on the replica
	next  uint64 // next entry to send
	mode  progressMode
	// paused is set while no append may be sent in probing mode: a probe is
	// unacknowledged, or a snapshot transfer has just ended.
	paused bool
	// inflight contains the last index of each unacknowledged append.
	inflight        []uint64
	sentRound       uint64 // heartbeat round when the last append was sent
	sentCommit      uint64
	ackedRound      uint64
	lastContactTick uint64 // tick of the last message from the replica
}

func (p *progress) becomeProbing() {
	p.mode = probing
	p.next = p.match + 1
	p.paused = false
	p.inflight = p.inflight[:0]
}

func (p *progress) becomeReplicating() {
	p.mode = replicating
	p.next = p.match + 1
	p.paused = false
	p.inflight = p.inflight[:0]
}

func (p *progress) becomeAwaitingSnapshot() {
	p.mode = awaitingSnapshot
	p.inflight = p.inflight[:0]
}

// releaseInflight removes the appends that are acknowledged by index.
func (p *progress) releaseInflight(index uint64) {
	n := 0
	for n < len(p.inflight) && p.inflight[n] <= index {
		n++
	}
	p.inflight = append(p.inflight[:0], p.inflight[n:]...)
}

// blocked reports whether flow control currently forbids an append.
func (p *progress) blocked(maxInflight int) bool {
	switch p.mode {
	case probing:
		return p.paused
	case replicating:
		return len(p.inflight) >= maxInflight
	default:
		return true
	}
}
