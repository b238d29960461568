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
	Index     uint64 `cbor:"2,keyasint,omitempty"` // to be applied before the instance is fresh
	Leader    string `cbor:"3,keyasint,omitempty"` // as known to an instance that is not the leader
}

// confirmation is a freshness request that waits for a heartbeat round that
// began after it arrived.
type confirmation struct {
	instance string
	round    uint64
	done     chan freshnessResponse
}

// grant is a confirmed lease that waits for its index to be applied.
type grant struct {
	index uint64
	until time.Duration
}

// Fresh implements Log.
func (r *Replica) Fresh() bool { return int64(r.now()) < r.freshUntil.Load() }

// Ready reports whether the instance may serve.
func (r *Replica) Ready() bool { return r.Fresh() }

// pollFreshness asks the leader for a lease at fixed intervals. A slow answer
// does not delay the next request.
func (r *Replica) pollFreshness(ctx context.Context) error {
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
				r.askFreshness(ctx, peer)
			}()
		}
		if err := r.nextPoll(ctx, ticker.Chan(), leader); err != nil {
			return err
		}
	}
}

// nextPoll returns at the next tick, or when another leader is known.
func (r *Replica) nextPoll(ctx context.Context, tick <-chan time.Time, leader string) error {
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

// freshnessTargets returns the leader, or every other instance while no leader
// is known.
func (r *Replica) freshnessTargets(leader string) []string {
	if leader != "" {
		return []string{leader}
	}
	known := slices.Clone(r.opts.PeerIDs)
	for _, m := range r.view.Load().voters {
		known = append(known, m.Instance)
	}
	slices.Sort(known)
	known = slices.Compact(known)
	return slices.DeleteFunc(known, func(id string) bool { return id == r.opts.Self })
}

// askFreshness asks one instance. The lease counts from before the request is
// sent, on this instance's own clock.
func (r *Replica) askFreshness(ctx context.Context, peer string) {
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
		r.disown(peer)
		return
	}
	r.takeFreshness(peer, resp, until)
}

func (r *Replica) takeFreshness(peer string, resp freshnessResponse, until time.Duration) {
	if resp.Confirmed {
		r.box.post(func() { r.grants = append(r.grants, grant{index: resp.Index, until: until}) })
		return
	}
	r.disown(peer)
	if resp.Leader != "" && resp.Leader != r.opts.Self && resp.Leader != peer {
		r.box.post(func() {
			if r.hint == "" {
				r.hint = resp.Leader
			}
		})
	}
}

// disown stops taking an instance for the leader that said it is not, or does
// not answer. A learner would otherwise stay with the old leader for an
// election timeout: the new one does not know of it until it asks.
func (r *Replica) disown(peer string) {
	r.box.post(func() {
		if r.hint == peer {
			r.hint = ""
		}
		st := r.core.Status()
		if st.Leader != raft.None && st.Leader != st.Self && r.instanceOf(st.Leader) == peer {
			r.disowned = st.Term
		}
	})
}

// settleGrants extends the lease by the grants whose index is applied.
func (r *Replica) settleGrants() {
	applied := r.State().Index
	waiting := r.grants[:0]
	for _, g := range r.grants {
		switch {
		case g.index <= applied:
			r.freshUntil.Store(max(r.freshUntil.Load(), int64(g.until)))
		case g.until > r.now():
			waiting = append(waiting, g)
		}
	}
	r.grants = waiting
}

// onFreshness answers a request for a lease on the leader.
func (r *Replica) onFreshness(ctx context.Context, from string, req *freshnessRequest) (*freshnessResponse, error) {
	c := &confirmation{instance: from, done: make(chan freshnessResponse, 1)}
	r.box.post(func() { r.addConfirmation(c, req) })
	select {
	case resp := <-c.done:
		return &resp, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-r.done:
		return nil, ErrStopped
	}
}

// addConfirmation runs in the loop. The request waits for a round with a
// higher number than the last one begun.
func (r *Replica) addConfirmation(c *confirmation, req *freshnessRequest) {
	wrongGroup := req.Group != "" && req.Group != r.id.Group
	if r.core.Status().Role != raft.Leader || wrongGroup {
		c.done <- freshnessResponse{Leader: r.view.Load().leader}
		return
	}
	r.meet(c.instance, req)
	c.round = r.core.Round() + 1
	r.confirms = append(r.confirms, c)
}

// settleConfirmations answers the requests whose round a majority has
// answered. The answer names the last entry of the log, committed or not: a
// change appended before the answer is thus applied before the instance is
// fresh. Nothing is answered before an entry of the own term is applied.
func (r *Replica) settleConfirmations() {
	if len(r.confirms) == 0 {
		return
	}
	st := r.core.Status()
	confirmed := r.core.ConfirmedRound()
	if st.Role != raft.Leader || r.State().Index < st.TermStart {
		return
	}
	waiting := r.confirms[:0]
	for _, c := range r.confirms {
		if c.round > confirmed {
			waiting = append(waiting, c)
			continue
		}
		r.leases.answered(c.instance, r.now())
		c.done <- freshnessResponse{Confirmed: true, Index: st.LastIndex}
	}
	clear(r.confirms[len(waiting):])
	r.confirms = waiting
}

// leases is when the leader last answered each instance.
type leases struct {
	mu          sync.Mutex
	leading     bool
	since       time.Duration
	lastAnswers map[string]time.Duration
}

func (l *leases) elected(leading bool, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leading, l.since = leading, now
	l.lastAnswers = make(map[string]time.Duration)
}

func (l *leases) answered(instance string, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastAnswers[instance] = now
}

// last returns when the instance's lease may last have been extended: by this
// leader's answer, or by an earlier leader's before the election.
func (l *leases) last(instance string) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.since, l.lastAnswers[instance]), l.leading
}

// LeaseEnded implements LeaseTracker.
func (r *Replica) LeaseEnded(instance string) bool {
	last, leading := r.leases.last(instance)
	return leading && r.now() > last+r.opts.leaseMargin() && r.Leadership().Self
}

// roundTimes remembers when the last heartbeat rounds began.
type roundTimes struct {
	last  uint64
	begun [64]time.Duration
}

// note records that all rounds up to round have begun at or after now.
func (t *roundTimes) note(round uint64, now time.Duration) {
	for ; t.last < round; t.last++ {
		t.begun[(t.last+1)%uint64(len(t.begun))] = now
	}
}

// start returns when a round began, and whether it is still remembered.
func (t *roundTimes) start(round uint64) (time.Duration, bool) {
	if round == 0 || round > t.last || t.last-round >= uint64(len(t.begun)) {
		return 0, false
	}
	return t.begun[round%uint64(len(t.begun))], true
}
