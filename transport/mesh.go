package transport

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"

	"apricotrouter/conns"
	"apricotrouter/event"
	"apricotrouter/steperr"
)

// Path is the HTTP path on the peer port that accepts connections.
const Path = "/v1/peer"

// Headers of the handshake.
const (
	headerVersion = "Apricotrouter-Protocol"
	headerFrom    = "Apricotrouter-From"
	headerTo      = "Apricotrouter-To"
)

// MeshOptions configures a Mesh.
type MeshOptions struct {
	Self string
	// Addresses maps the id of every other instance to its peer address, IP:port.
	Addresses map[string]string
	// OnDemand identifies instances by their peer address. An instance that is not
	// in Addresses is dialed at its first use and disconnected after
	// OnDemandIdleTimeout without use. Connections from any instance are accepted.
	OnDemand bool
	Mux      *Mux
	// TLS is the client configuration; nil dials without TLS.
	TLS *tls.Config
	// Dial opens connections; nil uses the default dialer of net/http.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Memory is for large frames while they arrive; nil means that there is no
	// limit.
	Memory     *conns.Memory
	Logger     *slog.Logger
	Registerer prometheus.Registerer
}

// Mesh maintains a connection to every other instance and accepts connections
// from them. Each instance sends only over connections that it dialed itself, so
// that the side that depends on a connection detects when it stops delivering in
// one direction.
type Mesh struct {
	opts     MeshOptions
	client   *http.Client
	accepted chan *peerConn // accepted connections, to be served by Run

	mu      sync.RWMutex
	conns   map[string]*peerConn   // open connections that this instance dialed, by peer
	running map[*peerConn]struct{} // all open connections, dialed and accepted

	lastUsed     map[string]*atomic.Int64 // monotonic time of the last use of an on-demand peer, in ns, by peer address
	dialRequests chan string              // addresses of on-demand peers to be dialed
	metrics      *metrics
}

// NewMesh returns a mesh. It dials no peer before Run is called.
func NewMesh(opts MeshOptions) *Mesh {
	m := &Mesh{
		opts:         opts,
		conns:        make(map[string]*peerConn),
		running:      make(map[*peerConn]struct{}),
		accepted:     make(chan *peerConn),
		lastUsed:     make(map[string]*atomic.Int64),
		dialRequests: make(chan string, dialQueueCapacity),
		client:       &http.Client{Transport: &http.Transport{TLSClientConfig: opts.TLS, DialContext: opts.Dial, DisableKeepAlives: true}},
		metrics:      newMetrics(opts.Registerer),
	}
	if opts.Mux != nil {
		opts.Mux.setLogger(opts.Logger)
	}
	return m
}

// Self implements Peers.
func (m *Mesh) Self() string { return m.opts.Self }

// Run keeps the connections to the peers open and serves all connections until
// ctx ends.
func (m *Mesh) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for peer, addr := range m.opts.Addresses {
		if peer != m.opts.Self {
			wg.Go(func() { m.dialLoop(ctx, peer, addr) })
		}
	}
	timeoutCheck := time.NewTicker(timeoutCheckInterval)
	defer timeoutCheck.Stop()
	for {
		select {
		case <-ctx.Done():
			wg.Wait()
			return ctx.Err()
		case <-timeoutCheck.C:
			m.closeTimedOut()
		case peer := <-m.dialRequests:
			wg.Go(func() { m.dialOnDemand(ctx, peer) })
		case c := <-m.accepted:
			wg.Go(func() { m.logDisconnect(c.peer, m.serve(ctx, c)) })
		}
	}
}

// serve runs a connection and registers it for the timeout check.
func (m *Mesh) serve(ctx context.Context, c *peerConn) error {
	m.mu.Lock()
	m.running[c] = struct{}{}
	m.mu.Unlock()
	err := c.run(ctx)
	m.mu.Lock()
	delete(m.running, c)
	m.mu.Unlock()
	return err
}

// closeTimedOut closes the connections that received nothing or whose write is
// blocked for too long. One timer for all connections costs less than a deadline
// for each frame.
func (m *Mesh) closeTimedOut() {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for c := range m.running {
		if c.timedOut() {
			// CloseNow waits for the lock that a blocked write holds.
			go func() { _ = c.ws.CloseNow() }()
		}
	}
}

// dialLoop keeps a connection to the peer open until ctx ends.
func (m *Mesh) dialLoop(ctx context.Context, peer, addr string) {
	for ctx.Err() == nil {
		if c, err := m.dial(ctx, peer, addr); err == nil {
			event.Log(m.opts.Logger, event.PeerConnected, slog.String("peer", peer))
			m.setConn(peer, c)
			err = m.serve(ctx, c)
			m.clearConn(peer, c)
			if ctx.Err() == nil {
				m.metrics.disconnects.WithLabelValues(peer).Inc()
				m.logDisconnect(peer, err)
			}
		}
		_ = sleep(ctx, RedialInterval)
	}
}

// dialOnDemand keeps a connection to the peer open until it is idle for
// OnDemandIdleTimeout.
func (m *Mesh) dialOnDemand(ctx context.Context, peer string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idle := make(chan struct{})
	go func() {
		defer close(idle)
		m.awaitIdle(ctx, peer)
		cancel()
	}()
	m.dialLoop(ctx, peer, peer)
	<-idle
}

// awaitIdle returns once the peer has not been used for OnDemandIdleTimeout.
func (m *Mesh) awaitIdle(ctx context.Context, peer string) {
	for sleep(ctx, time.Second) == nil {
		m.mu.Lock()
		idle := monotonicNanos() - m.lastUsed[peer].Load()
		if idle > int64(OnDemandIdleTimeout) {
			delete(m.lastUsed, peer)
			m.mu.Unlock()
			return
		}
		m.mu.Unlock()
	}
}

