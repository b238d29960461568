package fleet

import (
	"context"
	"sync/atomic"
	"time"
)

// callClass orders the calls to workers that wait for their turn.
type callClass uint8

// Classes of calls, the most urgent first.
const (
	callStart callClass = iota // starts and stops of runs
	callLook
	callPace
	callClasses
)

// classShare is the part of the calls in flight that a class may have, in
// percent. A look is in flight for up to a second; without bounds, looks at
// many workers would leave no room for starts.
var classShare = [callClasses]int{100, 75, 15}

// callQueue bounds the calls in flight, so that they stay within the
// connections that the process may have. It answers a burst of starts on many
// workers: starts and stops go first, then looks, then paces.
type callQueue struct {
	limit    int // of all calls in flight; 0 for none
	total    int
	inFlight [callClasses]int
	waiting  [callClasses][]func() bool
}

// add queues a call. send reports whether the call was sent; done must follow
// if it was.
func (q *callQueue) add(class callClass, send func() bool) {
	q.waiting[class] = append(q.waiting[class], send)
	q.run()
}

// done notes that a call of the class has ended.
func (q *callQueue) done(class callClass) {
	q.inFlight[class]--
	q.total--
	q.run()
}

// run sends what may be in flight.
func (q *callQueue) run() {
	for class := range callClasses {
		for len(q.waiting[class]) > 0 && q.admits(class) {
			send := q.waiting[class][0]
			q.waiting[class] = q.waiting[class][1:]
			if send() {
				q.inFlight[class]++
				q.total++
			}
		}
		if len(q.waiting[class]) == 0 {
			q.waiting[class] = nil
		}
	}
}

func (q *callQueue) admits(class callClass) bool {
	return q.limit == 0 || q.total < q.limit && q.inFlight[class] < q.most(class)
}

// most returns how many calls of the class may be in flight.
func (q *callQueue) most(class callClass) int { return max(1, q.limit*classShare[class]/100) }

// clear forgets the calls that wait.
func (q *callQueue) clear() { q.waiting = [callClasses][]func() bool{} }

// workerCall is a call to a worker that is ready to be sent.
type workerCall struct {
	timeout time.Duration
	send    func(ctx context.Context)
	done    func() // in the loop, unless the controller was not active all the time
}

// call sends a call to a worker in its turn. prepare runs right before that and
// returns nil if the call is no longer wanted; what it names, such as fence and
// lease, is never older than the call.
func (c *Controller) call(class callClass, prepare func() *workerCall) {
	c.calls.add(class, func() bool {
		w := prepare()
		if w == nil {
			return false
		}
		c.metrics.inFlight.Inc()
		generation := c.generation
		c.callers.run(func() {
			ctx, cancel := callContext(c.ctx, w.timeout)
			w.send(ctx)
			cancel()
			c.post(func() {
				c.metrics.inFlight.Dec()
				c.calls.done(class)
				if c.generation == generation {
					w.done()
				}
			})
		})
		return true
	})
}

// idleCallers is how many goroutines are kept for calls.
const idleCallers = 256

// callers runs calls on goroutines that are kept: a call through the HTTP
// client needs a deep stack, which a new goroutine would have to grow each time.
type callers struct {
	jobs chan func()
	idle atomic.Int64
}

func newCallers() *callers { return &callers{jobs: make(chan func())} }

func (p *callers) run(job func()) {
	select {
	case p.jobs <- job:
		return
	default:
	}
	go func() {
		job()
		for p.idle.Add(1) <= idleCallers {
			next, ok := <-p.jobs
			p.idle.Add(-1)
			if !ok {
				return
			}
			next()
		}
		p.idle.Add(-1)
	}()
}

// close ends the goroutines that are idle; those with a call end after it.
func (p *callers) close() { close(p.jobs) }
