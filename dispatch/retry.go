package dispatch

import (
	"context"
	"sync/atomic"
	"time"
)

// route sends a request until it gets a response or must not or can't be sent
// again. If any attempt may have run, the error response has the outcome
// unknown.
func (d *Dispatcher) route(ctx context.Context, rq *request) (*response, *Problem) {
	rq.service.retries.deposit()
	rq.service.hedges.deposit()
	t := &attempted{}
	var mayHaveRun *Problem // of the last attempt that may have run
	var last *Problem
	for n := 1; ; n++ {
		g, p := d.acquireSlot(ctx, rq, t)
		if p != nil {
			return nil, firstProblem(mayHaveRun, last, p)
		}
		t.add(g)
		r, p := d.attemptHedged(ctx, rq, g, t)
		if p == nil {
			return r, nil
		}
		last = p
		if p.Outcome == OutcomeUnknown {
			mayHaveRun = p
		}
		if !d.mayRetry(ctx, rq, p, n) {
			return nil, firstProblem(mayHaveRun, last)
		}
		d.metrics.retries.Inc()
	}
}

func firstProblem(all ...*Problem) *Problem {
	for _, p := range all {
		if p != nil {
			return p
		}
	}
	return nil
}

func (d *Dispatcher) mayRetry(ctx context.Context, rq *request, p *Problem, attempts int) bool {
	if ctx.Err() != nil || attempts >= d.opts.Attempts || rq.remaining() <= 0 || !rq.canSendAgain() {
		return false
	}
	return (p.Outcome == OutcomeNotRun || rq.idempotent) && rq.service.retries.withdraw()
}

// hedgeRace is a request with a second attempt that starts after a delay. The
// first response wins.
type hedgeRace struct {
	d            *Dispatcher
	rq           *request
	attempted    attempted
	winner       atomic.Int32 // attempt whose response came first: 1 or 2; 0 if none yet
	cancel       [2]context.CancelFunc
	ctx          context.Context    // for the second attempt
	secondResult chan attemptResult // buffered, capacity 1; sent after the hedge timer has fired
}

type attemptResult struct {
	response *response
	problem  *Problem // nil with a nil response if the second attempt was not made
}

// attemptHedged makes one attempt. For an idempotent request with a replayable
// body, it makes a second one at a different endpoint if the first takes longer
// than the 95th percentile of the service.
func (d *Dispatcher) attemptHedged(ctx context.Context, rq *request, g grant, t *attempted) (*response, *Problem) {
	after := rq.service.estimate.p95Latency()
	if !rq.idempotent || !rq.body.replayable() || after == 0 {
		return d.attempt(ctx, rq, g)
	}
	rc := &hedgeRace{d: d, rq: rq, attempted: *t, secondResult: make(chan attemptResult, 1)}
	var first context.Context
	first, rc.cancel[0] = context.WithCancel(ctx)
	rc.ctx, rc.cancel[1] = context.WithCancel(ctx)
	timer := time.AfterFunc(after, rc.hedge)
	r, p := d.attempt(first, rq, g)
	if timer.Stop() {
		return r, p
	}
	if p == nil {
		if rc.winner.CompareAndSwap(0, 1) {
			rc.cancel[1]()
			return r, nil
		}
		r.discard()
	}
	other := <-rc.secondResult
	if other.response != nil {
		return other.response, nil
	}
	// The first attempt did not win, so p is not nil unless the second attempt
	// won.
	if other.problem != nil && other.problem.Outcome == OutcomeUnknown {
		return nil, other.problem
	}
	return nil, p
}

// hedge runs the second attempt in the background.
func (rc *hedgeRace) hedge() {
	rc.d.background.Go(func() {
		r, p := rc.runSecond()
		if r != nil && !rc.winner.CompareAndSwap(0, 2) {
			r.discard()
			r = nil
		}
		if r != nil {
			rc.cancel[0]()
		}
		rc.secondResult <- attemptResult{r, p}
	})
}

func (rc *hedgeRace) runSecond() (*response, *Problem) {
	d, rq := rc.d, rc.rq
	if rc.winner.Load() != 0 || rc.ctx.Err() != nil || !d.opts.Log.Fresh() {
		return nil, nil
	}
	g, ok := d.tryAcquireSlot(rq, &rc.attempted)
	if !ok {
		return nil, nil
	}
	if !rq.service.hedges.withdraw() {
		d.returnSlot(rq.service, g)
		return nil, nil
	}
	d.metrics.hedges.Inc()
	return d.attempt(rc.ctx, rq, g)
}
