package control

import (
	"sync"

	"apricotrouter/placement"
)

// maxInboxNotices is the maximum number of messages stored between two control
// steps. Further messages are dropped, because senders repeat their samples.
const maxInboxNotices = 1024

// inbox stores the messages received since the last control step.
type inbox struct {
	mu      sync.Mutex
	notices []*placement.ObservationsNotice
}

func (in *inbox) add(_ string, n *placement.ObservationsNotice) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if len(in.notices) < maxInboxNotices {
		in.notices = append(in.notices, n)
	}
}

// drain returns the stored messages and empties the inbox.
func (in *inbox) drain() []*placement.ObservationsNotice {
	in.mu.Lock()
	defer in.mu.Unlock()
	all := in.notices
	in.notices = nil
	return all
}
