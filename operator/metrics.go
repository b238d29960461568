package operator

import (
	"context"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	goa "goa.design/goa/v3/pkg"
)

type metrics struct {
	clock    clockwork.Clock
	requests *prometheus.CounterVec
	duration *prometheus.HistogramVec
}

func newMetrics(clock clockwork.Clock, r prometheus.Registerer) *metrics {
	f := promauto.With(r)
	return &metrics{
		clock: clock,
		requests: f.NewCounterVec(prometheus.CounterOpts{
			Name: "apricotrouter_operator_requests_total",
			Help: "Calls of operators by method and outcome.",
		}, []string{"method", "outcome"}),
		duration: f.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "apricotrouter_operator_request_duration_seconds",
			Help:    "Time to answer a call of an operator.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}, []string{"method"}),
	}
}

// observe is a goa middleware that counts and times calls.
func (m *metrics) observe(next goa.Endpoint) goa.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		method, _ := ctx.Value(goa.MethodKey).(string)
		start := m.clock.Now()
		res, err := next(ctx, request)
		m.duration.WithLabelValues(method).Observe(m.clock.Since(start).Seconds())
		m.requests.WithLabelValues(method, outcomeLabel(err)).Inc()
		return res, err
	}
}
