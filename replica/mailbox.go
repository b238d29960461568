package replica

import "sync"

// maxNotices bounds the raft messages that wait for the loop. More are
// dropped, as they may be on the network.
const maxNotices = 8192

// mailbox holds functions for the loop to run.
type mailbox struct {
	mu      sync.Mutex
	fns     []func()
	notices int
	wake    chan struct{}
}

func newMailbox() *mailbox { return &mailbox{wake: make(chan struct{}, 1)} }

// post adds a function.
func (b *mailbox) post(f func()) {
	b.mu.Lock()
	b.fns = append(b.fns, f)
	b.mu.Unlock()
	b.signal()
}

// postNotice adds a function that may be dropped.
func (b *mailbox) postNotice(f func()) {
	b.mu.Lock()
	if b.notices >= maxNotices {
		b.mu.Unlock()
		return
	}
	b.notices++
	b.fns = append(b.fns, f)
	b.mu.Unlock()
	b.signal()
}

func (b *mailbox) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// run runs what was posted before the call.
func (b *mailbox) run() {
	b.mu.Lock()
	fns := b.fns
	b.fns, b.notices = nil, 0
	b.mu.Unlock()
	for _, f := range fns {
		f()
	}
}
