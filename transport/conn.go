package transport

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"apricotrouter/steperr"
)

// frameType says what a frame is.
type frameType uint8

const (
	frameHeartbeat frameType = iota
	frameNotice
	frameCall
	frameAnswer
	frameError
)

// frame is the unit on the wire.
type frame struct {
	Type frameType       `cbor:"1,keyasint"`
	Kind Kind            `cbor:"2,keyasint,omitempty"`
	ID   uint64          `cbor:"3,keyasint,omitempty"`
	Body cbor.RawMessage `cbor:"4,keyasint,omitempty"`
	Text string          `cbor:"5,keyasint,omitempty"`
}

// decodeMode bounds what a peer's frame may make the decoder allocate.
var decodeMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20, MaxNestedLevels: 32}.DecMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return mode
}()

// conn is one open connection to a peer. Either side may have dialled it.
type conn struct {
	peer    string
	ws      *websocket.Conn
	mux     *Mux
	metrics *metrics
	out     chan frame
	cancel  context.CancelFunc
	done    chan struct{} // closed when the connection has ended
	nextID  atomic.Uint64
	// heardAt is when the last frame arrived, and writingSince when the write
	// in progress began, both in nanoseconds of the monotonic clock; 0 if no
	// write is in progress.
	heardAt      atomic.Int64
	writingSince atomic.Int64
	mu           sync.Mutex
	waiting      map[uint64]chan frame // calls without an answer yet; nil once ended
	wg           sync.WaitGroup
}

func newConn(peer string, ws *websocket.Conn, mux *Mux, m *metrics) *conn {
	ws.SetReadLimit(MaxFrameBytes)
	c := &conn{
		peer:    peer,
		ws:      ws,
		mux:     mux,
		metrics: m,
		out:     make(chan frame, sendQueue),
		done:    make(chan struct{}),
		waiting: make(map[uint64]chan frame),
	}
	c.heardAt.Store(monotonic())
	return c
}

var processStart = time.Now()

// monotonic returns nanoseconds since the start of the process, at least 1.
func monotonic() int64 { return max(1, int64(time.Since(processStart))) }

// expired reports whether the connection has been silent or a write has been
// stuck for too long.
func (c *conn) expired() bool {
	now := monotonic()
	if now-c.heardAt.Load() > int64(IdleTimeout) {
		return true
	}
	since := c.writingSince.Load()
	return since != 0 && now-since > int64(WriteTimeout)
}

// run serves the connection until it breaks, goes silent or ctx ends, and
// returns why. All goroutines of the connection have ended by then.
func (c *conn) run(ctx context.Context) error {
	ctx, c.cancel = context.WithCancel(ctx)
	// Reads and writes take no context of their own: closing ends them.
	unhook := context.AfterFunc(ctx, func() { _ = c.ws.CloseNow() })
	defer unhook()
	c.wg.Go(func() { c.writeLoop(ctx) })
	err := c.readLoop(ctx)
	c.cancel()
	_ = c.ws.CloseNow()
	close(c.done)
	c.failWaiting()
	c.wg.Wait()
	return err
}

// readLoop handles frames until an error. The mesh closes the connection if no
// frame, not even a heartbeat, comes within SilenceTimeout.
func (c *conn) readLoop(ctx context.Context) error {
	for {
		f, err := c.readFrame()
		if err != nil {
			return err
		}
		c.handle(ctx, f)
	}
}

func (c *conn) readFrame() (frame, error) {
	var f frame
	_, data, err := c.ws.Read(context.Background())
	if err != nil {
		return f, steperr.Wrap(err, "read frame", c.peer)
	}
	c.heardAt.Store(monotonic())
	if err := decodeMode.Unmarshal(data, &f); err != nil {
		return f, steperr.Wrap(&FrameError{Err: err}, "decode frame", c.peer)
	}
	count(c.metrics.received, f.Kind, len(data))
	return f, nil
}

// FrameError means that a frame of a peer could not be decoded.
type FrameError struct{ Err error }

// Error implements error.
func (e *FrameError) Error() string { return "malformed frame: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *FrameError) Unwrap() error { return e.Err }

func (c *conn) handle(ctx context.Context, f frame) {
	switch f.Type {
	case frameNotice:
		_, _ = c.mux.dispatch(ctx, c.peer, f.Kind, f.Body)
	case frameCall:
		c.wg.Go(func() { c.answer(ctx, f) })
	case frameAnswer, frameError:
		c.deliver(f)
	}
}

// answer runs the handler of a call and queues its answer.
func (c *conn) answer(ctx context.Context, f frame) {
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
	_ = c.send(frame{Type: frameAnswer, Kind: f.Kind, ID: f.ID, Body: body})
}

// deliver hands an answer to the call that waits for it. An answer to a call
// that was given up is dropped.
func (c *conn) deliver(f frame) {
	c.mu.Lock()
	ch := c.waiting[f.ID]
	delete(c.waiting, f.ID)
	c.mu.Unlock()
	if ch != nil {
		ch <- f
	}
}

func (c *conn) failWaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, ch := range c.waiting {
		close(ch)
	}
	c.waiting = nil
}

// send queues a frame without blocking.
func (c *conn) send(f frame) error {
	select {
	case <-c.done:
		return ErrNotConnected
	default:
	}
	select {
	case c.out <- f:
		return nil
	default:
		return ErrQueueFull
	}
}

// writeLoop writes queued frames, and a heartbeat where no other frame was
// written for HeartbeatInterval.
func (c *conn) writeLoop(ctx context.Context) {
	defer c.cancel()
	tick := time.NewTicker(HeartbeatInterval)
	defer tick.Stop()
	idle := true // since the last tick
	for {
		var f frame
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if !idle {
				idle = true
				continue
			}
			f = frame{Type: frameHeartbeat}
		case f = <-c.out:
			idle = false
		}
		if c.write(f) != nil {
			return
		}
	}
}

func (c *conn) write(f frame) error {
	data, err := cbor.Marshal(f)
	if err != nil {
		return err
	}
	if len(data) > MaxFrameBytes {
		return errors.New("frame is larger than the limit")
	}
	count(c.metrics.sent, f.Kind, len(data))
	c.writingSince.Store(monotonic())
	defer c.writingSince.Store(0)
	return c.ws.Write(context.Background(), websocket.MessageBinary, data)
}

// call sends a call and waits for its answer, the end of the connection or
// the end of ctx.
func (c *conn) call(ctx context.Context, kind Kind, body []byte, resp any) error {
	id := c.nextID.Add(1)
	ch := make(chan frame, 1)
	c.mu.Lock()
	if c.waiting == nil {
		c.mu.Unlock()
		return ErrNotConnected
	}
	c.waiting[id] = ch
	c.mu.Unlock()
	if err := c.send(frame{Type: frameCall, Kind: kind, ID: id, Body: body}); err != nil {
		c.forget(id)
		return err
	}
	select {
	case f, ok := <-ch:
		return c.decodeAnswer(f, ok, resp)
	case <-ctx.Done():
		c.forget(id)
		return ctx.Err()
	}
}

func (c *conn) decodeAnswer(f frame, ok bool, resp any) error {
	if !ok {
		return ErrConnLost
	}
	if f.Type == frameError {
		return &RemoteError{Peer: c.peer, Message: f.Text}
	}
	return cbor.Unmarshal(f.Body, resp)
}

func (c *conn) forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, id)
}
