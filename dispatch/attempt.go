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

// minFailureTimeout is the shortest time without a response after which a
// timeout counts as a failure of the endpoint.
const minFailureTimeout = 500 * time.Millisecond

// response is the response to one attempt, of which at least the header
// has arrived. Exactly one of finish and abandon must be called.
type response struct {
	ex        *exchange
	d         *Dispatcher
	svc       *service
	started   time.Time
	attemptID string
	request   string  // request ID
	target    *target // nil if a peer responded
	peer      string
}

// attempt sends a request to the endpoint or peer of a grant and waits for the
// response header. The slot of g is released once the attempt has certainly
// ended.
func (d *Dispatcher) attempt(ctx context.Context, rq *request, g grant) (*response, *Problem) {
	if g.endpoint != nil {
		return d.attemptEndpoint(ctx, rq, g.endpoint)
	}
	return d.attemptPeer(ctx, rq, g.peer)
}

func (d *Dispatcher) attemptEndpoint(ctx context.Context, rq *request, e *registry.Endpoint) (*response, *Problem) {
	t := d.targetOf(e)
	r := &response{d: d, svc: rq.service, started: time.Now(), attemptID: d.nextAttemptID(), request: rq.id, target: t}
	c, err := d.connect(ctx, rq, t.pool)
	if err != nil {
		d.releaseAfterFailure(rq.service, e)
		if ctx.Err() == nil && err != errConnLimit {
			d.countFailure(t)
		}
		return nil, d.attemptFailed(r, notRun(http.StatusServiceUnavailable, "endpoint-unreachable", "could not connect to an endpoint"), err)
	}
	// While this attempt was connecting, another instance may have applied a
	// change that forbids it.
	if !d.opts.Log.Fresh() {
		t.pool.put(c)
		d.releaseSlot(rq.service, e)
		return nil, d.notFreshProblem()
	}
	r.ex, err = d.send(ctx, c, rq, rq.outgoing(r.attemptID))
	if err == nil && !r.matchesAttempt() {
		err = errMismatched
		event.Log(d.opts.Logger, event.ResponseMismatched, slog.String("endpoint", e.ID))
	}
	if err != nil {
		return nil, d.endpointFailed(ctx, rq, r, err)
	}
	if r.refusedNotRun() {
		r.ex.finish()
		t.health.refused(d.opts.Clock.Now())
		d.releaseAfterFailure(rq.service, e)
		return nil, notRun(http.StatusServiceUnavailable, "endpoint-refused", "endpoint refused the request")
	}
	return r, nil
}

// connect returns an idle connection or dials one before the deadline of the
// request.
func (d *Dispatcher) connect(ctx context.Context, rq *request, p *connPool) (*conn, error) {
	if c := p.takeIdle(); c != nil {
		return c, nil
	}
	ctx, cancel := context.WithDeadline(ctx, rq.deadline)
	defer cancel()
	return p.get(ctx)
}

// send sends a request on a connection. It first records in rq whether a body
// is sent that can't be replayed.
func (d *Dispatcher) send(ctx context.Context, c *conn, rq *request, out *outgoing) (*exchange, error) {
	if !rq.body.replayable() {
		rq.bodySent = true
	}
	return send(ctx, c, out, rq.deadline)
}

// matchesAttempt reports whether the response belongs to this attempt. It is
// true if the endpoint does not echo the attempt ID.
func (r *response) matchesAttempt() bool {
	id := r.ex.resp.Header.Get(HeaderAttemptID)
	return id == "" || id == r.attemptID
}

// refusedNotRun reports whether the endpoint responded that it did not run the
// request.
func (r *response) refusedNotRun() bool {
	return r.ex.buffered && r.ex.resp.StatusCode == http.StatusServiceUnavailable &&
		r.ex.resp.Header.Get(HeaderOutcome) == string(OutcomeNotRun)
}

