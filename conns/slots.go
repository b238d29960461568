package conns

import (
	"context"
	"sync"
)

// Slots limits the calls in flight to one destination. Those above the limit wait
// in their order. The zero value is ready for use.
type Slots struct {
	mu      sync.Mutex
	used    int
	waiting []chan struct{}
}

// Acquire waits until fewer than limit calls are in flight or ctx ends. After nil,
// Release must be called.
func (s *Slots) Acquire(ctx context.Context, limit int) error {
	s.mu.Lock()
	if s.used < limit && len(s.waiting) == 0 {
		s.used++
		s.mu.Unlock()
		return nil
	}
	turn := make(chan struct{})
	s.waiting = append(s.waiting, turn)
	s.mu.Unlock()
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, w := range s.waiting {
		if w == turn {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return ctx.Err()
		}
	}
	s.pass() // the slot came at the same time
	return ctx.Err()
}

// Release ends a call. The next one that waits takes its slot.
func (s *Slots) Release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pass()
}

func (s *Slots) pass() {
	if len(s.waiting) == 0 {
		s.used--
		return
	}
	close(s.waiting[0])
	s.waiting = s.waiting[1:]
}
