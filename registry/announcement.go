// Package registry tracks the endpoints of services. It receives their
// announcements, proposes new and changed endpoints to the replicated log,
// counts the used slots of the endpoints that this instance owns, and exchanges
// the numbers of free slots with the other entry instances.
package registry

import (
	"errors"
	"fmt"
	"net"
	"time"

	"apricotrouter/state"
)

// Limits and defaults of an announcement.
const (
	MaxAnnouncementBytes = 64 << 10
	maxNameBytes         = 128
	maxSlots             = 10000
	// DefaultTTL is the time to live of an announcement without one.
	DefaultTTL = 3 * time.Second
	minTTL     = 500 * time.Millisecond
	maxTTL     = 60 * time.Second
)

// Announcement is the description that an endpoint sends of itself, as JSON in
// POST /v1/announce, to any entry instance.
type Announcement struct {
	ID              string `json:"id" cbor:"1,keyasint"`
	Service         string `json:"service" cbor:"2,keyasint"`
	Address         string `json:"address" cbor:"3,keyasint"` // host:port
	Zone            string `json:"zone" cbor:"4,keyasint"`
	Slots           int64  `json:"slots" cbor:"5,keyasint"`
	ConnectionLimit int64  `json:"connection_limit" cbor:"6,keyasint"`
	// Incarnation increases with each start of the endpoint.
	Incarnation uint64 `json:"incarnation" cbor:"7,keyasint"`
	// Draining reports that the endpoint is shutting down. It can't be revoked
	// within the incarnation.
	Draining bool `json:"draining,omitempty" cbor:"8,keyasint,omitempty"`
	// RunningAttempts lists the attempt IDs (X-Attempt-Id) of the running
	// requests.
	RunningAttempts []string `json:"work_in_hand" cbor:"9,keyasint,omitempty"`
	// TTLMillis is the time to live of the announcement; 0 means DefaultTTL.
	TTLMillis int64 `json:"ttl_ms,omitempty" cbor:"10,keyasint,omitempty"`
	// Sequence increases with each announcement of an incarnation, so that one
	// that arrives out of order is dropped. 0 means that the endpoint does not
	// number its announcements.
	Sequence uint64 `json:"sequence,omitempty" cbor:"11,keyasint,omitempty"`
	// Fence is the highest fence received in an AnnounceResponse. It shows that
	// the announcement was made after the owner with this fence took over.
	Fence uint64 `json:"fence,omitempty" cbor:"12,keyasint,omitempty"`
}

// AnnounceResponse is the response to an announcement.
type AnnounceResponse struct {
	Owner string `json:"owner,omitempty" cbor:"1,keyasint,omitempty"` // entry instance; empty if there is none yet
	Fence uint64 `json:"fence,omitempty" cbor:"2,keyasint,omitempty"`
	// ReannounceMillis, if not 0, requests the next announcement after this
	// delay, earlier than usual.
	ReannounceMillis int64 `json:"again_ms,omitempty" cbor:"3,keyasint,omitempty"`
	// NotOwner reports that the instance that received the call does not own
	// the endpoint.
	NotOwner bool `json:"-" cbor:"4,keyasint,omitempty"`
}

// Validate returns an error that names the first invalid field, or nil.
func (a *Announcement) Validate() error {
	switch {
	case a.ID == "" || len(a.ID) > maxNameBytes:
		return fmt.Errorf("id must have 1 to %d bytes", maxNameBytes)
	case a.Service == "" || len(a.Service) > maxNameBytes:
		return fmt.Errorf("service must have 1 to %d bytes", maxNameBytes)
	case a.Zone == "" || len(a.Zone) > maxNameBytes:
		return fmt.Errorf("zone must have 1 to %d bytes", maxNameBytes)
	case a.Slots < 1 || a.Slots > maxSlots:
		return fmt.Errorf("slots must be 1 to %d", maxSlots)
	case a.ConnectionLimit < a.Slots:
		return errors.New("connection_limit must be at least slots")
	case a.TTLMillis < 0:
		return errors.New("ttl_ms must not be negative")
	}
	if _, _, err := net.SplitHostPort(a.Address); err != nil {
		return fmt.Errorf("address must be host:port: %w", err)
	}
	return nil
}

// TTL returns the time to live, clamped to minTTL and maxTTL.
func (a *Announcement) TTL() time.Duration {
	if a.TTLMillis == 0 {
		return DefaultTTL
	}
	return min(max(time.Duration(a.TTLMillis)*time.Millisecond, minTTL), maxTTL)
}

// endpoint returns the part of the announcement that is replicated.
func (a *Announcement) endpoint() state.Endpoint {
	return state.Endpoint{
		ID:              a.ID,
		Service:         a.Service,
		Address:         a.Address,
		Zone:            a.Zone,
		Slots:           a.Slots,
		ConnectionLimit: a.ConnectionLimit,
		Incarnation:     a.Incarnation,
		Draining:        a.Draining,
	}
}
