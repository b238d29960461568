package transport

import (
	"github.com/prometheus/client_golang/prometheus"
)

// kindNames contains the metric label of each kind.
var kindNames = map[Kind]string{
	0:                   "heartbeat",
	KindRaft:            "raft",
	KindRaftSnapshot:    "raft_snapshot",
	KindPropose:         "propose",
	KindFreshness:       "freshness",
	KindFormation:       "formation",
	KindAnnounce:        "announce",
	KindFreeSlots:       "room",
	KindObservations:    "observations",
	KindLedgerClaim:     "ledger_claim",
	KindLedgerRecord:    "ledger_record",
	KindLedgerReplicate: "ledger_replicate",
	KindLedgerFetch:     "ledger_fetch",
	KindFleet:           "fleet",
}

// metrics counts the bytes sent and received, by kind, and lost connections.
type metrics struct {
	disconnects *prometheus.CounterVec
	expired     prometheus.Counter
	sent        map[Kind]prometheus.Counter
	received    map[Kind]prometheus.Counter
}

func newMetrics(r prometheus.Registerer) *metrics {
	bytes := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "apricotrouter_transport_message_bytes_total",
		Help: "Bytes of frames to and from other entry instances. An answer counts under the kind of its call.",
	}, []string{"direction", "kind"})
	m := &metrics{
		disconnects: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "apricotrouter_transport_disconnects_total",
			Help: "Connections to peers that broke or went silent.",
		}, []string{"peer"}),
		expired: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "apricotrouter_transport_expired_calls_total",
			Help: "Calls of peers that arrived after their callers had stopped waiting, and were not carried out.",
		}),
		sent:     make(map[Kind]prometheus.Counter),
		received: make(map[Kind]prometheus.Counter),
	}
	for kind, name := range kindNames {
		m.sent[kind] = bytes.WithLabelValues("sent", name)
		m.received[kind] = bytes.WithLabelValues("received", name)
	}
	if r != nil {
		r.MustRegister(m.disconnects, m.expired, bytes)
	}
	return m
}

// count adds bytes to the counter of a kind. Unknown kinds are not counted; only a
// peer that runs another build can send them.
func count(counters map[Kind]prometheus.Counter, kind Kind, bytes int) {
	if c := counters[kind]; c != nil {
		c.Add(float64(bytes))
	}
}
