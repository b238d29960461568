package replica

import (
	"context"
	"slices"
	"sync"
	"time"

	"apricotrouter/raft"
	"apricotrouter/transport"
)

type freshnessRequest struct {
	Replica raft.ID `cbor:"1,keyasint"`
	Disk    bool    `cbor:"2,keyasint,omitempty"`
	Zone    string  `cbor:"3,keyasint,omitempty"`
	Group   string  `cbor:"4,keyasint,omitempty"`
}

type freshnessResponse struct {
	Confirmed bool   `cbor:"1,keyasint,omitempty"`
	Index     uint64 `cbor:"2,keyasint,omitempty"` // must be applied before the lease takes effect
	Leader    string `cbor:"3,keyasint,omitempty"` // the leader known to an instance that does not lead
}

// pendingConfirmation is a freshness request that waits for a majority to
// acknowledge a heartbeat round that began after the request arrived.
type pendingConfirmation struct {
	instance string
	round    uint64
	done     chan freshnessResponse
}

// pendingGrant is a granted lease that takes effect once its index is applied.
type pendingGrant struct {
	index uint64
	until time.Duration
}

// Fresh implements Log.
func (r *Replica) Fresh() bool { return int64(r.now()) < r.freshUntil.Load() }

// Ready reports whether the instance may serve requests.
func (r *Replica) Ready() bool { return r.Fresh() }

// renewFreshness requests a lease from the leader at fixed intervals. A slow
// response does not delay the next request.
func (r *Replica) renewFreshness(ctx context.Context) error {
	ticker := r.opts.Clock.NewTicker(r.opts.FreshnessInterval)
	defer ticker.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		leader := r.Leadership().Leader
		for _, peer := range r.freshnessTargets(leader) {
			calls.Add(1)
			go func() {
				defer calls.Done()
				r.requestFreshness(ctx, peer)
			}()
		}
		if err := r.waitForNextPoll(ctx, ticker.Chan(), leader); err != nil {
			return err
		}
	}
}

// waitForNextPoll returns at the next tick, or when a different leader becomes
// known.
func (r *Replica) waitForNextPoll(ctx context.Context, tick <-chan time.Time, leader string) error {
	for {
		changed := r.Changed()
		if now := r.Leadership().Leader; now != leader && now != "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick:
			return nil
		case <-changed:
		}
	}
}

// freshnessTargets returns the leader, or every other known instance while no
// leader is known.
func (r *Replica) freshnessTargets(leader string) []string {
	if leader != "" {
		return []string{leader}
	}
	known := slices.Clone(r.opts.SeedInstances)
	for _, m := range r.view.Load().voters {
		known = append(known, m.Instance)
	}
	slices.Sort(known)
	known = slices.Compact(known)
	return slices.DeleteFunc(known, func(id string) bool { return id == r.opts.Self })
}

// requestFreshness requests a lease from one instance. The lease starts before
// the request is sent, by this instance's own clock.
func (r *Replica) requestFreshness(ctx context.Context, peer string) {
	sent := r.now()
	until := sent + r.opts.FreshnessLease
	ctx, cancel := context.WithTimeout(ctx, r.opts.FreshnessLease)
	defer cancel()
	v := r.view.Load()
	req := &freshnessRequest{Replica: v.replica, Disk: v.disk, Zone: r.opts.Zone, Group: v.group}
	var resp freshnessResponse
	if peer == r.opts.Self {
		own, err := r.onFreshness(ctx, peer, req)
		if err != nil {
			return
		}
		resp = *own
	} else if err := r.opts.Peers.Call(ctx, peer, transport.KindFreshness, req, &resp); err != nil {
		r.clearLeader(peer)
		return
	}
	r.handleFreshnessResponse(peer, resp, until)
}

func (r *Replica) handleFreshnessResponse(peer string, resp freshnessResponse, until time.Duration) {
	if resp.Confirmed {
		r.inbox.post(func() {
			r.pendingGrants = append(r.pendingGrants, pendingGrant{index: resp.Index, until: until})
			if r.leaderHint == "" && peer != r.opts.Self {
				r.leaderHint = peer
			}
		})
		return
	}
	r.clearLeader(peer)
	if resp.Leader != "" && resp.Leader != r.opts.Self && resp.Leader != peer {
		r.inbox.post(func() {
			if r.leaderHint == "" {
				r.leaderHint = resp.Leader
			}
		})
	}
}

