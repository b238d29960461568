// Package ledger records requests that must not run twice. Each request id
// belongs to one of 64 buckets. The primary of a bucket records a claim and
// copies it to the backup before it grants it, so that a resend through any
// instance finds it.
package ledger

import (
	"apricotrouter/state"

	"github.com/cespare/xxhash/v2"
)

// Key names a request.
type Key struct {
	Service   string `cbor:"1,keyasint"`
	RequestID string `cbor:"2,keyasint"`
}

// Bucket returns the number of the bucket of a key.
func (k Key) Bucket() int {
	d := xxhash.New()
	_, _ = d.WriteString(k.Service)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(k.RequestID)
	return int(d.Sum64() % state.LedgerBuckets)
}

// Answer is the whole answer of an endpoint.
type Answer struct {
	Status int                 `cbor:"1,keyasint"`
	Header map[string][]string `cbor:"2,keyasint,omitempty"`
	Body   []byte              `cbor:"3,keyasint,omitempty"`
}

func (a *Answer) bytes() int64 {
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

// Verdict is the answer to a claim.
type Verdict string

// Verdicts. Only VerdictGranted allows the request to run. VerdictRefused
// means that nothing was claimed.
const (
	VerdictGranted  Verdict = "granted"
	VerdictRecorded Verdict = "recorded" // ran before; the answer is known
	VerdictUnknown  Verdict = "unknown"  // may have run, or may be running
	VerdictConflict Verdict = "conflict" // id was used for another request
	VerdictRefused  Verdict = "refused"
)

type claimRequest struct {
	Key    Key    `cbor:"1,keyasint"`
	Epoch  uint64 `cbor:"2,keyasint"`
	Token  string `cbor:"3,keyasint"` // different in each request of a caller
	Digest uint64 `cbor:"4,keyasint"`
	// WaitMillis is how long to wait for an answer if the request is running.
	WaitMillis int64 `cbor:"5,keyasint,omitempty"`
}

type claimAnswer struct {
	Verdict Verdict `cbor:"1,keyasint"`
	Answer  *Answer `cbor:"2,keyasint,omitempty"`
	Reason  string  `cbor:"3,keyasint,omitempty"`
}

type recordRequest struct {
	Key    Key     `cbor:"1,keyasint"`
	Token  string  `cbor:"2,keyasint"`
	Phase  phase   `cbor:"3,keyasint"` // phaseReleased or phaseDone
	Answer *Answer `cbor:"4,keyasint,omitempty"`
}

type recordAnswer struct {
	// NotPrimary says that the instance does not serve the bucket.
	NotPrimary bool `cbor:"1,keyasint,omitempty"`
}

// phase is how far a request is.
type phase uint8

const (
	phaseClaimed  phase = iota + 1 // may run
	phaseReleased                  // certainly did not run
	phaseDone                      // ran; without an answer if that was too long or lost
)

// entryCopy is an entry as sent to the other holder.
type entryCopy struct {
	Key      Key     `cbor:"1,keyasint"`
	Token    string  `cbor:"2,keyasint"`
	Digest   uint64  `cbor:"3,keyasint"`
	Phase    phase   `cbor:"4,keyasint"`
	Answer   *Answer `cbor:"5,keyasint,omitempty"`
	Sequence uint64  `cbor:"6,keyasint"` // grows with every change of the bucket
	// AgeMillis is the time since the last change.
	AgeMillis int64 `cbor:"7,keyasint,omitempty"`
}

// replicateRequest carries one change, or one part of a whole bucket.
type replicateRequest struct {
	Bucket  int         `cbor:"1,keyasint"`
	Epoch   uint64      `cbor:"2,keyasint"`
	Entries []entryCopy `cbor:"3,keyasint,omitempty"`
	// Copy numbers the copies of the whole bucket; 0 for one change.
	Copy uint64 `cbor:"4,keyasint,omitempty"`
	Part int    `cbor:"5,keyasint,omitempty"` // from 0
	Last bool   `cbor:"6,keyasint,omitempty"`
	// UnknownMillis is how long earlier entries are still missing.
	UnknownMillis int64 `cbor:"7,keyasint,omitempty"`
}

type replicateAnswer struct {
	OK bool `cbor:"1,keyasint,omitempty"`
	// NeedCopy says that the backup lacks the bucket.
	NeedCopy bool   `cbor:"2,keyasint,omitempty"`
	Reason   string `cbor:"3,keyasint,omitempty"`
}

// fetchRequest asks the other holder for its entries after a key.
type fetchRequest struct {
	Bucket int    `cbor:"1,keyasint"`
	Epoch  uint64 `cbor:"2,keyasint"`
	After  Key    `cbor:"3,keyasint"`
}

type fetchAnswer struct {
	Complete      bool        `cbor:"1,keyasint,omitempty"` // the holder has the whole bucket
	Entries       []entryCopy `cbor:"2,keyasint,omitempty"`
	More          bool        `cbor:"3,keyasint,omitempty"`
	UnknownMillis int64       `cbor:"4,keyasint,omitempty"`
}