// endpointFailed ends an attempt that got no complete response header or
// buffered body. The outcome is not-run only if no byte was sent.
func (d *Dispatcher) endpointFailed(ctx context.Context, rq *request, r *response, err error) *Problem {
	t, ex := r.target, r.ex
	if cerr := rq.body.callerError(); cerr != nil {
		r.abandon()
		return d.bodyProblem(cerr, OutcomeUnknown)
	}
	if !ex.conn.wrote {
		ex.close()
		d.releaseAfterFailure(r.svc, t.endpoint)
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
		d.recordTimeout(r)
		r.abandon()
		return d.attemptFailed(r, unknown(http.StatusGatewayTimeout, "no-answer", "no answer by the deadline", errNoResponse), err)
	}
	d.countFailure(t)
	r.abandon()
	return d.attemptFailed(r, unknown(http.StatusBadGateway, "answer-incomplete", "endpoint did not answer in full", err), err)
}

// recordTimeout handles an attempt without a response by its deadline. It
// closes the idle connections to the endpoint, because they may be dead too.
// The timeout counts as a failure only after a wait in which other endpoints
// would have responded, because callers choose the deadlines.
func (d *Dispatcher) recordTimeout(r *response) {
	t := r.target
	t.pool.closeIdle(false)
	if time.Since(r.started) < max(minFailureTimeout, 2*r.svc.estimate.p95Latency()) {
		return
	}
	d.countFailure(t)
	if r.ex.resp == nil {
		d.metrics.responseTimeouts.Inc()
		event.Log(d.opts.Logger, event.ConnectionUnresponsive, slog.String("endpoint", t.endpoint.ID))
	}
}

func (d *Dispatcher) attemptFailed(r *response, p *Problem, err error) *Problem {
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

// close ends an exchange whose connection can't be reused.
func (x *exchange) close() {
	if x.stop != nil {
		x.stop()
	}
	x.conn.close()
}

// finish ends an attempt whose response was read completely and releases its
// slot.
func (r *response) finish() {
	took := time.Since(r.started)
	r.ex.finish()
	r.svc.estimate.observe(took)
	if r.target == nil {
		r.d.opts.Registry.ReleasePeerSlot(r.svc.name, r.peer)
		return
	}
	if r.ex.resp.StatusCode >= http.StatusInternalServerError {
		// An endpoint that fails fast must not attract requests. Server errors
		// do not eject it, because a caller may be able to provoke them.
		r.target.health.refused(r.d.opts.Clock.Now())
	} else {
		r.target.health.succeeded()
		r.target.observe(took, r.d.opts.Clock.Now())
	}
	r.d.releaseSlot(r.svc, r.target.endpoint)
}

// abandon cancels an attempt. The attempt occupies its slot until it has
// certainly ended: either its complete response was read, or an announcement of
// the endpoint no longer lists it.
func (r *response) abandon() {
	if r.target == nil {
		r.ex.close()
		r.d.opts.Registry.ReleasePeerSlot(r.svc.name, r.peer)
		return
	}
	e := r.target.endpoint
	e.Abandon(r.attemptID, r.d.opts.Clock.Now())
	r.d.metrics.abandoned.Inc()
	r.d.background.Go(func() {
		defer r.d.metrics.abandoned.Dec()
		stop := context.AfterFunc(r.d.stopped, func() { _ = r.ex.conn.SetDeadline(pastDeadline) })
		defer stop()
		ended := r.ex.drainResponse(time.Now().Add(abandonedReadTimeout))
		r.ex.conn.close()
		if ended {
			e.EndAbandoned(r.attemptID)
		}
	})
}

// discard ends an attempt whose response is not used, because another attempt
// won.
func (r *response) discard() {
	if r.ex.complete {
		r.finish()
	} else {
		r.abandon()
	}
}

// copyBody copies the rest of a streamed body to w and ends the attempt. It
// returns an error if the response is incomplete or w fails.
func (r *response) copyBody(w io.Writer) error {
	_, err := io.Copy(w, r.ex)
	if err == nil && r.ex.complete {
		r.finish()
		return nil
	}
	if r.target != nil && r.ex.readErr != nil {
		r.d.countFailure(r.target)
	}
	r.abandon()
	return err
}

// countFailure counts a failed attempt and ejects the endpoint after
// ejectThreshold consecutive failures. It never ejects more than half of the
// endpoints of a service.
func (d *Dispatcher) countFailure(t *target) {
	now := d.opts.Clock.Now()
	if !t.health.failed(now) {
		return
	}
	pool := d.opts.Registry.Pool(t.endpoint.Service)
	if pool == nil {
		return
	}
	d.ejectMu.Lock()
	defer d.ejectMu.Unlock()
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
