package transport

import (
	"context"
	"math"
	"time"
)

// transitWindow is the period for which the shortest transit of a connection is
// remembered. It is short enough for clocks that differ in rate by 0.01%, and
// longer than the delays that the connection outlives.
const transitWindow = 30 * time.Second

// transitClock estimates how long frames were on their way beyond the shortest
// transit of the connection, from readings of the clocks of both sides, which have
// different origins. Queues, the network, and either side standing still delay a
// frame. The zero value has no samples.
type transitClock struct {
	shortest, previous time.Duration // smallest differences of the clocks, in this window and the last
	windowEnd          time.Duration // 0 without samples
}

// delay returns the delay of a frame from the readings of the sender's clock when
// it was sent and of this instance's clock when it was read.
func (t *transitClock) delay(sentAt, readAt time.Duration) time.Duration {
	difference := readAt - sentAt
	switch {
	case t.windowEnd == 0 || readAt >= t.windowEnd+transitWindow:
		t.previous, t.shortest = math.MaxInt64, difference
		t.windowEnd = readAt + transitWindow
	case readAt >= t.windowEnd:
		t.previous, t.shortest = t.shortest, difference
		t.windowEnd = readAt + transitWindow
	}
	t.shortest = min(t.shortest, difference)
	return difference - min(t.shortest, t.previous)
}

// callerDeadlineKey is the context key of the time.Time until which the caller of
// a call waits.
type callerDeadlineKey struct{}

// UntilCallerLeaves returns a context that ends when the caller of the call that is
// handled stops waiting. It is for handlers whose effects must not come later: the
// caller may have got the same change done, and undone, through another instance.
func UntilCallerLeaves(ctx context.Context) (context.Context, context.CancelFunc) {
	if deadline, ok := ctx.Value(callerDeadlineKey{}).(time.Time); ok {
		return context.WithDeadline(ctx, deadline)
	}
	return context.WithCancel(ctx)
}

// Expired reports whether the deadline of a context has passed. The timer of a
// context fires late if the process did not run.
func Expired(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && !time.Now().Before(deadline)
}
