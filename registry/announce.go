package registry

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"apricotrouter/event"
	"apricotrouter/state"
	"apricotrouter/steperr"
	"apricotrouter/transport"
)

const (
	// ownerForwardTimeout is the timeout for forwarding an announcement to the
	// owner. It is below maxAnnounceDelay, so that no announcement arrives
	// later than that.
	ownerForwardTimeout = time.Second
	// reannounceDelay is the delay until the next announcement of an endpoint
	// that has no owner yet, or whose owner waits for an announcement made
	// after the takeover.
	reannounceDelay = 50 * time.Millisecond
)

var errNotOwner = errors.New("instance does not own the endpoint")

// AnnounceHandler returns the handler of POST /v1/announce. It responds with
// 200 and an AnnounceResponse, with 400 to an invalid announcement, and with
// 503 if the announcement could not be forwarded to the owner. After a 503, the
// endpoint announces itself to another instance.
func (r *Registry) AnnounceHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.Method != http.MethodPost {
			w.Header().Set("Allow", http.MethodPost)
			http.Error(w, "announcements are sent by POST", http.StatusMethodNotAllowed)
			return
		}
		a := new(Announcement)
		err := json.NewDecoder(http.MaxBytesReader(w, req.Body, MaxAnnouncementBytes)).Decode(a)
		if err == nil {
			err = a.Validate()
		}
		if err != nil {
			event.Log(r.opts.Logger, event.AnnouncementRefused, slog.String("endpoint", a.ID), slog.Any("error", err))
			http.Error(w, "announcement is not valid: "+err.Error(), http.StatusBadRequest)
			return
		}
		response, err := r.receive(req.Context(), a)
		if err != nil {
			w.Header().Set("Retry-After", "1")
			http.Error(w, "announcement was not passed on: "+err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(response)
	})
}

// receive handles an announcement that the endpoint sent to this instance.
func (r *Registry) receive(ctx context.Context, a *Announcement) (*AnnounceResponse, error) {
	s := r.opts.Log.State()
	assigned := s.Assignment(state.AssignEndpoint, a.ID)
	if assigned == nil {
		if err := r.register(ctx, s, a); err != nil {
			return nil, err
		}
		return &AnnounceResponse{ReannounceMillis: reannounceDelay.Milliseconds()}, nil
	}
	// Forward to the owner first, so that a draining endpoint gets no new
	// requests even while no change can be committed. If the owner can't be
	// reached, it learns of the change from the log.
	response, forwardErr := r.forwardToOwner(ctx, assigned, a)
	if err := r.register(ctx, s, a); err != nil {
		return nil, errors.Join(forwardErr, err)
	}
	if forwardErr != nil {
		return nil, forwardErr
	}
	return response, nil
}

// forwardToOwner sends an announcement to the owner of the endpoint.
func (r *Registry) forwardToOwner(ctx context.Context, assigned *state.Assignment, a *Announcement) (*AnnounceResponse, error) {
	if assigned.Owner == r.opts.Self {
		response, err := r.handleAnnounce(ctx, r.opts.Self, a)
		if err == nil && response.NotOwner {
			err = errNotOwner
		}
		return response, err
	}
	ctx, cancel := context.WithTimeout(ctx, ownerForwardTimeout)
	defer cancel()
	response := new(AnnounceResponse)
	if err := r.opts.Peers.Call(ctx, assigned.Owner, transport.KindAnnounce, a, response); err != nil {
		return nil, steperr.Wrap(err, "pass on announcement", assigned.Owner)
	}
	if response.NotOwner {
		return nil, steperr.Wrap(errNotOwner, "pass on announcement", assigned.Owner)
	}
	return response, nil
}

// handleAnnounce handles an announcement as the owner of the endpoint.
func (r *Registry) handleAnnounce(_ context.Context, _ string, a *Announcement) (*AnnounceResponse, error) {
	r.Sync(r.opts.Log.State())
	e := r.lookup(a.ID)
	if e == nil {
		return &AnnounceResponse{NotOwner: true}, nil
	}
	response := &AnnounceResponse{Owner: r.opts.Self, Fence: e.currentFence()}
	switch {
	case a.Incarnation < e.Incarnation:
		return response, nil
	case a.Incarnation > e.Incarnation || a.Address != e.Address:
		// The endpoint has restarted. The earlier incarnation gets no new
		// requests, and the new one is used once it is committed.
		e.setDraining()
		response.ReannounceMillis = reannounceDelay.Milliseconds()
		return response, nil
	}
	if a.Draining && e.setDraining() {
		event.Log(r.opts.Logger, event.EndpointDraining, slog.String("endpoint", e.ID))
	}
	if e.applyAnnouncement(a, r.prefix, r.opts.Clock.Now()) {
		response.ReannounceMillis = reannounceDelay.Milliseconds()
	}
	r.wake()
	return response, nil
}
