package conns

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"apricotrouter/event"
)

// memoryPercents contains the part of each use, in percent of the memory of the
// process, for what its clients have sent and not finished. The parts are
// separate, so that callers can't use up what peers, probes and operators need.
// The sum exceeds what a process should spend, because an instance either serves
// callers or operators and workers, not both.
var memoryPercents = map[Use]int64{Callers: 25, Control: 25, Peers: 20, Workers: 10, Probes: 2}

const (
	// connBytes is charged for each connection: its goroutine's stack and its
	// buffers, which also hold the next bytes that it reads. All connections that
	// 4,100 descriptors leave to callers take 38 MiB.
	connBytes = 12 << 10
	// headerFactor and headerLineBytes are charged for each byte and each line of
	// a header: the line is assembled in growing buffers and copied, and a header
	// takes a map entry, a slice and two strings.
	headerFactor    = 3
	headerLineBytes = 200
	// bodyFactor is charged for each byte of a body: the growing buffer, its
	// predecessor, and the decoded strings.
	bodyFactor = 3
	// reliefPercent is the share of a part that is freed in addition to the
	// excess, so that the connections are not examined at each read.
	reliefPercent = 3
	// reliefRetry is the interval at which late connections are looked for while
	// all connections of a use are taken.
	reliefRetry = 250 * time.Millisecond
	// roomTimeout is how long a connection waits for memory before it reads on.
	// Connections that are given up for it end within a round trip.
	roomTimeout = time.Second
	// refusalLogInterval is the minimum interval between two log lines about
	// refused clients of a use.
	refusalLogInterval = 10 * time.Second
)

// Reason is why a client was refused or disconnected.
type Reason string

// Reasons, which are label values of a counter.
const (
	ReasonMemory      Reason = "memory"       // the part of the memory budget was used up
	ReasonConnections Reason = "connections"  // all connections of the use were taken
	ReasonHeader      Reason = "header"       // the header was too large, too slow or malformed
	ReasonBodySlow    Reason = "body-slow"    // the body arrived below the minimum rate
	ReasonBodyLarge   Reason = "body-large"   // the body exceeded its limit
	ReasonDecodeLarge Reason = "decode-large" // the decoded body would exceed its limit
	ReasonNotRead     Reason = "not-read"     // the client did not read a response
)

// GuardOptions configures a Guard.
type GuardOptions struct {
	// Budget limits the connections; nil means that there is no limit.
	Budget *Budget
	// MemoryBytes is the memory of the process; 0 means that there is no limit.
	MemoryBytes int64
	// InputBytes is the part of callers and that of operators and workers; 0
	// applies memoryPercents.
	InputBytes int64
	Logger     *slog.Logger
	Registerer prometheus.Registerer
}

// Guard bounds what clients that keep to no limit can do to a process. It counts
// the memory for what clients have sent and not finished, by use, and disconnects
// the slowest and largest of them when the part of a use is used up.
type Guard struct {
	budget  *Budget
	logger  *slog.Logger
	parts   map[Use]*part
	refused *prometheus.CounterVec
}

// NewGuard returns a Guard without connections and registers its metrics.
func NewGuard(o GuardOptions) *Guard {
	g := &Guard{budget: o.Budget, logger: o.Logger, parts: make(map[Use]*part)}
	g.refused = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "apricotrouter_clients_refused_total", Help: "Clients that were refused or disconnected, by use of the connection and reason.",
	}, []string{"use", "reason"})
	if o.Registerer != nil {
		o.Registerer.MustRegister(g.refused)
	}
	for use, percent := range memoryPercents {
		p := &part{guard: g, use: use, limit: o.MemoryBytes * percent / 100, conns: make(map[*inputConn]struct{})}
		if o.InputBytes > 0 && (use == Callers || use == Control) {
			p.limit = o.InputBytes
		}
		g.parts[use] = p
		if o.Registerer != nil {
			p.register(o.Registerer)
		}
	}
	return g
}

// Used returns the bytes charged to a use.
func (g *Guard) Used(use Use) int64 { return g.parts[use].used.Load() }

