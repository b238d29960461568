package control

import (
	"sync"

	"apricotrouter/placement"
)

// maxInbox bounds the notices kept between two steps. Later ones are dropped:
// the sender repeats its sums.
const maxInbox = 1024

// inbox holds the notices received since the last step.
type inbox struct {
	mu      sync.Mutex
	notices []*placement.ObservationsNotice
}

func (in *inbox) add(_ string, n *placement.ObservationsNotice) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if len(in.notices) < maxInbox {
		in.notices = append(in.notices, n)
	}
}

// take returns the notices and empties the inbox.
func (in *inbox) take() []*placement.ObservationsNotice {
	in.mu.Lock()
	defer in.mu.Unlock()
	all := in.notices
	in.notices = nil
	return all
}
