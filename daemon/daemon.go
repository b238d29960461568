// Package daemon runs one entry instance: it opens the ports, wires the parts
// together and shuts them down without cutting off a request.
package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"apricotrouter/config"
	"apricotrouter/control"
	"apricotrouter/dispatch"
	"apricotrouter/event"
	"apricotrouter/ledger"
	"apricotrouter/operator"
	"apricotrouter/registry"
	"apricotrouter/replica"
	"apricotrouter/state"
	"apricotrouter/transport"
	"apricotrouter/worker"
)

// handOverTimeout bounds the proposal that hands over assignments. Without a
// leader the assignments end with the freshness lease instead.
const handOverTimeout = 3 * time.Second

// Options are what a Daemon takes besides its settings.
type Options struct {
	Config *config.Config
	Logger *slog.Logger
	// Registry takes the metrics that the admin port shows; nil makes one.
	Registry *prometheus.Registry
	// Version is the version of the program, shown as a metric.
	Version string
	// PeerListener is the open peer port; nil opens the one of the settings.
	PeerListener net.Listener
}

// Daemon is one entry instance.
type Daemon struct {
	cfg    *config.Config
	logger *slog.Logger
	clock  clockwork.Clock
	ports  *ports

	metrics  *prometheus.Registry
	mesh     *transport.Mesh
	messages *transport.Mux
	// peerAddresses gives the peer port of each entry instance.
	peerAddresses map[string]string
	peerTLS       *tls.Config // nil without TLS
	replica       *replica.Replica
	control       *control.Control
	workers       *worker.Manager
	registry      *registry.Registry
	ledger        *ledger.Ledger
	dispatch      *dispatch.Dispatcher
	operator      *operator.Service

	entry *http.Server
	peer  *http.Server
	admin *http.Server

	leaving atomic.Bool
	parts   sync.WaitGroup
	// failed receives the first error of a part without which the instance
	// can't go on.
	failed chan error
}

// New opens the ports and the data folder and wires the parts. Nothing runs
// before Run. The error names the port or folder that can't be used.
func New(o Options) (*Daemon, error) {
	d := &Daemon{
		cfg: o.Config, logger: o.Logger, clock: clockwork.NewRealClock(),
		metrics: o.Registry, failed: make(chan error, 1),
	}
	if d.metrics == nil {
		d.metrics = prometheus.NewRegistry()
	}
	registerProcessMetrics(d.metrics, o.Version)
	ports, err := openPorts(o.Config, o.PeerListener)
	if err != nil {
		return nil, err
	}
	d.ports = ports
	if err := d.wire(); err != nil {
		ports.close()
		return nil, err
	}
	return d, nil
}

// wire makes the parts in the order in which they depend on one another.
func (d *Daemon) wire() error {
	if err := d.wireReplica(); err != nil {
		return err
	}
	d.control = control.New(control.Options{
		Log: d.replica, Leases: d.replica, Mux: d.messages, Clock: d.clock, Logger: d.logger, Registerer: d.metrics,
	})
	d.workers = worker.NewManager(worker.Options{
		Self: d.cfg.Instance.ID, Start: d.replica.Start(), Log: d.replica, Dial: worker.Dial, Peers: d.mesh,
		Clock: d.clock, Logger: d.logger, Registerer: d.metrics,
	})
	d.wireDispatch()
	d.operator = operator.New(operator.Options{
		Log: d.replica, Group: group{d.cfg.Instance.ID, d.replica}, Clock: d.clock, Logger: d.logger, Registerer: d.metrics,
	})
	return d.wireServers()
}

// Addresses are the addresses on which a daemon listens, each IP:port.
type Addresses struct {
	Entry    string
	Operator string
	Peer     string
	Admin    string
}

// Addresses returns the addresses in use, with the ports that the system chose.
func (d *Daemon) Addresses() Addresses { return d.ports.addresses() }

