package dispatch

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	requests         *prometheus.CounterVec
	requestSeconds   prometheus.Histogram
	failures         *prometheus.CounterVec
	retries          prometheus.Counter
	hedges           prometheus.Counter
	truncated        prometheus.Counter
	responseTimeouts prometheus.Counter
	ejections        prometheus.Counter
	queued           prometheus.Gauge
	abandoned        prometheus.Gauge
}

func newMetrics(reg prometheus.Registerer) *metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "apricotrouter_dispatch_" + name, Help: help})
	}
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Name: "apricotrouter_dispatch_" + name, Help: help})
	}
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "apricotrouter_dispatch_requests_total",
			Help: "Requests of callers by result: answered, not-run, unknown.",
		}, []string{"result"}),
		requestSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "apricotrouter_dispatch_request_seconds",
			Help:    "Time of answered requests of callers.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 18),
		}),
		failures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "apricotrouter_dispatch_failed_attempts_total",
			Help: "Failed attempts at endpoints and peers by outcome.",
		}, []string{"outcome"}),
		retries:          counter("retries_total", "Requests sent again after a failed attempt."),
		hedges:           counter("hedges_total", "Second attempts at idempotent requests that were slow."),
		truncated:        counter("truncated_answers_total", "Answers that ended early after their beginning was passed on."),
		responseTimeouts: counter("silent_connections_total", "Connections closed because no answer came by the deadline."),
		ejections:        counter("ejections_total", "Ejections of endpoints."),
		queued:           gauge("queued_requests", "Requests that wait for a slot."),
		abandoned:        gauge("lingering_attempts", "Abandoned attempts whose connections are still read."),
	}
	if reg != nil {
		reg.MustRegister(m.requests, m.requestSeconds, m.failures, m.retries, m.hedges, m.truncated, m.responseTimeouts, m.ejections, m.queued, m.abandoned)
	}
	return m
}
