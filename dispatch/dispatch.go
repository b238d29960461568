// Package dispatch routes the requests of callers: it does admission control,
// selects an endpoint, forwards the request to the endpoint or to a peer with
// free slots, retries and hedges, and returns the complete response.
package dispatch

import (
	"cmp"
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"apricotrouter/ledger"
	"apricotrouter/registry"
	"apricotrouter/replica"
)

// Defaults of the limits in Options, and internal limits.
const (
	DefaultTimeout      = 30 * time.Second
	DefaultMaxTimeout   = 5 * time.Minute
	DefaultMaxBodyBytes = 8 << 20
	DefaultPeerConns    = 256
	// minQueue is the minimum queue limit of a service, in requests.
	minQueue = 16
	// queuePerSlot is the queue limit of a service per slot of its owned
	// endpoints, in requests.
	queuePerSlot = 4
	// maintainInterval is the interval at which expired idle connections are
	// closed, latency estimates are published and queued requests are granted
	// free slots.
	maintainInterval = 20 * time.Millisecond
	// abandonedReadTimeout is how long the connection of an abandoned attempt
	// is read for the end of its response. After that, only an announcement of
	// the endpoint can show that the attempt has ended.
	abandonedReadTimeout = 5 * time.Second
)

// Options configures a Dispatcher. Limits that are 0 take their defaults.
type Options struct {
	Registry *registry.Registry
	// Ledger records requests that must not run twice. If it is nil, a resend
	// of such a request runs again.
	Ledger *ledger.Ledger
	Log    replica.Log
	// ForwardAddress returns the host:port that serves ForwardHandler on an
	// entry instance, or "" if it is unknown.
	ForwardAddress func(instance string) string
	// PeerTLS is the TLS configuration of connections to peers; nil means
	// without TLS.
	PeerTLS    *tls.Config
	Clock      clockwork.Clock
	Logger     *slog.Logger
	Registerer prometheus.Registerer

	Timeout      time.Duration // for requests without HeaderTimeout
	MaxTimeout   time.Duration
	MaxBodyBytes int64
	PeerConns    int64 // connection limit for each peer
	// Attempts is the maximum number of attempts for one request, hedges not
	// counted. The default is 3.
	Attempts int
}

// Dispatcher routes requests of callers and peers to endpoints.
type Dispatcher struct {
	opts     Options
	dialer   *net.Dialer
	routes   atomic.Pointer[routes]
	routesMu sync.Mutex
	targets  sync.Map // set of *target
	peers    sync.Map // instance ID to *connPool
	attempts atomic.Uint64
	ejectMu  sync.Mutex // serializes ejections
	metrics  *metrics
	scratch  *hdrhistogram.Histogram // buffer of maintain

	requests   inFlight       // of callers and peers, until their outcomes are recorded
	background sync.WaitGroup // abandoned attempts, hedges and recording of outcomes
	stopped    context.Context
	stop       context.CancelFunc
}

// New returns a Dispatcher.
func New(opts Options) *Dispatcher {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	opts.Timeout = cmp.Or(opts.Timeout, DefaultTimeout)
	opts.MaxTimeout = cmp.Or(opts.MaxTimeout, DefaultMaxTimeout)
	opts.MaxBodyBytes = cmp.Or(opts.MaxBodyBytes, DefaultMaxBodyBytes)
	opts.PeerConns = cmp.Or(opts.PeerConns, DefaultPeerConns)
	opts.Attempts = cmp.Or(opts.Attempts, 3)
	d := &Dispatcher{opts: opts, dialer: newDialer(), metrics: newMetrics(opts.Registerer), scratch: newHistogram()}
	d.routes.Store(&routes{})
	d.stopped, d.stop = context.WithCancel(context.Background())
	return d
}

// Run does the periodic maintenance until ctx ends. Then it cancels abandoned
// attempts and hedges, waits for them, and closes the idle connections. Call
// Drain before ending ctx to let requests finish.
func (d *Dispatcher) Run(ctx context.Context) error {
	ticker := d.opts.Clock.NewTicker(maintainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			d.stop()
			d.background.Wait()
			d.closeConnections()
			return nil
		case <-ticker.Chan():
			d.maintain()
		}
	}
}

// Drain waits until no request is in flight. It returns the error of ctx if ctx
// ends first. Requests that arrive during Drain are served and waited for.
func (d *Dispatcher) Drain(ctx context.Context) error {
	return d.requests.wait(ctx)
}

// InFlight returns the number of requests of callers and peers that are in
// flight.
func (d *Dispatcher) InFlight() int64 { return d.requests.count() }

func (d *Dispatcher) nextAttemptID() string {
	return d.opts.Registry.AttemptPrefix() + strconv.FormatUint(d.attempts.Add(1), 36)
}

func (d *Dispatcher) addTarget(t *target) { d.targets.Store(t, struct{}{}) }

// maintain closes expired connections, drops targets that are no longer used,
// publishes latency estimates and grants free slots to queued requests.
func (d *Dispatcher) maintain() {
	d.targets.Range(func(k, _ any) bool {
		t := k.(*target)
		t.pool.closeExpired()
		if !t.endpoint.Owned() {
			t.pool.closeIdle(false)
			if t.endpoint.InFlight() == 0 && t.pool.openCount() == 0 {
				d.targets.Delete(t)
			}
		}
		return true
	})
	d.peers.Range(func(_, v any) bool {
		v.(*connPool).closeExpired()
		return true
	})
	now := d.opts.Clock.Now()
	for _, s := range d.routes.Load().services {
		s.estimate.publish(now, d.scratch)
		d.grantQueued(s)
	}
}

func (d *Dispatcher) closeConnections() {
	d.targets.Range(func(k, _ any) bool {
		k.(*target).pool.closeIdle(true)
		return true
	})
	d.peers.Range(func(_, v any) bool {
		v.(*connPool).closeIdle(true)
		return true
	})
}

// peerPool returns the connection pool of a peer, or nil if its address is
// unknown.
func (d *Dispatcher) peerPool(instance string) *connPool {
	address := d.opts.ForwardAddress(instance)
	if address == "" {
		return nil
	}
	if v, ok := d.peers.Load(instance); ok && v.(*connPool).address == address {
		return v.(*connPool)
	}
	p := &connPool{
		address: address,
		limit:   func() int64 { return d.opts.PeerConns },
		clock:   d.opts.Clock,
		dialer:  d.dialer,
		tls:     d.opts.PeerTLS,
	}
	if old, ok := d.peers.Swap(instance, p); ok {
		old.(*connPool).closeIdle(true)
	}
	return p
}
