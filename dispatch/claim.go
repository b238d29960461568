package dispatch

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"apricotrouter/event"
	"apricotrouter/ledger"
	"apricotrouter/steperr"
)

// HeaderRecorded marks a response that was recorded when the request ran
// earlier.
const HeaderRecorded = "X-Recorded"

// serveClaimed serves a request that must run at most once, however often the
// caller sends it. It continues after the caller has disconnected, so that the
// response is recorded for a resend.
func (d *Dispatcher) serveClaimed(w http.ResponseWriter, r *http.Request, rq *request) *Problem {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), rq.deadline)
	defer cancel()
	key := ledger.Key{Service: rq.service.name, RequestID: rq.id}
	claim, err := d.opts.Ledger.Claim(ctx, key, rq.digest())
	if err != nil {
		return notRun(http.StatusServiceUnavailable, "ledger-unavailable", "request could not be recorded").withCause(err)
	}
	if claim.Verdict != ledger.VerdictGranted {
		return d.respondToResend(w, rq, claim)
	}
	// Record the outcome on every return path and also on the panic that aborts
	// the connection to the caller.
	completion := &claimCompletion{d: d, claim: claim}
	defer completion.record()
	response, p := d.route(ctx, rq)
	if p != nil {
		completion.released = p.Outcome == OutcomeNotRun
		return p
	}
	capture := new(boundedBuffer)
	status, header := response.ex.resp.StatusCode, http.Header{}
	copyHeader(header, response.ex.resp.Header)
	if response.ex.buffered {
		completion.recorded = &ledger.Response{Status: status, Header: header, Body: response.ex.body}
	}
	d.writeResponse(w, rq, response, capture)
	if !response.ex.buffered && !capture.overflowed {
		completion.recorded = &ledger.Response{Status: status, Header: header, Body: capture.buf.Bytes()}
	}
	return nil
}

// digest returns a hash of the request that distinguishes a resend from a
// different request with the same ID. For a body that is not in memory, it
// covers only the length.
func (rq *request) digest() uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(rq.method)
	_, _ = h.WriteString(" " + rq.uri + " ")
	if rq.body.replayable() {
		_, _ = h.Write(rq.body.prefix)
	} else {
		_, _ = h.WriteString(strconv.FormatInt(rq.body.length, 10))
	}
	return h.Sum64()
}

// respondToResend responds to a request whose ID was claimed before.
func (d *Dispatcher) respondToResend(w http.ResponseWriter, rq *request, c *ledger.Claim) *Problem {
	switch c.Verdict {
	case ledger.VerdictRecorded:
		h := w.Header()
		for name, values := range c.Response.Header {
			h[name] = values
		}
		h.Set(HeaderRequestID, rq.id)
		h.Set(HeaderRecorded, "true")
		if rq.method != http.MethodHead && c.Response.Status != http.StatusNoContent && c.Response.Status != http.StatusNotModified {
			h.Set("Content-Length", strconv.Itoa(len(c.Response.Body)))
		}
		w.WriteHeader(c.Response.Status)
		_, _ = w.Write(c.Response.Body)
		return nil
	case ledger.VerdictConflict:
		return notRun(http.StatusUnprocessableEntity, "request-id-reused", "request id was used for another request")
	}
	p := unknown(http.StatusConflict, "may-have-run", "request was sent before and its answer is not known", nil)
	p.Detail = c.Reason
	return p
}

// claimCompletion records the outcome of a claimed request.
type claimCompletion struct {
	d        *Dispatcher
	claim    *ledger.Claim
	released bool             // the request certainly did not run
	recorded *ledger.Response // nil if unknown or longer than MaxBufferedResponse
}

// record updates the claim in the background, so that the caller does not wait
// for it. Drain waits until it has finished.
func (e *claimCompletion) record() {
	d, ctx := e.d, e.d.stopped
	d.requests.begin()
	d.background.Go(func() {
		defer d.requests.end()
		var err error
		if e.released {
			err = e.claim.Release(ctx)
		} else {
			err = e.claim.Record(ctx, e.recorded)
		}
		if err != nil {
			event.Log(d.opts.Logger, event.RequestNotRecorded, slog.Any("error", steperr.Wrap(err, "record request", "")))
		}
	})
}
