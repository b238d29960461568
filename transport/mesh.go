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

	"apricotrouter/event"
	"apricotrouter/steperr"
)

// Path is the HTTP path of the peer port that accepts connections.
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
	// Addresses gives the peer address (IP and port) of every other instance.
	Addresses map[string]string
	// OnDemand names instances by their peer address: one that is not in
	// Addresses is dialled when it is first used, until it is not used for
	// DemandTimeout. Connections of any instance are accepted.
	OnDemand bool
	Mux      *Mux
	// TLS is used to dial; nil dials without TLS.
	TLS *tls.Config
	// Dial opens connections; nil is the usual dialler.
	Dial       func(ctx context.Context, network, address string) (net.Conn, error)
	Logger     *slog.Logger
	Registerer prometheus.Registerer
}

// Mesh keeps one dialled connection to every other instance and accepts
// theirs. Each instance sends over the connection that it dialled itself, so
// a connection that has gone silent in one direction is noticed by the side
// that depends on it.
type Mesh struct {
	opts    MeshOptions
	client  *http.Client
	accepts chan *conn // accepted connections to be run

	mu    sync.RWMutex
	conns map[string]*conn   // dialled and open, by peer
	open  map[*conn]struct{} // all that run, dialled and accepted

	demand  map[string]*atomic.Int64 // monotonic time of the last use, by peer address
	demands chan string              // peers to be dialled
	metrics *metrics
}

// NewMesh returns a mesh that dials once Run is called.
func NewMesh(opts MeshOptions) *Mesh {
	m := &Mesh{
		opts:    opts,
		conns:   make(map[string]*conn),
		open:    make(map[*conn]struct{}),
		accepts: make(chan *conn),
		demand:  make(map[string]*atomic.Int64),
		demands: make(chan string, demandQueue),
		client:  &http.Client{Transport: &http.Transport{TLSClientConfig: opts.TLS, DialContext: opts.Dial, DisableKeepAlives: true}},
		metrics: newMetrics(opts.Registerer),
	}
	if opts.Mux != nil {
		opts.Mux.logTo(opts.Logger)
	}
	return m
}

// Self implements Peers.
func (m *Mesh) Self() string { return m.opts.Self }

// Run dials the peers and redials them until ctx ends.
func (m *Mesh) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for peer, addr := range m.opts.Addresses {
		if peer != m.opts.Self {
			wg.Go(func() { m.dialLoop(ctx, peer, addr) })
		}
	}
	watch := time.NewTicker(watchInterval)
	defer watch.Stop()
	for {
		select {
		case <-ctx.Done():
			wg.Wait()
			return ctx.Err()
		case <-watch.C:
			m.closeExpired()
		case peer := <-m.demands:
			wg.Go(func() { m.dialOnDemand(ctx, peer) })
		case c := <-m.accepts:
			wg.Go(func() { m.report(c.peer, m.serve(ctx, c)) })
		}
	}
}

// serve runs a connection under the watch for silence.
func (m *Mesh) serve(ctx context.Context, c *conn) error {
	m.mu.Lock()
	m.open[c] = struct{}{}
	m.mu.Unlock()
	err := c.run(ctx)
	m.mu.Lock()
	delete(m.open, c)
	m.mu.Unlock()
	return err
}

// closeExpired closes the connections that are silent or stuck. One timer for
// all of them costs less than a deadline for each frame.
func (m *Mesh) closeExpired() {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for c := range m.open {
		if c.expired() {
			// Closing waits for the lock of a stuck write.
			go func() { _ = c.ws.CloseNow() }()
		}
	}
}

// dialLoop keeps one connection to the peer open.
func (m *Mesh) dialLoop(ctx context.Context, peer, addr string) {
	for ctx.Err() == nil {
		if c, err := m.dial(ctx, peer, addr); err == nil {
			event.Log(m.opts.Logger, event.PeerConnected, slog.String("peer", peer))
			m.setConn(peer, c)
			err = m.serve(ctx, c)
			m.clearConn(peer, c)
			if ctx.Err() == nil {
				m.metrics.disconnects.WithLabelValues(peer).Inc()
				m.report(peer, err)
			}
		}
		_ = sleep(ctx, RedialInterval)
	}
}