// State returns the state that this instance has applied.
func (d *Daemon) State() *state.State { return d.replica.State() }

// Replica returns the instance's replica of the log.
func (d *Daemon) Replica() *replica.Replica { return d.replica }

// Run serves until ctx ends, then shuts down gracefully: no request in flight
// is cut off. It returns nil after a graceful shutdown.
func (d *Daemon) Run(ctx context.Context) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	d.start(running)
	event.Log(d.logger, event.InstanceStarted, slog.String("instance", d.cfg.Instance.ID),
		slog.Any("addresses", d.Addresses()))
	var failure error
	select {
	case <-ctx.Done():
		d.shutdown()
	case failure = <-d.failed:
		event.Log(d.logger, event.InstanceFailed, slog.Any("error", failure))
	}
	stop()
	d.closeServers()
	d.parts.Wait()
	event.Log(d.logger, event.InstanceStopped, slog.String("instance", d.cfg.Instance.ID))
	return failure
}

// start runs all parts until ctx ends.
func (d *Daemon) start(ctx context.Context) {
	d.run(ctx, d.mesh.Run)
	d.run(ctx, d.replica.Run)
	d.run(ctx, d.control.Run)
	d.run(ctx, d.workers.Run)
	d.run(ctx, d.registry.Run)
	d.run(ctx, d.ledger.Run)
	d.run(ctx, d.openLedger)
	d.run(ctx, d.dispatch.Run)
	d.run(ctx, func(ctx context.Context) error {
		tlsConfig, err := d.cfg.TLS.OperatorServer()
		if err != nil {
			return err
		}
		return operator.Serve(ctx, d.ports.operator, d.operator, tlsConfig)
	})
	d.serve(d.entry, d.ports.entry)
	d.serve(d.peer, d.ports.peer)
	d.serve(d.admin, d.ports.admin)
}

// run starts one part. Its error ends the instance unless ctx has ended.
func (d *Daemon) run(ctx context.Context, part func(context.Context) error) {
	d.parts.Go(func() {
		if err := part(ctx); err != nil && ctx.Err() == nil {
			d.fail(err)
		}
	})
}

func (d *Daemon) fail(err error) {
	select {
	case d.failed <- err:
	default:
	}
}

// Ready reports whether the load balancer should send callers here.
func (d *Daemon) Ready() bool { return !d.leaving.Load() && d.replica.Ready() }

// shutdown leaves without cutting off a request: first the load balancer is
// told, then assignments are handed over, then requests in flight finish.
func (d *Daemon) shutdown() {
	event.Log(d.logger, event.ShutdownStarted, slog.Duration("grace", d.cfg.Dispatch.ShutdownGrace))
	d.leaving.Store(true)
	d.clock.Sleep(d.cfg.Dispatch.ShutdownGrace)
	d.handOver()
	if err := d.dispatch.Drain(context.Background()); err != nil {
		event.Log(d.logger, event.ShutdownIncomplete, slog.Any("error", err))
	}
	// Shutdown waits for connections that a request is just arriving on.
	for _, s := range []*http.Server{d.entry, d.peer} {
		_ = s.Shutdown(context.Background())
	}
}

// handOver gives up the assignments and the leadership.
func (d *Daemon) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	d.registry.StopNewRequests()
	err := errors.Join(d.proposeHandOver(ctx), d.replica.TransferLeadership(ctx))
	if err != nil {
		event.Log(d.logger, event.HandOverFailed, slog.Any("error", err))
	}
}

func (d *Daemon) proposeHandOver(ctx context.Context) error {
	self, ok := d.replica.State().Instances.Get(d.cfg.Instance.ID)
	if !ok {
		return nil // Never registered, so nothing was assigned.
	}
	_, err := d.replica.Propose(ctx, state.NewCommand(state.HandOver{
		Instance: self.ID, InstanceStart: self.InstanceStart,
	}))
	return err
}
