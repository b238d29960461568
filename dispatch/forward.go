package dispatch

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"apricotrouter/event"
	"apricotrouter/steperr"
)

// ForwardPath is the path of requests that entry instances forward to each
// other on the peer port. The body is that of the caller's request; method,
// URI, host and service are in header fields.
const ForwardPath = "/v1/forward"

const (
	headerForwardMethod  = "X-Forward-Method"
	headerForwardURI     = "X-Forward-Uri"
	headerForwardHost    = "X-Forward-Host"
	headerForwardService = "X-Forward-Service"
	// headerForwardResult distinguishes a response of an endpoint from an error
	// response of the peer.
	headerForwardResult = "X-Forward-Result"
	resultResponse      = "answer"
	resultRefused       = "refused"
)

// attemptPeer sends a request to a peer, which makes one attempt at one of its
// endpoints.
func (d *Dispatcher) attemptPeer(ctx context.Context, rq *request, peer string) (*response, *Problem) {
	r := &response{d: d, svc: rq.service, started: time.Now(), request: rq.id, peer: peer}
	pool := d.peerPool(peer)
	if pool == nil {
		d.opts.Registry.MarkPeerFull(rq.service.name, peer)
		return nil, notRun(http.StatusServiceUnavailable, "peer-unreachable", "address of peer "+peer+" is not known")
	}
	c, err := d.connect(ctx, rq, pool)
	if err != nil {
		d.opts.Registry.MarkPeerFull(rq.service.name, peer)
		return nil, d.peerFailed(r, notRun(http.StatusServiceUnavailable, "peer-unreachable", "could not connect to a peer"), err)
	}
	r.ex, err = d.send(ctx, c, rq, rq.outgoingToPeer())
	if err != nil {
		return nil, d.peerSendFailed(ctx, rq, r, pool, err)
	}
	return d.classifyPeerResponse(r)
}

// peerSendFailed ends an attempt at a peer that got no response.
func (d *Dispatcher) peerSendFailed(ctx context.Context, rq *request, r *response, pool *connPool, err error) *Problem {
	wrote := r.ex.conn.wrote
	r.abandon()
	if cerr := rq.body.callerError(); cerr != nil {
		return d.bodyProblem(cerr, outcomeOf(wrote))
	}
	switch {
	case !wrote:
		return d.peerFailed(r, notRun(http.StatusServiceUnavailable, "peer-unreachable", "could not send to a peer"), err)
	case ctx.Err() != nil:
		return unknown(http.StatusBadGateway, "cancelled", "request was cancelled", errCancelled)
	case timedOut(err):
		pool.closeIdle(false)
		return d.peerFailed(r, unknown(http.StatusGatewayTimeout, "no-answer", "no answer by the deadline", err), err)
	}
	return d.peerFailed(r, unknown(http.StatusBadGateway, "answer-incomplete", "peer did not answer in full", err), err)
}

// classifyPeerResponse distinguishes an endpoint's response from an error
// response of the peer.
func (d *Dispatcher) classifyPeerResponse(r *response) (*response, *Problem) {
	h := r.ex.resp.Header
	switch {
	case h.Get(headerForwardResult) == resultResponse:
		return r, nil
	case h.Get(headerForwardResult) == resultRefused && r.ex.buffered:
		status := r.ex.resp.StatusCode
		r.ex.finish()
		if h.Get(HeaderOutcome) == string(OutcomeNotRun) {
			d.opts.Registry.MarkPeerFull(r.svc.name, r.peer)
			return nil, notRun(http.StatusServiceUnavailable, "peer-refused", "peer "+r.peer+" refused the request")
		}
		d.opts.Registry.ReleasePeerSlot(r.svc.name, r.peer)
		return nil, unknown(status, "answer-incomplete", "endpoint of a peer did not answer in full", nil)
	}
	r.abandon()
	return nil, unknown(http.StatusBadGateway, "bad-answer", "peer "+r.peer+" gave no valid answer", nil)
}

func (d *Dispatcher) peerFailed(r *response, p *Problem, err error) *Problem {
	p.cause = steperr.Wrap(err, "forward request to peer", r.peer)
	d.metrics.failures.WithLabelValues(string(p.Outcome)).Inc()
	event.Log(d.opts.Logger, event.AttemptFailed, slog.String("peer", r.peer),
		slog.String("request_id", r.request), slog.String("outcome", string(p.Outcome)), slog.Any("error", p.cause))
	return p
}

// outgoingToPeer returns the request as it is sent to a peer.
func (rq *request) outgoingToPeer() *outgoing {
	return &outgoing{
		method: http.MethodPost, uri: ForwardPath, host: rq.host,
		header: rq.header, skipHeaders: rq.skipHeaders, body: &rq.body,
		extra: []field{
			{HeaderRequestID, rq.id},
			{HeaderTimeout, strconv.FormatInt(max(1, rq.remaining().Milliseconds()), 10)},
			{headerForwardMethod, rq.method},
			{headerForwardURI, rq.uri},
			{headerForwardHost, rq.host},
			{headerForwardService, rq.service.name},
		},
	}
}

// ForwardHandler returns the handler of ForwardPath on the peer port.
func (d *Dispatcher) ForwardHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.requests.begin()
		defer d.requests.end()
		rq, p := d.parseForwarded(r)
		if p == nil {
			p = d.readBody(w, r, rq)
		}
		if p == nil {
			p = d.serveForwarded(r.Context(), w, rq)
		}
		if p != nil {
			w.Header().Set(headerForwardResult, resultRefused)
			p.write(w, rq.id)
		}
	})
}

func (d *Dispatcher) parseForwarded(r *http.Request) (*request, *Problem) {
	rq, p := d.parse(r)
	if p != nil {
		return rq, p
	}
	rq.forwarded = true
	rq.method = r.Header.Get(headerForwardMethod)
	rq.uri = r.Header.Get(headerForwardURI)
	rq.host = r.Header.Get(headerForwardHost)
	rq.service = d.routesFor(d.opts.Log.State()).services[r.Header.Get(headerForwardService)]
	if rq.method == "" || rq.uri == "" || rq.service == nil {
		return rq, notRun(http.StatusNotFound, "no-service", "forwarded request names no known service")
	}
	return rq, nil
}

// serveForwarded makes one attempt. Retries and hedges are left to the instance
// that received the caller's request.
func (d *Dispatcher) serveForwarded(ctx context.Context, w http.ResponseWriter, rq *request) *Problem {
	g, p := d.acquireSlot(ctx, rq, &attempted{})
	if p != nil {
		return p
	}
	r, p := d.attempt(ctx, rq, g)
	if p != nil {
		return p
	}
	w.Header().Set(headerForwardResult, resultResponse)
	d.writeResponse(w, rq, r, nil)
	return nil
}
