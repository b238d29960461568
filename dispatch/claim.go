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

// HeaderRecorded marks an answer that was recorded when the request ran
// earlier.
const HeaderRecorded = "X-Recorded"

// serveClaimed serves a request that must run at most once, however often the
// caller sends it. It goes on when the caller has gone, so that a resend gets
// the answer.
func (d *Dispatcher) serveClaimed(w http.ResponseWriter, r *http.Request, rq *request) *Problem {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), rq.deadline)
	defer cancel()
	key := ledger.Key{Service: rq.service.name, RequestID: rq.id}
	claim, err := d.opts.Ledger.Claim(ctx, key, rq.digest())
	if err != nil {
		return notRun(http.StatusServiceUnavailable, "ledger-unavailable", "request could not be recorded").because(err)
	}
	if claim.Verdict != ledger.VerdictGranted {
		return d.answerResend(w, rq, claim)
	}
	// The end is recorded on every way out, an abort of the caller's
	// connection included.
	end := &ending{d: d, claim: claim}
	defer end.record()
	reply, p := d.route(ctx, rq)
	if p != nil {
		end.released = p.Outcome == OutcomeNotRun
		return p
	}
	capture := new(prefix)
	status, header := reply.x.resp.StatusCode, http.Header{}
	copyHeader(header, reply.x.resp.Header)
	if reply.x.whole {
		end.answer = &ledger.Answer{Status: status, Header: header, Body: reply.x.body}
	}
	d.writeAnswer(w, rq, reply, capture)
	if !reply.x.whole && !capture.dropped {
		end.answer = &ledger.Answer{Status: status, Header: header, Body: capture.buf.Bytes()}
	}
	return nil
}

// digest tells a resend from another request with the same id.
func (rq *request) digest() uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(rq.method)
	_, _ = h.WriteString(" " + rq.uri + " ")
	if rq.body.replayable() {
		_, _ = h.Write(rq.body.head)
	} else {
		_, _ = h.WriteString(strconv.FormatInt(rq.body.length, 10))
	}
	return h.Sum64()
}

// answerResend answers a request that was claimed before.
func (d *Dispatcher) answerResend(w http.ResponseWriter, rq *request, c *ledger.Claim) *Problem {
	switch c.Verdict {
	case ledger.VerdictRecorded:
		h := w.Header()
		for name, values := range c.Answer.Header {
			h[name] = values
		}
		h.Set(HeaderRequestID, rq.id)
		h.Set(HeaderRecorded, "true")
		if rq.method != http.MethodHead && c.Answer.Status != http.StatusNoContent && c.Answer.Status != http.StatusNotModified {
			h.Set("Content-Length", strconv.Itoa(len(c.Answer.Body)))
		}
		w.WriteHeader(c.Answer.Status)
		_, _ = w.Write(c.Answer.Body)
		return nil
	case ledger.VerdictConflict:
		return notRun(http.StatusUnprocessableEntity, "request-id-reused", "request id was used for another request")
	}
	p := unknown(http.StatusConflict, "may-have-run", "request was sent before and its answer is not known", nil)
	p.Detail = c.Reason
	return p
}

// ending records the end of a claimed request.
type ending struct {
	d        *Dispatcher
	claim    *ledger.Claim
	released bool           // certainly did not run
	answer   *ledger.Answer // nil if it is not known or too long
}

// record runs in the background, so that the caller does not wait for it.
// Drain does.
func (e *ending) record() {
	d, ctx := e.d, e.d.stopped
	d.requests.begin()
	d.background.Go(func() {
		defer d.requests.end()
		var err error
		if e.released {
			err = e.claim.Release(ctx)
		} else {
			err = e.claim.Record(ctx, e.answer)
		}
		if err != nil {
			event.Log(d.opts.Logger, event.RequestNotRecorded, slog.Any("error", steperr.Wrap(err, "record request", "")))
		}
	})
}
