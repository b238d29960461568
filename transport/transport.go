// Package transport carries typed messages between entry instances. Messages
// are CBOR frames over WebSocket. A message is either a notice, which has no
// answer and may be lost, or a call with an answer.
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

// Version is the protocol version named in the handshake. Instances with
// different versions do not connect.
const Version = 1

// Limits of the protocol.
const (
	MaxFrameBytes     = 8 << 20
	HeartbeatInterval = 500 * time.Millisecond
	WriteTimeout      = time.Second
	// IdleTimeout is how long a connection may carry nothing, not even a
	// heartbeat, before it is closed.
	IdleTimeout = 1500 * time.Millisecond
	// watchInterval is how often connections are checked for silence. Together
	// with SilenceTimeout and RedialInterval it stays below 2 s.
	watchInterval = 250 * time.Millisecond
	// RedialInterval is the pause before a new attempt to dial.
	RedialInterval = 200 * time.Millisecond
	// DemandTimeout is how long a connection that was dialled on demand is kept
	// without use. It covers several rounds of every periodic message.
	DemandTimeout = 10 * time.Second
	// demandQueue is how many peers may wait to be dialled on demand.
	demandQueue = 256
	// sendQueue is the number of frames that wait for one connection. More
	// are dropped: notices may be lost, and a call then fails.
	sendQueue = 4096
)

// Errors of sending. All mean that the message may or may not have arrived,
// except ErrNotConnected and ErrQueueFull, which mean that it was not sent.
var (
	ErrNotConnected = errors.New("no connection to peer")
	ErrQueueFull    = errors.New("send queue of peer is full")
	ErrClosed       = errors.New("transport is closed")
	ErrConnLost     = errors.New("connection to peer was lost before the answer")
)

// RemoteError is an error that the peer's handler returned.
type RemoteError struct {
	Peer    string
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("peer %s: %s", e.Peer, e.Message)
}

// Kind identifies the type of a message. Numbers are part of the protocol.
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

// Peers sends messages to other entry instances.
type Peers interface {
	// Self returns the id of this instance.
	Self() string
	// SendOneWay queues a notice. It does not block.
	SendOneWay(to string, kind Kind, msg any) error
	// Call sends req and decodes the answer into resp, a pointer. An error
	// other than ErrNotConnected, ErrQueueFull or a RemoteError leaves open
	// whether the peer handled the call.
	Call(ctx context.Context, to string, kind Kind, req, resp any) error
	// Connected reports whether a connection to the peer is open now.
	Connected(to string) bool
}

type handler func(ctx context.Context, from string, body []byte) (any, error)

// Mux dispatches received messages to handlers by kind.
type Mux struct {
	mu       sync.RWMutex
	handlers map[Kind]handler
	logger   *slog.Logger // of the mesh that uses it
}

// NewMux returns an empty Mux.
func NewMux() *Mux {
	return &Mux{handlers: make(map[Kind]handler)}
}

// OnCall registers the handler of calls of a kind. Each call runs on a
// goroutine of its own; ctx ends when the connection does.
func OnCall[Req, Resp any](m *Mux, kind Kind, h func(ctx context.Context, from string, req *Req) (*Resp, error)) {
	m.set(kind, func(ctx context.Context, from string, body []byte) (any, error) {
		req := new(Req)
		if err := cbor.Unmarshal(body, req); err != nil {
			return nil, fmt.Errorf("decode message of kind %d: %w", kind, err)
		}
		return h(ctx, from, req)
	})
}

// OnOneWay registers the handler of notices of a kind. Notices of one
// connection are handled one after the other, in order; h must not block.
func OnOneWay[M any](m *Mux, kind Kind, h func(from string, msg *M)) {
	m.set(kind, func(_ context.Context, from string, body []byte) (any, error) {
		msg := new(M)
		if err := cbor.Unmarshal(body, msg); err != nil {
			return nil, fmt.Errorf("decode notice of kind %d: %w", kind, err)
		}
		h(from, msg)
		return nil, nil
	})
}

// logTo lets the mux log to the logger of its mesh.
func (m *Mux) logTo(logger *slog.Logger) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.logger = logger
}

func (m *Mux) set(kind Kind, h handler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handlers[kind] = h
}

// dispatch runs the handler of kind. A handler that panics ends its own message
// alone: handlers keep no state of their own between messages, and what they
// pass on is decided in the loops of its owners.
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
