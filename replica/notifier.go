package replica

import "sync"

// notifier signals changes by closing a channel.
type notifier struct {
	mu sync.Mutex
	ch chan struct{}
}

// Changed returns a channel that is closed by the next call of notify.
func (n *notifier) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch == nil {
		n.ch = make(chan struct{})
	}
	return n.ch
}

// notify closes the channel returned by Changed since the last call, if any.
func (n *notifier) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch != nil {
		close(n.ch)
		n.ch = nil
	}
}
