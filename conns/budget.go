// Package conns shares the descriptors of a process among its connections, so
// that no use of them can starve the others.
package conns

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/net/netutil"

	"apricotrouter/event"
)

// Use is what a connection is for.
type Use string

// Uses of connections.
const (
	Peers   Use = "peers"
	Callers Use = "callers"
	Control Use = "control" // operators, and heartbeats of workers
	Workers Use = "workers" // calls to workers
	Probes  Use = "probes"  // readiness and metrics
)

// shares are the parts of the limit that the uses may have, in percent. Peers
// need one connection each way to every instance. An instance serves callers or
// calls workers, not both; what is left of the limit covers files, listeners
// and sockets that are being closed.
var shares = map[Use]int{Peers: 10, Callers: 80, Control: 15, Workers: 70, Probes: 2}

const (
	// nearLimit is the share of its limit, in percent, from which a use is
	// logged.
	nearLimit = 90
	// logInterval bounds how often that is logged.
	logInterval = 10 * time.Second
	// defaultLimit holds if neither the settings nor the system name one, as
	// on systems with the usual soft limit.
	defaultLimit = 1024
)

// ErrExhausted refuses a connection that the budget of its use has no room for.
var ErrExhausted = errors.New("no connection is left in the budget")

// Options configures a Budget.
type Options struct {
	// Limit is the number of descriptors that the process may have; 0 takes the
	// limit of the system. The lower one holds.
	Limit      int
	Logger     *slog.Logger
	Registerer prometheus.Registerer
}

// Budget counts the open connections of a process by their use.
type Budget struct {
	logger *slog.Logger
	limit  int
	open   map[Use]*atomic.Int64
	mu     sync.Mutex
	logged map[Use]time.Time
}

// NewBudget returns a budget without open connections.
func NewBudget(o Options) *Budget {
	b := &Budget{logger: o.Logger, limit: o.Limit, open: make(map[Use]*atomic.Int64), logged: make(map[Use]time.Time)}
	if system := systemLimit(); b.limit <= 0 || system > 0 && system < b.limit {
		b.limit = system
	}
	if b.limit <= 0 {
		b.limit = defaultLimit
	}
	for use := range shares {
		b.open[use] = new(atomic.Int64)
	}
	if o.Registerer != nil {
		b.register(o.Registerer)
	}
	return b
}

// systemLimit returns the most descriptors that the system allows, or 0 if it
// does not say or allows more than anybody needs.
func systemLimit() int {
	var l syscall.Rlimit
	const most = 1 << 20
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil || l.Cur > most {
		return 0
	}
	return int(l.Cur)
}

func (b *Budget) register(r prometheus.Registerer) {
	for use, n := range b.open {
		labels := prometheus.Labels{"use": string(use)}
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "apricotrouter_connections", Help: "Open connections by use.", ConstLabels: labels,
		}, func() float64 { return float64(n.Load()) }), prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "apricotrouter_connections_limit", Help: "Most connections by use.", ConstLabels: labels,
		}, func() float64 { return float64(b.Of(use)) }))
	}
}

// Of returns how many connections a use may have.
func (b *Budget) Of(use Use) int { return max(1, b.limit*shares[use]/100) }

// Open returns how many connections of a use are open.
func (b *Budget) Open(use Use) int { return int(b.open[use].Load()) }

// Listen bounds the connections that l accepts. Those beyond the budget wait
// in the listener's queue until another one is closed.
func (b *Budget) Listen(l net.Listener, use Use) net.Listener {
	return netutil.LimitListener(&listener{Listener: l, budget: b, use: use}, b.Of(use))
}

type listener struct {
	net.Listener
	budget *Budget
	use    Use
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.budget.opened(c, l.use), nil
}

// DialContext returns a function that dials connections of a use, and refuses
// those that the budget has no room for with ErrExhausted.
func (b *Budget) DialContext(use Use) func(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if b.Open(use) >= b.Of(use) {
			b.report(use)
			return nil, ErrExhausted
		}
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return b.opened(c, use), nil
	}
}

func (b *Budget) opened(c net.Conn, use Use) net.Conn {
	if n := b.open[use].Add(1); int(n)*100 >= nearLimit*b.Of(use) {
		b.report(use)
	}
	return &counted{Conn: c, closed: func() { b.open[use].Add(-1) }}
}

// report logs that a use is near its limit.
func (b *Budget) report(use Use) {
	b.mu.Lock()
	due := time.Since(b.logged[use]) >= logInterval
	if due {
		b.logged[use] = time.Now()
	}
	b.mu.Unlock()
	if due {
		event.Log(b.logger, event.ConnectionsNearLimit, slog.String("use", string(use)), slog.Int("open", b.Open(use)),
			slog.Int("limit", b.Of(use)), slog.Int("descriptors", b.limit))
	}
}

// counted is a connection that is counted until it is closed.
type counted struct {
	net.Conn
	once   sync.Once
	closed func()
}

// Close implements net.Conn.
func (c *counted) Close() error {
	c.once.Do(c.closed)
	return c.Conn.Close()
}
