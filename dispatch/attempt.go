package dispatch

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"time"

	"apricotrouter/event"
	"apricotrouter/registry"
	"apricotrouter/steperr"
)

// blameAfter is the shortest wait for an answer after which an endpoint counts
// as failing.
const blameAfter = 500 * time.Millisecond

// reply is an answer whose header has arrived. Exactly one of finish and
// abandon is called.
type reply struct {
	x       *exchange
	d       *Dispatcher
	svc     *service
	started time.Time
	attempt string
	request string  // id of the request
	target  *target // nil if a peer answered
	peer    string
}

// try sends a request to an endpoint or peer and waits for the header of the
// answer. A slot in g is given back when the attempt has certainly ended.
func (d *Dispatcher) try(ctx context.Context, rq *request, g grant) (*reply, *Problem) {
	if g.endpoint != nil {
		return d.tryEndpoint(ctx, rq, g.endpoint)
	}
	return d.tryPeer(ctx, rq, g.peer)
}

func (d *Dispatcher) tryEndpoint(ctx context.Context, rq *request, e *registry.Endpoint) (*reply, *Problem) {
	t := d.targetOf(e)
	r := &reply{d: d, svc: rq.service, started: time.Now(), attempt: d.nextAttemptID(), request: rq.id, target: t}
	c, err := d.connect(ctx, rq, t.pool)
	if err != nil {
		d.releaseFailed(rq.service, e)
		if ctx.Err() == nil && err != errConnLimit {
			d.countFailure(t)
		}
		return nil, d.attemptFailed(r, notRun(http.StatusServiceUnavailable, "endpoint-unreachable", "could not connect to an endpoint"), err)
	}
	// A change that forbids this attempt may have been applied elsewhere while
	// it was connecting.
	if !d.opts.Log.Fresh() {
		t.pool.put(c)
		d.release(rq.service, e)
		return nil, d.notFresh()
	}
	r.x, err = d.send(ctx, c, rq, rq.outgoing(r.attempt))
	if err == nil && !r.matches() {
		err = errMismatched
		event.Log(d.opts.Logger, event.AnswerMismatched, slog.String("endpoint", e.ID))
	}
	if err != nil {
		return nil, d.endpointFailed(ctx, rq, r, err)
	}
	if r.refusedNotRun() {
		r.x.finish()
		t.health.refused(d.opts.Clock.Now())
		d.releaseFailed(rq.service, e)
		return nil, notRun(http.StatusServiceUnavailable, "endpoint-refused", "endpoint refused the request")
	}
	return r, nil
}

// connect returns a connection by the deadline of the request.
func (d *Dispatcher) connect(ctx context.Context, rq *request, p *connPool) (*conn, error) {
	if c := p.takeIdle(); c != nil {
		return c, nil
	}
	ctx, cancel := context.WithDeadline(ctx, rq.deadline)
	defer cancel()
	return p.get(ctx)
}

// send notes that a body was sent that can't be sent again.
func (d *Dispatcher) send(ctx context.Context, c *conn, rq *request, out *outgoing) (*exchange, error) {
	if !rq.body.replayable() {
		rq.bodySent = true
	}
	return send(ctx, c, out, rq.deadline)
}

// matches reports whether the answer is to this attempt, as far as the
// endpoint repeats the id.
func (r *reply) matches() bool {
	id := r.x.resp.Header.Get(HeaderAttemptID)
	return id == "" || id == r.attempt
}

// refusedNotRun reports whether the endpoint said that it did not run the
// request.
func (r *reply) refusedNotRun() bool {
	return r.x.whole && r.x.resp.StatusCode == http.StatusServiceUnavailable &&
		r.x.resp.Header.Get(HeaderOutcome) == string(OutcomeNotRun)
}

// endpointFailed ends an attempt that got no answer. The outcome is not-run
// only if no byte was sent.
func (d *Dispatcher) endpointFailed(ctx context.Context, rq *request, r *reply, err error) *Problem {
	t, x := r.target, r.x
	if cerr := rq.body.callerError(); cerr != nil {
		r.abandon()
		return d.bodyProblem(cerr, OutcomeUnknown)
	}
	if !x.conn.wrote {
		x.close()
		d.releaseFailed(r.svc, t.endpoint)
		if ctx.Err() == nil {
			d.countFailure(t)
		}
		return d.attemptFailed(r, notRun(http.StatusServiceUnavailable, "endpoint-unreachable", "could not send to an endpoint"), err)
	}
	if ctx.Err() != nil {
		r.abandon()
		return unknown(http.StatusBadGateway, "cancelled", "request was cancelled", errCancelled)
	}
	if timedOut(err) {
		d.noteLate(r)
		r.abandon()
		return d.attemptFailed(r, unknown(http.StatusGatewayTimeout, "no-answer", "no answer by the deadline", errNoAnswer), err)
	}
	d.countFailure(t)
	r.abandon()
	return d.attemptFailed(r, unknown(http.StatusBadGateway, "answer-incomplete", "endpoint did not answer in full", err), err)
}

