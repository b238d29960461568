// Package ledger records requests that must not run twice. Each request ID
// belongs to one of 64 buckets. The primary of a bucket records a claim and
// copies it to the backup before it grants the claim, so that a resend through
// any instance finds it.
package ledger

import (
	"apricotrouter/state"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a request.
type Key struct {
	Service   string `cbor:"1,keyasint"`
	RequestID string `cbor:"2,keyasint"`
}

// Bucket returns the bucket number of a key, from 0 to state.LedgerBuckets-1.
func (k Key) Bucket() int {
	d := xxhash.New()
	_, _ = d.WriteString(k.Service)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(k.RequestID)
	return int(d.Sum64() % state.LedgerBuckets)
}

// Response is the complete response of an endpoint.
type Response struct {
	Status int                 `cbor:"1,keyasint"`
	Header map[string][]string `cbor:"2,keyasint,omitempty"`
	Body   []byte              `cbor:"3,keyasint,omitempty"`
}

func (a *Response) size() int64 {
	if a == nil {
		return 0
	}
	n := len(a.Body)
	for name, values := range a.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return int64(n)
}

// Verdict is the result of a claim.
type Verdict string

// Verdicts. Only VerdictGranted allows the request to run. VerdictRefused means
// that nothing was claimed.
const (
	VerdictGranted  Verdict = "granted"
	VerdictRecorded Verdict = "recorded" // ran before; the response is known
	VerdictUnknown  Verdict = "unknown"  // may have run, or may be running
	VerdictConflict Verdict = "conflict" // the ID was used for a different request
	VerdictRefused  Verdict = "refused"
)

type claimRequest struct {
	Key    Key    `cbor:"1,keyasint"`
	Epoch  uint64 `cbor:"2,keyasint"`
	Token  string `cbor:"3,keyasint"` // unique for each call of Claim; renewed after a refusal
	Digest uint64 `cbor:"4,keyasint"`
	// WaitMillis is how long to wait for the response of a running request.
	WaitMillis int64 `cbor:"5,keyasint,omitempty"`
}

type claimResponse struct {
	Verdict  Verdict   `cbor:"1,keyasint"`
	Response *Response `cbor:"2,keyasint,omitempty"`
	Reason   string    `cbor:"3,keyasint,omitempty"`
}

type recordRequest struct {
	Key      Key       `cbor:"1,keyasint"`
	Token    string    `cbor:"2,keyasint"`
	Phase    phase     `cbor:"3,keyasint"` // phaseReleased or phaseDone
	Response *Response `cbor:"4,keyasint,omitempty"`
}

type recordResponse struct {
	// NotPrimary reports that the instance does not serve the bucket.
	NotPrimary bool `cbor:"1,keyasint,omitempty"`
}

// phase is the state of a claimed request.
type phase uint8

const (
	phaseClaimed  phase = iota + 1 // may be running
	phaseReleased                  // certainly did not run
	phaseDone                      // ran; without a response if that was too long, lost or evicted
)

// entryCopy is the wire format of an entry.
type entryCopy struct {
	Key      Key       `cbor:"1,keyasint"`
	Token    string    `cbor:"2,keyasint"`
	Digest   uint64    `cbor:"3,keyasint"`
	Phase    phase     `cbor:"4,keyasint"`
	Response *Response `cbor:"5,keyasint,omitempty"`
	Sequence uint64    `cbor:"6,keyasint"` // increases with each update of the bucket
	// AgeMillis is the time since the last update.
	AgeMillis int64 `cbor:"7,keyasint,omitempty"`
}

// replicateRequest contains one updated entry, or one part of a full copy of
// the bucket.
type replicateRequest struct {
	Bucket  int         `cbor:"1,keyasint"`
	Epoch   uint64      `cbor:"2,keyasint"`
	Entries []entryCopy `cbor:"3,keyasint,omitempty"`
	// Copy is the number of the full copy; 0 for a single update.
	Copy uint64 `cbor:"4,keyasint,omitempty"`
	Part int    `cbor:"5,keyasint,omitempty"` // from 0
	Last bool   `cbor:"6,keyasint,omitempty"`
	// MissingMillis is for how long earlier entries may still be missing.
	MissingMillis int64 `cbor:"7,keyasint,omitempty"`
}

type replicateResponse struct {
	OK bool `cbor:"1,keyasint,omitempty"`
	// NeedCopy reports that the backup has no complete copy.
	NeedCopy bool   `cbor:"2,keyasint,omitempty"`
	Reason   string `cbor:"3,keyasint,omitempty"`
}

// fetchRequest requests the entries of the backup that follow a key.
type fetchRequest struct {
	Bucket int    `cbor:"1,keyasint"`
	Epoch  uint64 `cbor:"2,keyasint"`
	After  Key    `cbor:"3,keyasint"`
}

type fetchResponse struct {
	Complete      bool        `cbor:"1,keyasint,omitempty"` // the backup has a complete copy
	Entries       []entryCopy `cbor:"2,keyasint,omitempty"`
	More          bool        `cbor:"3,keyasint,omitempty"`
	MissingMillis int64       `cbor:"4,keyasint,omitempty"`
}