// recordUse records the use of an on-demand peer and requests a connection if the
// peer has none.
func (m *Mesh) recordUse(peer string) {
	m.mu.RLock()
	lastUse := m.lastUsed[peer]
	m.mu.RUnlock()
	if lastUse != nil {
		lastUse.Store(monotonicNanos())
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lastUsed[peer] != nil {
		return
	}
	select {
	case m.dialRequests <- peer:
		lastUse = new(atomic.Int64)
		lastUse.Store(monotonicNanos())
		m.lastUsed[peer] = lastUse
	default: // The queue is full; the next use requests the connection again.
	}
}

// logDisconnect logs the cause of the end of a connection.
func (m *Mesh) logDisconnect(peer string, err error) {
	var frameErr *FrameError
	if errors.As(err, &frameErr) || websocket.CloseStatus(err) == websocket.StatusMessageTooBig {
		event.Log(m.opts.Logger, event.PeerFrameRefused, slog.String("peer", peer), slog.Any("error", err))
		return
	}
	event.Log(m.opts.Logger, event.PeerDisconnected, slog.String("peer", peer), slog.Any("error", err))
}

func (m *Mesh) dial(ctx context.Context, peer, addr string) (*peerConn, error) {
	ctx, cancel := context.WithTimeout(ctx, WriteTimeout)
	defer cancel()
	scheme := "ws"
	if m.opts.TLS != nil {
		scheme = "wss"
	}
	header := http.Header{}
	header.Set(headerVersion, strconv.Itoa(Version))
	header.Set(headerFrom, m.opts.Self)
	header.Set(headerTo, peer)
	ws, resp, err := websocket.Dial(ctx, scheme+"://"+addr+Path, &websocket.DialOptions{
		HTTPClient: m.client,
		HTTPHeader: header,
	})
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		return nil, steperr.Wrap(err, "dial peer", peer)
	}
	return newConn(peer, ws, m.opts.Mux, m.metrics, m.opts.Memory, m.opts.Logger), nil
}

func (m *Mesh) setConn(peer string, c *peerConn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conns[peer] = c
}

func (m *Mesh) clearConn(peer string, c *peerConn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.conns[peer] == c {
		delete(m.conns, peer)
	}
}

func (m *Mesh) peerConn(peer string) *peerConn {
	if _, fixed := m.opts.Addresses[peer]; m.opts.OnDemand && !fixed {
		m.recordUse(peer)
	}
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.conns[peer]
}

// ServeHTTP accepts a connection from a peer. It rejects handshakes with a different
// protocol version, from an unknown instance or for another instance.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from := r.Header.Get(headerFrom)
	if reason := m.checkHandshake(r, from); reason != "" {
		event.Log(m.opts.Logger, event.PeerRefused, slog.String("peer", from), slog.String("reason", reason))
		http.Error(w, reason, http.StatusForbidden)
		return
	}
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return // Accept has sent the error response.
	}
	c := newConn(from, ws, m.opts.Mux, m.metrics, m.opts.Memory, m.opts.Logger)
	select {
	case m.accepted <- c:
		// Run serves the connection, so the HTTP handler returns.
	case <-time.After(WriteTimeout):
		_ = ws.CloseNow()
	}
}

func (m *Mesh) checkHandshake(r *http.Request, from string) string {
	if v := r.Header.Get(headerVersion); v != strconv.Itoa(Version) {
		return "protocol version " + strconv.Quote(v) + " is not " + strconv.Itoa(Version)
	}
	if to := r.Header.Get(headerTo); to != m.opts.Self {
		return "this instance is " + m.opts.Self + ", not " + strconv.Quote(to)
	}
	if _, ok := m.opts.Addresses[from]; !ok && !m.opts.OnDemand || from == m.opts.Self {
		return "instance " + strconv.Quote(from) + " is not among the peers"
	}
	return ""
}

// SendOneWay implements Peers. For a one-way message to this instance itself, it runs
// the handler synchronously on the caller's goroutine.
func (m *Mesh) SendOneWay(to string, kind Kind, msg any) error {
	body, err := cbor.Marshal(msg)
	if err != nil {
		return steperr.Wrap(err, "encode one-way message", to)
	}
	if to == m.opts.Self {
		_, err := m.opts.Mux.dispatch(context.Background(), to, kind, body)
		return err
	}
	c := m.peerConn(to)
	if c == nil {
		return ErrNotConnected
	}
	return c.send(frame{Type: frameOneWay, Kind: kind, Body: body})
}

// Call implements Peers. For a call to this instance itself, it runs the handler
// on the caller's goroutine.
func (m *Mesh) Call(ctx context.Context, to string, kind Kind, req, resp any) error {
	body, err := cbor.Marshal(req)
	if err != nil {
		return steperr.Wrap(err, "encode call", to)
	}
	if to == m.opts.Self {
		return m.callSelf(ctx, kind, body, resp)
	}
	c := m.peerConn(to)
	if c == nil {
		return ErrNotConnected
	}
	return c.call(ctx, kind, body, resp)
}

func (m *Mesh) callSelf(ctx context.Context, kind Kind, body []byte, resp any) error {
	out, err := m.opts.Mux.dispatch(ctx, m.opts.Self, kind, body)
	if err != nil {
		return &RemoteError{Peer: m.opts.Self, Message: err.Error()}
	}
	data, err := cbor.Marshal(out)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(data, resp)
}

// Connected implements Peers.
func (m *Mesh) Connected(to string) bool {
	return to == m.opts.Self || m.peerConn(to) != nil
}
