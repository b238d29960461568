package control

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"apricotrouter/state"
)

type metrics struct {
	leading   prometheus.Gauge
	pending   prometheus.Gauge
	step      prometheus.Histogram
	proposals *prometheus.CounterVec
	evictions *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		leading: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "apricotrouter_control_leading_state",
			Help: "1 while this instance runs the leader loop, else 0.",
		}),
		pending: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "apricotrouter_control_pending_tasks",
			Help: "Tasks that wait for a worker, as seen by the leader.",
		}),
		step: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "apricotrouter_control_step_seconds",
			Help:    "Time to make the decisions of one step, without proposing them.",
			Buckets: prometheus.ExponentialBuckets(0.0001, 2, 14),
		}),
		proposals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "apricotrouter_control_proposals_total",
			Help: "Proposals of the leader loop by kind and outcome.",
		}, []string{"kind", "outcome"}),
		evictions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "apricotrouter_control_evictions_total",
			Help: "Batch tasks that the leader loop told to stop and resume later, by cause.",
		}, []string{"cause"}),
	}
	if r != nil {
		r.MustRegister(m.leading, m.pending, m.step, m.proposals, m.evictions)
	}
	return m
}

func (m *metrics) setLeading(leading bool) {
	if leading {
		m.leading.Set(1)
	} else {
		m.leading.Set(0)
	}
}

func (m *metrics) observeStep(s *state.State, d time.Duration) {
	m.step.Observe(d.Seconds())
	m.pending.Set(float64(s.PendingCount()))
}
