package raft

// progressMode is how a leader sends the log to one replica.
type progressMode uint8

const (
	probing     progressMode = iota // one append at a time, until logs match
	replicating                     // appends in flight up to a limit
	installing                      // waits for a snapshot to arrive
)

// progress is what a leader knows of one replica's log.
type progress struct {
	match uint64 // last entry known to be stored there
	next  uint64 // next entry to send
	mode  progressMode
	// paused is set while a probe is in flight.
	paused bool
	// inflight holds the last index of each append that is not answered.
	inflight   []uint64
	sentRound  uint64 // heartbeat round at the time of the last append
	sentCommit uint64
	ackedRound uint64
	heardAt    uint64 // tick of the last message from the replica
}

func (p *progress) probe() {
	p.mode = probing
	p.next = p.match + 1
	p.paused = false
	p.inflight = p.inflight[:0]
}

func (p *progress) replicate() {
	p.mode = replicating
	p.next = p.match + 1
	p.paused = false
	p.inflight = p.inflight[:0]
}

func (p *progress) install() {
	p.mode = installing
	p.inflight = p.inflight[:0]
}

// acked frees the appends that index answers.
func (p *progress) acked(index uint64) {
	n := 0
	for n < len(p.inflight) && p.inflight[n] <= index {
		n++
	}
	p.inflight = append(p.inflight[:0], p.inflight[n:]...)
}

// blocked reports whether nothing may be sent now.
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
