package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
)

// inFlight counts requests and lets callers wait until there are none.
type inFlight struct {
	n atomic.Int64

	mu   sync.Mutex
	idle chan struct{} // closed and set to nil when n reaches 0; nil without waiters
}

func (f *inFlight) begin() { f.n.Add(1) }

func (f *inFlight) end() {
	if f.n.Add(-1) > 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.idle != nil {
		close(f.idle)
		f.idle = nil
	}
}

func (f *inFlight) count() int64 { return f.n.Load() }

// wait returns when the count is 0, or the error of ctx.
func (f *inFlight) wait(ctx context.Context) error {
	for {
		f.mu.Lock()
		if f.n.Load() == 0 {
			f.mu.Unlock()
			return nil
		}
		if f.idle == nil {
			f.idle = make(chan struct{})
		}
		idle := f.idle
		f.mu.Unlock()
		select {
		case <-idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