// part is the part of the budget for one use.
type part struct {
	guard *Guard
	use   Use
	limit int64 // bytes; 0 means that there is no limit
	used  atomic.Int64
	// ending is the part of used that connections which were given up return
	// when they have ended.
	ending atomic.Int64
	// waiting is the number of goroutines in awaitRoom.
	waiting atomic.Int64

	mu    sync.Mutex
	conns map[*inputConn]struct{}
	// retrying means that relieveConnections is called again by a timer.
	retrying bool

	roomMu sync.Mutex
	room   chan struct{} // closed when the part is no longer exhausted; nil if nothing waits

	logMu      sync.Mutex
	lastLogged time.Time
	unlogged   int // refusals since the last log line
}

func (p *part) register(r prometheus.Registerer) {
	labels := prometheus.Labels{"use": string(p.use)}
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "apricotrouter_input_bytes", Help: "Memory charged for connections and for what clients have sent and not finished, by use.", ConstLabels: labels,
	}, func() float64 { return float64(p.used.Load()) }), prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "apricotrouter_input_limit_bytes", Help: "Limit of the memory for unfinished input, by use; 0 means none.", ConstLabels: labels,
	}, func() float64 { return float64(p.limit) }))
}

// exhausted reports whether more than the part is in use.
func (p *part) exhausted() bool { return p.limit > 0 && p.used.Load() > p.limit }

// excess returns the bytes by which the part is exceeded once the connections
// that were given up have ended.
func (p *part) excess() int64 {
	if p.limit == 0 {
		return 0
	}
	return p.used.Load() - p.ending.Load() - p.limit
}

// free returns n bytes to the part.
func (p *part) free(n int64) {
	if p.used.Add(-n) > p.limit || p.waiting.Load() == 0 {
		return
	}
	p.roomMu.Lock()
	defer p.roomMu.Unlock()
	if p.room != nil {
		close(p.room)
		p.room = nil
	}
}

// awaitRoom makes room if the part is exhausted, and waits until there is some.
// It reports false if there is none within roomTimeout.
func (p *part) awaitRoom() bool {
	if !p.exhausted() {
		return true
	}
	p.waiting.Add(1)
	defer p.waiting.Add(-1)
	timeout := time.NewTimer(roomTimeout)
	defer timeout.Stop()
	for {
		p.relieveMemory()
		p.roomMu.Lock()
		if p.room == nil {
			p.room = make(chan struct{})
		}
		room := p.room
		p.roomMu.Unlock()
		if !p.exhausted() {
			return true
		}
		select {
		case <-room:
		case <-timeout.C:
			return false
		}
	}
}

// add registers a connection that the use has accepted.
func (p *part) add(c *inputConn) {
	p.used.Add(connBytes)
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	p.relieveMemory()
	if p.connectionsTaken() {
		p.relieveConnections()
	}
}

// connectionsTaken reports whether all connections of the use are taken.
func (p *part) connectionsTaken() bool {
	b := p.guard.budget
	return b != nil && b.Open(p.use) >= b.ForUse(p.use)
}

func (p *part) remove(c *inputConn) {
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	c.release(0)
}

// pending returns the connections with unfinished requests.
func (p *part) pending() (conns []*inputConn, all []pendingConn) {
	now := time.Now()
	for c := range p.conns {
		if s, ok := c.pending(now); ok {
			conns, all = append(conns, c), append(all, s)
		}
	}
	return conns, all
}

// relieveMemory disconnects clients if the part is exhausted.
func (p *part) relieveMemory() {
	if p.excess() <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	excess := p.excess()
	if excess <= 0 {
		return
	}
	conns, all := p.pending()
	for _, i := range chooseForMemory(all, excess+p.limit*reliefPercent/100) {
		conns[i].refuse(ReasonMemory)
	}
}

// relieveConnections disconnects late clients while all connections of the use
// are taken. If there are none, it looks again after reliefRetry.
func (p *part) relieveConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.retrying {
		return
	}
	conns, all := p.pending()
	n := max(1, p.guard.budget.ForUse(p.use)*reliefPercent/100)
	for _, i := range chooseForConnections(all, n) {
		conns[i].refuse(ReasonConnections)
	}
	p.retrying = true
	time.AfterFunc(reliefRetry, func() {
		p.mu.Lock()
		p.retrying = false
		p.mu.Unlock()
		if p.connectionsTaken() {
			p.relieveConnections()
		}
	})
}

