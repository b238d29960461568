package transport

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"apricotrouter/conns"
	"apricotrouter/event"
	"apricotrouter/steperr"
)

// frameType distinguishes heartbeats, one-way messages, calls and their
// responses.
type frameType uint8

const (
	frameHeartbeat frameType = iota
	frameOneWay
	frameCall
	frameResponse
	frameError
)

// frame is the unit of transmission: one message or heartbeat.
type frame struct {
	Type frameType       `cbor:"1,keyasint"`
	Kind Kind            `cbor:"2,keyasint,omitempty"`
	ID   uint64          `cbor:"3,keyasint,omitempty"`
	Body cbor.RawMessage `cbor:"4,keyasint,omitempty"`
	Text string          `cbor:"5,keyasint,omitempty"`
	// SentMicros is the reading of the sender's clock when it queued a call or
	// wrote another frame, in microseconds; 0 if it is not given.
	SentMicros int64 `cbor:"6,keyasint,omitempty"`
	// WaitMicros is how long the caller waits for the response to a call from then
	// on; 0 means that it is not known.
	WaitMicros int64 `cbor:"7,keyasint,omitempty"`

	delay time.Duration // of a received frame on its way; 0 if it is not known
}

// decodeMode limits the memory that the decoder allocates for a peer's frame.
var decodeMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20, MaxNestedLevels: 32}.DecMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return mode
}()

// peerConn is one open connection to a peer, dialed by either side.
type peerConn struct {
	peer     string
	ws       *websocket.Conn
	mux      *Mux
	logger   *slog.Logger
	metrics  *metrics
	outgoing chan frame
	memory   *conns.Memory         // for large frames that are being read; nil means that there is no limit
	small    [smallFrameBytes]byte // for frames that fit
	cancel   context.CancelFunc
	done     chan struct{} // closed when the connection has ended
	nextID   atomic.Uint64
	// lastReceivedAt is the time of the last received frame, and writeStartedAt
	// that of the start of the current write, both in nanoseconds of the
	// monotonic clock. writeStartedAt is 0 if no write is in progress.
	lastReceivedAt atomic.Int64
	transit        transitClock // of received frames; used by the read loop
	nextExpiredLog time.Time    // earliest time of the next log entry about expired calls
	expiredCalls   int          // since the last log entry
	writeStartedAt atomic.Int64
	mu             sync.Mutex
	pendingCalls   map[uint64]chan frame // calls that await a response; nil once the connection has ended
	wg             sync.WaitGroup
}

// smallFrameBytes is the size up to which a frame is read into the buffer of its
// connection. Heartbeats and most messages of the log are smaller.
const smallFrameBytes = 4 << 10

func newConn(peer string, ws *websocket.Conn, mux *Mux, m *metrics, memory *conns.Memory, logger *slog.Logger) *peerConn {
	ws.SetReadLimit(MaxFrameBytes)
	c := &peerConn{
		peer:         peer,
		ws:           ws,
		mux:          mux,
		logger:       logger,
		metrics:      m,
		memory:       memory,
		outgoing:     make(chan frame, sendQueueCapacity),
		done:         make(chan struct{}),
		pendingCalls: make(map[uint64]chan frame),
	}
	c.lastReceivedAt.Store(monotonicNanos())
	return c
}

var processStart = time.Now()

// monotonicMicros returns the microseconds since the start of the process, at
// least 1.
func monotonicMicros() int64 { return max(1, monotonicNanos()/1000) }

// monotonicNanos returns the nanoseconds since the start of the process, at
// least 1, because 0 means that no write is in progress.
func monotonicNanos() int64 { return max(1, int64(time.Since(processStart))) }

// timedOut reports whether nothing was received for longer than IdleTimeout
// or a write has been blocked for longer than WriteTimeout.
func (c *peerConn) timedOut() bool {
	now := monotonicNanos()
	if now-c.lastReceivedAt.Load() > int64(IdleTimeout) {
		return true
	}
	writeStart := c.writeStartedAt.Load()
	return writeStart != 0 && now-writeStart > int64(WriteTimeout)
}

