package replica

import "sync"

// notifier hands out a channel that is closed at the next change.
type notifier struct {
	mu sync.Mutex
	ch chan struct{}
}

// Changed returns a channel that is closed at the next call of notify.
func (n *notifier) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch == nil {
		n.ch = make(chan struct{})
	}
	return n.ch
}

// notify closes the channel that was handed out since the last call.
func (n *notifier) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch != nil {
		close(n.ch)
		n.ch = nil
	}
}
