// Package daemon runs one entry instance: it opens the ports, constructs and
// connects the components, and shuts them down gracefully, without interrupting
// requests in flight.
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
	"apricotrouter/conns"
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

// handOverTimeout limits the hand-over of the assignments and the leadership. If
// there is no leader, the assignments end when the freshness lease expires.
const handOverTimeout = 3 * time.Second

// Options configures a Daemon.
type Options struct {
	Config *config.Config
	Logger *slog.Logger
	// Registry contains the metrics that the admin port exposes; if it is nil,
	// New creates one.
	Registry *prometheus.Registry
	// Version is the version of the program, exposed as a metric.
	Version string
	// PeerListener is an open listener for the peer port; if it is nil, New opens
	// the port in the settings.
	PeerListener net.Listener
}

// Daemon is one entry instance.
type Daemon struct {
	cfg    *config.Config
	logger *slog.Logger
	clock  clockwork.Clock
	ports  *ports

	metrics *prometheus.Registry
	mesh    *transport.Mesh
	peerMux *transport.Mux
	// peerAddresses maps the id of each entry instance to the address of its peer
	// port.
	peerAddresses map[string]string
	peerTLS       *tls.Config // nil without TLS
	replica       *replica.Replica
	control       *control.Control
	workers       *worker.Manager
	registry      *registry.Registry
	ledger        *ledger.Ledger
	dispatch      *dispatch.Dispatcher
	operator      *operator.Service

	guard *conns.Guard
	entry *http.Server
	peer  *http.Server
	admin *http.Server

	shuttingDown atomic.Bool
	components   sync.WaitGroup
	// fatal receives the first error of a component that the instance can't run
	// without.
	fatal chan error
}

// New opens the ports and the data directory and constructs the components, which
// Run starts. The error names the port or directory that can't be opened.
func New(o Options) (*Daemon, error) {
	d := &Daemon{
		cfg: o.Config, logger: o.Logger, clock: clockwork.NewRealClock(),
		metrics: o.Registry, fatal: make(chan error, 1),
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

// wire constructs the components in the order of their dependencies.
func (d *Daemon) wire() error {
	if err := d.wireReplica(); err != nil {
		return err
	}
	d.control = control.New(control.Options{
		Log: d.replica, Leases: d.replica, Mux: d.peerMux, Clock: d.clock, Logger: d.logger, Registerer: d.metrics,
	})
	d.workers = worker.NewManager(worker.Options{
		Self: d.cfg.Instance.ID, Start: d.replica.Start(), Log: d.replica, Dial: worker.Dial, Peers: d.mesh,
		Clock: d.clock, Logger: d.logger, Registerer: d.metrics,
	})
	d.wireDispatch()
	d.operator = operator.New(operator.Options{
		Log: d.replica, Group: groupAdapter{d.cfg.Instance.ID, d.replica}, Clock: d.clock, Logger: d.logger, Registerer: d.metrics,
	})
	return d.wireServers()
}

// Addresses contains the addresses on which a daemon listens, each IP:port.
type Addresses struct {
	Entry    string
	Operator string
	Peer     string
	Admin    string
}

// Addresses returns the listen addresses. A port that the settings give as 0 is
// the one that the operating system chose.
func (d *Daemon) Addresses() Addresses { return d.ports.addresses() }

// State returns the state that this instance has applied.
func (d *Daemon) State() *state.State { return d.replica.State() }

// Replica returns the instance's replica of the log.
func (d *Daemon) Replica() *replica.Replica { return d.replica }

// Run serves until ctx ends and then shuts down gracefully, without interrupting
// requests in flight. It returns nil after a graceful shutdown, and otherwise
// the error of the component that failed.
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
	case failure = <-d.fatal:
		event.Log(d.logger, event.InstanceFailed, slog.Any("error", failure))
	}
	stop()
	d.closeServers()
	d.components.Wait()
	event.Log(d.logger, event.InstanceStopped, slog.String("instance", d.cfg.Instance.ID))
	return failure
}

// start starts all components, which run until ctx ends.
func (d *Daemon) start(ctx context.Context) {
	d.runComponent(ctx, d.mesh.Run)
	d.runComponent(ctx, d.replica.Run)
	d.runComponent(ctx, d.control.Run)
	d.runComponent(ctx, d.workers.Run)
	d.runComponent(ctx, d.registry.Run)
	d.runComponent(ctx, d.ledger.Run)
	d.runComponent(ctx, d.admitLedger)
	d.runComponent(ctx, d.dispatch.Run)
	d.runComponent(ctx, func(ctx context.Context) error {
		tlsConfig, err := d.cfg.TLS.OperatorServer()
		if err != nil {
			return err
		}
		return operator.Serve(ctx, d.ports.operator, d.operator, tlsConfig)
	})
	d.serve(d.entry, d.ports.entry, conns.Callers)
	d.serve(d.peer, d.ports.peer, conns.Peers)
	d.serve(d.admin, d.ports.admin, conns.Probes)
}

// runComponent starts one component. Its error stops the instance unless ctx has
// ended.
func (d *Daemon) runComponent(ctx context.Context, component func(context.Context) error) {
	d.components.Go(func() {
		if err := component(ctx); err != nil && ctx.Err() == nil {
			d.fail(err)
		}
	})
}

func (d *Daemon) fail(err error) {
	select {
	case d.fatal <- err:
	default:
	}
}

// Ready reports whether the load balancer should route callers to this instance.
func (d *Daemon) Ready() bool { return !d.shuttingDown.Load() && d.replica.Ready() }

// shutdown stops the instance without interrupting requests. It first reports
// not ready to the load balancer for the grace period, then hands over the
// assignments, and then waits for the requests in flight.
func (d *Daemon) shutdown() {
	event.Log(d.logger, event.ShutdownStarted, slog.Duration("grace", d.cfg.Dispatch.ShutdownGrace))
	d.shuttingDown.Store(true)
	d.clock.Sleep(d.cfg.Dispatch.ShutdownGrace)
	d.handOver()
	if err := d.dispatch.Drain(context.Background()); err != nil {
		event.Log(d.logger, event.ShutdownIncomplete, slog.Any("error", err))
	}
	// Shutdown also waits for requests that are still being received.
	for _, s := range []*http.Server{d.entry, d.peer} {
		_ = s.Shutdown(context.Background())
	}
}

// handOver hands over the assignments and transfers the leadership.
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
		return nil // This instance never registered, so it has no assignments.
	}
	_, err := d.replica.Propose(ctx, state.NewCommand(state.HandOver{
		Instance: self.ID, InstanceStart: self.InstanceStart,
	}))
	return err
}
