package dispatch

import (
	"sync"
	"sync/atomic"
	"time"

	"apricotrouter/registry"
)

// grant is a slot that a request may use: an acquired one on an owned endpoint,
// or one on a peer. The zero grant means that the request was evicted from the
// queue.
type grant struct {
	endpoint *registry.Endpoint
	peer     string
}

// waiter is a queued request.
type waiter struct {
	caller string
	since  time.Time
	ch     chan grant // buffered, capacity 1
}

// callerQueue holds the waiters of one caller, oldest first.
type callerQueue struct {
	caller  string
	waiters []*waiter
}

// queue holds the requests of one service that wait for a slot. Callers are
// served round-robin. Under overload, the newest request of a caller is served
// first, because the oldest are the likeliest to miss their deadlines anyway.
type queue struct {
	size atomic.Int64

	mu           sync.Mutex
	callerQueues []*callerQueue
	next         int // index of the caller queue that is served next
}

func newQueue() *queue { return new(queue) }

// push adds a waiter. If the queue then exceeds bound, the oldest request of
// the caller with the most requests is evicted.
func (q *queue) push(w *waiter, bound int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queueOf(w.caller).add(w)
	if int(q.size.Add(1)) <= bound {
		return
	}
	longest := q.callerQueues[0]
	for _, l := range q.callerQueues[1:] {
		if len(l.waiters) > len(longest.waiters) {
			longest = l
		}
	}
	evicted := longest.waiters[0]
	q.removeAt(longest, 0)
	evicted.ch <- grant{}
}

func (l *callerQueue) add(w *waiter) { l.waiters = append(l.waiters, w) }

// queueOf returns the queue of a caller and creates it if needed; q.mu is held.
func (q *queue) queueOf(caller string) *callerQueue {
	for _, l := range q.callerQueues {
		if l.caller == caller {
			return l
		}
	}
	l := &callerQueue{caller: caller}
	q.callerQueues = append(q.callerQueues, l)
	return l
}

// removeAt removes a waiter, and the caller's queue if it is then empty; q.mu
// is held.
func (q *queue) removeAt(l *callerQueue, i int) {
	l.waiters = append(l.waiters[:i], l.waiters[i+1:]...)
	q.size.Add(-1)
	if len(l.waiters) > 0 {
		return
	}
	for j, other := range q.callerQueues {
		if other == l {
			q.callerQueues = append(q.callerQueues[:j], q.callerQueues[j+1:]...)
			if j < q.next {
				q.next--
			}
			return
		}
	}
}

// pop passes a grant to the next waiter and reports whether there was one.
func (q *queue) pop(g grant, newestFirst bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.callerQueues) == 0 {
		return false
	}
	if q.next >= len(q.callerQueues) {
		q.next = 0
	}
	l := q.callerQueues[q.next]
	i := 0
	if newestFirst {
		i = len(l.waiters) - 1
	}
	w := l.waiters[i]
	q.next++
	q.removeAt(l, i)
	w.ch <- g
	return true
}

// remove removes a waiter and reports whether it was still queued. If not, its
// channel contains a grant.
func (q *queue) remove(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, l := range q.callerQueues {
		for i, other := range l.waiters {
			if other == w {
				q.removeAt(l, i)
				return true
			}
		}
	}
	return false
}

// callerCount returns the number of callers with queued requests.
func (q *queue) callerCount() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.callerQueues)
}