// dialOnDemand keeps a connection open for as long as the peer is used.
func (m *Mesh) dialOnDemand(ctx context.Context, peer string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := make(chan struct{})
	go func() {
		defer close(stop)
		m.awaitDisuse(ctx, peer)
		cancel()
	}()
	m.dialLoop(ctx, peer, peer)
	<-stop
}

// awaitDisuse returns once the peer was not used for DemandTimeout.
func (m *Mesh) awaitDisuse(ctx context.Context, peer string) {
	for sleep(ctx, time.Second) == nil {
		m.mu.Lock()
		idle := monotonic() - m.demand[peer].Load()
		if idle > int64(DemandTimeout) {
			delete(m.demand, peer)
			m.mu.Unlock()
			return
		}
		m.mu.Unlock()
	}
}

// use notes that a peer is used, and asks for a connection if it is new.
func (m *Mesh) use(peer string) {
	m.mu.RLock()
	last := m.demand[peer]
	m.mu.RUnlock()
	if last != nil {
		last.Store(monotonic())
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.demand[peer] != nil {
		return
	}
	select {
	case m.demands <- peer:
		last = new(atomic.Int64)
		last.Store(monotonic())
		m.demand[peer] = last
	default: // the next use asks again
	}
}

// report logs why a connection ended.
func (m *Mesh) report(peer string, err error) {
	var bad *FrameError
	if errors.As(err, &bad) || websocket.CloseStatus(err) == websocket.StatusMessageTooBig {
		event.Log(m.opts.Logger, event.PeerFrameRefused, slog.String("peer", peer), slog.Any("error", err))
		return
	}
	event.Log(m.opts.Logger, event.PeerDisconnected, slog.String("peer", peer), slog.Any("error", err))
}

func (m *Mesh) dial(ctx context.Context, peer, addr string) (*conn, error) {
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
	return newConn(peer, ws, m.opts.Mux, m.metrics), nil
}

func (m *Mesh) setConn(peer string, c *conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conns[peer] = c
}

func (m *Mesh) clearConn(peer string, c *conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.conns[peer] == c {
		delete(m.conns, peer)
	}
}

func (m *Mesh) conn(peer string) *conn {
	if _, fixed := m.opts.Addresses[peer]; m.opts.OnDemand && !fixed {
		m.use(peer)
	}
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.conns[peer]
}

// ServeHTTP accepts a connection of a peer. Handshakes with another version,
// from an unknown instance or for another instance are refused.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from := r.Header.Get(headerFrom)
	if reason := m.checkHandshake(r, from); reason != "" {
		event.Log(m.opts.Logger, event.PeerRefused, slog.String("peer", from), slog.String("reason", reason))
		http.Error(w, reason, http.StatusForbidden)
		return
	}
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return // Accept has answered.
	}
	c := newConn(from, ws, m.opts.Mux, m.metrics)
	select {
	case m.accepts <- c:
		// The server must not wait for the connection: Run owns it now.
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

// SendOneWay implements Peers. A notice to this instance itself runs its handler
// at once on the caller's goroutine.
func (m *Mesh) SendOneWay(to string, kind Kind, msg any) error {
	body, err := cbor.Marshal(msg)
	if err != nil {
		return steperr.Wrap(err, "encode notice", to)
	}
	if to == m.opts.Self {
		_, err := m.opts.Mux.dispatch(context.Background(), to, kind, body)
		return err
	}
	c := m.conn(to)
	if c == nil {
		return ErrNotConnected
	}
	return c.send(frame{Type: frameNotice, Kind: kind, Body: body})
}

// Call implements Peers. A call to this instance itself runs its handler.
func (m *Mesh) Call(ctx context.Context, to string, kind Kind, req, resp any) error {
	body, err := cbor.Marshal(req)
	if err != nil {
		return steperr.Wrap(err, "encode call", to)
	}
	if to == m.opts.Self {
		return m.callSelf(ctx, kind, body, resp)
	}
	c := m.conn(to)
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
	return to == m.opts.Self || m.conn(to) != nil
}
