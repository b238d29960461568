package registry

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	owned     prometheus.Gauge
	freeSlots prometheus.Gauge
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		owned: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "apricotrouter_registry_owned_endpoints",
			Help: "Endpoints that this instance owns or still has requests on.",
		}),
		freeSlots: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "apricotrouter_registry_free_slots",
			Help: "Free slots of the endpoints that this instance owns.",
		}),
	}
	if reg != nil {
		reg.MustRegister(m.owned, m.freeSlots)
	}
	return m
}
