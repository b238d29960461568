package dispatch

import (
	"context"
	"sync/atomic"
	"time"
)

// route sends a request until it is answered, or must not or can't be sent
// again. If any attempt may have run, a refusal says unknown.
func (d *Dispatcher) route(ctx context.Context, rq *request) (*reply, *Problem) {
	rq.service.retries.earn()
	rq.service.hedges.earn()
	t := &tried{}
	var ran *Problem // of an attempt that may have run
	var last *Problem
	for n := 1; ; n++ {
		g, p := d.place(ctx, rq, t)
		if p != nil {
			return nil, firstProblem(ran, last, p)
		}
		t.add(g)
		r, p := d.tryHedged(ctx, rq, g, t)
		if p == nil {
			return r, nil
		}
		last = p
		if p.Outcome == OutcomeUnknown {
			ran = p
		}
		if !d.mayRetry(ctx, rq, p, n) {
			return nil, firstProblem(ran, last)
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
	return (p.Outcome == OutcomeNotRun || rq.idempotent) && rq.service.retries.take()
}

// race is a request with a second attempt that may start later. The first
// answer wins.
type race struct {
	d      *Dispatcher
	rq     *request
	tried  tried
	winner atomic.Int32 // attempt that answered first: 1, 2 or 0 for none
	cancel [2]context.CancelFunc
	ctx    context.Context // of the second attempt
	second chan raceResult // holds one; sent once the second attempt was started
}

type raceResult struct {
	reply   *reply
	problem *Problem // nil and no reply if the attempt was not made
}

// tryHedged makes one attempt, and for a request that may run twice another
// one at a different endpoint when the first takes longer than usual.
func (d *Dispatcher) tryHedged(ctx context.Context, rq *request, g grant, t *tried) (*reply, *Problem) {
	after := rq.service.estimate.slow()
	if !rq.idempotent || !rq.body.replayable() || after == 0 {
		return d.try(ctx, rq, g)
	}
	rc := &race{d: d, rq: rq, tried: *t, second: make(chan raceResult, 1)}
	var first context.Context
	first, rc.cancel[0] = context.WithCancel(ctx)
	rc.ctx, rc.cancel[1] = context.WithCancel(ctx)
	timer := time.AfterFunc(after, rc.hedge)
	r, p := d.try(first, rq, g)
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
	other := <-rc.second
	if other.reply != nil {
		return other.reply, nil
	}
	// The first attempt won nothing, so that p is set unless the second
	// answered.
	if other.problem != nil && other.problem.Outcome == OutcomeUnknown {
		return nil, other.problem
	}
	return nil, p
}

// hedge makes the second attempt.
func (rc *race) hedge() {
	rc.d.background.Go(func() {
		r, p := rc.attempt()
		if r != nil && !rc.winner.CompareAndSwap(0, 2) {
			r.discard()
			r = nil
		}
		if r != nil {
			rc.cancel[0]()
		}
		rc.second <- raceResult{r, p}
	})
}

func (rc *race) attempt() (*reply, *Problem) {
	d, rq := rc.d, rc.rq
	if rc.winner.Load() != 0 || rc.ctx.Err() != nil || !d.opts.Log.Fresh() {
		return nil, nil
	}
	g, ok := d.placeNow(rq, &rc.tried)
	if !ok {
		return nil, nil
	}
	if !rq.service.hedges.take() {
		d.giveBack(rq.service, g)
		return nil, nil
	}
	d.metrics.hedges.Inc()
	return d.try(rc.ctx, rq, g)
}