// reserve charges n bytes to the part. It reports false, and charges nothing, if
// they are not available even after other clients have been disconnected. A small
// number is always available: the number of connections bounds it.
func (p *part) reserve(n int64) bool {
	if p.limit > 0 && n > p.limit {
		return false
	}
	p.used.Add(n)
	if n > connBytes && !p.awaitRoom() {
		p.free(n)
		return false
	}
	return true
}

// report counts a refusal and logs it, at most once per refusalLogInterval.
func (p *part) report(reason Reason, remote string) {
	p.guard.refused.WithLabelValues(string(p.use), string(reason)).Inc()
	p.logMu.Lock()
	p.unlogged++
	n := p.unlogged
	shouldLog := time.Since(p.lastLogged) >= refusalLogInterval
	if shouldLog {
		p.lastLogged, p.unlogged = time.Now(), 0
	}
	p.logMu.Unlock()
	if shouldLog {
		event.Log(p.guard.logger, event.ClientRefused, slog.String("use", string(p.use)), slog.String("reason", string(reason)),
			slog.String("remote", remote), slog.Int("refused", n), slog.Int64("held_bytes", p.used.Load()), slog.Int64("limit_bytes", p.limit))
	}
}

// Listen returns a listener whose connections count against the budget of
// connections and that of memory. Servers made by NewServer need it.
func (g *Guard) Listen(l net.Listener, use Use, limits Limits) net.Listener {
	if g.budget != nil {
		l = g.budget.Listen(l, use)
	}
	return &guardedListener{Listener: l, part: g.parts[use], limits: limits.withDefaults()}
}

type guardedListener struct {
	net.Listener
	part   *part
	limits Limits
}

// Accept implements net.Listener.
func (l *guardedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &inputConn{Conn: conn, part: l.part, limits: l.limits, since: time.Now()}
	c.held.Store(connBytes)
	l.part.add(c)
	return c, nil
}

// Reserve charges n bytes, for example for the decoded body, to the connection of
// the request whose context is ctx, until its response has been sent. It reports
// false if the memory is not available. Without a Guard it reports true.
func Reserve(ctx context.Context, n int64) bool {
	c, _ := ctx.Value(connKey{}).(*inputConn)
	if c == nil {
		return true
	}
	if !c.part.reserve(n) {
		c.part.report(ReasonMemory, c.RemoteAddr().String())
		return false
	}
	c.held.Add(n)
	return true
}

// Memory is the part of a use for data that is not received by a server, such as
// responses to calls. A nil Memory has no limit.
type Memory struct{ part *part }

// Memory returns the part of a use.
func (g *Guard) Memory(use Use) *Memory { return &Memory{g.parts[use]} }

// ErrTooLarge reports that data exceeds its limit.
var ErrTooLarge = errors.New("more data than the limit")

// ReadAll reads at most limit bytes from r. It charges the data to the part until
// release is called, and returns ErrExhausted if the part is used up.
func (m *Memory) ReadAll(r io.Reader, limit int64) (data []byte, release func(), err error) {
	const firstBlock = 4 << 10
	var held int64
	release = func() {
		if m != nil {
			m.part.free(held)
		}
		held = 0
	}
	var buffer bytes.Buffer
	for block := int64(firstBlock); ; block = min(2*block, writeBlock) {
		if m != nil && !m.part.reserve(block*bodyFactor) {
			m.part.report(ReasonMemory, "")
			return nil, release, ErrExhausted
		}
		held += block * bodyFactor
		n, err := io.CopyN(&buffer, r, min(block, limit+1-int64(buffer.Len())))
		switch {
		case int64(buffer.Len()) > limit:
			return nil, release, ErrTooLarge
		case err == io.EOF: // not a wrapped one, which is that of the connection
			return buffer.Bytes(), release, nil
		case err != nil:
			return nil, release, err
		case n == 0:
			return nil, release, io.ErrNoProgress
		}
	}
}

// Report counts a refusal of the request whose context is ctx.
func Report(ctx context.Context, reason Reason) {
	if c, _ := ctx.Value(connKey{}).(*inputConn); c != nil {
		c.part.report(reason, c.RemoteAddr().String())
	}
}
