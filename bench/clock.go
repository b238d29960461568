package bench

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// fastClock runs faster than real time by a factor, so that minutes of batch
// work are measured in seconds.
type fastClock struct {
	start  time.Time
	factor time.Duration
}

func newFastClock(factor int) *fastClock {
	return &fastClock{start: time.Now(), factor: time.Duration(factor)}
}

func (c *fastClock) real(d time.Duration) time.Duration { return max(d/c.factor, 1) }

// Now implements clockwork.Clock.
func (c *fastClock) Now() time.Time { return c.start.Add(time.Since(c.start) * c.factor) }

// Since implements clockwork.Clock.
func (c *fastClock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until implements clockwork.Clock.
func (c *fastClock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// Sleep implements clockwork.Clock.
func (c *fastClock) Sleep(d time.Duration) { time.Sleep(c.real(d)) }

// After implements clockwork.Clock.
func (c *fastClock) After(d time.Duration) <-chan time.Time { return time.After(c.real(d)) }

// NewTicker implements clockwork.Clock.
func (c *fastClock) NewTicker(d time.Duration) clockwork.Ticker {
	return &fastTicker{time.NewTicker(c.real(d)), c}
}

// NewTimer implements clockwork.Clock.
func (c *fastClock) NewTimer(d time.Duration) clockwork.Timer {
	return &fastTimer{time.NewTimer(c.real(d)), c}
}

// AfterFunc implements clockwork.Clock.
func (c *fastClock) AfterFunc(d time.Duration, f func()) clockwork.Timer {
	return &fastTimer{time.AfterFunc(c.real(d), f), c}
}

type fastTicker struct {
	*time.Ticker
	clock *fastClock
}

// Chan implements clockwork.Ticker.
func (t *fastTicker) Chan() <-chan time.Time { return t.C }

// Reset implements clockwork.Ticker.
func (t *fastTicker) Reset(d time.Duration) { t.Ticker.Reset(t.clock.real(d)) }

type fastTimer struct {
	*time.Timer
	clock *fastClock
}

// Chan implements clockwork.Timer.
func (t *fastTimer) Chan() <-chan time.Time { return t.C }

// Reset implements clockwork.Timer.
func (t *fastTimer) Reset(d time.Duration) bool { return t.Timer.Reset(t.clock.real(d)) }
