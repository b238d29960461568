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
	errNoPrimary  = errors.New("ledger bucket has no primary yet")
	errNotPrimary = errors.New("instance does not serve the ledger bucket")
)

// RefusedError reports that a request was not claimed, and why.
type RefusedError struct {
	Reason string
}

// Error implements error.
func (e *RefusedError) Error() string { return "claim was refused: " + e.Reason }

// Claim is a claimed request. After a granted claim, call exactly one of Record
// and Release.
type Claim struct {
	Verdict  Verdict   // never VerdictRefused
	Response *Response // set with VerdictRecorded
	Reason   string

	ledger *Ledger
	key    Key
	token  string
}

// Claim claims a request before it may run. For a resend of a running request,
// it waits for the response until shortly before the deadline of ctx. After an
// error, the request is not claimed for this caller and must not run.
func (l *Ledger) Claim(ctx context.Context, key Key, digest uint64) (*Claim, error) {
	c := &Claim{ledger: l, key: key, token: uuid.NewString()}
	var err error
	for range claimAttempts {
		var response *claimResponse
		response, err = l.callClaim(ctx, &claimRequest{Key: key, Token: c.token, Digest: digest})
		if err == nil && response.Verdict != VerdictRefused {
			c.Verdict, c.Response, c.Reason = response.Verdict, response.Response, response.Reason
			return c, nil
		}
		if err == nil {
			err = &RefusedError{Reason: response.Reason}
			// A new token is needed, because a refused token may have been
			// released.
			c.token = uuid.NewString()
		}
		if ctx.Err() != nil {
			break
		}
		sleep(ctx, l.opts.Clock, retryDelay)
	}
	// Release the claim, in case the primary granted it and its response was
	// lost. Otherwise the request would appear to be running.
	l.background.Go(func() {
		ctx, cancel := context.WithTimeout(l.stopped, 2*callTimeout)
		defer cancel()
		_ = c.Release(ctx)
	})
	return nil, err
}

// callClaim sends a claim to the primary of the bucket.
func (l *Ledger) callClaim(ctx context.Context, req *claimRequest) (*claimResponse, error) {
	spec, ok := l.opts.Log.State().Buckets.Get(state.BucketKey(req.Key.Bucket()))
	if !ok {
		return nil, errNoPrimary
	}
	req.Epoch = spec.Epoch
	req.WaitMillis = waitMillis(ctx)
	if spec.Primary == l.opts.Self {
		return l.handleClaim(ctx, l.opts.Self, req)
	}
	response := new(claimResponse)
	if err := l.opts.Peers.Call(ctx, spec.Primary, transport.KindLedgerClaim, req, response); err != nil {
		return nil, steperr.Wrap(err, "claim request", spec.Primary)
	}
	return response, nil
}

// waitMillis returns 90% of the time until the deadline of ctx, in
// milliseconds, so that the response arrives before the deadline.
func waitMillis(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	left := time.Until(deadline)
	return max(0, (left - left/10).Milliseconds())
}

// Record records the complete response. A nil response means that the request
// ran and that its response is not recorded.
func (c *Claim) Record(ctx context.Context, response *Response) error {
	return c.settle(ctx, phaseDone, response)
}

// Release records that the request certainly did not run, so that a resend may
// run.
func (c *Claim) Release(ctx context.Context) error {
	return c.settle(ctx, phaseReleased, nil)
}

func (c *Claim) settle(ctx context.Context, p phase, response *Response) error {
	l := c.ledger
	req := &recordRequest{Key: c.key, Token: c.token, Phase: p, Response: response}
	var err error
	for range recordAttempts {
		if err = l.callRecord(ctx, req); err == nil || ctx.Err() != nil {
			return err
		}
		sleep(ctx, l.opts.Clock, retryDelay)
	}
	return err
}

func (l *Ledger) callRecord(ctx context.Context, req *recordRequest) error {
	spec, ok := l.opts.Log.State().Buckets.Get(state.BucketKey(req.Key.Bucket()))
	if !ok {
		return errNoPrimary
	}
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	response := new(recordResponse)
	var err error
	if spec.Primary == l.opts.Self {
		response, err = l.handleRecord(ctx, l.opts.Self, req)
	} else {
		err = l.opts.Peers.Call(ctx, spec.Primary, transport.KindLedgerRecord, req, response)
	}
	if err == nil && response.NotPrimary {
		err = errNotPrimary
	}
	return steperr.Wrap(err, "record request", spec.Primary)
}
