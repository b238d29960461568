package replica

import "sync"

// maxDroppable limits the queued raft messages. Further ones are dropped, which
// the protocol tolerates like loss on the network.
const maxDroppable = 8192

// mailbox queues functions to run on the loop goroutine.
type mailbox struct {
	mu        sync.Mutex
	fns       []func()
	droppable int
	wake      chan struct{}
}

func newMailbox() *mailbox { return &mailbox{wake: make(chan struct{}, 1)} }

// post queues a function.
func (b *mailbox) post(f func()) {
	b.mu.Lock()
	b.fns = append(b.fns, f)
	b.mu.Unlock()
	b.signal()
}

// postDroppable queues a function, or drops it if maxDroppable are queued.
func (b *mailbox) postDroppable(f func()) {
	b.mu.Lock()
	if b.droppable >= maxDroppable {
		b.mu.Unlock()
		return
	}
	b.droppable++
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

// run runs the functions that were queued before the call.
func (b *mailbox) run() {
	b.mu.Lock()
	fns := b.fns
	b.fns, b.droppable = nil, 0
	b.mu.Unlock()
	for _, f := range fns {
		f()
	}
}