// noteLate notes that no answer came by the deadline. Idle connections may be
// silent too and are closed. The endpoint is blamed only after a time in which
// others would have answered, because callers choose deadlines.
func (d *Dispatcher) noteLate(r *reply) {
	t := r.target
	t.pool.closeIdle(false)
	if time.Since(r.started) < max(blameAfter, 2*r.svc.estimate.slow()) {
		return
	}
	d.countFailure(t)
	if r.x.resp == nil {
		d.metrics.silent.Inc()
		event.Log(d.opts.Logger, event.ConnectionSilent, slog.String("endpoint", t.endpoint.ID))
	}
}

func (d *Dispatcher) attemptFailed(r *reply, p *Problem, err error) *Problem {
	peer := ""
	if r.target != nil {
		peer = r.target.endpoint.ID
	}
	p.cause = steperr.Wrap(err, "forward request", peer)
	d.metrics.failures.WithLabelValues(string(p.Outcome)).Inc()
	event.Log(d.opts.Logger, event.AttemptFailed, slog.String("endpoint", peer),
		slog.String("request_id", r.request), slog.String("outcome", string(p.Outcome)), slog.Any("error", p.cause))
	return p
}

// close ends a connection that carried no whole exchange.
func (x *exchange) close() {
	if x.stop != nil {
		x.stop()
	}
	x.conn.close()
}

// finish ends an attempt whose answer was read in full.
func (r *reply) finish() {
	took := time.Since(r.started)
	r.x.finish()
	r.svc.estimate.observe(took)
	if r.target == nil {
		r.d.opts.Registry.ReleasePeerSlot(r.svc.name, r.peer)
		return
	}
	if r.x.resp.StatusCode >= http.StatusInternalServerError {
		// Fast errors must not draw requests. They do not eject the endpoint,
		// because a caller may be able to cause them.
		r.target.health.refused(r.d.opts.Clock.Now())
	} else {
		r.target.health.succeeded()
		r.target.observe(took, r.d.opts.Clock.Now())
	}
	r.d.release(r.svc, r.target.endpoint)
}

// abandon cancels an attempt. Its slot stays counted until it has certainly
// ended: its whole answer came, or an announcement no longer lists it.
func (r *reply) abandon() {
	if r.target == nil {
		r.x.close()
		r.d.opts.Registry.ReleasePeerSlot(r.svc.name, r.peer)
		return
	}
	e := r.target.endpoint
	e.Abandon(r.attempt, r.d.opts.Clock.Now())
	r.d.metrics.lingering.Inc()
	r.d.background.Go(func() {
		defer r.d.metrics.lingering.Dec()
		stop := context.AfterFunc(r.d.stopped, func() { _ = r.x.conn.SetDeadline(longAgo) })
		defer stop()
		ended := r.x.drainAnswer(time.Now().Add(lingerRead))
		r.x.conn.close()
		if ended {
			e.EndAbandoned(r.attempt)
		}
	})
}

// discard drops an answer that came too late to be used.
func (r *reply) discard() {
	if r.x.ended {
		r.finish()
	} else {
		r.abandon()
	}
}

// copyRest copies the rest of a long body and ends the attempt. It returns an
// error if the answer is not complete.
func (r *reply) copyRest(w io.Writer) error {
	_, err := io.Copy(w, r.x)
	if err == nil && r.x.ended {
		r.finish()
		return nil
	}
	if r.target != nil && r.x.readErr != nil {
		r.d.countFailure(r.target)
	}
	r.abandon()
	return err
}

// countFailure counts a failed attempt and ejects the endpoint if there were
// many, unless half of the endpoints of the service are ejected already.
func (d *Dispatcher) countFailure(t *target) {
	now := d.opts.Clock.Now()
	if !t.health.failed(now) {
		return
	}
	pool := d.opts.Registry.Pool(t.endpoint.Service)
	if pool == nil {
		return
	}
	d.ejecting.Lock()
	defer d.ejecting.Unlock()
	ejected := 1
	for _, e := range pool.Endpoints {
		if e != t.endpoint && d.targetOf(e).health.ejected(now) {
			ejected++
		}
	}
	if 2*ejected > len(pool.Endpoints) || t.health.ejected(now) {
		return
	}
	length := t.health.eject(now)
	d.metrics.ejections.Inc()
	event.Log(d.opts.Logger, event.EndpointEjected, slog.String("endpoint", t.endpoint.ID), slog.Duration("for", length))
}
