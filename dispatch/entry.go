package dispatch

import (
	"context"
	"net/http"
	"time"
)

// EntryHandler returns the handler for requests of callers.
func (d *Dispatcher) EntryHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.requests.begin()
		defer d.requests.end()
		rq, p := d.parse(r)
		if p == nil {
			p = d.serve(w, r, rq)
		}
		result := "answered"
		if p != nil {
			result = string(p.Outcome)
			p.write(w, rq.id)
		} else {
			d.metrics.requestSeconds.Observe(time.Since(rq.started).Seconds())
		}
		d.metrics.requests.WithLabelValues(result).Inc()
	})
}

// serve routes a request and writes the response.
func (d *Dispatcher) serve(w http.ResponseWriter, r *http.Request, rq *request) *Problem {
	if !d.opts.Log.Fresh() {
		return d.notFreshProblem()
	}
	s := d.opts.Log.State()
	rq.service = d.routesFor(s).find(r.Host, r.URL.Path)
	if rq.service == nil {
		return notRun(http.StatusNotFound, "no-service", "no service has this host and path")
	}
	if p := d.readBody(w, r, rq); p != nil {
		return p
	}
	if !rq.idempotent && rq.callerID && d.opts.Ledger != nil {
		return d.serveClaimed(w, r, rq)
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	response, p := d.route(ctx, rq)
	if p != nil {
		return p
	}
	d.writeResponse(w, rq, response, nil)
	return nil
}
