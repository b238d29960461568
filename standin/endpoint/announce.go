package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"apricotrouter/registry"
)

const announceTimeout = 2 * time.Second

// announcer sends the announcements of an endpoint.
type announcer struct {
	e        *Endpoint
	client   *http.Client
	held     atomic.Bool
	draining atomic.Bool

	mu       sync.Mutex
	sequence uint64
	fence    uint64
	next     int // entry to which the next announcement goes
	again    time.Duration
}

func (a *announcer) init(e *Endpoint) {
	a.e = e
	a.client = &http.Client{Timeout: announceTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

// run announces until the endpoint stops.
func (a *announcer) run() {
	for {
		if !a.held.Load() {
			_ = a.send(a.e.stopped)
		}
		timer := time.NewTimer(a.pause())
		select {
		case <-a.e.stopped.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// pause returns the time until the next announcement.
func (a *announcer) pause() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.again > 0 {
		return min(a.again, a.e.opts.AnnounceInterval)
	}
	return a.e.opts.AnnounceInterval
}

// send announces to one entry instance after the other until one takes it.
func (a *announcer) send(ctx context.Context) error {
	err := errors.New("no entry instance is known")
	for range a.e.opts.Entries {
		if ctx.Err() != nil {
			return errDead
		}
		if err = a.sendTo(ctx, a.entry()); err == nil {
			return nil
		}
	}
	return err
}

func (a *announcer) entry() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	entry := a.e.opts.Entries[a.next%len(a.e.opts.Entries)]
	a.next++
	return entry
}

// announcement builds the next announcement. The work in hand is read after
// the sequence number is taken, so that a higher number is never older.
func (a *announcer) announcement() *registry.Announcement {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sequence++
	o := &a.e.opts
	return &registry.Announcement{
		ID:              o.ID,
		Service:         o.Service,
		Address:         a.e.Address(),
		Zone:            o.Zone,
		Slots:           o.Slots,
		ConnectionLimit: o.ConnectionLimit,
		Incarnation:     o.Incarnation,
		Draining:        a.draining.Load(),
		RunningAttempts: a.e.attempts(),
		TTLMillis:       o.TTL.Milliseconds(),
		Sequence:        a.sequence,
		Fence:           a.fence,
	}
}

func (a *announcer) sendTo(ctx context.Context, entry string) error {
	body, err := json.Marshal(a.announcement())
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/v1/announce", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := a.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("entry instance %s answered %d: %s", entry, resp.StatusCode, data)
	}
	var answer registry.AnnounceResponse
	if err := json.Unmarshal(data, &answer); err != nil {
		return err
	}
	a.take(&answer)
	return nil
}

func (a *announcer) take(answer *registry.AnnounceResponse) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fence = max(a.fence, answer.Fence)
	a.again = time.Duration(answer.ReannounceMillis) * time.Millisecond
}
