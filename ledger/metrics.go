package ledger

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	claims *prometheus.CounterVec
}

func newMetrics(reg prometheus.Registerer, l *Ledger) *metrics {
	m := &metrics{claims: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "apricotrouter_ledger_claims_total",
		Help: "Claims decided by this instance, by verdict.",
	}, []string{"verdict"})}
	if reg != nil {
		reg.MustRegister(
			m.claims,
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{
				Name: "apricotrouter_ledger_entries",
				Help: "Requests remembered by this instance.",
			}, func() float64 { return float64(l.entries.Load()) }),
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{
				Name: "apricotrouter_ledger_answer_bytes",
				Help: "Memory of recorded answers.",
			}, func() float64 { return float64(l.responseBytes.Load()) }),
		)
	}
	return m
}
