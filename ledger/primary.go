package ledger

import (
	"context"
	"errors"
	"time"

	"apricotrouter/state"
)

func refused(reason string) *claimResponse {
	return &claimResponse{Verdict: VerdictRefused, Reason: reason}
}

// handleClaim decides a claim as the primary of its bucket.
func (l *Ledger) handleClaim(ctx context.Context, _ string, req *claimRequest) (*claimResponse, error) {
	response := l.decideClaim(ctx, req)
	l.metrics.claims.WithLabelValues(string(response.Verdict)).Inc()
	return response, nil
}

func (l *Ledger) decideClaim(ctx context.Context, req *claimRequest) *claimResponse {
	if !l.opts.Log.Fresh() {
		return refused("primary has no confirmed state")
	}
	number := req.Key.Bucket()
	spec := l.awaitEpoch(ctx, number, req.Epoch)
	if spec == nil || spec.Epoch != req.Epoch || spec.Primary != l.opts.Self {
		return refused("epoch or primary has changed")
	}
	b := &l.buckets[number]
	deadline := time.Now().Add(time.Duration(req.WaitMillis) * time.Millisecond)
	for {
		response, e := l.lookUp(b, req)
		if response != nil {
			return response
		}
		if e.token == req.Token {
			return l.grant(ctx, b, spec, req.Key, e)
		}
		if !waitSettled(ctx, e.settled, deadline) {
			return &claimResponse{Verdict: VerdictUnknown, Reason: "request is running"}
		}
	}
}

// waitSettled waits until a running request has ended, and reports whether it
// ended before the deadline.
func waitSettled(ctx context.Context, settled <-chan struct{}, deadline time.Time) bool {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-settled:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// lookUp decides a claim by the local entries, if they suffice. Otherwise the
// response is nil and it returns the entry of the request: a new one for req,
// or that of an earlier claim.
func (l *Ledger) lookUp(b *bucket, req *claimRequest) (*claimResponse, *entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.role != rolePrimary || b.epoch != req.Epoch || !b.ready {
		return refused("bucket is not served yet"), nil
	}
	e := b.entries[req.Key]
	switch {
	case e == nil:
		if l.opts.Clock.Now().Before(b.missingUntil) {
			return &claimResponse{Verdict: VerdictUnknown, Reason: "earlier entries of the bucket were lost"}, nil
		}
		if l.entries.Load() >= l.opts.MaxEntries {
			return refused("ledger is full"), nil
		}
	case e.phase == phaseReleased && e.token == req.Token:
		return refused("claim was released"), nil
	case e.phase == phaseReleased || (e.phase == phaseClaimed && e.token == req.Token):
		// The request did not run, or the same claim was sent again.
	case e.digest != req.Digest:
		return &claimResponse{Verdict: VerdictConflict}, nil
	case e.phase == phaseDone && e.response != nil:
		return &claimResponse{Verdict: VerdictRecorded, Response: e.response}, nil
	case e.phase == phaseDone:
		return &claimResponse{Verdict: VerdictUnknown, Reason: "answer was not kept"}, nil
	default:
		return nil, e
	}
	e = &entry{token: req.Token, digest: req.Digest, phase: phaseClaimed}
	l.updateEntry(b, req.Key, e)
	return nil, e
}

// updateEntry stores an entry with the next sequence number, as the primary;
// b.mu is held.
func (l *Ledger) updateEntry(b *bucket, k Key, e *entry) {
	b.sequence++
	e.sequence = b.sequence
	e.updatedAt = l.opts.Clock.Now()
	l.storeEntry(b, k, e)
}

// grant copies a claim to the backup and then grants it. If the copy fails, the
// claim is released, because the request has not run.
func (l *Ledger) grant(ctx context.Context, b *bucket, spec *state.LedgerBucket, k Key, e *entry) *claimResponse {
	if err := l.copyEntry(ctx, b, spec, k); err != nil {
		l.releaseUngranted(b, k, e)
		return refused("claim was not copied to the backup: " + err.Error())
	}
	// The freshness lease may have expired while the claim was being copied.
	if !l.opts.Log.Fresh() || !l.stillPrimary(b, spec.Epoch) {
		l.releaseUngranted(b, k, e)
		return refused("primary has no confirmed state")
	}
	return &claimResponse{Verdict: VerdictGranted}
}

// releaseUngranted releases a claim that was not granted. If the same claim was
// sent again meanwhile, the entry is left to that call.
func (l *Ledger) releaseUngranted(b *bucket, k Key, e *entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.entries[k] == e {
		l.updateEntry(b, k, &entry{token: e.token, digest: e.digest, phase: phaseReleased})
	}
}

// copyEntry sends the current entry of a key to the backup.
func (l *Ledger) copyEntry(ctx context.Context, b *bucket, spec *state.LedgerBucket, k Key) error {
	if spec.Backup == "" {
		return nil
	}
	b.mu.Lock()
	e := b.entries[k]
	if e == nil || b.epoch != spec.Epoch || b.role != rolePrimary {
		b.mu.Unlock()
		return errRefused
	}
	msg := &replicateRequest{Bucket: spec.Number, Epoch: spec.Epoch, Entries: []entryCopy{newEntryCopy(k, e, l.opts.Clock.Now())}}
	b.mu.Unlock()
	err := l.replicate(ctx, spec.Backup, msg)
	if errors.Is(err, errNeedCopy) {
		l.requestFullCopy(b, spec.Epoch)
	}
	return err
}

// requestFullCopy makes the primary send a full copy of the bucket, because the
// backup has restarted and has none.
func (l *Ledger) requestFullCopy(b *bucket, epoch uint64) {
	b.mu.Lock()
	if b.epoch == epoch {
		b.ready = false
	}
	b.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// settle ends a claimed request and reports whether its claim was found.
func (l *Ledger) settle(b *bucket, k Key, token string, p phase, response *Response) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[k]
	if e == nil || e.token != token || e.phase != phaseClaimed {
		return false
	}
	l.updateEntry(b, k, &entry{token: token, digest: e.digest, phase: p, response: response})
	return true
}

// handleRecord records the outcome of a request as the primary of its bucket.
func (l *Ledger) handleRecord(ctx context.Context, _ string, req *recordRequest) (*recordResponse, error) {
	number := req.Key.Bucket()
	spec, _ := l.opts.Log.State().Buckets.Get(state.BucketKey(number))
	b := &l.buckets[number]
	if spec == nil || spec.Primary != l.opts.Self || !l.stillPrimary(b, spec.Epoch) {
		return &recordResponse{NotPrimary: true}, nil
	}
	if l.settle(b, req.Key, req.Token, req.Phase, req.Response) {
		// If this copy fails and the primary is lost later, a resend gets
		// VerdictUnknown, which is also correct.
		_ = l.copyEntry(ctx, b, spec, req.Key)
	}
	return &recordResponse{}, nil
}