// run serves the connection until it breaks, times out or ctx ends, and returns
// the cause. It returns only after all goroutines of the connection have ended.
func (c *peerConn) run(ctx context.Context) error {
	ctx, c.cancel = context.WithCancel(ctx)
	// Reads and writes use the background context; closing the connection ends
	// them.
	stopCloser := context.AfterFunc(ctx, func() { _ = c.ws.CloseNow() })
	defer stopCloser()
	c.wg.Go(func() { c.writeLoop(ctx) })
	err := c.readLoop(ctx)
	c.cancel()
	_ = c.ws.CloseNow()
	close(c.done)
	c.failPendingCalls()
	c.wg.Wait()
	return err
}

// readLoop handles frames until an error occurs. The mesh closes the connection if
// no frame, not even a heartbeat, arrives within IdleTimeout.
func (c *peerConn) readLoop(ctx context.Context) error {
	for {
		f, err := c.readFrame()
		if err != nil {
			return err
		}
		c.handle(ctx, f)
	}
}

func (c *peerConn) readFrame() (frame, error) {
	var f frame
	data, release, err := c.readMessage()
	defer release()
	if err != nil {
		return f, steperr.Wrap(err, "read frame", c.peer)
	}
	readAt := monotonicNanos()
	c.lastReceivedAt.Store(readAt)
	if err := decodeMode.Unmarshal(data, &f); err != nil {
		return f, steperr.Wrap(&FrameError{Err: err}, "decode frame", c.peer)
	}
	count(c.metrics.received, f.Kind, len(data))
	if f.SentMicros > 0 {
		f.delay = c.transit.delay(time.Duration(f.SentMicros)*time.Microsecond, time.Duration(readAt))
	}
	return f, nil
}

// readMessage returns the data of the next message, which is valid until release
// and the next call. The memory for a large one is charged while it arrives.
func (c *peerConn) readMessage() (data []byte, release func(), err error) {
	release = func() {}
	_, r, err := c.ws.Reader(context.Background())
	if err != nil {
		return nil, release, err
	}
	n, err := io.ReadFull(r, c.small[:])
	switch {
	case err == io.EOF || err == io.ErrUnexpectedEOF: // not a wrapped one, which is that of the connection
		return c.small[:n], release, nil
	case err != nil:
		return nil, release, err
	}
	return c.memory.ReadAll(io.MultiReader(bytes.NewReader(c.small[:]), r), MaxFrameBytes)
}

// FrameError reports that a frame from a peer could not be decoded.
type FrameError struct{ Err error }

// Error implements error.
func (e *FrameError) Error() string { return "malformed frame: " + e.Err.Error() }

// Unwrap returns the decoding error.
func (e *FrameError) Unwrap() error { return e.Err }

func (c *peerConn) handle(ctx context.Context, f frame) {
	switch f.Type {
	case frameOneWay:
		_, _ = c.mux.dispatch(ctx, c.peer, f.Kind, f.Body)
	case frameCall:
		if f.WaitMicros > 0 {
			left := time.Duration(f.WaitMicros)*time.Microsecond - f.delay
			if left <= 0 {
				c.refuseExpired(f)
				return
			}
			ctx = context.WithValue(ctx, callerDeadlineKey{}, time.Now().Add(left))
		}
		c.wg.Go(func() { c.handleCall(ctx, f) })
	case frameResponse, frameError:
		c.deliverResponse(f)
	}
}

// refuseExpired refuses a call whose caller no longer waits. A handler that carried
// it out now could undo a later change.
func (c *peerConn) refuseExpired(f frame) {
	c.metrics.expired.Inc()
	_ = c.send(frame{Type: frameError, Kind: f.Kind, ID: f.ID, Text: "the call arrived after its caller had stopped waiting"})
	c.expiredCalls++
	if now := time.Now(); f.delay >= minLoggedDelay && !now.Before(c.nextExpiredLog) {
		event.Log(c.logger, event.PeerCallsExpired, slog.String("peer", c.peer), slog.Int("calls", c.expiredCalls),
			slog.Int("kind", int(f.Kind)), slog.Int64("delay_ms", f.delay.Milliseconds()), slog.Int64("waits_ms", f.WaitMicros/1000))
		c.expiredCalls, c.nextExpiredLog = 0, now.Add(expiredLogInterval)
	}
}

const (
	// expiredLogInterval is the minimum interval between log entries of a connection
	// about expired calls.
	expiredLogInterval = time.Second
	// minLoggedDelay is the shortest delay that is logged. A call that is sent right
	// before its deadline expires without a fault.
	minLoggedDelay = 100 * time.Millisecond
)

