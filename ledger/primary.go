package ledger

import (
	"context"
	"errors"
	"time"

	"apricotrouter/state"
)

func refused(reason string) *claimAnswer {
	return &claimAnswer{Verdict: VerdictRefused, Reason: reason}
}

// handleClaim decides a claim as the primary of its bucket.
func (l *Ledger) handleClaim(ctx context.Context, _ string, req *claimRequest) (*claimAnswer, error) {
	answer := l.decide(ctx, req)
	l.metrics.claims.WithLabelValues(string(answer.Verdict)).Inc()
	return answer, nil
}

func (l *Ledger) decide(ctx context.Context, req *claimRequest) *claimAnswer {
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
		answer, e := l.look(b, req)
		if answer != nil {
			return answer
		}
		if e.token == req.Token {
			return l.grant(ctx, b, spec, req.Key, e)
		}
		if !waitSettled(ctx, e.settled, deadline) {
			return &claimAnswer{Verdict: VerdictUnknown, Reason: "request is running"}
		}
	}
}

// waitSettled waits for the end of a running request.
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

// look answers a claim from what is known. Without an answer it returns the
// entry of the request: a new one for req, or that of an earlier claim.
func (l *Ledger) look(b *bucket, req *claimRequest) (*claimAnswer, *entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.role != rolePrimary || b.epoch != req.Epoch || !b.ready {
		return refused("bucket is not served yet"), nil
	}
	e := b.entries[req.Key]
	switch {
	case e == nil:
		if l.opts.Clock.Now().Before(b.unknownUntil) {
			return &claimAnswer{Verdict: VerdictUnknown, Reason: "earlier entries of the bucket were lost"}, nil
		}
		if l.entries.Load() >= l.opts.MaxEntries {
			return refused("ledger is full"), nil
		}
	case e.phase == phaseReleased && e.token == req.Token:
		return refused("claim was released"), nil
	case e.phase == phaseReleased || (e.phase == phaseClaimed && e.token == req.Token):
		// It did not run, or this is the same claim again.
	case e.digest != req.Digest:
		return &claimAnswer{Verdict: VerdictConflict}, nil
	case e.phase == phaseDone && e.answer != nil:
		return &claimAnswer{Verdict: VerdictRecorded, Answer: e.answer}, nil
	case e.phase == phaseDone:
		return &claimAnswer{Verdict: VerdictUnknown, Reason: "answer was not kept"}, nil
	default:
		return nil, e
	}
	e = &entry{token: req.Token, digest: req.Digest, phase: phaseClaimed}
	l.change(b, req.Key, e)
	return nil, e
}

// change stores an entry as the primary; b.mu is held.
func (l *Ledger) change(b *bucket, k Key, e *entry) {
	b.sequence++
	e.sequence = b.sequence
	e.changed = l.opts.Clock.Now()
	l.put(b, k, e)
}

// grant copies a claim to the backup and grants it. If that fails, the
// request has not run and is released.
func (l *Ledger) grant(ctx context.Context, b *bucket, spec *state.LedgerBucket, k Key, e *entry) *claimAnswer {
	if err := l.copyEntry(ctx, b, spec, k); err != nil {
		l.takeBack(b, k, e)
		return refused("claim was not copied to the backup: " + err.Error())
	}
	// The lease may have ended while the claim was copied.
	if !l.opts.Log.Fresh() || !l.stillPrimary(b, spec.Epoch) {
		l.takeBack(b, k, e)
		return refused("primary has no confirmed state")
	}
	return &claimAnswer{Verdict: VerdictGranted}
}

// takeBack releases a claim that was not granted. If the same claim came again
// meanwhile, it is that one's turn to decide.
func (l *Ledger) takeBack(b *bucket, k Key, e *entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.entries[k] == e {
		l.change(b, k, &entry{token: e.token, digest: e.digest, phase: phaseReleased})
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
	msg := &replicateRequest{Bucket: spec.Number, Epoch: spec.Epoch, Entries: []entryCopy{copyOf(k, e, l.opts.Clock.Now())}}
	b.mu.Unlock()
	err := l.replicate(ctx, spec.Backup, msg)
	if errors.Is(err, errNeedCopy) {
		l.needCopy(b, spec.Epoch)
	}
	return err
}

// needCopy makes the primary send the whole bucket again, because the backup
// has restarted.
func (l *Ledger) needCopy(b *bucket, epoch uint64) {
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
func (l *Ledger) settle(b *bucket, k Key, token string, p phase, answer *Answer) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[k]
	if e == nil || e.token != token || e.phase != phaseClaimed {
		return false
	}
	l.change(b, k, &entry{token: token, digest: e.digest, phase: p, answer: answer})
	return true
}

// handleRecord records the end of a request as the primary of its bucket.
func (l *Ledger) handleRecord(ctx context.Context, _ string, req *recordRequest) (*recordAnswer, error) {
	number := req.Key.Bucket()
	spec, _ := l.opts.Log.State().Buckets.Get(state.BucketKey(number))
	b := &l.buckets[number]
	if spec == nil || spec.Primary != l.opts.Self || !l.stillPrimary(b, spec.Epoch) {
		return &recordAnswer{NotPrimary: true}, nil
	}
	if l.settle(b, req.Key, req.Token, req.Phase, req.Answer) {
		// Without this copy, a resend after the loss of the primary is answered
		// unknown, which is right too.
		_ = l.copyEntry(ctx, b, spec, req.Key)
	}
	return &recordAnswer{}, nil
}