// clearLeader stops treating an instance as the leader after it denied being
// the leader or did not respond. Otherwise a learner would follow the old
// leader for an election timeout, because the new leader does not know the
// learner before its first request.
func (r *Replica) clearLeader(peer string) {
	r.inbox.post(func() {
		if r.leaderHint == peer {
			r.leaderHint = ""
		}
		st := r.core.Status()
		if st.Leader != raft.None && st.Leader != st.Self && r.instanceOf(st.Leader) == peer {
			r.ignoredLeaderTerm = st.Term
		}
	})
}

// activateGrants extends the freshness lease by the grants whose index is
// applied, and discards those that have expired.
func (r *Replica) activateGrants() {
	applied := r.State().Index
	waiting := r.pendingGrants[:0]
	for _, g := range r.pendingGrants {
		switch {
		case g.index <= applied:
			r.freshUntil.Store(max(r.freshUntil.Load(), int64(g.until)))
		case g.until > r.now():
			waiting = append(waiting, g)
		}
	}
	r.pendingGrants = waiting
}

// onFreshness handles a lease request on the leader.
func (r *Replica) onFreshness(ctx context.Context, from string, req *freshnessRequest) (*freshnessResponse, error) {
	c := &pendingConfirmation{instance: from, done: make(chan freshnessResponse, 1)}
	r.inbox.post(func() { r.addConfirmation(c, req) })
	select {
	case resp := <-c.done:
		return &resp, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-r.done:
		return nil, ErrStopped
	}
}

// addConfirmation queues a lease request until a majority acknowledges a round
// later than the last started one. It runs on the loop goroutine.
func (r *Replica) addConfirmation(c *pendingConfirmation, req *freshnessRequest) {
	wrongGroup := req.Group != "" && req.Group != r.id.Group
	if r.core.Status().Role != raft.Leader || wrongGroup {
		c.done <- freshnessResponse{Leader: r.view.Load().leader}
		return
	}
	r.observeInstance(c.instance, req)
	c.round = r.core.Round() + 1
	r.pendingConfirmations = append(r.pendingConfirmations, c)
}

// completeConfirmations responds to the requests whose round a majority has
// acknowledged. The response contains the index of the last log entry,
// committed or not, so that every change appended before the response is
// applied before the instance becomes fresh. Requests wait until an entry of
// the leader's own term is applied.
func (r *Replica) completeConfirmations() {
	if len(r.pendingConfirmations) == 0 {
		return
	}
	st := r.core.Status()
	confirmed := r.core.ConfirmedRound()
	if st.Role != raft.Leader || r.State().Index < st.TermStart {
		return
	}
	waiting := r.pendingConfirmations[:0]
	for _, c := range r.pendingConfirmations {
		if c.round > confirmed {
			waiting = append(waiting, c)
			continue
		}
		r.leaseExtensions.extend(c.instance, r.now())
		c.done <- freshnessResponse{Confirmed: true, Index: st.LastIndex}
	}
	clear(r.pendingConfirmations[len(waiting):])
	r.pendingConfirmations = waiting
}

// leaseExtensions records when the leader last extended each instance's lease.
type leaseExtensions struct {
	mu         sync.Mutex
	leading    bool
	electedAt  time.Duration
	extendedAt map[string]time.Duration
}

func (l *leaseExtensions) reset(leading bool, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leading, l.electedAt = leading, now
	l.extendedAt = make(map[string]time.Duration)
}

func (l *leaseExtensions) extend(instance string, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.extendedAt[instance] = now
}

// lastExtension returns the latest time at which the instance's lease may have
// been extended: by this leader, or by an earlier leader before the election.
// It also reports whether this replica leads.
func (l *leaseExtensions) lastExtension(instance string) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.electedAt, l.extendedAt[instance]), l.leading
}

// LeaseExpired implements LeaseTracker.
func (r *Replica) LeaseExpired(instance string) bool {
	lastExtension, leading := r.leaseExtensions.lastExtension(instance)
	return leading && r.now() > lastExtension+r.opts.leaderLeaseTimeout() && r.Leadership().Self
}

// roundTimes records the start times of the most recent heartbeat rounds.
type roundTimes struct {
	lastRound uint64
	startedAt [64]time.Duration
}

// record sets the start of all rounds after the last recorded one, up to round.
// They started at or after now.
func (t *roundTimes) record(round uint64, now time.Duration) {
	for ; t.lastRound < round; t.lastRound++ {
		t.startedAt[(t.lastRound+1)%uint64(len(t.startedAt))] = now
	}
}

// start returns the recorded start of a round, and false if it is no longer
// recorded.
func (t *roundTimes) start(round uint64) (time.Duration, bool) {
	if round == 0 || round > t.lastRound || t.lastRound-round >= uint64(len(t.startedAt)) {
		return 0, false
	}
	return t.startedAt[round%uint64(len(t.startedAt))], true
}
