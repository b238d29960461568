package replica

import "github.com/prometheus/client_golang/prometheus"

// metrics are the Prometheus metrics of a replica. They also work unregistered.
type metrics struct {
	applied         prometheus.Gauge
	fresh           prometheus.Gauge
	leader          prometheus.Gauge
	commit          prometheus.Histogram
	sync            prometheus.Histogram
	refused         prometheus.Counter
	storageFailures prometheus.Counter
	disk            prometheus.Gauge
}

func newMetrics(reg prometheus.Registerer) *metrics {
	const ns, sub = "apricotrouter", "replica"
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: ns, Subsystem: sub, Name: name, Help: help})
	}
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: ns, Subsystem: sub, Name: name, Help: help})
	}
	histogram := func(name, help string) prometheus.Histogram {
		return prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: ns, Subsystem: sub, Name: name, Help: help,
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14),
		})
	}
	m := &metrics{
		applied:         gauge("applied_index", "Log index of the command applied last."),
		fresh:           gauge("fresh", "1 while the instance holds its freshness lease."),
		leader:          gauge("leader", "1 while the instance is the confirmed leader."),
		commit:          histogram("commit_seconds", "Time from a proposal on the leader to its result."),
		sync:            histogram("sync_seconds", "Time to write and sync one batch of the log."),
		refused:         counter("refused_messages_total", "Messages for another replica or group."),
		storageFailures: counter("storage_failures_total", "Failed writes after which the replica continued without its disk."),
		disk:            gauge("disk", "1 while the replica stores its log on a disk."),
	}
	if reg != nil {
		reg.MustRegister(m.applied, m.fresh, m.leader, m.commit, m.sync, m.refused, m.storageFailures, m.disk)
	}
	return m
}

func (m *metrics) setFresh(fresh bool)   { setBool(m.fresh, fresh) }
func (m *metrics) setLeader(leader bool) { setBool(m.leader, leader) }

func setBool(g prometheus.Gauge, on bool) {
	if on {
		g.Set(1)
	} else {
		g.Set(0)
	}
}
