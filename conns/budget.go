// Package conns limits the number of connections of a process by their use, so
// that no use exhausts the file descriptors that the others need.
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

// Use is the purpose of a connection.
type Use string

// Uses of connections.
const (
	Peers   Use = "peers"
	Callers Use = "callers"
	Control Use = "control" // operators, and heartbeats of workers
	Workers Use = "workers" // calls to workers
	Probes  Use = "probes"  // readiness and metrics
)

// limitPercents contains the limit of each use, in percent of the file descriptors.
// Peers need one connection in each direction to every instance. The sum exceeds
// 100 because an instance either serves callers or calls workers, not both. The
// remaining descriptors are for files, listeners and sockets that are closing.
var limitPercents = map[Use]int{Peers: 10, Callers: 80, Control: 15, Workers: 70, Probes: 2}

const (
	// nearLimitPercent is the number of open connections, in percent of the limit
	// of their use, at which a warning is logged.
	nearLimitPercent = 90
	// logInterval is the minimum interval between these warnings for a use.
	logInterval = 10 * time.Second
	// defaultLimit is the number of file descriptors that is assumed if neither
	// the settings nor the operating system give a limit. It is the usual soft
	// limit.
	defaultLimit = 1024
)

// ErrExhausted reports that a connection was not dialed because the limit of its
// use is reached.
var ErrExhausted = errors.New("no connection is left in the budget")

// Options configures a Budget.
type Options struct {
	// Limit is the maximum number of file descriptors of the process; 0 applies
	// the limit of the operating system. If both are set, the lower one applies.
	Limit      int
	Logger     *slog.Logger
	Registerer prometheus.Registerer
}

// Budget counts and limits the open connections of a process by their use.
type Budget struct {
	logger     *slog.Logger
	limit      int
	open       map[Use]*atomic.Int64
	mu         sync.Mutex
	lastLogged map[Use]time.Time
}

// NewBudget returns a Budget without open connections and registers its metrics.
func NewBudget(o Options) *Budget {
	b := &Budget{logger: o.Logger, limit: o.Limit, open: make(map[Use]*atomic.Int64), lastLogged: make(map[Use]time.Time)}
	if system := systemLimit(); b.limit <= 0 || system > 0 && system < b.limit {
		b.limit = system
	}
	if b.limit <= 0 {
		b.limit = defaultLimit
	}
	for use := range limitPercents {
		b.open[use] = new(atomic.Int64)
	}
	if o.Registerer != nil {
		b.register(o.Registerer)
	}
	return b
}

// systemLimit returns the soft limit of file descriptors of the process, or 0 if
// it is unknown or exceeds maxPlausible, which amounts to no limit.
func systemLimit() int {
	var l syscall.Rlimit
	const maxPlausible = 1 << 20
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil || l.Cur > maxPlausible {
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
		}, func() float64 { return float64(b.ForUse(use)) }))
	}
}

// ForUse returns the maximum number of connections of a use, at least 1.
func (b *Budget) ForUse(use Use) int { return max(1, b.limit*limitPercents[use]/100) }

// Open returns the number of open connections of a use.
func (b *Budget) Open(use Use) int { return int(b.open[use].Load()) }

// Listen limits the connections that l accepts. Connections beyond the limit wait
// in the listener's queue until another one is closed.
func (b *Budget) Listen(l net.Listener, use Use) net.Listener {
	return netutil.LimitListener(&limitedListener{Listener: l, budget: b, use: use}, b.ForUse(use))
}

type limitedListener struct {
	net.Listener
	budget *Budget
	use    Use
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.budget.track(c, l.use), nil
}

// DialContext returns a function that dials connections of a use. It returns
// ErrExhausted if the limit of the use is reached.
func (b *Budget) DialContext(use Use) func(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if b.Open(use) >= b.ForUse(use) {
			b.reportNearLimit(use)
			return nil, ErrExhausted
		}
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return b.track(c, use), nil
	}
}

func (b *Budget) track(c net.Conn, use Use) net.Conn {
	if n := b.open[use].Add(1); int(n)*100 >= nearLimitPercent*b.ForUse(use) {
		b.reportNearLimit(use)
	}
	return &trackedConn{Conn: c, onClose: func() { b.open[use].Add(-1) }}
}

// reportNearLimit logs that a use is near its limit, at most once per logInterval.
func (b *Budget) reportNearLimit(use Use) {
	b.mu.Lock()
	shouldLog := time.Since(b.lastLogged[use]) >= logInterval
	if shouldLog {
		b.lastLogged[use] = time.Now()
	}
	b.mu.Unlock()
	if shouldLog {
		event.Log(b.logger, event.ConnectionsNearLimit, slog.String("use", string(use)), slog.Int("open", b.Open(use)),
			slog.Int("limit", b.ForUse(use)), slog.Int("descriptors", b.limit))
	}
}

// trackedConn is a connection that counts as open until its first Close.
type trackedConn struct {
	net.Conn
	once    sync.Once
	onClose func()
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.once.Do(c.onClose)
	return c.Conn.Close()
}
