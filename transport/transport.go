// Package transport sends typed messages between instances, as CBOR frames over
// WebSocket. A message is either a one-way message, which has no response and may
// be lost, or a call, which has a response.
package transport

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"runtime/debug"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"apricotrouter/event"
)

// Version is the protocol version sent in the handshake. Instances with different
// versions do not connect.
const Version = 1

// Limits of the protocol.
const (
	MaxFrameBytes     = 8 << 20
	HeartbeatInterval = 500 * time.Millisecond
	WriteTimeout      = time.Second
	// IdleTimeout is how long a connection may receive no frame, not even a
	// heartbeat, before it is closed.
	IdleTimeout = 1500 * time.Millisecond
	// timeoutCheckInterval is the interval at which connections are checked for
	// timeouts. The sum of this interval, IdleTimeout and RedialInterval must be
	// less than 2 s.
	timeoutCheckInterval = 250 * time.Millisecond
	// RedialInterval is the delay before the next attempt to dial a peer.
	RedialInterval = 200 * time.Millisecond
	// OnDemandIdleTimeout is how long a connection that was dialed on demand stays
	// open without use. It spans several intervals of every periodic message.
	OnDemandIdleTimeout = 10 * time.Second
	// dialQueueCapacity is the maximum number of peers that wait to be dialed on
	// demand.
	dialQueueCapacity = 256
	// sendQueueCapacity is the maximum number of frames queued for one
	// connection. Frames beyond it are dropped: a one-way message is lost and a
	// call fails.
	sendQueueCapacity = 4096
)

// Errors of sending. ErrNotConnected, ErrQueueFull and ErrExpired mean that the
// message was not sent; with any other error it may or may not have arrived.
var (
	ErrNotConnected = errors.New("no connection to peer")
	ErrQueueFull    = errors.New("send queue of peer is full")
	ErrExpired      = fmt.Errorf("deadline of the call has passed: %w", context.DeadlineExceeded)
	ErrClosed       = errors.New("transport is closed")
	ErrConnLost     = errors.New("connection to peer was lost before the answer")
)

// RemoteError is an error returned by the peer's handler.
type RemoteError struct {
	Peer    string
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("peer %s: %s", e.Peer, e.Message)
}

// Kind identifies the type of a message. The numbers are part of the protocol.
type Kind uint16

// Kinds of messages.
const (
	KindRaft Kind = iota + 1
	KindRaftSnapshot
	KindPropose
	KindFreshness
	KindFormation
	KindAnnounce
	KindFreeSlots
	KindObservations
	KindLedgerClaim
	KindLedgerRecord
	KindLedgerReplicate
	KindLedgerFetch
	KindFleet
)

// Peers sends messages to other instances.
type Peers interface {
	// Self returns the id of this instance.
	Self() string
	// Notify queues a one-way message. It does not block.
	SendOneWay(to string, kind Kind, msg any) error
	// Call sends req and decodes the response into resp, a pointer. After an error
	// other than ErrNotConnected, ErrQueueFull, ErrExpired or a RemoteError, the peer
	// may or may not have handled the call.
	Call(ctx context.Context, to string, kind Kind, req, resp any) error
	// Connected reports whether a connection to the peer is open now.
	Connected(to string) bool
}

type handler func(ctx context.Context, from string, body []byte) (any, error)

// Mux dispatches received messages to handlers by kind.
type Mux struct {
	mu       sync.RWMutex
	handlers map[Kind]handler
	logger   *slog.Logger // logger of the mesh that uses this mux
}

// NewMux returns an empty Mux.
func NewMux() *Mux {
	return &Mux{handlers: make(map[Kind]handler)}
}

// OnCall registers the handler of calls of a kind. Each call runs in its own
// goroutine; ctx ends when the connection ends.
func OnCall[Req, Resp any](m *Mux, kind Kind, h func(ctx context.Context, from string, req *Req) (*Resp, error)) {
	m.set(kind, func(ctx context.Context, from string, body []byte) (any, error) {
		req := new(Req)
		if err := cbor.Unmarshal(body, req); err != nil {
			return nil, fmt.Errorf("decode message of kind %d: %w", kind, err)
		}
		return h(ctx, from, req)
	})
}

// OnOneWay registers the handler of one-way messages of a kind. The one-way
// messages of a connection are handled sequentially, in order; h must not block.
func OnOneWay[M any](m *Mux, kind Kind, h func(from string, msg *M)) {
	m.set(kind, func(_ context.Context, from string, body []byte) (any, error) {
		msg := new(M)
		if err := cbor.Unmarshal(body, msg); err != nil {
			return nil, fmt.Errorf("decode one-way message of kind %d: %w", kind, err)
		}
		h(from, msg)
		return nil, nil
	})
}

// setLogger sets the logger for handlers that panic.
func (m *Mux) setLogger(logger *slog.Logger) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.logger = logger
}

func (m *Mux) set(kind Kind, h handler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handlers[kind] = h
}

// dispatch runs the handler of kind. A panic in a handler fails only the message
// that it handles: handlers keep no state between messages, and decisions about
// the data that they pass on are made in the loops of its owners.
func (m *Mux) dispatch(ctx context.Context, from string, kind Kind, body []byte) (out any, err error) {
	m.mu.RLock()
	h, logger := m.handlers[kind], m.logger
	m.mu.RUnlock()
	defer func() {
		if v := recover(); v != nil {
			out, err = nil, fmt.Errorf("handler of messages of kind %d failed: %v", kind, v)
			event.Log(logger, event.PeerHandlerFailed, slog.String("peer", from), slog.Int("kind", int(kind)),
				slog.Any("cause", v), slog.String("stack", string(debug.Stack())))
		}
	}()
	if h == nil {
		return nil, fmt.Errorf("no handler for messages of kind %d", kind)
	}
	return h(ctx, from, body)
}
