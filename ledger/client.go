package ledger

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"apricotrouter/state"
	"apricotrouter/steperr"
	"apricotrouter/transport"
)

const (
	claimAttempts  = 3
	recordAttempts = 5
)

var (
	errNoHolder   = errors.New("ledger bucket has no holders yet")
	errNotPrimary = errors.New("instance does not serve the ledger bucket")
)

// RefusedError says that nothing was claimed, and why.
type RefusedError struct {
	Reason string
}

// Error implements error.
func (e *RefusedError) Error() string { return "claim was refused: " + e.Reason }

// Claim is a claimed request. Exactly one of Record and Release should follow
// a granted one.
type Claim struct {
	Verdict Verdict // not VerdictRefused
	Answer  *Answer // with VerdictRecorded
	Reason  string

	ledger *Ledger
	key    Key
	token  string
}

// Claim claims a request before it may run. A resend of a running request
// waits for its answer until the deadline of ctx. After an error, the request
// is not claimed for this caller and must not run.
func (l *Ledger) Claim(ctx context.Context, key Key, digest uint64) (*Claim, error) {
	c := &Claim{ledger: l, key: key, token: uuid.NewString()}
	var err error
	for range claimAttempts {
		var answer *claimAnswer
		answer, err = l.callClaim(ctx, &claimRequest{Key: key, Token: c.token, Digest: digest})
		if err == nil && answer.Verdict != VerdictRefused {
			c.Verdict, c.Answer, c.Reason = answer.Verdict, answer.Answer, answer.Reason
			return c, nil
		}
		if err == nil {
			err = &RefusedError{Reason: answer.Reason}
			// The refused token stays released.
			c.token = uuid.NewString()
		}
		if ctx.Err() != nil {
			break
		}
		pause(ctx, l.opts.Clock, retryPause)
	}
	// A claim whose answer was lost must not look like a running request.
	l.background.Go(func() {
		ctx, cancel := context.WithTimeout(l.stopped, 2*callTimeout)
		defer cancel()
		_ = c.Release(ctx)
	})
	return nil, err
}

// callClaim asks the primary of the bucket.
func (l *Ledger) callClaim(ctx context.Context, req *claimRequest) (*claimAnswer, error) {
	spec, ok := l.opts.Log.State().Buckets.Get(state.BucketKey(req.Key.Bucket()))
	if !ok {
		return nil, errNoHolder
	}
	req.Epoch = spec.Epoch
	req.WaitMillis = waitMillis(ctx)
	if spec.Primary == l.opts.Self {
		return l.handleClaim(ctx, l.opts.Self, req)
	}
	answer := new(claimAnswer)
	if err := l.opts.Peers.Call(ctx, spec.Primary, transport.KindLedgerClaim, req, answer); err != nil {
		return nil, steperr.Wrap(err, "claim request", spec.Primary)
	}
	return answer, nil
}

// waitMillis leaves time for the answer to arrive before the deadline.
func waitMillis(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	left := time.Until(deadline)
	return max(0, (left - left/10).Milliseconds())
}

// Record records the whole answer. A nil answer says that the request ran and
// that its answer is not kept.
func (c *Claim) Record(ctx context.Context, answer *Answer) error {
	return c.settle(ctx, phaseDone, answer)
}

// Release says that the request certainly did not run, so that a resend may.
func (c *Claim) Release(ctx context.Context) error {
	return c.settle(ctx, phaseReleased, nil)
}

func (c *Claim) settle(ctx context.Context, p phase, answer *Answer) error {
	l := c.ledger
	req := &recordRequest{Key: c.key, Token: c.token, Phase: p, Answer: answer}
	var err error
	for range recordAttempts {
		if err = l.callRecord(ctx, req); err == nil || ctx.Err() != nil {
			return err
		}
		pause(ctx, l.opts.Clock, retryPause)
	}
	return err
}

func (l *Ledger) callRecord(ctx context.Context, req *recordRequest) error {
	spec, ok := l.opts.Log.State().Buckets.Get(state.BucketKey(req.Key.Bucket()))
	if !ok {
		return errNoHolder
	}
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	answer := new(recordAnswer)
	var err error
	if spec.Primary == l.opts.Self {
		answer, err = l.handleRecord(ctx, l.opts.Self, req)
	} else {
		err = l.opts.Peers.Call(ctx, spec.Primary, transport.KindLedgerRecord, req, answer)
	}
	if err == nil && answer.NotPrimary {
		err = errNotPrimary
	}
	return steperr.Wrap(err, "record request", spec.Primary)
}
