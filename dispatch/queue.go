package dispatch

import (
	"sync"
	"sync/atomic"
	"time"

	"apricotrouter/registry"
)

// grant is a slot that a request may use: on an owned endpoint, which is
// acquired, or on a peer. Neither means that the request was pushed out.
type grant struct {
	endpoint *registry.Endpoint
	peer     string
}

// waiter is a request that waits for a slot.
type waiter struct {
	caller string
	since  time.Time
	ch     chan grant // holds one
}

// line is the waiters of one caller, oldest first.
type line struct {
	caller  string
	waiters []*waiter
}

// queue holds the requests of one service that wait for a slot. Callers take
// turns. Under overload the newest request of a caller goes first, because
// the oldest are the likeliest to miss their deadlines anyway.
type queue struct {
	size atomic.Int64

	mu    sync.Mutex
	lines []*line
	next  int // line whose turn it is
}

func newQueue() *queue { return new(queue) }

// push adds a waiter. If the queue is full, the oldest request of the caller
// with the most requests is pushed out.
func (q *queue) push(w *waiter, bound int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lineOf(w.caller).add(w)
	if int(q.size.Add(1)) <= bound {
		return
	}
	longest := q.lines[0]
	for _, l := range q.lines[1:] {
		if len(l.waiters) > len(longest.waiters) {
			longest = l
		}
	}
	out := longest.waiters[0]
	q.drop(longest, 0)
	out.ch <- grant{}
}

func (l *line) add(w *waiter) { l.waiters = append(l.waiters, w) }

// lineOf returns the line of a caller; q.mu is held.
func (q *queue) lineOf(caller string) *line {
	for _, l := range q.lines {
		if l.caller == caller {
			return l
		}
	}
	l := &line{caller: caller}
	q.lines = append(q.lines, l)
	return l
}

// drop removes one waiter, and its line if it was the last; q.mu is held.
func (q *queue) drop(l *line, i int) {
	l.waiters = append(l.waiters[:i], l.waiters[i+1:]...)
	q.size.Add(-1)
	if len(l.waiters) > 0 {
		return
	}
	for j, other := range q.lines {
		if other == l {
			q.lines = append(q.lines[:j], q.lines[j+1:]...)
			if j < q.next {
				q.next--
			}
			return
		}
	}
}

// pop gives a grant to the waiter whose turn it is and reports whether there
// was one.
func (q *queue) pop(g grant, newestFirst bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.lines) == 0 {
		return false
	}
	if q.next >= len(q.lines) {
		q.next = 0
	}
	l := q.lines[q.next]
	i := 0
	if newestFirst {
		i = len(l.waiters) - 1
	}
	w := l.waiters[i]
	q.next++
	q.drop(l, i)
	w.ch <- g
	return true
}

// remove takes out a waiter and reports whether it was still waiting. If not,
// its channel holds a grant.
func (q *queue) remove(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, l := range q.lines {
		for i, other := range l.waiters {
			if other == w {
				q.drop(l, i)
				return true
			}
		}
	}
	return false
}

// callers returns the number of callers that wait.
func (q *queue) callers() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.lines)
}
