package fleet

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"apricotrouter/event"
	"apricotrouter/transport"
)

const (
	// attemptTimeout bounds one attempt at one instance. It covers a commit
	// while the disks of the log are several times slower than usual.
	attemptTimeout = time.Second
	// retryPause is the delay after all known instances were tried, about one
	// round trip between availability zones.
	retryPause = 30 * time.Millisecond
)

// ClientOptions configures a Client.
type ClientOptions struct {
	Peers transport.Peers
	// Seeds returns the instances to call while no others are known.
	Seeds func() []string
	// Leader returns the leader known to this instance, or "".
	Leader func() string
	Logger *slog.Logger
}

// Client sends calls to the leader and follows changes of leadership.
type Client struct {
	opts ClientOptions

	mu      sync.Mutex
	leader  string
	members []string
	reached bool
}

// NewClient returns a client that initially calls its seeds.
func NewClient(o ClientOptions) *Client {
	if o.Leader == nil {
		o.Leader = func() string { return "" }
	}
	return &Client{opts: o}
}

// Call sends the request to the leader and retries until ctx ends. The outcome
// is OutcomeUnavailable if no leader received the request before ctx ended. It is
// OutcomeUnknown if a leader may have received it, or if the request is a submission.
func (c *Client) Call(ctx context.Context, req *Request) *Response {
	mayHaveRun := false
	for {
		for _, instance := range c.targets() {
			resp, err := c.attempt(ctx, instance, req)
			if err == nil && resp.Outcome != OutcomeNotLeader {
				if mayHaveRun && (resp.Outcome == OutcomeRefused || resp.Outcome == OutcomeUnavailable) {
					resp.Outcome = OutcomeUnknown
				}
				return resp
			}
			mayHaveRun = mayHaveRun || err != nil && !notSent(err)
			if ctx.Err() != nil {
				return noLeaderResponse(req, mayHaveRun)
			}
		}
		if sleep(ctx, retryPause) != nil {
			return noLeaderResponse(req, mayHaveRun)
		}
	}
}

// noLeaderResponse returns the response for a call without a response from a
// leader. Only a leader can say that a submission was not accepted, because a
// copy of it may have arrived through another instance.
func noLeaderResponse(req *Request, mayHaveRun bool) *Response {
	switch {
	case mayHaveRun:
		return &Response{Outcome: OutcomeUnknown, Reason: "the leader did not answer in time"}
	case req.Op == OpSubmit:
		return &Response{Outcome: OutcomeUnknown, Reason: "no leader was found in time"}
	}
	return &Response{Outcome: OutcomeUnavailable, Reason: "no leader was found in time"}
}

func notSent(err error) bool {
	return errors.Is(err, transport.ErrNotConnected) || errors.Is(err, transport.ErrQueueFull) || errors.Is(err, transport.ErrExpired)
}

// attempt calls one instance and updates the known leader and members from the
// response.
func (c *Client) attempt(ctx context.Context, instance string, req *Request) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	resp := new(Response)
	err := c.opts.Peers.Call(ctx, instance, transport.KindFleet, req, resp)
	c.recordResult(instance, resp, err)
	return resp, err
}

func (c *Client) recordResult(instance string, resp *Response, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.reached
	switch {
	case err != nil:
		if c.leader == instance {
			c.leader, c.reached = "", false
		}
	case resp.Outcome == OutcomeNotLeader:
		if c.leader == instance || c.leader == "" {
			c.leader, c.reached = resp.Leader, false
		}
	default:
		c.leader, c.reached = instance, true
	}
	if len(resp.Members) > 0 {
		c.members = resp.Members
	}
	if old == c.reached {
		return
	}
	if c.reached {
		event.Log(c.opts.Logger, event.FleetLeaderFound, slog.String("leader", instance))
	} else {
		event.Log(c.opts.Logger, event.FleetLeaderLost, slog.String("leader", instance), slog.Any("error", err))
	}
}

// targets returns the instances to try: the known leader first, then all
// others.
func (c *Client) targets() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []string
	add := func(instance string) {
		if instance != "" && !slices.Contains(all, instance) {
			all = append(all, instance)
		}
	}
	add(c.leader)
	add(c.opts.Leader())
	for _, m := range c.members {
		add(m)
	}
	for _, s := range c.opts.Seeds() {
		add(s)
	}
	return all
}

// LeaderReachable reports whether the leader responded to the last call.
func (c *Client) LeaderReachable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reached
}

// Watch pings the leader at the interval until ctx ends. This updates LeaderReachable
// and finds a new leader before the next client call.
func (c *Client) Watch(ctx context.Context, interval time.Duration) error {
	for {
		attempt, cancel := context.WithTimeout(ctx, interval)
		c.Call(attempt, &Request{Op: OpPing})
		cancel()
		if err := sleep(ctx, interval); err != nil {
			return err
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
