package worker

import "github.com/prometheus/client_golang/prometheus"

// metrics contains the metrics of all sessions.
type metrics struct {
	sessions    prometheus.Gauge
	unreachable prometheus.Gauge
	lost        prometheus.Counter
	starts      *prometheus.CounterVec
	stops       prometheus.Counter
	reports     *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		sessions: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "apricotrouter_worker_sessions",
			Help: "Workers assigned to this instance.",
		}),
		unreachable: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "apricotrouter_worker_unreachable",
			Help: "Assigned workers whose last call failed.",
		}),
		lost: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "apricotrouter_worker_lost_total",
			Help: "Workers reported lost.",
		}),
		starts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "apricotrouter_worker_starts_total",
			Help: "Start calls by result: ok, refused or unknown.",
		}, []string{"result"}),
		stops: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "apricotrouter_worker_stops_total",
			Help: "Confirmed stops of tasks.",
		}),
		reports: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "apricotrouter_worker_reports_total",
			Help: "Task events reported to the log by event.",
		}, []string{"event"}),
	}
	if r != nil {
		r.MustRegister(m.sessions, m.unreachable, m.lost, m.starts, m.stops, m.reports)
	}
	return m
}
