package fleet

import (
	"context"
	"sync/atomic"
	"time"
)

// callClass is the priority class of a worker call that waits in a callQueue.
type callClass uint8

// Classes of calls, in order of priority.
const (
	callStart callClass = iota // starts and stops of runs
	callPoll
	callSetRate
	callClasses
)

// classShare limits each class to a percentage of the calls in flight. A poll
// is in flight for up to a second; without limits, polls of many workers would
// leave no calls for starts.
var classShare = [callClasses]int{100, 75, 15}

// callQueue limits the calls in flight to the connections available to the
// process. During a burst of starts on many workers, starts and stops go first,
// then polls, then rate changes.
type callQueue struct {
	limit    int // maximum number of calls in flight; 0 means unlimited
	total    int
	inFlight [callClasses]int
	waiting  [callClasses][]func() bool
}

// add queues a call. send reports whether the call was sent; if it was, done
// must be called when it ends.
func (q *callQueue) add(class callClass, send func() bool) {
	q.waiting[class] = append(q.waiting[class], send)
	q.run()
}

// done records the end of a call of the class and sends waiting calls.
func (q *callQueue) done(class callClass) {
	q.inFlight[class]--
	q.total--
	q.run()
}

// run sends waiting calls up to the limits.
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
	return q.limit == 0 || q.total < q.limit && q.inFlight[class] < q.maxInFlight(class)
}

// maxInFlight returns the maximum number of calls in flight of the class.
func (q *callQueue) maxInFlight(class callClass) int { return max(1, q.limit*classShare[class]/100) }

// clear discards the waiting calls.
func (q *callQueue) clear() { q.waiting = [callClasses][]func() bool{} }

// workerCall is a prepared call to a worker.
type workerCall struct {
	timeout time.Duration
	send    func(ctx context.Context)
	done    func() // runs in the loop; skipped if the generation has changed
}

// call queues a call to a worker. prepare runs right before the call is sent,
// so that the fence and the lease in it are current. It returns nil if the call
// is no longer needed.
func (c *Controller) call(class callClass, prepare func() *workerCall) {
	c.calls.add(class, func() bool {
		w := prepare()
		if w == nil {
			return false
		}
		c.metrics.inFlight.Inc()
		generation := c.generation
		c.callPool.run(func() {
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

// maxIdleGoroutines bounds the idle goroutines that a callPool retains.
const maxIdleGoroutines = 256

// callPool runs calls on reused goroutines: a call through the HTTP client
// needs a deep stack, which each new goroutine would have to grow.
type callPool struct {
	jobs chan func()
	idle atomic.Int64
}

func newCallPool() *callPool { return &callPool{jobs: make(chan func())} }

func (p *callPool) run(job func()) {
	select {
	case p.jobs <- job:
		return
	default:
	}
	go func() {
		job()
		for p.idle.Add(1) <= maxIdleGoroutines {
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

// close ends the idle goroutines. Goroutines that run a call end after it.
func (p *callPool) close() { close(p.jobs) }
