package bench

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// scaledClock runs faster than real time by a factor, to measure minutes of batch
// work within seconds.
type scaledClock struct {
	start  time.Time
	factor time.Duration
}

func newScaledClock(factor int) *scaledClock {
	return &scaledClock{start: time.Now(), factor: time.Duration(factor)}
}

func (c *scaledClock) realDuration(d time.Duration) time.Duration { return max(d/c.factor, 1) }

// Now implements clockwork.Clock.
func (c *scaledClock) Now() time.Time { return c.start.Add(time.Since(c.start) * c.factor) }

// Since implements clockwork.Clock.
func (c *scaledClock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until implements clockwork.Clock.
func (c *scaledClock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// Sleep implements clockwork.Clock.
func (c *scaledClock) Sleep(d time.Duration) { time.Sleep(c.realDuration(d)) }

// After implements clockwork.Clock.
func (c *scaledClock) After(d time.Duration) <-chan time.Time { return time.After(c.realDuration(d)) }

// NewTicker implements clockwork.Clock.
func (c *scaledClock) NewTicker(d time.Duration) clockwork.Ticker {
	return &scaledTicker{time.NewTicker(c.realDuration(d)), c}
}

// NewTimer implements clockwork.Clock.
func (c *scaledClock) NewTimer(d time.Duration) clockwork.Timer {
	return &scaledTimer{time.NewTimer(c.realDuration(d)), c}
}

// AfterFunc implements clockwork.Clock.
func (c *scaledClock) AfterFunc(d time.Duration, f func()) clockwork.Timer {
	return &scaledTimer{time.AfterFunc(c.realDuration(d), f), c}
}

type scaledTicker struct {
	*time.Ticker
	clock *scaledClock
}

// Chan implements clockwork.Ticker.
func (t *scaledTicker) Chan() <-chan time.Time { return t.C }

// Reset implements clockwork.Ticker.
func (t *scaledTicker) Reset(d time.Duration) { t.Ticker.Reset(t.clock.realDuration(d)) }

type scaledTimer struct {
	*time.Timer
	clock *scaledClock
}

// Chan implements clockwork.Timer.
func (t *scaledTimer) Chan() <-chan time.Time { return t.C }

// Reset implements clockwork.Timer.
func (t *scaledTimer) Reset(d time.Duration) bool { return t.Timer.Reset(t.clock.realDuration(d)) }
