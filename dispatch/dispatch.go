// Package dispatch is the path of callers' requests: admission, selection of
// an endpoint, forwarding to it or to a peer that has room, retry, hedging,
// and the complete answer.
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

// Defaults of the limits in Options.
const (
	DefaultTimeout      = 30 * time.Second
	DefaultMaxTimeout   = 5 * time.Minute
	DefaultMaxBodyBytes = 8 << 20
	DefaultPeerConns    = 256
	// minQueue is the smallest bound of the queue of a service.
	minQueue = 16
	// queuePerSlot bounds the queue of a service by its slots.
	queuePerSlot = 4
	// maintainInterval is how often idle connections, ejections and queues
	// are looked after.
	maintainInterval = 20 * time.Millisecond
	// lingerRead is how long the end of an abandoned attempt is waited for on
	// its connection. After that an announcement must show it.
	lingerRead = 5 * time.Second
)

// Options are the settings and collaborators of a Dispatcher. Limits that are
// 0 take their defaults.
type Options struct {
	Registry *registry.Registry
	// Ledger keeps requests that must not run twice. Without it, a resend of
	// such a request runs again.
	Ledger *ledger.Ledger
	Log    replica.Log
	// ForwardAddress returns host:port of the ForwardHandler of an entry
	// instance, or "" if it is not known.
	ForwardAddress func(instance string) string
	// PeerTLS is used to connect to peers; nil connects without TLS.
	PeerTLS    *tls.Config
	Clock      clockwork.Clock
	Logger     *slog.Logger
	Registerer prometheus.Registerer

	Timeout      time.Duration // of requests that name none
	MaxTimeout   time.Duration
	MaxBodyBytes int64
	PeerConns    int64 // connections to one peer
	// Attempts is how often one request is tried, hedges not counted.
	Attempts int
}

// Dispatcher forwards requests of callers and peers to endpoints.
type Dispatcher struct {
	opts     Options
	dialer   *net.Dialer
	routes   atomic.Pointer[routes]
	routesMu sync.Mutex
	targets  sync.Map // *target to struct{}
	peers    sync.Map // instance to *connPool
	attempts atomic.Uint64
	ejecting sync.Mutex // held while one endpoint is ejected
	metrics  *metrics
	scratch  *hdrhistogram.Histogram // used by maintain

	requests   inFlight       // of callers and peers, until their ends are recorded
	background sync.WaitGroup // abandoned attempts and losing hedges
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

// Run looks after connections, ejections and queues until ctx ends. It then
// ends what is left of abandoned attempts and closes idle connections, so a
// daemon calls Drain first.
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

// Drain returns when no request is in flight, or with the error of ctx.
// Requests that arrive meanwhile are served and waited for.
func (d *Dispatcher) Drain(ctx context.Context) error {
	return d.requests.wait(ctx)
}

// InFlight returns the number of requests of callers and peers in flight.
func (d *Dispatcher) InFlight() int64 { return d.requests.count() }

func (d *Dispatcher) nextAttemptID() string {
	return d.opts.Registry.AttemptPrefix() + strconv.FormatUint(d.attempts.Add(1), 36)
}

func (d *Dispatcher) addTarget(t *target) { d.targets.Store(t, struct{}{}) }

// maintain does the periodic work.
func (d *Dispatcher) maintain() {
	d.targets.Range(func(k, _ any) bool {
		t := k.(*target)
		t.pool.trim()
		if !t.endpoint.Owned() {
			t.pool.closeIdle(false)
			if t.endpoint.InFlight() == 0 && t.pool.opened() == 0 {
				d.targets.Delete(t)
			}
		}
		return true
	})
	d.peers.Range(func(_, v any) bool {
		v.(*connPool).trim()
		return true
	})
	now := d.opts.Clock.Now()
	for _, s := range d.routes.Load().services {
		s.estimate.publish(now, d.scratch)
		d.serveQueue(s)
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

// peerPool returns the connections to a peer, or nil if its address is not
// known.
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