// handleCall runs the handler of a call and queues the response.
func (c *peerConn) handleCall(ctx context.Context, f frame) {
	out, err := c.mux.dispatch(ctx, c.peer, f.Kind, f.Body)
	if err != nil {
		_ = c.send(frame{Type: frameError, Kind: f.Kind, ID: f.ID, Text: err.Error()})
		return
	}
	body, err := cbor.Marshal(out)
	if err != nil {
		_ = c.send(frame{Type: frameError, Kind: f.Kind, ID: f.ID, Text: err.Error()})
		return
	}
	_ = c.send(frame{Type: frameResponse, Kind: f.Kind, ID: f.ID, Body: body})
}

// deliverResponse passes a response to the call that awaits it. The response to a
// call that was canceled is dropped.
func (c *peerConn) deliverResponse(f frame) {
	c.mu.Lock()
	ch := c.pendingCalls[f.ID]
	delete(c.pendingCalls, f.ID)
	c.mu.Unlock()
	if ch != nil {
		ch <- f
	}
}

func (c *peerConn) failPendingCalls() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, ch := range c.pendingCalls {
		close(ch)
	}
	c.pendingCalls = nil
}

// send queues a frame without blocking. It returns ErrQueueFull if the queue is
// full, and ErrNotConnected if the connection has ended.
func (c *peerConn) send(f frame) error {
	select {
	case <-c.done:
		return ErrNotConnected
	default:
	}
	select {
	case c.outgoing <- f:
		return nil
	default:
		return ErrQueueFull
	}
}

// writeLoop writes queued frames, and a heartbeat if no other frame was written
// since the previous tick of HeartbeatInterval.
func (c *peerConn) writeLoop(ctx context.Context) {
	defer c.cancel()
	tick := time.NewTicker(HeartbeatInterval)
	defer tick.Stop()
	idle := true // since the last tick
	// The peer estimates delays from frames with the time; the first one of the
	// connection and one after each tick suffice.
	stamp := true
	if c.write(frame{Type: frameHeartbeat, SentMicros: monotonicMicros()}) != nil {
		return
	}
	for {
		var f frame
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			stamp = true
			if !idle {
				idle = true
				continue
			}
			f = frame{Type: frameHeartbeat}
		case f = <-c.outgoing:
			idle = false
		}
		if stamp && f.SentMicros == 0 {
			f.SentMicros, stamp = monotonicMicros(), false
		}
		if c.write(f) != nil {
			return
		}
	}
}

func (c *peerConn) write(f frame) error {
	data, err := cbor.Marshal(f)
	if err != nil {
		return err
	}
	if len(data) > MaxFrameBytes {
		return errors.New("frame is larger than the limit")
	}
	count(c.metrics.sent, f.Kind, len(data))
	c.writeStartedAt.Store(monotonicNanos())
	defer c.writeStartedAt.Store(0)
	return c.ws.Write(context.Background(), websocket.MessageBinary, data)
}

// call sends a call and waits for its response, the end of the connection or the
// end of ctx.
func (c *peerConn) call(ctx context.Context, kind Kind, body []byte, resp any) error {
	if Expired(ctx) {
		return ErrExpired
	}
	id := c.nextID.Add(1)
	f := frame{Type: frameCall, Kind: kind, ID: id, Body: body, SentMicros: monotonicMicros()}
	if deadline, ok := ctx.Deadline(); ok {
		f.WaitMicros = max(1, time.Until(deadline).Microseconds())
	}
	ch := make(chan frame, 1)
	c.mu.Lock()
	if c.pendingCalls == nil {
		c.mu.Unlock()
		return ErrNotConnected
	}
	c.pendingCalls[id] = ch
	c.mu.Unlock()
	if err := c.send(f); err != nil {
		c.removePendingCall(id)
		return err
	}
	select {
	case f, ok := <-ch:
		return c.decodeResponse(f, ok, resp)
	case <-ctx.Done():
		c.removePendingCall(id)
		return ctx.Err()
	}
}

func (c *peerConn) decodeResponse(f frame, ok bool, resp any) error {
	if !ok {
		return ErrConnLost
	}
	if f.Type == frameError {
		return &RemoteError{Peer: c.peer, Message: f.Text}
	}
	return cbor.Unmarshal(f.Body, resp)
}

func (c *peerConn) removePendingCall(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pendingCalls, id)
}
