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

// announceTimeout is the timeout of one announcement.
const announceTimeout = 2 * time.Second

// announcer announces an endpoint to the entry instances.
type announcer struct {
	endpoint *Endpoint
	client   *http.Client
	paused   atomic.Bool
	draining atomic.Bool

	mu        sync.Mutex
	sequence  uint64
	fence     uint64
	nextEntry int           // index of the entry instance for the next announcement
	interval  time.Duration // requested by the last response; 0 if none
}

func (a *announcer) init(endpoint *Endpoint) {
	a.endpoint = endpoint
	a.client = &http.Client{Timeout: announceTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

// run sends announcements at intervals until the endpoint stops.
func (a *announcer) run() {
	for {
		if !a.paused.Load() {
			_ = a.send(a.endpoint.stopped)
		}
		timer := time.NewTimer(a.nextInterval())
		select {
		case <-a.endpoint.stopped.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// nextInterval returns the time until the next announcement, which the entry
// instance may shorten.
func (a *announcer) nextInterval() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.interval > 0 {
		return min(a.interval, a.endpoint.opts.AnnounceInterval)
	}
	return a.endpoint.opts.AnnounceInterval
}

// send sends an announcement to the entry instances in turn until one accepts it.
func (a *announcer) send(ctx context.Context) error {
	err := errors.New("no entry instance is known")
	for range a.endpoint.opts.Entries {
		if ctx.Err() != nil {
			return errStopped
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
	entry := a.endpoint.opts.Entries[a.nextEntry%len(a.endpoint.opts.Entries)]
	a.nextEntry++
	return entry
}

// announcement builds the next announcement. It increments the sequence number
// before it reads the running attempts, so an announcement with a higher number
// never has older attempts.
func (a *announcer) announcement() *registry.Announcement {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sequence++
	o := &a.endpoint.opts
	return &registry.Announcement{
		ID:              o.ID,
		Service:         o.Service,
		Address:         a.endpoint.Address(),
		Zone:            o.Zone,
		Slots:           o.Slots,
		ConnectionLimit: o.ConnectionLimit,
		Incarnation:     o.Incarnation,
		Draining:        a.draining.Load(),
		RunningAttempts: a.endpoint.runningAttempts(),
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
		return fmt.Errorf("entry instance %s returned status %d: %s", entry, resp.StatusCode, data)
	}
	var response registry.AnnounceResponse
	if err := json.Unmarshal(data, &response); err != nil {
		return err
	}
	a.apply(&response)
	return nil
}

func (a *announcer) apply(response *registry.AnnounceResponse) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fence = max(a.fence, response.Fence)
	a.interval = time.Duration(response.ReannounceMillis) * time.Millisecond
}
